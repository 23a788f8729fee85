"""Measures the attempts per request while backend servers fail.

This simulates one entry: requests arrive at a fixed rate, and a part of the
backend servers fails every attempt after a byte was sent.  It compares plain
retries, with up to four attempts for each request, with the retry budget
and the circuit breakers of :mod:`sycamorespool.decisions.retries`.
"""

import collections
import random
import typing as t

from sycamorespool.decisions import retries

SERVERS = 30
REQUESTS = 20_000
RATE_PER_S = 100.0
RATIO = 0.1
FAILING = (0.0, 0.3, 1.0)
SEED = 5


def _choose(
    rng: random.Random,
    excluded: set[int],
    breakers: retries.Breakers,
    now_s: float,
) -> int | None:
    allowed = [
        server
        for server in range(SERVERS)
        if server not in excluded
        and retries.allows(breakers[str(server)], 0, now_s)
    ]
    return rng.choice(allowed) if allowed else None


class _Rules(t.NamedTuple):
    """Which of the limits on retries are in force."""

    has_circuits: bool
    has_budget: bool


def _run(failing: float, rules: _Rules) -> dict[str, float]:
    rng = random.Random(SEED)
    breakers = retries.make_breakers()
    budget = retries.RetryBudget()
    counts: collections.Counter[str] = collections.Counter()
    for number in range(REQUESTS):
        now_s = number / RATE_PER_S
        call = retries.CallTries(True, now_s + 10.0)
        retries.count_request(budget, RATIO, now_s)
        if not rules.has_budget:
            budget.available = 1e9
        excluded: set[int] = set()
        while True:
            server = _choose(rng, excluded, breakers, now_s)
            if server is None:
                counts["refused"] += 1
                break
            counts["attempts"] += 1
            is_served = server >= SERVERS * failing
            if rules.has_circuits:
                breaker = breakers[str(server)]
                retries.note_result(breaker, is_served, now_s)
            if is_served:
                counts["served"] += 1
                break
            excluded.add(server)
            failure_point = retries.FailurePoint.SENT
            action = retries.decide(call, failure_point, budget, now_s)
            if action not in retries.CONTINUING:
                counts["failed"] += 1
                break
    return {
        "attempts_per_request": counts["attempts"] / REQUESTS,
        "served": counts["served"] / REQUESTS,
        "failed": counts["failed"] / REQUESTS,
        "refused": counts["refused"] / REQUESTS,
    }


def _lose_data_centre(rules: _Rules, in_flight: int) -> dict[str, float]:
    """Fail a third of the requests in flight at once; count the resumed."""
    budget = retries.RetryBudget()
    for number in range(int(RATE_PER_S * 60)):
        retries.count_request(budget, RATIO, number / RATE_PER_S)
    if not rules.has_budget:
        budget.available = 1e9
    lost = in_flight // 3
    resumed = 0
    for _ in range(lost):
        call = retries.CallTries(True, 100.0)
        failure_point = retries.FailurePoint.PARTIAL
        action = retries.decide(call, failure_point, budget, 60.0)
        resumed += action is retries.Action.RESUME
    return {"lost": lost, "moved": resumed}


def run() -> dict[str, t.Any]:
    """Measure the attempts per request at each share of failing servers."""
    rules_by_name = {
        "plain": _Rules(False, False),
        "budget": _Rules(False, True),
        "budget_and_circuits": _Rules(True, True),
    }
    results: dict[str, t.Any] = {
        f"{failing:.0%}": {
            name: _run(failing, rules) for name, rules in rules_by_name.items()
        }
        for failing in FAILING
    }
    results["data_centre_lost"] = {
        str(in_flight): _lose_data_centre(rules_by_name["budget"], in_flight)
        for in_flight in (300, 1800, 6000)
    }
    return results
