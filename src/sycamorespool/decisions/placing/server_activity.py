"""Holds an entry's requests at one backend server and detects its stalls.

A server is silent from the last byte that it sent, or from the first of its
unanswered requests on.  How much silence is usual depends on the mean time
to the first byte (TTFB) of its service and model::

    status = detect_stall(activity, mean_ttfb_s, now_s)
"""

import dataclasses
import enum
import math
import typing as t

# A server becomes suspect, and its members are probed, after the longer of
# this silence and the given multiple of its mean time to first byte (TTFB).
MIN_SUSPECT_SILENCE_S = 0.25
SUSPECT_SILENCE_PER_TTFB = 1.5
# After the longer of the next two times the server counts as stalled, whatever
# its members answer, and its requests move to other servers.
MIN_STALL_SILENCE_S = 0.9
STALL_PER_TTFB = 4.0
# A sound server may send nothing for a second or so.  Only one that does not
# answer probes for this long, or whose process has ended, counts as lost.
LOSS_SILENCE_S = 2.0
# About as long as an owner takes to end a group that lost a member.
SUSPECT_HOLD_S = 3.0


@dataclasses.dataclass(slots=True)
class BackendActivity:
    """Holds this entry's requests at one backend server, and its responses.

    Parameters
    ----------
    in_flight : int
        Requests of this entry at the server.
    silent_since_s : float
        When the server last sent a byte, or when the first of its
        unanswered requests was sent; infinite without requests.
    refusals : int
        Requests in a row that the server refused.
    running : set
        The attempts at the server.
    movable : set
        Those of them that may be repeated at another server.
    received_s : float
        When the server last sent a byte.
    probe_answered_s : float
        When the members of its group last answered a probe.
    unanswered_since_s : float
        When the first of the probes was sent that a member has not answered;
        infinite without any.
    suspect_until_s : float
        Until when the server stays suspect without requests in flight,
        after these were moved to other servers.
    """

    in_flight: int = 0
    silent_since_s: float = math.inf
    received_s: float = -math.inf
    probe_answered_s: float = -math.inf
    unanswered_since_s: float = math.inf
    suspect_until_s: float = -math.inf
    refusals: int = 0
    running: set[t.Any] = dataclasses.field(default_factory=set)
    movable: set[t.Any] = dataclasses.field(default_factory=set)


def begin(activity: BackendActivity, now_s: float) -> None:
    """Record that a request is sent to a server."""
    if not activity.in_flight:
        activity.silent_since_s = now_s
        activity.unanswered_since_s = math.inf
    activity.in_flight += 1


def note_bytes(activity: BackendActivity, now_s: float) -> None:
    """Record that bytes arrived from a server."""
    activity.silent_since_s = now_s
    activity.received_s = now_s
    activity.suspect_until_s = -math.inf
    activity.unanswered_since_s = math.inf


def note_probe_answered(activity: BackendActivity, now_s: float) -> None:
    """Record that all members of a server's group answered a probe."""
    activity.probe_answered_s = now_s
    activity.unanswered_since_s = math.inf


def note_probe_unanswered(activity: BackendActivity, asked_s: float) -> None:
    """Record that a member of a server's group did not answer a probe."""
    activity.unanswered_since_s = min(activity.unanswered_since_s, asked_s)


def is_lost(activity: BackendActivity, now_s: float) -> bool:
    """Tell whether a member has not answered for longer than sound ones."""
    return now_s - activity.unanswered_since_s >= LOSS_SILENCE_S


def note_stall(activity: BackendActivity, now_s: float) -> None:
    """Keep a stalled server suspect after its requests are moved away."""
    activity.suspect_until_s = now_s + SUSPECT_HOLD_S


def end(activity: BackendActivity) -> None:
    """Record that a request at a server has ended."""
    activity.in_flight -= 1
    if not activity.in_flight:
        activity.silent_since_s = math.inf


def is_silent(
    activity: BackendActivity, silence_s: float, now_s: float
) -> bool:
    """Tell whether a server has sent nothing for over ``silence_s``."""
    return now_s - activity.silent_since_s > silence_s


class StallStatus(enum.StrEnum):
    """Names the result of the stall detection for one backend server."""

    NORMAL = "usual"
    SUSPECT = "doubtful"
    STALLED = "standstill"


def detect_stall(
    activity: BackendActivity, mean_ttfb_s: float, now_s: float
) -> StallStatus:
    """Classify the silence of a server relative to its mean TTFB.

    Scaling by the TTFB keeps a fleet that is slow under load from being
    taken for a stalled one.  A server whose members answered a probe
    lately gets more time.
    """
    stalled_s = max(MIN_STALL_SILENCE_S, STALL_PER_TTFB * mean_ttfb_s)
    if is_silent(activity, stalled_s, now_s):
        return StallStatus.STALLED
    if is_probe_due(activity, mean_ttfb_s, now_s):
        return StallStatus.SUSPECT
    return StallStatus.NORMAL


def is_probe_due(
    activity: BackendActivity, mean_ttfb_s: float, now_s: float
) -> bool:
    """Tell whether a server is silent and has not answered a probe lately."""
    suspect_s = max(
        MIN_SUSPECT_SILENCE_S, SUSPECT_SILENCE_PER_TTFB * mean_ttfb_s
    )
    has_answered_probe = now_s - activity.probe_answered_s < suspect_s
    return not has_answered_probe and is_silent(activity, suspect_s, now_s)


def is_suspect(
    activity: BackendActivity, mean_ttfb_s: float, now_s: float
) -> bool:
    """Tell whether a server is suspect or stalled, or was so lately."""
    is_kept_suspect = now_s < activity.suspect_until_s
    verdict = detect_stall(activity, mean_ttfb_s, now_s)
    return is_kept_suspect or verdict is not StallStatus.NORMAL
