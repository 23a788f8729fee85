"""A record of another writer in the registry, and then a server that drains."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import deployment as d  # noqa: E402

CALL_PERIOD_S = 0.04
DRAINED = "p-0"
# When the record is written, and when the server reports that it drains.
RECORD_AT_S = 3.0
DRAIN_AT_S = 8.0
# The server goes on serving for a while after the drain, and then exits.
EXIT_AT_S = 16.0
END_AT_S = 20.0
# Time after which an entry that was restarted has to be ready.
READY_LIMIT_S = 30.0


async def load(deployment, results, end_s):
    """Send orders, which may run once at most, and lookups."""
    number = 0
    while deployment.record.now_s() < end_s:
        number += 1
        entry = deployment.entries[number % 2]
        is_order = number % 4 == 0
        method, path = ("POST", "/orders/a") if is_order else ("GET", "/stock/a")
        body = b"order" if is_order else b""
        task = deployment.spawn(
            deployment.call(entry, method, path, 1500, None, body)
        )
        results.append(task)
        await asyncio.sleep(CALL_PERIOD_S)


async def run(deployment, trouble):
    await deployment.start()
    record = deployment.record
    began_s = record.now_s()
    results = []
    traffic = deployment.spawn(load(deployment, results, began_s + END_AT_S))

    async def until(at_s):
        await asyncio.sleep(max(0.0, began_s + at_s - record.now_s()))

    await until(RECORD_AT_S)
    if trouble:
        # Bytes that cannot be read as an entry of the registry.
        content = b'{"service":"ledger","note":' + b"[" * 20000
        deployment.store.put_bytes("keyed.servers", "x-1", content)
        record.write("another writer wrote bytes that cannot be read")
    await until(DRAIN_AT_S)
    server = deployment.servers[DRAINED]
    server.state = "draining"
    server.write_beat()
    drained_s = record.now_s()
    record.write(f"the store accepted that {DRAINED} is draining")
    await until(EXIT_AT_S)
    open_runs = {a for _, i, a in deployment.runs if i == DRAINED}
    open_runs -= deployment.ended_runs
    server.is_listed = False
    deployment.store.put("keyed.servers", DRAINED, None)
    server.end()
    record.write(f"{DRAINED} exits, with {len(open_runs)} requests at work")
    await traffic
    calls = await asyncio.gather(*results)
    sent_s = {attempt: at_s for attempt, at_s, _ in calls}
    late = [
        (at_s, attempt)
        for at_s, server_id, attempt in deployment.arrivals
        if server_id == DRAINED
        and sent_s.get(attempt, 0.0) > drained_s + d.DRAIN_MS / 1000
    ]
    for at_s, attempt in late:
        record.write(
            f"BROKEN {attempt} reached {DRAINED} {at_s - drained_s:.3f} s"
            " after the acknowledgement"
        )
    lost = sum(not (200 <= a.status < 300) for _, _, a in calls)
    entry = deployment.entries[0]
    entry.process.terminate()
    await asyncio.to_thread(entry.process.wait)
    entry.start()
    restarted_s = record.now_s()
    is_ready = False
    while not is_ready and record.now_s() - restarted_s < READY_LIMIT_S:
        await asyncio.sleep(0.2)
        is_ready = await entry.is_ready()
    took_s = record.now_s() - restarted_s
    text = (
        f"{len(calls)} requests, {lost} without success, {len(late)} reached"
        f" the draining server too late; a restarted entry is"
        f" {'ready' if is_ready else 'not ready'} after {took_s:.1f} s"
    )
    record.write(text)
    print(text)
    return 1 if late else 0


if __name__ == "__main__":
    d.main(__file__, run)
