"""Loops that keep an entry's view of the fleet: log, membership, claims."""

from absl import logging
import trio

from sycamorespool.decisions import rendezvous
from sycamorespool.decisions import replay
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool.platform import membership
from sycamorespool import records

LOG_WAIT_S = 0.5
LOG_RETRY_S = 0.2
MEMBERSHIP_PERIOD_S = 0.5
CLAIM_PERIOD_S = 0.25


async def follow_log(env: environment.Environment) -> None:
    """Replay the fleet stream as it grows."""
    while True:
        started_s = trio.current_time()
        try:
            page = await env.log.read(
                records.FLEET_STREAM, env.fleet.offset + 1, LOG_WAIT_S
            )
        except exceptions.PlatformError as error:
            logging.warning("log: read failed error=%s", error)
            env.metrics.count("log_reads_failed")
            await trio.sleep(LOG_RETRY_S)
            continue
        for entry in page.entries:
            replay.apply(env.fleet, entry.offset, entry.record)
        if env.fleet.offset + 1 >= page.head:
            env.log_read_s = started_s
            env.is_ready = not env.is_stopping
        if page.entries:
            env.announce_change()


async def follow_membership(env: environment.Environment) -> None:
    """Poll the platform's membership list."""
    while True:
        try:
            env.vms = await membership.fetch_vms(
                env.pool, env.settings.platform.address
            )
        except exceptions.PlatformError as error:
            logging.warning("membership: list not read error=%s", error)
        await trio.sleep(MEMBERSHIP_PERIOD_S)


async def claim_units(env: environment.Environment) -> None:
    """Claim the units that rendezvous hashing gives to this entry."""
    while True:
        await trio.sleep(CLAIM_PERIOD_S)
        names = set(env.entries())
        if env.name not in names or env.is_stopping:
            continue
        for domain in env.domains():
            unit = f"domain/{domain}"
            if rendezvous.choose(unit, names) == env.name:
                await _claim(env, unit)


async def _claim(env: environment.Environment, unit: str) -> None:
    owner = env.fleet.owners.get(unit)
    if owner and (owner.entry, owner.incarnation) == (
        env.name,
        env.incarnation,
    ):
        return
    claim = records.OwnershipClaim(
        environment.make_id(),
        unit,
        env.name,
        env.incarnation,
        env.fleet.epoch_of(unit),
    )
    changed = env.fleet_changed
    try:
        await env.log.append(records.FLEET_STREAM, [claim])
    except exceptions.PlatformError as error:
        logging.warning("ownership: claim failed unit=%s %s", unit, error)
        return
    with trio.move_on_after(LOG_WAIT_S):
        await changed.wait()
