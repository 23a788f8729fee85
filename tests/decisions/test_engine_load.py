"""Tests of placement and ranks by the published times of model engines."""

import random

import pytest

from sycamorespool.decisions.placing import engine_load
from tests.decisions import engine_queues as queues

SERVERS = 20
ANSWER_TOKENS = 110
SHORT_TOKENS, LONG_TOKENS = (200, 900), (3000, 6000)
LONG_FRACTION = 0.15
MEAN_TOKENS = round(
    (1 - LONG_FRACTION) * sum(SHORT_TOKENS) / 2
    + LONG_FRACTION * sum(LONG_TOKENS) / 2
)


def draw_mixed(rng):
    is_long = rng.random() < LONG_FRACTION
    tokens = rng.randrange(*(LONG_TOKENS if is_long else SHORT_TOKENS))
    return engine_load.Work(tokens, ANSWER_TOKENS), 0


def draw_alike(rng):
    return engine_load.Work(rng.randrange(400, 1000), ANSWER_TOKENS), 0


def play(entries, load, draw, mean_tokens, is_by_times, seed=1, length_s=12.0):
    """Play requests at a multiple of the room that there is."""
    room_per_s = queues.find_room_per_s(SERVERS, mean_tokens, ANSWER_TOKENS)
    rng = random.Random(seed)
    jobs = queues.make_jobs(rng, load * room_per_s, length_s, entries, draw)
    fleet = queues.Fleet(SERVERS, entries, seed, is_by_times, is_by_times)
    return fleet.play(jobs), fleet


class TestPrediction:
    def test_short_prompt_avoids_the_server_that_reads_a_long_one(self):
        reading = engine_load.ServerLoad(1, 0, 1, 5000)
        writing = engine_load.ServerLoad(2, 0, 0, 0)
        short = engine_load.Work(300, 100)

        def cost_s(load):
            return engine_load.predict_cost_s(
                queues.TIMES, queues.MODEL, queues.SLOTS, short, load
            )

        assert cost_s(writing) < cost_s(reading)

    def test_long_prompt_costs_those_whose_prompts_wait(self):
        waiting = engine_load.ServerLoad(2, 0, 2, 600)
        one = engine_load.ServerLoad(2, 0, 1, 600)
        long = engine_load.Work(6000, 100)

        def cost_s(load):
            return engine_load.predict_cost_s(
                queues.TIMES, queues.MODEL, queues.SLOTS, long, load
            )

        assert cost_s(one) < cost_s(waiting)

    def test_postponed_requests_are_not_waited_for(self):
        slots = queues.SLOTS

        def wait_s(postponed):
            load = engine_load.ServerLoad(slots + 8, postponed)
            return engine_load.predict_wait_s(
                queues.TIMES, queues.MODEL, slots, load
            )

        assert wait_s(9) == 0.0
        assert 0.0 < wait_s(4) < wait_s(0)

    def test_usual_lengths_replace_unknown_ones(self):
        found = engine_load.complete_work(queues.TIMES, 0, 0)
        assert found == engine_load.Work(850, 110)
        given = engine_load.complete_work(queues.TIMES, 7, 0)
        assert given == engine_load.Work(7, 110)


@pytest.mark.parametrize("load", [0.5, 0.7, 0.85])
def test_short_prompts_gain_where_an_entry_sees_the_load(load):
    # Counted by requests, a long prompt weighs as much as a short one, and
    # short ones wait behind it while other servers idle.
    before, _ = play(1, load, draw_mixed, MEAN_TOKENS, False)
    after, _ = play(1, load, draw_mixed, MEAN_TOKENS, True)

    def find_p99_s(jobs, is_long):
        kind = [
            job
            for job in jobs
            if (job.work.prompt_tokens >= LONG_TOKENS[0]) == is_long
        ]
        return queues.find_quantile_s(kind, 0.99)

    assert find_p99_s(after, False) <= find_p99_s(before, False) * 2 / 3
    assert find_p99_s(after, True) <= find_p99_s(before, True) * 1.1


@pytest.mark.parametrize("entries", [8, 30])
def test_overload_leaves_room_for_those_that_can_be_in_time(entries):
    # First come, first served, nearly all are late as soon as there are
    # more requests than room.
    in_time = {
        is_by_times: queues.count_in_time(
            play(entries, 2.0, draw_alike, 700, is_by_times)[0]
        )
        for is_by_times in (False, True)
    }
    assert in_time[True] >= 2 * in_time[False]


@pytest.mark.parametrize("entries", [8, 30])
def test_known_load_costs_nothing_while_there_is_room(entries):
    # All entries choose the same server if they trust old reports.
    jobs, fleet = play(entries, 0.7, draw_alike, 700, True)
    assert queues.count_in_time(jobs) >= 0.98 * len(jobs)
    busiest = max(fleet.counts.values())
    assert busiest <= 1.5 * len(jobs) / SERVERS


class TestRanks:
    @pytest.mark.parametrize(
        ("expected_s", "rank"), [(0.2, 1), (0.4, 1), (0.5, 6)]
    )
    def test_late_request_goes_behind(self, expected_s, rank):
        assert engine_load.choose_rank(1, expected_s, 0.4) == rank

    def test_request_without_an_objective_is_never_late(self):
        assert engine_load.choose_rank(2, 60.0, 0.0) == 2
