"""Plays random cuts between entries and servers, and checks the promises."""

import collections
import random

import pytest
import trio

from sycamorespool import http_client
from tests.hosted import cut_links
from tests.hosted import fleet as fleets

PLAY_S = 12.0
ASK_PERIOD_S = 0.06
CUT_S = (0.3, 3.0)
PAUSE_S = (0.1, 1.5)
KINDS = [cut_links.Cut.HANG, cut_links.Cut.RESET, cut_links.Cut.REFUSE]


async def play_cuts(fleet, links, rng):
    """Cut the links of entries to some servers until cancelled."""
    while True:
        servers = fleet.servers + fleet.engines
        chosen = rng.sample(servers, rng.randint(1, len(servers)))
        links.entries = set(rng.choice([["entry-1"], ["entry-1", "entry-2"]]))
        links.cut(rng.choice(KINDS), [server.address for server in chosen])
        await trio.sleep(rng.uniform(*CUT_S))
        links.repair()
        await trio.sleep(rng.uniform(*PAUSE_S))


async def ask_all(fleet, rng, statuses, bodies):
    """Ask for orders and streams until cancelled."""

    async def ask(number):
        is_order = rng.random() < 0.5
        kind = "o" if is_order else "d"
        name = f"{kind}{number}"
        try:
            if is_order:
                answer = await fleet.ask("/orders/1", number=name)
            else:
                answer = await fleet.ask_stream(name)
        except http_client.ExchangeFailed:
            # A cut stream promises nothing.
            return
        statuses[f"a{name}"] = answer.status
        bodies[f"a{name}"] = answer.body

    number = 0
    async with trio.open_nursery() as nursery:
        end_s = trio.current_time() + PLAY_S
        while trio.current_time() < end_s:
            number += 1
            nursery.start_soon(ask, number)
            await trio.sleep(ASK_PERIOD_S)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_promises_hold_while_links_of_entries_are_cut(
    run_hosted, monkeypatch, seed
):
    links = cut_links.ServerLinks("entry-1")
    cut_links.install(monkeypatch, links)
    rng = random.Random(seed)

    async def scenario(fleet):
        statuses, bodies = {}, {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(play_cuts, fleet, links, rng)
            await ask_all(fleet, rng, statuses, bodies)
            nursery.cancel_scope.cancel()
        runs = collections.Counter(
            run["sycamorespool-attempt-id"]
            for server in fleet.servers + fleet.engines
            for run in server.runs
        )
        orders = {name for name in runs if name.startswith("ao")}
        assert all(runs[name] == 1 for name in orders)
        for name, status in statuses.items():
            if status == 503:
                assert name not in orders, name
            if status == 200 and name.startswith("ad"):
                assert bodies[name] == fleets.STREAM
        served = collections.Counter(statuses.values())
        assert served[200] > 0.5 * len(statuses)

    run_hosted(scenario, entries=["entry-2"])
