"""Simulates deployments of real sizes under random faults.

With the same seed, every policy of the group planner meets the same faults
at the same times.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

from benchmarks import vm_model
from sycamorespool.decisions.groups import group_planner
from sycamorespool import models

DAY_S = 86400.0
TICK_S = 0.5
COARSE_TICK_S = 5.0
# After an event an owner plans every TICK_S for PLANNING_S, and then every
# COARSE_TICK_S for SLOW_PLANNING_S.
PLANNING_S = 6.0
SLOW_PLANNING_S = 45.0
FAULTS_START_S = 1500.0
LOAD_S = 60.0
STORE_RATE = 32.0
REPLACEMENT_S = 600.0
RESTART_S = 90.0
RESTART_NOTICE_S = 30.0
DRAIN_S = 1800.0
AFTER_RETURN_S = 600.0
AFTER_UPGRADE_S = 1800.0
DOMAIN_OUTAGE_S = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Describes a deployment at its present size.

    ``model`` and ``plain`` are the names of its two services: one whose
    backend servers load a model, and a plain one.
    """

    data_centres: tuple[str, ...]
    model: str
    plain: str
    engines_per_domain: int


DEPLOYMENTS = {
    "ferreyra": Deployment(
        ("barracas", "palermo", "avellaneda"), "assistant", "orders", 68
    ),
    "cadeau": Deployment(
        ("dakar-a", "dakar-b", "dakar-c"), "drafting", "ledger", 72
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Holds how many faults a run has.

    ``losses``, ``restarts``, ``freezes`` and ``memory_losses`` are rates per
    VM and day; the other fields but ``days`` count events in the run.
    """

    days: float
    losses: float
    restarts: float
    freezes: float
    memory_losses: float
    rack_losses: int
    domain_outages: int
    drains: int
    upgrades: int


RATES = {
    "realistic": Rates(1.0, 9 / 8800, 160 / 8800, 0.02, 0.01, 0, 0, 1, 1),
    "harsher": Rates(0.5, 0.05, 0.5, 0.5, 0.2, 2, 1, 2, 1),
}


@dataclasses.dataclass(slots=True)
class Tally:
    """Sums up the capacity that one run lost.

    Parameters
    ----------
    down_s : float
        Replica seconds in which wanted replicas did not serve, outside
        drains, returns and upgrades.
    stranded_s : float
        VM seconds in which VMs beyond the spare ones were up but in no
        serving group, in the same periods.
    drain_down_s, return_down_s, upgrade_down_s : float
        Replica seconds lost during drains of a data centre, after its
        return and after an upgrade.
    observed_s : float
        Time that counts for ``down_s`` and ``stranded_s``.
    hits : int
        Groups in service that lost a member to a fault.
    """

    down_s: float = 0.0
    stranded_s: float = 0.0
    drain_down_s: float = 0.0
    return_down_s: float = 0.0
    upgrade_down_s: float = 0.0
    observed_s: float = 0.0
    hits: int = 0


class Run:
    """Simulates one deployment with one policy and one list of faults."""

    def __init__(
        self,
        deployment: Deployment,
        rates: Rates,
        policy: group_planner.Policy,
        seed: int,
    ) -> None:
        self.deployment = deployment
        vms = vm_model.make_vms(
            deployment.data_centres,
            2,
            deployment.engines_per_domain,
            (deployment.plain,),
        )
        services = {
            deployment.model: {
                "group_size": 8,
                "replicas": 48,
                "model": "m",
            },
            deployment.plain: {"kind": "plain", "replicas": 3},
        }
        self.fleet = vm_model.Fleet(vms, services, LOAD_S, STORE_RATE, policy)
        self.now_s = 0.0
        self.planning_until_s = dict.fromkeys(self.fleet.domains, PLANNING_S)
        self.events: list[tuple[float, int, t.Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.tally = Tally()
        self.drained: set[str] = set()
        self.returned_s = -AFTER_RETURN_S
        self.upgraded_s = -AFTER_UPGRADE_S
        self.end_s = FAULTS_START_S + rates.days * DAY_S
        self._schedule(rates, random.Random(seed))

    def schedule(self, time_s: float, act: t.Callable[[], None]) -> None:
        """Schedule an event of the simulation."""
        heapq.heappush(self.events, (time_s, next(self.event_numbers), act))

    def _schedule(self, rates: Rates, rng: random.Random) -> None:
        names = sorted(self.fleet.vms)
        span_s = rates.days * DAY_S
        kinds = (
            (rates.losses, self._lose_vm),
            (rates.restarts, self._restart_vm),
            (rates.freezes, self._freeze_vm),
            (rates.memory_losses, self._lose_memory),
        )
        for rate, act in kinds:
            for _ in range(round(rate * rates.days * len(names))):
                time_s = FAULTS_START_S + rng.random() * span_s
                self.schedule(
                    time_s, _bind(act, rng.choice(names), rng.random())
                )
        self._schedule_larger_faults(rates, rng)

    def _schedule_larger_faults(
        self, rates: Rates, rng: random.Random
    ) -> None:
        span_s = rates.days * DAY_S
        domains = sorted(d for d in self.fleet.domains if d[-1].isdigit())
        larger_faults = (
            (rates.rack_losses, self._lose_rack, domains),
            (rates.domain_outages, self._interrupt_domain, domains),
            (
                rates.drains,
                self._drain_data_centre,
                self.deployment.data_centres,
            ),
            (rates.upgrades, self._upgrade, ("2",)),
        )
        for count, act, targets in larger_faults:
            for _ in range(count):
                time_s = FAULTS_START_S + rng.random() * (span_s - 2 * DRAIN_S)
                self.schedule(
                    time_s, _bind(act, rng.choice(targets), rng.random())
                )

    def keep_planning(self, vm: vm_model.ModelVm) -> None:
        """Let the owner of a VM's domain plan often for PLANNING_S."""
        self.planning_until_s[vm.vm.domain] = self.now_s + PLANNING_S

    def keep_all_planning(self) -> None:
        """Let all owners plan often for PLANNING_S."""
        for domain in self.planning_until_s:
            self.planning_until_s[domain] = self.now_s + PLANNING_S

    def _stop_vm(
        self, vm: vm_model.ModelVm, down_s: float, **options: bool
    ) -> None:
        if not vm.is_up:
            return
        self.tally.hits += self._hits_group(vm)
        vm.stop(self.now_s, **options)
        self.keep_planning(vm)
        self.schedule(self.now_s + down_s, _bind(self._start_vm, vm))

    def _hits_group(self, vm: vm_model.ModelVm) -> bool:
        """Tell whether a fault of a VM breaks a whole group in service."""
        state = self.fleet.state
        group = state.groups.get(state.group_of_vm.get(vm.vm.vm, ""))
        if group is None or vm.vm.data_centre in self.drained:
            return False
        return self.fleet.is_complete(group)

    def _start_vm(self, vm: vm_model.ModelVm) -> None:
        vm.is_up = True
        vm.vm = _with_state(vm.vm, models.VmState.LIVE)
        self.keep_planning(vm)

    def _lose_vm(self, name: str, _: float) -> None:
        self._stop_vm(self.fleet.vms[name], REPLACEMENT_S)

    def _restart_vm(self, name: str, chance: float) -> None:
        vm = self.fleet.vms[name]
        if chance < 0.5:
            self._stop_vm(vm, RESTART_S)
        elif vm.is_up:
            vm.vm = _with_state(vm.vm, models.VmState.LEAVING)
            self.keep_planning(vm)
            self.schedule(
                self.now_s + RESTART_NOTICE_S,
                _bind(self._stop_vm, vm, RESTART_S),
            )

    def _freeze_vm(self, name: str, chance: float) -> None:
        down_s = 0.5 + 19.5 * chance**3
        self._stop_vm(self.fleet.vms[name], down_s, keeps_memory=True)

    def _lose_memory(self, name: str, _: float) -> None:
        vm = self.fleet.vms[name]
        self.tally.hits += self._hits_group(vm)
        vm.incarnation += 1
        vm.clear()
        vm.epoch = -1
        self.keep_planning(vm)

    def _lose_rack(self, domain: str, _: float) -> None:
        for vm in self.fleet.domains[domain][:16]:
            self._stop_vm(vm, REPLACEMENT_S)

    def _interrupt_domain(self, domain: str, _: float) -> None:
        for vm in self.fleet.domains[domain]:
            self._stop_vm(vm, DOMAIN_OUTAGE_S, keeps_memory=True)

    def _drain_data_centre(self, data_centre: str, chance: float) -> None:
        if data_centre in self.drained:
            return
        self.drained.add(data_centre)
        self.fleet.patch({"data_centres": {data_centre: _OUT_OF_SERVICE}})
        self.keep_all_planning()
        if chance < 0.5:
            self.schedule(
                self.now_s + 60, _bind(self._stop_data_centre, data_centre)
            )
        self.schedule(
            self.now_s + DRAIN_S, _bind(self._restore_data_centre, data_centre)
        )

    def _stop_data_centre(self, data_centre: str) -> None:
        for vm in self.fleet.vms.values():
            if vm.vm.data_centre == data_centre:
                self._stop_vm(vm, DRAIN_S / 2)

    def _restore_data_centre(self, data_centre: str) -> None:
        self.drained.discard(data_centre)
        self.returned_s = self.now_s
        self.fleet.patch({"data_centres": {data_centre: _IN_SERVICE}})
        self.keep_all_planning()

    def _upgrade(self, version: str, _: float) -> None:
        name = self.deployment.model
        self.upgraded_s = self.now_s
        self.fleet.patch({"services": {name: {"version": version}}})
        self.keep_all_planning()

    def simulate(self) -> Tally:
        """Run to the end and return the lost capacity."""
        while self.now_s < self.end_s:
            while self.events and self.events[0][0] <= self.now_s:
                heapq.heappop(self.events)[2]()
            self._plan()
            serving = self.fleet.list_serving(self.now_s)
            self._advance(serving)
        return self.tally

    def _plan(self) -> None:
        for domain, until_s in self.planning_until_s.items():
            is_planning = self.now_s < until_s + SLOW_PLANNING_S
            if is_planning and self.fleet.step(domain, self.now_s):
                self.planning_until_s[domain] = self.now_s + PLANNING_S

    def _advance(self, serving: list) -> None:
        next_s = self.events[0][0] if self.events else self.end_s
        step_s = max(1e-3, next_s - self.now_s)
        load_s = self.fleet.next_load_s()
        step_s = min(step_s, max(load_s, 1e-3))
        until_s = max(self.planning_until_s.values())
        if self.now_s < until_s:
            step_s = min(step_s, TICK_S)
        elif self.now_s < until_s + SLOW_PLANNING_S:
            step_s = min(step_s, COARSE_TICK_S)
        step_s = min(step_s, max(1e-3, self.end_s - self.now_s))
        self._add_to_tally(serving, step_s)
        loads = self._list_loads()
        self.fleet.advance(step_s)
        self.now_s += step_s
        for vm in loads:
            if not vm.load_target:
                self.keep_planning(vm)

    def _list_loads(self) -> list[vm_model.ModelVm]:
        return [vm for vm in self.fleet.vms.values() if vm.load_target]

    def _count_missing_replicas(self, serving: list) -> int:
        counts = collections.Counter(group.service for group in serving)
        return sum(
            max(0, service.replicas - counts[name])
            for name, service in self.fleet.state.config.services.items()
        )

    def _count_wanted_vms(self) -> int:
        services = self.fleet.state.config.services.values()
        return sum(s.replicas * s.group_size for s in services)

    def _add_to_tally(self, serving: list, step_s: float) -> None:
        if self.now_s < FAULTS_START_S:
            return
        tally = self.tally
        down_s = self._count_missing_replicas(serving) * step_s
        if self.drained:
            tally.drain_down_s += down_s
        elif self.now_s - self.returned_s < AFTER_RETURN_S:
            tally.return_down_s += down_s
        elif self.now_s - self.upgraded_s < AFTER_UPGRADE_S:
            tally.upgrade_down_s += down_s
        else:
            used = sum(len(group.members) for group in serving)
            up = sum(vm.is_up for vm in self.fleet.vms.values())
            tally.down_s += down_s
            spare = len(self.fleet.vms) - self._count_wanted_vms()
            tally.stranded_s += max(0, up - used - spare) * step_s
            tally.observed_s += step_s


_OUT_OF_SERVICE = {"in_service": False}
_IN_SERVICE = {"in_service": True}


def _bind(act: t.Callable, *args: t.Any) -> t.Callable[[], None]:
    return lambda: act(*args)


def _with_state(vm: models.Vm, state: models.VmState) -> models.Vm:
    return models.Vm(
        vm.vm, vm.role, vm.address, vm.data_centre, vm.domain, state
    )
