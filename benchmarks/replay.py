"""Measure replay of the log and snapshots of the state of a large fleet."""

import random
import time
import tracemalloc
import typing as t

import msgspec

from sycamorespool.decisions import fleet
from sycamorespool.decisions import ownership
from sycamorespool.decisions import replay
from sycamorespool.decisions import snapshots
from sycamorespool.decisions import unit_assignment
from sycamorespool import records

GROUPS = 1100
GROUP_SIZE = 8
DOMAINS = 170
ENTRIES = 380
PATCHES_PER_DAY = 2200
WORKSPACES = 10
STEADY_S = 3600


def _make_document() -> dict[str, t.Any]:
    return {
        "services": {
            "assistant": {
                "group_size": GROUP_SIZE,
                "replicas": GROUPS,
                "model": "m",
            }
        },
        "workspaces": {
            f"workspace-{number}": {
                "key_hashes": [f"{number:064d}", f"{number + 100:064d}"]
            }
            for number in range(WORKSPACES)
        },
        "data_centres": {f"dc-{n}": {"in_service": True} for n in range(6)},
    }


def _make_patch(rng: random.Random, version: int) -> dict[str, t.Any]:
    if version % 2:
        name = f"workspace-{rng.randrange(WORKSPACES)}"
        return {"workspaces": {name: {"weight": rng.randint(1, 9)}}}
    name = f"vm-{rng.randrange(GROUPS * GROUP_SIZE)}"
    value = rng.choice((None, {"in_service": False}))
    return {"vms": {name: value}}


def make_log(rng: random.Random) -> list[records.LogEntry]:
    """Return the records of a day: claims, formed groups and patches."""
    batch: list[records.Record] = [
        records.ConfigPatch(
            f"{rng.getrandbits(128):032x}", 0, _make_document()
        )
    ]
    for number in range(DOMAINS):
        batch.append(
            records.OwnershipClaim(
                f"claim/{number}",
                f"domain/d{number}",
                f"entry-{number % ENTRIES}",
                1,
            )
        )
    for number in range(GROUPS):
        members = tuple(
            f"vm-{number * GROUP_SIZE + rank}" for rank in range(GROUP_SIZE)
        )
        domain = number % DOMAINS
        group_id = f"assistant-{rng.getrandbits(32):08x}-{number}"
        batch.append(
            records.GroupFormed(
                f"{rng.getrandbits(128):032x}",
                f"domain/d{domain}",
                domain + 1,
                group_id,
                "assistant",
                members,
            )
        )
    for version in range(1, PATCHES_PER_DAY + 1):
        record_id = f"{rng.getrandbits(128):032x}"
        patch = _make_patch(rng, version)
        batch.append(records.ConfigPatch(record_id, version, patch, "ana"))
    return [records.LogEntry(n, record) for n, record in enumerate(batch)]


def _count_steady_appends(state: fleet.FleetState) -> int:
    """Count the appends of all entries in an hour without any event."""
    candidates = {
        f"entry-{number}": unit_assignment.Candidate(1)
        for number in range(ENTRIES)
    }
    units = dict.fromkeys(state.owners, "")
    view = unit_assignment.AssignmentView(state, units, candidates)
    appends = 0
    for name in candidates:
        lease = ownership.LeaseState(name, 1)
        follower = snapshots.Follower(name, 7 * 86400.0, 0.0)
        for now_s in range(0, STEADY_S, STEADY_S // 4):
            for at_s in (now_s, now_s + 4):
                ownership.renew_lease(lease, state, at_s - 1.0, at_s)
            at_s = now_s + 4
            appends += len(unit_assignment.claims_due(lease, view, at_s))
            appends += len(unit_assignment.releases_due(lease, view, at_s))
            appends += snapshots.is_snapshot_due(
                state, follower, candidates, at_s
            )
    return appends


def run() -> dict[str, t.Any]:
    """Return the speed of replay and the sizes of state and snapshot."""
    encoded = msgspec.json.encode(make_log(random.Random(1)))
    tracemalloc.start()
    log = msgspec.json.decode(encoded, type=list[records.LogEntry])
    state = snapshots.replay_log(0, log)
    count = len(log)
    accepted = sum(v.is_accepted for v in state.verdicts.values())
    record = snapshots.make_snapshot(state, 0.0)
    data = msgspec.json.encode(record)
    del log, record
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.perf_counter()
    again = snapshots.replay_log(
        0, msgspec.json.decode(encoded, type=list[records.LogEntry])
    )
    replay_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    loaded = snapshots.from_snapshot(
        msgspec.json.decode(data, type=records.Snapshot).state
    )
    load_s = time.perf_counter() - started_s
    assert again == loaded == state
    started_s = time.perf_counter()
    replay.apply(again, count, records.ConfigPatch("x", state.version, {}))
    patch_s = time.perf_counter() - started_s
    mark = fleet.SnapshotMark(count, count - 1, 0.0)
    replay.apply(state, count, records.Snapshot("s", count - 1, {}, 0.0))
    assert state.snapshot == mark
    return {
        "records": count,
        "accepted": accepted,
        "records_per_s": round(count / replay_s),
        "patch_ms": round(patch_s * 1e3, 3),
        "state_bytes": state_bytes - len(data),
        "snapshot_bytes": len(data),
        "snapshot_load_ms": round(load_s * 1e3, 1),
        "steady_appends_per_hour": _count_steady_appends(state),
    }
