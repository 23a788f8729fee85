"""The group planner: what the owner of a fabric domain does next.

The owner calls :func:`plan` whenever its view changes and carries out the
actions in their order::

    for action in groups.plan(view, memory):
        ...  # append, send, begin or end a drain, move a cache

Records are taken as pending until the replay shows a verdict on them;
:func:`forget_record` ends the wait for one that never reached the log.  On
an unchanged healthy view the plan is empty.
"""

import dataclasses

from sycamorespool.decisions import formations
from sycamorespool.decisions import group_plans
from sycamorespool.decisions import group_states
from sycamorespool.decisions import moves
from sycamorespool.decisions import repairs
from sycamorespool.decisions import vm_health
from sycamorespool.decisions import vm_orders
from sycamorespool import models


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Switches of the planner, for measurements and tests.

    Parameters
    ----------
    may_merge : bool
        Dissolve one broken group to complete others.
    is_make_first : bool
        Let a successor warm before the group that it replaces drains.
    may_preload : bool
        Load spare VMs with weights in advance.
    may_wait_dark : bool
        Take a domain that went silent as a whole as one event.
    """

    may_merge: bool = True
    is_make_first: bool = True
    may_preload: bool = True
    may_wait_dark: bool = True


DEFAULT_POLICY = Policy()


def plan(
    view: group_states.DomainView,
    memory: group_states.Memory,
    policy: Policy = DEFAULT_POLICY,
) -> tuple[group_plans.Action, ...]:
    """Return the owner's next actions and update its memory in place.

    Parameters
    ----------
    view : DomainView
        What the owner knows now.
    memory : Memory
        What it remembers; a new owner starts with an empty one.
    policy : Policy
        Which mechanisms are on.

    Returns
    -------
    tuple of Action
        To be carried out in this order.
    """
    vm_health.observe(view, memory)
    draft = group_plans.start_draft(view, memory)
    is_dark = view.now_s < memory.dark_until_s and policy.may_wait_dark
    if not memory.pending and not is_dark:
        _decide(draft, policy)
    vm_orders.issue_orders(draft, may_preload=policy.may_preload)
    return tuple(draft.actions)


def _decide(draft: group_plans.Draft, policy: Policy) -> None:
    config = draft.view.state.config
    if config.is_in_service(draft.view.data_centre):
        repairs.repair(draft, may_merge=policy.may_merge)
        repairs.swap_for_warm(draft)
    moves.move(draft, is_make_first=policy.is_make_first)
    formations.form(draft)


def forget_record(memory: group_states.Memory, record_id: str) -> None:
    """Stop waiting for a record that the log did not take."""
    memory.pending.discard(record_id)


def note_answer(
    memory: group_states.Memory, vm: str, order: models.Order
) -> None:
    """Note that a VM answered an order, so that it has landed."""
    sent = memory.orders.get(vm)
    if sent is not None and sent.order == order:
        sent.has_landed = True


def may_take_work(
    view: group_states.DomainView, memory: group_states.Memory, group_id: str
) -> bool:
    """Tell whether the grantor may grant places at a group now."""
    group = view.state.groups.get(group_id)
    if group is None or group_id in memory.drains:
        return False
    if not view.state.config.is_in_service(view.data_centre):
        return False
    if any(group_states.is_leaving(view, vm) for vm in group.members):
        return False
    return group_states.is_whole(view, group)


def explain_vm(
    view: group_states.DomainView, memory: group_states.Memory, vm: str
) -> dict[str, str]:
    """Say why a VM is where it is."""
    condition = vm_health.vm_condition(view, memory, vm)
    health = memory.health_of(vm)
    evidence = view.vms.get(vm)
    sent = memory.orders.get(vm)
    quarantine_s = max(0.0, health.quarantined_until_s - view.now_s)
    return {
        "vm": vm,
        "condition": condition.value,
        "group": view.state.group_of_vm.get(vm, ""),
        "weights": group_states.held_weights(evidence),
        "quarantined_for_s": f"{quarantine_s:.1f}",
        "flaps": str(health.flaps),
        "is_lost": str(group_states.is_lost(view, memory, vm)).lower(),
        "is_slow": str(health.is_slow).lower(),
        "newest_order": type(sent.order).__name__ if sent else "",
    }


def explain_group(
    view: group_states.DomainView, memory: group_states.Memory, group_id: str
) -> dict[str, str]:
    """Say in which state a group is, and why."""
    state = group_states.group_state(view, memory, group_id)
    group = view.state.groups.get(group_id)
    if group is None:
        return {"group": group_id, "state": state.value}
    slots = group_states.slot_states(view, memory, group)
    drain = memory.drains.get(group_id)
    return {
        "group": group_id,
        "state": state.value,
        "service": group.service,
        "epoch": str(group.epoch),
        "drain": drain.reason if drain else "",
        "members": " ".join(
            f"{vm}={slot.value}"
            for vm, slot in zip(group.members, slots, strict=True)
        ),
    }
