"""Tests of the detection of stalled backend servers."""

import math
import types
import typing as t

import pytest
import trio
import trio.testing

from sycamorespool import backends
from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions.placing import reachability
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions import registry
from sycamorespool.decisions import retries
from sycamorespool.platform import engines
from sycamorespool.requests import call_attempts
from sycamorespool import stall_detection

GROUP_SIZE = 3
SILENT = engines.ProbeStatus.SILENT
REFUSED = engines.ProbeStatus.REFUSED
# Time until the members have been probed once.
FIRST_PROBES_S = (
    server_activity.MIN_SUSPECT_SILENCE_S + 2 * stall_detection.PROBE_TIMEOUT_S
)


class Seen(t.NamedTuple):
    """What became of a request, and the addresses that were probed."""

    is_replaced: bool
    is_cancelled: bool
    activity: server_activity.BackendActivity
    probed: list[str]


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
    initial_state = placement_state.PlacementState(state, {})
    return types.SimpleNamespace(
        placement_state=initial_state,
        registry=state,
        server_caller=None,
        reach=reachability.Reachability(),
    )


def make_attempt(available=10.0, silence_s=math.inf, is_idempotent=True):
    call = retries.CallTries(is_idempotent, deadline_s=99.0)
    budget = retries.RetryBudget(available, reserve=available)

    def begin_beside(attempt, now_s):
        is_counted = attempt.is_counted
        return retries.begin_beside(call, budget, now_s, is_counted)

    tries = call_attempts.Tries(call, budget, begin_beside=begin_beside)
    scope = trio.CancelScope()
    return call_attempts.MovableAttempt(None, scope, tries, silence_s, 0.0)


def run_watch(
    monkeypatch,
    wait_s,
    unresponsive=(),
    pause_s=0.0,
    attempt=None,
    status=SILENT,
    silent_s=math.inf,
):
    """Watch one request at a head that sends nothing.

    The unresponsive members answer probes with ``status``, for ``silent_s``.
    """
    probed = []

    async def probe(pool, address, timeout_s):
        probed.append(address)
        is_silent = trio.current_time() < began_s + silent_s
        if address not in unresponsive or not is_silent:
            return engines.ProbeStatus.ANSWERED
        if status is SILENT:
            await trio.sleep(timeout_s)
        return status

    async def try_server(context, backend):
        """The link to the head is sound."""

    monkeypatch.setattr(stall_detection.engines, "probe", probe)
    monkeypatch.setattr(stall_detection.reach_watch, "try_server", try_server)
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
            is_cancelled = attempt.scope.cancel_called
            return Seen(attempt.is_replaced, is_cancelled, activity, probed)

    clock = trio.testing.MockClock(autojump_threshold=0)
    began_s = clock.current_time()
    return trio.run(main, clock=clock)


