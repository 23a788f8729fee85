"""Grants entries places at the groups of a unit.

A place is room for one request in flight at a group.  The grantor of a
unit is normally its owner; while the log cannot be read, another entry may
act in the place of an owner that is dead.  :mod:`grant_authority` decides
who may grant and what share of the limits.
"""

import dataclasses
import math

import msgspec
import trio

from sycamorespool import checks
from sycamorespool.decisions import fleet
from sycamorespool.decisions import grant_authority
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import grants
from sycamorespool.decisions.groups import ramps
from sycamorespool import leases
from sycamorespool import logs
from sycamorespool import models
from sycamorespool import owner
from sycamorespool import peer_watch

# Greatest age of the last read of the log at which this entry is healthy.
LOG_READ_MAX_AGE_S = 2.0
# A longer gap between two checks shows that the process was paused.
MAX_CHECK_GAP_S = 2.0
CHECK_PERIOD_S = 0.5

log = logs.make_logger("grants")


@dataclasses.dataclass(slots=True)
class Grantor:
    """Holds the ledgers of the units that this process grants for.

    Parameters
    ----------
    owner : owner.Owner
        What is known of the VMs and groups.
    watch : peer_watch.PeerWatch
        What is known of the other entries.
    ledgers : dict
        Epoch of the ownership and the ledger kept in it, by unit.
    healthy_since_s : float or None
        Since when this entry has been able to read the log and has heard
        from at least half of the entries; None if it is not so.
    checked_s : float
        When that was last checked.
    logged : dict
        The authority that the last log message on it stated, by unit.
    """

    owner: owner.Owner
    watch: peer_watch.PeerWatch
    ledgers: dict[str, tuple[int, grant_ledger.Ledger]] = dataclasses.field(
        default_factory=dict
    )
    healthy_since_s: float | None = None
    checked_s: float = -math.inf
    logged: dict[str, grant_authority.GrantAuthority | None] = (
        dataclasses.field(default_factory=dict)
    )


def _make_signals(
    grantor: Grantor, unit: str, record: fleet.Ownership, now_s: float
) -> grant_authority.GrantorSignals:
    env, watch = grantor.owner.env, grantor.watch
    unread_s = now_s - env.log_read_s
    predecessor = record.predecessor
    return grant_authority.GrantorSignals(
        env.name,
        record.entry,
        may_act=leases.may_act(env, unit),
        log_unread_s=unread_s,
        healthy_s=_compute_healthy_s(grantor, now_s),
        has_predecessor_stopped=predecessor is not fleet.Predecessor.ACTIVE,
        presumes_outage=peer_watch.presumes_outage(watch, now_s),
        owner_lost_s=peer_watch.dead_for_s(watch, record.entry, now_s),
        known=peer_watch.list_known(watch),
        heard=peer_watch.list_heard(watch),
    )


def _compute_healthy_s(grantor: Grantor, now_s: float) -> float:
    # A paused process does not know what has happened since the last check.
    was_paused = now_s - grantor.checked_s > MAX_CHECK_GAP_S
    if was_paused or grantor.healthy_since_s is None:
        return 0.0
    return now_s - grantor.healthy_since_s


def _update_health(grantor: Grantor, now_s: float) -> None:
    """Check whether the log is read and half of the entries are heard."""
    env, watch = grantor.owner.env, grantor.watch
    heard = peer_watch.list_heard(watch)
    hears_half = 2 * len(heard) >= len(peer_watch.list_known(watch))
    is_healthy = now_s - env.log_read_s <= LOG_READ_MAX_AGE_S and hears_half
    was_paused = now_s - grantor.checked_s > MAX_CHECK_GAP_S
    if not is_healthy:
        grantor.healthy_since_s = None
    elif grantor.healthy_since_s is None or was_paused:
        grantor.healthy_since_s = now_s
    grantor.checked_s = now_s


async def _probe_groups(grantor: Grantor, unit: str) -> None:
    """Probe the members of a unit's groups in the lost owner's place."""
    env = grantor.owner.env
    async with trio.open_nursery() as nursery:
        for group in env.fleet.groups.values():
            for name in group.members:
                if group.unit == unit and name in env.vms:
                    nursery.start_soon(
                        owner.probe, grantor.owner, env.vms[name]
                    )


