"""Determines the states of the VMs and groups of one fabric domain.

The owner of a domain collects what it knows in a :class:`DomainView` and
keeps a :class:`PlannerMemory` of earlier planning steps.  From both, the
functions here derive the state of a VM, a rank of a group and a group::

    if is_whole(view, group):
        ...  # every member has confirmed the group and is ready
"""

import collections
from collections import abc
import dataclasses
import enum
import math

from sycamorespool import configuration
from sycamorespool.decisions import replay
from sycamorespool import models

# How long a VM's newest answer to a probe counts as its present state.
REPORT_MAX_AGE_S = 1.5
# Consecutive probes without an answer after which a VM counts as silent.
SILENT_AFTER_FAILURES = 3
# How long a VM may be silent before it counts as lost and is replaced.
LOST_AFTER_S = 1.0


class SlotState(enum.StrEnum):
    """Names the state of the member at one rank of a group.

    A warm member holds the weights of its rank but has yet to join the group;
    a cold one lacks them and is not loading them for the group.
    """

    READY = "ready"
    LOADING = "loading"
    WARM = "warm"
    COLD = "cold"
    SILENT = "silent"
    LEAVING = "leaving"
    LOST = "lost"


class GroupState(enum.StrEnum):
    """Names the state of a group between its formation and its dissolution."""

    FORMING = "forming"
    LOADING = "loading"
    WARMING = "warming"
    SERVING = "serving"
    DEGRADED = "degraded"
    DRAINING = "draining"
    DISSOLVED = "dissolved"


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatus:
    """Holds what the owner knows of one VM.

    Parameters
    ----------
    vm : Vm
        The VM as the platform's membership list, which lags, showed it last.
    report : ProbeReport or None
        The VM's newest answer to a probe.
    received_s : float
        Time of that answer; the owner uses the start of its probe.
    failures : int
        Consecutive probes without an answer since then.
    is_listed : bool
        Whether the membership list still contains the VM.
    """

    vm: models.Vm
    report: models.ProbeReport | None = None
    received_s: float = -math.inf
    failures: int = 0
    is_listed: bool = True

    @property
    def is_silent(self) -> bool:
        """Tell whether the VM never answered or stopped answering probes."""
        return self.report is None or self.failures >= SILENT_AFTER_FAILURES


@dataclasses.dataclass(slots=True)
class DomainView:
    """Holds what the owner of a fabric domain knows at ``now_s``.

    Parameters
    ----------
    unit : str
        ``domain/NAME``.
    epoch : int
        Epoch of the owner's claim to the unit.
    now_s : float
        The current monotonic time.
    state : FleetState
        The replayed state of the log.
    vms : dict
        What is known of each backend server of the domain, by VM.
    in_flight : dict
        Number of requests in flight, by group.
    warm_groups : collection of str
        Ids of groups that reached their warm limit, in any domain.
    fleet_vms : sequence of Vm
        All backend servers in the membership list.
    max_loads : int
        How many weight loads the domain may run at once.
    """

    unit: str
    epoch: int
    now_s: float
    state: replay.FleetState
    vms: dict[str, VmStatus]
    in_flight: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    warm_groups: abc.Collection[str] = frozenset()
    fleet_vms: abc.Sequence[models.Vm] = ()
    max_loads: int = 8

    @property
    def data_centre(self) -> str:
        """Return the data centre of the domain, or empty if it has no VM."""
        return next((e.vm.data_centre for e in self.vms.values()), "")

    def list_groups(self) -> list[replay.Group]:
        """Return the groups that the owners of this unit formed."""
        groups = self.state.groups.values()
        return [group for group in groups if group.unit == self.unit]

    def service_of(self, group: replay.Group) -> configuration.Service | None:
        """Return the service of a group, or None if it was removed."""
        return self.state.config.services.get(group.service)


@dataclasses.dataclass(slots=True)
class VmHealth:
    """Holds what the owner remembers of the health of one VM.

    In the fields ending in ``since_s``, ``inf`` means that the condition
    does not hold now.  A flap is a return from silence.
    """

    silent_since_s: float = math.inf
    slow_since_s: float = math.inf
    is_slow: bool = False
    flaps: int = 0
    last_flap_s: float = -math.inf
    quarantined_until_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class SentOrder:
    """Holds the newest order that was sent to a VM.

    ``is_confirmed`` is set once the VM has answered the order or a probe shows
    its effect.
    """

    order: models.Order
    sent_s: float
    is_confirmed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Holds why a group gets no new requests, and since when."""

    reason: str
    since_s: float


@dataclasses.dataclass(slots=True)
class PlannerMemory:
    """Holds the planner's memory between steps; a new owner starts empty.

    ``orders`` holds the newest order by VM, ``pending_records`` the ids of
    appended records without a verdict, and ``upgrading`` the groups that
    load a new model version in place.  The fields ending in ``since_s``
    hold start times by group, ``shortage_since_s`` by ``service/NAME``.
    """

    epoch: int = -1
    sequence: int = 0
    outage_until_s: float = -math.inf
    health: dict[str, VmHealth] = dataclasses.field(default_factory=dict)
    orders: dict[str, SentOrder] = dataclasses.field(default_factory=dict)
    pending_records: set[str] = dataclasses.field(default_factory=set)
    drains: dict[str, Drain] = dataclasses.field(default_factory=dict)
    upgrading: set[str] = dataclasses.field(default_factory=set)
    ready_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    shortage_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    incomplete_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def health_of(self, vm: str) -> VmHealth:
        """Return the remembered health of a VM; the first use creates it."""
        return self.health.setdefault(vm, VmHealth())


def weights_name(service: configuration.Service, rank: int) -> str:
    """Return ``MODEL@VERSION#RANK``, or empty text for a plain service."""
    if service.kind == "plain":
        return ""
    return f"{service.model}@{service.version}#{rank}"


