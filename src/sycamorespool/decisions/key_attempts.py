"""What one keyed attempt does at the entry that the caller reached.

An attempt sends at most once.  Giving up and sending exclude each other:
both are steps out of the same state, and no step leads back::

    asking -> cleared -> sending -> answered | unknown
    asking | cleared -> withdrawn
    sending -> cleared (not reached, or refused by the backend server)
"""

import dataclasses
import enum

from sycamorespool.decisions import keys
from sycamorespool import exceptions

SEND_WITHIN_S = 600.0
CLOCK_TOLERANCE_S = 60.0


class Step(enum.StrEnum):
    """How far an attempt has come."""

    ASKING = "asking"
    CLEARED = "cleared"
    SENDING = "sending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


class Event(enum.StrEnum):
    """What happens to an attempt."""

    CLEAR = "clear"
    SEND = "send"
    ANSWER = "answer"
    CUT = "cut"
    REFUSED = "refused"
    GIVE_UP = "give_up"


_NEXT = {
    (Step.ASKING, Event.CLEAR): Step.CLEARED,
    (Step.ASKING, Event.GIVE_UP): Step.WITHDRAWN,
    (Step.CLEARED, Event.CLEAR): Step.CLEARED,
    (Step.CLEARED, Event.SEND): Step.SENDING,
    (Step.CLEARED, Event.GIVE_UP): Step.WITHDRAWN,
    (Step.SENDING, Event.ANSWER): Step.ANSWERED,
    (Step.SENDING, Event.CUT): Step.UNKNOWN,
    (Step.SENDING, Event.REFUSED): Step.CLEARED,
}


@dataclasses.dataclass(slots=True)
class KeyedAttempt:
    """One keyed attempt at the entry that the caller reached.

    Parameters
    ----------
    started_s : float
        Time of a clock that also counts suspension.
    is_loose : bool
        Whether an intent of it may stand in the log, or land there later,
        without its having been ruled on.
    """

    call: keys.Call
    started_s: float
    step: Step = Step.ASKING
    is_loose: bool = False


def needs_withdrawal(attempt: KeyedAttempt) -> bool:
    """Tell whether the key stays blocked unless the attempt withdraws."""
    return attempt.step is Step.CLEARED or attempt.is_loose


def can(attempt: KeyedAttempt, event: Event) -> bool:
    """Tell whether the event may happen now."""
    return (attempt.step, event) in _NEXT


def advance(attempt: KeyedAttempt, event: Event) -> None:
    """Take one step.

    Raises
    ------
    InvariantViolation
        If the step is not allowed, as a second send.
    """
    step = _NEXT.get((attempt.step, event))
    if step is None:
        raise exceptions.InvariantViolation(
            "keyed_attempt_sends_once", f"{event} while {attempt.step}"
        )
    attempt.step = step


def is_in_time(attempt: KeyedAttempt, now_s: float) -> bool:
    """Tell whether the attempt is young enough to send.

    The bound is far under the key window and under the age at which an
    operator may settle an intent, so neither can overtake a late sender.
    """
    return now_s - attempt.started_s <= SEND_WITHIN_S


def is_clock_trusted(own_unix_s: float, log_unix_s: float) -> bool:
    """Tell whether this entry's clock may stamp intents.

    The stamps end key windows; an entry whose clock differs from the
    platform's by more than a minute refuses keyed calls.
    """
    return abs(own_unix_s - log_unix_s) <= CLOCK_TOLERANCE_S
