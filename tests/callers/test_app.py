"""Tests of the API for callers while backend servers fail."""

import msgspec
import pytest
import trio.testing

from sycamorespool import settings
from sycamorespool import sockets
from tests.callers import harness

WHOLE_BODY = b'{"model": "model", "messages": [{"role": "user"}]}'
request = harness.make_request
head = harness.STREAM_HEAD
CHUNK = harness.make_chunk(harness.make_event(0))
LOST = (502, "answer_lost", "outcome unknown")
REFUSED = (503, "no_capacity", "not run")
BAD_ANSWERS = {
    "closed": (b"", False, LOST),
    "silent": (b"", True, LOST),
    "no HTTP": (b"\x00nonsense\r\n\r\n", True, LOST),
    "half a head": (head[:40], False, LOST),
    "half a head, held": (head[:40], True, LOST),
    "huge head": (b"HTTP/1.1 200 OK\r\nx: " + b"x" * 200_000, True, LOST),
    "other attempt": (head.replace(b"ATTEMPT", b"b"), True, LOST),
    "no attempt": (head.replace(b"x-attempt-id", b"x-none"), True, LOST),
    "no token": (head, True, LOST),
    "no stream": (harness.make_json(b"{}"), True, LOST),
    "other token": (head.replace(b"FROM", b"7"), True, LOST),
    "no events": (head + harness.make_chunk(b"\x00a\n\n"), True, LOST),
    "endless event": (
        head + harness.make_chunk(b"data: " + b"x" * 300_000),
        True,
        LOST,
    ),
    "closed in a chunk": (head + CHUNK[:9], False, LOST),
    "bad chunk": (head + b"zz\r\n", True, LOST),
    "ended in an event": (
        head + harness.make_chunk(b"data: {") + harness.END,
        True,
        LOST,
    ),
    "failed": (
        harness.make_json(b"{}", "500 Internal Server Error"),
        True,
        LOST,
    ),
    "refused": (
        harness.make_json(b"{}", "503 Service Unavailable"),
        True,
        REFUSED,
    ),
    "too many": (
        harness.make_json(b"{}", "429 Too Many Requests"),
        True,
        REFUSED,
    ),
}
BAD_WHOLE_ANSWERS = {
    "half": harness.make_json(b'{"a": 1}')[:-3],
    "no JSON": harness.make_json(b'{"a": 1'),
    "no UTF-8": harness.make_json(b'"\xff"'),
    "other attempt": harness.make_json(b"{}").replace(b"ATTEMPT", b"b"),
}


class TestBackendFaults:
    @pytest.mark.parametrize("name", BAD_ANSWERS)
    def test_stream(self, name):
        script, keeps_open, expected = BAD_ANSWERS[name]
        backend = harness.make_backend(script, keeps_open=keeps_open)

        async def test(entry):
            harness.assert_problem(await entry.ask(request()), *expected)
            await backend.disconnected.wait()
            assert entry.env.backend_connections.count_idle() == 0

        harness.run(test, backend)
        assert backend.connections == 1

    @pytest.mark.parametrize("name", BAD_WHOLE_ANSWERS)
    def test_whole_answer(self, name):
        backend = harness.make_backend(BAD_WHOLE_ANSWERS[name])
        reply = harness.run_ask(request(body=WHOLE_BODY), backend)
        harness.assert_problem(reply, *LOST)

    def test_endless_stream_ends_with_the_request_timeout(self):
        limits = settings.LimitsSection(
            request_timeout_s=50.0, idle_timeout_s=80.0
        )
        backend = harness.make_backend(harness.make_stream(0, end=False))
        reply = harness.run_ask(request(), backend, limits=limits)
        assert not reply.is_whole
        assert b'"answer_lost"' in reply.body

    @pytest.mark.parametrize(
        ("is_stream", "limit_s"), [(True, 30.0), (False, 600.0)]
    )
    def test_backend_may_be_silent_until_the_timeout(self, is_stream, limit_s):
        async def test(entry):
            raw = request() if is_stream else request(body=WHOLE_BODY)
            harness.assert_problem(await entry.ask(raw), *LOST)
            assert limit_s <= trio.current_time() < limit_s + 6

        harness.run(test, harness.make_backend(b""))

    def test_unreachable_backend_is_not_run(self):
        async def test(entry):
            listener = sockets.Listener("127.0.0.1:0")
            entry.grant(listener.address, "gone")
            listener.close()
            harness.assert_problem(await entry.ask(request()), *REFUSED)

        harness.run(test)

    def test_cut_then_no_place_is_outcome_unknown(self):
        cut, refusing = (
            harness.make_backend(b"", keeps_open=False),
            harness.make_backend(
                harness.make_json(b"{}", "503 Service Unavailable")
            ),
        )
        harness.assert_problem(
            harness.run_ask(request(), cut, refusing), *LOST
        )

    @pytest.mark.parametrize(
        ("path", "runs"), [("/charge", 1), ("/charge/7", 1), ("/stock", 2)]
    )
    def test_only_idempotent_calls_are_retried(self, path, runs):
        backends = [
            harness.make_backend(b"", keeps_open=False) for _ in range(2)
        ]
        raw = request("POST", f"/services/plain{path}")
        harness.assert_problem(harness.run_ask(raw, *backends), *LOST)
        assert sum(len(b.requests) for b in backends) == runs

    def test_second_replica_answers(self):
        backends = [
            harness.make_backend(head.replace(b"ATTEMPT", b"b")),
            harness.make_backend(harness.make_stream(0, 1)),
        ]
        reply = harness.run_ask(request(), *backends)
        assert reply.body == b"".join(
            [harness.make_event(0), harness.make_event(1), harness.DONE]
        )


