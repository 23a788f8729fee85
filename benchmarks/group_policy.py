"""Group policy against baselines: downtime, stranded VMs, data centre moves.

Run with ``python -m benchmarks.group_policy [SEED ...]``.  Every policy sees
the same faults at the same times.  Nothing is measured in real time but the
planning steps.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import sys
import time
import typing as t

from benchmarks import vm_model
from sycamorespool.decisions import groups
from sycamorespool import models

DAY_S = 86400.0
TICK_S = 0.5
COARSE_TICK_S = 5.0
ACTIVE_S = 6.0
WATCH_S = 45.0
START_S = 1500.0
LOAD_S = 60.0
STORE_RATE = 32.0
DETECTION_S = 1.75
REPLACED_AFTER_S = 600.0
RESTART_S = 90.0
NOTICE_S = 30.0
DRAIN_S = 1800.0
RETURN_WATCH_S = 600.0
DARK_S = 40.0

POLICIES = {
    "policy": groups.Policy(),
    "no merge": groups.Policy(may_merge=False),
    "no preload": groups.Policy(may_preload=False),
    "no make-first": groups.Policy(is_make_first=False),
    "dark as losses": groups.Policy(may_wait_dark=False),
    "replace only": groups.Policy(False, False, False, False),
}


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
    "realistic": Rates(2.0, 9 / 8800, 160 / 8800, 0.02, 0.01, 0, 0, 1, 1),
    "harsher": Rates(1.0, 0.05, 0.5, 0.5, 0.2, 2, 1, 2, 1),
}


@dataclasses.dataclass(slots=True)
class Tally:
    """What one run cost.

    Parameters
    ----------
    down_s : float
        Seconds that wanted replicas did not serve, outside drains.
    stranded_s : float
        Seconds that VMs served in no working group, outside drains.
    """

    down_s: float = 0.0
    stranded_s: float = 0.0
    drain_down_s: float = 0.0
    return_down_s: float = 0.0
    observed_s: float = 0.0
    hits: int = 0


class Run:
    """One deployment under one policy and one list of faults."""

    def __init__(
        self,
        deployment: Deployment,
        rates: Rates,
        policy: groups.Policy,
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
        self.tally.hits += vm.vm.vm in self.fleet.state.group_of_vm
        vm.fall(self.now_s, **how)
        self.touch(vm)
        self.at(self.now_s + down_s, _bind(self._rise, vm))

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
        vm.incarnation += 1
        vm.clear()
        vm.epoch = -1
        self.tally.hits += name in self.fleet.state.group_of_vm
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
        for vm in loads:
            if not vm.load_target:
                self.touch(vm)
        self.now_s += step_s

    def _list_loads(self) -> list[vm_model.ModelVm]:
        return [vm for vm in self.fleet.vms.values() if vm.load_target]

    def _count_down(self, serving: list) -> int:
        counts = collections.Counter(group.service for group in serving)
        return sum(
            max(0, service.replicas - counts[name])
            for name, service in self.fleet.state.config.services.items()
        )

    def _count(self, serving: list, step_s: float) -> None:
        if self.now_s < START_S:
            return
        tally = self.tally
        down_s = self._count_down(serving) * step_s
        if self.drained:
            tally.drain_down_s += down_s
        elif self.now_s - self.returned_s < RETURN_WATCH_S:
            tally.return_down_s += down_s
        else:
            used = sum(len(group.members) for group in serving)
            up = sum(vm.is_up for vm in self.fleet.vms.values())
            tally.down_s += down_s
            tally.stranded_s += (up - used) * step_s
            tally.observed_s += step_s


_OUT = {"in_service": False}
_IN = {"in_service": True}


def _bind(act: t.Callable, *args: t.Any) -> t.Callable[[], None]:
    return lambda: act(*args)


def _with_state(vm: models.Vm, state: models.VmState) -> models.Vm:
    return models.Vm(
        vm.vm, vm.role, vm.address, vm.data_centre, vm.domain, state
    )


def run(
    seeds: t.Sequence[int] = (1,),
    rates: t.Sequence[str] = tuple(RATES),
    policies: t.Sequence[str] = tuple(POLICIES),
) -> dict[str, dict[str, float]]:
    """Measure every policy with the same faults.

    Returns
    -------
    dict
        By ``DEPLOYMENT/RATE/POLICY``: minutes per day of replicas down and
        of VMs stranded, replica minutes lost per drained and per returning
        data centre, and the bound of detection plus loading.
    """
    results = {}
    for name, deployment in DEPLOYMENTS.items():
        for rate in rates:
            for policy in policies:
                tallies = [
                    Run(deployment, RATES[rate], POLICIES[policy], s)
                    for s in seeds
                ]
                totals = [tally.simulate() for tally in tallies]
                key = f"{name}/{rate}/{policy}"
                results[key] = _summarise(totals, RATES[rate])
                print(_format(key, results[key]), flush=True)
    return results


def _summarise(totals: list[Tally], rates: Rates) -> dict[str, float]:
    days = sum(tally.observed_s for tally in totals) / DAY_S
    drains = max(1, rates.drains) * len(totals)
    hits = sum(tally.hits for tally in totals)
    return {
        "down_min_per_day": sum(x.down_s for x in totals) / 60 / days,
        "stranded_h_per_day": sum(x.stranded_s for x in totals) / 3600 / days,
        "drain_down_min": sum(x.drain_down_s for x in totals) / 60 / drains,
        "return_down_min": sum(x.return_down_s for x in totals) / 60 / drains,
        "bound_load_min": hits * (DETECTION_S + LOAD_S) / 60 / days,
        "bound_detect_min": hits * DETECTION_S / 60 / days,
    }


def _format(key: str, result: dict[str, float]) -> str:
    cells = " ".join(f"{value:>10.1f}" for value in result.values())
    return f"{key:<36}{cells}"


def time_steps() -> dict[str, float]:
    """Time one planning step of one domain, and of all at the target.

    Returns
    -------
    dict
        Milliseconds by case.
    """
    results = {}
    for label, domains in (("64 VMs", 1), ("8800 VMs", 23)):
        data_centres = [f"dc{n}" for n in range(6 if domains > 1 else 1)]
        vms = vm_model.make_vms(data_centres, domains, 64)
        replicas = len(vms) // 8
        fleet = vm_model.Fleet(
            vms, {"a": {"group_size": 8, "replicas": replicas, "model": "m"}}
        )
        fleet.load_slots = 64
        for now_s in (0.0, 1.0, 5.0):
            for domain in fleet.domains:
                fleet.step(domain, now_s)
            fleet.advance(1e6)
        results[f"steady, {label}"] = _time_plans(fleet, 100.0)
        for domain in fleet.domains:
            fleet.domains[domain][3].fall(100.0)
        results[f"one VM lost in each domain, {label}"] = _time_plans(
            fleet, 101.0
        )
    return results


def _time_plans(fleet: vm_model.Fleet, now_s: float) -> float:
    spent_s = 0.0
    for domain in fleet.domains:
        view = fleet.view(domain, now_s)
        started_s = time.process_time()
        groups.plan(view, fleet.memories[domain])
        spent_s += time.process_time() - started_s
    return spent_s * 1e3


def main(seeds: t.Sequence[int] = (1, 2)) -> None:
    """Print the table and the planning times."""
    columns = ("down", "stranded", "drain", "return", "bound", "detect")
    print(f"{'':<36}" + " ".join(f"{c:>10}" for c in columns))
    run(seeds)
    for case, spent_ms in time_steps().items():
        print(f"{case}: {spent_ms:.2f} ms")


if __name__ == "__main__":
    main([int(seed) for seed in sys.argv[1:]] or (1, 2))
