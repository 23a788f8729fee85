"""Tests that try to break attempts that begin beside silent ones.

The servers send raw bytes.  What a server does with a request is taken from
a list by the order in which requests arrive at any of them.
"""

import copy
import random
import socket

import pytest
import trio

from examples import hosted_settings
from tests.hosted import fleet as fleets
from tests.hosted import raw_server

SERVICE = "ledger"
STREAM_KIND = b"text/event-stream"
BODY = b"whole"
# Longer than any silence after which another attempt begins.
SILENCE_S = 1.2
# Time after the deadline by which a caller has an answer.
LATE_S = 0.25
MAX_ATTEMPTS = 2


def make_event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def make_whole(request, body=BODY, length=None, status=b"200 OK"):
    """Return a whole answer, or the beginning of one with this length."""
    head = raw_server.make_head(request, b"text/plain")
    head = head.replace(b"200 OK", status)
    length = len(body) if length is None else length
    return head + b"content-length: %d\r\n\r\n%b" % (length, body)


def answer(wait_s=0.0, body=BODY, status=b"200 OK"):
    async def act(server, stream, request):
        await trio.sleep(wait_s)
        await stream.send_all(make_whole(request, body, status=status))

    return act


def cut(wait_s=0.0):
    """Return an act that closes its connection within the answer."""

    async def act(server, stream, request):
        await trio.sleep(wait_s)
        await stream.send_all(make_whole(request, b"who", length=5))

    return act


async def dribble(server, stream, request):
    """Send a byte now and then, for longer than any of these tests."""
    await stream.send_all(make_whole(request, b"", length=40))
    for _ in range(40):
        await trio.sleep(0.1)
        await stream.send_all(b"x")


async def mute(server, stream, request):
    await trio.sleep_forever()


