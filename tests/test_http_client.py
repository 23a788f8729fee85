"""Tests of the limits of responses that are read over a pool."""

import functools

import pytest
import trio

from examples import processes
from sycamorespool import http_client

FIRST = b"HTTP/1.1 200 OK\r\n"
CHUNKED = FIRST + b"transfer-encoding: chunked\r\n\r\n"
KIB = 1024
MAX_HELD_BYTES = 256 * KIB
EXCHANGES = 20


def run(beginning, repeated, scenario):
    """Run a scenario with a server that answers so, without end."""

    async def serve(stream):
        await stream.receive_some()
        try:
            await stream.send_all(beginning)
            while repeated:
                await stream.send_all(repeated)
        except trio.BrokenResourceError:
            return

    async def main():
        address = processes.find_free_address()
        host, _, port = address.rpartition(":")
        async with trio.open_nursery() as nursery:
            listen = functools.partial(
                trio.serve_tcp, serve, int(port), host=host
            )
            await nursery.start(listen)
            pool = http_client.make_pool(max_held_bytes=MAX_HELD_BYTES)
            await scenario(pool, f"http://{address}/x")
            assert pool.held_bytes == 0
            nursery.cancel_scope.cancel()

    trio.run(main)


# Each response had a limit of its own, and all of them together none.
@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (FIRST + b"\r\n", bytes(16 * KIB)),
        (CHUNKED, b"4000\r\n" + bytes(0x4000) + b"\r\n"),
        (FIRST + b"content-length: 999999999\r\n\r\n", bytes(16 * KIB)),
    ],
)
def test_responses_without_end_are_limited_together(beginning, repeated):
    async def scenario(pool, url):
        held = []

        async def exchange():
            with pytest.raises(http_client.ExchangeFailed):
                await http_client.exchange(pool, "GET", url, timeout_s=5.0)

        async with trio.open_nursery() as nursery:
            for _ in range(EXCHANGES):
                nursery.start_soon(exchange)
            while nursery.child_tasks:
                held.append(pool.held_bytes)
                await trio.lowlevel.checkpoint()
        assert 0 < max(held) <= MAX_HELD_BYTES

    run(beginning, repeated, scenario)


def test_head_of_very_many_fields_is_not_taken():
    async def scenario(pool, url):
        with pytest.raises(http_client.ExchangeFailed):
            await http_client.exchange(pool, "GET", url)

    fields = b"a:b\r\n" * (http_client.MAX_FIELDS + 1)
    run(FIRST + fields + b"content-length: 0\r\n\r\n", b"", scenario)
