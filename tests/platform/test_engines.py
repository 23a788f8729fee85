"""Tests of calls to engines that answer a request twice."""

import contextlib

import msgspec
import pytest
import trio

from examples import processes
from sycamorespool import backends
from sycamorespool import exceptions
from sycamorespool.platform import engines
from sycamorespool import short_calls

REPORT = {"sequence": 1, "busy": False, "queued": 0, "running": 0}
ORDER = backends.Order("i-1", backends.OrderKind.LEAVE, "m@1", 1)


def make_answer(status, body=b"", head=b""):
    length = b"content-length: %d\r\n" % len(body)
    code = str(status).encode()
    return b"HTTP/1.1 %b S\r\n%b%b\r\n%b" % (code, head, length, body)


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


def run_after_report(engine, call):
    """Fetch a report of an engine, then make a call; return its result."""

    async def fetch_and_call(caller, address):
        await engines.fetch_report(caller, address)
        return await call(caller)

    return run(engine, fetch_and_call)


def run(engine, call):
    """Make a call to an engine; return its result."""
    found = []

    async def main():
        host, _, port = engine.address.rpartition(":")
        async with trio.open_nursery() as nursery:

            async def listen(task_status=trio.TASK_STATUS_IGNORED):
                await trio.serve_tcp(
                    engine.serve, int(port), host=host, task_status=task_status
                )

            await nursery.start(listen)
            caller = short_calls.Caller()
            found.append(await call(caller, engine.address))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return found[0]


class TestSecondAnswer:
    # Review 5 (TWO): a second answer to a report was taken for that to an
    # order, so that a member of a group that was open joined another one.
    def test_it_is_not_taken_for_that_to_an_order(self):
        engine = Engine()

        async def order(caller):
            return await engines.send_order(
                caller, engine.address, ORDER, 7, None
            )

        assert run_after_report(engine, order) is backends.OrderOutcome.UNKNOWN
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

        async def order_twice(caller):
            outcomes = [
                await engines.send_order(
                    caller, engine.address, ORDER, 7, None
                )
                for _ in range(2)
            ]
            return outcomes[1]

        assert run_after_report(engine, order_twice) is outcome
        assert engine.orders == 2

    def test_it_is_not_taken_for_that_of_a_server_that_leaves(self):
        engine = Engine()
        backend = backends.Backend(
            "i-1", "s", engine.address, "dc", 1, False, domain="d"
        )

        async def ask(caller):
            return await engines.is_staying(caller, backend, "/health")

        assert run_after_report(engine, ask)


class StrangeEngine:
    """Answers all requests with one status, whatever it is."""

    def __init__(self, status):
        self.address = processes.find_free_address()
        self._status = status

    async def serve(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                await stream.send_all(self._answer(data))

    def _answer(self, data):
        named = b"Sycamorespool-Replica-Id: i-1\r\n"
        is_order = data.startswith(b"POST")
        body = b"" if is_order else msgspec.json.encode(REPORT)
        return make_answer(self._status, body, named)


async def get_report(caller, address):
    try:
        await engines.fetch_report(caller, address)
    except exceptions.BackendError as error:
        return type(error)


async def send_order(caller, address):
    return await engines.send_order(caller, address, ORDER, 7, None)


async def probe(caller, address):
    return await engines.probe(caller, address, 1.0)


async def ask_health(caller, address):
    backend = backends.Backend("i-1", "s", address, "dc", 1, False)
    return await engines.is_staying(caller, backend, "/health")


class TestStatus:
    # Bytes with the status of no answer passed for one: an order counted as
    # refused by them, and a server as answering.
    @pytest.mark.parametrize("status", ["000", "099", "20", "600", "999"])
    @pytest.mark.parametrize(
        ("call", "outcome"),
        [
            (get_report, exceptions.BackendCut),
            (send_order, backends.OrderOutcome.UNKNOWN),
            (probe, engines.ProbeStatus.SILENT),
            (ask_health, False),
        ],
    )
    def test_bytes_with_a_status_of_no_answer_are_none(
        self, status, call, outcome
    ):
        assert run(StrangeEngine(status), call) == outcome
