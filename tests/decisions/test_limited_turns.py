"""Tests of how what limited servers take is divided among calls."""

import collections
import math

import pytest

from sycamorespool.decisions.placing import limited_turns

KEY = limited_turns.QueueKey("drafts", "m", frozenset())
OTHER_KEY = limited_turns.QueueKey("drafts", "n", frozenset())


def join(turns, workspace, places, priority=0):
    return limited_turns.join(turns, KEY, workspace, priority, places, 0.0)


def take(turns, turn, workspace="w"):
    limited_turns.take(turns, KEY, turn, workspace, 0, 0.0)


class TestTurns:
    def test_call_without_others_may_be_sent(self):
        assert limited_turns.may_take(limited_turns.Turns(), KEY, None)

    def test_new_call_does_not_pass_those_that_wait(self):
        turns = limited_turns.Turns()
        turn = join(turns, "a", 1)
        assert not limited_turns.may_take(turns, KEY, None)
        assert limited_turns.may_take(turns, KEY, turn)
        assert limited_turns.may_take(turns, OTHER_KEY, None)

    def test_call_without_a_place_is_shed(self):
        turns = limited_turns.Turns()
        assert join(turns, "a", 0).is_shed
        assert limited_turns.may_take(turns, KEY, None)

    def test_call_of_another_workspace_pushes_out_the_newest_of_many(self):
        turns = limited_turns.Turns()
        many = [join(turns, "a", 2) for _ in range(2)]
        other = join(turns, "b", 2)
        assert [t.is_shed for t in (*many, other)] == [False, True, False]

    def test_lower_priority_is_pushed_out_first(self):
        turns = limited_turns.Turns()
        low = join(turns, "a", 1, priority=2)
        high = join(turns, "b", 1, priority=0)
        assert low.is_shed and not high.is_shed

    def test_call_that_leaves_lets_the_next_one_pass(self):
        turns = limited_turns.Turns()
        first, second = (join(turns, "a", 2) for _ in range(2))
        limited_turns.leave(turns, KEY, first)
        limited_turns.leave(turns, KEY, first)
        assert limited_turns.may_take(turns, KEY, second)
        assert limited_turns.count_waiting(turns, KEY) == 1

    def test_workspaces_share_alike_however_much_one_asks(self):
        turns, served = limited_turns.Turns(), collections.Counter()
        waiting = []
        for number in range(400):
            # One asks nine times as often as the other.
            name = "b" if number % 10 == 0 else "a"
            waiting.append((name, join(turns, name, 3)))
            waiting = [(n, t) for n, t in waiting if not t.is_shed]
            if number % 5 == 0:
                pair = next(
                    (n, t)
                    for n, t in waiting
                    if limited_turns.may_take(turns, KEY, t)
                )
                take(turns, pair[1], pair[0])
                waiting.remove(pair)
                served[pair[0]] += 1
        assert served["b"] >= 0.9 * 40

    def test_call_that_did_not_wait_counts_for_its_workspace(self):
        turns = limited_turns.Turns()
        for _ in range(3):
            take(turns, None, "a")
        first = join(turns, "a", 2)
        other = join(turns, "b", 2)
        assert not limited_turns.may_take(turns, KEY, first)
        assert limited_turns.may_take(turns, KEY, other)


class TestEstimate:
    def test_calls_that_wait_here_come_first(self):
        assert limited_turns.estimate_turn_s(0.5, 3, 2.0, 10.0) == 2.0

    # It said 1 s, whatever the limits.
    @pytest.mark.parametrize(("waiting", "turn_s"), [(0, 2.0), (2, 6.0)])
    def test_entry_without_a_part_goes_by_what_all_may_send(
        self, waiting, turn_s
    ):
        found_s = limited_turns.estimate_turn_s(math.inf, waiting, 0.0, 0.5)
        assert found_s == turn_s
