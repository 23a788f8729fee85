"""Explains the state of a VM, group, unit, request or record."""

from collections import abc
import dataclasses

import msgspec

from sycamorespool.decisions import replay
from sycamorespool import environment
from sycamorespool import models
from sycamorespool import owner


class Explanation(msgspec.Struct, frozen=True):
    """Holds the state of a named thing and the reasons for it.

    Parameters
    ----------
    kind : str
        ``vm``, ``group``, ``unit``, ``request``, ``record`` or
        ``unknown``.
    state : str
        The state in one or two words.
    reasons : list of str
        Reasons for the state, the most important first.
    """

    kind: str
    name: str
    state: str
    reasons: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryView:
    """Holds what an entry knows at the time ``now_s``."""

    env: environment.Environment
    domain_owner: owner.Owner
    now_s: float

    def describe_owner(self, unit: str) -> str:
        """Return a sentence that names the owner of a unit."""
        record = self.env.fleet.owners.get(unit)
        if record is None:
            return f"no entry owns {unit} yet"
        is_live = record.entry in self.env.entries()
        note = "" if is_live else ", which is not on the membership list"
        return f"{unit} is owned by {record.entry}{note}, epoch {record.epoch}"


def _find_service_reasons(view: EntryView, vm: models.Vm) -> list[str]:
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


def _describe_report(view: EntryView, name: str) -> str:
    report, received_s = view.domain_owner.reports.get(name, (None, 0.0))
    if report is None:
        return "it has answered no probe of this entry"
    age_s = view.now_s - received_s
    return (
        f"{age_s:.1f} s ago it reported {report.phase.value}, "
        f"group {report.group_id or 'none'}, epoch {report.epoch}, "
        f"incarnation {report.incarnation}"
    )


def _explain_free(view: EntryView, vm: models.Vm) -> list[str]:
    env, unit = view.env, f"domain/{vm.domain}"
    free_vms = [
        other
        for other in env.backends(vm.domain).values()
        if other.role == vm.role and other.vm not in env.fleet.group_of_vm
    ]
    reasons = []
    for name, service in env.fleet.config.services.items():
        has_role = vm.role in ("engine", f"service/{name}")
        if not has_role or (service.kind == "model") != (vm.role == "engine"):
            continue
        count = sum(g.service == name for g in env.fleet.groups.values())
        if count >= service.replicas:
            reasons.append(f"{name} has its {service.replicas} replicas")
        elif len(free_vms) < service.group_size:
            reasons.append(
                f"{name} needs {service.group_size} VMs of a domain; "
                f"{vm.domain} has {len(free_vms)} that are free"
            )
    return reasons or [f"{view.describe_owner(unit)} may use it"]


def _explain_health(view: EntryView, vm: models.Vm) -> list[str]:
    health = view.domain_owner.explain_vm(
        f"domain/{vm.domain}", vm.vm, view.now_s
    )
    reasons = [f"the planner considers it {health['condition']}"]
    if health["is_lost"] == "true":
        reasons.append("it is taken as lost")
    if health["weights"]:
        reasons.append(f"it holds the weights {health['weights']}")
    if health["condition"] == "quarantined":
        reasons.append(
            f"it enters no group for {health['quarantined_for_s']} s, after "
            f"it fell silent {health['flaps']} times or its owner changed"
        )
    return reasons


def explain_vm(view: EntryView, name: str) -> Explanation | None:
    """Explain the state of a VM, or return None if there is no such VM."""
    env = view.env
    vm = env.vms.get(name)
    group_id = env.fleet.group_of_vm.get(name)
    if vm is None and group_id is None:
        return None
    if vm is None:
        reasons = ["it is not on the membership list"]
        return Explanation("vm", name, "gone", [*reasons, f"in {group_id}"])
    reasons = _find_service_reasons(view, vm)
    if vm.role == "entry":
        state = "leaving" if reasons else "entry"
        return Explanation("vm", name, state, reasons or [f"at {vm.address}"])
    reasons.append(_describe_report(view, name))
    if view.domain_owner.owns(f"domain/{vm.domain}"):
        reasons += _explain_health(view, vm)
    if group_id is None:
        reasons += _explain_free(view, vm)
        return Explanation("vm", name, "free", reasons)
    group = env.fleet.groups[group_id]
    rank = group.members.index(name)
    reasons.append(f"rank {rank} of {group_id}, a group of {group.service}")
    reasons.append(view.describe_owner(group.unit))
    return Explanation("vm", name, "member", reasons)


