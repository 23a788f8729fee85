"""Tests of which requests an entry that is being stopped still takes."""

import pytest

from sycamorespool.decisions import stopping

ROUTE = "orders"
STOP = stopping.Stop(began_s=100.0, end_s=107.6)
# Time limit of requests that are not bound by it.
LIMIT_S = 20.0
FIRST_S = 50.0


def make_durations(*durations_s):
    durations = stopping.Durations(window_s=FIRST_S)
    for duration_s in durations_s:
        stopping.note_duration(durations, ROUTE, duration_s, FIRST_S)
    return durations


def may_begin(durations, after_s, limit_s=LIMIT_S):
    now_s = STOP.began_s + after_s
    return stopping.may_begin(STOP, durations, ROUTE, limit_s, now_s)


class TestMayBegin:
    # Requests that came late in the grace were passed on and cut at its end
    # without an answer, though they had run.
    @pytest.mark.parametrize("work_s", [0.1, 0.5, 1.0, 2.0, 3.5, 7.0])
    @pytest.mark.parametrize("after_s", [0.0, 2.0, 3.1, 4.0, 5.0, 6.0, 7.0])
    def test_request_is_taken_as_long_as_its_usual_time_fits(
        self, work_s, after_s
    ):
        durations = make_durations(0.1, work_s)
        left_s = STOP.end_s - STOP.began_s - after_s
        does_fit = work_s * 1.1 + 0.1 <= left_s
        assert may_begin(durations, after_s) is does_fit

    @pytest.mark.parametrize("after_s", [0.0, 7.5])
    def test_request_without_a_stop_is_taken(self, after_s):
        assert stopping.may_begin(
            None, make_durations(9.0), ROUTE, LIMIT_S, after_s
        )

    @pytest.mark.parametrize(
        ("after_s", "limit_s", "is_taken"),
        [(2.9, 20.0, True), (3.1, 20.0, False), (3.1, 4.0, True)],
    )
    def test_limit_counts_if_no_usual_time_is_known(
        self, after_s, limit_s, is_taken
    ):
        assert may_begin(make_durations(), after_s, limit_s) is is_taken

    def test_request_that_ends_by_its_deadline_is_taken(self):
        assert may_begin(make_durations(7.0), 5.0, limit_s=2.0)


class TestDurations:
    def test_duration_is_forgotten_after_two_windows(self):
        durations = make_durations(7.0)
        later_s = FIRST_S + stopping.WINDOW_S
        stopping.note_duration(durations, ROUTE, 1.0, later_s)
        assert stopping.find_longest_s(durations, ROUTE) == 7.0
        stopping.note_duration(
            durations, ROUTE, 1.0, later_s + stopping.WINDOW_S
        )
        assert stopping.find_longest_s(durations, ROUTE) == 1.0

    def test_routes_that_are_not_used_are_forgotten(self):
        durations = make_durations(7.0)
        for window in (1, 2):
            now_s = FIRST_S + window * stopping.WINDOW_S
            stopping.note_duration(durations, "other", 1.0, now_s)
        assert stopping.find_longest_s(durations, ROUTE) is None
        assert set(durations.former) | set(durations.current) == {"other"}
