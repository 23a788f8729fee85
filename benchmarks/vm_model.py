"""Simulates VMs, a weight store and the log for the group planner.

The model has only what the planner observes and orders: VMs that load
weights, carry out orders, fail, freeze and return.  The caller passes the
time.
"""

import dataclasses
import math
import typing as t

from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import group_planner
from sycamorespool.decisions.groups import plan_draft
from sycamorespool.decisions import replay
from sycamorespool import models
from sycamorespool import records

PROBE_PERIOD_S = 0.25
# How long a request of a draining group stays in flight.
STREAM_S = 5.0
# How long a group must be whole to count as warm.
WARM_UP_S = 20.0
MAX_PLAN_ROUNDS = 6


@dataclasses.dataclass(slots=True)
class ModelVm:
    """Simulates a backend server.

    ``load_left_s`` is the rest of a load's time at the store's full rate.
    """

    vm: models.Vm
    is_up: bool = True
    down_since_s: float = 0.0
    incarnation: int = 1
    group_id: str = ""
    epoch: int = -1
    rank: int = -1
    weights: str = ""
    load_target: str = ""
    load_left_s: float = 0.0
    is_fenced: bool = True
    last_report: models.ProbeReport | None = None
    last_seen_s: float = -math.inf

    def carry_out(self, order: models.Order, load_s: float) -> bool:
        """Carry out an order; return False if it is refused."""
        if not self.is_up or (self.is_fenced and order.epoch < self.epoch):
            return False
        _ORDER_HANDLERS[type(order)](self, order)
        self.epoch = order.epoch
        ordered_weights = getattr(order, "weights", "")
        if ordered_weights and ordered_weights not in (
            self.load_target or self.weights,
        ):
            self.weights = ""
            self.load_target = ordered_weights
            self.load_left_s = load_s
        return True

    def stop(self, now_s: float, *, keeps_memory: bool = False) -> None:
        """Stop; the memory is lost unless ``keeps_memory``."""
        self.is_up = False
        self.down_since_s = now_s
        if not keeps_memory:
            self.incarnation += 1
            self.clear()
            self.epoch = -1

    def clear(self) -> None:
        """Forget the group and the weights."""
        self.group_id = self.weights = self.load_target = ""
        self.rank = -1

    def report(self) -> models.ProbeReport:
        """Return the answer to a probe."""
        phase = models.EnginePhase.IDLE
        if self.load_target:
            phase = models.EnginePhase.LOADING
        elif self.weights:
            phase = models.EnginePhase.READY
        return models.ProbeReport(
            self.vm.vm,
            self.incarnation,
            phase,
            self.group_id,
            self.epoch,
            self.rank,
            self.weights,
        )


def _join(vm: ModelVm, order: models.JoinOrder) -> None:
    vm.group_id = order.group_id
    vm.rank = order.rank


def _leave(vm: ModelVm, order: models.LeaveOrder) -> None:
    if vm.group_id == order.group_id:
        vm.group_id = ""
        vm.rank = -1


def _load(vm: ModelVm, order: models.LoadOrder) -> None:
    del vm, order


_ORDER_HANDLERS: dict[type, t.Callable] = {
    models.JoinOrder: _join,
    models.LeaveOrder: _leave,
    models.LoadOrder: _load,
}


