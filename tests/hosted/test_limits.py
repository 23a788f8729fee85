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
