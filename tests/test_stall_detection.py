"""Tests of the detection of stalled backend servers."""

import math
import types

import pytest
import trio
import trio.testing

from sycamorespool import attempts
from sycamorespool import backends
from sycamorespool.decisions import placement
from sycamorespool.decisions import registry
from sycamorespool.decisions import retries
from sycamorespool.decisions import server_activity
from sycamorespool import stall_detection

GROUP_SIZE = 3


def make_context():
    state = registry.Registry()
    for rank in range(GROUP_SIZE):
        member = backends.Membership(
            "m@1", 1, rank, backends.MemberState.READY
        )
        server = backends.Backend(
            f"i-{rank}",
            "s",
            f"10.0.0.{rank}:1",
            "dc",
            4,
            False,
            domain="d",
            membership=member,
        )
        registry.apply_entry(state, server.backend_id, server, 0.0)
    initial_state = placement.PlacementState(state, {})
    return types.SimpleNamespace(
        placement_state=initial_state, registry=state, engine_pool=None
    )


def make_attempt(available=10.0, silence_s=math.inf, is_idempotent=True):
    call = retries.CallTries(is_idempotent, deadline_s=99.0)
    budget = retries.RetryBudget(available, reserve=available)
    tries = attempts.Tries(call, budget)
    scope = trio.CancelScope()
    return attempts.MovableAttempt(scope, tries, silence_s, 0.0)


def run_watch(monkeypatch, wait_s, unresponsive=(), pause_s=0.0, attempt=None):
    """Watch one request at a head that sends nothing.

    Return whether the request was moved away, what the entry recorded of
    the head and the addresses of the members that were probed.
    """
    probed = []

    async def is_responding(pool, address, timeout_s):
        probed.append(address)
        if address in unresponsive:
            await trio.sleep(timeout_s)
        return address not in unresponsive

    monkeypatch.setattr(
        stall_detection.engines, "is_responding", is_responding
    )
    context = make_context()
    activity = context.placement_state.activities["i-0"]
    attempt = attempt or make_attempt()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stall_detection.watch, context)
            server_activity.begin(activity, trio.current_time())
            attempt.silent_since_s = trio.current_time()
            activity.movable.add(attempt)
            if pause_s:
                # The machine is suspended between two checks.
                await trio.sleep(1.5 * stall_detection.CHECK_PERIOD_S)
                clock.jump(pause_s)
            await trio.sleep(wait_s)
            nursery.cancel_scope.cancel()
            return attempt.scope.cancel_called

    clock = trio.testing.MockClock(autojump_threshold=0)
    is_moved = trio.run(main, clock=clock)
    return is_moved, activity, probed


class TestWatch:
    def test_silent_group_whose_members_all_answer_keeps_its_requests(
        self, monkeypatch
    ):
        is_moved, _, probed = run_watch(monkeypatch, 0.8)
        assert not is_moved
        assert set(probed) == {"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}

    @pytest.mark.parametrize("unresponsive", ["10.0.0.0:1", "10.0.0.2:1"])
    def test_group_with_an_unresponsive_member_loses_its_requests(
        self, monkeypatch, unresponsive
    ):
        limit_s = (
            server_activity.MIN_SUSPECT_SILENCE_S
            + 2 * stall_detection.PROBE_TIMEOUT_S
        )
        is_moved, activity, _ = run_watch(monkeypatch, limit_s, {unresponsive})
        assert is_moved
        assert server_activity.is_suspect(activity, 0.0, limit_s)

    def test_long_silence_moves_requests_whatever_the_members_answer(
        self, monkeypatch
    ):
        wait_s = (
            server_activity.MIN_STALL_SILENCE_S
            + 2 * stall_detection.CHECK_PERIOD_S
        )
        is_moved, _, _ = run_watch(monkeypatch, wait_s)
        assert is_moved

    def test_entry_that_was_paused_measures_silence_anew(self, monkeypatch):
        pause_s = 2 * server_activity.MIN_STALL_SILENCE_S
        wait_s = (
            server_activity.MIN_SUSPECT_SILENCE_S
            - stall_detection.CHECK_PERIOD_S
        )
        is_moved, _, probed = run_watch(monkeypatch, wait_s, pause_s=pause_s)
        assert not is_moved
        assert not probed

    @pytest.mark.parametrize(
        "attempt",
        [make_attempt(available=0.0), make_attempt(is_idempotent=False)],
    )
    def test_attempt_without_a_retry_goes_on_at_a_stalled_server(
        self, monkeypatch, attempt
    ):
        wait_s = 2 * server_activity.MIN_STALL_SILENCE_S
        is_moved, activity, _ = run_watch(monkeypatch, wait_s, attempt=attempt)
        assert not is_moved
        assert server_activity.is_suspect(activity, 0.0, wait_s)

    def test_attempt_without_a_retry_ends_once_a_member_is_lost(
        self, monkeypatch
    ):
        limit_s = (
            server_activity.MIN_SUSPECT_SILENCE_S
            + 2 * stall_detection.PROBE_TIMEOUT_S
        )
        attempt = make_attempt(available=0.0)
        is_moved, _, _ = run_watch(
            monkeypatch, limit_s, {"10.0.0.2:1"}, attempt=attempt
        )
        assert is_moved

    @pytest.mark.parametrize(
        ("wait_s", "is_expected"), [(0.3, False), (0.5, True)]
    )
    def test_single_attempt_that_gets_nothing_for_long_is_moved(
        self, monkeypatch, wait_s, is_expected
    ):
        attempt = make_attempt(silence_s=0.4)
        is_moved, _, _ = run_watch(monkeypatch, wait_s, attempt=attempt)
        assert is_moved == is_expected


class TestMovableAttempt:
    def test_attempt_that_waits_for_its_caller_is_not_moved(self):
        attempt = make_attempt()
        attempt.is_waiting = False

        async def main():
            assert not attempt.try_move(1.0)
            attempt.give_up(1.0)
            assert not attempt.scope.cancel_called
            assert attempt.tries.budget.available == 10.0
            attempt.is_waiting = True
            assert attempt.try_move(1.0)

        trio.run(main)

    def test_silence_is_allowed_for_longer_at_slow_servers(self):
        attempt = make_attempt(silence_s=1.0)
        assert not attempt.is_overdue(0.1, 0.9)
        assert attempt.is_overdue(0.1, 1.1)
        mean_ttfb_s = 0.5
        limit_s = attempts.SILENCE_PER_TTFB * mean_ttfb_s
        assert not attempt.is_overdue(mean_ttfb_s, limit_s)
        assert attempt.is_overdue(mean_ttfb_s, limit_s + 0.1)
