"""Tests of the bounds of attempts that begin beside silent ones."""

import trio

from examples import hosted_settings
from tests.hosted import raw_fleet
from tests.hosted import raw_server


class TestBounds:
    def test_lost_server_leads_to_no_more_attempts_than_allowed(
        self, run_hosted, task_order
    ):
        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b", "c", "d"])

            async def end(server, stream, request):
                await servers.stop_listening(server.name)
                await trio.sleep_forever()

            servers.acts = [
                end,
                raw_fleet.answer(0.2),
                raw_fleet.answer(0.2),
                raw_fleet.answer(0.2),
            ]
            got = await raw_fleet.ask_lookup(fleet)
            assert got.status == 200
            assert len(servers.reached) <= raw_fleet.MAX_ATTEMPTS, (
                servers.names()
            )

        run_hosted(scenario)

    def test_granted_attempt_is_made_when_its_server_is_lost(
        self, run_hosted, task_order, monkeypatch
    ):
        monkeypatch.setitem(hosted_settings.DEFAULTS, "retry_extra", 0)

        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b"])

            async def end(server, stream, request):
                await servers.stop_listening(server.name)
                await trio.sleep_forever()

            servers.acts = [end, raw_fleet.answer()]
            got = await raw_fleet.ask_lookup(fleet)
            assert got.status == 200, (got.status, servers.names())

        run_hosted(scenario)

    def test_no_more_servers_are_reached_than_max_attempts(
        self, run_hosted, change_config
    ):
        change_config(max_attempts=3)

        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a", "b", "c", "d", "e"])
            failed = raw_fleet.answer(0.7, b"broken", b"500 Failed")
            servers.acts = [
                raw_fleet.mute,
                failed,
                raw_fleet.mute,
                raw_fleet.mute,
                raw_fleet.mute,
            ]
            await raw_fleet.ask_lookup(fleet, deadline_ms=2500)
            assert len(servers.reached) <= 3, servers.reached

        run_hosted(scenario)

    def test_moved_requests_keep_the_limit_of_a_cold_server(
        self, run_hosted, change_config
    ):
        config = change_config()
        service = next(
            s for s in config["services"] if s["name"] == raw_fleet.SERVICE
        )
        service.update(cold_s=60, cold_per_s=2)

        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a"])
            count = 24
            servers.acts = [raw_fleet.answer(raw_fleet.SILENCE_S)] * count
            statuses = []

            async def ask(number):
                got = await raw_fleet.ask_lookup(fleet, number)
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
            servers = raw_fleet.Servers(fleet)
            await servers.start(["c", "d"])
            # One request each that lasts, so that the third has least load.
            servers.acts = [raw_fleet.dribble] * 2
            count = 24
            are_known = trio.Event()

            async def pause(server, stream, request):
                head = raw_server.make_head(request, b"text/plain") + b"\r\n"
                await stream.send_all(head)
                while not are_known.is_set():
                    await stream.send_all(b"x")
                    await trio.sleep(0.1)
                await trio.sleep(raw_fleet.SILENCE_S)

            async with trio.open_nursery() as nursery:
                for number in range(2):
                    nursery.start_soon(
                        raw_fleet.ask_lookup, fleet, 100 + number
                    )
                    await servers.wait_for(number + 1)
                assert sorted(servers.names()) == ["c", "d"]
                for name in "cd":
                    fleet.store.put("keyed.servers", name, None)
                await servers.add("a")
                servers.silent_reports.add("a")
                await trio.sleep(0.7)
                servers.acts = [pause] * count
                for number in range(count):
                    nursery.start_soon(raw_fleet.ask_lookup, fleet, number + 1)
                await servers.wait_for(2 + count)
                assert servers.names()[2:] == ["a"] * count
                servers.reached.clear()
                for name in "cd":
                    servers.servers[name].write_record(
                        fleet.store, name, raw_fleet.SERVICE
                    )
                await servers.add("b")
                await trio.sleep(0.7)
                are_known.set()
            got = {n: servers.names().count(n) for n in "bcd"}
            assert any(got.values())
            assert max(got.values()) <= count // 2, got

        run_hosted(scenario)