async def run(grantor: Grantor) -> None:
    """Check this entry's health, and probe for owners that are lost.

    An owner probes its own units; this loop probes the groups of units for
    which this entry grants in the place of their owner.
    """
    env = grantor.owner.env
    while True:
        now_s = trio.current_time()
        _update_health(grantor, now_s)
        for unit, record in list(env.fleet.owners.items()):
            if record.entry != env.name and _decide(grantor, unit, record):
                await _probe_groups(grantor, unit)
        await trio.sleep(CHECK_PERIOD_S)


def _decide(
    grantor: Grantor, unit: str, record: fleet.Ownership
) -> grant_authority.GrantAuthority | None:
    now_s = trio.current_time()
    signals = _make_signals(grantor, unit, record, now_s)
    settle_s = peer_watch.settle_s(grantor.watch)
    lease_s = grantor.owner.env.lease.timing.lease_s
    authority = grant_authority.decide(unit, signals, lease_s, settle_s)
    if authority != grantor.logged.get(unit):
        grantor.logged[unit] = authority
        log.info(
            "share of the limits that may be granted changed",
            unit=unit,
            state=_describe(authority),
        )
    return authority


def _describe(authority: grant_authority.GrantAuthority | None) -> str:
    if authority is None:
        return "none"
    return f"1/{2**authority.halvings}"


def _find_ledger(
    grantor: Grantor, unit: str, record: fleet.Ownership, now_s: float
) -> grant_ledger.Ledger:
    epoch, ledger = grantor.ledgers.get(unit, (None, None))
    if ledger is None or epoch != record.epoch:
        ledger = _open_ledger(grantor, unit, record, now_s)
        grantor.ledgers[unit] = (record.epoch, ledger)
    return ledger


def _open_ledger(
    grantor: Grantor, unit: str, record: fleet.Ownership, now_s: float
) -> grant_ledger.Ledger:
    env = grantor.owner.env
    is_first = (
        record.entry == env.name
        and record.predecessor is fleet.Predecessor.NONE
    )
    owned_unit = env.lease.owned_units.get(unit)
    is_handover = (
        owned_unit is not None
        and owned_unit.epoch == record.epoch
        and record.predecessor is fleet.Predecessor.RELEASED
    )
    stopped_s = owned_unit.claimed_s if is_handover else now_s
    return grant_ledger.open_ledger(unit, stopped_s, not is_first)


def _observe_group(
    grantor: Grantor,
    ledger: grant_ledger.Ledger,
    group: fleet.Group,
    authority: grant_authority.GrantAuthority,
    now_s: float,
) -> None:
    own, env = grantor.owner, grantor.owner.env
    service = env.fleet.config.services.get(group.service)
    reports = [own.reports.get(vm) for vm in group.members]
    received = [pair for pair in reports if pair is not None]
    if service is None or len(received) < len(reports):
        return
    observed_s = min(started_s for _, started_s in received)
    account = ledger.accounts.get(group.group_id)
    facts = grant_ledger.make_facts(
        env.fleet.config,
        group,
        env.vms,
        own.may_take_work(group.group_id, now_s),
    )
    if account is not None:
        account.facts = facts
        if observed_s <= account.observed_s:
            return
    load = ramps.summarise([report for report, _ in received])
    grant_ledger.observe(ledger, facts, load, service, authority, observed_s)


def _observe(
    grantor: Grantor,
    ledger: grant_ledger.Ledger,
    authority: grant_authority.GrantAuthority,
    now_s: float,
) -> None:
    groups = grantor.owner.env.fleet.groups
    for group in groups.values():
        if group.unit == ledger.unit:
            _observe_group(grantor, ledger, group, authority, now_s)
    for group_id in ledger.accounts.keys() - groups.keys():
        grant_ledger.forget_group(ledger, group_id)


def grant(grantor: Grantor, ask: models.GrantAsk) -> models.GrantAnswer | None:
    """Return the answer to an ask, or None if this is not the grantor."""
    env = grantor.owner.env
    now_s = trio.current_time()
    record = env.fleet.owners.get(ask.unit)
    if record is None:
        return None
    authority = _decide(grantor, ask.unit, record)
    if authority is None:
        return None
    ledger = _find_ledger(grantor, ask.unit, record, now_s)
    _observe(grantor, ledger, authority, now_s)
    answer = grants.answer(
        ledger, ask, authority, env.fleet.config_offset, now_s
    )
    given = tuple(
        grant
        for grant in answer.grants
        if checks.check_grant(grantor.owner, ledger, grant, ask.entry, now_s)
    )
    return msgspec.structs.replace(answer, grants=given)
