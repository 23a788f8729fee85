"""Tests of what backend servers say in their answers about themselves."""

import trio

from tests.hosted import fleet as fleets


ROUNDS = 8


class TestLeaving:
    def test_server_that_says_it_leaves_gets_nothing_more(self, run_hosted):
        async def scenario(fleet):
            leaving, other = fleet.servers
            leaving.is_leaving = True
            while not leaving.arrivals:
                await fleet.ask("/orders/1")
            others = len(other.arrivals)
            for number in range(11):
                answer = await fleet.ask("/orders/1", number=number)
                assert answer.status == 200
            assert len(leaving.arrivals) == 1
            assert len(other.arrivals) == others + 11

        run_hosted(scenario)

    def test_new_process_of_a_server_that_left_is_used(self, run_hosted):
        async def scenario(fleet):
            for server in fleet.servers:
                server.is_leaving = True
            for _ in fleet.servers:
                assert (await fleet.ask("/orders/1")).status == 200
            assert (await fleet.ask("/orders/1")).status == 503
            fleet.servers[0].restart()

            async def is_served():
                return (await fleet.ask("/orders/1")).status == 200

            await fleet.wait_for(is_served)

        run_hosted(scenario)

    def test_group_whose_member_says_it_leaves_is_closed(self, run_hosted):
        async def scenario(fleet):
            head = fleet.open_heads()[0]
            member = fleet.find_member(head)
            member.is_leaving = True
            await fleet.wait_for(fleet.count_open_is(1))
            # The owner plans again after each of its rounds of reports.
            asked = member.reports

            async def was_planned_often():
                return member.reports >= asked + ROUNDS

            await fleet.wait_for(was_planned_often)
            grouped = [engine for engine in fleet.engines if engine.group]
            assert member not in grouped or member.group["state"] != "joining"
            assert len(fleet.open_heads()) == 1

        run_hosted(scenario)


class TestPause:
    def test_server_that_wants_a_pause_gets_nothing_meanwhile(
        self, run_hosted
    ):
        async def scenario(fleet):
            busy, other = fleet.servers
            busy.faults.extend(["refuse"] * 99)
            busy.pause_s = 30.0
            while not busy.arrivals:
                await fleet.ask("/orders/1")
            for number in range(11):
                answer = await fleet.ask("/orders/1", number=number)
                assert answer.status == 200
            assert len(busy.arrivals) == 1

        run_hosted(scenario)

    def test_caller_is_told_at_once_when_to_come_back(self, run_hosted):
        async def scenario(fleet):
            for server, pause_s in zip(fleet.servers, (9.0, 7.0), strict=True):
                server.faults.extend(["refuse"] * 99)
                server.pause_s = pause_s
            # Both servers refuse the first request.
            await fleet.ask("/orders/1")
            began_s = trio.current_time()
            answer = await fleet.ask("/orders/1", number=2)
            assert trio.current_time() - began_s < 0.3
            assert answer.status == 503
            assert 6.0 < float(answer.headers["retry-after"]) <= 7.0
            attempts = {a.attempt for s in fleet.servers for a in s.arrivals}
            assert "a2" not in attempts

        run_hosted(scenario)

    def test_short_pause_is_waited_for(self, run_hosted):
        async def scenario(fleet):
            for server in fleet.servers:
                server.faults.append("refuse")
                server.pause_s = 0.2
            answer = await fleet.ask("/stock/1", "GET", key=fleets.KEY)
            assert answer.status == 200

        run_hosted(scenario)
