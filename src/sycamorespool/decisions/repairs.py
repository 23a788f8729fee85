"""Repair of groups that lost members.

A lost member is replaced by a free VM, if possible one that holds the
weights of the rank already.  Where the free VMs do not suffice, the group
that misses most is dissolved and its VMs complete the others.
"""

import dataclasses

from sycamorespool.decisions import group_plans
from sycamorespool.decisions import group_states
from sycamorespool import records

INCOMPLETE_LIMIT_S = 10.0

_SlotState = group_states.SlotState


@dataclasses.dataclass(frozen=True, slots=True)
class _Need:
    """The ranks at which a group has no usable member."""

    group_id: str
    ranks: tuple[int, ...]


def repair(draft: group_plans.Draft, *, may_merge: bool = True) -> None:
    """Replace lost members, and merge groups where VMs are short."""
    needs = sorted(
        _find_needs(draft), key=lambda n: (len(n.ranks), n.group_id)
    )
    unfilled = [need for need in needs if not _fill(draft, need)]
    if not may_merge:
        return
    while len(unfilled) > 1:
        donor = max(unfilled, key=lambda n: _rate_donor(draft, n))
        unfilled.remove(donor)
        draft.dissolve(donor.group_id, "completes other groups")
        unfilled = [need for need in unfilled if not _fill(draft, need)]
    _dissolve_incomplete(draft, unfilled)


def _find_needs(draft: group_plans.Draft) -> list[_Need]:
    needs = []
    for group_id, slots in draft.slots.items():
        ranks = _list_missing(draft, group_id, slots)
        if ranks:
            needs.append(_Need(group_id, ranks))
    return needs


def _list_missing(
    draft: group_plans.Draft,
    group_id: str,
    slots: tuple[group_states.SlotState, ...],
) -> tuple[int, ...]:
    missing = {_SlotState.LOST}
    if group_plans.is_idle(draft.view, draft.memory, group_id):
        missing.add(_SlotState.LEAVING)
    return tuple(rank for rank, s in enumerate(slots) if s in missing)


def _rate_donor(
    draft: group_plans.Draft, need: _Need
) -> tuple[int, bool, str]:
    is_warm = need.group_id in draft.view.warm
    return (len(need.ranks), not is_warm, need.group_id)


def _fill(draft: group_plans.Draft, need: _Need) -> bool:
    group = draft.group(need.group_id)
    service = draft.view.service_of(group)
    if service is None:
        return True
    if len(draft.list_free(service, group.service)) < len(need.ranks):
        return False
    for rank in need.ranks:
        _replace(draft, need.group_id, rank)
    return True


def _replace(draft: group_plans.Draft, group_id: str, rank: int) -> None:
    group = draft.group(group_id)
    service = draft.view.service_of(group)
    lost = group.members[rank]
    joined = draft.take(service, group.service, rank)
    if draft.slots[group_id][rank] is _SlotState.LEAVING:
        move = group_plans.MoveCache(group_id, lost, joined)
        draft.actions.append(move)
    draft.append(
        records.GroupMemberReplaced,
        group_id=group_id,
        lost=lost,
        joined=joined,
    )


def _dissolve_incomplete(
    draft: group_plans.Draft, unfilled: list[_Need]
) -> None:
    # The VMs of a group that cannot be completed are of more use free: the
    # service may form its replica in another domain.
    since_s = draft.memory.incomplete_since_s
    names = {need.group_id for need in unfilled}
    for group_id in [g for g in since_s if g not in names]:
        del since_s[group_id]
    for group_id in names:
        first_s = since_s.setdefault(group_id, draft.view.now_s)
        if draft.view.now_s - first_s >= INCOMPLETE_LIMIT_S:
            draft.dissolve(group_id, "no VM to complete it")


def swap_for_warm(draft: group_plans.Draft) -> None:
    """Replace cold or slow members by free VMs that hold their weights."""
    for group_id, slots in list(draft.slots.items()):
        group = draft.group(group_id)
        service = draft.view.service_of(group)
        if service is None or service.kind == "plain":
            continue
        is_idle = group_plans.is_idle(draft.view, draft.memory, group_id)
        if group_id in draft.memory.upgrading and not is_idle:
            continue
        for rank, slot in enumerate(slots):
            if not draft.has_warm(service, rank):
                continue
            vm = group.members[rank]
            is_slow = draft.memory.health_of(vm).is_slow
            is_cold = slot in {_SlotState.COLD, _SlotState.LOADING}
            if is_cold or (is_slow and is_idle):
                _replace(draft, group_id, rank)
                break
