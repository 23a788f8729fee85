"""Tests of retries: every point where a call can be cut."""

import itertools

import pytest

from sycamorespool.decisions import retries

# What a backend server may have done when an attempt is cut there.
RUNS = {"not_reached": 0, "refused": 0, "sent": 1, "partial": 1}
POINTS = [
    points
    for length in (1, 2, 3, 4)
    for points in itertools.product(retries.Cut, repeat=length)
]


def play(is_idempotent, points, saved=10.0, deadline_s=9.0):
    """Run a call through cuts; return the runs and the final action."""
    call = retries.CallTries(is_idempotent, deadline_s)
    budget = retries.RetryBudget(saved)
    runs = 0
    for now_s, cut in enumerate(points):
        runs += RUNS[cut]
        action = retries.decide(call, cut, budget, float(now_s))
        if action in (retries.Action.NOT_RUN, retries.Action.UNKNOWN):
            return runs, action
    return runs, None


def broken_promises(is_idempotent, saved=10.0, deadline_s=9.0):
    broken = set()
    for points in POINTS:
        runs, action = play(is_idempotent, points, saved, deadline_s)
        if action is retries.Action.NOT_RUN and runs:
            broken.add("not run is true")
        if not is_idempotent and runs > 1:
            broken.add("at most once")
        if len(points) == retries.MAX_ATTEMPTS and action is None:
            broken.add("final answer")
    return broken


class TestCuts:
    @pytest.mark.parametrize("is_idempotent", [True, False])
    @pytest.mark.parametrize("saved", [0.0, 1.0, 10.0])
    @pytest.mark.parametrize("deadline_s", [0.0, 2.0, 9.0])
    def test_promises_hold_at_every_cut(
        self, is_idempotent, saved, deadline_s
    ):
        assert not broken_promises(is_idempotent, saved, deadline_s)

    def test_promises_fail_without_the_mechanisms(self, monkeypatch):
        row = (False, retries.Cut.SENT)
        with monkeypatch.context() as patch:
            patch.setitem(retries.ALLOWED, row, retries.Action.RETRY)
            assert "at most once" in broken_promises(False)
        with monkeypatch.context() as patch:
            # Without the memory of earlier tries the last cut alone speaks.
            patch.setattr(retries, "HARMLESS", frozenset(retries.Cut))
            assert "not run is true" in broken_promises(True)

    def test_stream_is_resumed_and_lost_answer_retried(self):
        budget = retries.RetryBudget()
        call = retries.CallTries(True, 9.0)
        decide = retries.decide
        assert decide(call, retries.Cut.PARTIAL, budget, 0.0) == "resume"
        assert decide(call, retries.Cut.SENT, budget, 0.0) == "retry"


class TestBudget:
    def test_reserve_comes_back_with_time_and_never_over_its_bound(self):
        budget = retries.RetryBudget(2.0, 2.0, 10.0, refill_per_s=0.2)
        spent_s = []
        for step in range(1200):
            call = retries.CallTries(False, 999.0)
            now_s = step * 0.05
            cut = retries.Cut.REFUSED
            if retries.decide(call, cut, budget, now_s) == "retry":
                spent_s.append(now_s)
        assert len(spent_s) >= 12
        for start_s in spent_s:
            window = [s for s in spent_s if start_s <= s < start_s + 10.0]
            assert len(window) <= 2 + 0.2 * 10.0

    def test_reserve_is_not_refilled_over_what_requests_saved(self):
        budget = retries.RetryBudget(5.0, 2.0, 10.0, refill_per_s=1.0)
        retries.refill(budget, 60.0)
        assert budget.saved == 5.0

    def test_retries_are_a_fraction_of_requests(self):
        budget = retries.RetryBudget()
        sent = 0
        for number in range(1000):
            retries.count_request(budget, 0.1, number * 0.01)
            call = retries.CallTries(True, 99.0)
            cut = retries.Cut.NOT_REACHED
            while retries.decide(call, cut, budget, 0.0) == "retry":
                sent += 1
        assert sent <= 0.1 * 1000 + retries.BUDGET_RESERVE

    def test_busy_workspace_can_move_once(self):
        budget = retries.RetryBudget()
        for number in range(6000):
            retries.count_request(budget, 0.1, number * 0.01)
        assert budget.saved == pytest.approx(610.0)

    def test_backoff_is_bounded_and_spread(self):
        assert retries.backoff_s(0, 1.0) == pytest.approx(0.02)
        assert retries.backoff_s(1, 0.5) == pytest.approx(0.02)
        assert retries.backoff_s(60, 1.0) == 1.0


class TestCircuit:
    def test_opens_probes_and_closes(self):
        breaker = retries.CircuitBreaker()
        for _ in range(3):
            assert retries.allows(breaker, 5, 0.0)
            retries.note_result(breaker, False, 0.0)
        assert not retries.allows(breaker, 0, 0.9)
        assert not retries.allows(breaker, 1, 1.0)
        assert retries.allows(breaker, 0, 1.0)
        retries.note_result(breaker, False, 1.0)
        assert not retries.allows(breaker, 0, 2.9)
        assert retries.allows(breaker, 0, 3.0)
        retries.note_result(breaker, True, 3.0)
        assert retries.allows(breaker, 5, 3.0)
