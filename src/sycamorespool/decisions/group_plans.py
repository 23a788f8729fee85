"""The actions that the owner of a domain takes, and the step that finds them.

A :class:`Draft` collects the actions of one planning step and tracks which
VMs and groups the step has already used, so that its rules do not contradict
each other.
"""

import dataclasses
import functools
import typing as t

from sycamorespool import configuration
from sycamorespool.decisions import group_states
from sycamorespool.decisions import replay
from sycamorespool import models
from sycamorespool import records

ENGINE_ROLE = "engine"
DRAIN_SETTLE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the log."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send an order to a VM, if the lease still holds."""

    vm: str
    order: models.Order


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Give no more grants for a group; its requests in flight go on."""

    group_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndDrain:
    """Give grants for a group again."""

    group_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveCache:
    """Export the KV cache of one VM and import it at another."""

    group_id: str
    source: str
    target: str


Action: t.TypeAlias = Append | Send | BeginDrain | EndDrain | MoveCache


@dataclasses.dataclass(slots=True)
class Draft:
    """One planning step in the making.

    Parameters
    ----------
    free : dict
        VMs that may still be used, with the weights that they hold.
    slots : dict
        States of the slots of the unit's groups.
    """

    view: group_states.DomainView
    memory: group_states.Memory
    free: dict[str, str]
    slots: dict[str, tuple[group_states.SlotState, ...]]
    actions: list[Action] = dataclasses.field(default_factory=list)

    def group(self, group_id: str) -> replay.Group:
        """Return a group of the log."""
        return self.view.state.groups[group_id]

    def append(
        self, make: t.Callable[..., records.Record], **fields: t.Any
    ) -> str:
        """Add a record of this unit and return its id."""
        self.memory.sequence += 1
        view = self.view
        record_id = f"{view.unit}@{view.epoch}.{self.memory.sequence}"
        record = make(
            record_id=record_id, unit=view.unit, epoch=view.epoch, **fields
        )
        self.memory.pending.add(record_id)
        self.actions.append(Append(record))
        return record_id

    def list_free(
        self, service: configuration.Service, name: str
    ) -> list[str]:
        """Return the free VMs that can serve a service."""
        role = f"service/{name}" if service.kind == "plain" else ENGINE_ROLE
        vms = self.view.vms
        return [vm for vm in self.free if vms[vm].vm.role == role]

    def take(
        self, service: configuration.Service, name: str, rank: int
    ) -> str | None:
        """Take the free VM that is ready soonest at a rank of a service."""
        wanted = group_states.weights_name(service, rank)
        candidates = self.list_free(service, name)
        if not candidates:
            return None
        key = functools.partial(_rate_candidate, self, wanted)
        chosen = min(candidates, key=key)
        del self.free[chosen]
        return chosen

    def has_warm(self, service: configuration.Service, rank: int) -> bool:
        """Tell whether a free VM holds the weights of a rank."""
        return group_states.weights_name(service, rank) in self.free.values()

    def dissolve(self, group_id: str, reason: str) -> None:
        """Dissolve a group; its healthy members are free in this step."""
        group = self.group(group_id)
        self.append(records.GroupDissolved, group_id=group_id, reason=reason)
        slots = self.slots.pop(group_id)
        for vm, slot in zip(group.members, slots, strict=True):
            if slot in _REUSABLE and is_usable(self.view, self.memory, vm):
                evidence = self.view.vms[vm]
                self.free[vm] = group_states.held_weights(evidence)


_REUSABLE = frozenset(
    {
        group_states.SlotState.READY,
        group_states.SlotState.LOADING,
        group_states.SlotState.WARM,
        group_states.SlotState.COLD,
    }
)


def _rate_candidate(draft: Draft, wanted: str, vm: str) -> tuple[int, str]:
    held = draft.free[vm]
    if held == wanted:
        return (0, vm)
    return (2 if held else 1, vm)


def is_usable(
    view: group_states.DomainView, memory: group_states.Memory, vm: str
) -> bool:
    """Tell whether a VM, once free, may enter a group."""
    evidence = view.vms.get(vm)
    if evidence is None or evidence.is_silent or not evidence.is_listed:
        return False
    if view.now_s < memory.health_of(vm).quarantined_until_s:
        return False
    return not group_states.is_leaving(view, vm)


def is_idle(
    view: group_states.DomainView, memory: group_states.Memory, group_id: str
) -> bool:
    """Tell whether a draining group has no request left.

    Grants and reports of use reach back some seconds, so a group counts as
    idle only when its drain lasts longer than that.
    """
    drain = memory.drains.get(group_id)
    if drain is None or view.now_s - drain.since_s < DRAIN_SETTLE_S:
        return False
    return view.in_flight.get(group_id, 0) == 0


def start_draft(
    view: group_states.DomainView, memory: group_states.Memory
) -> Draft:
    """Return the draft of a step that has decided nothing yet."""
    taken = view.state.group_of_vm
    free = {
        vm: group_states.held_weights(evidence)
        for vm, evidence in view.vms.items()
        if vm not in taken and is_usable(view, memory, vm)
    }
    slots = {
        group.group_id: group_states.slot_states(view, memory, group)
        for group in view.list_groups()
    }
    return Draft(view, memory, free, slots)