def held_weights(status: VmStatus | None) -> str:
    """Return the weights that an answering VM holds, or empty text."""
    if status is None or status.is_silent:
        return ""
    return status.report.weights


def target_version(
    view: DomainView, group: replay.Group, memory: PlannerMemory
) -> str:
    """Return the model version that the members of a group should hold.

    A group keeps the version that most of its members hold until it is the
    group's turn to be upgraded, so that a new version does not stop all
    groups at once.
    """
    service = view.service_of(group)
    if service is None or group.group_id in memory.upgrading:
        return service.version if service else ""
    held_versions = collections.Counter(
        _parse_version(status.report.weights, service.model)
        for status in map(view.vms.get, group.members)
        if status is not None
        and not status.is_silent
        and status.report.group_id == group.group_id
    )
    version, count = max(
        held_versions.items(), key=lambda i: i[::-1], default=("", 0)
    )
    is_majority = 2 * count > len(group.members)
    return version if version and is_majority else service.version


def _parse_version(weights: str, model: str) -> str:
    prefix = f"{model}@"
    if not weights.startswith(prefix):
        return ""
    return weights[len(prefix) :].rpartition("#")[0]


def has_confirmed_membership(
    view: DomainView, group: replay.Group, rank: int, service_kind: str
) -> bool:
    """Tell whether the member at a rank recently confirmed its membership.

    Its newest probe answer names the group, the epoch and the rank.  VMs of
    plain services do not report groups; for them any recent answer counts.
    """
    status = view.vms.get(group.members[rank])
    if status is None or status.is_silent:
        return False
    if view.now_s - status.received_s > REPORT_MAX_AGE_S:
        return False
    if service_kind == "plain":
        return True
    report = status.report
    return (
        report.group_id == group.group_id
        and report.epoch == group.epoch
        and report.rank == rank
    )


def is_whole(view: DomainView, group: replay.Group) -> bool:
    """Tell whether every member confirms the group and is ready.

    The grantor checks this before each grant.  The members must also hold
    the same version of the weights, each the part of its own rank.
    """
    service = view.service_of(group)
    if service is None:
        return False
    if not all(
        has_confirmed_membership(view, group, rank, service.kind)
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
    """Tell whether a known VM is leaving or was taken out of service."""
    status = view.vms.get(vm)
    if status is None:
        return False
    place = view.state.config.vms.get(vm)
    is_out = place is not None and not place.in_service
    return is_out or status.vm.state == models.VmState.LEAVING


def is_lost(view: DomainView, memory: PlannerMemory, vm: str) -> bool:
    """Tell whether a VM has been silent for ``LOST_AFTER_S`` or longer."""
    since_s = memory.health_of(vm).silent_since_s
    return view.now_s - since_s >= LOST_AFTER_S


def slot_states(
    view: DomainView, memory: PlannerMemory, group: replay.Group
) -> tuple[SlotState, ...]:
    """Return the state of the member at each rank of a group."""
    service = view.service_of(group)
    version = target_version(view, group, memory)
    return tuple(
        _slot_state(view, memory, group, rank, service, version)
        for rank in range(len(group.members))
    )


def _slot_state(
    view: DomainView,
    memory: PlannerMemory,
    group: replay.Group,
    rank: int,
    service: configuration.Service | None,
    version: str,
) -> SlotState:
    vm = group.members[rank]
    status = view.vms.get(vm)
    if status is None:
        return SlotState.LOST
    if status.is_silent:
        if is_lost(view, memory, vm):
            return SlotState.LOST
        return SlotState.SILENT
    if is_leaving(view, vm):
        return SlotState.LEAVING
    if service is None or service.kind == "plain":
        return SlotState.READY
    weights = f"{service.model}@{version}#{rank}"
    return _engine_slot_state(status.report, group, rank, weights)


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
        return _STATES_WITH_WEIGHTS[(is_member, is_ready)]
    is_loading = report.phase == models.EnginePhase.LOADING
    return SlotState.LOADING if is_member and is_loading else SlotState.COLD


# Keys: whether the VM reports the group, and whether it is ready.
_STATES_WITH_WEIGHTS = {
    (True, True): SlotState.READY,
    (True, False): SlotState.LOADING,
    (False, True): SlotState.WARM,
    (False, False): SlotState.WARM,
}

# The first row whose set holds the state of any slot decides.
_GROUP_STATE_RULES = (
    ({SlotState.LOST, SlotState.SILENT}, GroupState.DEGRADED),
    ({SlotState.LEAVING}, GroupState.DRAINING),
    ({SlotState.LOADING}, GroupState.LOADING),
    ({SlotState.COLD, SlotState.WARM}, GroupState.FORMING),
)


def group_state(
    view: DomainView, memory: PlannerMemory, group_id: str
) -> GroupState:
    """Return the state of a group; an unknown group counts as dissolved."""
    group = view.state.groups.get(group_id)
    if group is None:
        return GroupState.DISSOLVED
    if group_id in memory.drains:
        return GroupState.DRAINING
    slots = set(slot_states(view, memory, group))
    for slot_set, state in _GROUP_STATE_RULES:
        if slots & slot_set:
            return state
    is_warm = group_id in view.warm_groups
    return GroupState.SERVING if is_warm else GroupState.WARMING
