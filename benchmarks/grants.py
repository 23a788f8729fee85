"""Measures grants and routing: cost, balance, cache hits and cold replicas.

All runs call the decision modules in one process with seeded generators.
"""

import collections
from collections import abc
import dataclasses
import heapq
import random
import statistics
import time
import typing as t

import msgspec

from sycamorespool import configuration
from sycamorespool.decisions import grant_authority
from sycamorespool.decisions import grant_book
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import grants
from sycamorespool.decisions.groups import ramps
from sycamorespool.decisions.placing import routing

SEED = 5
SERVICE = configuration.Service(cold_limit=2, warm_limit=16)
DATA_CENTRES = ("a", "b", "c")
ASK_PERIOD_S = 0.5
HIT_S = 1.0
MISS_S = 1.5
CACHED_PREFIXES = 60
PREFIXES = 4000
# Delay and probability of loss of a replica's cache events.
EVENT_LAG_S = 1.0
EVENT_LOSS = 0.02


def make_load(in_flight: int, completed: int = 0) -> ramps.Load:
    """Return the load that the members of a healthy group report."""
    return ramps.Load((1,), True, in_flight, completed, 0.04)


def make_ledger(
    unit: str, data_centre: str, groups: int, limit: int
) -> grant_ledger.Ledger:
    """Return a new ledger whose groups may run ``limit`` requests each."""
    ledger = grant_ledger.open_ledger(unit, 0.0, has_predecessor=False)
    for number in range(groups):
        facts = grant_ledger.GroupFacts(
            f"{unit}/{number}", "a", 1, "10.0.0.1:80", data_centre, True
        )
        account = grant_ledger.observe(
            ledger, facts, make_load(limit), SERVICE, grant_authority.FULL, 0.0
        )
        account.lost.clear()
    return ledger


def observe_all(ledger: grant_ledger.Ledger, now_s: float) -> None:
    """Record an observation of every group at ``now_s``."""
    for account in ledger.accounts.values():
        account.observed_s = now_s


Choose: t.TypeAlias = abc.Callable[
    ["Fleet", grant_book.GrantBook, int], grant_book.HeldGrant | None
]


@dataclasses.dataclass(slots=True)
class Fleet:
    """Holds the entries, replicas and caches of one run."""

    rng: random.Random
    tiers: dict[str, dict[str, int]]
    books: list[grant_book.GrantBook]
    ledgers: list[grant_ledger.Ledger]
    views: list[routing.CacheView]
    caches: dict[str, collections.OrderedDict[int, None]]
    now_s: float = 0.0
    turns: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    sequences: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def make_fleet(entries: int, groups_per_unit: int) -> Fleet:
    """Return a fleet of three data centres with one unit each."""
    books = [
        grant_book.GrantBook(f"e{number}", 1) for number in range(entries)
    ]
    ledgers = [
        make_ledger(f"domain/{name}", name, groups_per_unit, 16)
        for name in DATA_CENTRES
    ]
    caches: dict[str, collections.OrderedDict[int, None]] = {
        group_id: collections.OrderedDict()
        for ledger in ledgers
        for group_id in ledger.accounts
    }
    tiers = {
        book.entry: {
            name: int(index != number % len(DATA_CENTRES))
            for index, name in enumerate(DATA_CENTRES)
        }
        for number, book in enumerate(books)
    }
    views = [routing.CacheView() for _ in books]
    return Fleet(random.Random(SEED), tiers, books, ledgers, views, caches)


def choose_at_random(
    fleet: Fleet, book: grant_book.GrantBook, prefix: int
) -> grant_book.HeldGrant | None:
    """Choose a group with a free place at random."""
    usable = grant_book.find_usable(book, "a", fleet.now_s)
    return fleet.rng.choice(usable) if usable else None


def choose_in_turn(
    fleet: Fleet, book: grant_book.GrantBook, prefix: int
) -> grant_book.HeldGrant | None:
    """Choose the groups with a free place in turn (round robin)."""
    usable = grant_book.find_usable(book, "a", fleet.now_s)
    if not usable:
        return None
    fleet.turns[book.entry] += 1
    usable.sort(key=lambda held: held.grant.group_id)
    return usable[fleet.turns[book.entry] % len(usable)]


def choose_least_loaded(
    fleet: Fleet, book: grant_book.GrantBook, prefix: int
) -> grant_book.HeldGrant | None:
    """Choose by the system's rules, without regard to the caches."""
    return _route(fleet, book, None, fleet.tiers[book.entry])


def choose_near(
    fleet: Fleet, book: grant_book.GrantBook, prefix: int
) -> grant_book.HeldGrant | None:
    """Choose by the system's rules, the entry's own data centre first."""
    return _route(fleet, book, prefix, fleet.tiers[book.entry])


