"""Collects the reports of the VMs in the domains that an entry owns.

A VM that is no longer in the registry is probed for a while longer: its
group may still serve, and if the VM is shutting down, the group has to be
closed in an orderly way.
"""

from collections import abc
import dataclasses
import math
import typing as t

import trio

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions import registry
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.platform import engines
from sycamorespool import sockets

# How long a VM outside the registry that no longer reports is remembered.
UNLISTED_KEEP_S = 15.0
# Reports lag behind orders, so a VM is asked often for this long after one.
ORDER_EFFECT_S = 1.2
# Time between two probes of a settled VM whose heartbeat is due, and of one
# whose heartbeats arrive in time.  Reports of the latter must not get too old
# to plan with (``domain_view.REPORT_MAX_AGE_S``).
SETTLED_PROBE_PERIOD_S = 0.45
FRESH_PROBE_PERIOD_S = 1.4
# A heartbeat is fresh for this part of the time between two.
FRESH_HEARTBEAT_FRACTION = 0.5
# Less than ``engines.REPORT_TIMEOUT_S``, so that the outcome is known before
# the next report is missed.
CONNECT_TIMEOUT_S = 0.4

log = logs.make_logger("groups")


class GroupKey(t.NamedTuple):
    """Names a group by its name and epoch."""

    group: str
    epoch: int


@dataclasses.dataclass(slots=True)
class Probe:
    """Holds the newest report of one VM and its missed reports.

    Parameters
    ----------
    report_s : float
        When the newest report was asked for.
    misses : int
        Reports in a row that did not arrive.
    missing_since_s : float
        When the first of these was asked for; infinite without any.
    is_accepting : bool
        Whether the VM accepted a connection after the newest of these; not
        asked if the report failed in another way than by its timeout.
    orders : int
        Orders that the VM has begun, including those that its reports,
        which lag behind, do not show yet.
    is_leaving : bool
        Whether the VM, once it was no longer in the registry, failed to
        say that it is healthy and stays.
    ordered_s : float
        When the VM last answered an order.
    left : GroupKey or None
        The group that it left last by an order.  It never joins the same
        group again, so a report that still shows it is out of date.
    """

    report: backends.Report | None = None
    report_s: float = -math.inf
    misses: int = 0
    missing_since_s: float = math.inf
    is_accepting: bool = False
    orders: int = 0
    is_leaving: bool = False
    ordered_s: float = -math.inf
    left: GroupKey | None = None


@dataclasses.dataclass(slots=True)
class VmWatch:
    """Holds the VMs that an entry knows from the registry and from reports.

    Parameters
    ----------
    probes : dict
        Newest report and missed reports, by VM.
    probing : set
        VMs that were asked for a report and have not answered yet.
    unlisted : dict
        VMs that left the registry recently, with their last registry entry
        and the time.
    known : dict
        The registry as of the last update.
    server_added_s : float
        When a server was last added to the registry.
    """

    context: entry_context.EntryContext
    nursery: trio.Nursery
    probes: dict[str, Probe] = dataclasses.field(default_factory=dict)
    probing: set[str] = dataclasses.field(default_factory=set)
    unlisted: dict[str, tuple[backends.Backend, float]] = dataclasses.field(
        default_factory=dict
    )
    known: dict[str, backends.Backend] = dataclasses.field(
        default_factory=dict
    )
    server_added_s: float = -math.inf

    def find_backend(self, vm_id: str) -> backends.Backend | None:
        """Return the newest registry entry of a VM, also an unlisted one."""
        unlisted = self.unlisted.get(vm_id)
        return self.known.get(vm_id) or (unlisted[0] if unlisted else None)


