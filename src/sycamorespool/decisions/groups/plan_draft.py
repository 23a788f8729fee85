"""Defines the planner's actions and the draft that collects them.

A :class:`Draft` collects the actions of one planning step.  It tracks which
VMs the step has already used and which groups it has dissolved, so that the
rules that run one after the other do not contradict each other.
"""

import dataclasses
import functools
import typing as t

from sycamorespool import configuration
from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions import replay
from sycamorespool import models
from sycamorespool import records

ENGINE_ROLE = "engine"
# Grants and reports of use lag by some seconds; a drain must outlast them.
DRAIN_SETTLE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Appends a record to the log."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends an order to a VM, if the owner's lease is still valid."""

    vm: str
    order: models.Order


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Stops granting places at a group; requests in flight continue.

    A place is room for one request in flight.
    """

    group_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndDrain:
    """Grants places at a group again."""

    group_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveCache:
    """Exports the KV cache of one VM and imports it into another."""

    group_id: str
    source: str
    target: str


Action: t.TypeAlias = Append | Send | BeginDrain | EndDrain | MoveCache


@dataclasses.dataclass(slots=True)
class Draft:
    """Collects the actions of one planning step and tracks its free VMs.

    Parameters
    ----------
    view : DomainView
        What the owner knows of the domain now.
    memory : PlannerMemory
        What it remembers of earlier steps.
    free_vms : dict
        Weights held by each VM that this step may still use, by VM.
    slots : dict
        States of the members by rank, for each group of the unit.
    actions : list of Action
        The actions so far, in the order in which they are carried out.
    """

    view: domain_state.DomainView
    memory: domain_state.PlannerMemory
    free_vms: dict[str, str]
    slots: dict[str, tuple[domain_state.SlotState, ...]]
    actions: list[Action] = dataclasses.field(default_factory=list)

    def group(self, group_id: str) -> replay.Group:
        """Return a group by its id."""
        return self.view.state.groups[group_id]

    def append(
        self, make: t.Callable[..., records.Record], **fields: t.Any
    ) -> str:
        """Add the action that appends a record; return the record's id."""
        self.memory.sequence += 1
        view = self.view
        record_id = f"{view.unit}@{view.epoch}.{self.memory.sequence}"
        record = make(
            record_id=record_id, unit=view.unit, epoch=view.epoch, **fields
        )
        self.memory.pending_records.add(record_id)
        self.actions.append(Append(record))
        return record_id

    def list_free(
        self, service: configuration.Service, name: str
    ) -> list[str]:
        """Return the free VMs whose role fits a service."""
        role = f"service/{name}" if service.kind == "plain" else ENGINE_ROLE
        vms = self.view.vms
        return [vm for vm in self.free_vms if vms[vm].vm.role == role]

    def take_vm(
        self, service: configuration.Service, name: str, rank: int
    ) -> str | None:
        """Take the free VM that would be ready soonest at a rank.

        VMs that hold the rank's weights come first, then those that hold
        none; returns None if no free VM fits the service.
        """
        wanted = domain_state.weights_name(service, rank)
        candidates = self.list_free(service, name)
        if not candidates:
            return None
        key = functools.partial(_candidate_sort_key, self, wanted)
        chosen = min(candidates, key=key)
        del self.free_vms[chosen]
        return chosen

    def has_warm_vm(self, service: configuration.Service, rank: int) -> bool:
        """Tell whether a free VM holds the weights of a rank."""
        return (
            domain_state.weights_name(service, rank) in self.free_vms.values()
        )

    def dissolve(self, group_id: str, reason: str) -> None:
        """Dissolve a group and free its usable members for this step."""
        group = self.group(group_id)
        self.append(records.GroupDissolved, group_id=group_id, reason=reason)
        slots = self.slots.pop(group_id)
        for vm, slot in zip(group.members, slots, strict=True):
            if slot in _REUSABLE_STATES and is_usable(
                self.view, self.memory, vm
            ):
                status = self.view.vms[vm]
                self.free_vms[vm] = domain_state.held_weights(status)


_REUSABLE_STATES = frozenset(
    {
        domain_state.SlotState.READY,
        domain_state.SlotState.LOADING,
        domain_state.SlotState.WARM,
        domain_state.SlotState.COLD,
    }
)


def _candidate_sort_key(draft: Draft, wanted: str, vm: str) -> tuple[int, str]:
    held = draft.free_vms[vm]
    if held == wanted:
        return (0, vm)
    return (2 if held else 1, vm)


def is_usable(
    view: domain_state.DomainView, memory: domain_state.PlannerMemory, vm: str
) -> bool:
    """Tell whether a VM may become a member of a group once it is free."""
    status = view.vms.get(vm)
    if status is None or status.is_silent or not status.is_listed:
        return False
    if view.now_s < memory.health_of(vm).quarantined_until_s:
        return False
    return not domain_state.is_leaving(view, vm)


def is_idle(
    view: domain_state.DomainView,
    memory: domain_state.PlannerMemory,
    group_id: str,
) -> bool:
    """Tell whether a draining group has no requests left.

    Grants and reports of use lag by some seconds, so a group counts as idle
    only once its drain has lasted ``DRAIN_SETTLE_S``.
    """
    drain = memory.drains.get(group_id)
    if drain is None or view.now_s - drain.since_s < DRAIN_SETTLE_S:
        return False
    return view.in_flight.get(group_id, 0) == 0


def start_draft(
    view: domain_state.DomainView, memory: domain_state.PlannerMemory
) -> Draft:
    """Return an empty draft with all VMs that are free in the view."""
    taken = view.state.group_of_vm
    free = {
        vm: domain_state.held_weights(status)
        for vm, status in view.vms.items()
        if vm not in taken and is_usable(view, memory, vm)
    }
    slots = {
        group.group_id: domain_state.slot_states(view, memory, group)
        for group in view.list_groups()
    }
    return Draft(view, memory, free, slots)
