"""The states of VMs and groups in one fabric domain.

The owner of a domain keeps a :class:`DomainView` of what it knows and a
:class:`Memory` of what it did.  The functions here say from both in which
state a VM, a slot of a group and a group are::

    if is_whole(view, group):
        ...  # every member affirmed the group and its epoch
"""

import collections
from collections import abc
import dataclasses
import enum
import math

from sycamorespool import configuration
from sycamorespool.decisions import replay
from sycamorespool import models

AFFIRMED_WITHIN_S = 1.5
SILENT_AFTER_FAILURES = 3
LOST_AFTER_S = 1.0


class SlotState(enum.StrEnum):
    """What holds at one rank of a group."""

    READY = "ready"
    LOADING = "loading"
    WARM = "warm"
    COLD = "cold"
    SILENT = "silent"
    LEAVING = "leaving"
    LOST = "lost"


class GroupState(enum.StrEnum):
    """Where a group is between its formation and its end."""

    FORMING = "forming"
    LOADING = "loading"
    WARMING = "warming"
    SERVING = "serving"
    DEGRADED = "degraded"
    DRAINING = "draining"
    DISSOLVED = "dissolved"


@dataclasses.dataclass(frozen=True, slots=True)
class VmEvidence:
    """What the owner knows of one VM.

    Parameters
    ----------
    vm : Vm
        The VM as the platform's lagging membership lists it.
    report : ProbeReport or None
        Its newest answer to a probe.
    received_s : float
        When that answer came.
    failures : int
        Consecutive probes without an answer since then.
    is_listed : bool
        Whether the membership lists it still.
    """

    vm: models.Vm
    report: models.ProbeReport | None = None
    received_s: float = -math.inf
    failures: int = 0
    is_listed: bool = True

    @property
    def is_silent(self) -> bool:
        """Whether the VM stopped answering probes."""
        return self.report is None or self.failures >= SILENT_AFTER_FAILURES


@dataclasses.dataclass(slots=True)
class DomainView:
    """What the owner of a fabric domain knows at ``now_s``.

    Parameters
    ----------
    unit : str
        ``domain/NAME``.
    epoch : int
        Epoch of the owner's claim.
    now_s : float
        The present time.
    state : FleetState
        The replayed log.
    vms : dict
        Evidence by VM for the backend servers of the domain.
    in_flight : dict
        Requests in flight by group.
    warm : collection of str
        Groups that bear their warm limit, of other domains too.
    fleet : sequence of Vm
        All backend servers of the membership.
    load_slots : int
        Weight loads that the domain may have running at once.
    """

    unit: str
    epoch: int
    now_s: float
    state: replay.FleetState
    vms: dict[str, VmEvidence]
    in_flight: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    warm: abc.Collection[str] = frozenset()
    fleet: abc.Sequence[models.Vm] = ()
    load_slots: int = 8

    @property
    def data_centre(self) -> str:
        """The data centre of the domain, empty if it has no VM."""
        return next((e.vm.data_centre for e in self.vms.values()), "")

    def list_groups(self) -> list[replay.Group]:
        """Return the groups that this unit formed."""
        groups = self.state.groups.values()
        return [group for group in groups if group.unit == self.unit]

    def service_of(self, group: replay.Group) -> configuration.Service | None:
        """Return the service of a group, None if it was removed."""
        return self.state.config.services.get(group.service)


@dataclasses.dataclass(slots=True)
class Health:
    """What the owner remembers of one VM.

    ``inf`` stands for "not now" in the fields ending in ``since_s``.
    """

    silent_since_s: float = math.inf
    slow_since_s: float = math.inf
    is_slow: bool = False
    flaps: int = 0
    last_flap_s: float = -math.inf
    quarantined_until_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class SentOrder:
    """The newest order that was sent to a VM.

    ``has_landed`` is set once its answer came or its effect was read back.
    """

    order: models.Order
    sent_s: float
    has_landed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Why a group takes no new work, and since when."""

    reason: str
    since_s: float


@dataclasses.dataclass(slots=True)
class Memory:
    """What the planner keeps between two steps; lost with the owner."""

    epoch: int = -1
    sequence: int = 0
    dark_until_s: float = -math.inf
    health: dict[str, Health] = dataclasses.field(default_factory=dict)
    orders: dict[str, SentOrder] = dataclasses.field(default_factory=dict)
    pending: set[str] = dataclasses.field(default_factory=set)
    drains: dict[str, Drain] = dataclasses.field(default_factory=dict)
    upgrading: set[str] = dataclasses.field(default_factory=set)
    whole_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    lacking_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    incomplete_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def health_of(self, vm: str) -> Health:
        """Return what is remembered of a VM, made at first use."""
        return self.health.setdefault(vm, Health())


def weights_name(service: configuration.Service, rank: int) -> str:
    """Return ``MODEL@VERSION#RANK``, or empty for a plain service."""
    if service.kind == "plain":
        return ""
    return f"{service.model}@{service.version}#{rank}"


def held_weights(evidence: VmEvidence | None) -> str:
    """Return the weights that lie in the memory of an answering VM."""
    if evidence is None or evidence.is_silent:
        return ""
    return evidence.report.weights


