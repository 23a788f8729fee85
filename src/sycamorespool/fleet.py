"""Loops that keep an entry's view of the fleet: log and membership."""

import time

import trio

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
MEMBERSHIP_PERIOD_S = 0.5
SNAPSHOT_PERIOD_S = 5.0

log = logs.make_logger("log")


def take_entries(
    env: environment.Environment, entries: tuple[records.LogEntry, ...]
) -> None:
    """Apply records that follow those applied, and wake who waits."""
    new = [entry for entry in entries if entry.offset > env.fleet.offset]
    for entry in new:
        replay.apply(env.fleet, entry.offset, entry.record)
    env.recent.extend(new)
    if new:
        env.announce_change()


async def follow_log(env: environment.Environment) -> None:
    """Replay the fleet stream as it grows."""
    while True:
        started_s = trio.current_time()
        try:
            page = await env.log.read(
                records.FLEET_STREAM, env.fleet.offset + 1, LOG_WAIT_S
            )
            take_entries(env, page.entries)
        except exceptions.RecordsExpired as error:
            await _start_from_snapshot(env, error.first_offset)
            continue
        except exceptions.PlatformError as error:
            log.warning("read failed", error=error)
            env.metrics.count("log_reads_failed")
            await trio.sleep(LOG_RETRY_S)
            continue
        if env.fleet.offset + 1 >= page.head:
            leases.note_read(env, started_s)
            env.is_ready = not env.is_stopping


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
    """Take the newest snapshot that the log keeps, and what follows it."""
    try:
        entries = await _read_all(env, first)
        env.fleet = snapshots.replay_log(first, entries, env.fleet)
    except (exceptions.PlatformError, exceptions.ReplayError) as error:
        log.warning("no usable snapshot", offset=first, error=error)
        await trio.sleep(LOG_RETRY_S)
        return
    log.info("started from a snapshot", offset=env.fleet.snapshot.as_of)
    env.announce_change()


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
        log.warning("snapshot not appended", error=error)
        await trio.sleep(snapshots.TURN_S)


async def follow_membership(env: environment.Environment) -> None:
    """Poll the platform's membership list."""
    while True:
        try:
            env.vms = await membership.fetch_vms(
                env.pool, env.settings.platform.address
            )
        except exceptions.PlatformError as error:
            log.warning("membership list not read", error=error)
        await trio.sleep(MEMBERSHIP_PERIOD_S)
