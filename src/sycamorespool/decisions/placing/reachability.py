"""Tells which backend servers an entry can reach.

An entry may lose its links to servers that are sound, and that others reach.
A server counts as unreached from a connection that failed until one is made
again.  Connections that were open before may live on::

    note_failed(state, "i-1", is_refused=False, now_s=now_s)
    if not is_reached(state, "i-1"):
        ...  # another server, or another entry
"""

from collections import abc
import dataclasses
import math

# An entry with fewer unreached servers may only see that these have ended.
MIN_UNREACHED = 3
# It counts as cut if it reaches no more than this fraction of the servers that
# it needs.
CUT_FRACTION = 0.2


@dataclasses.dataclass(slots=True)
class Failure:
    """Holds how a server could not be reached.

    Parameters
    ----------
    since_s : float
        When the first connection failed.
    is_refused : bool
        Whether the newest one was refused, and did not time out.
    """

    since_s: float
    is_refused: bool


@dataclasses.dataclass(slots=True)
class Reachability:
    """Holds the servers that this entry does not reach.

    Parameters
    ----------
    failures : dict
        How they could not be reached, by server id.
    reached_s : float
        When a connection to any server was last made.
    cut_since_s : float
        Since when the entry counts as cut; infinite if it does not.
    """

    failures: dict[str, Failure] = dataclasses.field(default_factory=dict)
    reached_s: float = -math.inf
    cut_since_s: float = math.inf


def note_failed(
    state: Reachability, backend_id: str, is_refused: bool, now_s: float
) -> bool:
    """Record that no connection could be made; tell whether that is new."""
    failure = state.failures.get(backend_id)
    if failure is None:
        state.failures[backend_id] = Failure(now_s, is_refused)
        return True
    failure.is_refused = is_refused
    return False


def note_reached(state: Reachability, backend_id: str, now_s: float) -> bool:
    """Record that a connection was made; tell whether that is new."""
    state.reached_s = now_s
    return state.failures.pop(backend_id, None) is not None


def is_reached(state: Reachability, backend_id: str) -> bool:
    """Tell whether a new connection to a server is expected to work."""
    return backend_id not in state.failures


def may_live(state: Reachability, backend_id: str, received_s: float) -> bool:
    """Tell whether open connections to an unreached server may still work.

    A server, or a device on the way, that refuses connections would have
    closed the open ones too if these did not work.  Where new ones time out,
    only bytes show that others live.

    Parameters
    ----------
    received_s : float
        When the last bytes came from the server.
    """
    failure = state.failures[backend_id]
    return failure.is_refused or received_s > failure.since_s


def review(
    state: Reachability, needed: abc.Collection[str], now_s: float
) -> bool:
    """Update whether the entry counts as cut; tell whether that changed.

    Parameters
    ----------
    needed : collection of str
        Ids of the servers to which requests may be sent.
    """
    unreached = sum(backend_id in state.failures for backend_id in needed)
    is_cut = unreached >= MIN_UNREACHED and len(
        needed
    ) - unreached <= CUT_FRACTION * len(needed)
    was_cut = is_cut_now(state)
    if is_cut != was_cut:
        state.cut_since_s = now_s if is_cut else math.inf
    return is_cut != was_cut


def is_cut_now(state: Reachability) -> bool:
    """Tell whether the entry counted as cut at the last review."""
    return math.isfinite(state.cut_since_s)


def has_been_cut(state: Reachability, for_s: float, now_s: float) -> bool:
    """Tell whether the entry has counted as cut for a time."""
    return now_s - state.cut_since_s >= for_s


def is_doubtful(state: Reachability) -> bool:
    """Tell whether the entry's own links may be why servers do not answer."""
    return len(state.failures) >= MIN_UNREACHED


def forget(state: Reachability, backend_id: str) -> None:
    """Drop the state of a server that left the registry."""
    state.failures.pop(backend_id, None)
