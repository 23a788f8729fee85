"""Which entry claims which unit, and which entry hands one over.

Every entry computes the same choice from the replayed owners and the live
entries, so that claims do not stampede.  A unit without an owner goes to
the entry of its data centre that owns the fewest units; rendezvous hashing
decides among equals.  A wrong view of the live entries costs a claim that
loses or a move, never safety.
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

REBALANCE_DIFFERENCE = 2

_Due = t.TypeVar("_Due", records.OwnershipClaim, records.OwnershipRelease)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live entry that follows the log and is not leaving.

    Parameters
    ----------
    incarnation : int
        Start number of its process.
    data_centre : str
        Its data centre.
    live_since_s : float
        Since when it has been live without a break.
    """

    incarnation: int
    data_centre: str = ""
    live_since_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Scene:
    """What a choice of owners looks at.

    Parameters
    ----------
    replayed : FleetState
        The state as replayed from the log.
    units : dict
        All units, each with its data centre, or with an empty text if any
        will do.
    candidates : dict
        Candidates by name of the entry, this one among them.
    """

    replayed: fleet.FleetState
    units: abc.Mapping[str, str]
    candidates: abc.Mapping[str, Candidate]


def _is_held(scene: Scene, unit: str) -> bool:
    owner = scene.replayed.owners.get(unit)
    if owner is None or owner.is_released:
        return False
    candidate = scene.candidates.get(owner.entry)
    return candidate is not None and candidate.incarnation == owner.incarnation


def _count_held(scene: Scene) -> collections.Counter[str]:
    return collections.Counter(
        scene.replayed.owners[unit].entry
        for unit in scene.units
        if _is_held(scene, unit)
    )


def _find_near(scene: Scene, unit: str) -> list[str]:
    data_centre = scene.units[unit]
    near = [
        name
        for name, candidate in scene.candidates.items()
        if candidate.data_centre == data_centre
    ]
    return near or list(scene.candidates)


def _find_eligible(scene: Scene, unit: str) -> list[str]:
    # An entry that has released a unit hands it over, or is about to leave.
    near = _find_near(scene, unit)
    owner = scene.replayed.owners.get(unit)
    if owner is None or not owner.is_released:
        return near
    return [name for name in near if name != owner.entry] or near


def _choose(
    unit: str, names: abc.Iterable[str], counts: collections.Counter[str]
) -> str:
    return min(
        names,
        key=lambda name: (counts[name], -rendezvous.weigh(unit, name)),
    )


def choose_owners(scene: Scene) -> dict[str, str]:
    """Return the chosen owner of each unit that no candidate holds."""
    if not scene.candidates:
        return {}
    counts = _count_held(scene)
    chosen = {}
    for unit in sorted(scene.units):
        if _is_held(scene, unit):
            continue
        name = _choose(unit, _find_eligible(scene, unit), counts)
        chosen[unit] = name
        counts[name] += 1
    return chosen


def _make_claim(
    state: ownership.LeaseState, unit: str, previous_epoch: int
) -> records.OwnershipClaim:
    # The id follows from the claim, so an append whose answer was lost is
    # repeated under the same id and replay takes it once.
    record_id = (
        f"claim/{unit}/{previous_epoch}/{state.entry}/{state.incarnation}"
    )
    return records.OwnershipClaim(
        record_id, unit, state.entry, state.incarnation, previous_epoch
    )


def _drop_recent(
    state: ownership.LeaseState, due: list[_Due], now_s: float
) -> list[_Due]:
    old_s = now_s - state.timing.repeat_s
    state.asked_s = {
        record_id: asked_s
        for record_id, asked_s in state.asked_s.items()
        if asked_s > old_s
    }
    recent = [r for r in due if r.record_id not in state.asked_s]
    state.asked_s.update((r.record_id, now_s) for r in recent)
    return recent


def claims_due(
    state: ownership.LeaseState, scene: Scene, now_s: float
) -> list[records.OwnershipClaim]:
    """Return the claims that this entry is to append now.

    Nothing is due without a lease, as the state may be old then.  A claim
    that the log doesn't show is repeated under the same id.
    """
    if not ownership.is_settled(state, now_s):
        return []
    due = [
        _make_claim(state, unit, scene.replayed.epoch_of(unit))
        for unit, name in choose_owners(scene).items()
        if name == state.entry
    ]
    return _drop_recent(state, due, now_s)


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


def _finds_better(
    state: ownership.LeaseState,
    scene: Scene,
    unit: str,
    counts: collections.Counter[str],
    now_s: float,
) -> bool:
    near = _find_near(scene, unit)
    others = [
        name
        for name in near
        if name != state.entry
        and _is_stable(state, scene.candidates[name], now_s)
    ]
    if not others:
        return False
    if state.entry not in near:
        return True
    # One entry hands over at a time, or the least loaded would get many.
    if _choose_donor(near, counts) != state.entry:
        return False
    least = min(counts[name] for name in others)
    return counts[state.entry] >= least + REBALANCE_DIFFERENCE


def _find_handover(
    state: ownership.LeaseState, scene: Scene, now_s: float
) -> list[str]:
    if now_s < state.last_handover_s + state.timing.rebalance_s:
        return []
    counts = _count_held(scene)
    for unit in sorted(state.tenures):
        if (
            unit in scene.units
            and ownership.may_act(state, unit, now_s)
            and _finds_better(state, scene, unit, counts, now_s)
        ):
            return [unit]
    return []


def releases_due(
    state: ownership.LeaseState,
    scene: Scene,
    now_s: float,
    is_stopping: bool = False,
) -> list[records.OwnershipRelease]:
    """Return the releases that this entry is to append now.

    A unit whose release was begun is never acted for again under its
    epoch, and its release is repeated until the log shows it.  A stopping
    entry releases all units whose wait is over; the others had not begun,
    and a successor has to wait for their predecessor in full.
    """
    begun = [
        unit for unit in state.tenures if state.tenures[unit].is_releasing
    ]
    if is_stopping:
        new = [
            unit
            for unit in state.tenures
            if ownership.is_owner_of_record(state, unit, now_s)
        ]
    else:
        new = [] if begun else _find_handover(state, scene, now_s)
    for unit in new:
        state.tenures[unit].is_releasing = True
        state.last_handover_s = now_s
    due = [_make_release(state, unit) for unit in sorted({*begun, *new})]
    return _drop_recent(state, due, now_s)


def _make_release(
    state: ownership.LeaseState, unit: str
) -> records.OwnershipRelease:
    epoch = state.tenures[unit].epoch
    return records.OwnershipRelease(f"release/{unit}/{epoch}", unit, epoch)