def update(watch: VmWatch, now_s: float) -> None:
    """Update the known and the unlisted VMs from the registry."""
    current = watch.context.registry.servers
    for vm_id, backend in watch.known.items():
        if vm_id not in current:
            watch.unlisted.setdefault(vm_id, (backend, now_s))
    if current.keys() - watch.known.keys():
        watch.server_added_s = now_s
    watch.known = dict(current)
    for vm_id, (_, since_s) in list(watch.unlisted.items()):
        probe = watch.probes.get(vm_id, Probe())
        silent_s = now_s - max(since_s, probe.report_s)
        if vm_id in current:
            probe.is_leaving = False
        if vm_id in current or silent_s > UNLISTED_KEEP_S:
            del watch.unlisted[vm_id]
            if vm_id not in current:
                watch.probes.pop(vm_id, None)


async def _probe(watch: VmWatch, backend: backends.Backend) -> None:
    vm_id = backend.backend_id
    probe = watch.probes.setdefault(vm_id, Probe())
    asked_s = trio.current_time()
    try:
        with trio.fail_after(engines.REPORT_TIMEOUT_S):
            report = await engines.fetch_report(
                watch.context.server_caller, backend.address
            )
        if report.started_ms != backend.started_ms:
            raise exceptions.BackendCut(
                "the report is from another start of the server"
            )
        _check_newer(probe, report)
        notice = backends.Notice(report.is_leaving)
        watch.context.placement_state.note_notice(backend, notice, asked_s)
        if vm_id in watch.unlisted:
            await _check_leaving(watch, backend, probe)
    except (exceptions.BackendError, trio.TooSlowError) as error:
        if not probe.misses:
            probe.missing_since_s = asked_s
            log.info("VM did not report its state", vm=vm_id, error=error)
        probe.misses += 1
        if isinstance(error, trio.TooSlowError):
            watch.nursery.start_soon(_check_connection, backend, probe)
        else:
            probe.is_accepting = False
        return
    finally:
        watch.probing.discard(vm_id)
    if probe.misses:
        log.info("VM reports its state again", vm=vm_id, count=probe.misses)
    is_same = probe.report and probe.report.started_ms == report.started_ms
    if not is_same or asked_s - probe.ordered_s > ORDER_EFFECT_S:
        # Reports show its orders by now, whatever was answered to them.
        probe.left = None
    probe.orders = max(probe.orders if is_same else 0, report.orders)
    probe.report = report
    probe.report_s = asked_s
    probe.misses = 0
    probe.missing_since_s = math.inf


def _check_newer(probe: Probe, report: backends.Report) -> None:
    """Check that a report is not an older one that was sent once more.

    A second one in a row that looks so is believed.

    Raises
    ------
    BackendCut
        If it is.
    """
    before = probe.report
    if before is None or before.started_ms != report.started_ms:
        return
    if report.orders < before.orders and not probe.misses:
        raise exceptions.BackendCut("the report is older than the one before")


async def _check_connection(backend: backends.Backend, probe: Probe) -> None:
    """Find out whether a VM that does not answer accepts connections.

    The system of a VM does so for a process that stands still.  It refuses
    connections once the process has ended, and a VM that is gone or cut off
    does neither.
    """
    probe.is_accepting = await sockets.is_accepting(
        backend.address, CONNECT_TIMEOUT_S
    )


async def _check_leaving(
    watch: VmWatch, backend: backends.Backend, probe: Probe
) -> None:
    """Ask an unlisted VM whether it shuts down or only lost the registry."""
    service = watch.context.table.services.get(backend.service)
    if probe.is_leaving or service is None:
        return
    probe.is_leaving = not await engines.is_staying(
        watch.context.server_caller, backend, service.health_path
    )
    log.info(
        "server that left the registry was asked whether it stays",
        vm=backend.backend_id,
        state="leaving" if probe.is_leaving else "staying",
    )


