"""Tests of attempts that take the lead from one that writes to its caller."""

import trio

from sycamorespool.decisions import retries
from sycamorespool.requests import call_attempts


def make_pair():
    """Return a silent attempt and the one that is begun beside it."""
    call = retries.CallTries(True, deadline_s=99.0)
    budget = retries.RetryBudget()
    tries = call_attempts.Tries(
        call, budget, begin_beside=lambda attempt, now_s: True
    )
    silent, beside = (
        call_attempts.MovableAttempt(None, trio.CancelScope(), tries, 0.3, 0.0)
        for _ in range(2)
    )
    tries.running.append(silent)
    return silent, beside


def test_attempt_that_writes_to_its_caller_is_not_ended():
    """The attempt beside it starts only after the silent one went on."""
    silent, beside = make_pair()
    assert silent.try_move(1.0)
    # Its bytes came in the same turn of the loop, before the task of the
    # other one has run.  The caller reads slowly.
    silent.is_waiting = False
    assert silent.take_lead()
    beside.tries.running.append(beside)
    assert not beside.take_lead()
    assert not silent.is_overtaken

    async def is_cancelled():
        return silent.scope.cancel_called

    assert not trio.run(is_cancelled)
