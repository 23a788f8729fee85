"""Tests of the bounds that an entry's settings give its callers."""

import functools
import resource

import pytest
import trio
import trio.testing

from sycamorespool import asgi
from sycamorespool.callers import clients
from sycamorespool.callers import server
from sycamorespool.decisions import client_memory
from sycamorespool import settings
from sycamorespool import sockets


@pytest.mark.parametrize(
    ("kernel", "given", "connections"),
    [
        (1024, 0, 460),
        (65536, 4100, 1845),
        (256, 4100, 96),
        (resource.RLIM_INFINITY, 4100, 1845),
        (resource.RLIM_INFINITY, 0, 29491),
        (32, 0, 1),
    ],
)
def test_connections_leave_descriptors_for_requests(
    monkeypatch, kernel, given, connections
):
    # Without one for its request at a server, a caller cannot be served.
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (kernel, kernel))
    limits = settings.LimitsSection(max_descriptors=given)
    assert clients.find_max_connections(limits) == connections


@pytest.mark.parametrize(
    ("values", "held_mb"),
    [({}, 64), ({"memory_mb": 200.0}, 80), ({"held_mb": 10.0}, 10)],
)
def test_memory_of_callers_is_a_part_of_the_machine(values, held_mb):
    limits = settings.LimitsSection(**values)
    assert clients.find_held_bytes(limits) == held_mb * 1024 * 1024


class TestShortage:
    """Plays connections of a server whose memory for callers is used up."""

    LIMITS = settings.LimitsSection(held_mb=1.0, idle_timeout_s=5.0)
    HEAD = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n"

    def run(self, scenario):
        """Run a scenario that holds memory; it gets the address and that."""

        async def app(scope, receive, send):
            await asgi.read_body(receive, 99)
            await send(
                {"type": "http.response.start", "status": 200, "headers": []}
            )
            await receive_disconnect(receive)

        async def receive_disconnect(receive):
            with trio.move_on_after(1.0):
                await receive()
            self.ended.append("request")
            self.done.set()

        async def main():
            self.ended = []
            self.done = trio.Event()
            shared = clients.Clients(self.LIMITS)
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    functools.partial(
                        server.serve,
                        app,
                        "127.0.0.1:0",
                        self.LIMITS,
                        trio.Event(),
                        shared=shared,
                    )
                )
                await scenario(address, shared.memory)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))

    def fill(self, memory):
        """Let a request at a server hold all that is left."""
        holding = client_memory.add(memory, 0.0)
        holding.phase = client_memory.Phase.RUNNING
        holding.size_bytes = memory.limit_bytes - memory.used_bytes
        memory.used_bytes = memory.limit_bytes

    def test_bytes_sent_ahead_do_not_break_a_request_that_runs(self):
        # They were refused, and the refusal ended the running request.
        async def scenario(address, memory):
            caller = await sockets.connect(address)
            await caller.send(self.HEAD + b"ab")
            await trio.testing.wait_all_tasks_blocked(0.01)
            self.fill(memory)
            await caller.send(self.HEAD)
            with trio.fail_after(5.0):
                await self.done.wait()
            assert self.ended == ["request"]

        self.run(scenario)

    def test_head_without_room_is_refused_unparsed(self):
        async def scenario(address, memory):
            caller = await sockets.connect(address)
            await trio.testing.wait_all_tasks_blocked(0.01)
            self.fill(memory)
            memory.limit_bytes += 2 * len(self.HEAD)
            await caller.send(self.HEAD[:-2] + b"a:\r\n" * 50 + b"\r\nab")
            answer = await caller.receive()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b'"not run"' in answer
            assert self.ended == []

        self.run(scenario)