class Servers:
    """Raw servers that share the list of what is done with requests."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.acts = []
        self.reached = []
        self.closed = []
        self.servers = {}
        self.silent_reports = set()

    async def start(self, names):
        for engine in list(self.fleet.servers):
            engine.remove_record()
        for name in names:
            await self.add(name)
        await trio.sleep(0.5)

    async def add(self, name, cold_ms=0):
        server = raw_server.RawServer(self.fleet.nursery, [])
        server.name = name
        server.scope = trio.CancelScope()

        async def script(stream, request):
            await self.serve(server, stream, request)

        server._scripts = [script]
        server.listeners = await trio.open_tcp_listeners(
            int(server.address.rpartition(":")[2]), host="127.0.0.1"
        )

        async def run():
            with server.scope:
                await trio.serve_listeners(
                    server._serve,
                    server.listeners,
                    handler_nursery=self.fleet.nursery,
                )

        self.fleet.nursery.start_soon(run)
        server.write_record(self.fleet.store, name, SERVICE)
        if cold_ms:
            record = {
                "service": SERVICE,
                "address": server.address,
                "zone": "dc",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "sequence": 2,
                "cold_left_ms": cold_ms,
                "born": 1,
            }
            self.fleet.store.put("keyed.servers", name, record)
        self.servers[name] = server
        return server

    async def stop_listening(self, name):
        """Take no new connections; those that are open go on."""
        server = self.servers[name]
        server.scope.cancel()
        for listener in server.listeners:
            await listener.aclose()

    async def serve(self, server, stream, request):
        if b" /api/report " in request.split(b"\r\n", 1)[0] + b" ":
            if server.name in self.silent_reports:
                await stream.receive_some()
                return
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
            )
            return
        self.reached.append((server.name, trio.current_time()))
        act = self.acts.pop(0) if self.acts else answer()
        async with trio.open_nursery() as nursery:

            async def run_act():
                await act(server, stream, request)
                nursery.cancel_scope.cancel()

            async def watch():
                while await stream.receive_some():
                    pass
                self.closed.append((server.name, trio.current_time()))
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            nursery.start_soon(run_act)

    async def wait_for(self, count):
        """Wait until so many requests have reached servers."""

        async def have_arrived():
            return len(self.reached) >= count

        await self.fleet.wait_for(have_arrived)

    def names(self):
        return [name for name, _ in self.reached]


@pytest.fixture
def change_config(monkeypatch):
    """Return a function that changes the configuration of the fleet."""
    config = copy.deepcopy(fleets.CONFIG)
    stock = next(r for r in config["routes"] if r["name"] == "stock")
    feeds = {
        **stock,
        "name": "feeds",
        "path_prefix": "/feeds/",
        "kind": "streaming",
        "resumable": True,
        "gap_aim_ms": 300,
    }
    config["routes"].append(feeds)
    monkeypatch.setattr(fleets, "CONFIG", config)

    def change(**values):
        stock.update(values)
        feeds.update(values)
        return config

    return change


@pytest.fixture(autouse=True)
def has_feeds(change_config):
    """Let each fleet have the route of streams of plain servers."""


@pytest.fixture(params=[0.0, 0.9], ids=["reversed", "in order"])
def task_order(request, monkeypatch):
    """Fix the order in which trio runs the tasks of a batch."""

    class Order(random.Random):
        def random(self):
            return request.param

    monkeypatch.setattr(trio._core._run, "_r", Order())


async def ask_lookup(fleet, number=1, deadline_ms=5000):
    return await fleet.ask(
        "/stock/1",
        "GET",
        number=number,
        sycamorespool_deadline_ms=str(deadline_ms),
    )


class TestLead:
    """A living attempt is ended only for an answer that is sure."""

    def test_answer_goes_on_when_the_one_beside_it_breaks_off(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])
            servers.acts = [answer(SILENCE_S), cut()]
            got = await ask_lookup(fleet)
            assert len(servers.reached) == 2
            assert (got.status, got.body) == (200, BODY)

        run_hosted(scenario)

    @pytest.mark.parametrize(
        "beside",
        [b"id: 2\nda", make_event(7)],
        ids=["part of an event", "wrong event"],
    )
    def test_stream_goes_on_when_the_one_beside_it_breaks_off(
        self, run_hosted, beside
    ):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])

            async def pause(server, stream, request):
                head = raw_server.make_head(request, STREAM_KIND) + b"\r\n"
                await stream.send_all(head + make_event(1))
                await trio.sleep(1.5)
                await stream.send_all(
                    b"".join(make_event(n) for n in range(2, 5))
                )

            async def break_off(server, stream, request):
                head = raw_server.make_head(request, STREAM_KIND) + b"\r\n"
                await stream.send_all(head + beside)

            servers.acts = [pause, break_off]
            got = await fleet.ask("/feeds/1")
            assert len(servers.reached) == 2
            assert got.body == fleets.STREAM

        run_hosted(scenario)

    def test_two_that_answer_at_once_give_one_whole_answer(self, run_hosted):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])
            for number in range(8):
                go_on = trio.Event()

                async def wait(server, stream, request, go_on=go_on):
                    if len(servers.reached) % 2 == 0:
                        go_on.set()
                    await go_on.wait()
                    await stream.send_all(make_whole(request))

                servers.reached.clear()
                servers.acts = [wait, wait]
                got = await ask_lookup(fleet, number + 1)
                assert (got.status, got.body) == (200, BODY)
                assert len(servers.reached) == 2
                await trio.sleep(0.1)

        run_hosted(scenario)

    def test_nothing_begins_beside_an_answer_that_cannot_be_resumed(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])
            part, rest = b"x" * 1_200_000, b"y" * 1000

            async def pause(server, stream, request):
                length = len(part) + len(rest)
                await stream.send_all(make_whole(request, part, length))
                await trio.sleep(SILENCE_S)
                await stream.send_all(rest)

            servers.acts = [pause]
            got = await ask_lookup(fleet)
            assert got.body == part + rest
            assert len(servers.reached) == 1

        run_hosted(scenario)


class TestLeavingServer:
    """A server may stop listening and still answer what it holds."""

    def test_answer_of_a_server_that_stopped_listening_is_not_ended(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a"])

            async def leave(server, stream, request):
                await servers.stop_listening(server.name)
                await trio.sleep(0.8)
                await stream.send_all(make_whole(request))

            servers.acts = [leave]
            got = await ask_lookup(fleet)
            assert (got.status, got.body) == (200, BODY)

        run_hosted(scenario)


class TestBounds:
    def test_lost_server_leads_to_no_more_attempts_than_allowed(
        self, run_hosted, task_order
    ):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b", "c", "d"])

            async def end(server, stream, request):
                await servers.stop_listening(server.name)
                await trio.sleep_forever()

            servers.acts = [end, answer(0.2), answer(0.2), answer(0.2)]
            got = await ask_lookup(fleet)
            assert got.status == 200
            assert len(servers.reached) <= MAX_ATTEMPTS, servers.names()

        run_hosted(scenario)

    def test_granted_attempt_is_made_when_its_server_is_lost(
        self, run_hosted, task_order, monkeypatch
    ):
        monkeypatch.setitem(hosted_settings.DEFAULTS, "retry_extra", 0)

        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])

            async def end(server, stream, request):
                await servers.stop_listening(server.name)
                await trio.sleep_forever()

            servers.acts = [end, answer()]
            got = await ask_lookup(fleet)
            assert got.status == 200, (got.status, servers.names())

        run_hosted(scenario)

    def test_no_more_servers_are_reached_than_max_attempts(
        self, run_hosted, change_config
    ):
        change_config(max_attempts=3)

        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b", "c", "d", "e"])
            failed = answer(0.7, b"broken", b"500 Failed")
            servers.acts = [mute, failed, mute, mute, mute]
            await ask_lookup(fleet, deadline_ms=2500)
            assert len(servers.reached) <= 3, servers.reached

        run_hosted(scenario)

    def test_moved_requests_keep_the_limit_of_a_cold_server(
        self, run_hosted, change_config
    ):
        config = change_config()
        service = next(s for s in config["services"] if s["name"] == SERVICE)
        service.update(cold_s=60, cold_per_s=2)

        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a"])
            count = 24
            servers.acts = [answer(SILENCE_S)] * count
            statuses = []

            async def ask(number):
                got = await ask_lookup(fleet, number)
                statuses.append(got.status)

            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(ask, number + 1)
                await servers.wait_for(count)
                assert servers.names() == ["a"] * count
                await servers.add("b", cold_ms=60_000)
            times = [at_s for name, at_s in servers.reached if name == "b"]
            most = max(
                (
                    sum(begin <= at_s < begin + 1.0 for at_s in times)
                    for begin in times
                ),
                default=0,
            )
            assert times, statuses
            # cold_per_s x cold_over (1) + cold_slack (0)
            assert most <= 2, (most, statuses)

        run_hosted(scenario)

    def test_moved_requests_are_spread_over_the_servers(
        self, run_hosted, change_config
    ):
        change_config(slo_ms=1000)

        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["c", "d"])
            # One request each that lasts, so that the third has least load.
            servers.acts = [dribble] * 2
            count = 24
            are_known = trio.Event()

            async def pause(server, stream, request):
                head = raw_server.make_head(request, b"text/plain") + b"\r\n"
                await stream.send_all(head)
                while not are_known.is_set():
                    await stream.send_all(b"x")
                    await trio.sleep(0.1)
                await trio.sleep(SILENCE_S)

            async with trio.open_nursery() as nursery:
                for number in range(2):
                    nursery.start_soon(ask_lookup, fleet, 100 + number)
                    await servers.wait_for(number + 1)
                assert sorted(servers.names()) == ["c", "d"]
                for name in "cd":
                    fleet.store.put("keyed.servers", name, None)
                await servers.add("a")
                servers.silent_reports.add("a")
                await trio.sleep(0.7)
                servers.acts = [pause] * count
                for number in range(count):
                    nursery.start_soon(ask_lookup, fleet, number + 1)
                await servers.wait_for(2 + count)
                assert servers.names()[2:] == ["a"] * count
                servers.reached.clear()
                for name in "cd":
                    servers.servers[name].write_record(
                        fleet.store, name, SERVICE
                    )
                await servers.add("b")
                await trio.sleep(0.7)
                are_known.set()
            got = {n: servers.names().count(n) for n in "bcd"}
            assert any(got.values())
            assert max(got.values()) <= count // 2, got

        run_hosted(scenario)


class TestAfterSilence:
    def test_server_that_went_on_is_used_again(self, run_hosted):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a"])
            count = 8
            servers.acts = [answer(SILENCE_S)] * count
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(ask_lookup, fleet, number + 1)
                await servers.wait_for(count)
                assert servers.names() == ["a"] * count
                await servers.add("b")
            # The other one is leaving, the sound one has gone on.
            fleet.store.put("keyed.servers", "b", None)
            await trio.sleep(SILENCE_S)
            began_s = trio.current_time()
            statuses = []
            for number in range(40):
                got = await ask_lookup(fleet, 100 + number)
                statuses.append(got.status)
                if got.status == 200:
                    break
                await trio.sleep(0.25)
            waited_s = trio.current_time() - began_s
            assert statuses == [200], (statuses, waited_s)

        run_hosted(scenario)


class TestDeadline:
    def test_answer_comes_at_the_deadline_while_another_one_connects(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a"])
            servers.acts = [mute]
            with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
                clients = [socket.socket() for _ in range(4)]
                for client in clients:
                    client.setblocking(False)
                    client.connect_ex(full.getsockname())
                began_s = trio.current_time()
                took_s = []

                async def ask():
                    got = await ask_lookup(fleet, deadline_ms=1000)
                    took_s.append(trio.current_time() - began_s)
                    assert got.status == 504

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await trio.sleep(0.1)
                    unreachable = raw_server.RawServer(fleet.nursery, [])
                    host, port = full.getsockname()
                    unreachable.address = f"{host}:{port}"
                    unreachable.write_record(fleet.store, "z", SERVICE)
                for client in clients:
                    client.close()
            assert took_s[0] < 1.0 + LATE_S, took_s

        run_hosted(scenario)

    def test_both_attempts_end_when_the_caller_leaves(self, run_hosted):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])
            servers.acts = [mute, mute]
            with trio.move_on_after(1.0):
                await ask_lookup(fleet)
            left_s = trio.current_time()
            assert len(servers.reached) == 2
            await trio.sleep(0.5)
            assert sorted(name for name, _ in servers.closed) == ["a", "b"]
            assert all(at_s - left_s < 0.3 for _, at_s in servers.closed)

        run_hosted(scenario)


class TestUnsafe:
    def test_unsafe_request_is_sent_once_to_a_silent_server(self, run_hosted):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])
            servers.acts = [answer(2.0)]
            got = await fleet.ask("/orders/1")
            assert (got.status, got.body) == (200, BODY)
            assert len(servers.reached) == 1

        run_hosted(scenario)

    def test_refusal_after_attempts_beside_each_other_is_no_promise(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = Servers(fleet)
            await servers.start(["a", "b"])

            async def refuse(server, stream, request):
                head = raw_server.make_head(request, b"text/plain")
                head = head.replace(b"200 OK", b"503 Full")
                await stream.send_all(
                    head + b"sycamorespool-not-executed: 1\r\n"
                    b"content-length: 0\r\n\r\n"
                )

            async def close(server, stream, request):
                await trio.sleep(0.8)

            servers.acts = [close] + [refuse] * 10
            got = await ask_lookup(fleet, deadline_ms=2000)
            assert got.status in (502, 504)

        run_hosted(scenario)
