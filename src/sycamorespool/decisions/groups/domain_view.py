"""Holds an owner's view of the VMs and groups of a fabric domain.

The view holds the registry entries and reports of the VMs at one moment.
The functions derive from it which VMs are lost or leaving and which groups
are whole.
"""

import collections
from collections import abc
import dataclasses
import math

from sycamorespool import backends
from sycamorespool import routing_table

# A VM counts as lost after this many missing reports in a row and, while
# it is registered, this many heartbeat periods without a heartbeat.
MISSES_BEFORE_LOST = 2
HEARTBEATS_BEFORE_LOST = 1.3
# A VM that accepts connections but sends nothing may only stand still for a
# while; it counts as lost this long after its first missing report.
HUNG_BEFORE_LOST_S = 2.5
# Older reports are not trusted when a group is opened or a VM is used.
REPORT_MAX_AGE_S = 2.0
# A VM that lives is back in the registry so long after its entry expired.
UNLISTED_BEFORE_LOST_S = 2.5
# Reports show the effect of an order late, so an order is not sent again
# within this time.
ORDER_RESEND_S = 1.2
# A group in formation is abandoned after this time.  It is also the margin
# over the load time after which a stage order is repeated.
JOIN_TIMEOUT_S = 6.0
# Added to the stall time of a head for order delivery and clock steps.
STALL_MARGIN_S = 0.6
# Epochs per fencing number, so that those of a later owner are larger.
EPOCHS_PER_FENCE = 4096
GROUP_NAME_SEPARATOR = "@"

# States of a member that has joined its group.
JOINED_STATES = frozenset(
    {
        backends.MemberState.READY,
        backends.MemberState.OPEN,
        backends.MemberState.CLOSING,
    }
)
# States of a head that may run requests.
RUNNING_STATES = frozenset(
    {backends.MemberState.OPEN, backends.MemberState.CLOSING}
)


@dataclasses.dataclass(frozen=True, slots=True)
class VmView:
    """Holds the registry entry and the reports of one VM.

    Parameters
    ----------
    backend : Backend
        Its newest registry entry.
    is_listed : bool
        Whether it is still in the registry.
    is_staying : bool
        Whether it reports, while not in the registry, that it is not
        leaving: it has only lost its connection to the registry.
    report : Report or None
        Its newest report.
    report_s : float
        When that report was requested.
    misses : int
        Requests for a report that failed in a row.
    missing_since_s : float
        When the first of these was sent.
    last_heartbeat_s : float
        When its last heartbeat was read from the registry.
    says_leaving : bool
        Whether it said in an answer that it leaves.
    is_accepting : bool
        Whether it accepted a connection after a report that it did not
        answer in time.
    """

    backend: backends.Backend
    is_listed: bool = True
    is_staying: bool = False
    report: backends.Report | None = None
    report_s: float = -math.inf
    misses: int = 0
    missing_since_s: float = math.inf
    last_heartbeat_s: float = -math.inf
    says_leaving: bool = False
    is_accepting: bool = False

    @property
    def membership(self) -> backends.Membership | None:
        """Return the group that the VM reported last."""
        if self.report is None:
            return self.backend.membership
        return self.report.membership

    @property
    def staged(self) -> frozenset[str]:
        """Return the models whose weights are on the VM's host."""
        if self.report is None:
            return self.backend.staged
        return self.report.staged


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """Holds a fabric domain's VMs, as known to its owner at ``now_s``.

    Parameters
    ----------
    fence : int
        Fencing number of the owner's claim on the domain.
    now_s : float
        The present time.
    vms : mapping
        The VMs of the domain by id.
    engine : Engine
        The model engine of the service and its models.
    stall_s : float
        How long a head that lacks a member stalls before it reports its
        group as broken.
    heartbeat_s : float
        Time between the heartbeats of a VM.
    load_limit : int
        Loads from the weight store that may begin now.
    """

    fence: int
    now_s: float
    vms: abc.Mapping[str, VmView]
    engine: routing_table.Engine
    stall_s: float
    heartbeat_s: float
    load_limit: int = 1_000_000


@dataclasses.dataclass(slots=True)
class Formation:
    """Holds a group in formation: this owner ordered its members to join.

    Parameters
    ----------
    model : str
        The model that the group is to serve.
    members : tuple of str
        Ids of the VMs by rank.
    began_s : float
        When the join orders were first given.
    """

    model: str
    members: tuple[str, ...]
    began_s: float


