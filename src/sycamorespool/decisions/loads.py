"""Orders to the VMs, and in which order weights are loaded.

All domains share the rate of one store of weights.  Loads are ordered so
that the group that lacks least is whole first; VMs that hold the weights
of their rank need none.  What is left of the rate loads spare VMs with the
ranks that no spare holds, so that the next lost member is replaced at once.
"""

import collections
import dataclasses

from sycamorespool.decisions import domain_state
from sycamorespool.decisions import plan_draft
from sycamorespool.decisions import replay
from sycamorespool.decisions import vm_health
from sycamorespool import models

ORDER_RETRY_S = 1.0

_SlotState = domain_state.SlotState


@dataclasses.dataclass(frozen=True, slots=True)
class _Join:
    """A join order that is due, and what decides its turn."""

    vm: str
    order: models.JoinOrder
    needs_load: bool
    loads_of_group: int
    is_broken: bool

    @property
    def turn(self) -> tuple[bool, int, str, int]:
        """Sort key; the lowest goes first."""
        return (
            self.is_broken,
            self.loads_of_group,
            self.order.group_id,
            self.order.rank,
        )


def give_orders(draft: plan_draft.Draft, *, may_preload: bool = True) -> None:
    """Order members to join, others to leave, and spares to load."""
    joins = [
        join
        for group_id in draft.slots
        for join in _list_joins(draft, group_id)
    ]
    slots = draft.view.max_loads - _count_running(draft)
    for join in sorted(joins, key=lambda j: j.turn):
        if join.needs_load and slots <= 0:
            continue
        if send(draft, join.vm, join.order) and join.needs_load:
            slots -= 1
    _order_leaves(draft)
    if may_preload and _is_in_service(draft):
        _preload(draft, slots)


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
    # An upgrade in place reloads the members once no request is left.
    if group_id not in draft.memory.upgrading:
        return False
    return not plan_draft.is_idle(draft.view, draft.memory, group_id)


def _make_join(
    group: replay.Group, rank: int, weights: str
) -> models.JoinOrder:
    return models.JoinOrder(
        group.epoch, group.group_id, rank, group.members, weights
    )


def _count_running(draft: plan_draft.Draft) -> int:
    return sum(_is_loading(draft, vm) for vm in draft.view.vms)


def _is_loading(draft: plan_draft.Draft, vm: str) -> bool:
    evidence = draft.view.vms[vm]
    if evidence.is_silent:
        return False
    if evidence.report.phase == models.EnginePhase.LOADING:
        return True
    sent = draft.memory.orders.get(vm)
    if sent is None or sent.is_confirmed:
        return False
    if isinstance(sent.order, models.LeaveOrder):
        return False
    is_recent = draft.view.now_s - sent.sent_s < ORDER_RETRY_S
    return is_recent and evidence.report.weights != sent.order.weights


def _order_leaves(draft: plan_draft.Draft) -> None:
    state = draft.view.state
    for vm, evidence in draft.view.vms.items():
        if vm in state.group_of_vm or evidence.is_silent:
            continue
        report = evidence.report
        # A report of a later epoch shows that this replay lags.
        if report.group_id and report.epoch <= state.offset:
            order = models.LeaveOrder(state.offset, report.group_id)
            send(draft, vm, order)


def send(draft: plan_draft.Draft, vm: str, order: models.Order) -> bool:
    """Send an order unless it, or one that excludes it, is on its way."""
    memory = draft.memory
    now_s = draft.view.now_s
    sent = memory.orders.get(vm)
    if sent is not None and not sent.is_confirmed:
        is_same = _name(sent.order) == _name(order)
        wait_s = ORDER_RETRY_S if is_same else _flight_s(draft, vm)
        if now_s - sent.sent_s < wait_s:
            return False
    memory.orders[vm] = domain_state.SentOrder(order, now_s)
    draft.actions.append(plan_draft.Send(vm, order))
    return True


def _name(order: models.Order) -> tuple:
    if isinstance(order, models.JoinOrder):
        return ("join", order.group_id, order.epoch, order.weights)
    if isinstance(order, models.LeaveOrder):
        return ("leave", order.group_id)
    return ("load", order.weights)


def _flight_s(draft: plan_draft.Draft, vm: str) -> float:
    # An engine that ignores fencing numbers takes orders as they land, so
    # the one before must have landed first.
    services = draft.view.state.config.services.values()
    is_ignored = any(
        s.kind == "model" and s.fencing == "ignored" for s in services
    )
    return vm_health.ORDER_DELIVERY_MAX_S if is_ignored else 0.0


def _preload(draft: plan_draft.Draft, slots: int) -> None:
    wanted = _count_wanted(draft)
    if not wanted:
        return
    engine = plan_draft.ENGINE_ROLE
    spares = [v for v in draft.free_vms if draft.view.vms[v].vm.role == engine]
    held = collections.Counter(draft.free_vms[vm] for vm in spares)
    for vm in spares:
        if slots <= 0:
            return
        if draft.free_vms[vm] in wanted or _is_loading(draft, vm):
            continue
        weights = min(wanted, key=lambda w: (held[w] - wanted[w], held[w], w))
        order = models.LoadOrder(draft.view.state.offset, weights)
        if send(draft, vm, order):
            held[weights] += 1
            slots -= 1


def _count_wanted(draft: plan_draft.Draft) -> collections.Counter:
    """Count, by weights, the slots that a spare could soon take."""
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
