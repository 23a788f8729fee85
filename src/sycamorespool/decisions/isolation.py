"""Decides what an entry may do without access to the log or to its peers.

An entry knows the configuration as of the newest read of the log by itself
or by a peer that forwards its records.  If that read is too long ago, the
entry may have missed the drain of a data centre.  It then asks a few peers
of its region.  If most of them answer and none can read the log, the log
is assumed to be down for all entries, so no drain can have been accepted.
If most of them do not answer, only this entry is cut off and it stops
taking new work.

Peers of other regions are not counted: regions that lose contact with each
other both continue to serve.
"""

import dataclasses
import enum
import math

# Default age in s from which the known configuration counts as stale.
STALE_AFTER_S = 2.5


class Mode(enum.StrEnum):
    """Names the access that an entry has to the log and to its peers.

    An entry in mode NORMAL reads the log itself, and in mode FOLLOWING it
    gets the records from a peer.  LOG_OUTAGE means that no entry can read
    the log; ISOLATED that this entry alone is cut off.
    """

    NORMAL = "normal"
    FOLLOWING = "following"
    LOG_OUTAGE = "log_outage"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Says what an entry may do in a mode.

    Parameters
    ----------
    takes_work : bool
        Whether new requests are accepted; otherwise they are refused and
        reported as not run.
    may_ramp : bool
        Whether the limits of groups may rise.
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
    """Holds what an entry has observed of the log and of its peers.

    Parameters
    ----------
    unread_s : float
        Time since the start of the last read up to the head of the log.
    followed_s : float
        The same for the most current peer that forwarded its records: the
        peer's own ``unread_s`` plus the time since it was asked.
    listed : int
        Number of entries of the region in the platform's list, including
        this one.
    asked, answered : int
        Number of peers of the region that were asked recently, and of
        those that answered.
    missing_s : float
        For how long a peer has been known to have newer records that this
        entry could not obtain.
    """

    unread_s: float = math.inf
    followed_s: float = math.inf
    listed: int = 1
    asked: int = 0
    answered: int = 0
    missing_s: float = 0.0


def hears_majority(signals: Signals) -> bool:
    """Tell whether more than half of the region's entries are reachable.

    The share of the asked peers that answered is extrapolated to all peers
    of the region; this entry itself counts as reachable.
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
    return _STALE_MODES[hears_majority(signals)]
