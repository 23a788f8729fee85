"""Tests of what entries tell each other of their requests at servers."""

import msgspec
import pytest
import trio

from examples import hosted_settings
from sycamorespool import http_client
from sycamorespool.peers import load_exchange

BALANCING = "[balancing]\nby_engine_times = true\nshare_load = true\n"


@pytest.fixture(autouse=True)
def balancing(monkeypatch):
    """Let the entries of this module share their load."""
    text = hosted_settings.TEMPLATE + BALANCING
    monkeypatch.setattr(hosted_settings, "TEMPLATE", text)


async def send(fleet, body):
    url = f"http://{fleet.peers}{load_exchange.PATH}"
    return await http_client.exchange(fleet.pool, "POST", url, body)


def make_message(entry, data_centre="dc", **running):
    requests = {name: (count, 0) for name, count in running.items()}
    message = load_exchange.LoadMessage(entry, data_centre, requests)
    return msgspec.msgpack.encode(message)


def decode(answer):
    return msgspec.msgpack.decode(answer.body, type=load_exchange.LoadMessage)


def test_entry_learns_what_another_has_at_the_servers(run_hosted):
    async def scenario(fleet):
        for server in fleet.servers:
            server.paused_until_s = trio.current_time() + 60.0
        fleet.nursery.start_soon(fleet.ask, "/stock/1")

        async def is_told():
            found = decode(await send(fleet, make_message("entry-9")))
            return sum(count for count, _ in found.requests.values()) == 1

        await fleet.wait_for(is_told)

    run_hosted(scenario, entries=("entry-2",))


def test_reports_of_a_data_centre_are_gathered(run_hosted):
    async def scenario(fleet):
        await send(fleet, make_message("entry-8", **{"i-0": 3}))
        near = decode(await send(fleet, make_message("entry-9")))
        assert near.requests["i-0"] == (3, 0)
        # An entry must not get its own requests as those of others.
        own = decode(await send(fleet, make_message("entry-8", **{"i-0": 3})))
        assert "i-0" not in own.requests
        far = decode(await send(fleet, make_message("e", "far", **{"i-1": 5})))
        assert far.requests["i-0"] == (3, 0)
        assert "i-1" not in far.requests

        async def knows_both():
            return await fleet.read_metric("fleet_requests") == 8

        for entry in ("entry-8", "entry-9"):
            await send(fleet, make_message(entry))
        await send(fleet, make_message("entry-8", **{"i-0": 3}))
        await fleet.wait_for(knows_both)

    run_hosted(scenario)


@pytest.mark.parametrize(
    "body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91" * 5000]
)
def test_message_that_is_not_valid_is_refused(run_hosted, body):
    # A message of a stranger must not end the task that answers.
    async def scenario(fleet):
        assert (await send(fleet, body)).status == 400
        found = decode(await send(fleet, make_message("entry-9")))
        assert found.entry == "entry-1"

    run_hosted(scenario)
