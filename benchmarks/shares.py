"""Measures the share error in the fleet, with and without usage reports.

This simulates entries with fair queues and places in steps.  Each request
holds its place for one step, and the callers of a workspace may reach only
some of the entries.  The share error is half the sum of the absolute
differences between the shares received and those due, from 0 to 1.
"""

import collections
import random
import typing as t

from sycamorespool.decisions import grants
from sycamorespool.decisions import shares

ENTRIES = 9
PLACES = 90
STEPS = 200
# First step that is counted.
FIRST_COUNTED_STEP = 50
REPORT_STEPS = 10
GROWTH_ROUNDS = 5
WEIGHTS = {"a": 2.0, "b": 1.0, "c": 1.0}
PRIORITIES = {"high": 4.0, "normal": 2.0, "low": 1.0}
# Requests that arrive in a step at each entry, by workspace.
SPREADS = {
    "even": {"a": [40] * 9, "b": [40] * 9, "c": [40] * 9},
    "a_at_one": {"a": [120] + [0] * 8, "b": [40] * 9, "c": [40] * 9},
    "each_apart": {
        "a": [60, 60, 60] + [0] * 6,
        "b": [0] * 3 + [60, 60, 60] + [0] * 3,
        "c": [0] * 6 + [60, 60, 60],
    },
    "c_idle": {"a": [60] + [0] * 8, "b": [40] * 9, "c": [0] * 9},
}
METHODS = ("queues_alone", "weights", "weights_and_claims")


class _Entry:
    """One entry's fair queue, places and weights.

    ``unused_places`` adds up the places, also parts of one, of past steps.
    """

    def __init__(self) -> None:
        self.queue = shares.FairQueue(400)
        self.places: float = PLACES / ENTRIES
        self.unused_places = 0.0
        self.local_weights: dict[str, float] = {}
        self.demands: dict[str, float] = {}

    def arrive(self, counts: dict[str, int], number: int) -> None:
        for name, count in counts.items():
            weight = self.local_weights.get(name, WEIGHTS[name])
            for index in range(count):
                ticket = shares.Ticket(
                    f"{name}{number}/{index}", name, "normal", float(number)
                )
                weights = shares.Weights(weight, PRIORITIES)
                shares.offer(self.queue, ticket, weights)
        self.demands = {
            name: float(workspace.queued)
            for name, workspace in self.queue.workspaces.items()
        }

    def serve(self) -> collections.Counter[str]:
        served: collections.Counter[str] = collections.Counter()
        self.unused_places += self.places
        while self.unused_places >= 1.0:
            ticket = shares.take(self.queue)
            if ticket is None:
                self.unused_places = 0.0
                break
            self.unused_places -= 1.0
            served[ticket.workspace] += 1
        return served


def _grant(entries: list[_Entry], claims: list[float], exchanges: int) -> None:
    """Divide the places among the entries as the owner of a domain does."""
    places = PLACES
    wanted = {
        str(number): shares.count_places_to_ask(
            claim, (exchanges + number) % GROWTH_ROUNDS == 0
        )
        for number, claim in enumerate(claims)
    }
    level, rest = grants.find_fair_level(wanted, places)
    for number, entry in enumerate(entries):
        entry_wants = wanted[str(number)]
        entry.places = min(entry_wants, level)
        if entry_wants > level and rest:
            entry.places += 1
            rest -= 1


def _exchange(entries: list[_Entry], has_claims: bool, exchanges: int) -> None:
    claims = []
    usages = [shares.Usage(e.demands, e.places) for e in entries]
    for number, entry in enumerate(entries):
        others = usages[:number] + usages[number + 1 :]
        entry.local_weights, claim = shares.compute_local_weights(
            usages[number], others, WEIGHTS
        )
        claims.append(claim)
    if has_claims:
        _grant(entries, claims, exchanges)


def _measure(spread: dict[str, list[int]], method: str) -> dict[str, float]:
    entries = [_Entry() for _ in range(ENTRIES)]
    served: collections.Counter[str] = collections.Counter()
    for step in range(STEPS):
        for index, entry in enumerate(entries):
            counts = {name: row[index] for name, row in spread.items()}
            entry.arrive(counts, step)
        if step % REPORT_STEPS == 1 and method != "queues_alone":
            exchanges = step // REPORT_STEPS
            _exchange(entries, method == "weights_and_claims", exchanges)
        for entry in entries:
            done = entry.serve()
            if step >= FIRST_COUNTED_STEP:
                served.update(done)
    demands = {name: float(sum(row)) for name, row in spread.items()}
    due = shares.divide_by_weight(PLACES, WEIGHTS, demands)
    total = sum(served.values())
    error = sum(
        abs(served[name] / total - due[name] / PLACES) for name in WEIGHTS
    )
    return {
        "share_error": error / 2,
        "served_per_step": total / (STEPS - FIRST_COUNTED_STEP),
    }


def _measure_ramp(spread: dict[str, list[int]]) -> dict[str, float]:
    """Return the exchanges until grants follow a tenfold capacity."""
    entries = [_Entry() for _ in range(ENTRIES)]
    for entry in entries:
        entry.places = 1.0
    for exchanges in range(1, 200):
        for index, entry in enumerate(entries):
            counts = {name: row[index] for name, row in spread.items()}
            entry.arrive(counts, exchanges)
        _exchange(entries, True, exchanges)
        if sum(entry.places for entry in entries) >= PLACES:
            return {"exchanges_until_all_granted": exchanges}
    return {"exchanges_until_all_granted": float("inf")}


def _measure_drafts(is_fair: bool) -> dict[str, float]:
    """Return the wait in steps of high-priority requests during a flood.

    Without ``is_fair`` all requests wait in one class.
    """
    rng = random.Random(1)
    queue = shares.FairQueue(1000)
    waits: list[float] = []
    for step in range(400):
        arrivals = [("b", "low")] * 30 + [("a", "low")] * 10
        arrivals += [("a", "high")] * 2
        rng.shuffle(arrivals)
        for index, (name, priority) in enumerate(arrivals):
            queue_priority = priority if is_fair else "normal"
            ticket = shares.Ticket(
                f"{priority}/{step}/{index}",
                name if is_fair else "all",
                queue_priority,
                float(step),
            )
            shares.offer(queue, ticket, shares.Weights(1.0, PRIORITIES))
        for place in range(10):
            ticket_taken = shares.take(queue)
            assert ticket_taken is not None
            if ticket_taken.ticket_id.startswith("high"):
                waits.append(step + place / 10 - ticket_taken.arrived_s)
    waits.sort()
    p95_steps = waits[int(0.95 * len(waits))] if waits else float("inf")
    return {"drafts_served": len(waits), "wait_p95_steps": p95_steps}


def run() -> dict[str, t.Any]:
    """Measure the share error for each method and spread of callers."""
    results: dict[str, t.Any] = {
        spread: {method: _measure(row, method) for method in METHODS}
        for spread, row in SPREADS.items()
    }
    results["ramp"] = {
        spread: _measure_ramp(row) for spread, row in SPREADS.items()
    }
    results["restock_drafts"] = {
        "one_queue": _measure_drafts(False),
        "fair_queue": _measure_drafts(True),
    }
    return results
