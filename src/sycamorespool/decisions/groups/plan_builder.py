"""Holds a plan's building blocks: collecting orders, forming new groups.

A plan holds the orders that the owner of a fabric domain sends next.  The
builder suppresses orders that were sent a moment ago and limits the loads
from the weight store.
"""

import collections
from collections import abc
import dataclasses
import math

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.groups import spares
from sycamorespool import routing_table


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Holds the orders that the owner sends next.

    Parameters
    ----------
    orders : tuple of Order
        Orders to be sent at once.
    loads : int
        Loads from the weight store that the orders begin.
    is_settled : bool
        Whether no group is about to change, so that the next plan may be
        made later.
    """

    orders: tuple[backends.Order, ...]
    loads: int
    is_settled: bool


def make_join_order(
    vm_id: str, group: str, epoch: int, formation: domain_view.Formation
) -> backends.Order:
    """Return the order that makes a VM join a group in formation."""
    return backends.Order(
        vm_id,
        backends.OrderKind.JOIN,
        group,
        epoch,
        formation.model,
        formation.members,
    )


class PlanBuilder:
    """Collects the orders of one plan.

    Parameters
    ----------
    view : DomainView
        The VMs and groups of the domain.
    memory : PlannerMemory
        The state kept between plans; updated in place.

    Attributes
    ----------
    free : dict
        VMs that may join a group, by id.
    loads : int
        Loads from the weight store that the orders begin.
    is_settled : bool
        Whether no group is about to change.
    """

    def __init__(
        self, view: domain_view.DomainView, memory: domain_view.PlannerMemory
    ) -> None:
        self.view = view
        self.memory = memory
        self.orders: list[backends.Order] = []
        self.loads = 0
        self.is_settled = True
        if memory.fence != view.fence:
            memory.fence = view.fence
            memory.sequence = 0
        self.free = {
            vm_id: vm
            for vm_id, vm in view.vms.items()
            if self._is_usable(vm_id, vm)
        }

    def _is_usable(self, vm_id: str, vm: domain_view.VmView) -> bool:
        if vm.misses or vm.report is None:
            return False
        if domain_view.is_leaving(vm) or not vm.is_listed:
            return False
        now_s = self.view.now_s
        is_fresh = now_s - vm.report_s <= domain_view.REPORT_MAX_AGE_S
        is_held = now_s < self.memory.held_until_s.get(vm_id, -math.inf)
        return is_fresh and not is_held

    def form_groups(self, wanted: abc.Sequence[str]) -> None:
        """Order free VMs to join new groups of the wanted models."""
        for name in wanted:
            model = self.view.engine.find_model(name)
            if model is not None and len(self.free) >= model.size:
                self._form_group(model)

    def _form_group(self, model: routing_table.Model) -> None:
        def rank_vm(vm_id: str) -> tuple[bool, bool, str]:
            vm = self.free[vm_id]
            is_slow = bool(vm.report and vm.report.pace > 1.0)
            return (is_slow, model.name not in vm.staged, vm_id)

        chosen = sorted(self.free, key=rank_vm)[: model.size]
        loads = sum(model.name not in self.free[i].staged for i in chosen)
        if loads > max(0, self.view.load_limit - self.loads):
            # Stage the weights as far as the limit allows; the group is
            # formed by a later plan.
            for vm_id in chosen:
                if model.name not in self.free[vm_id].staged:
                    self._stage(vm_id, model)
            return
        self.loads += loads
        self.memory.sequence += 1
        epoch = (
            self.view.fence * domain_view.EPOCHS_PER_FENCE
            + self.memory.sequence
        )
        name = domain_view.make_group_name(model.name, epoch)
        formation = domain_view.Formation(
            model.name, tuple(chosen), self.view.now_s
        )
        self.memory.formations[name] = formation
        self.is_settled = False
        for vm_id in chosen:
            del self.free[vm_id]
            self.send(make_join_order(vm_id, name, epoch, formation))

    def stage_free(self, lacking: abc.Container[str]) -> None:
        """Load the weights on free VMs that the domain's groups may need."""
        idle = {
            vm_id: vm.staged
            for vm_id, vm in self.free.items()
            if vm.report is not None and not vm.report.is_busy
        }
        models = self.view.engine.models
        stages = spares.choose_stages(
            models, self._count_grouped(), idle, lacking
        )
        for vm_id, name in stages.items():
            model = self.view.engine.find_model(name)
            if model is not None:
                self._stage(vm_id, model)

    def _count_grouped(self) -> collections.Counter[str]:
        """Return the number of VMs by the model of their group.

        VMs that were only just ordered to join a group count too.
        """
        models = {
            vm_id: domain_view.model_of_group(vm.membership.group)
            for vm_id, vm in self.view.vms.items()
            if vm_id not in self.free and vm.membership is not None
        }
        for formation in self.memory.formations.values():
            for vm_id in formation.members:
                if vm_id in self.view.vms:
                    models[vm_id] = formation.model
        return collections.Counter(models.values())

    def _stage(self, vm_id: str, model: routing_table.Model) -> None:
        if self.loads >= self.view.load_limit:
            return
        order = backends.Order(
            vm_id, backends.OrderKind.STAGE, model=model.name
        )
        if self.send(order, model.load_s + domain_view.JOIN_TIMEOUT_S):
            self.loads += 1

    def send(
        self,
        order: backends.Order,
        repeat_s: float = domain_view.ORDER_RESEND_S,
    ) -> bool:
        """Add an order unless its VM is silent or it was sent a moment ago.

        Return whether it was added.
        """
        if domain_view.is_silent(self.view.vms[order.backend_id], self.view):
            return False
        key = domain_view.order_key(order)
        last_s = self.memory.sent.get(key, -math.inf)
        if self.view.now_s - last_s < repeat_s:
            return False
        self.memory.sent[key] = self.view.now_s
        self.orders.append(order)
        return True

    def finish(self) -> Plan:
        """Return the plan and drop outdated state."""
        expired_s = self.view.now_s - 10 * domain_view.JOIN_TIMEOUT_S
        memory = self.memory
        memory.sent = {k: s for k, s in memory.sent.items() if s > expired_s}
        reported = {
            vm.membership.group
            for vm in self.view.vms.values()
            if vm.membership is not None
        }
        memory.heads = {g: h for g, h in memory.heads.items() if g in reported}
        memory.held_until_s = {
            vm_id: until_s
            for vm_id, until_s in memory.held_until_s.items()
            if until_s > self.view.now_s
        }
        return Plan(tuple(self.orders), self.loads, self.is_settled)