def _find_member_fault(view: EntryView, group: replay.Group, name: str) -> str:
    report, received_s = view.domain_owner.reports.get(name, (None, 0.0))
    if name not in view.env.vms:
        return "not on the membership list"
    if report is None:
        return "has answered no probe"
    if not view.domain_owner.is_alive(name, view.now_s):
        return f"silent for {view.now_s - received_s:.1f} s"
    service = view.env.fleet.config.services.get(group.service)
    if service is not None and service.kind == "plain":
        return ""  # plain services receive no orders
    if (report.group_id, report.epoch) != (group.group_id, group.epoch):
        return f"reports group {report.group_id or 'none'}"
    if report.phase is not models.EnginePhase.READY:
        return f"is {report.phase.value}"
    return ""


def explain_group(view: EntryView, name: str) -> Explanation | None:
    """Explain whether a group serves; None if there is no such group."""
    group = view.env.fleet.groups.get(name)
    if group is None:
        return None
    reasons = [
        f"members {', '.join(group.members)} of {group.service}",
        view.describe_owner(group.unit),
    ]
    held = view.env.held.book.held.get(name)
    if held is not None and held.until_s > view.now_s:
        temperature = "warm" if held.grant.warm else "cold"
        reasons.append(
            f"this entry may have {held.grant.places} requests open "
            f"there ({temperature})"
        )
    if not view.domain_owner.owns(group.unit):
        reasons.append("ask its owner which members are missing")
        return Explanation("group", name, "elsewhere", reasons)
    faults = [
        f"{vm} {fault}"
        for vm in group.members
        if (fault := _find_member_fault(view, group, vm))
    ]
    state = "not whole" if faults else "whole"
    plan_state = view.domain_owner.explain_group(name, view.now_s)
    plan = [f"the planner considers it {plan_state['state']}"]
    if plan_state["drain"]:
        plan.append(f"it takes no new work: {plan_state['drain']}")
    return Explanation("group", name, state, faults + reasons + plan)


def explain_unit(view: EntryView, name: str) -> Explanation | None:
    """Explain who owns a unit, or return None if there is no such unit."""
    domains = {f"domain/{domain}" for domain in view.env.domains()}
    if name not in domains | view.env.fleet.owners.keys():
        return None
    record = view.env.fleet.owners.get(name)
    state = "owned" if record else "unowned"
    return Explanation("unit", name, state, [view.describe_owner(name)])


def explain_request(view: EntryView, name: str) -> Explanation | None:
    """Explain the state of a request; None if it is not kept here."""
    trace = view.env.request_history.get(name)
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


def explain_patch(view: EntryView, name: str) -> Explanation | None:
    """Explain the verdict of replay on a record; None if there is none."""
    verdict = view.env.fleet.verdicts.get(name)
    if verdict is None:
        return None
    reasons = [verdict.detail] if verdict.detail else []
    reasons.append(f"version {verdict.version} followed")
    return Explanation("record", name, verdict.status, reasons)


_EXPLAINERS: tuple[abc.Callable[[EntryView, str], Explanation | None], ...] = (
    explain_vm,
    explain_group,
    explain_unit,
    explain_request,
    explain_patch,
)


def explain(view: EntryView, name: str) -> Explanation:
    """Explain the state of whatever has this name."""
    for explainer in _EXPLAINERS:
        explanation = explainer(view, name)
        if explanation is not None:
            return explanation
    reason = (
        "no VM, group, unit, record or recent request of this entry has this "
        f"name; it has applied the log up to offset {view.env.fleet.offset}"
    )
    if view.env.fleet.offset < 0:
        reason = "this entry has not read the log yet"
    return Explanation("unknown", name, "unknown", [reason])
