"""Tests that try to break attempts that begin beside silent ones."""

import socket

import pytest
import trio

from tests.hosted import fleet as fleets
from tests.hosted import raw_fleet
from tests.hosted import raw_server


class TestLead:
    """A living attempt is ended only for an raw_fleet.answer that is sure."""

    def test_answer_goes_on_when_the_one_beside_it_breaks_off(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b"])
            servers.acts = [
                raw_fleet.answer(raw_fleet.SILENCE_S),
                raw_fleet.cut(),
            ]
            got = await raw_fleet.ask_lookup(fleet)
            assert len(servers.reached) == 2
            assert (got.status, got.body) == (200, raw_fleet.BODY)

        run_hosted(scenario)

    @pytest.mark.parametrize(
        "beside",
        [b"id: 2\nda", raw_fleet.make_event(7)],
        ids=["part of an event", "wrong event"],
    )
    def test_stream_goes_on_when_the_one_beside_it_breaks_off(
        self, run_hosted, change_config, beside
    ):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b"])

            async def pause(server, stream, request):
                head = (
                    raw_server.make_head(request, raw_fleet.STREAM_KIND)
                    + b"\r\n"
                )
                await stream.send_all(head + raw_fleet.make_event(1))
                await trio.sleep(1.5)
                await stream.send_all(
                    b"".join(raw_fleet.make_event(n) for n in range(2, 5))
                )

            async def break_off(server, stream, request):
                head = (
                    raw_server.make_head(request, raw_fleet.STREAM_KIND)
                    + b"\r\n"
                )
                await stream.send_all(head + beside)

            servers.acts = [pause, break_off]
            got = await fleet.ask("/feeds/1")
            assert len(servers.reached) == 2
            assert got.body == fleets.STREAM

        run_hosted(scenario)

    def test_two_that_answer_at_once_give_one_whole_answer(self, run_hosted):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b"])
            # The limit of silence depends on the usual time to an answer.
            for number in range(8):
                await raw_fleet.ask_lookup(fleet, f"quick-{number}")
            for number in range(8):
                go_on = trio.Event()

                async def wait(server, stream, request, go_on=go_on):
                    if len(servers.reached) % 2 == 0:
                        go_on.set()
                    await go_on.wait()
                    await stream.send_all(raw_fleet.make_whole(request))

                servers.reached.clear()
                servers.acts = [wait, wait]
                got = await raw_fleet.ask_lookup(fleet, number + 1)
                assert (got.status, got.body) == (200, raw_fleet.BODY)
                assert len(servers.reached) == 2
                await trio.sleep(0.1)

        run_hosted(scenario)

    def test_nothing_begins_beside_an_answer_that_cannot_be_resumed(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b"])
            part, rest = b"x" * 1_200_000, b"y" * 1000

            async def pause(server, stream, request):
                length = len(part) + len(rest)
                await stream.send_all(
                    raw_fleet.make_whole(request, part, length)
                )
                await trio.sleep(raw_fleet.SILENCE_S)
                await stream.send_all(rest)

            servers.acts = [pause]
            got = await raw_fleet.ask_lookup(fleet)
            assert got.body == part + rest
            assert len(servers.reached) == 1

        run_hosted(scenario)


class TestLeavingServer:
    """A server may stop listening and still raw_fleet.answer what it holds."""

    def test_answer_of_a_server_that_stopped_listening_is_not_ended(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a"])

            async def leave(server, stream, request):
                await servers.stop_listening(server.name)
                await trio.sleep(0.8)
                await stream.send_all(raw_fleet.make_whole(request))

            servers.acts = [leave]
            got = await raw_fleet.ask_lookup(fleet)
            assert (got.status, got.body) == (200, raw_fleet.BODY)

        run_hosted(scenario)


class TestAfterSilence:
    def test_server_that_went_on_is_used_again(self, run_hosted):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a"])
            count = 8
            servers.acts = [raw_fleet.answer(raw_fleet.SILENCE_S)] * count
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(raw_fleet.ask_lookup, fleet, number + 1)
                await servers.wait_for(count)
                assert servers.names() == ["a"] * count
                await servers.add("b")
            # The other one is leaving, the sound one has gone on.
            fleet.store.put("keyed.servers", "b", None)
            await trio.sleep(raw_fleet.SILENCE_S)
            began_s = trio.current_time()
            statuses = []
            for number in range(40):
                got = await raw_fleet.ask_lookup(fleet, 100 + number)
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
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a"])
            servers.acts = [raw_fleet.mute]
            with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
                clients = [socket.socket() for _ in range(4)]
                for client in clients:
                    client.setblocking(False)
                    client.connect_ex(full.getsockname())
                began_s = trio.current_time()
                took_s = []

                async def ask():
                    got = await raw_fleet.ask_lookup(fleet, deadline_ms=1000)
                    took_s.append(trio.current_time() - began_s)
                    assert got.status == 504

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await trio.sleep(0.1)
                    unreachable = raw_server.RawServer(fleet.nursery, [])
                    host, port = full.getsockname()
                    unreachable.address = f"{host}:{port}"
                    unreachable.write_record(
                        fleet.store, "z", raw_fleet.SERVICE
                    )
                for client in clients:
                    client.close()
            assert took_s[0] < 1.0 + raw_fleet.LATE_S, took_s

        run_hosted(scenario)

    def test_both_attempts_end_when_the_caller_leaves(self, run_hosted):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b"])
            servers.acts = [raw_fleet.mute, raw_fleet.mute]
            with trio.move_on_after(1.0):
                await raw_fleet.ask_lookup(fleet)
            left_s = trio.current_time()
            assert len(servers.reached) == 2
            await trio.sleep(0.5)
            assert sorted(name for name, _ in servers.closed) == ["a", "b"]
            assert all(at_s - left_s < 0.3 for _, at_s in servers.closed)

        run_hosted(scenario)


class TestUnsafe:
    def test_unsafe_request_is_sent_once_to_a_silent_server(self, run_hosted):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b"])
            servers.acts = [raw_fleet.answer(2.0)]
            got = await fleet.ask("/orders/1")
            assert (got.status, got.body) == (200, raw_fleet.BODY)
            assert len(servers.reached) == 1

        run_hosted(scenario)

    def test_refusal_after_attempts_beside_each_other_is_no_promise(
        self, run_hosted
    ):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
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
            got = await raw_fleet.ask_lookup(fleet, deadline_ms=2000)
            assert got.status in (502, 504)

        run_hosted(scenario)
