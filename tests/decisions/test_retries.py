"""Tests of the retry policy, with every sequence of failure points."""

import itertools

import pytest

from sycamorespool.decisions import retries

# Runs that a backend server may have made of an attempt that failed there.
RUNS = {"not_reached": 0, "refused": 0, "sent": 1, "partial": 1}
POINTS = [
    points
    for length in (1, 2, 3, 4)
    for points in itertools.product(retries.FailurePoint, repeat=length)
]


def play(is_idempotent, points, saved=10.0, deadline_s=9.0):
    """Fail a call at each point; return its runs and the final action."""
    call = retries.CallTries(is_idempotent, deadline_s)
    budget = retries.RetryBudget(saved)
    runs = 0
    for now_s, point in enumerate(points):
        runs += RUNS[point]
        action = retries.decide(call, point, budget, float(now_s))
        if action in (retries.Action.NOT_RUN, retries.Action.UNKNOWN):
            return runs, action
    return runs, None


def find_violations(is_idempotent, saved=10.0, deadline_s=9.0):
    violations = set()
    for points in POINTS:
        runs, action = play(is_idempotent, points, saved, deadline_s)
        if action is retries.Action.NOT_RUN and runs:
            violations.add("not run is true")
        if not is_idempotent and runs > 1:
            violations.add("at most once")
        if len(points) == retries.MAX_ATTEMPTS and action is None:
            violations.add("final answer")
    return violations


class TestCuts:
    @pytest.mark.parametrize("is_idempotent", [True, False])
    @pytest.mark.parametrize("saved", [0.0, 1.0, 10.0])
    @pytest.mark.parametrize("deadline_s", [0.0, 2.0, 9.0])
    def test_guarantees_hold_for_every_sequence_of_failures(
        self, is_idempotent, saved, deadline_s
    ):
        assert not find_violations(is_idempotent, saved, deadline_s)

    def test_guarantees_fail_without_table_or_memory_of_runs(
        self, monkeypatch
    ):
        row = (False, retries.FailurePoint.SENT)
        with monkeypatch.context() as patch:
            patch.setitem(retries.ACTION_TABLE, row, retries.Action.RETRY)
            assert "at most once" in find_violations(False)
        with monkeypatch.context() as patch:
            # With no attempt counted as run, the call is called not run.
            patch.setattr(
                retries, "NEVER_RUN", frozenset(retries.FailurePoint)
            )
            assert "not run is true" in find_violations(True)

    def test_partial_stream_resumes_and_lost_answer_retries(self):
        budget = retries.RetryBudget()
        call = retries.CallTries(True, 9.0)
        decide = retries.decide
        assert (
            decide(call, retries.FailurePoint.PARTIAL, budget, 0.0) == "resume"
        )
        assert decide(call, retries.FailurePoint.SENT, budget, 0.0) == "retry"


class TestBudget:
    def test_reserve_refills_at_its_rate_and_bounds_retries(self):
        budget = retries.RetryBudget(2.0, 2.0, 10.0, refill_per_s=0.2)
        spent_s = []
        for step in range(1200):
            call = retries.CallTries(False, 999.0)
            now_s = step * 0.05
            point = retries.FailurePoint.REFUSED
            if retries.decide(call, point, budget, now_s) == "retry":
                spent_s.append(now_s)
        assert len(spent_s) >= 12
        for start_s in spent_s:
            window = [s for s in spent_s if start_s <= s < start_s + 10.0]
            assert len(window) <= 2 + 0.2 * 10.0

    def test_refill_leaves_a_budget_above_the_reserve_unchanged(self):
        budget = retries.RetryBudget(5.0, 2.0, 10.0, refill_per_s=1.0)
        retries.refill(budget, 60.0)
        assert budget.available == 5.0

    def test_retries_are_limited_to_a_fraction_of_requests(self):
        budget = retries.RetryBudget()
        sent = 0
        for number in range(1000):
            retries.count_request(budget, 0.1, number * 0.01)
            call = retries.CallTries(True, 99.0)
            point = retries.FailurePoint.REFUSED
            while retries.decide(call, point, budget, 0.0) == "retry":
                sent += 1
        assert sent <= 0.1 * 1000 + retries.BUDGET_RESERVE

    def test_attempt_that_reached_no_server_costs_no_retry(self):
        budget = retries.RetryBudget(available=1.0, reserve=1.0)
        call = retries.CallTries(True, 99.0)
        for _ in range(retries.MAX_ATTEMPTS - 1):
            point = retries.FailurePoint.NOT_REACHED
            assert retries.decide(call, point, budget, 0.0) == "retry"
        assert budget.available == 1.0

    def test_retry_that_reached_no_server_is_not_paid_for_twice(self):
        budget = retries.RetryBudget(available=1.0, reserve=1.0)
        call = retries.CallTries(True, 99.0)
        for point in (
            retries.FailurePoint.SENT,
            retries.FailurePoint.NOT_REACHED,
        ):
            assert retries.decide(call, point, budget, 0.0) == "retry"
        assert budget.available == 0.0

    def test_budget_grows_with_the_requests_of_a_busy_workspace(self):
        budget = retries.RetryBudget()
        for number in range(6000):
            retries.count_request(budget, 0.1, number * 0.01)
        assert budget.available == pytest.approx(610.0)

    def test_backoff_grows_up_to_its_limit_and_scales_with_jitter(self):
        assert retries.backoff_s(0, 1.0) == pytest.approx(0.02)
        assert retries.backoff_s(1, 0.5) == pytest.approx(0.02)
        assert retries.backoff_s(60, 1.0) == 1.0


