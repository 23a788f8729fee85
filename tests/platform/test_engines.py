"""Tests of calls to engines that answer a request twice."""

import contextlib

import msgspec
import pytest
import trio

from examples import processes
from sycamorespool import address_pools
from sycamorespool import backends
from sycamorespool.platform import engines

REPORT = {"sequence": 1, "busy": False, "queued": 0, "running": 0}
ORDER = backends.Order("i-1", backends.OrderKind.LEAVE, "m@1", 1)


def make_answer(status, body=b"", head=b""):
    length = b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d S\r\n%b%b\r\n%b" % (status, head, length, body)


class Engine:
    """Answers a kept connection's next request by the last answer again."""

    def __init__(self, order_status=202):
        self.address = processes.find_free_address()
        self.orders = 0
        self._order_status = order_status

    async def serve(self, stream):
        last = b""
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                self.orders += data.startswith(b"POST")
                last = last or self._answer(data)
                await stream.send_all(last)

    def _answer(self, data):
        if data.startswith(b"GET /api/report"):
            return make_answer(200, msgspec.json.encode(REPORT))
        if data.startswith(b"GET /health"):
            return make_answer(200, head=b"Sycamorespool-Replica-Id: i-1\r\n")
        return make_answer(self._order_status)


def run(engine, call):
    """Fetch a report of an engine, then make a call; return its result."""
    found = []

    async def main():
        host, _, port = engine.address.rpartition(":")
        async with trio.open_nursery() as nursery:

            async def listen(task_status=trio.TASK_STATUS_IGNORED):
                await trio.serve_tcp(
                    engine.serve, int(port), host=host, task_status=task_status
                )

            await nursery.start(listen)
            pools = address_pools.AddressPools()
            await engines.fetch_report(pools, engine.address)
            found.append(await call(pools))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return found[0]


class TestSecondAnswer:
    # Review 5 (TWO): a second answer to a report was taken for that to an
    # order, so that a member of a group that was open joined another one.
    def test_it_is_not_taken_for_that_to_an_order(self):
        engine = Engine()

        async def order(pools):
            return await engines.send_order(
                pools, engine.address, ORDER, 7, None
            )

        assert run(engine, order) is backends.OrderOutcome.UNKNOWN
        assert engine.orders == 1

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (202, backends.OrderOutcome.BEGUN),
            (409, backends.OrderOutcome.CONFLICT),
            (412, backends.OrderOutcome.FENCED),
        ],
    )
    def test_no_request_follows_an_order_on_its_connection(
        self, status, outcome
    ):
        engine = Engine(status)

        async def order_twice(pools):
            outcomes = [
                await engines.send_order(pools, engine.address, ORDER, 7, None)
                for _ in range(2)
            ]
            return outcomes[1]

        assert run(engine, order_twice) is outcome
        assert engine.orders == 2

    def test_it_is_not_taken_for_that_of_a_server_that_leaves(self):
        engine = Engine()
        backend = backends.Backend(
            "i-1", "s", engine.address, "dc", 1, False, domain="d"
        )

        async def ask(pools):
            return await engines.is_staying(backend, "/health")

        assert run(engine, ask)