def version_of(view: DomainView, group: replay.Group, memory: Memory) -> str:
    """Return the model version that a group is to hold.

    A group keeps the version that most of its members hold until its turn
    to be upgraded comes, so that a new version does not stop all groups.
    """
    service = view.service_of(group)
    if service is None or group.group_id in memory.upgrading:
        return service.version if service else ""
    held = collections.Counter(
        _parse_version(evidence.report.weights, service.model)
        for evidence in map(view.vms.get, group.members)
        if evidence is not None
        and not evidence.is_silent
        and evidence.report.group_id == group.group_id
    )
    version, count = max(held.items(), key=lambda i: i[::-1], default=("", 0))
    is_majority = 2 * count > len(group.members)
    return version if version and is_majority else service.version


def _parse_version(weights: str, model: str) -> str:
    prefix = f"{model}@"
    if not weights.startswith(prefix):
        return ""
    return weights[len(prefix) :].rpartition("#")[0]


def affirms(
    view: DomainView, group: replay.Group, rank: int, service_kind: str
) -> bool:
    """Tell whether the member at a rank affirmed group and epoch lately."""
    evidence = view.vms.get(group.members[rank])
    if evidence is None or evidence.is_silent:
        return False
    if view.now_s - evidence.received_s > AFFIRMED_WITHIN_S:
        return False
    if service_kind == "plain":
        return True
    report = evidence.report
    return (
        report.group_id == group.group_id
        and report.epoch == group.epoch
        and report.rank == rank
    )


def is_whole(view: DomainView, group: replay.Group) -> bool:
    """Tell whether every member affirmed the group and holds its weights.

    The grantor asks this before each grant.  The members must also hold one
    version of the weights, each the part of its own rank.
    """
    service = view.service_of(group)
    if service is None:
        return False
    if not all(
        affirms(view, group, rank, service.kind)
        for rank in range(len(group.members))
    ):
        return False
    if service.kind == "plain":
        return True
    reports = [view.vms[vm].report for vm in group.members]
    version = _parse_version(reports[0].weights, service.model)
    return all(
        report.phase == models.EnginePhase.READY
        and report.weights == f"{service.model}@{version}#{rank}"
        for rank, report in enumerate(reports)
    )


def is_leaving(view: DomainView, vm: str) -> bool:
    """Tell whether a listed VM leaves or was taken out of service."""
    evidence = view.vms.get(vm)
    if evidence is None:
        return False
    place = view.state.config.vms.get(vm)
    is_out = place is not None and not place.in_service
    return is_out or evidence.vm.state == models.VmState.LEAVING


def is_lost(view: DomainView, memory: Memory, vm: str) -> bool:
    """Tell whether a VM has been silent for too long to wait for it."""
    since_s = memory.health_of(vm).silent_since_s
    return view.now_s - since_s >= LOST_AFTER_S


def slot_states(
    view: DomainView, memory: Memory, group: replay.Group
) -> tuple[SlotState, ...]:
    """Return what holds at each rank of a group."""
    service = view.service_of(group)
    version = version_of(view, group, memory)
    return tuple(
        _slot_state(view, memory, group, rank, service, version)
        for rank in range(len(group.members))
    )


def _slot_state(
    view: DomainView,
    memory: Memory,
    group: replay.Group,
    rank: int,
    service: configuration.Service | None,
    version: str,
) -> SlotState:
    vm = group.members[rank]
    evidence = view.vms.get(vm)
    if evidence is None:
        return SlotState.LOST
    if evidence.is_silent:
        if is_lost(view, memory, vm):
            return SlotState.LOST
        return SlotState.SILENT
    if is_leaving(view, vm):
        return SlotState.LEAVING
    if service is None or service.kind == "plain":
        return SlotState.READY
    weights = f"{service.model}@{version}#{rank}"
    return _engine_slot_state(evidence.report, group, rank, weights)


def _engine_slot_state(
    report: models.ProbeReport, group: replay.Group, rank: int, weights: str
) -> SlotState:
    is_member = (
        report.group_id == group.group_id
        and report.epoch == group.epoch
        and report.rank == rank
    )
    if report.weights == weights:
        is_ready = report.phase == models.EnginePhase.READY
        return _WEIGHTS_HELD[(is_member, is_ready)]
    is_loading = report.phase == models.EnginePhase.LOADING
    return SlotState.LOADING if is_member and is_loading else SlotState.COLD


# Keys: whether the VM affirms the group, and whether it is ready.
_WEIGHTS_HELD = {
    (True, True): SlotState.READY,
    (True, False): SlotState.LOADING,
    (False, True): SlotState.WARM,
    (False, False): SlotState.WARM,
}

# The first state found among the slots decides the state of the group.
_GROUP_STATES = (
    ({SlotState.LOST, SlotState.SILENT}, GroupState.DEGRADED),
    ({SlotState.LEAVING}, GroupState.DRAINING),
    ({SlotState.LOADING}, GroupState.LOADING),
    ({SlotState.COLD, SlotState.WARM}, GroupState.FORMING),
)


def group_state(view: DomainView, memory: Memory, group_id: str) -> GroupState:
    """Return where a group is between its formation and its end."""
    group = view.state.groups.get(group_id)
    if group is None:
        return GroupState.DISSOLVED
    if group_id in memory.drains:
        return GroupState.DRAINING
    slots = set(slot_states(view, memory, group))
    for found, state in _GROUP_STATES:
        if slots & found:
            return state
    is_warm = group_id in view.warm
    return GroupState.SERVING if is_warm else GroupState.WARMING