class TestWatch:
    def test_silent_group_whose_members_all_answer_keeps_its_requests(
        self, monkeypatch
    ):
        seen = run_watch(monkeypatch, 0.8)
        assert not seen.is_replaced
        assert set(seen.probed) == {"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}

    @pytest.mark.parametrize("status", [SILENT, REFUSED])
    @pytest.mark.parametrize("unresponsive", ["10.0.0.0:1", "10.0.0.2:1"])
    def test_requests_of_a_group_with_an_unresponsive_member_are_repeated(
        self, monkeypatch, unresponsive, status
    ):
        seen = run_watch(
            monkeypatch, FIRST_PROBES_S, {unresponsive}, status=status
        )
        assert seen.is_replaced
        assert server_activity.is_suspect(seen.activity, 0.0, FIRST_PROBES_S)

    def test_long_silence_repeats_requests_whatever_the_members_answer(
        self, monkeypatch
    ):
        wait_s = (
            server_activity.MIN_STALL_SILENCE_S
            + 2 * stall_detection.CHECK_PERIOD_S
        )
        seen = run_watch(monkeypatch, wait_s)
        assert seen.is_replaced
        assert not seen.is_cancelled

    def test_entry_that_was_paused_measures_silence_anew(self, monkeypatch):
        pause_s = 2 * server_activity.MIN_STALL_SILENCE_S
        wait_s = (
            server_activity.MIN_SUSPECT_SILENCE_S
            - stall_detection.CHECK_PERIOD_S
        )
        seen = run_watch(monkeypatch, wait_s, pause_s=pause_s)
        assert not seen.is_replaced
        assert not seen.probed

    @pytest.mark.parametrize(
        "attempt",
        [make_attempt(available=0.0), make_attempt(is_idempotent=False)],
    )
    def test_attempt_without_a_retry_goes_on_at_a_stalled_server(
        self, monkeypatch, attempt
    ):
        wait_s = 2 * server_activity.MIN_STALL_SILENCE_S
        seen = run_watch(monkeypatch, wait_s, attempt=attempt)
        assert not seen.is_replaced
        assert not seen.is_cancelled
        assert server_activity.is_suspect(seen.activity, 0.0, wait_s)

    def test_attempt_without_a_retry_ends_once_a_member_has_ended(
        self, monkeypatch
    ):
        attempt = make_attempt(available=0.0)
        seen = run_watch(
            monkeypatch,
            FIRST_PROBES_S,
            {"10.0.0.2:1"},
            attempt=attempt,
            status=REFUSED,
        )
        assert seen.is_cancelled

    def test_attempt_without_a_retry_ends_after_long_silence_of_a_member(
        self, monkeypatch
    ):
        attempt = make_attempt(available=0.0)
        wait_s = FIRST_PROBES_S + server_activity.LOSS_SILENCE_S
        wait_s += 2 * stall_detection.PROBE_TIMEOUT_S
        seen = run_watch(monkeypatch, wait_s, {"10.0.0.2:1"}, attempt=attempt)
        assert seen.is_cancelled

    def test_attempt_goes_on_when_a_member_was_silent_for_over_a_second(
        self, monkeypatch
    ):
        attempt = make_attempt(available=0.0)
        seen = run_watch(
            monkeypatch,
            4.0,
            {"10.0.0.0:1", "10.0.0.2:1"},
            attempt=attempt,
            silent_s=1.5,
        )
        assert not seen.is_cancelled

    @pytest.mark.parametrize(
        ("wait_s", "is_expected"), [(0.3, False), (0.5, True)]
    )
    def test_single_attempt_that_gets_nothing_for_long_is_repeated(
        self, monkeypatch, wait_s, is_expected
    ):
        attempt = make_attempt(silence_s=0.4)
        seen = run_watch(monkeypatch, wait_s, attempt=attempt)
        assert seen.is_replaced == is_expected


class TestMovableAttempt:
    def test_attempt_that_waits_for_its_caller_is_not_moved(self):
        attempt = make_attempt()
        attempt.is_waiting = False

        async def main():
            assert not attempt.try_move(1.0)
            attempt.give_up()
            assert not attempt.scope.cancel_called
            assert attempt.tries.budget.available == 10.0
            attempt.is_waiting = True
            assert attempt.try_move(1.0)

        trio.run(main)

    def test_silent_attempt_is_repeated_once_at_a_time(self):
        attempt = make_attempt()
        assert attempt.try_move(1.0)
        assert not attempt.try_move(2.0)
        attempt.is_replaced = False
        assert attempt.try_move(3.0)
        assert attempt.tries.budget.available == 8.0

    def test_attempt_whose_answer_goes_on_ends_the_others(self):
        silent, other = make_attempt(), make_attempt()
        other.tries = silent.tries
        assert silent.try_move(1.0)
        silent.tries.running.extend([silent, other])
        assert silent.take_lead()
        assert other.is_overtaken
        assert not other.take_lead()
        assert not silent.is_replaced

    def test_silence_is_allowed_for_longer_at_slow_servers(self):
        attempt = make_attempt(silence_s=1.0)
        assert not attempt.is_overdue(0.1, 0.9)
        assert attempt.is_overdue(0.1, 1.1)
        mean_ttfb_s = 0.5
        limit_s = call_attempts.SILENCE_PER_TTFB * mean_ttfb_s
        assert not attempt.is_overdue(mean_ttfb_s, limit_s)
        assert attempt.is_overdue(mean_ttfb_s, limit_s + 0.1)
