"""Tests of an entry's own calls to backend servers."""

import contextlib
import functools
import types

import pytest
import trio

from examples import processes
from sycamorespool import connection_pool
from sycamorespool import exceptions
from sycamorespool import short_calls

SERVERS = 5
NOW_S = 100.0
MAX_BODY_BYTES = 1000
FIRST = b"HTTP/1.1 200 OK\r\n"
CHUNKED = FIRST + b"transfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def make_call(address, **options):
    return short_calls.Call(
        address, "GET", "/x", MAX_BODY_BYTES, 1.0, **options
    )


class Server:
    """Answers each request by some bytes, on any connection."""

    def __init__(self, answer, does_close=False):
        self.address = processes.find_free_address()
        self.connections = 0
        self._answer = answer
        self._does_close = does_close

    async def serve(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                await stream.send_all(self._answer)
                if self._does_close:
                    await stream.aclose()
                    return


def run(*servers, scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            for server in servers:
                host, _, port = server.address.rpartition(":")
                serve = functools.partial(
                    trio.serve_tcp, server.serve, int(port), host=host
                )
                await nursery.start(serve)
            with trio.fail_after(10):
                await scenario(short_calls.Caller())
            nursery.cancel_scope.cancel()

    trio.run(main)


def ask(server):
    """Return the body of a server's answer, None if it was cut."""
    bodies = []

    async def scenario(caller):
        try:
            bodies.append((await caller.call(make_call(server.address))).body)
        except exceptions.BackendCut:
            bodies.append(None)

    run(server, scenario=scenario)
    return bodies[0]


def take_done(pool, address, now_s):
    """Take an idle connection as after one more exchange on it."""
    taken = pool.take(address, now_s, "b")
    taken.http = types.SimpleNamespace(start_next_cycle=lambda: None)
    return taken


def make_answer(body):
    return b"%bcontent-length: %d\r\n\r\n%b" % (FIRST, len(body), body)


class TestConnections:
    def test_each_address_has_one_connection_that_is_reused(self):
        servers = [Server(make_answer(b"ok")) for _ in range(SERVERS)]

        async def scenario(caller):
            for _ in range(3):
                for server in servers:
                    answer = await caller.call(make_call(server.address))
                    assert answer.body == b"ok"
            assert caller.connections.count_idle() == SERVERS

        run(*servers, scenario=scenario)
        assert [server.connections for server in servers] == [1] * SERVERS

    def test_unused_connections_are_closed_and_used_ones_stay(self):
        servers = [Server(make_answer(b"ok")) for _ in range(SERVERS)]

        async def scenario(caller):
            for server in servers:
                await caller.call(make_call(server.address))
            now_s = trio.current_time()
            pool, address = caller.connections, servers[0].address
            half_s = now_s + connection_pool.IDLE_EXPIRY_S / 2
            pool.put(address, take_done(pool, address, now_s), "b", half_s)
            pool.sweep(now_s + connection_pool.IDLE_EXPIRY_S)
            assert pool.count_idle() == 1
            assert pool.has_idle(address, now_s)

        run(*servers, scenario=scenario)

    @pytest.mark.parametrize(
        "options", [{"is_last": True}, {"may_reuse": False}]
    )
    def test_call_with_a_connection_of_its_own(self, options):
        server = Server(make_answer(b"ok"))

        async def scenario(caller):
            await caller.call(make_call(server.address))
            await caller.call(make_call(server.address, **options))
            await caller.call(make_call(server.address))

        run(server, scenario=scenario)
        assert server.connections == 2

    def test_address_without_a_listener_is_not_reached(self):
        async def scenario(caller):
            with pytest.raises(exceptions.BackendNotReached):
                await caller.call(make_call(processes.find_free_address()))

        run(scenario=scenario)


class TestLimits:
    # A server that answered without end filled the memory of the entry.
    @pytest.mark.parametrize(
        "answer",
        [
            make_answer(bytes(MAX_BODY_BYTES + 1)),
            FIRST + b"a:b\r\n" * (short_calls.MAX_FIELDS + 1) + b"\r\n",
            FIRST + b"a: " + bytes(short_calls.MAX_HEAD_BYTES),
            CHUNKED + b"1\r\nx\r\n" * short_calls.MAX_EVENTS + LAST_CHUNK,
            CHUNKED + b"0\r\na: " + bytes(short_calls.MAX_HEAD_BYTES),
            b"HTTP/1.1 103 Early\r\n\r\n" * short_calls.MAX_EVENTS
            + make_answer(b"ok"),
        ],
    )
    def test_answer_beyond_a_limit_is_cut(self, answer):
        assert ask(Server(answer)) is None

    def test_answers_within_the_limits_are_whole(self):
        body = bytes(MAX_BODY_BYTES)
        chunks = CHUNKED + b"2\r\nok\r\n" * 100 + LAST_CHUNK
        assert ask(Server(make_answer(body))) == body
        assert ask(Server(chunks)) == b"ok" * 100
        assert ask(Server(FIRST + b"\r\nok", does_close=True)) == b"ok"

    @pytest.mark.parametrize(
        "answer", [b"", FIRST, make_answer(b"ok")[:-1], CHUNKED + b"2\r\nok"]
    )
    def test_answer_that_stops_is_cut(self, answer):
        assert ask(Server(answer, does_close=True)) is None
