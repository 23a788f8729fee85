"""Tests of attempts that are given up while they wait for a server."""

import types

import pytest

from sycamorespool import attempts
from sycamorespool import call_attempts
from sycamorespool.decisions import retries
from sycamorespool.decisions import server_activity


@pytest.mark.parametrize(
    ("prompt", "has_begun", "is_given_up"),
    [
        (("aa", "bad", "1"), False, True),
        (("aa", "bad", "1"), True, False),
        (("aa", "cc", "1"), False, False),
        ((), False, False),
    ],
)
def test_only_unbegun_attempts_with_a_blocked_part_are_given_up(
    prompt, has_begun, is_given_up
):
    tries = call_attempts.Tries(
        retries.CallTries(True, 9.0), retries.RetryBudget()
    )
    cancelled = []
    scope = types.SimpleNamespace(cancel=lambda: cancelled.append(True))
    attempt = call_attempts.MovableAttempt(
        None, scope, tries, 1.0, 0.0, prompt, has_begun=has_begun
    )
    activity = server_activity.BackendActivity(running={attempt})
    state = types.SimpleNamespace(activities={"i-1": activity})
    context = types.SimpleNamespace(placement_state=state)
    assert attempts.give_up_blocked(context, {"bad"}) == is_given_up
    assert bool(cancelled) is is_given_up
