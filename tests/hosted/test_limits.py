"""Tests of backend servers that name how many requests a second they take."""

import contextlib

import trio

from sycamorespool import http_client

WINDOW_S = 4.0
# After a server first named its limit, it holds from the first of these times
# on, for an entry that it told the second time before.
SETTLE_S = 3.0
TOLD_S = 0.5
PLAY_S = SETTLE_S + WINDOW_S + 1.0
ASK_PERIOD_S = 0.05


async def play(fleet, ask, play_s=PLAY_S, period_s=ASK_PERIOD_S):
    """Ask again and again; return the answers' statuses."""
    statuses = []

    async def ask_once(number):
        with contextlib.suppress(http_client.ExchangeFailed):
            answer = await ask(number)
            statuses.append(answer.status)

    async with trio.open_nursery() as nursery:
        end_s = trio.current_time() + play_s
        number = 0
        while trio.current_time() < end_s:
            number += 1
            nursery.start_soon(ask_once, f"n{number}")
            await trio.sleep(period_s)
    return statuses


def count_most(server, from_s):
    """Return the most arrivals in any window that begins after a time."""
    times_s = [a.at_s for a in server.arrivals if a.at_s >= from_s]
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


def count_allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


class TestLimit:
    def test_server_gets_no_more_requests_than_the_limit_it_named(
        self, run_hosted
    ):
        async def scenario(fleet):
            limited, other = fleet.servers
            limited.limit_text = "0.5"
            began_s = trio.current_time()
            statuses = await play(
                fleet, lambda n: fleet.ask("/orders/1", number=n)
            )
            most = count_most(limited, began_s + SETTLE_S)
            assert most <= count_allowed(0.5)
            assert set(statuses) == {200}
            # The server without a limit took what the other one did not.
            assert count_most(other, began_s) > WINDOW_S / ASK_PERIOD_S * 0.7

        run_hosted(scenario)

    def test_head_of_a_group_gets_no_more_streams_than_its_limit(
        self, run_hosted
    ):
        async def scenario(fleet):
            limited = fleet.open_heads()[0]
            limited.limit_text = "0.5"
            began_s = trio.current_time()
            statuses = await play(fleet, fleet.ask_stream)
            most = count_most(limited, began_s + SETTLE_S)
            assert most <= count_allowed(0.5)
            assert set(statuses) == {200}

        run_hosted(scenario)

    def test_repeats_count_against_the_limit(self, run_hosted):
        async def scenario(fleet):
            limited, other = fleet.servers
            limited.limit_text = "0.5"
            other.faults.extend(["refuse", "cut", "fail"] * 99)
            began_s = trio.current_time()
            await play(fleet, lambda n: fleet.ask("/stock/1", "GET", number=n))
            most = count_most(limited, began_s + SETTLE_S)
            assert most <= count_allowed(0.5)

        run_hosted(scenario)


class TestAllLimited:
    def test_calls_beyond_the_limits_are_refused_at_once_and_never_run(
        self, run_hosted
    ):
        async def scenario(fleet):
            for server in fleet.servers:
                server.limit_text = "0.5"
            took_s, refused = [], {}

            async def ask(number):
                began_s = trio.current_time()
                answer = await fleet.ask("/orders/1", number=number)
                if answer.status == 503:
                    took_s.append(trio.current_time() - began_s)
                    refused[f"a{number}"] = answer
                return answer

            statuses = await play(fleet, ask)
            arrived = {a.attempt for s in fleet.servers for a in s.arrivals}
            assert set(statuses) == {200, 503}
            assert statuses.count(200) >= 5
            assert not arrived & refused.keys()
            # At most as long as a call may wait for a server.
            assert max(took_s) < 0.7
            assert sorted(took_s)[len(took_s) // 2] < 0.1
            for answer in refused.values():
                assert answer.body.startswith(b"servers_limited")
                assert float(answer.headers["retry-after"]) >= 1.0

        run_hosted(scenario)


class TestEnd:
    def test_server_gets_its_share_again_once_it_names_no_limit(
        self, run_hosted
    ):
        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.limit_text = "1"
            await play(
                fleet, lambda n: fleet.ask("/orders/1", number=n), play_s=6.0
            )
            limited.limit_text = ""

            async def is_used():
                limited.arrivals.clear()
                await play(
                    fleet,
                    lambda n: fleet.ask("/orders/1", number=n),
                    play_s=1.0,
                )
                return len(limited.arrivals) >= 5

            await fleet.wait_for(is_used)

        run_hosted(scenario)

    def test_values_that_are_no_number_hold_nothing_back(self, run_hosted):
        async def scenario(fleet):
            limited, other = fleet.servers
            for text in ("abc", "-1", "nan", "inf", "1e400", "1_0", "2,5"):
                limited.limit_text = text
                limited.arrivals.clear()
                statuses = await play(
                    fleet,
                    lambda n: fleet.ask("/orders/1", number=n),
                    play_s=0.8,
                )
                assert set(statuses) == {200}
                assert len(limited.arrivals) >= 3

        run_hosted(scenario)


class TestSharing:
    def test_limit_is_reported_to_the_other_entries_and_its_end_too(
        self, run_hosted
    ):
        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.limit_text = "30"
            key = f"limit/{limited.vm_id}"

            def newest():
                found = {}
                topic = fleet.store.topics["keyed.server-ends", 0]
                for record in topic.records:
                    size = record[0]
                    found[record[1 : 1 + size].decode()] = record[1 + size :]
                return found

            async def is_reported():
                await fleet.ask("/orders/1")
                return b"30" in newest().get(key, b"")

            await fleet.wait_for(is_reported)
            limited.limit_text = ""

            async def has_ended():
                await fleet.ask("/orders/1")
                return newest().get(key) == b""

            await fleet.wait_for(has_ended)

        run_hosted(scenario)

    def test_limit_that_another_entry_reports_holds_here(self, run_hosted):
        async def scenario(fleet):
            limited = fleet.servers[0]
            fleet.store.put(
                "keyed.server-ends",
                f"limit/{limited.vm_id}",
                {"per_s": 0.5, "started_ms": limited.born_ms},
            )
            limited.limit_text = "0.5"
            await trio.sleep(3.0)
            limited.arrivals.clear()
            await play(
                fleet, lambda n: fleet.ask("/orders/1", number=n), play_s=4.0
            )
            assert len(limited.arrivals) <= count_allowed(0.5)

        run_hosted(scenario)
