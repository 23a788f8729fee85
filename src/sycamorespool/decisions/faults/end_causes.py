"""Finds what the ends of backend servers have in common.

Each end accuses the traits of the requests that were at the server without an
answer.  The trait that is common to the most ends explains them first::

    suspicions = find_causes(ends, blocked, find_served_s)
    suspicions["bad"].ends
"""

import collections
from collections import abc
import dataclasses
import typing as t

# Ends in a row after which a trait is suspected.
HOLD_ENDS = 2
# A trait that was served this shortly before an end did not cause it.
SERVED_VALID_S = 30.0

# What begins the identity of a request, and no id of a part.
IDENTITY_PREFIX = "request:"
# The position of each trait in its request.
Depths: t.TypeAlias = dict[str, int]


@dataclasses.dataclass(slots=True)
class SeenEnd:
    """Holds an end as several entries reported it."""

    at_s: float
    depths: Depths = dataclasses.field(default_factory=dict)


class Suspicion(t.NamedTuple):
    """Holds how many ends a trait explains.

    Parameters
    ----------
    is_alone : bool
        False if another request was at the same ends, so that either may be
        the cause.
    """

    ends: int
    is_alone: bool


def is_identity(trait: str) -> bool:
    """Tell whether a trait is the identity of a request."""
    return trait.startswith(IDENTITY_PREFIX)


def find_causes(
    ends: abc.Collection[SeenEnd],
    blocked: abc.Set[str],
    find_served_s: abc.Callable[[str], float],
) -> dict[str, Suspicion]:
    """Return the traits that explain enough ends to be held.

    All ends of an identity count once it explains enough that nothing else
    explains, as two requests on which servers end may be at the same ones.

    Parameters
    ----------
    blocked : set
        The traits that are blocked.
    find_served_s : callable
        Tells when a trait was last served.
    """
    ends_by_trait: dict[str, list[Depths]] = collections.defaultdict(list)
    depths: Depths = {}
    for end in _list_unexplained(ends, blocked, find_served_s):
        depths |= end
        for trait in end:
            ends_by_trait[trait].append(end)
    counts = {trait: len(ends) for trait, ends in ends_by_trait.items()}
    all_counts = count_unserved(ends, find_served_s)

    def rank(trait: str) -> tuple[int, bool, bool, int, str]:
        # Among equals, one that is blocked already leaves the least to others.
        is_blocked = trait in blocked
        is_special = is_identity(trait)
        return counts[trait], is_blocked, is_special, depths[trait], trait

    found: dict[str, Suspicion] = {}
    while counts:
        trait = max(counts, key=rank)
        if counts[trait] < HOLD_ENDS:
            break
        own = ends_by_trait[trait]
        explained = all_counts[trait] if is_identity(trait) else counts[trait]
        found[trait] = Suspicion(explained, not _find_companions(trait, own))
        _remove_ends(own, counts)
    return found


def _find_companions(trait: str, ends: list[Depths]) -> set[str]:
    """Return the requests that were at each of the ends left to another."""
    if not is_identity(trait):
        return set()
    left = [end.keys() for end in ends if end]
    shared = set.intersection(*map(set, left))
    return {other for other in shared if is_identity(other)} - {trait}


def _list_unexplained(
    ends: abc.Iterable[SeenEnd],
    blocked: abc.Set[str],
    find_served_s: abc.Callable[[str], float],
) -> list[Depths]:
    """Return the suspected traits of each end that no block explains.

    An end that a blocked identity explains still accuses other identities:
    of two requests that were at the same servers, the wrong one may be
    blocked, and the next end of the other one has to tell.
    """
    unexplained = []
    for seen in ends:
        explaining = blocked & seen.depths.keys()
        suspects = _select_unserved(seen, find_served_s)
        if explaining:
            suspects = {p: d for p, d in suspects.items() if is_identity(p)}
        if all(is_identity(trait) for trait in explaining):
            unexplained.append(suspects)
    return unexplained


def _remove_ends(ends: list[Depths], counts: dict[str, int]) -> None:
    """Let ends that a trait explains count for no other trait."""
    for end in ends:
        for trait in end:
            counts[trait] -= 1
        end.clear()


def _select_unserved(
    seen: SeenEnd, find_served_s: abc.Callable[[str], float]
) -> Depths:
    """Return the traits that may have caused an end, with their depths."""
    return {
        trait: depth
        for trait, depth in seen.depths.items()
        if find_served_s(trait) < seen.at_s - SERVED_VALID_S
    }


def count_unserved(
    ends: abc.Iterable[SeenEnd], find_served_s: abc.Callable[[str], float]
) -> dict[str, int]:
    """Return the traits that are common to enough ends to be held."""
    counts = collections.Counter(
        trait
        for seen in ends
        for trait in _select_unserved(seen, find_served_s)
    )
    return {t: count for t, count in counts.items() if count >= HOLD_ENDS}