class TestCircuitBreaker:
    def test_breaker_opens_probes_and_closes(self):
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


class TestReserve:
    def test_reserved_retry_is_taken_once(self):
        call = retries.CallTries(True, 9.0)
        budget = retries.RetryBudget(1.0, reserve=1.0)
        sent = retries.FailurePoint.SENT
        assert retries.reserve(call, sent, budget, 1.0)
        assert retries.reserve(call, sent, budget, 1.0)
        assert budget.available == 0.0
        action = retries.decide(call, sent, budget, 1.0)
        assert action is retries.Action.RETRY
        action = retries.decide(call, sent, budget, 1.0)
        assert action is retries.Action.UNKNOWN

    @pytest.mark.parametrize(
        ("is_idempotent", "available", "deadline_s"),
        [(False, 5.0, 9.0), (True, 0.0, 9.0), (True, 5.0, 0.5)],
    )
    def test_no_retry_is_reserved_that_would_not_be_made(
        self, is_idempotent, available, deadline_s
    ):
        call = retries.CallTries(is_idempotent, deadline_s)
        budget = retries.RetryBudget(available, reserve=available)
        sent = retries.FailurePoint.SENT
        assert not retries.reserve(call, sent, budget, 1.0)
        assert budget.available == available


class TestBeside:
    """Tests of attempts that run beside silent ones."""

    def test_silent_attempt_is_counted_once(self):
        call = retries.CallTries(True, 9.0, max_runs=3)
        budget = retries.RetryBudget(10.0)
        assert retries.begin_beside(call, budget, 0.0, is_counted=False)
        retries.count_attempt(call, retries.FailurePoint.REFUSED)
        assert retries.begin_beside(call, budget, 1.0, is_counted=True)
        assert (call.tries, call.runs) == (2, 1)
        assert budget.available == 8.0

    @pytest.mark.parametrize(
        ("is_idempotent", "max_runs", "saved"),
        [(False, 3, 10.0), (True, 1, 10.0), (True, 3, 0.0)],
    )
    def test_attempt_beside_keeps_to_the_limits_of_retries(
        self, is_idempotent, max_runs, saved
    ):
        call = retries.CallTries(is_idempotent, 9.0, max_runs=max_runs)
        budget = retries.RetryBudget(saved, reserve=saved)
        assert not retries.begin_beside(call, budget, 0.0, is_counted=False)
        assert (call.tries, call.runs) == (0, 0)

    def test_last_failure_of_a_counted_attempt_still_decides(self):
        call = retries.CallTries(True, 9.0, max_runs=2)
        budget = retries.RetryBudget(10.0)
        assert retries.begin_beside(call, budget, 0.0, is_counted=False)
        point = retries.FailurePoint.REFUSED
        retries.count_attempt(call, point)
        sent = retries.FailurePoint.SENT
        action = retries.decide(call, sent, budget, 1.0, is_counted=True)
        assert action is retries.Action.RETRY
        assert call.may_have_run
