"""Tests of attempts that are given up while they wait for a server."""

import types

import pytest
import trio

from sycamorespool import backends
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions import retries
from sycamorespool import exceptions
from sycamorespool.requests import attempts
from sycamorespool.requests import call_attempts


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


# Reports (REFUSED): a status that promises "not run" came from a server that
# had not said so.
@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_promises_too_much_is_not_passed_on(status):
    backend = backends.Backend("i-1", "s", "10.0.0.1:80", "dc", 1, False)
    budget = retries.RetryBudget(available=0.0, reserve=0.0)
    tries = call_attempts.Tries(retries.CallTries(False, 9.0), budget)
    attempt = call_attempts.MovableAttempt(backend, None, tries, 1.0, 0.0)
    answer = types.SimpleNamespace(status=status, headers={})
    call = types.SimpleNamespace(is_stream=False)

    async def main():
        with pytest.raises(exceptions.BackendCut):
            await attempts._relay(call, answer, None, attempt)

    trio.run(main)