class Fleet:
    """Simulates VMs, a log and an owner for each domain.

    Parameters
    ----------
    vms : iterable of Vm
        The VMs of the membership list.
    services : dict
        The ``services`` of the configuration.
    load_s : float
        Time of one load at the full rate.
    store_rate : float
        Number of parallel loads that the store serves at the full rate.
    policy : Policy
        Which mechanisms of the planner are enabled.
    """

    def __init__(
        self,
        vms: t.Iterable[models.Vm],
        services: dict[str, t.Any],
        load_s: float = 60.0,
        store_rate: float = 32.0,
        policy: group_planner.Policy = group_planner.DEFAULT_POLICY,
    ) -> None:
        self.vms = {vm.vm: ModelVm(vm) for vm in vms}
        self.state = replay.FleetState()
        self.load_s = load_s
        self.store_rate = store_rate
        self.policy = policy
        self.memories: dict[str, domain_state.PlannerMemory] = {}
        self.whole_since_s: dict[str, float] = {}
        self.load_slots = 8
        self.verdicts: dict[str, str] = {}
        self.patch({"services": services})
        self.domains: dict[str, list[ModelVm]] = {}
        for vm in self.vms.values():
            self.domains.setdefault(vm.vm.domain, []).append(vm)
        for domain in self.domains:
            self.claim(domain)

    def append(self, record: records.Record) -> replay.Verdict:
        """Append a record and replay it."""
        verdict = replay.apply(self.state, self.state.offset + 1, record)
        self.verdicts[record.record_id] = verdict.status
        return verdict

    def patch(self, patch: dict[str, t.Any]) -> None:
        """Append a patch of the configuration."""
        record_id = f"patch-{self.state.version}"
        record = records.ConfigPatch(record_id, self.state.version, patch)
        assert self.append(record).is_accepted

    def claim(self, domain: str) -> None:
        """Give a domain a new owner, with an empty memory."""
        unit = f"domain/{domain}"
        epoch = self.state.epoch_of(unit)
        claim = records.OwnershipClaim(f"{unit}+{epoch}", unit, "e", 1, epoch)
        assert self.append(claim).is_accepted
        self.memories[domain] = domain_state.PlannerMemory()

    def view(self, domain: str, now_s: float) -> domain_state.DomainView:
        """Return the planner's view of a domain."""
        unit = f"domain/{domain}"
        memory = self.memories[domain]
        return domain_state.DomainView(
            unit=unit,
            epoch=self.state.epoch_of(unit),
            now_s=now_s,
            state=self.state,
            vms={
                v.vm.vm: self._make_status(v, now_s)
                for v in self.domains[domain]
            },
            in_flight=_count_in_flight(memory, now_s),
            warm_groups={
                group_id
                for group_id, since_s in self.whole_since_s.items()
                if now_s - since_s >= WARM_UP_S
            },
            fleet_vms=[vm.vm for vm in self.vms.values()],
            max_loads=self.load_slots,
        )

    def _make_status(self, vm: ModelVm, now_s: float) -> domain_state.VmStatus:
        if vm.is_up:
            vm.last_report = vm.report()
            vm.last_seen_s = now_s
            return domain_state.VmStatus(vm.vm, vm.last_report, now_s)
        failures = int((now_s - vm.down_since_s) / PROBE_PERIOD_S)
        return domain_state.VmStatus(
            vm.vm, vm.last_report, vm.last_seen_s, failures
        )

    def step(self, domain: str, now_s: float) -> int:
        """Plan and carry out the plans until nothing is left to do now.

        Returns
        -------
        int
            Number of actions carried out.
        """
        done = 0
        for _ in range(MAX_PLAN_ROUNDS):
            view = self.view(domain, now_s)
            actions = group_planner.plan(
                view, self.memories[domain], self.policy
            )
            for action in actions:
                self._carry_out(domain, action)
            done += len(actions)
            if not actions:
                break
        return done

    def _carry_out(self, domain: str, action: plan_draft.Action) -> None:
        if isinstance(action, plan_draft.Append):
            self.append(action.record)
        elif isinstance(action, plan_draft.Send):
            self.vms[action.vm].carry_out(action.order, self.load_s)
            memory = self.memories[domain]
            group_planner.confirm_order(memory, action.vm, action.order)

    def advance(self, elapsed_s: float) -> None:
        """Advance the loads of weights, which share the rate of the store."""
        loading = [v for v in self.vms.values() if v.load_target and v.is_up]
        if not loading:
            return
        rate = min(1.0, self.store_rate / len(loading))
        for vm in loading:
            vm.load_left_s -= elapsed_s * rate
            if vm.load_left_s <= 1e-9:
                vm.weights, vm.load_target = vm.load_target, ""

    def next_load_s(self) -> float:
        """Return the time until the next load ends, ``inf`` if none runs."""
        loading = [v for v in self.vms.values() if v.load_target and v.is_up]
        if not loading:
            return math.inf
        rate = min(1.0, self.store_rate / len(loading))
        return min(vm.load_left_s for vm in loading) / rate

    def is_complete(self, group: replay.Group) -> bool:
        """Tell whether every member actually serves in the group."""
        versions = set()
        for rank, name in enumerate(group.members):
            vm = self.vms[name]
            if not vm.is_up:
                return False
            if vm.vm.role != "engine":
                continue
            if (vm.group_id, vm.epoch) != (group.group_id, group.epoch):
                return False
            if vm.rank != rank or vm.weights.rpartition("#")[2] != str(rank):
                return False
            versions.add(vm.weights.rpartition("#")[0])
        return len(versions) <= 1

    def list_serving(self, now_s: float) -> list[replay.Group]:
        """Return the groups that can actually take new work now."""
        serving = []
        config = self.state.config
        for group in self.state.groups.values():
            domain = group.unit.removeprefix("domain/")
            is_complete = self.is_complete(group)
            if is_complete:
                self.whole_since_s.setdefault(group.group_id, now_s)
            else:
                self.whole_since_s.pop(group.group_id, None)
            members = [self.vms[vm].vm for vm in group.members]
            is_out = any(
                vm.state == models.VmState.LEAVING
                or not config.is_in_service(vm.data_centre, vm.vm)
                for vm in members
            )
            is_drained = group.group_id in self.memories[domain].drains
            if is_complete and not is_out and not is_drained:
                serving.append(group)
        return serving


def _count_in_flight(
    memory: domain_state.PlannerMemory, now_s: float
) -> dict[str, int]:
    return {
        group_id: 1
        for group_id, drain in memory.drains.items()
        if now_s - drain.since_s < STREAM_S
    }


def make_vms(
    data_centres: t.Sequence[str],
    domains: int,
    engines: int,
    plain: t.Sequence[str] = (),
) -> list[models.Vm]:
    """Return VMs for ``domains`` domains in each data centre.

    Each data centre also gets two VMs for each plain service, in a domain
    of their own.
    """
    vms = []
    for data_centre in data_centres:
        for domain in range(domains):
            name = f"{data_centre}-{domain}"
            vms += [
                models.Vm(f"{name}-{n}", "engine", "", data_centre, name)
                for n in range(engines)
            ]
        for service in plain:
            name = f"{data_centre}-{service}"
            role = f"service/{service}"
            vms += [
                models.Vm(f"{name}-{n}", role, "", data_centre, name)
                for n in range(2)
            ]
    return vms
