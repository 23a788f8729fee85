"""Takes a key away while the entries of a zone are turned away by the store.

The store turns three of nine entries away for 9 s.  Meanwhile the operator
adds routes and changes the configuration in quick succession; the last change
takes a key away.  Then the store serves the entries again.  No request with the
key that is sent later than ``revoke_ms`` after that acknowledgement may run.
"""

import pathlib
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import world as w  # noqa: E402

REVOKED = "revoked-key"
REVOKE_S = 5.0
ZONES = ("east", "west", "north")
ENTRIES_PER_ZONE = 3
# Share 0.33 of the machines for 9 s; a change each 0.08 s for 2 s; 350 routes
# more than the 110 of the site.
CUT_S = 9.0
STORM_GAP_S = 0.08
STORM_S = 2.0
ADDED_ROUTES = 110 + 350
PROBE_GAP_S = 0.1
PROBE_S = 16.0


def make_config(version, routes, with_key=True):
    plain = {"host": w.HOST, "timeout_ms": 800, "slo_ms": 150, "priority": 2}
    listed = [
        {
            **plain,
            "name": "orders",
            "path_prefix": "/orders/",
            "kind": "non_idempotent",
            "service": "ledger",
            "max_attempts": 1,
            "public": False,
        }
    ]
    listed += [
        {
            **plain,
            "name": f"r-{number:06d}",
            "host": f"h{number:06d}.example",
            "path_prefix": f"/added{number:06d}/{version % 7}/",
            "kind": "idempotent",
            "service": "ledger",
            "max_attempts": 2,
            "public": False,
            "sticky": False,
            "resumable": False,
            "gap_aim_ms": 0,
        }
        for number in range(routes)
    ]
    keys = [w.KEY, REVOKED] if with_key else [w.KEY]
    return {
        "version": version,
        "routes": listed,
        "services": [{"name": "ledger", "cold_s": 0, "cold_per_s": 0}],
        "tenants": [{"name": "t1", "api_keys": keys, "priority": 1}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
    }


class Case:
    def __init__(self, world):
        self.world = world
        self.sent = {}
        self.answers = {}
        self.number = 0

    async def send(self, entry, key):
        world = self.world
        self.number += 1
        attempt = f"a{self.number:06d}"
        self.sent[attempt] = (entry.name, key, world.record.now_s())
        world.record.write(f"sent {attempt} to {entry.name} with {key}")
        status, _, _ = await w.request(
            entry.callers,
            "POST",
            "/orders/1",
            {
                "host": w.HOST,
                "authorization": f"Bearer {key}",
                "sycamorespool-attempt-id": attempt,
                "sycamorespool-deadline-ms": "1500",
            },
            b"{}",
            3.0,
        )
        self.answers[attempt] = status
        world.record.write(f"answered {attempt}: {status}")
        return status

    async def keep_sending(self, entry, until_s):
        async with trio.open_nursery() as nursery:
            while self.world.record.now_s() < until_s:
                nursery.start_soon(self.send, entry, REVOKED)
                await trio.sleep(PROBE_GAP_S)

    def find_late_runs(self, acked_s):
        """Return what ran though it was sent too late, by attempt."""
        late = []
        for server in self.world.servers.values():
            for headers in server.runs:
                attempt = headers["sycamorespool-attempt-id"]
                name, key, sent_s = self.sent[attempt]
                if key == REVOKED and sent_s > acked_s + REVOKE_S:
                    late.append((sent_s - acked_s, attempt, name))
        return sorted(late)


async def case(world):
    record = world.record
    await world.start_store()
    _, size = world.put_config(make_config(1, 110))
    for number, zone in enumerate(ZONES):
        await world.add_server(f"p-{number}", "ledger", zone)
    count = ENTRIES_PER_ZONE * len(ZONES)
    for number, host in enumerate(w.choose_hosts(count)):
        zone = ZONES[number // ENTRIES_PER_ZONE]
        await world.add_entry(f"front-{zone}-{number}", host, zone, ZONES)
    if not await world.wait_ready():
        return 2
    await trio.sleep(4.0)
    run = Case(world)
    for entry in world.entries:
        for key in (w.KEY, REVOKED):
            if await run.send(entry, key) != 200:
                record.write(f"{entry.name} does not serve")
                return 2
    cut = [entry for entry in world.entries if entry.zone == ZONES[0]]
    others = [entry for entry in world.entries if entry.zone != ZONES[0]]
    began_s = record.now_s()
    for entry in cut if w.IS_TROUBLED else ():
        record.write(f"the store turns {entry.name} away")
        entry.link.cut()
    await trio.sleep(0.2)
    version = 1
    for _ in range(int(STORM_S / STORM_GAP_S)):
        version += 3
        acked_s, size = world.put_config(make_config(version, ADDED_ROUTES))
        record.write(f"version {version} acknowledged, {size} bytes")
        await trio.sleep(STORM_GAP_S)
    version += 3
    acked_s, size = world.put_config(
        make_config(version, ADDED_ROUTES, with_key=False)
    )
    record.write(
        f"version {version} acknowledged, {size} bytes: it takes the key"
        f" {REVOKED} away"
    )
    async with trio.open_nursery() as nursery:
        for entry in [*cut, others[0], others[-1]]:
            nursery.start_soon(run.keep_sending, entry, began_s + PROBE_S)
        await trio.sleep(max(0.0, began_s + CUT_S - record.now_s()))
        for entry in cut:
            entry.link.repair()
            record.write(f"the store serves {entry.name} again")
    for entry in world.entries:
        if await run.send(entry, w.KEY) != 200:
            record.write(f"{entry.name} does not serve at the end")
            return 2
    for server in world.servers.values():
        for headers in server.runs:
            attempt = headers["sycamorespool-attempt-id"]
            record.write(f"{server.vm_id} ran {attempt}")
    late = run.find_late_runs(acked_s)
    for after_s, attempt, name in late:
        record.write(
            f"ran: {attempt} at {name}, sent {after_s:.3f} s after the"
            f" acknowledgement that took its key away"
        )
    record.write(
        f"{len(run.sent)} sent, {len(late)} of them ran with the key too late"
    )
    print(f"{len(late)} requests ran with the key too late")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(w.main(case, pathlib.Path(__file__).parent))
