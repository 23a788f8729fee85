"""Makes random records of the fleet stream, valid and invalid ones."""

import random
import typing as t

from sycamorespool.decisions import replay
from sycamorespool import records

SERVICES = {"a": {"group_size": 2, "replicas": 2, "model": "m"}}
UNITS = ("domain/d1", "domain/d2")
VMS = tuple(f"v{number}" for number in range(8))


def _patch(
    rng: random.Random, state: replay.FleetState, record_id: str
) -> records.ConfigPatch:
    patches = (
        {"services": SERVICES},
        {"services": {"a": {"group_size": rng.choice((1, 2))}}},
        {"services": {"a": {"replicas": rng.choice((1, 2, 3))}}},
        {"services": {"a": None}},
        {"services": {"a": {"unknown": 1}}},
    )
    weights = (8, 1, 2, 1, 1)
    patch = rng.choices(patches, weights)[0]
    version = state.version - (rng.random() < 0.2)
    return records.ConfigPatch(record_id, version, patch)


def _claim(
    rng: random.Random, state: replay.FleetState, record_id: str
) -> records.OwnershipClaim:
    unit = rng.choice(UNITS)
    epoch = rng.choice((state.epoch_of(unit), records.NO_EPOCH))
    return records.OwnershipClaim(record_id, unit, "e1", 1, epoch)


def _release(
    rng: random.Random, state: replay.FleetState, record_id: str
) -> records.OwnershipRelease:
    unit = rng.choice(UNITS)
    return records.OwnershipRelease(record_id, unit, state.epoch_of(unit))


def _formed(
    rng: random.Random, state: replay.FleetState, record_id: str
) -> records.GroupFormed:
    unit = rng.choice(UNITS)
    free = [vm for vm in VMS if vm not in state.group_of_vm]
    pool = free if len(free) > 1 and rng.random() < 0.9 else VMS
    return records.GroupFormed(
        record_id,
        unit,
        state.epoch_of(unit),
        record_id,
        "a",
        tuple(rng.sample(pool, 2)),
        rng.choice(("", *state.groups)),
    )


def _replaced(
    rng: random.Random, state: replay.FleetState, record_id: str
) -> records.GroupMemberReplaced:
    unit = rng.choice(UNITS)
    group_id = rng.choice(("none", *state.groups))
    lost, joined = rng.sample(VMS, 2)
    return records.GroupMemberReplaced(
        record_id, unit, state.epoch_of(unit), group_id, lost, joined
    )


def _dissolved(
    rng: random.Random, state: replay.FleetState, record_id: str
) -> records.GroupDissolved:
    unit = rng.choice(UNITS)
    group_id = rng.choice(("none", *state.groups))
    return records.GroupDissolved(
        record_id, unit, state.epoch_of(unit), group_id
    )


_MAKERS: tuple[t.Callable[..., records.Record], ...] = (
    _patch,
    _claim,
    _release,
    _formed,
    _replaced,
    _dissolved,
)


def make_log(rng: random.Random, count: int) -> list[records.LogEntry]:
    """Return a random log; some of its records repeat an earlier one."""
    state = replay.FleetState()
    log: list[records.LogEntry] = []
    for offset in range(count):
        maker = rng.choices(_MAKERS, (2, 2, 1, 6, 2, 3))[0]
        record = maker(rng, state, f"r{offset}")
        if log and rng.random() < 0.1:
            record = rng.choice(log).record
        replay.apply(state, offset, record)
        log.append(records.LogEntry(offset, record))
    return log