@dataclasses.dataclass(slots=True)
class PlannerMemory:
    """Holds the state that the owner's planner keeps between two plans.

    Parameters
    ----------
    sequence : int
        Number of the last group formed under the present claim.
    fence : int
        Fencing number under which the groups are counted.
    formations : dict
        Groups in formation, by name.
    heads : dict
        The last known head of each group, by name.
    whole : set of str
        Groups that this owner has seen whole.
    short_since_s : dict
        When another open group was first seen without all its members, by
        name.
    held_until_s : dict
        Until when a VM may join no group, by id, since the head of its
        former group may still run requests.
    sent : dict
        When an order was last sent, by VM, kind and group or model.
    """

    sequence: int = 0
    fence: int = -1
    formations: dict[str, Formation] = dataclasses.field(default_factory=dict)
    heads: dict[str, str] = dataclasses.field(default_factory=dict)
    whole: set[str] = dataclasses.field(default_factory=set)
    short_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    held_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    sent: dict[tuple[str, str, str], float] = dataclasses.field(
        default_factory=dict
    )


def order_key(order: backends.Order) -> tuple[str, str, str]:
    """Return the key by which a repeated order is recognised."""
    subject = order.group or order.model
    return (order.backend_id, order.kind.value, subject)


def note_unanswered(memory: PlannerMemory, order: backends.Order) -> None:
    """Allow an order that got no answer to be sent again at once.

    An order that got an answer is not repeated for a while, as reports
    show its effect late.
    """
    memory.sent.pop(order_key(order), None)


def make_group_name(model: str, epoch: int) -> str:
    """Return the name of a new group."""
    return f"{model}{GROUP_NAME_SEPARATOR}{epoch}"


def model_of_group(name: str) -> str:
    """Return the model that is part of a group's name."""
    return name.rpartition(GROUP_NAME_SEPARATOR)[0]


def is_silent(vm: VmView, view: DomainView) -> bool:
    """Tell whether a VM sends neither reports nor heartbeats.

    A VM that still writes heartbeats is only unreachable from this owner,
    and its group may still serve requests.
    """
    if vm.misses < MISSES_BEFORE_LOST:
        return False
    if not vm.is_listed:
        return True
    silent_s = view.now_s - vm.last_heartbeat_s
    return (
        vm.last_heartbeat_s < vm.missing_since_s
        and silent_s > HEARTBEATS_BEFORE_LOST * view.heartbeat_s
    )


def is_lost(vm: VmView, view: DomainView) -> bool:
    """Tell whether a VM counts as lost.

    A silent VM that accepts connections is hung: its process still runs
    and may go on, with its group and its requests.
    """
    if not is_silent(vm, view):
        return False
    hung_s = view.now_s - vm.missing_since_s
    return not vm.is_accepting or hung_s >= HUNG_BEFORE_LOST_S


def is_leaving(vm: VmView) -> bool:
    """Tell whether a VM drains, says so, or has left the registry to stop."""
    is_gone = not vm.is_listed and not vm.is_staying
    return vm.backend.is_draining or vm.says_leaving or is_gone


def is_healthy(vm: VmView, view: DomainView) -> bool:
    """Tell whether a VM can serve as a member of the group it reports.

    A member that has only lost its connection to the registry stays
    healthy; a head has to be in the registry, as requests are sent to it.
    """
    member = vm.membership
    is_head = member is not None and member.rank == 0
    return not (
        is_lost(vm, view)
        or is_leaving(vm)
        or (is_head and not vm.is_listed)
        or member is None
        or member.state is backends.MemberState.BROKEN
    )


def find_whole_groups(view: DomainView) -> set[tuple[str, int]]:
    """Return names and epochs of the groups with all members healthy."""
    found: dict[tuple[str, int], set[str]] = collections.defaultdict(set)
    for vm_id, vm in view.vms.items():
        member = vm.membership
        if member is not None and is_healthy(vm, view):
            found[member.group, member.epoch].add(vm_id)
    return {
        key
        for key, members in found.items()
        if (model := view.engine.find_model(model_of_group(key[0])))
        and len(members) == model.size
    }


def count_whole_groups(view: DomainView) -> collections.Counter[str]:
    """Count the whole groups of each model, also those still joining."""
    return collections.Counter(
        model_of_group(name) for name, _ in find_whole_groups(view)
    )
