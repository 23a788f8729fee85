"""What the owner of a fabric domain knows of its VMs and their groups."""

import collections
from collections import abc
import dataclasses
import math

from sycamorespool import backends
from sycamorespool import routing_table

MISSES_BEFORE_LOST = 2
HEARTBEATS_BEFORE_LOST = 1.3
REPORT_MAX_AGE_S = 2.0
ORDER_RESEND_S = 1.2
JOIN_TIMEOUT_S = 6.0
# Over the stall time of a head, for the way of orders and clock steps.
STALL_MARGIN_S = 0.6
EPOCHS_PER_FENCE = 4096
GROUP_NAME_SEPARATOR = "@"

JOINED_STATES = frozenset(
    {
        backends.MemberState.READY,
        backends.MemberState.OPEN,
        backends.MemberState.CLOSING,
    }
)
RUNNING = frozenset({backends.MemberState.OPEN, backends.MemberState.CLOSING})


@dataclasses.dataclass(frozen=True, slots=True)
class VmView:
    """What the owner knows of one VM.

    Parameters
    ----------
    backend : Backend
        Its registry entry.
    is_listed : bool
        Whether the registry lists it still.
    is_staying : bool
        Whether, unlisted, it says that it does not leave: it has lost the
        registry only.
    report : Report or None
        Its newest report.
    report_s : float
        When that report was asked for.
    misses : int
        Reports in a row that did not come.
    missing_since_s : float
        When the first of these was asked for.
    heard_s : float
        When the registry last had a heartbeat of it.
    """

    backend: backends.Backend
    is_listed: bool = True
    is_staying: bool = False
    report: backends.Report | None = None
    report_s: float = -math.inf
    misses: int = 0
    missing_since_s: float = math.inf
    heard_s: float = -math.inf

    @property
    def membership(self) -> backends.Membership | None:
        """The group that the VM named last."""
        if self.report is None:
            return self.backend.membership
        return self.report.membership

    @property
    def staged(self) -> frozenset[str]:
        """Models whose weights lie on the VM's host."""
        if self.report is None:
            return self.backend.staged
        return self.report.staged


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """What the owner of a fabric domain knows at ``now_s``.

    Parameters
    ----------
    fence : int
        Fencing number of the owner's claim.
    vms : dict
        The VMs of the domain by id.
    stall_s : float
        How long a head that misses a member stands still before it breaks.
    heartbeat_s : float
        Time between the heartbeats of a VM.
    may_load : int
        Loads from the weight store that may begin now.
    """

    fence: int
    now_s: float
    vms: abc.Mapping[str, VmView]
    engine: routing_table.Engine
    stall_s: float
    heartbeat_s: float
    may_load: int = 1_000_000


@dataclasses.dataclass(slots=True)
class Formation:
    """A group that this owner had its members join."""

    model: str
    members: tuple[str, ...]
    began_s: float


@dataclasses.dataclass(slots=True)
class Memory:
    """What the owner remembers between two plans.

    Parameters
    ----------
    formations : dict
        Groups that form, by name.
    heads : dict
        The last known head of each group, by name.
    held_until_s : dict
        VMs whose former head may run on until then.
    sent : dict
        When an order was last sent, by VM, kind and group or model.
    """

    sequence: int = 0
    fence: int = -1
    formations: dict[str, Formation] = dataclasses.field(default_factory=dict)
    heads: dict[str, str] = dataclasses.field(default_factory=dict)
    held_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    sent: dict[tuple[str, str, str], float] = dataclasses.field(
        default_factory=dict
    )


def order_key(order: backends.Order) -> tuple[str, str, str]:
    """Return what makes an order the same as an earlier one."""
    subject = order.group or order.model
    return (order.backend_id, order.kind.value, subject)


def note_unanswered(memory: Memory, order: backends.Order) -> None:
    """Let an order that got no answer be sent again at once.

    One that got an answer waits, as reports show its effect late.
    """
    memory.sent.pop(order_key(order), None)


def make_group_name(model: str, epoch: int) -> str:
    """Return the name of a new group."""
    return f"{model}{GROUP_NAME_SEPARATOR}{epoch}"


def model_of_group(name: str) -> str:
    """Return the model that a group's name tells."""
    return name.rpartition(GROUP_NAME_SEPARATOR)[0]


def is_lost(vm: VmView, view: DomainView) -> bool:
    """Tell whether a VM has to be taken as gone.

    A VM that still writes heartbeats is cut off from this owner only, and
    its group may be well.
    """
    if vm.misses < MISSES_BEFORE_LOST:
        return False
    if not vm.is_listed:
        return True
    silent_s = view.now_s - vm.heard_s
    return (
        vm.heard_s < vm.missing_since_s
        and silent_s > HEARTBEATS_BEFORE_LOST * view.heartbeat_s
    )


def is_leaving(vm: VmView) -> bool:
    """Tell whether a VM drains or has left the registry to end."""
    is_gone = not vm.is_listed and not vm.is_staying
    return vm.backend.is_draining or is_gone


def is_healthy(vm: VmView, view: DomainView) -> bool:
    """Tell whether a VM can do its part in the group that it names.

    One that has lost the registry only goes on as a member, but a head has
    to be listed, as it gets requests.
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
    """Return names and epochs of the groups that lack no member."""
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


def group_models(view: DomainView) -> collections.Counter[str]:
    """Return how many groups of each model the domain has or forms."""
    return collections.Counter(
        model_of_group(name) for name, _ in find_whole_groups(view)
    )
