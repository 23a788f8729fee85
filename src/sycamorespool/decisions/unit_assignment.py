"""Assigns units to entries: which are claimed and which are handed over.

Every entry computes the same assignment from the replayed owners and the
live entries, so that the entries do not all claim the same unit at once.
A unit without an owner goes to the entry of its data centre that owns the
fewest units; rendezvous hashing breaks ties.  An entry with a wrong view
of the live entries may append a claim that is rejected or move a unit
needlessly, but it never causes two owners to act at once.
"""

import collections
from collections import abc
import dataclasses
import math
import typing as t

from sycamorespool.decisions import fleet
from sycamorespool.decisions import ownership
from sycamorespool.decisions import rendezvous
from sycamorespool import records

# A unit moves only if its owner has at least this many units more than the
# entry that receives it; with 1 the unit would move back and forth.
REBALANCE_DIFFERENCE = 2

_RecordT = t.TypeVar(
    "_RecordT", records.OwnershipClaim, records.OwnershipRelease
)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describes a live entry that may own units.

    The entry follows the log and is not leaving.

    Parameters
    ----------
    incarnation : int
        Start number of its process.
    data_centre : str
        Its data centre.
    live_since_s : float
        Since when the entry has been live without interruption.
    """

    incarnation: int
    data_centre: str = ""
    live_since_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentView:
    """Holds the owners, units and live entries that assignment is based on.

    Parameters
    ----------
    replayed : FleetState
        The state as replayed from the log.
    units : dict
        Data centre of each unit, or an empty string if an entry of any
        data centre may own it.
    candidates : dict
        Candidates by name of the entry, including this entry.
    """

    replayed: fleet.FleetState
    units: abc.Mapping[str, str]
    candidates: abc.Mapping[str, Candidate]


def _has_live_owner(view: AssignmentView, unit: str) -> bool:
    owner = view.replayed.owners.get(unit)
    if owner is None or owner.is_released:
        return False
    candidate = view.candidates.get(owner.entry)
    return candidate is not None and candidate.incarnation == owner.incarnation


def _count_owned(view: AssignmentView) -> collections.Counter[str]:
    return collections.Counter(
        view.replayed.owners[unit].entry
        for unit in view.units
        if _has_live_owner(view, unit)
    )


def _find_local_candidates(view: AssignmentView, unit: str) -> list[str]:
    data_centre = view.units[unit]
    local = [
        name
        for name, candidate in view.candidates.items()
        if candidate.data_centre == data_centre
    ]
    return local or list(view.candidates)


def _find_eligible(
    view: AssignmentView, unit: str, stable_before_s: float
) -> list[str]:
    # An entry releases a unit to hand it over or because it is stopping, so
    # it gets the same unit back only if there is no other candidate.
    local = _find_local_candidates(view, unit)
    owner = view.replayed.owners.get(unit)
    if owner is None or not owner.is_released:
        return local
    others = [name for name in local if name != owner.entry] or local
    # An entry that has just started may not claim yet.
    stable = [
        name
        for name in others
        if view.candidates[name].live_since_s <= stable_before_s
    ]
    return stable or others


def _choose_least_loaded(
    unit: str, names: abc.Iterable[str], counts: collections.Counter[str]
) -> str:
    return min(
        names,
        key=lambda name: (counts[name], -rendezvous.weigh(unit, name)),
    )


def choose_owners(
    view: AssignmentView, stable_before_s: float = math.inf
) -> dict[str, str]:
    """Return the new owner of each unit that no candidate owns.

    A released unit goes to a candidate that has been live since
    ``stable_before_s``, if there is one.
    """
    if not view.candidates:
        return {}
    counts = _count_owned(view)
    chosen = {}
    for unit in sorted(view.units):
        if _has_live_owner(view, unit):
            continue
        eligible = _find_eligible(view, unit, stable_before_s)
        name = _choose_least_loaded(unit, eligible, counts)
        chosen[unit] = name
        counts[name] += 1
    return chosen


def _make_claim(
    state: ownership.LeaseState, unit: str, previous_epoch: int
) -> records.OwnershipClaim:
    # The id is derived from the claim, so an append whose response was lost
    # is repeated under the same id and replay applies the record once.
    record_id = (
        f"claim/{unit}/{previous_epoch}/{state.entry}/{state.incarnation}"
    )
    return records.OwnershipClaim(
        record_id, unit, state.entry, state.incarnation, previous_epoch
    )


def _drop_recently_requested(
    state: ownership.LeaseState, due: list[_RecordT], now_s: float
) -> list[_RecordT]:
    old_s = now_s - state.timing.repeat_s
    state.requested_s = {
        record_id: requested_s
        for record_id, requested_s in state.requested_s.items()
        if requested_s > old_s
    }
    fresh = [r for r in due if r.record_id not in state.requested_s]
    state.requested_s.update((r.record_id, now_s) for r in fresh)
    return fresh


def claims_due(
    state: ownership.LeaseState, view: AssignmentView, now_s: float
) -> list[records.OwnershipClaim]:
    """Return the claims that this entry has to append now.

    Nothing is due without a lease, since the state may be outdated then.
    A claim that is not seen in the log is repeated under the same id.
    """
    if not ownership.is_settled(state, now_s):
        return []
    stable_before_s = now_s - state.timing.rebalance_s
    due = [
        _make_claim(state, unit, view.replayed.epoch_of(unit))
        for unit, name in choose_owners(view, stable_before_s).items()
        if name == state.entry
    ]
    return _drop_recently_requested(state, due, now_s)


def _is_stable(
    state: ownership.LeaseState, candidate: Candidate, now_s: float
) -> bool:
    return now_s >= candidate.live_since_s + state.timing.rebalance_s


def _choose_donor(
    names: abc.Iterable[str], counts: collections.Counter[str]
) -> str:
    return max(
        names,
        key=lambda name: (counts[name], rendezvous.weigh("donor", name)),
    )


def _should_hand_over(
    state: ownership.LeaseState,
    view: AssignmentView,
    unit: str,
    counts: collections.Counter[str],
    now_s: float,
) -> bool:
    local = _find_local_candidates(view, unit)
    others = [
        name
        for name in local
        if name != state.entry
        and _is_stable(state, view.candidates[name], now_s)
    ]
    if not others:
        return False
    if state.entry not in local:
        return True
    # Only one entry hands over at a time; otherwise the least loaded entry
    # would receive units from several at once.
    if _choose_donor(local, counts) != state.entry:
        return False
    least = min(counts[name] for name in others)
    return counts[state.entry] >= least + REBALANCE_DIFFERENCE


def _find_handover(
    state: ownership.LeaseState, view: AssignmentView, now_s: float
) -> list[str]:
    if now_s < state.last_handover_s + state.timing.rebalance_s:
        return []
    counts = _count_owned(view)
    for unit in sorted(state.owned_units):
        if (
            unit in view.units
            and ownership.may_act(state, unit, now_s)
            and _should_hand_over(state, view, unit, counts, now_s)
        ):
            return [unit]
    return []


def releases_due(
    state: ownership.LeaseState,
    view: AssignmentView,
    now_s: float,
    is_stopping: bool = False,
) -> list[records.OwnershipRelease]:
    """Return the releases that this entry has to append now.

    Once a release has begun, this entry no longer acts for the unit under
    that epoch, and the release is repeated until it is seen in the log.  A
    stopping entry releases all units whose wait is over.  It has not yet
    acted for the others; the next owner of those has to wait in full for
    the owner before this entry.
    """
    begun = [
        unit
        for unit in state.owned_units
        if state.owned_units[unit].is_releasing
    ]
    if is_stopping:
        new = [
            unit
            for unit in state.owned_units
            if ownership.is_owner_of_record(state, unit, now_s)
        ]
    else:
        new = [] if begun else _find_handover(state, view, now_s)
    for unit in new:
        state.owned_units[unit].is_releasing = True
        state.last_handover_s = now_s
    due = [_make_release(state, unit) for unit in sorted({*begun, *new})]
    return _drop_recently_requested(state, due, now_s)


def _make_release(
    state: ownership.LeaseState, unit: str
) -> records.OwnershipRelease:
    epoch = state.owned_units[unit].epoch
    return records.OwnershipRelease(f"release/{unit}/{epoch}", unit, epoch)
