"""Plans the next actions of a fabric domain's owner for its groups.

The owner calls :func:`plan` whenever its view of the domain changes and
carries out the returned actions in their order::

    for action in group_planner.plan(view, memory):
        ...  # append, send, begin or end a drain, move a cache

A record that the plan appends is pending until the replayed log holds a
verdict on it; :func:`forget_record` drops one that never reached the log.
While a record is pending, the plan holds only orders to VMs.  The plan is
empty if the view has not changed and all groups are healthy.
"""

import dataclasses

from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import formations
from sycamorespool.decisions.groups import group_drains
from sycamorespool.decisions.groups import plan_draft
from sycamorespool.decisions.groups import repairs
from sycamorespool.decisions.groups import vm_health
from sycamorespool.decisions.groups import vm_orders
from sycamorespool import models


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Holds switches that turn off single mechanisms in benchmarks and tests.

    Parameters
    ----------
    may_merge : bool
        Dissolve one incomplete group to complete others with its VMs.
    is_make_before_break : bool
        Drain a group only once the successor that replaces it is warm.
    may_preload : bool
        Load weights into spare VMs in advance.
    may_await_recovery : bool
        Leave the groups as they are while nearly all VMs of the domain are
        silent, instead of treating each VM as lost.
    """

    may_merge: bool = True
    is_make_before_break: bool = True
    may_preload: bool = True
    may_await_recovery: bool = True


DEFAULT_POLICY = Policy()


def plan(
    view: domain_state.DomainView,
    memory: domain_state.PlannerMemory,
    policy: Policy = DEFAULT_POLICY,
) -> tuple[plan_draft.Action, ...]:
    """Return the owner's next actions and update its memory in place.

    Parameters
    ----------
    view : DomainView
        What the owner knows of the domain now.
    memory : PlannerMemory
        What it remembers of earlier steps; a new owner starts with an empty
        one.
    policy : Policy
        Which mechanisms are on.

    Returns
    -------
    tuple of Action
        The actions, to be carried out in this order.
    """
    vm_health.update_memory(view, memory)
    draft = plan_draft.start_draft(view, memory)
    is_in_outage = (
        view.now_s < memory.outage_until_s and policy.may_await_recovery
    )
    if not memory.pending_records and not is_in_outage:
        _plan_groups(draft, policy)
    vm_orders.issue_orders(draft, may_preload=policy.may_preload)
    return tuple(draft.actions)


def _plan_groups(draft: plan_draft.Draft, policy: Policy) -> None:
    config = draft.view.state.config
    if config.is_in_service(draft.view.data_centre):
        repairs.repair_groups(draft, may_merge=policy.may_merge)
        repairs.swap_in_warm_vms(draft)
    group_drains.plan_drains(
        draft, is_make_before_break=policy.is_make_before_break
    )
    formations.form_groups(draft)


def forget_record(memory: domain_state.PlannerMemory, record_id: str) -> None:
    """Stop waiting for a record that the log did not take."""
    memory.pending_records.discard(record_id)


def confirm_order(
    memory: domain_state.PlannerMemory, vm: str, order: models.Order
) -> None:
    """Note that a VM answered an order; the next one need not wait."""
    sent = memory.orders.get(vm)
    if sent is not None and sent.order == order:
        sent.is_confirmed = True


def may_grant_places(
    view: domain_state.DomainView,
    memory: domain_state.PlannerMemory,
    group_id: str,
) -> bool:
    """Tell whether the grantor may grant places at a group now.

    The group must be whole and must not drain; neither its data centre nor
    a member may be leaving or out of service.
    """
    group = view.state.groups.get(group_id)
    if group is None or group_id in memory.drains:
        return False
    if not view.state.config.is_in_service(view.data_centre):
        return False
    if any(domain_state.is_leaving(view, vm) for vm in group.members):
        return False
    return domain_state.is_whole(view, group)


def explain_vm(
    view: domain_state.DomainView, memory: domain_state.PlannerMemory, vm: str
) -> dict[str, str]:
    """Describe the condition of a VM and the reasons for it, as text."""
    condition = vm_health.classify_vm(view, memory, vm)
    health = memory.health_of(vm)
    status = view.vms.get(vm)
    sent = memory.orders.get(vm)
    quarantine_s = max(0.0, health.quarantined_until_s - view.now_s)
    return {
        "vm": vm,
        "condition": condition.value,
        "group": view.state.group_of_vm.get(vm, ""),
        "weights": domain_state.held_weights(status),
        "quarantined_for_s": f"{quarantine_s:.1f}",
        "flaps": str(health.flaps),
        "is_lost": str(domain_state.is_lost(view, memory, vm)).lower(),
        "is_slow": str(health.is_slow).lower(),
        "newest_order": type(sent.order).__name__ if sent else "",
    }


def explain_group(
    view: domain_state.DomainView,
    memory: domain_state.PlannerMemory,
    group_id: str,
) -> dict[str, str]:
    """Describe the state of a group and of its members, as text."""
    state = domain_state.group_state(view, memory, group_id)
    group = view.state.groups.get(group_id)
    if group is None:
        return {"group": group_id, "state": state.value}
    slots = domain_state.slot_states(view, memory, group)
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