def choose_anywhere(
    fleet: Fleet, book: grant_book.GrantBook, prefix: int
) -> grant_book.HeldGrant | None:
    """Choose by the system's rules, with all data centres equally near."""
    return _route(fleet, book, prefix, dict.fromkeys(DATA_CENTRES, 0))


def _route(
    fleet: Fleet,
    book: grant_book.GrantBook,
    prefix: int | None,
    tiers: dict[str, int],
) -> grant_book.HeldGrant | None:
    view = fleet.views[fleet.books.index(book)]
    return routing.choose(book, "a", prefix, view, tiers, fleet.now_s)


POLICIES: dict[str, Choose] = {
    "random": choose_at_random,
    "round robin": choose_in_turn,
    "least loaded": choose_least_loaded,
    "near, bounded, cache": choose_near,
    "one class, bounded, cache": choose_anywhere,
}


def _ask_all(fleet: Fleet, waiting: list[int]) -> None:
    for ledger in fleet.ledgers:
        observe_all(ledger, fleet.now_s)
    for book, queued in zip(fleet.books, waiting, strict=True):
        busy = sum(book.in_flight.values()) + queued
        wanted = 4 + (busy * 3) // 2
        for ledger in fleet.ledgers:
            ask = grant_book.make_ask(
                book, ledger.unit, {"a": wanted}, fleet.now_s
            )
            answer = grants.answer(
                ledger, ask, grant_authority.FULL, 0, fleet.now_s
            )
            grant_book.take_answer(book, answer, fleet.now_s, fleet.now_s)


def _use_cache(
    fleet: Fleet, group_id: str, prefix: int
) -> tuple[bool, routing.CacheEvent | None]:
    cache = fleet.caches[group_id]
    is_hit = prefix in cache
    cache[prefix] = None
    cache.move_to_end(prefix)
    removed: tuple[int, ...] = ()
    if len(cache) > CACHED_PREFIXES:
        removed = (cache.popitem(last=False)[0],)
    fleet.sequences[group_id] += 1
    if fleet.rng.random() < EVENT_LOSS:
        return is_hit, None
    stored = () if is_hit else (prefix,)
    sequence = fleet.sequences[group_id]
    return is_hit, routing.CacheEvent(group_id, 1, sequence, stored, removed)


def measure_routing(
    choose: Choose, entries: int = 9, rate: float = 250.0, time_s: float = 60.0
) -> dict[str, float]:
    """Route callers' requests in a fleet of 48 replicas.

    Returns
    -------
    dict
        Cache hit rate, load spread (highest and 95th percentile of the
        requests in flight at a replica, divided by the mean), share of
        requests that had to wait for a place, and share that stayed in the
        entry's data centre.
    """
    fleet = make_fleet(entries, 16)
    rng = fleet.rng
    weights = [1 / (rank + 1) ** 0.9 for rank in range(PREFIXES)]
    prefixes = rng.choices(range(PREFIXES), weights, k=int(rate * time_s))
    events: list[tuple[float, int, str, t.Any]] = []
    count = 0

    def schedule(at_s: float, kind: str, value: t.Any) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (at_s, count, kind, value))

    schedule(0.0, "ask", None)
    at_s = 0.1
    for prefix in prefixes:
        at_s += rng.expovariate(rate)
        schedule(at_s, "arrive", (rng.randrange(entries), prefix))
    last_s = at_s
    waiting: list[collections.deque[int]] = [
        collections.deque() for _ in range(entries)
    ]
    hits = sent = queued = stayed_near = 0
    peaks: list[float] = []
    p95s: list[float] = []

    def serve(index: int) -> None:
        nonlocal hits, sent, stayed_near
        book = fleet.books[index]
        while waiting[index]:
            prefix = waiting[index][0]
            held = choose(fleet, book, prefix)
            if held is None:
                return
            waiting[index].popleft()
            group_id = held.grant.group_id
            grant_book.acquire_place(book, group_id, fleet.now_s)
            routing.note_stored(fleet.views[index], group_id, prefix)
            is_hit, event = _use_cache(fleet, group_id, prefix)
            sent += 1
            hits += is_hit
            stayed_near += fleet.tiers[book.entry][held.grant.data_centre] == 0
            length_s = rng.uniform(0.5, 1.5) * (HIT_S if is_hit else MISS_S)
            schedule(fleet.now_s + length_s, "end", (index, group_id))
            if event is not None:
                schedule(fleet.now_s + EVENT_LAG_S, "event", event)

    while events:
        fleet.now_s, _, kind, value = heapq.heappop(events)
        if kind == "ask":
            _ask_all(fleet, [len(queue) for queue in waiting])
            for index in range(entries):
                serve(index)
            loads = collections.Counter(dict.fromkeys(fleet.caches, 0))
            for book in fleet.books:
                loads.update(book.in_flight)
            mean = statistics.mean(loads.values())
            if mean and 5.0 < fleet.now_s < last_s:
                ordered = sorted(loads.values())
                peaks.append(ordered[-1] / mean)
                p95s.append(ordered[int(len(ordered) * 0.95)] / mean)
            if fleet.now_s < last_s + 5:
                schedule(fleet.now_s + ASK_PERIOD_S, "ask", None)
        elif kind == "arrive":
            index, prefix = value
            waiting[index].append(prefix)
            queue_length = len(waiting[index])
            serve(index)
            queued += queue_length == len(waiting[index])
        elif kind == "end":
            index, group_id = value
            grant_book.release_place(fleet.books[index], group_id)
            serve(index)
        else:
            for view in fleet.views:
                routing.take_event(view, value)
    return {
        "hit_rate": hits / sent,
        "peak_load_over_mean": statistics.mean(peaks),
        "p95_load_over_mean": statistics.mean(p95s),
        "waited": queued / len(prefixes),
        "near": stayed_near / sent,
        "served": sent / len(prefixes),
    }


