"""Tests of the HTTP server: which requests it answers in which state."""

import contextlib
import socket

import pytest
import trio
import trio.testing

from sycamorespool import asgi
from sycamorespool.callers import server
from sycamorespool import exceptions
from sycamorespool import settings
from sycamorespool import sockets

GRACE_S = 5.0
SLOW_S = 1.0
QUIET_S = 0.01
REQUEST = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab"


def run(app, scenario, is_leaving=lambda: False):
    """Run a scenario on a server; it gets the address and the stop event."""

    async def main():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                server.serve,
                app,
                "127.0.0.1:0",
                settings.LimitsSection(),
                stop,
                GRACE_S,
                is_leaving,
            )
            await scenario(address, stop)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=QUIET_S))


async def read_all(connection):
    """Return all bytes until the end of the connection."""
    received = b""
    while data := await connection.receive():
        received += data
    return received


def run_ask(app, raw=REQUEST):
    """Return all that a caller gets who sends some bytes and reads on."""
    received = []

    async def scenario(address, stop):
        connection = await sockets.connect(address)
        await connection.send(raw)
        received.append(await read_all(connection))
        connection.close()

    run(app, scenario)
    return received[0]


class TestFailures:
    @pytest.mark.parametrize(
        "error",
        [
            ValueError("unexpected"),
            OSError("unexpected"),
            asgi.AnswerCut(),
            ExceptionGroup("nursery", [exceptions.CallerStalled("x")]),
        ],
    )
    @pytest.mark.parametrize("is_read", [False, True])
    @pytest.mark.parametrize("has_head", [False, True])
    def test_error_before_the_answer_is_not_a_closed_connection(
        self, error, is_read, has_head
    ):
        async def app(scope, receive, send):
            if is_read:
                await asgi.read_body(receive, 99)
            if has_head:
                start = {"type": "http.response.start", "status": 200}
                await send({**start, "headers": []})
            raise error

        answer = run_ask(app)
        assert answer.startswith(b"HTTP/1.1 502 ")
        assert b"\r\nconnection: close\r\n" in answer.lower()
        assert b'"outcome":"outcome unknown"' in answer

    def test_error_in_the_answer_does_not_complete_it(self):
        async def app(scope, receive, send):
            start = {"type": "http.response.start", "status": 200}
            await send({**start, "headers": []})
            part = {"type": "http.response.body", "body": b"part"}
            await send({**part, "more_body": True})
            raise ValueError

        answer = run_ask(app)
        assert answer.count(b"HTTP/1.1") == 1
        assert answer.endswith(b"4\r\npart\r\n")

    def test_cut_answer_that_would_end_by_closing_is_reset(self):
        async def app(scope, receive, send):
            start = {"type": "http.response.start", "status": 200}
            await send({**start, "headers": []})
            part = {"type": "http.response.body", "body": b"part"}
            await send({**part, "more_body": True})
            raise asgi.AnswerCut

        with pytest.raises(BaseException) as caught:
            run_ask(app, REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
        assert caught.group_contains(ConnectionResetError)

    def test_error_after_the_answer_does_not_spoil_it(self):
        async def app(scope, receive, send):
            await asgi.read_body(receive, 99)
            await asgi.send_response(send, asgi.Response(200, b"whole"))
            raise ValueError

        answer = run_ask(app)
        assert answer.count(b"HTTP/1.1") == 1
        assert answer.endswith(b"\r\n\r\nwhole")


class TestBody:
    def test_body_that_is_no_http_is_refused(self):
        async def app(scope, receive, send):
            with contextlib.suppress(asgi.CallerGone):
                await asgi.read_body(receive, 99)

        head = b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked"
        answer = run_ask(app, head + b"\r\n\r\nzz\r\n")
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b'"code":"bad_http"' in answer
        assert b'"outcome":"not run"' in answer


class TestHead:
    def test_response_to_head_has_no_body_and_the_next_one_follows(self):
        async def app(scope, receive, send):
            await asgi.read_body(receive, 99)
            await asgi.send_response(send, asgi.Response(404, b"absent"))

        head = b"HEAD /x HTTP/1.1\r\nhost: h\r\n\r\n"
        last = b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        answer = run_ask(app, head + last)
        assert answer.count(b"HTTP/1.1 404 ") == 2
        assert answer.count(b"content-length: 6\r\n") == 2
        assert answer.endswith(b"\r\n\r\nabsent")
        assert answer.count(b"absent") == 1


class TestConnect:
    def test_tunnel_is_refused_before_it_reaches_the_application(self):
        async def app(scope, receive, send):
            await asgi.send_response(send, asgi.Response(200))

        answer = run_ask(app, REQUEST.replace(b"POST", b"CONNECT"))
        assert answer.startswith(b"HTTP/1.1 501 ")
        assert b'"code":"bad_http"' in answer
        assert b'"outcome":"not run"' in answer


class TestStop:
    @pytest.mark.parametrize("has_begun", [False, True])
    def test_request_open_at_the_end_of_the_grace_is_answered(self, has_begun):
        async def app(scope, receive, send):
            await asgi.read_body(receive, 99)
            if has_begun:
                start = {"type": "http.response.start", "status": 200}
                await send({**start, "headers": []})
                part = {"type": "http.response.body", "body": b"part"}
                await send({**part, "more_body": True})
            await trio.sleep_forever()

        async def scenario(address, stop):
            connection = await sockets.connect(address)
            await connection.send(REQUEST)
            await trio.sleep(1.0)
            stop.set()
            stopped_s = trio.current_time()
            answer = await read_all(connection)
            connection.close()
            took_s = trio.current_time() - stopped_s
            assert GRACE_S <= took_s < GRACE_S + server.LAST_ANSWERS_S
            assert answer.count(b"HTTP/1.1") == 1
            if has_begun:
                assert answer.endswith(b"4\r\npart\r\n")
            else:
                assert answer.startswith(b"HTTP/1.1 502 ")
                assert b'"code":"stopping"' in answer

        run(app, scenario)

    def test_answer_closes_the_connection_once_the_server_is_leaving(self):
        leaving = []

        async def scenario(address, stop):
            connection = await sockets.connect(address)
            await connection.send(REQUEST)
            await trio.sleep(SLOW_S / 2)
            leaving.append(True)
            answer = await read_all(connection)
            connection.close()
            assert b"\r\nconnection: close\r\n" in answer.lower()

        run(answer_slowly, scenario, lambda: bool(leaving))

    def test_answer_to_an_unread_body_announces_the_close(self):
        async def app(scope, receive, send):
            await asgi.send_response(send, asgi.Response(408))

        answer = run_ask(app, REQUEST[:-1])
        assert b"\r\nconnection: close\r\n" in answer.lower()

    def test_pipelined_request_that_was_read_is_answered(self):
        async def scenario(address, stop):
            connection = await sockets.connect(address)
            await connection.send(2 * REQUEST)
            await trio.sleep(SLOW_S / 2)
            stop.set()
            answer = await read_all(connection)
            connection.close()
            assert answer.count(b"HTTP/1.1 200 ") == 2
            assert answer.endswith(b"whole")

        run(answer_slowly, scenario)

    @pytest.mark.parametrize("passes", range(4))
    def test_request_that_crosses_the_stop_is_answered(self, passes):
        async def scenario(address, stop):
            connection = await sockets.connect(address)
            await trio.testing.wait_all_tasks_blocked(QUIET_S)
            stop.set()
            for _ in range(passes):
                await trio.lowlevel.checkpoint()
            await connection.send(REQUEST)
            answer = await read_all(connection)
            connection.close()
            assert answer.count(b"HTTP/1.1 200 ") == 1

        run(answer_slowly, scenario)

    @pytest.mark.parametrize("cut", [10, len(REQUEST) - 1])
    def test_request_that_is_arriving_at_the_stop_is_answered(self, cut):
        async def scenario(address, stop):
            connection = await sockets.connect(address)
            await connection.send(REQUEST[:cut])
            await trio.sleep(SLOW_S)
            stop.set()
            await trio.sleep(SLOW_S)
            await connection.send(REQUEST[cut:])
            answer = await read_all(connection)
            connection.close()
            assert answer.count(b"HTTP/1.1 200 ") == 1

        run(answer_slowly, scenario)

    def test_connections_that_wait_to_be_accepted_are_served(self):
        async def scenario(address, stop):
            stop.set()
            host, port = address.split(":")
            waiting = [
                socket.create_connection((host, int(port))) for _ in range(9)
            ]
            connections = [sockets.Connection(raw) for raw in waiting]
            for connection in connections:
                await connection.send(REQUEST)
            for connection in connections:
                answer = await read_all(connection)
                connection.close()
                assert answer.count(b"HTTP/1.1 200 ") == 1

        run(answer_slowly, scenario)

    def test_unread_request_is_answered_and_resets_nothing(self):
        async def scenario(address, stop):
            connection = await sockets.connect(address)
            await connection.send(REQUEST)
            await trio.sleep(SLOW_S / 2)
            stop.set()
            await connection.send(REQUEST)
            answer = await read_all(connection)
            connection.close()
            assert answer.count(b"HTTP/1.1 200 ") == 2
            assert answer.endswith(b"whole")

        run(answer_unread, scenario)


async def answer_slowly(scope, receive, send):
    await asgi.read_body(receive, 99)
    with trio.move_on_after(SLOW_S):
        await receive()
    await asgi.send_response(send, asgi.Response(200, b"whole"))


async def answer_unread(scope, receive, send):
    await asgi.read_body(receive, 99)
    await trio.sleep(SLOW_S)
    await asgi.send_response(send, asgi.Response(200, b"whole"))
