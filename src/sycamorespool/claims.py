"""Claims units and releases them, by records in the log.

One loop decides periodically which units this entry should claim, hand
over to another entry, or release because it stops.
"""

from collections import abc
import typing as t

import trio

from sycamorespool.decisions import isolation
from sycamorespool.decisions import membership
from sycamorespool.decisions import ownership
from sycamorespool.decisions import pings
from sycamorespool.decisions import unit_assignment
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import leases
from sycamorespool import logs
from sycamorespool import records

CHECK_PERIOD_S = 0.25
RELEASE_TIMEOUT_S = 3.0
LOG_VIEW_MAX_AGE_S = 10.0

Candidates: t.TypeAlias = abc.Mapping[str, unit_assignment.Candidate]

log = logs.make_logger("ownership")


def _cannot_read_log(
    env: environment.Environment, member: membership.Member, now_s: float
) -> bool:
    # A report that came before this entry's lease began may concern an
    # outage that is over.
    is_of_this_lease = member.log_s > env.lease.lease_since_s
    is_unreadable = member.log is not None and not member.log.is_readable
    return (
        is_unreadable
        and is_of_this_lease
        and now_s - member.log_s < LOG_VIEW_MAX_AGE_S
    )


def list_live_entries(
    env: environment.Environment, state: membership.Membership
) -> Candidates:
    """Return the entries that may own units.

    An entry that has not been heard from yet is presumed to run the
    process that the log names; it is left out once it is declared dead.
    """
    now_s = trio.current_time()
    incarnations = {
        owner.entry: owner.incarnation for owner in env.fleet.owners.values()
    }
    candidates = {
        env.name: unit_assignment.Candidate(
            env.incarnation,
            env.settings.entry.data_centre,
            env.lease.lease_since_s,
        )
    }
    live = membership.names_with_status(
        state, pings.Status.ALIVE, pings.Status.SUSPECT
    )
    for name in env.entries().keys() & set(live):
        member = state.members[name]
        if _cannot_read_log(env, member, now_s):
            continue
        update = member.update
        is_heard = update.incarnation != membership.UNKNOWN_INCARNATION
        candidates[name] = unit_assignment.Candidate(
            update.incarnation if is_heard else incarnations.get(name, 0),
            update.data_centre,
            member.since_s,
        )
    return candidates


def _list_units(env: environment.Environment) -> dict[str, str]:
    return {
        ownership.name_domain_unit(vm.domain): vm.data_centre
        for vm in env.vms.values()
        if vm.role != "entry"
    }


def _list_due_records(
    env: environment.Environment, candidates: Candidates
) -> list[records.Record]:
    now_s = leases.check(env)
    view = unit_assignment.AssignmentView(
        env.fleet, _list_units(env), candidates
    )
    due: list[records.Record] = list(
        unit_assignment.releases_due(env.lease, view, now_s, env.is_stopping)
    )
    may_claim = isolation.ALLOWANCES[env.mode].may_claim
    if may_claim and not env.is_stopping:
        due += unit_assignment.claims_due(env.lease, view, now_s)
    return due


async def run(
    env: environment.Environment,
    list_candidates: abc.Callable[[], Candidates],
) -> None:
    """Append the claims and releases that are due, until cancelled.

    If the answer to an append is lost, the log need not be queried: this
    entry follows the records that the log shows, and appends missing ones
    again under the same record id.
    """
    while True:
        await trio.sleep(CHECK_PERIOD_S)
        due = _list_due_records(env, list_candidates())
        if not due:
            continue
        for record in due:
            log.info("appending record", record_id=record.record_id)
        try:
            await env.log.append(records.FLEET_STREAM, due)
        except exceptions.PlatformError as error:
            log.warning(
                "could not append ownership records",
                count=len(due),
                error=error,
            )
            env.metrics.count("log_appends_failed")


async def wait_until_released(env: environment.Environment) -> None:
    """Wait until the log shows that this stopping entry owns nothing.

    A unit whose wait after the claim is not over cannot be released; its
    next owner waits instead.  Give up after RELEASE_TIMEOUT_S.
    """
    with trio.move_on_after(RELEASE_TIMEOUT_S):
        while any(
            owned_unit.is_releasing
            or trio.current_time() >= owned_unit.active_from_s
            for owned_unit in env.lease.owned_units.values()
        ):
            await env.fleet_changed.wait()
