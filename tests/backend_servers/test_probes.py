"""Tests of the prober against servers on loopback sockets."""

import functools

import msgspec
import pytest
import trio

from sycamorespool.backend_servers import probes
from sycamorespool import exceptions
from sycamorespool import models

REPORT = models.ProbeReport("v1", 7, models.EnginePhase.READY)
BODY = msgspec.json.encode(REPORT)
COMPLETE = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)
INVALID = {
    "closed": b"",
    "half": COMPLETE[:-5],
    "nonsense": b"\x00\x01\x02\r\n\r\n",
    "no report": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    "error": b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
    "too large": b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n"
    + b" " * 99999,
}


def probe_against(answers, probe_count):
    """Probe a server some times and return its number of connections.

    Each connection gets the next answer for all its requests; after an
    answer that is not complete the server closes it.
    """
    connections = []

    async def serve_one(stream):
        connections.append(stream)
        answer = answers[min(len(connections), len(answers)) - 1]
        while await stream.receive_some(1000):
            await stream.send_all(answer)
            if answer != COMPLETE:
                return

    async def main():
        async with trio.open_nursery() as nursery:
            serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
            listeners = await nursery.start(serve, serve_one, 0)
            port = listeners[0].socket.getsockname()[1]
            prober = probes.Prober()
            address = f"127.0.0.1:{port}"
            try:
                for _ in range(probe_count):
                    assert await prober.probe(address, 30.0) == REPORT
            finally:
                await prober.forget(address)
                nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    except* exceptions.BackendError as group:
        raise group.exceptions[0] from None
    return len(connections)


class TestProber:
    def test_connection_is_reused(self):
        assert probe_against([COMPLETE], 5) == 1

    @pytest.mark.parametrize("fault", INVALID)
    def test_invalid_answer_is_an_error(self, fault):
        with pytest.raises(exceptions.BackendCut):
            probe_against([INVALID[fault]], 1)

    def test_closed_port_is_not_reached(self):
        async def main():
            sock = trio.socket.socket()
            await sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            sock.close()
            await probes.Prober().probe(address)

        with pytest.raises(exceptions.BackendNotReached):
            trio.run(main)
