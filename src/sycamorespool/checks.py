"""Checks the invariants against the state of a running entry.

Each check computes its result from the state, independently of the
functions that made the decision.  It returns whether the invariant holds,
so that the caller takes the safe action if it does not.
"""

from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import replay
from sycamorespool.decisions import retries
from sycamorespool import environment
from sycamorespool import invariants
from sycamorespool import models
from sycamorespool import owner
from sycamorespool import records

# Maximum age of the reports that show a group to be ready.
MAX_REPORT_AGE_S = 2.0
NOT_RUN_CUTS = frozenset(
    (retries.FailurePoint.NOT_REACHED, retries.FailurePoint.REFUSED)
)
GROUP_RECORDS = (records.GroupFormed, records.GroupMemberReplaced)


def check_not_older(
    before: replay.FleetState, after: replay.FleetState
) -> bool:
    """Check that a state is not older than the state that it replaces."""
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
        Version of the configuration, and epoch of the record's unit,
        before the record was applied.
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


def check_disjoint_groups(state: replay.FleetState) -> bool:
    """Check that no VM is a member of two groups."""
    members = [vm for g in state.groups.values() for vm in g.members]
    shared = len(members) - len(set(members))
    return invariants.check(
        "vm_in_one_group", not shared, f"offset={state.offset} vms={shared}"
    )


def _is_ready_member(report: models.ProbeReport, group_id: str) -> bool:
    is_ready = report.phase is models.EnginePhase.READY
    return is_ready and report.group_id == group_id


def _is_group_ready(own: owner.Owner, group_id: str, now_s: float) -> bool:
    fleet = own.env.fleet
    group = fleet.groups.get(group_id)
    service = fleet.config.services.get(group.service) if group else None
    if group is None or service is None:
        return False
    # A plain service executes no orders, so its report only shows that it
    # answers.
    is_plain = service.kind == "plain"
    reports = [own.reports.get(vm) for vm in group.members]
    return all(
        pair is not None
        and now_s - pair[1] <= MAX_REPORT_AGE_S
        and (is_plain or _is_ready_member(pair[0], group_id))
        for pair in reports
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
    """Check a grant; the caller withholds one that fails the check."""
    env, group_id = own.env, grant.group_id
    detail = f"group={group_id} entry={entry} places={grant.places}"
    account = ledger.accounts[group_id]
    conditions = (
        ("whole_group_serves", _is_group_ready(own, group_id, now_s)),
        ("out_of_service_idle", _is_in_service(env, group_id)),
        ("leaving_vm_idle", not _is_leaving(env, group_id)),
        ("load_within_limit", _is_within_limit(account, grant, entry)),
    )
    results = [
        invariants.check(name, holds, detail) for name, holds in conditions
    ]
    return all(results)


def check_order(env: environment.Environment, unit: str, epoch: int) -> bool:
    """Check that this entry is the recorded owner of an order's unit."""
    record = env.fleet.owners.get(unit)
    is_owner = record is not None and (record.entry, record.incarnation) == (
        env.name,
        env.incarnation,
    )
    return invariants.check(
        "order_under_lease", is_owner, f"unit={unit} epoch={epoch}"
    )


def check_not_run(cuts: list[retries.FailurePoint], request_id: str) -> bool:
    """Check that no attempt of a request refused as ``not run`` ran."""
    return invariants.check(
        "not_run_is_true",
        NOT_RUN_CUTS.issuperset(cuts),
        f"request={request_id} cuts={[cut.value for cut in cuts]}",
    )