class TestCallerDisconnects:
    @pytest.mark.parametrize(
        "script", [b"", harness.make_stream(0, end=False)]
    )
    def test_backend_stream_is_cancelled(self, script):
        backend = harness.make_backend(script)

        async def test(entry):
            caller = await entry.connect()
            await caller.connection.send(request())
            await backend.request_received.wait()
            await trio.testing.wait_all_tasks_blocked()
            started_s = trio.current_time()
            caller.connection.close()
            await backend.disconnected.wait()
            assert trio.current_time() == started_s
            assert entry.env.backend_connections.count_idle() == 0
            await trio.testing.wait_all_tasks_blocked()
            assert not entry.env.metrics.counters

        harness.run(test, backend)

    def test_waiting_request_is_cancelled(self):
        async def test(entry):
            caller = await entry.connect()
            await caller.connection.send(request())
            while not entry.env.held.waiting["model"]:
                await trio.lowlevel.checkpoint()
            caller.connection.close()
            while entry.env.requests_open:
                await trio.lowlevel.checkpoint()
            assert trio.current_time() < harness.LIMITS.queue_timeout_s

        harness.run(test)

    def test_call_that_is_not_idempotent_runs_on(self):
        backend = harness.make_backend(b"")

        async def test(entry):
            caller = await entry.connect()
            raw = request("POST", "/services/plain/charge")
            await caller.connection.send(raw)
            await backend.request_received.wait()
            caller.connection.close()
            await trio.testing.wait_all_tasks_blocked(harness.QUIET_S / 2)
            assert not backend.disconnected.is_set()
            await backend.disconnected.wait()

        harness.run(test, backend)

    def test_caller_that_does_not_read(self):
        event = harness.make_event(1)[:-3] + b" " * 60_000 + b"}\n\n"
        stream = head + harness.make_chunk(event) * 300
        backend = harness.make_backend(stream)

        async def test(entry):
            caller = await entry.connect()
            await caller.connection.send(request())
            await backend.disconnected.wait()
            assert trio.current_time() >= harness.LIMITS.idle_timeout_s / 2

        harness.run(test, backend)


