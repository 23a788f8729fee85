"""Measure calls with idempotency keys (charges of the example service).

``rules`` is the processor time and memory that replay takes.  ``batches``
simulates the appends of the whole fleet under the batching policy, with a
log that takes 5 ms for an append.  ``processes`` sends charges through real
entries, each of which also owns partitions of the keys; the load generator,
the log and the services share the machine with them.
"""

import random
import time
import tracemalloc
import typing as t

import trio

from examples import demo
from examples import processes
from examples import run_results
from sycamorespool.decisions import key_batches
from sycamorespool.decisions import keys
from sycamorespool import records

CHARGES = 20_000
SIMULATED_S = 20.0
APPEND_S = 0.005
RATES_PER_S = (10, 100, 400, 1000)
PARTITIONS = (4, 8, 16, 64)
ENTRIES = (1, 3, 9)
WORKERS = 48
WINDOW_S = 5.0
DOCUMENT = {
    "workspaces": {"w": {"key_hashes": [processes.CALLER_KEY_HASH]}},
    "services": {
        "orders": {
            "kind": "plain",
            "replicas": 3,
            "cold_limit": 32,
            "warm_limit": 64,
        },
    },
}


def _make_batch(number: int) -> records.KeyBatch:
    key, attempt = f"key-{number:032d}", f"{number:032x}"
    intent = records.KeyIntent("w", key, "d" * 32, attempt, "e", number)
    outcome = records.KeyOutcome("w", key, attempt, 200, "text/plain", b"ok")
    return records.KeyBatch(f"b{number}", (intent,), (outcome,))


def _measure_replay() -> dict[str, float]:
    # Within a batch the outcomes are applied before the intents, so each
    # batch is applied twice: its outcome counts the second time.
    batches = [_make_batch(number) for number in range(CHARGES)]
    state = keys.PartitionState()
    started_s = time.process_time()
    for offset, batch in enumerate(batches):
        keys.apply(state, 2 * offset, batch)
        keys.apply(state, 2 * offset + 1, batch)
    elapsed_s = time.process_time() - started_s
    del state
    tracemalloc.start()
    measured_state = keys.PartitionState()
    for offset in range(CHARGES):
        keys.apply(measured_state, 2 * offset, _make_batch(offset))
        keys.apply(measured_state, 2 * offset + 1, _make_batch(offset))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "replay_us_per_charge": elapsed_s / CHARGES * 1e6,
        "bytes_per_key": size / CHARGES,
    }


def _simulate(rate_per_s: float, partitions: int) -> dict[str, float]:
    """Simulate one partition and scale its appends to the fleet."""
    rng = random.Random(7)
    policy = key_batches.BatchPolicy(partitions)
    batcher = key_batches.make_batcher(policy, 0.0)
    local_per_s = 2.0 * rate_per_s / partitions
    arrives_s = rng.expovariate(local_per_s)
    arrivals: dict[str, float] = {}
    waits: list[float] = []
    now_s = 0.0
    appends = 0
    while now_s < SIMULATED_S:
        due_s = key_batches.find_append_time(policy, batcher, now_s)
        if due_s is None or arrives_s < due_s:
            now_s = arrives_s
            name = f"a{len(arrivals)}"
            arrivals[name] = now_s
            item = records.KeyIntent("w", name, "", name, "e", 0.0)
            key_batches.add(policy, batcher, item, now_s)
            arrives_s += rng.expovariate(local_per_s)
            continue
        now_s = due_s
        batch = key_batches.take(policy, batcher, "b", now_s)
        appends += 1
        now_s += APPEND_S
        key_batches.finish(batcher)
        waits += [now_s - arrivals[i.attempt_id] for i in batch.intents]
    waits.sort()
    return {
        "fleet_appends_per_s": appends / SIMULATED_S * partitions,
        "append_p50_ms": 1e3 * waits[len(waits) // 2],
        "append_p95_ms": 1e3 * waits[int(0.95 * len(waits))],
    }


async def _count_appends(deployment: processes.Deployment) -> int:
    address = deployment.processes["platform"].address
    return int((await deployment.get(f"{address}/counts"))["appends"])


async def _start(deployment: processes.Deployment, count: int) -> list[str]:
    for number in range(3):
        await deployment.start_service(f"s{number}", "orders", "d1", "f1")
    names = [f"entry-{number}" for number in range(count)]
    for name in names:
        entry = await deployment.start_entry(name, "d1")
        await deployment.wait_for(
            lambda entry=entry: demo.is_ready(deployment, entry.address)
        )
    await demo.patch(deployment, names[0], DOCUMENT)
    results = run_results.RunResults()

    async def are_serving() -> bool:
        for number in range(40):
            for name in names:
                key = f"{name}-{number}-{trio.current_time()}"
                await demo.charge(deployment, results, name, key)
        results.refused.clear()
        for name in names:
            key = f"{name}-{trio.current_time()}"
            await demo.charge(deployment, results, name, key)
        return not results.refused

    await deployment.wait_for(are_serving, 60.0)
    return names


async def _measure(count: int) -> dict[str, float]:
    """Keep charges in flight through ``count`` entries for WINDOW_S."""
    async with processes.Deployment() as deployment:
        names = await _start(deployment, count)
        results = run_results.RunResults()
        waits: list[float] = []

        async def keep_charging(worker: int) -> None:
            number = 0
            while True:
                number += 1
                entry = names[(worker + number) % len(names)]
                started_s = trio.current_time()
                key = f"{worker}-{number}"
                await demo.charge(deployment, results, entry, key)
                waits.append(trio.current_time() - started_s)

        before = await _count_appends(deployment)
        with trio.move_on_after(WINDOW_S):
            async with trio.open_nursery() as nursery:
                for worker in range(WORKERS):
                    nursery.start_soon(keep_charging, worker)
        after = await _count_appends(deployment)
        waits.sort()
        return {
            "charges_per_s": sum(results.charges.values()) / WINDOW_S,
            "refused": sum(results.refused.values()),
            "appends_per_s": (after - before) / WINDOW_S,
            "p50_ms": 1e3 * waits[len(waits) // 2],
            "p95_ms": 1e3 * waits[int(0.95 * len(waits))],
        }


def run() -> dict[str, t.Any]:
    """Measure replay, batches and real processes."""
    return {
        "rules": _measure_replay(),
        "batches": {
            f"{rate}/s": {
                f"{partitions} partitions": _simulate(rate, partitions)
                for partitions in PARTITIONS
            }
            for rate in RATES_PER_S
        },
        "processes": {
            f"{count} entries": trio.run(_measure, count) for count in ENTRIES
        },
    }
