"""Issues orders to the VMs of a domain, and sequences their weight loads.

All domains share the bandwidth of one weight store.  Loads are sequenced so
that the group that needs the fewest becomes whole first; a VM that holds
the weights of its rank needs no load.  The remaining load slots preload
spare VMs with the ranks that no spare holds, so that the next lost member
is replaced at once.
"""

import collections
import dataclasses

from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import plan_draft
from sycamorespool.decisions.groups import vm_health
from sycamorespool.decisions import replay
from sycamorespool import models

# An order whose effect is not reported yet is sent again after this time.
ORDER_RETRY_S = 1.0

_SlotState = domain_state.SlotState


@dataclasses.dataclass(frozen=True, slots=True)
class _Join:
    """Holds a join order that is due, and what its priority depends on."""

    vm: str
    order: models.JoinOrder
    needs_load: bool
    loads_of_group: int
    is_broken: bool

    @property
    def priority(self) -> tuple[bool, int, str, int]:
        """Return the sort key; the lowest is sent first."""
        return (
            self.is_broken,
            self.loads_of_group,
            self.order.group_id,
            self.order.rank,
        )


def issue_orders(draft: plan_draft.Draft, *, may_preload: bool = True) -> None:
    """Order members to join, other VMs to leave, and spares to preload."""
    joins = [
        join
        for group_id in draft.slots
        for join in _list_joins(draft, group_id)
    ]
    free_loads = draft.view.max_loads - _count_loading(draft)
    for join in sorted(joins, key=lambda j: j.priority):
        if join.needs_load and free_loads <= 0:
            continue
        if send(draft, join.vm, join.order) and join.needs_load:
            free_loads -= 1
    _order_leaves(draft)
    if may_preload and _is_in_service(draft):
        _preload(draft, free_loads)


def _is_in_service(draft: plan_draft.Draft) -> bool:
    config = draft.view.state.config
    return config.is_in_service(draft.view.data_centre)


def _list_joins(draft: plan_draft.Draft, group_id: str) -> list[_Join]:
    group = draft.group(group_id)
    service = draft.view.service_of(group)
    if service is None or service.kind == "plain":
        return []
    slots = draft.slots[group_id]
    due = [
        rank
        for rank, slot in enumerate(slots)
        if slot in {_SlotState.WARM, _SlotState.COLD}
    ]
    if not due or _is_upgrade_waiting(draft, group_id):
        return []
    loads = slots.count(_SlotState.COLD)
    is_broken = _SlotState.LOST in slots
    version = domain_state.target_version(draft.view, group, draft.memory)
    return [
        _Join(
            group.members[rank],
            _make_join(group, rank, f"{service.model}@{version}#{rank}"),
            slots[rank] is _SlotState.COLD,
            loads,
            is_broken,
        )
        for rank in due
    ]


def _is_upgrade_waiting(draft: plan_draft.Draft, group_id: str) -> bool:
    # An in-place upgrade reloads the members once no request is running.
    if group_id not in draft.memory.upgrading:
        return False
    return not plan_draft.is_idle(draft.view, draft.memory, group_id)


def _make_join(
    group: replay.Group, rank: int, weights: str
) -> models.JoinOrder:
    return models.JoinOrder(
        group.epoch, group.group_id, rank, group.members, weights
    )


def _count_loading(draft: plan_draft.Draft) -> int:
    return sum(_is_loading(draft, vm) for vm in draft.view.vms)


def _is_loading(draft: plan_draft.Draft, vm: str) -> bool:
    status = draft.view.vms[vm]
    if status.is_silent:
        return False
    if status.report.phase == models.EnginePhase.LOADING:
        return True
    sent = draft.memory.orders.get(vm)
    if sent is None or sent.is_confirmed:
        return False
    if isinstance(sent.order, models.LeaveOrder):
        return False
    is_recent = draft.view.now_s - sent.sent_s < ORDER_RETRY_S
    return is_recent and status.report.weights != sent.order.weights


def _order_leaves(draft: plan_draft.Draft) -> None:
    state = draft.view.state
    for vm, status in draft.view.vms.items():
        if vm in state.group_of_vm or status.is_silent:
            continue
        report = status.report
        # A report of a later epoch shows that this entry's replay lags.
        if report.group_id and report.epoch <= state.offset:
            order = models.LeaveOrder(state.offset, report.group_id)
            send(draft, vm, order)


def send(draft: plan_draft.Draft, vm: str, order: models.Order) -> bool:
    """Send an order unless it or a conflicting one is still on its way.

    Return whether it was sent.
    """
    memory = draft.memory
    now_s = draft.view.now_s
    sent = memory.orders.get(vm)
    if sent is not None and not sent.is_confirmed:
        is_same = _order_key(sent.order) == _order_key(order)
        wait_s = ORDER_RETRY_S if is_same else _min_send_gap_s(draft, vm)
        if now_s - sent.sent_s < wait_s:
            return False
    memory.orders[vm] = domain_state.SentOrder(order, now_s)
    draft.actions.append(plan_draft.Send(vm, order))
    return True


def _order_key(order: models.Order) -> tuple:
    if isinstance(order, models.JoinOrder):
        return ("join", order.group_id, order.epoch, order.weights)
    if isinstance(order, models.LeaveOrder):
        return ("leave", order.group_id)
    return ("load", order.weights)


def _min_send_gap_s(draft: plan_draft.Draft, vm: str) -> float:
    # An engine that ignores fencing numbers executes orders as they arrive,
    # so the previous order must have arrived before the next is sent.
    services = draft.view.state.config.services.values()
    is_ignored = any(
        s.kind == "model" and s.fencing == "ignored" for s in services
    )
    return vm_health.ORDER_DELIVERY_MAX_S if is_ignored else 0.0


def _preload(draft: plan_draft.Draft, free_loads: int) -> None:
    wanted = _count_wanted(draft)
    if not wanted:
        return
    engine = plan_draft.ENGINE_ROLE
    spares = [v for v in draft.free_vms if draft.view.vms[v].vm.role == engine]
    held = collections.Counter(draft.free_vms[vm] for vm in spares)
    for vm in spares:
        if free_loads <= 0:
            return
        if draft.free_vms[vm] in wanted or _is_loading(draft, vm):
            continue
        weights = min(wanted, key=lambda w: (held[w] - wanted[w], held[w], w))
        order = models.LoadOrder(draft.view.state.offset, weights)
        if send(draft, vm, order):
            held[weights] += 1
            free_loads -= 1


def _count_wanted(draft: plan_draft.Draft) -> collections.Counter:
    """Count, by weights, the group slots that a spare may soon fill."""
    wanted: collections.Counter = collections.Counter()
    for group_id, slots in draft.slots.items():
        group = draft.group(group_id)
        service = draft.view.service_of(group)
        if service is None or service.kind == "plain":
            continue
        version = domain_state.target_version(draft.view, group, draft.memory)
        for rank, slot in enumerate(slots):
            weights = f"{service.model}@{version}#{rank}"
            is_lacking = slot in {_SlotState.LOST, _SlotState.LEAVING}
            wanted[weights] += is_lacking
    return wanted