class TestAnswers:
    def test_stream_and_headers(self):
        backend = harness.make_backend(harness.make_stream(0, 1, 2))
        reply = harness.run_ask(request(x_request_id="r-1"), backend)
        assert reply.body.count(b"data:") == 4
        assert reply.headers["content-type"] == "text/event-stream"
        assert reply.headers["x-request-id"] == "r-1"
        assert backend.requests[0]["x-request-id"] == "r-1"

    def test_whole_completion(self):
        backend = harness.make_backend(harness.make_json(b'{"choices": []}'))
        reply = harness.run_ask(request(body=WHOLE_BODY), backend)
        assert (reply.status, reply.body) == (200, b'{"choices": []}')
        assert reply.headers["content-length"] == str(len(reply.body))

    def test_connections_to_backends_are_reused(self):
        backend = harness.make_backend(harness.make_stream(0))

        async def test(entry):
            caller = await entry.connect()
            for _ in range(3):
                assert (await caller.ask(request())).is_whole
            assert entry.env.backend_connections.count_idle() == 1

        harness.run(test, backend)
        assert (backend.connections, len(backend.requests)) == (1, 3)

    def test_plain_call_keeps_query_and_body(self):
        backend = harness.make_backend(harness.make_json(b"{}"))
        path = "/services/plain/stock/a%20b?size=m&size=l"
        reply = harness.run_ask(request("POST", path, b"x=1"), backend)
        assert reply.status == 200
        assert backend.targets == ["/stock/a%20b?size=m&size=l"]
        assert backend.bodies == [b"x=1"]

    def test_large_answer(self):
        body = msgspec.json.encode("x" * 3_000_000)
        backend = harness.make_backend(harness.make_json(body))
        reply = harness.run_ask(
            request("POST", "/services/plain/stock"), backend
        )
        assert reply.is_whole
        assert reply.body == body

    @pytest.mark.parametrize(
        ("path", "status"),
        [("/healthz", 200), ("/readyz", 503), ("/v1/models", 503)],
    )
    def test_paths_while_the_entry_is_not_ready(self, path, status):
        async def test(entry):
            entry.env.is_ready = False
            raw = request("GET", path, b"")
            assert (await entry.ask(raw, "GET")).status == status

        harness.run(test)

    def test_models(self):
        raw = request("GET", "/v1/models", b"")
        reply = harness.run_ask(raw, method="GET")
        models = msgspec.json.decode(reply.body)["data"]
        assert [model["id"] for model in models] == ["model"]

    def test_stop_lets_open_requests_end(self):
        backend = harness.make_backend(harness.make_stream(0, end=False))
        backend.scripts.append(harness.make_stream(1))

        async def test(entry):
            idle = await entry.connect()
            entry.nursery.start_soon(stop_at_request, entry, backend)
            reply = await entry.ask(request())
            assert not reply.is_whole
            assert await idle.connection.receive() == b""
            with pytest.raises(OSError, match="refused"):
                await entry.connect()

        harness.run(test, backend)


async def stop_at_request(entry, backend):
    await backend.request_received.wait()
    entry.stop.set()


class TestResume:
    def test_cut_stream_is_resumed_at_its_next_token(self):
        half = harness.make_chunk(harness.make_event(2)[:9])
        cut = harness.make_stream(0, 1, end=False) + half
        rest = harness.make_stream(2, 3)
        replica = harness.make_backend(cut, rest, keeps_open=False)
        reply = harness.run_ask(request(), replica, replica)
        events = [harness.make_event(index) for index in range(4)]
        assert reply.body == b"".join([*events, harness.DONE])
        assert reply.is_whole
        assert replica.requests[1]["x-resume-from-token"] == "2"

    @pytest.mark.parametrize(
        "second",
        [
            harness.make_stream(0, 1, 2).replace(b"FROM", b"0"),
            harness.make_stream(1).replace(b"x-resume", b"x-none"),
            harness.make_json(b"{}"),
        ],
    )
    def test_answer_from_another_token_is_not_relayed(self, second):
        cut = harness.make_stream(0, end=False)
        replica = harness.make_backend(cut, second, keeps_open=False)

        async def test(entry):
            reply = await entry.ask(request())
            assert not reply.is_whole
            event, error = reply.body.split(b"\n\n", 1)
            assert event + b"\n\n" == harness.make_event(0)
            problem = msgspec.json.decode(error.removeprefix(b"data: "))
            assert problem["error"]["outcome"] == "outcome unknown"
            counters = entry.env.metrics.counters
            assert counters[("requests_cut", "w", "normal")] == 1

        harness.run(test, replica, replica)
