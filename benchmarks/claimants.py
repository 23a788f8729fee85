"""Compare policies that choose owners of units as entries join and leave."""

from collections import abc
import math
import random
import statistics
import time
import typing as t

from sycamorespool.decisions import fleet
from sycamorespool.decisions import rendezvous
from sycamorespool.decisions import unit_assignment

# Units and entries of each simulated fleet.
SIZES = ((18, 9), (170, 380))
EVENTS = 40
SEEDS = 2
# How far over the mean the bounded policy lets an entry's load go.
LOAD_FACTOR = 1.25

Owners: t.TypeAlias = dict[str, str]
Policy: t.TypeAlias = abc.Callable[[Owners, list[str], list[str]], Owners]


def _choose_by_rank(
    owners: Owners, units: list[str], names: list[str]
) -> Owners:
    return {unit: rendezvous.rank(unit, names)[0] for unit in units}


def _choose_with_limit(
    owners: Owners, units: list[str], names: list[str]
) -> Owners:
    limit = math.ceil(LOAD_FACTOR * len(units) / len(names))
    counts = dict.fromkeys(names, 0)
    chosen = {}
    for unit in units:
        for name in rendezvous.rank(unit, names):
            if counts[name] < limit:
                chosen[unit] = name
                counts[name] += 1
                break
    return chosen


def _make_view(
    owners: Owners, units: list[str], names: list[str]
) -> unit_assignment.AssignmentView:
    state = fleet.FleetState()
    state.owners = {
        unit: fleet.Ownership(name, 1, 1) for unit, name in owners.items()
    }
    candidates = dict.fromkeys(names, unit_assignment.Candidate(1))
    return unit_assignment.AssignmentView(
        state, dict.fromkeys(units, ""), candidates
    )


def _choose_least_loaded(
    owners: Owners, units: list[str], names: list[str]
) -> Owners:
    held = {unit: name for unit, name in owners.items() if name in names}
    held.update(unit_assignment.choose_owners(_make_view(held, units, names)))
    while True:
        counts = dict.fromkeys(names, 0)
        for name in held.values():
            counts[name] += 1
        most = max(names, key=lambda name: counts[name])
        if counts[most] < min(counts.values()) + 2:
            return held
        unit = min(unit for unit in held if held[unit] == most)
        del held[unit]
        held.update(
            unit_assignment.choose_owners(_make_view(held, units, names))
        )


POLICIES: dict[str, Policy] = {
    "plain rendezvous": _choose_by_rank,
    "bounded-load rendezvous": _choose_with_limit,
    "least owned, rendezvous among equals": _choose_least_loaded,
}


def _run_events(
    policy: Policy, units: list[str], names: list[str], seed: int
) -> tuple[list[int], int, int, list[float]]:
    rng = random.Random(seed)
    owners = policy({}, units, names)
    most, moved_from_live, moved, times_s = [], 0, 0, []
    for event in range(EVENTS):
        lost = rng.choice(names) if event % 2 == 0 else ""
        names = sorted({*names, f"new-{event}"} - {lost})
        if event % 2 == 0:
            names.remove(f"new-{event}")
        began_s = time.perf_counter()
        chosen = policy(owners, units, names)
        times_s.append(time.perf_counter() - began_s)
        changed = [unit for unit in units if chosen[unit] != owners[unit]]
        moved += len(changed)
        moved_from_live += sum(owners[unit] in names for unit in changed)
        owners = chosen
        counts = [list(owners.values()).count(name) for name in names]
        most.append(max(counts))
    return most, moved, moved_from_live, times_s


def run() -> dict[str, t.Any]:
    """Measure the load, the moves and the time of each policy and size.

    Returns
    -------
    dict
        By size and policy: the mean and the greatest number of units of
        the entry with the most units, moved units per event, those of them
        whose previous owner was alive, and the median time of a choice in
        ms.
    """
    results: dict[str, t.Any] = {}
    for unit_count, entry_count in SIZES:
        units = sorted(f"domain/d{number}" for number in range(unit_count))
        names = [f"entry-{number}" for number in range(entry_count)]
        for policy_name, policy in POLICIES.items():
            runs = [
                _run_events(policy, units, names, seed)
                for seed in range(SEEDS)
            ]
            most = [value for one in runs for value in one[0]]
            times_s = [value for one in runs for value in one[3]]
            events = EVENTS * SEEDS
            results[
                f"{unit_count} units, {entry_count} entries, {policy_name}"
            ] = {
                "most_units_mean": round(statistics.mean(most), 2),
                "most_units_max": max(most),
                "moves_per_event": sum(one[1] for one in runs) / events,
                "moves_from_live_per_event": sum(one[2] for one in runs)
                / events,
                "choice_ms": round(statistics.median(times_s) * 1e3, 2),
            }
    return results
