"""Deployments at their sizes of today under a list of faults.

Every policy sees the same faults at the same times, given the same seed.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

from benchmarks import vm_model
from sycamorespool.decisions import group_planner
from sycamorespool import models

DAY_S = 86400.0
TICK_S = 0.5
COARSE_TICK_S = 5.0
ACTIVE_S = 6.0
WATCH_S = 45.0
START_S = 1500.0
LOAD_S = 60.0
STORE_RATE = 32.0
REPLACED_AFTER_S = 600.0
RESTART_S = 90.0
NOTICE_S = 30.0
DRAIN_S = 1800.0
RETURN_WATCH_S = 600.0
UPGRADE_WATCH_S = 1800.0
DARK_S = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment at its size of today."""

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
    """Faults over a run; those of VMs are per VM and day."""

    days: float
    losses: float
    restarts: float
    freezes: float
    colds: float
    racks: int
    darks: int
    drains: int
    upgrades: int


RATES = {
    "realistic": Rates(1.0, 9 / 8800, 160 / 8800, 0.02, 0.01, 0, 0, 1, 1),
    "harsher": Rates(0.5, 0.05, 0.5, 0.5, 0.2, 2, 1, 2, 1),
}


@dataclasses.dataclass(slots=True)
class Tally:
    """What one run cost.

    Parameters
    ----------
    down_s : float
        Seconds that wanted replicas did not serve, outside drains.
    stranded_s : float
        Seconds that more VMs than the spares served in no working group,
        outside drains.
    """

    down_s: float = 0.0
    stranded_s: float = 0.0
    drain_down_s: float = 0.0
    return_down_s: float = 0.0
    upgrade_down_s: float = 0.0
    observed_s: float = 0.0
    hits: int = 0


