"""Keep an entry's view of the fleet current.

Loops replay the fleet stream of the log, poll the platform's membership
list, and append snapshots of the state to the log.
"""

import math
import time

import msgspec
import trio

from sycamorespool import checks
from sycamorespool.decisions import isolation
from sycamorespool.decisions import replay
from sycamorespool.decisions import snapshots
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import leases
from sycamorespool import logs
from sycamorespool.platform import membership
from sycamorespool import records

LOG_WAIT_S = 0.5
LOG_RETRY_S = 0.2
MEMBERSHIP_PERIOD_S = 1.0
SNAPSHOT_PERIOD_S = 5.0

log = logs.make_logger("log")


def set_mode(env: environment.Environment, mode: isolation.Mode) -> None:
    """Set the mode of this entry, and from it whether it takes work.

    The mode tells how current the entry's view of the log is.  An entry
    takes no work before it has a state.
    """
    if mode is not env.mode:
        log.warning("mode changed", state=mode, offset=env.fleet.offset)
    env.mode = mode
    takes_work = isolation.ALLOWANCES[mode].takes_work
    has_state = env.fleet.offset >= 0 or math.isfinite(env.log_read_s)
    env.is_ready = takes_work and has_state and not env.is_stopping


def replace_state(
    env: environment.Environment, state: replay.FleetState
) -> None:
    """Replace this entry's state by a newer one, and go on from there."""
    if not checks.check_not_older(env.fleet, state):
        return
    env.fleet = state
    env.recent.clear()
    env.announce_change()


def _drop_snapshot_state(entry: records.LogEntry) -> records.LogEntry:
    # A peer that replays the records has this state already and needs only
    # to know that a snapshot was written.
    if not isinstance(entry.record, records.Snapshot):
        return entry
    record = msgspec.structs.replace(entry.record, state={})
    return records.LogEntry(entry.offset, record)


def apply_entries(
    env: environment.Environment, entries: tuple[records.LogEntry, ...]
) -> None:
    """Apply the records that are new, and announce the change."""
    new = [entry for entry in entries if entry.offset > env.fleet.offset]
    for entry in new:
        version = env.fleet.version
        epoch = env.fleet.epoch_of(getattr(entry.record, "unit", ""))
        replay.apply(env.fleet, entry.offset, entry.record)
        checks.check_record(env.fleet, entry.record, version, epoch)
    if any(isinstance(entry.record, checks.GROUP_RECORDS) for entry in new):
        checks.check_disjoint_groups(env.fleet)
    env.recent.extend(map(_drop_snapshot_state, new))
    if new:
        env.announce_change()


async def follow_log(env: environment.Environment) -> None:
    """Replay the fleet stream as it grows, for ever."""
    while True:
        started_s = trio.current_time()
        try:
            page = await env.log.read(
                records.FLEET_STREAM, env.fleet.offset + 1, LOG_WAIT_S
            )
            apply_entries(env, page.entries)
        except exceptions.RecordsExpired as error:
            await _start_from_snapshot(env, error.first_offset)
            continue
        except exceptions.PlatformError as error:
            log.warning("could not read the fleet stream", error=error)
            env.metrics.count("log_reads_failed")
            await trio.sleep(LOG_RETRY_S)
            continue
        if env.fleet.offset + 1 >= page.head:
            leases.renew_after_read(env, started_s)
            set_mode(env, isolation.Mode.NORMAL)


async def _read_all(
    env: environment.Environment, first: int
) -> list[records.LogEntry]:
    entries: list[records.LogEntry] = []
    head = first + 1
    while first < head:
        page = await env.log.read(records.FLEET_STREAM, first)
        entries += page.entries
        head = page.head
        first = entries[-1].offset + 1 if page.entries else head
    return entries


async def _start_from_snapshot(
    env: environment.Environment, first: int
) -> None:
    """Load the newest snapshot in the log and apply the records after it."""
    try:
        entries = await _read_all(env, first)
        state = snapshots.replay_log(first, entries, env.fleet)
    except (exceptions.PlatformError, exceptions.ReplayError) as error:
        log.warning(
            "could not start from a snapshot in the log",
            offset=first,
            error=error,
        )
        await trio.sleep(LOG_RETRY_S)
        return
    replace_state(env, state)
    log.info("replay continues from a snapshot", offset=state.snapshot.as_of)


async def write_snapshots(env: environment.Environment) -> None:
    """Append a snapshot when one is due and it is this entry's turn."""
    follower = snapshots.Follower(
        env.name, env.settings.platform.log_retention_s, time.time()
    )
    while True:
        await trio.sleep(SNAPSHOT_PERIOD_S)
        now_unix_s = time.time()
        is_due = snapshots.is_snapshot_due(
            env.fleet, follower, env.entries(), now_unix_s
        )
        if is_due and leases.is_settled(env):
            await _append_snapshot(env, now_unix_s)


async def _append_snapshot(
    env: environment.Environment, now_unix_s: float
) -> None:
    snapshot = snapshots.make_snapshot(env.fleet, now_unix_s)
    log.info("appending a snapshot", offset=snapshot.as_of)
    try:
        await env.log.append(records.FLEET_STREAM, [snapshot])
    except exceptions.PlatformError as error:
        log.warning("could not append a snapshot", error=error)
        await trio.sleep(snapshots.WRITER_TURN_S)


async def follow_membership(env: environment.Environment) -> None:
    """Poll the platform's membership list, for ever."""
    address = env.settings.platform.address
    client = membership.MembershipClient(env.pool, address)
    while True:
        try:
            env.vms = await client.fetch_vms()
        except exceptions.PlatformError as error:
            log.warning("could not read the membership list", error=error)
        await trio.sleep(MEMBERSHIP_PERIOD_S)