def is_report_due(
    watch: VmWatch, backend: backends.Backend, now_s: float
) -> bool:
    """Tell whether a VM is to be asked for a report now.

    VMs whose group is changing, that missed their last report or have just
    got an order are asked in each round.  The others are asked rarely right
    after a heartbeat, and more often from when the next one is expected, so
    that a loss is confirmed by the time at which their silence shows it.
    """
    probe = watch.probes.get(backend.backend_id)
    if probe is None or probe.report is None or probe.misses:
        return True
    if now_s - probe.ordered_s < ORDER_EFFECT_S:
        return True
    member = probe.report.membership
    is_settled = member is not None and (
        member.state is backends.MemberState.OPEN
        or (member.rank > 0 and member.state is backends.MemberState.READY)
    )
    period_s = SETTLED_PROBE_PERIOD_S
    if _has_fresh_heartbeat(watch, backend.backend_id, now_s):
        period_s = FRESH_PROBE_PERIOD_S
    return not is_settled or now_s - probe.report_s >= period_s


def _has_fresh_heartbeat(watch: VmWatch, vm_id: str, now_s: float) -> bool:
    heartbeat_s = watch.context.settings.platform.heartbeat_ms / 1000
    last_s = watch.context.registry.last_heartbeat_s.get(vm_id, -math.inf)
    return now_s - last_s < FRESH_HEARTBEAT_FRACTION * heartbeat_s


def note_order(
    probe: Probe,
    order: backends.Order,
    expected: int,
    outcome: backends.OrderOutcome,
    now_s: float,
) -> None:
    """Record the outcome of an order, before a report shows its effect.

    Parameters
    ----------
    expected : int
        Number of orders that the VM was expected to have begun before.
    """
    probe.ordered_s = now_s
    if outcome is backends.OrderOutcome.BEGUN:
        probe.orders = max(probe.orders, expected + 1)
    elif outcome is backends.OrderOutcome.CONFLICT and probe.report:
        # The expected count may have been wrong; the next report corrects it.
        probe.orders = probe.report.orders
    elif outcome is backends.OrderOutcome.DONE:
        _note_done(probe, order, expected)


def _note_done(probe: Probe, order: backends.Order, expected: int) -> None:
    if order.kind is not backends.OrderKind.LEAVE:
        return
    # Only a VM that was in the group counts the order, so that it refuses any
    # earlier order to join that is still on its way.
    member = probe.report.membership if probe.report else None
    left = GroupKey(order.group, order.epoch)
    if member is not None and (member.group, member.epoch) == left:
        probe.orders = max(probe.orders, expected + 1)
        probe.left = left


def _drop_left_group(probe: Probe) -> backends.Report | None:
    """Return the newest report without a group that the VM has left."""
    report = probe.report
    member = report.membership if report else None
    if member is None or (member.group, member.epoch) != probe.left:
        return report
    return dataclasses.replace(report, membership=None)


def start_probes(watch: VmWatch, vms: abc.Iterable[backends.Backend]) -> None:
    """Ask VMs for reports, except those that are being asked already."""
    for backend in vms:
        if backend.backend_id not in watch.probing:
            watch.probing.add(backend.backend_id)
            watch.nursery.start_soon(_probe, watch, backend)


def list_vms(
    watch: VmWatch, service: str, domain: str
) -> dict[str, tuple[backends.Backend, bool]]:
    """Return the VMs of a domain and whether the registry lists each."""
    listed = registry.group_by_domain(watch.context.registry, service)
    vms = {
        backend.backend_id: (backend, True)
        for backend in listed.get(domain, ())
    }
    for vm_id, (backend, _) in watch.unlisted.items():
        if (backend.service, backend.domain) == (service, domain):
            vms.setdefault(vm_id, (backend, False))
    return vms


def view_vm(
    watch: VmWatch, backend: backends.Backend, is_listed: bool
) -> domain_view.VmView:
    """Return what the planning of groups has to know of a VM."""
    probe = watch.probes.get(backend.backend_id, Probe())
    last_heartbeat_s = watch.context.registry.last_heartbeat_s.get(
        backend.backend_id, -math.inf
    )
    return domain_view.VmView(
        backend,
        is_listed,
        not is_listed and not probe.is_leaving,
        _drop_left_group(probe),
        probe.report_s,
        probe.misses,
        probe.missing_since_s,
        last_heartbeat_s,
        watch.context.placement_state.is_leaving(backend),
        probe.is_accepting,
    )
