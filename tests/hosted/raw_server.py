"""Stands in for a backend server that sends any bytes as its answer."""

import functools
import re
import socket
import struct

import trio

from examples import processes

ATTEMPT = re.compile(rb"sycamorespool-attempt-id: (\S+)", re.IGNORECASE)
CHUNK = b"x" * 16384


class RawServer:
    """Answers each request by the next of some scripts.

    Parameters
    ----------
    scripts : list of callable
        Coroutine functions that are called with the connection and the head
        of a request, one for each request; the last one stays.
    """

    def __init__(self, nursery, scripts):
        self.address = processes.find_free_address()
        self.heads = []
        self._sequence = 0
        self._nursery = nursery
        self._scripts = list(scripts)

    async def start(self):
        host, _, port = self.address.rpartition(":")
        serve = functools.partial(
            trio.serve_tcp, self._serve, int(port), host=host
        )
        await self._nursery.start(serve)

    async def _serve(self, stream):
        async with stream:
            received = b""
            while b"\r\n\r\n" not in received:
                data = await stream.receive_some()
                if not data:
                    return
                received += data
            self.heads.append(received)
            script = self._scripts[0]
            if len(self._scripts) > 1:
                self._scripts.pop(0)
            try:
                await script(stream, received)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    def write_record(self, store, vm_id, service):
        """Write its record to the registry, with the next sequence."""
        self._sequence += 1
        store.put(
            "keyed.servers",
            vm_id,
            {
                "service": service,
                "address": self.address,
                "zone": "dc",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "sequence": self._sequence,
                "cold_left_ms": 0,
                "born": 1,
            },
        )


def make_head(request, kind):
    """Return the head of an answer that has neither a length nor chunks."""
    found = ATTEMPT.search(request)
    return (
        b"HTTP/1.1 200 OK\r\n"
        b"sycamorespool-attempt-id: %b\r\n"
        b"sycamorespool-replica-signature: s\r\n"
        b"content-type: %b\r\n" % (found.group(1) if found else b"", kind)
    )


def send(body, kind=b"text/plain"):
    """Return a script that sends a body and closes the connection."""

    async def script(stream, request):
        await stream.send_all(make_head(request, kind) + b"\r\n" + body)

    return script


def send_and_reset(body):
    """Return a script that sends a body and resets the connection."""

    async def script(stream, request):
        await send(body)(stream, request)
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    return script


def send_without_end(start, repeated=CHUNK, kind=b"text/plain"):
    """Return a script that sends bytes until its connection is closed."""

    async def script(stream, request):
        await stream.send_all(make_head(request, kind) + start)
        while True:
            await stream.send_all(repeated)

    return script
