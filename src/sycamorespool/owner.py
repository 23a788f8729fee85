"""Keeps what an owner of fabric domains knows of their VMs and groups.

The owner probes the VMs.  From the reports and the fleet state it makes
the view that the group planner works on, and tells which groups can serve.
"""

from collections import abc
import dataclasses
import math

import trio

from sycamorespool.backend_servers import probes
from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import group_planner
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import models


@dataclasses.dataclass(slots=True)
class Owner:
    """Holds what the owner knows of the VMs that it probes.

    Parameters
    ----------
    env : environment.Environment
        The environment of this process.
    prober : probes.Prober
        Client that probes the backend servers.
    reports : dict
        Newest report of each VM, with the start of the probe that got it.
    failures : dict
        Number of consecutive failed probes, by VM.
    listed : dict
        VMs as the platform's membership list last showed them, also those
        that it no longer contains.
    memories : dict
        Memory of the group planner, by unit.
    changed : trio.Event
        Set when there is a reason to plan again.
    """

    env: environment.Environment
    prober: probes.Prober = dataclasses.field(default_factory=probes.Prober)
    reports: dict[str, tuple[models.ProbeReport, float]] = dataclasses.field(
        default_factory=dict
    )
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    listed: dict[str, models.Vm] = dataclasses.field(default_factory=dict)
    memories: dict[str, domain_state.PlannerMemory] = dataclasses.field(
        default_factory=dict
    )
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def owns(self, unit: str) -> bool:
        """Tell whether this process is the owner of record of a unit."""
        owner = self.env.fleet.owners.get(unit)
        return owner is not None and (owner.entry, owner.incarnation) == (
            self.env.name,
            self.env.incarnation,
        )

    def memory_of(self, unit: str) -> domain_state.PlannerMemory:
        """Return the planner's memory of a unit; create it at first use."""
        return self.memories.setdefault(unit, domain_state.PlannerMemory())

    def is_alive(self, vm: str, now_s: float) -> bool:
        """Tell whether a VM has answered a recent probe."""
        known = self.reports.get(vm)
        if known is None:
            return False
        return now_s - known[1] <= domain_state.REPORT_MAX_AGE_S

    def is_whole(self, group_id: str, now_s: float) -> bool:
        """Tell whether every member recently reported the group as ready."""
        fleet = self.env.fleet
        group = fleet.groups[group_id]
        view = domain_state.DomainView(
            unit=group.unit,
            epoch=fleet.epoch_of(group.unit),
            now_s=now_s,
            state=fleet,
            vms=self._collect_vm_statuses(group.members),
        )
        return domain_state.is_whole(view, group)

    def may_take_work(self, group_id: str, now_s: float) -> bool:
        """Tell whether a group is whole and is not draining."""
        group = self.env.fleet.groups[group_id]
        is_draining = self.owns(group.unit) and (
            group_id in self.memory_of(group.unit).drains
        )
        return not is_draining and self.is_whole(group_id, now_s)

    def list_vms(self, unit: str) -> list[str]:
        """Return the VMs of a unit's domain and of the unit's groups."""
        domain = unit.removeprefix("domain/")
        current = self.env.backends(domain)
        self.listed.update(current)
        members = [
            vm
            for group in self.env.fleet.groups.values()
            if group.unit == unit
            for vm in group.members
        ]
        return list(dict.fromkeys([*current, *members]))

    def view(self, unit: str, now_s: float) -> domain_state.DomainView:
        """Return the view of a unit that the group planner works on."""
        env = self.env
        vms = self._collect_vm_statuses(self.list_vms(unit))
        return domain_state.DomainView(
            unit=unit,
            epoch=env.fleet.epoch_of(unit),
            now_s=now_s,
            state=env.fleet,
            vms=vms,
            in_flight=self._count_in_flight(unit),
            warm_groups=env.held.list_warm(),
            fleet_vms=[vm for vm in env.vms.values() if vm.role != "entry"],
        )

    def _collect_vm_statuses(
        self, names: abc.Iterable[str]
    ) -> dict[str, domain_state.VmStatus]:
        return {
            name: self._make_vm_status(name)
            for name in names
            if name in self.listed or name in self.env.vms
        }

    def _make_vm_status(self, name: str) -> domain_state.VmStatus:
        report, received_s = self.reports.get(name, (None, -math.inf))
        current = self.env.vms.get(name)
        return domain_state.VmStatus(
            current or self.listed[name],
            report,
            received_s,
            self.failures.get(name, 0),
            current is not None,
        )

    def _count_in_flight(self, unit: str) -> dict[str, int]:
        return {
            group.group_id: max(
                report.in_flight
                for vm in group.members
                if (report := self._find_report(vm)) is not None
            )
            for group in self.env.fleet.groups.values()
            if group.unit == unit
            and any(map(self._find_report, group.members))
        }

    def _find_report(self, vm: str) -> models.ProbeReport | None:
        known = self.reports.get(vm)
        return known[0] if known else None

    def explain_vm(self, unit: str, vm: str, now_s: float) -> dict[str, str]:
        """Explain how the planner judges a VM of an owned unit."""
        view = self.view(unit, now_s)
        return group_planner.explain_vm(view, self.memory_of(unit), vm)

    def explain_group(self, group_id: str, now_s: float) -> dict[str, str]:
        """Explain how the planner judges a group of an owned unit."""
        unit = self.env.fleet.groups[group_id].unit
        view = self.view(unit, now_s)
        return group_planner.explain_group(
            view, self.memory_of(unit), group_id
        )

    def announce_change(self) -> None:
        """Wake the planning loop."""
        self.changed.set()


async def probe(owner: Owner, vm: models.Vm) -> None:
    """Probe a VM and store its report, or count the failure."""
    started_s = trio.current_time()
    try:
        report = await owner.prober.probe(vm.address)
    except exceptions.BackendError:
        owner.failures[vm.vm] = owner.failures.get(vm.vm, 0) + 1
        owner.announce_change()
        return
    before, _ = owner.reports.get(vm.vm, (None, 0.0))
    was_silent = owner.failures.pop(vm.vm, 0) > 0
    owner.reports[vm.vm] = (report, started_s)
    if was_silent or before is None or _has_changed(before, report):
        owner.announce_change()


def _has_changed(
    before: models.ProbeReport, after: models.ProbeReport
) -> bool:
    return any(
        getattr(before, name) != getattr(after, name)
        for name in _COMPARED_FIELDS
    )


# Fields of a report that make the planner run again when they change.
_COMPARED_FIELDS = (
    "incarnation",
    "phase",
    "group_id",
    "epoch",
    "rank",
    "weights",
)
