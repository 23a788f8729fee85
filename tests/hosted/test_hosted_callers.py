"""Tests that a caller's whole request gets an answer, whatever it holds."""

import pytest
import trio

from sycamorespool import sockets
from tests.hosted import fleet as fleets

ANSWER_LIMIT_S = 5.0


def make_request(method, path, *lines):
    return "\r\n".join(
        [
            f"{method} {path} HTTP/1.1",
            f"host: {fleets.HOST}",
            f"authorization: Bearer {fleets.KEY}",
            "sycamorespool-attempt-id: a1",
            "sycamorespool-deadline-ms: 3000",
            "content-length: 0",
            *lines,
            "\r\n",
        ]
    ).encode("latin-1")


async def read_some(fleet, raw):
    """Send bytes as a caller and return the first bytes of the answer."""
    connection = await sockets.connect(fleet.callers)
    await connection.send(raw)
    with trio.fail_after(ANSWER_LIMIT_S):
        received = await connection.receive()
    connection.close()
    return received


class TestOddRequests:
    @pytest.mark.parametrize("path", ["/orders/1", "/stock/1"])
    def test_header_with_other_bytes_gets_an_answer(self, run_hosted, path):
        async def scenario(fleet):
            raw = make_request("POST", path, "x-name: caf\xe9")
            answer = await read_some(fleet, raw)
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert fleet.servers[0].runs + fleet.servers[1].runs

        run_hosted(scenario)

    @pytest.mark.parametrize("path", ["/orders/1", "/nowhere/1"])
    def test_head_request_gets_an_answer(self, run_hosted, path):
        async def scenario(fleet):
            answer = await read_some(fleet, make_request("HEAD", path))
            assert answer.startswith(b"HTTP/1.1 ")

        run_hosted(scenario)
