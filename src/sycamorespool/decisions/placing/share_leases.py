"""Counts the partitions by which an entry may use a part of a common limit.

Which partitions an entry holds does not count here, only how many.  The
number of a member grows only by what others have given up or what their lease
no longer covers.  Nobody has given up what a new member gets, nor what a
restored store gives, which may have forgotten a member::

    renew(lease, 3, lease_end_s, now_s, is_restored=False)
    count_usable(lease, now_s)
"""

import dataclasses
import math

# The former holder of a partition learns by its next call, or by the end of
# its lease, that it has lost it.
HANDOVER_S = 2.6


@dataclasses.dataclass(slots=True)
class ShareLease:
    """Holds how many partitions an entry holds, and for how long.

    Parameters
    ----------
    held : int
        Partitions that the store assigned.
    end_s : float
        Until when they are its own, unless the store is called again.
    grows_from_s : float
        From when it may use more than ``former`` of them.
    former : int
        Partitions that it might use before.
    """

    held: int = 0
    end_s: float = -math.inf
    grows_from_s: float = -math.inf
    former: int = 0


def renew(
    lease: ShareLease,
    held: int,
    end_s: float,
    now_s: float,
    is_restored: bool,
) -> None:
    """Renew a lease after a call of the store.

    Parameters
    ----------
    held : int
        Partitions that the store assigned.
    end_s : float
        Until when the store keeps them for this entry.
    is_restored : bool
        Whether the store has come back from a copy since the last call.
    """
    if now_s > lease.end_s or is_restored:
        lease.former = count_usable(lease, now_s)
        lease.grows_from_s = now_s + HANDOVER_S
    lease.held, lease.end_s = held, end_s


def count_usable(lease: ShareLease, now_s: float) -> int:
    """Return how many partitions only this entry may use now."""
    if now_s > lease.end_s:
        return 0
    if now_s < lease.grows_from_s:
        return min(lease.held, lease.former)
    return lease.held