def measure_cold_load(entries: int) -> dict[str, int]:
    """Compare the load on one cold replica that may run 2 requests."""
    ledger = make_ledger("domain/a", "a", 1, 2)
    books = [grant_book.GrantBook(f"e{n}", 1) for n in range(entries)]
    used = askers = 0
    for now_s in (0.1, 0.6, 1.1):
        observe_all(ledger, now_s)
        for book in books:
            ask = grant_book.make_ask(book, "domain/a", {"a": 4}, now_s)
            answer = grants.answer(ledger, ask, grant_authority.FULL, 0, now_s)
            grant_book.take_answer(book, answer, now_s, now_s)
    for book in books:
        entry_used = 0
        while grant_book.acquire_place(book, "domain/a/0", 1.2):
            entry_used += 1
        used += entry_used
        askers += entry_used > 0
    return {
        "fixed_limit_per_entry": SERVICE.cold_limit * entries,
        "equal_part_per_entry": SERVICE.cold_limit // entries * entries,
        "granted": used,
        "entries_that_use_it": askers,
    }


def measure_cost(askers: int, groups: int) -> dict[str, float]:
    """Measure one request for grants and its answer at one unit."""
    ledger = make_ledger("domain/a", "a", groups, 16)
    books = [grant_book.GrantBook(f"entry-{n:03}", 1) for n in range(askers)]
    spent_s = asked_bytes = answered_bytes = 0.0
    rounds = 20
    for number in range(rounds):
        now_s = 0.1 + number * ASK_PERIOD_S
        observe_all(ledger, now_s)
        for book in books:
            ask = grant_book.make_ask(book, "domain/a", {"a": 6}, now_s)
            began = time.process_time()
            answer = grants.answer(ledger, ask, grant_authority.FULL, 0, now_s)
            spent_s += time.process_time() - began
            asked_bytes += len(msgspec.msgpack.encode(ask))
            answered_bytes += len(msgspec.msgpack.encode(answer))
            grant_book.take_answer(book, answer, now_s, now_s)
    asks = rounds * askers
    return {
        "us_per_answer": spent_s / asks * 1e6,
        "bytes_per_ask": asked_bytes / asks,
        "bytes_per_answer": answered_bytes / asks,
    }


def measure_subsets(
    entries: int = 380, units: int = 138, wanted: int = 280
) -> dict[str, float]:
    """Measure how evenly the entries' subsets cover the units."""
    unit_data_centres = {f"domain/{n}": f"dc{n % 6}" for n in range(units)}
    asked: collections.Counter[str] = collections.Counter()
    sizes = []
    for number in range(entries):
        home = number % 6
        tiers = {
            f"dc{n}": int(n != home) for n in range(6) if n // 3 == home // 3
        }
        chosen = routing.choose_units(
            f"entry-{number:03}", unit_data_centres, tiers, wanted, 512
        )
        asked.update(chosen)
        sizes.append(len(chosen))
    counts = [asked[unit] for unit in unit_data_centres]
    return {
        "units_per_entry": statistics.mean(sizes),
        "askers_per_unit_least": min(counts),
        "askers_per_unit_mean": statistics.mean(counts),
        "askers_per_unit_most": max(counts),
    }


def run() -> dict[str, t.Any]:
    """Return all figures."""
    return {
        "routing": {
            name: measure_routing(choose) for name, choose in POLICIES.items()
        },
        "cold_replica_that_bears_2": {
            str(entries): measure_cold_load(entries) for entries in (9, 380)
        },
        "one_ask": {
            f"{askers} askers, {groups} groups": measure_cost(askers, groups)
            for askers, groups in ((9, 16), (9, 51), (33, 8), (380, 8))
        },
        "subsets_at_380_entries": measure_subsets(),
    }


if __name__ == "__main__":
    print(msgspec.json.format(msgspec.json.encode(run())).decode())
