"""A heartbeat whose answer is lost, carried out after its server has left."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import deployment as d  # noqa: E402

CALL_PERIOD_S = 0.01
LEAVING = "p-0"
# A heartbeat is sent and gets no answer; the store carries it out late.
LOST_BEAT_AT_S = 3.0
LATE_S = 5.5
# The core is stable again 3 s after that; then the server leaves: its entry
# is removed, it serves on for a while, and then its process exits.
LEAVES_AT_S = 6.3
EXITS_AT_S = 11.0
END_AT_S = 15.0


async def load(deployment, tasks, end_s):
    """Send orders, which may run once at most, and lookups."""
    number = 0
    while deployment.record.now_s() < end_s:
        number += 1
        entry = deployment.entries[number % 2]
        is_order = number % 4 < 3
        method, path = ("POST", "/orders/a") if is_order else ("GET", "/stock/a")
        body = b"order" if is_order else b""
        tasks.append(
            deployment.spawn(
                deployment.call(entry, method, path, 1500, None, body)
            )
        )
        await asyncio.sleep(CALL_PERIOD_S)


async def run(deployment, trouble):
    await deployment.start()
    record = deployment.record
    for server in deployment.servers.values():
        server.work_s = 0.09
    began_s = record.now_s()
    tasks = []
    traffic = deployment.spawn(load(deployment, tasks, began_s + END_AT_S))

    async def until(at_s):
        await asyncio.sleep(max(0.0, began_s + at_s - record.now_s()))

    server = deployment.servers[LEAVING]
    await until(LOST_BEAT_AT_S)
    lost_beat = server.beat()
    record.write(f"{LEAVING} sends heartbeat {lost_beat['sequence']}, no answer")
    if not trouble:
        deployment.store.put("keyed.servers", LEAVING, lost_beat)
    await until(LEAVES_AT_S)
    server.is_listed = False
    deployment.store.put("keyed.servers", LEAVING, None)
    left_s = record.now_s()
    record.write(
        f"the store removed the entry of {LEAVING}, whose last heartbeat was"
        f" {server.sequence}"
    )
    await until(LOST_BEAT_AT_S + LATE_S)
    if trouble:
        deployment.store.put("keyed.servers", LEAVING, lost_beat)
        record.write(f"the store carries out heartbeat {lost_beat['sequence']}")
    await until(EXITS_AT_S)
    begun = {a for _, i, a in deployment.runs if i == LEAVING}
    cut = begun - deployment.ended_runs
    server.end()
    record.write(f"{LEAVING} exits, with {len(cut)} requests at work")
    await until(LOST_BEAT_AT_S + LATE_S + d.SILENT_HEARTBEATS * d.HEARTBEAT_S)
    deployment.store.put("keyed.servers", LEAVING, None)
    await traffic
    calls = await asyncio.gather(*tasks)
    sent_s = {attempt: at_s for attempt, at_s, _ in calls}
    late = [
        (at_s, attempt)
        for at_s, server_id, attempt in deployment.arrivals
        if server_id == LEAVING
        and sent_s.get(attempt, 0.0) > left_s + d.DRAIN_MS / 1000
    ]
    for at_s, attempt in late:
        record.write(
            f"BROKEN {attempt} reached {LEAVING} {at_s - left_s:.3f} s after"
            " the acknowledgement"
        )
    lost = [a for a, _, answer in calls if not 200 <= answer.status < 300]
    text = (
        f"{len(calls)} requests, {len(lost)} without success, {len(late)}"
        f" reached the server that had left too late"
    )
    record.write(text)
    print(text)
    return 1 if late else 0


if __name__ == "__main__":
    d.main(__file__, run)
