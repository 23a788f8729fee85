"""Track one keyed attempt at the entry that the caller reached.

An attempt sends at most once.  Giving up and sending exclude each other:
both are transitions out of the same state, and none leads back::

    asking -> cleared -> sending -> answered | unknown
    asking | cleared -> withdrawn
    sending -> cleared (the backend server was not reached, or refused)

``cleared`` means that the log permits this attempt to send.
"""

import dataclasses
import enum

from sycamorespool.decisions import keys
from sycamorespool import exceptions

# Maximum age of an attempt that may send.
SEND_WITHIN_S = 600.0
# Maximum difference between the clocks of two entries.
CLOCK_TOLERANCE_S = 60.0


class State(enum.StrEnum):
    """The state of an attempt."""

    ASKING = "asking"
    CLEARED = "cleared"
    SENDING = "sending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


class Event(enum.StrEnum):
    """Events that change the state of an attempt."""

    CLEAR = "clear"
    SEND = "send"
    ANSWER = "answer"
    CUT = "cut"
    REFUSED = "refused"
    GIVE_UP = "give_up"


_TRANSITIONS = {
    (State.ASKING, Event.CLEAR): State.CLEARED,
    (State.ASKING, Event.GIVE_UP): State.WITHDRAWN,
    (State.CLEARED, Event.CLEAR): State.CLEARED,
    (State.CLEARED, Event.SEND): State.SENDING,
    (State.CLEARED, Event.GIVE_UP): State.WITHDRAWN,
    (State.SENDING, Event.ANSWER): State.ANSWERED,
    (State.SENDING, Event.CUT): State.UNKNOWN,
    (State.SENDING, Event.REFUSED): State.CLEARED,
}


@dataclasses.dataclass(slots=True)
class KeyedAttempt:
    """Holds one keyed attempt at the entry that the caller reached.

    Parameters
    ----------
    started_s : float
        Start time, from a clock that also counts time in suspension.
    has_stray_intent : bool
        Whether an intent of this attempt may be in the log, or reach it
        later, although no decision on the attempt was received.
    """

    identity: keys.AttemptIdentity
    started_s: float
    state: State = State.ASKING
    has_stray_intent: bool = False


def needs_withdrawal(attempt: KeyedAttempt) -> bool:
    """Tell whether the key stays blocked unless the attempt withdraws."""
    return attempt.state is State.CLEARED or attempt.has_stray_intent


def is_allowed(attempt: KeyedAttempt, event: Event) -> bool:
    """Tell whether an event is allowed in the attempt's state."""
    return (attempt.state, event) in _TRANSITIONS


def advance(attempt: KeyedAttempt, event: Event) -> None:
    """Change the attempt's state according to an event.

    Raises
    ------
    InvariantViolation
        If the event is not allowed, for example a second send.
    """
    state = _TRANSITIONS.get((attempt.state, event))
    if state is None:
        raise exceptions.InvariantViolation(
            "keyed_attempt_sends_once", f"{event} while {attempt.state}"
        )
    attempt.state = state


def may_still_send(attempt: KeyedAttempt, now_s: float) -> bool:
    """Tell whether the attempt is young enough to send.

    The limit is far below the key window and below the age at which an
    operator may resolve an intent, so that neither the expiry of the key
    nor a resolution can come before a late send.
    """
    return now_s - attempt.started_s <= SEND_WITHIN_S


def is_clock_trusted(entry_unix_s: float, owner_unix_s: float) -> bool:
    """Tell whether an entry's clock is right enough to stamp intents.

    Keys expire by these time stamps.  The owner of a partition refuses the
    keyed calls of an entry whose clock differs from its own by more than a
    minute.
    """
    return abs(entry_unix_s - owner_unix_s) <= CLOCK_TOLERANCE_S
