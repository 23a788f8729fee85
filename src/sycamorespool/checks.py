"""Checks of the promises against the state of a running entry.

They are worked out anew from the state, not by the functions that decided,
and return whether the promise holds, so that the caller takes the safe
action where it does not.
"""

from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import replay
from sycamorespool.decisions import retries
from sycamorespool import environment
from sycamorespool import invariants
from sycamorespool import models
from sycamorespool import owner
from sycamorespool import records

AFFIRMED_WITHIN_S = 2.0
UNRUN_CUTS = frozenset((retries.Cut.NOT_REACHED, retries.Cut.REFUSED))
GROUP_RECORDS = (records.GroupFormed, records.GroupMemberReplaced)


def check_newer(before: replay.FleetState, after: replay.FleetState) -> bool:
    """Check that a state may take the place of another one."""
    is_newer = (after.offset, after.version) >= (before.offset, before.version)
    return invariants.check(
        "configuration_never_reverts",
        is_newer and after.version >= before.version,
        f"version={before.version} next={after.version}",
    )


def check_record(
    state: replay.FleetState,
    record: records.Record,
    version: int,
    epoch: int,
) -> bool:
    """Check the state after a record was applied.

    Parameters
    ----------
    version, epoch : int
        Of the configuration, and of the record's unit, before it.
    """
    holds = invariants.check(
        "configuration_never_reverts",
        state.version >= version,
        f"version={version} next={state.version}",
    )
    if isinstance(record, records.OwnershipClaim):
        holds &= invariants.check(
            "epoch_never_falls",
            state.epoch_of(record.unit) >= epoch,
            f"unit={record.unit} epoch={epoch}",
        )
    return holds


def check_members(state: replay.FleetState) -> bool:
    """Check that no VM stands in two groups."""
    members = [vm for g in state.groups.values() for vm in g.members]
    shared = len(members) - len(set(members))
    return invariants.check(
        "vm_in_one_group", not shared, f"offset={state.offset} vms={shared}"
    )


def _is_ready_member(report: models.ProbeReport, group_id: str) -> bool:
    is_ready = report.phase is models.EnginePhase.READY
    return is_ready and report.group_id == group_id


def _is_affirmed(own: owner.Owner, group_id: str, now_s: float) -> bool:
    fleet = own.env.fleet
    group = fleet.groups.get(group_id)
    service = fleet.config.services.get(group.service) if group else None
    if group is None or service is None:
        return False
    # A plain service takes no orders: that it answers is all it reports.
    is_plain = service.kind == "plain"
    known = [own.reports.get(vm) for vm in group.members]
    return all(
        pair is not None
        and now_s - pair[1] <= AFFIRMED_WITHIN_S
        and (is_plain or _is_ready_member(pair[0], group_id))
        for pair in known
    )


def _is_in_service(env: environment.Environment, group_id: str) -> bool:
    group = env.fleet.groups.get(group_id)
    vms = [env.vms.get(vm) for vm in group.members] if group else [None]
    return all(
        vm is not None
        and env.fleet.config.is_in_service(vm.data_centre, vm.vm)
        for vm in vms
    )


def _is_leaving(env: environment.Environment, group_id: str) -> bool:
    group = env.fleet.groups.get(group_id)
    vms = [env.vms.get(vm) for vm in group.members] if group else []
    return any(
        vm is not None and vm.state is models.VmState.LEAVING for vm in vms
    )


def _is_within_limit(
    account: grant_ledger.Account, grant: models.Grant, entry: str
) -> bool:
    others = sum(
        holding.max_in_flight
        for name, holding in account.usage_by_asker.items()
        if name != entry
    )
    total = others + account.max_lost_in_flight + grant.places
    return total <= account.ramp.limit


def check_grant(
    own: owner.Owner,
    ledger: grant_ledger.Ledger,
    grant: models.Grant,
    entry: str,
    now_s: float,
) -> bool:
    """Check a grant before it is given; one that fails is not given."""
    env, group_id = own.env, grant.group_id
    detail = f"group={group_id} entry={entry} places={grant.places}"
    account = ledger.accounts[group_id]
    facts = (
        ("whole_group_serves", _is_affirmed(own, group_id, now_s)),
        ("out_of_service_idle", _is_in_service(env, group_id)),
        ("leaving_vm_idle", not _is_leaving(env, group_id)),
        ("load_within_limit", _is_within_limit(account, grant, entry)),
    )
    kept = [invariants.check(name, holds, detail) for name, holds in facts]
    return all(kept)


def check_order(env: environment.Environment, unit: str, epoch: int) -> bool:
    """Check that an order is sent by the owner of record of its unit."""
    record = env.fleet.owners.get(unit)
    is_owner = record is not None and (record.entry, record.incarnation) == (
        env.name,
        env.incarnation,
    )
    return invariants.check(
        "order_under_lease", is_owner, f"unit={unit} epoch={epoch}"
    )


def check_not_run(cuts: list[retries.Cut], request_id: str) -> bool:
    """Check a refusal that says ``not run`` against all attempts."""
    return invariants.check(
        "not_run_is_true",
        UNRUN_CUTS.issuperset(cuts),
        f"request={request_id} cuts={[cut.value for cut in cuts]}",
    )