class Run:
    """One deployment under one policy and one list of faults."""

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
        self.active_until_s = dict.fromkeys(self.fleet.domains, ACTIVE_S)
        self.queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self.order = itertools.count()
        self.tally = Tally()
        self.drained: set[str] = set()
        self.returned_s = -RETURN_WATCH_S
        self.upgraded_s = -UPGRADE_WATCH_S
        self.end_s = START_S + rates.days * DAY_S
        self._schedule(rates, random.Random(seed))

    def at(self, time_s: float, act: t.Callable[[], None]) -> None:
        """Do something at a later time."""
        heapq.heappush(self.queue, (time_s, next(self.order), act))

    def _schedule(self, rates: Rates, rng: random.Random) -> None:
        names = sorted(self.fleet.vms)
        span_s = rates.days * DAY_S
        kinds = (
            (rates.losses, self._lose),
            (rates.restarts, self._restart),
            (rates.freezes, self._freeze),
            (rates.colds, self._cool),
        )
        for rate, act in kinds:
            for _ in range(round(rate * rates.days * len(names))):
                time_s = START_S + rng.random() * span_s
                self.at(time_s, _bind(act, rng.choice(names), rng.random()))
        self._schedule_wide(rates, rng)

    def _schedule_wide(self, rates: Rates, rng: random.Random) -> None:
        span_s = rates.days * DAY_S
        domains = sorted(d for d in self.fleet.domains if d[-1].isdigit())
        wide = (
            (rates.racks, self._lose_rack, domains),
            (rates.darks, self._darken, domains),
            (rates.drains, self._drain, self.deployment.data_centres),
            (rates.upgrades, self._upgrade, ("2",)),
        )
        for count, act, targets in wide:
            for _ in range(count):
                time_s = START_S + rng.random() * (span_s - 2 * DRAIN_S)
                self.at(time_s, _bind(act, rng.choice(targets), rng.random()))

    def touch(self, vm: vm_model.ModelVm) -> None:
        """Keep the owner of a VM planning for a while."""
        self.active_until_s[vm.vm.domain] = self.now_s + ACTIVE_S

    def touch_all(self) -> None:
        """Keep all owners planning for a while."""
        for domain in self.active_until_s:
            self.active_until_s[domain] = self.now_s + ACTIVE_S

    def _fall(self, vm: vm_model.ModelVm, down_s: float, **how: bool) -> None:
        if not vm.is_up:
            return
        self.tally.hits += self._hits_group(vm)
        vm.fall(self.now_s, **how)
        self.touch(vm)
        self.at(self.now_s + down_s, _bind(self._rise, vm))

    def _hits_group(self, vm: vm_model.ModelVm) -> bool:
        """Tell whether a whole group in service loses its first member."""
        state = self.fleet.state
        group = state.groups.get(state.group_of_vm.get(vm.vm.vm, ""))
        if group is None or vm.vm.data_centre in self.drained:
            return False
        return self.fleet.is_complete(group)

    def _rise(self, vm: vm_model.ModelVm) -> None:
        vm.is_up = True
        vm.vm = _with_state(vm.vm, models.VmState.LIVE)
        self.touch(vm)

    def _lose(self, name: str, _: float) -> None:
        self._fall(self.fleet.vms[name], REPLACED_AFTER_S)

    def _restart(self, name: str, chance: float) -> None:
        vm = self.fleet.vms[name]
        if chance < 0.5:
            self._fall(vm, RESTART_S)
        elif vm.is_up:
            vm.vm = _with_state(vm.vm, models.VmState.LEAVING)
            self.touch(vm)
            self.at(self.now_s + NOTICE_S, _bind(self._fall, vm, RESTART_S))

    def _freeze(self, name: str, chance: float) -> None:
        down_s = 0.5 + 19.5 * chance**3
        self._fall(self.fleet.vms[name], down_s, keeps_memory=True)

    def _cool(self, name: str, _: float) -> None:
        vm = self.fleet.vms[name]
        self.tally.hits += self._hits_group(vm)
        vm.incarnation += 1
        vm.clear()
        vm.epoch = -1
        self.touch(vm)

    def _lose_rack(self, domain: str, _: float) -> None:
        for vm in self.fleet.domains[domain][:16]:
            self._fall(vm, REPLACED_AFTER_S)

    def _darken(self, domain: str, _: float) -> None:
        for vm in self.fleet.domains[domain]:
            self._fall(vm, DARK_S, keeps_memory=True)

    def _drain(self, data_centre: str, chance: float) -> None:
        if data_centre in self.drained:
            return
        self.drained.add(data_centre)
        self.fleet.patch({"data_centres": {data_centre: _OUT}})
        self.touch_all()
        if chance < 0.5:
            self.at(self.now_s + 60, _bind(self._power_off, data_centre))
        self.at(self.now_s + DRAIN_S, _bind(self._restore, data_centre))

    def _power_off(self, data_centre: str) -> None:
        for vm in self.fleet.vms.values():
            if vm.vm.data_centre == data_centre:
                self._fall(vm, DRAIN_S / 2)

    def _restore(self, data_centre: str) -> None:
        self.drained.discard(data_centre)
        self.returned_s = self.now_s
        self.fleet.patch({"data_centres": {data_centre: _IN}})
        self.touch_all()

    def _upgrade(self, version: str, _: float) -> None:
        name = self.deployment.model
        self.upgraded_s = self.now_s
        self.fleet.patch({"services": {name: {"version": version}}})
        self.touch_all()

    def simulate(self) -> Tally:
        """Run to the end and return what it cost."""
        while self.now_s < self.end_s:
            while self.queue and self.queue[0][0] <= self.now_s:
                heapq.heappop(self.queue)[2]()
            self._plan()
            serving = self.fleet.list_serving(self.now_s)
            self._advance(serving)
        return self.tally

    def _plan(self) -> None:
        for domain, until_s in self.active_until_s.items():
            is_watched = self.now_s < until_s + WATCH_S
            if is_watched and self.fleet.step(domain, self.now_s):
                self.active_until_s[domain] = self.now_s + ACTIVE_S

    def _advance(self, serving: list) -> None:
        next_s = self.queue[0][0] if self.queue else self.end_s
        step_s = max(1e-3, next_s - self.now_s)
        load_s = self.fleet.next_load_s()
        step_s = min(step_s, max(load_s, 1e-3))
        until_s = max(self.active_until_s.values())
        if self.now_s < until_s:
            step_s = min(step_s, TICK_S)
        elif self.now_s < until_s + WATCH_S:
            step_s = min(step_s, COARSE_TICK_S)
        step_s = min(step_s, max(1e-3, self.end_s - self.now_s))
        self._count(serving, step_s)
        loads = self._list_loads()
        self.fleet.advance(step_s)
        self.now_s += step_s
        for vm in loads:
            if not vm.load_target:
                self.touch(vm)

    def _list_loads(self) -> list[vm_model.ModelVm]:
        return [vm for vm in self.fleet.vms.values() if vm.load_target]

    def _count_down(self, serving: list) -> int:
        counts = collections.Counter(group.service for group in serving)
        return sum(
            max(0, service.replicas - counts[name])
            for name, service in self.fleet.state.config.services.items()
        )

    def _count_wanted_vms(self) -> int:
        services = self.fleet.state.config.services.values()
        return sum(s.replicas * s.group_size for s in services)

    def _count(self, serving: list, step_s: float) -> None:
        if self.now_s < START_S:
            return
        tally = self.tally
        down_s = self._count_down(serving) * step_s
        if self.drained:
            tally.drain_down_s += down_s
        elif self.now_s - self.returned_s < RETURN_WATCH_S:
            tally.return_down_s += down_s
        elif self.now_s - self.upgraded_s < UPGRADE_WATCH_S:
            tally.upgrade_down_s += down_s
        else:
            used = sum(len(group.members) for group in serving)
            up = sum(vm.is_up for vm in self.fleet.vms.values())
            tally.down_s += down_s
            spare = len(self.fleet.vms) - self._count_wanted_vms()
            tally.stranded_s += max(0, up - used - spare) * step_s
            tally.observed_s += step_s


_OUT = {"in_service": False}
_IN = {"in_service": True}


def _bind(act: t.Callable, *args: t.Any) -> t.Callable[[], None]:
    return lambda: act(*args)


def _with_state(vm: models.Vm, state: models.VmState) -> models.Vm:
    return models.Vm(
        vm.vm, vm.role, vm.address, vm.data_centre, vm.domain, state
    )
