"""Repairs groups that have lost members.

A lost member is replaced by a free VM, if possible by one that already
holds the weights of the rank.  If there are not enough free VMs, the group
that lacks the most members is dissolved and its VMs complete the others.
"""

import dataclasses

from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import plan_draft
from sycamorespool import records

# How long a group may stay incomplete before it is dissolved.
INCOMPLETE_LIMIT_S = 10.0

_SlotState = domain_state.SlotState


@dataclasses.dataclass(frozen=True, slots=True)
class _RepairTask:
    """Holds a group and the ranks at which it needs a new member."""

    group_id: str
    ranks: tuple[int, ...]


def repair_groups(draft: plan_draft.Draft, *, may_merge: bool = True) -> None:
    """Replace lost members; merge groups if there are too few free VMs."""
    tasks = sorted(
        _find_repair_tasks(draft),
        key=lambda t: (len(t.ranks), t.group_id),
    )
    unrepaired = [task for task in tasks if not _complete_group(draft, task)]
    if not may_merge:
        return
    while len(unrepaired) > 1:
        donor = max(unrepaired, key=lambda t: _donor_sort_key(draft, t))
        unrepaired.remove(donor)
        draft.dissolve(donor.group_id, "completes other groups")
        unrepaired = [
            task for task in unrepaired if not _complete_group(draft, task)
        ]
    _dissolve_incomplete(draft, unrepaired)


def _find_repair_tasks(draft: plan_draft.Draft) -> list[_RepairTask]:
    tasks = []
    for group_id, slots in draft.slots.items():
        ranks = _list_missing(draft, group_id, slots)
        if ranks:
            tasks.append(_RepairTask(group_id, ranks))
    return tasks


def _list_missing(
    draft: plan_draft.Draft,
    group_id: str,
    slots: tuple[domain_state.SlotState, ...],
) -> tuple[int, ...]:
    missing = {_SlotState.LOST}
    if plan_draft.is_idle(draft.view, draft.memory, group_id):
        missing.add(_SlotState.LEAVING)
    return tuple(rank for rank, slot in enumerate(slots) if slot in missing)


def _donor_sort_key(
    draft: plan_draft.Draft, task: _RepairTask
) -> tuple[int, bool, str]:
    is_warm = task.group_id in draft.view.warm_groups
    return (len(task.ranks), not is_warm, task.group_id)


def _complete_group(draft: plan_draft.Draft, task: _RepairTask) -> bool:
    group = draft.group(task.group_id)
    service = draft.view.service_of(group)
    if service is None:
        return True
    if len(draft.list_free(service, group.service)) < len(task.ranks):
        return False
    for rank in task.ranks:
        _replace_member(draft, task.group_id, rank)
    return True


def _replace_member(draft: plan_draft.Draft, group_id: str, rank: int) -> None:
    group = draft.group(group_id)
    service = draft.view.service_of(group)
    lost = group.members[rank]
    joined = draft.take_vm(service, group.service, rank)
    if draft.slots[group_id][rank] is _SlotState.LEAVING:
        move = plan_draft.MoveCache(group_id, lost, joined)
        draft.actions.append(move)
    draft.append(
        records.GroupMemberReplaced,
        group_id=group_id,
        lost=lost,
        joined=joined,
    )


def _dissolve_incomplete(
    draft: plan_draft.Draft, unrepaired: list[_RepairTask]
) -> None:
    # Dissolve groups that cannot be completed: their services may then form
    # the replicas in other domains, and their VMs are free for other groups.
    since_s = draft.memory.incomplete_since_s
    group_ids = {task.group_id for task in unrepaired}
    for group_id in [g for g in since_s if g not in group_ids]:
        del since_s[group_id]
    for group_id in group_ids:
        first_s = since_s.setdefault(group_id, draft.view.now_s)
        if draft.view.now_s - first_s >= INCOMPLETE_LIMIT_S:
            draft.dissolve(group_id, "no VM to complete it")


def swap_in_warm_vms(draft: plan_draft.Draft) -> None:
    """Replace cold, loading or slow members by VMs that hold their weights.

    The VMs are free ones.  At most one member of each group is replaced in a
    step; a slow member only when its group is idle.
    """
    for group_id, slots in list(draft.slots.items()):
        group = draft.group(group_id)
        service = draft.view.service_of(group)
        if service is None or service.kind == "plain":
            continue
        is_idle = plan_draft.is_idle(draft.view, draft.memory, group_id)
        if group_id in draft.memory.upgrading and not is_idle:
            continue
        for rank, slot in enumerate(slots):
            if not draft.has_warm_vm(service, rank):
                continue
            vm = group.members[rank]
            is_slow = draft.memory.health_of(vm).is_slow
            is_cold = slot in {_SlotState.COLD, _SlotState.LOADING}
            if is_cold or (is_slow and is_idle):
                _replace_member(draft, group_id, rank)
                break
