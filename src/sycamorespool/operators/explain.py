"""Says why a VM, a group, a unit or a request is where it is."""

from collections import abc
import dataclasses

import msgspec

from sycamorespool.decisions import replay
from sycamorespool import environment
from sycamorespool import models
from sycamorespool import owner


class Explanation(msgspec.Struct, frozen=True):
    """Where something is, and why.

    Parameters
    ----------
    kind : str
        ``vm``, ``group``, ``unit``, ``request`` or ``unknown``.
    state : str
        One word.
    reasons : list of str
        What decided it, the first being the strongest.
    """

    kind: str
    name: str
    state: str
    reasons: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What an entry knows, at ``now_s``."""

    env: environment.Environment
    own: owner.Owner
    now_s: float

    def describe_owner(self, unit: str) -> str:
        """Return who owns a unit, as a sentence."""
        record = self.env.fleet.owners.get(unit)
        if record is None:
            return f"no entry owns {unit} yet"
        is_live = record.entry in self.env.entries()
        gone = "" if is_live else ", which the membership list lacks"
        return f"{unit} is owned by {record.entry}{gone}, epoch {record.epoch}"


def _find_place_reasons(view: View, vm: models.Vm) -> list[str]:
    config = view.env.fleet.config
    version = view.env.fleet.version
    reasons = []
    if vm.state is models.VmState.LEAVING:
        reasons.append("the membership list says that it is leaving")
    if not config.is_in_service(vm.data_centre):
        reasons.append(
            f"data centre {vm.data_centre} is out of service (version "
            f"{version})"
        )
    elif not config.is_in_service(vm.data_centre, vm.vm):
        reasons.append(f"the VM is out of service (version {version})")
    return reasons


def _describe_report(view: View, name: str) -> str:
    report, received_s = view.own.reports.get(name, (None, 0.0))
    if report is None:
        return "it has answered no probe of this entry"
    age_s = view.now_s - received_s
    return (
        f"{age_s:.1f} s ago it reported {report.phase.value}, "
        f"group {report.group_id or 'none'}, epoch {report.epoch}, "
        f"incarnation {report.incarnation}"
    )


def _explain_free(view: View, vm: models.Vm) -> list[str]:
    env, unit = view.env, f"domain/{vm.domain}"
    fitting = [
        other
        for other in env.backends(vm.domain).values()
        if other.role == vm.role and other.vm not in env.fleet.group_of_vm
    ]
    reasons = []
    for name, service in env.fleet.config.services.items():
        is_fit = vm.role in ("engine", f"service/{name}")
        if not is_fit or (service.kind == "model") != (vm.role == "engine"):
            continue
        count = sum(g.service == name for g in env.fleet.groups.values())
        if count >= service.replicas:
            reasons.append(f"{name} has its {service.replicas} replicas")
        elif len(fitting) < service.group_size:
            reasons.append(
                f"{name} needs {service.group_size} VMs of a domain; "
                f"{vm.domain} has {len(fitting)} that are free"
            )
    return reasons or [f"{view.describe_owner(unit)} may use it"]


def _explain_health(view: View, vm: models.Vm) -> list[str]:
    found = view.own.explain_vm(f"domain/{vm.domain}", vm.vm, view.now_s)
    reasons = [f"the planner takes it as {found['condition']}"]
    if found["is_lost"] == "true":
        reasons.append("it is taken as lost")
    if found["weights"]:
        reasons.append(f"it holds the weights {found['weights']}")
    if found["condition"] == "quarantined":
        reasons.append(
            f"it enters no group for {found['quarantined_for_s']} s, after "
            f"{found['flaps']} times silent or a change of owner"
        )
    return reasons


def explain_vm(view: View, name: str) -> Explanation | None:
    """Say why a VM is where it is, or None if there is no such VM."""
    env = view.env
    vm = env.vms.get(name)
    group_id = env.fleet.group_of_vm.get(name)
    if vm is None and group_id is None:
        return None
    if vm is None:
        reasons = ["the membership list does not name it"]
        return Explanation("vm", name, "gone", [*reasons, f"in {group_id}"])
    reasons = _find_place_reasons(view, vm)
    if vm.role == "entry":
        state = "leaving" if reasons else "entry"
        return Explanation("vm", name, state, reasons or [f"at {vm.address}"])
    reasons.append(_describe_report(view, name))
    if view.own.owns(f"domain/{vm.domain}"):
        reasons += _explain_health(view, vm)
    if group_id is None:
        reasons += _explain_free(view, vm)
        return Explanation("vm", name, "free", reasons)
    group = env.fleet.groups[group_id]
    rank = group.members.index(name)
    reasons.append(f"rank {rank} of {group_id}, a group of {group.service}")
    reasons.append(view.describe_owner(group.unit))
    return Explanation("vm", name, "member", reasons)


def _find_member_fault(view: View, group: replay.Group, name: str) -> str:
    report, received_s = view.own.reports.get(name, (None, 0.0))
    if name not in view.env.vms:
        return "not on the membership list"
    if report is None:
        return "has answered no probe"
    if not view.own.is_alive(name, view.now_s):
        return f"silent for {view.now_s - received_s:.1f} s"
    service = view.env.fleet.config.services.get(group.service)
    if service is not None and service.kind == "plain":
        return ""  # plain services take no orders
    if (report.group_id, report.epoch) != (group.group_id, group.epoch):
        return f"reports group {report.group_id or 'none'}"
    if report.phase is not models.EnginePhase.READY:
        return f"is {report.phase.value}"
    return ""


def explain_group(view: View, name: str) -> Explanation | None:
    """Say why a group serves or not, or None if there is no such group."""
    group = view.env.fleet.groups.get(name)
    if group is None:
        return None
    reasons = [
        f"members {', '.join(group.members)} of {group.service}",
        view.describe_owner(group.unit),
    ]
    held = view.env.held.book.held.get(name)
    if held is not None and held.until_s > view.now_s:
        warmth = "warm" if held.grant.warm else "cold"
        reasons.append(
            f"this entry may have {held.grant.places} requests there "
            f"({warmth})"
        )
    if not view.own.owns(group.unit):
        reasons.append("ask its owner which members are missing")
        return Explanation("group", name, "elsewhere", reasons)
    faults = [
        f"{vm} {fault}"
        for vm in group.members
        if (fault := _find_member_fault(view, group, vm))
    ]
    state = "not whole" if faults else "whole"
    found = view.own.explain_group(name, view.now_s)
    plan = [f"the planner takes it as {found['state']}"]
    if found["drain"]:
        plan.append(f"it takes no new work: {found['drain']}")
    return Explanation("group", name, state, faults + reasons + plan)


def explain_unit(view: View, name: str) -> Explanation | None:
    """Say who owns a unit, or None if there is no such unit."""
    domains = {f"domain/{domain}" for domain in view.env.domains()}
    if name not in domains | view.env.fleet.owners.keys():
        return None
    record = view.env.fleet.owners.get(name)
    state = "owned" if record else "unowned"
    return Explanation("unit", name, state, [view.describe_owner(name)])


def explain_request(view: View, name: str) -> Explanation | None:
    """Say what became of a request, or None if it is not kept here."""
    trace = view.env.journal.get(name)
    if trace is None:
        return None
    reasons = [
        f"{trace.service} for {trace.workspace}, priority {trace.priority}",
        f"arrived {view.now_s - trace.opened_s:.1f} s ago, "
        f"{trace.state} for {view.now_s - trace.changed_s:.1f} s",
        f"sent to {', '.join(trace.groups) or 'no group'}",
    ]
    if trace.code:
        reasons.insert(0, trace.code)
    return Explanation("request", name, trace.state, reasons)


def explain_patch(view: View, name: str) -> Explanation | None:
    """Say what replay decided on a record, or None if it is not known."""
    verdict = view.env.fleet.verdicts.get(name)
    if verdict is None:
        return None
    reasons = [verdict.detail] if verdict.detail else []
    reasons.append(f"version {verdict.version} followed")
    return Explanation("record", name, verdict.status, reasons)


_EXPLAINERS: tuple[abc.Callable[[View, str], Explanation | None], ...] = (
    explain_vm,
    explain_group,
    explain_unit,
    explain_request,
    explain_patch,
)


def explain(view: View, name: str) -> Explanation:
    """Say why what has this name is where it is."""
    for explainer in _EXPLAINERS:
        found = explainer(view, name)
        if found is not None:
            return found
    reason = (
        "no VM, group, unit, record or recent request of this entry has this "
        f"name; it has applied the log up to offset {view.env.fleet.offset}"
    )
    if view.env.fleet.offset < 0:
        reason = "this entry has not read the log yet"
    return Explanation("unknown", name, "unknown", [reason])
