"""Tests of streams that run while a configuration changes their model."""

import copy

import pytest
import trio

from sycamorespool.standins import hosted_engine
from tests.hosted import fleet as fleets

EVENT_S = 0.15
EVENTS = 12


def drop(models):
    """Replace the model by another one."""
    return [{**models[0], "name": "n"}]


def resize(models):
    """Let groups of the model have one VM."""
    return [{**models[0], "size": 1}]


def close_after_requests(engine, order):
    """Close a group as the order's mode ``wait`` asks: requests go on."""
    if not engine._is_member(order):
        return False
    engine.group = {**engine.group, "state": "closing"}
    return True


@pytest.mark.parametrize("change", [drop, resize])
def test_stream_is_not_cut_by_a_change_of_its_model(
    run_hosted, monkeypatch, change
):
    monkeypatch.setattr(
        hosted_engine.HostedEngine, "_close", close_after_requests
    )

    async def scenario(fleet):
        received = []

        async def ask():
            received.append(await fleet.ask_stream())

        for engine in fleet.engines:
            engine.event_s, engine.event_count = EVENT_S, EVENTS
            engine.runs.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)

            async def has_begun():
                return any(engine.runs for engine in fleet.engines)

            await fleet.wait_for(has_begun)
            await trio.sleep(2 * EVENT_S)
            config = copy.deepcopy(fleets.CONFIG)
            config["version"] += 1
            engine = config["services"][0]["engine"]
            engine["models"] = change(engine["models"])
            fleet.store.put("keyed.op", "config", config)
        stream = b"".join(
            b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
        )
        assert received[0].status == 200
        assert received[0].body == stream
        assert sum(len(engine.runs) for engine in fleet.engines) == 1

    run_hosted(scenario)
