"""Compares the group planner with variants that lack some mechanisms.

Simulated faults give the downtime, the stranded VMs and the cost of drains
of data centres.  Run with ``python -m benchmarks.group_policy [DEPLOYMENT
...]``.  Only the planning steps are measured in real time.
"""

import sys
import time
import typing as t

from benchmarks import group_faults
from benchmarks import vm_model
from sycamorespool.decisions.groups import group_planner

# Time until the owner notices that a VM is lost.
DETECTION_S = 1.75

POLICIES = {
    "policy": group_planner.Policy(),
    "no merge": group_planner.Policy(may_merge=False),
    "no preload": group_planner.Policy(may_preload=False),
    "no make-first": group_planner.Policy(is_make_before_break=False),
    "dark as losses": group_planner.Policy(may_await_recovery=False),
    "replace only": group_planner.Policy(False, False, False, False),
}


def run(
    seeds: t.Sequence[int] = (1,),
    rates: t.Sequence[str] = tuple(group_faults.RATES),
    policies: t.Sequence[str] = tuple(POLICIES),
    deployments: t.Sequence[str] = tuple(group_faults.DEPLOYMENTS),
) -> dict[str, dict[str, float]]:
    """Simulate every policy with the same faults.

    Returns
    -------
    dict
        By ``DEPLOYMENT/RATE/POLICY``: replica minutes down and VM hours
        stranded per day; replica minutes lost per drain, per return of a
        data centre and per upgrade; and as bounds the minutes per day that
        detection with loading, and detection alone, take for each hit.
    """
    results = {}
    for name in deployments:
        deployment = group_faults.DEPLOYMENTS[name]
        for rate in rates:
            for policy in policies:
                tallies = [
                    group_faults.Run(
                        deployment,
                        group_faults.RATES[rate],
                        POLICIES[policy],
                        s,
                    )
                    for s in seeds
                ]
                totals = [tally.simulate() for tally in tallies]
                key = f"{name}/{rate}/{policy}"
                results[key] = _summarise(totals, group_faults.RATES[rate])
                print(_format(key, results[key]), flush=True)
    return results


def _summarise(
    totals: list[group_faults.Tally], rates: group_faults.Rates
) -> dict[str, float]:
    days = sum(tally.observed_s for tally in totals) / group_faults.DAY_S
    drains = max(1, rates.drains) * len(totals)
    hits = sum(tally.hits for tally in totals)
    return {
        "down_min_per_day": sum(x.down_s for x in totals) / 60 / days,
        "stranded_h_per_day": sum(x.stranded_s for x in totals) / 3600 / days,
        "drain_down_min": sum(x.drain_down_s for x in totals) / 60 / drains,
        "return_down_min": sum(x.return_down_s for x in totals) / 60 / drains,
        "upgrade_down_min": sum(x.upgrade_down_s for x in totals)
        / 60
        / max(1, rates.upgrades * len(totals)),
        "bound_load_min": hits
        * (DETECTION_S + group_faults.LOAD_S)
        / 60
        / days,
        "bound_detect_min": hits * DETECTION_S / 60 / days,
    }


def _format(key: str, result: dict[str, float]) -> str:
    cells = " ".join(f"{value:>10.1f}" for value in result.values())
    return f"{key:<36}{cells}"


def time_steps() -> dict[str, float]:
    """Time one planning step of one domain and of a large fleet's domains.

    Returns
    -------
    dict
        Processor time in ms, by case.
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
        results[f"steady, {label}"] = _time_plans_ms(fleet, 100.0)
        for domain in fleet.domains:
            fleet.domains[domain][3].stop(100.0)
        results[f"one VM lost in each domain, {label}"] = _time_plans_ms(
            fleet, 101.0
        )
    return results


def _time_plans_ms(fleet: vm_model.Fleet, now_s: float) -> float:
    spent_s = 0.0
    for domain in fleet.domains:
        view = fleet.view(domain, now_s)
        started_s = time.process_time()
        group_planner.plan(view, fleet.memories[domain])
        spent_s += time.process_time() - started_s
    return spent_s * 1e3


def main(names: t.Sequence[str]) -> None:
    """Print the results of the named deployments, or all, and the times."""
    columns = ("down", "stranded", "drain", "return", "upgrade")
    columns += ("bound", "detect")
    print(f"{'':<36}" + " ".join(f"{c:>10}" for c in columns))
    run(deployments=names or tuple(group_faults.DEPLOYMENTS))
    for case, spent_ms in time_steps().items():
        print(f"{case}: {spent_ms:.2f} ms")


if __name__ == "__main__":
    main(sys.argv[1:])
