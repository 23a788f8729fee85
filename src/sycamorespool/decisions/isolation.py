"""What an entry may do when it is cut off from the log, or from its peers.

An entry knows the configuration as of the newest read of the log that it,
or a peer that passes its records on, has made.  If that is too long ago,
the entry may miss the drain of a data centre.  It then asks a few peers of
its region.  If most answer and none reads the log, the log is presumed to
be down for all, so no drain can have been accepted.  If most are silent,
the entry alone is cut off and stops taking new work.

Peers of other regions don't count: regions that lose each other go on
serving on their own.
"""

import dataclasses
import enum
import math

STALE_AFTER_S = 2.5


class Mode(enum.StrEnum):
    """How an entry stands to the log and to its peers."""

    NORMAL = "normal"
    FOLLOWING = "following"
    LOG_OUTAGE = "log_outage"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What an entry may do in a mode.

    Parameters
    ----------
    takes_work : bool
        Whether new work is taken; if not, it is refused as not run.
    may_ramp : bool
        Whether limits may rise.
    may_claim : bool
        Whether units may be claimed.
    """

    takes_work: bool
    may_ramp: bool
    may_claim: bool


ALLOWANCES = {
    Mode.NORMAL: Allowance(True, True, True),
    Mode.FOLLOWING: Allowance(True, False, False),
    Mode.LOG_OUTAGE: Allowance(True, False, False),
    Mode.ISOLATED: Allowance(False, False, False),
}

_STALE_MODES = {True: Mode.LOG_OUTAGE, False: Mode.ISOLATED}


@dataclasses.dataclass(frozen=True, slots=True)
class Signals:
    """What an entry has noticed.

    Parameters
    ----------
    unread_s : float
        Time since the last read began that reached the head of the log.
    followed_s : float
        The same of the best peer that passed its records on: its own
        ``unread_s`` and the time since it was asked.
    listed : int
        Entries of the region in the platform's list, with this one.
    asked, answered : int
        Peers of the region asked lately, and those that answered.
    missing_s : float
        How long a peer has been known to hold newer records that were not
        obtained.
    """

    unread_s: float = math.inf
    followed_s: float = math.inf
    listed: int = 1
    asked: int = 0
    answered: int = 0
    missing_s: float = 0.0


def hears_most(signals: Signals) -> bool:
    """Tell whether more than half of the region is heard.

    This entry counts itself in proportion to the peers that it asked.
    """
    if signals.listed <= 1:
        return True
    peers = signals.listed - 1
    asked = min(signals.asked, peers)
    if asked == 0:
        return False
    heard = 1 + peers * min(signals.answered, asked) / asked
    return 2 * heard > signals.listed


def decide(signals: Signals, stale_after_s: float = STALE_AFTER_S) -> Mode:
    """Return the mode that follows from the signals.

    Parameters
    ----------
    stale_after_s : float
        How old the known configuration may be, in s.
    """
    if signals.unread_s < stale_after_s:
        return Mode.NORMAL
    if signals.followed_s < stale_after_s:
        return Mode.FOLLOWING
    if signals.missing_s >= stale_after_s:
        return Mode.ISOLATED
    return _STALE_MODES[hears_most(signals)]
