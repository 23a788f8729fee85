"""Tests of requests that are refused before a backend server gets them."""

import pytest

from tests.callers import harness

CHAT = "/v1/chat/completions"
CHUNKED = {"transfer_encoding": "chunked", "content_length": None}
DEEP = b"[" * 30_000
MESSAGES = b'"messages": [{"role": "user"}]'
LONG_BODY = harness.make_chunk(b"x" * 70_000)
request = harness.make_request

BAD_REQUESTS = {
    "no HTTP": (b"nonsense\r\n\r\n", 400, "bad_http"),
    "two lengths": (request(Content_Length="7"), 400, "bad_http"),
    "coding": (
        request(transfer_encoding="zip", content_length=None),
        501,
        "bad_http",
    ),
    "long head": (request(x_more="x" * 9000), 431, "head_too_large"),
    "endless head": (
        b"GET / HTTP/1.1\r\nx: " + b"x" * 99_000,
        431,
        "head_too_large",
    ),
    "slow head": (b"POST /v1/chat", 408, "head_timeout"),
    "slow body": (request(content_length="900"), 408, "body_timeout"),
    "long body": (request(content_length="70000"), 413, "body_too_large"),
    "endless body": (
        request(body=LONG_BODY, **CHUNKED),
        413,
        "body_too_large",
    ),
    "no JSON": (request(body=b"{"), 400, "bad_json"),
    "no UTF-8": (request(body=b'{"model": "\xff"}'), 400, "bad_json"),
    "deep JSON": (
        request(body=b'{"model": "model", "messages": [{"a": ' + DEEP),
        400,
        "bad_json",
    ),
    "no messages": (request(body=b'{"model": "model"}'), 400, "bad_request"),
    "empty messages": (
        request(body=b'{"model": "model", "messages": []}'),
        400,
        "bad_request",
    ),
    "wrong type": (
        request(body=b'{"model": 1, ' + MESSAGES + b"}"),
        400,
        "bad_request",
    ),
    "no key": (request(authorization=None), 401, "unknown_key"),
    "key": (request(authorization="Bearer no"), 401, "unknown_key"),
    "scheme": (
        request(authorization=f"Basic {harness.KEY}"),
        401,
        "unknown_key",
    ),
    "priority": (request(x_priority="urgent"), 400, "bad_priority"),
    "model": (
        request(body=b'{"model": "none", ' + MESSAGES + b"}"),
        404,
        "unknown_service",
    ),
    "no model": (
        request(body=b'{"model": "plain", ' + MESSAGES + b"}"),
        404,
        "unknown_service",
    ),
    "service": (request("POST", "/services/none/x"), 404, "unknown_service"),
    "no plain service": (
        request("POST", "/services/model/x"),
        404,
        "unknown_service",
    ),
    "path": (request("POST", "/v2/chat"), 404, "not_found"),
    "method": (request("PUT", CHAT), 404, "not_found"),
    "dots": (
        request("POST", "/services/plain/stock/%2e%2e/charge"),
        400,
        "bad_path",
    ),
}


class TestBadRequests:
    @pytest.mark.parametrize("name", BAD_REQUESTS)
    def test_is_refused_with_its_error_code(self, name):
        raw, status, code = BAD_REQUESTS[name]
        backend = harness.make_backend(harness.make_stream(0))
        harness.assert_problem(
            harness.run_ask(raw, backend), status, code, "not run"
        )
        assert backend.connections == 0

    def test_not_ready(self):
        async def test(entry):
            entry.env.is_ready = False
            reply = await entry.ask(request())
            harness.assert_problem(reply, 503, "not_ready", "not run")
            assert int(reply.headers["retry-after"]) >= 1

        harness.run(test)

    def test_no_replica(self):
        harness.assert_problem(
            harness.run_ask(request()), 503, "no_capacity", "not run"
        )

    def test_idle_connection_is_closed(self):
        async def test(entry):
            caller = await entry.connect()
            assert await caller.connection.receive() == b""

        harness.run(test)
