"""Tests that callers who do not behave end no entry and keep out no other.

Each test plays one flood against an entry's process with low limits, beside
an ordinary caller.  Whatever it does with the flood, the process lives, its
memory and its descriptors stay under their bounds, and ordinary requests are
answered with the flood's connections open and afterwards.
"""

import pytest
import trio

from tests.floods import entry as entries
from tests.floods import flood

pytestmark = pytest.mark.processes

ROUTE, NO_ROUTE, READY = "/stock/1", "/nowhere/1", "/api/ready"
CALLERS, READINESS = "callers", "readiness"
# Where the floods come: a listener, and a path there.
PLACES = (
    (CALLERS, ROUTE),
    (CALLERS, NO_ROUTE),
    (CALLERS, READY),
    (READINESS, READY),
)
# Bodies and heads that are held would exceed the memory of the machine;
# connections that stay would use up its descriptors.
FLOODS = (
    (40, flood.send_whole_body),
    (40, flood.send_body_in_pieces),
    (40, flood.send_small_chunks),
    (40, flood.send_large_chunks),
    (20, flood.send_too_much),
    (20, flood.send_too_many_chunks),
    (80, flood.send_many_fields),
    (30, flood.send_ahead),
    (300, flood.send_some_ahead),
    (300, flood.stop_in_head),
    (300, flood.stop_before_head),
    (300, flood.trickle_body),
)


def run(tmp_path, scenario):
    """Run a scenario against an entry's process that serves."""

    async def main():
        async with trio.open_nursery() as nursery:
            entry = entries.EntryProcess(nursery, tmp_path)
            try:
                await entry.start()
                await scenario(entry)
            finally:
                entry.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


def play(tmp_path, listener, path, count, make_pieces, text="ok"):
    """Play a flood beside an ordinary caller, and check the entry."""

    async def scenario(entry):
        for server in entry.servers:
            server.text = text
        entry.nursery.start_soon(entry.keep_asking)
        address = getattr(entry, listener)
        async with flood.keep_open(address, count, make_pieces, path):
            assert await entry.ask_ordinary("beside") == 200
            assert entry.count_descriptors() <= entries.MAX_DESCRIPTORS
        assert await entry.ask_ordinary("afterwards") == 200
        assert entry.is_running()
        assert entry.read_peak_memory_mb() <= entries.MEMORY_MB

    run(tmp_path, scenario)


@pytest.mark.parametrize(("listener", "path"), PLACES)
@pytest.mark.parametrize(("count", "make_pieces"), FLOODS)
def test_flood_keeps_out_no_ordinary_caller(
    tmp_path, listener, path, count, make_pieces
):
    play(tmp_path, listener, path, count, make_pieces)


def test_readers_that_stop_hold_no_more_than_the_machine_has(tmp_path):
    text = "x" * 900_000
    play(tmp_path, CALLERS, ROUTE, 200, flood.ask_only, text)


def test_one_request_inside_the_limits_is_served(tmp_path):
    # The limits that keep floods out must not refuse a lone caller.
    async def scenario(entry):
        whole = b"".join(flood.send_whole_body(ROUTE)) + bytes(10)
        fields = b"".join(flood.send_many_fields(ROUTE)) + bytes(10)
        chunks = b"".join(flood.send_small_chunks(ROUTE)) + b"0\r\n\r\n"
        for request in (whole, fields, chunks):
            host, _, port = entry.callers.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(request)
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")
            await stream.aclose()

    run(tmp_path, scenario)
