"""Measures one authenticated call between two entries over loopback TCP.

Caller and callee run in one process, so the CPU time is that of both sides.
``fresh`` connects for each call, as for a peer whose connection was evicted
from the bounded cache.
"""

import time
import typing as t

import trio

from examples import processes
from sycamorespool.decisions import pings
from sycamorespool.entries import frames
from sycamorespool.entries import messages
from sycamorespool.entries import transport
from sycamorespool import models

CALLS = 2000
FRESH_CALLS = 300
UPDATES = tuple(
    pings.Update(f"entry-{n:03}", "10.0.0.1:7000", "dc", 1, 0, status, "r")
    for n, status in enumerate([pings.Status.ALIVE] * 3)
)
ASK = models.GrantAsk(
    "entry-001", "domain/d-001", {"g": 3}, {"drafts": 12}, 1, 1234.5, 1234.0
)
GRANTS = tuple(
    models.Grant(f"drafts-{n:08}", "drafts", 9, 2, 2.0, "10.0.0.1:80", "dc")
    for n in range(8)
)
EXCHANGES: dict[str, tuple[messages.Message, messages.Message]] = {
    "ping": (
        pings.Ping("entry-001", UPDATES),
        pings.Ack("entry-002", UPDATES),
    ),
    "grants": (
        messages.GrantsRequest(ASK),
        messages.GrantsReply(models.GrantAnswer("domain/d-001", 9, GRANTS)),
    ),
}


async def _measure(
    message: messages.Message, reply: messages.Message, is_fresh: bool
) -> dict[str, float]:
    key = b"benchmark-key"
    address = processes.find_free_address()
    callee = frames.Codec(key, "entry-002", 1)
    caller = frames.Codec(key, "entry-001", 1)

    async def handle(_: t.Any) -> messages.Message:
        return reply

    handlers: transport.Handlers = {type(message): handle}
    calls = FRESH_CALLS if is_fresh else CALLS
    async with trio.open_nursery() as nursery:
        callee_transport = transport.Transport(callee)
        await nursery.start(
            transport.serve, address, callee_transport, handlers
        )
        caller_transport = transport.Transport(caller)
        await caller_transport.call(address, message)
        start_s, start_cpu_s = time.perf_counter(), time.process_time()
        for _ in range(calls):
            if is_fresh:
                caller_transport.close()
            await caller_transport.call(address, message)
        cpu_s = time.process_time() - start_cpu_s
        elapsed_s = time.perf_counter() - start_s
        caller_transport.close()
        nursery.cancel_scope.cancel()
    request = frames.seal_request(caller, message)
    opened = frames.open_request(callee, request)
    return {
        "cpu_us_both_sides": cpu_s / calls * 1e6,
        "us_per_call": elapsed_s / calls * 1e6,
        "request_bytes": len(request),
        "reply_bytes": len(frames.seal_reply(callee, reply, opened)),
    }


def run() -> dict[str, t.Any]:
    """Measure each exchange over a kept and over fresh connections."""
    return {
        name: {
            "kept": trio.run(_measure, message, reply, False),
            "fresh": trio.run(_measure, message, reply, True),
        }
        for name, (message, reply) in EXCHANGES.items()
    }


if __name__ == "__main__":
    print(run())
