"""Forms and repairs the groups of the fabric domains that an entry owns.

A fabric domain of a service is a unit of ownership.  Each unit is hashed to
a partition, and the entry to which the store assigned that partition owns
the unit.  Before the entry sends orders, it appends a claim to the store;
the claim's place in the log gives the fencing number of its orders, so that
the engines refuse the orders of earlier owners.

In each round the owner asks those of its VMs for reports that are due; in
some it also plans the groups of each unit and sends the orders of the plans.
"""

from collections import abc
import dataclasses
import functools
import math

import trio

from sycamorespool import backends
from sycamorespool.decisions import fencing
from sycamorespool.decisions.groups import domain_planner
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions import registry
from sycamorespool.decisions import rendezvous
from sycamorespool import domain_units
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool import partition_share
from sycamorespool.platform import engines
from sycamorespool.platform import pages
from sycamorespool.platform import wire
from sycamorespool import routing_table
from sycamorespool import vm_watch

# Time between plans, while all units are settled and while groups change.
SETTLED_PERIOD_S = 0.5
CHANGING_PERIOD_S = 0.15
# Time between rounds of probes while all units are settled.
PROBE_PERIOD_S = 0.25
CLAIM_RETRY_S = 1.0
# While no group of a service runs, as at the first start of a fleet, its
# first groups are formed only when no server was added for this long.
REGISTRY_SETTLE_S = 1.5

log = logs.make_logger("groups")


@dataclasses.dataclass(slots=True)
class DomainOwner:
    """Holds an entry's owned fabric domains and what it sees of their VMs.

    Parameters
    ----------
    units : dict
        The owned domains, by name.
    plan_due_s : float
        When the groups are planned next.
    """

    context: entry_context.EntryContext
    watch: vm_watch.VmWatch
    units: dict[str, domain_units.Unit] = dataclasses.field(
        default_factory=dict
    )
    plan_due_s: float = -math.inf


def _partition_of(unit: str, partitions: int) -> tuple[str, int]:
    total = len(entry_context.SHARE_TOPICS) * partitions
    number = rendezvous.weigh("partition", unit) % total
    topic, part = divmod(number, partitions)
    return entry_context.SHARE_TOPICS[topic], part


def _list_services(
    context: entry_context.EntryContext,
) -> abc.Iterator[routing_table.Service]:
    for service in context.table.services.values() if context.table else ():
        if service.engine is not None and service.engine.models:
            yield service


def _update_units(owner: DomainOwner) -> None:
    """Take over the units assigned to this entry and drop the others."""
    context = owner.context
    partitions = context.settings.platform.partitions
    assigned = set()
    for service in _list_services(context):
        for domain in registry.group_by_domain(context.registry, service.name):
            unit = domain_units.Unit(service.name, domain)
            if (
                _partition_of(unit.name, partitions)
                in context.assignment.partitions
            ):
                assigned.add(unit.name)
                owner.units.setdefault(unit.name, unit)
    for name in set(owner.units) - assigned:
        del owner.units[name]
        log.info("ownership of domain ended", unit=name)
    context.owns_domains = bool(owner.units)


async def _claim(owner: DomainOwner, unit: domain_units.Unit) -> None:
    context = owner.context
    unit.claim_after_s = trio.current_time() + CLAIM_RETRY_S
    value = partition_share.member_name(context).encode()
    record = pages.encode_keyed(unit.name, value)
    try:
        claimed = await context.platform_store.append(
            wire.CLAIM_TOPIC, [record]
        )
    except exceptions.PlatformError as error:
        log.warning(
            "claim of domain could not be appended",
            unit=unit.name,
            error=error,
        )
        return
    unit.fencing_number = fencing.make_number(claimed.timeline, claimed.offset)
    log.info("domain claimed", unit=unit.name, epoch=unit.fencing_number)


def _make_view(
    owner: DomainOwner, unit: domain_units.Unit, engine: routing_table.Engine
) -> domain_view.DomainView:
    context = owner.context
    now_s = trio.current_time()
    view = domain_view.DomainView(
        unit.fencing_number,
        now_s,
        {
            vm_id: vm_watch.view_vm(owner.watch, backend, is_listed)
            for vm_id, (backend, is_listed) in vm_watch.list_vms(
                owner.watch, unit.service, unit.domain
            ).items()
        },
        engine,
        context.settings.bounds.stall_ms / 1000,
        context.settings.platform.heartbeat_ms / 1000,
    )
    if not domain_units.has_running_group(context, unit.service):
        return view
    left = domain_units.count_loads_left(context, unit, engine, now_s)
    return dataclasses.replace(view, load_limit=left)


async def _send_order(
    owner: DomainOwner, unit: domain_units.Unit, order: backends.Order
) -> None:
    backend = owner.watch.find_backend(order.backend_id)
    probe = owner.watch.probes.get(order.backend_id)
    if backend is None or probe is None or probe.report is None:
        return
    expected = probe.orders
    server_limits.note_sent(
        owner.context.limits, order.backend_id, entry_context.boot_time_s()
    )
    outcome = await engines.send_order(
        owner.context.server_caller,
        backend.address,
        order,
        unit.fencing_number,
        expected,
    )
    log.info(
        "order sent to engine",
        vm=order.backend_id,
        name=order.kind.value,
        group=order.group,
        model=order.model,
        epoch=unit.fencing_number,
        count=expected,
        age_s=trio.current_time() - probe.report_s,
        outcome=outcome.value,
    )
    now_s = trio.current_time()
    vm_watch.note_order(probe, order, expected, outcome, now_s)
    if outcome is backends.OrderOutcome.FENCED and unit.fencing_number:
        # Another entry owns the domain, or the engine has seen a newer epoch
        # of the group.
        unit.fencing_number = 0
        unit.claim_after_s = trio.current_time() + CLAIM_RETRY_S
    if outcome is backends.OrderOutcome.UNKNOWN:
        domain_view.note_unanswered(unit.memory, order)
    vm_watch.start_probes(owner.watch, [backend])


async def _plan_and_order(owner: DomainOwner, unit: domain_units.Unit) -> None:
    """Claim a unit or, once it is claimed, plan its groups and send orders."""
    now_s = trio.current_time()
    if not unit.fencing_number:
        if now_s >= unit.claim_after_s:
            await _claim(owner, unit)
        return
    is_growing = now_s - owner.watch.server_added_s < REGISTRY_SETTLE_S
    if is_growing and not domain_units.has_running_group(
        owner.context, unit.service
    ):
        return
    service = owner.context.table.services[unit.service]
    engine = domain_units.find_engine(owner.context, service)
    view = _make_view(owner, unit, engine)
    choose = functools.partial(
        domain_units.choose_models, owner.context, unit, view
    )
    underserved = domain_units.find_underserved_models(
        owner.context, unit, view
    )
    planned = domain_planner.plan(view, unit.memory, choose, underserved)
    unit.is_settled = planned.is_settled
    unit.loads.extend([now_s] * planned.loads)
    async with trio.open_nursery() as nursery:
        for order in planned.orders:
            nursery.start_soon(_send_order, owner, unit, order)


async def run(context: entry_context.EntryContext) -> None:
    """Form and repair the groups of this entry's domains until cancelled."""
    async with trio.open_nursery() as nursery:
        owner = DomainOwner(context, vm_watch.VmWatch(context, nursery))
        while True:
            await _run_once(owner)


async def _run_once(owner: DomainOwner) -> None:
    began_s = trio.current_time()
    vm_watch.update(owner.watch, began_s)
    _update_units(owner)
    _probe_due_vms(owner, began_s)
    if began_s >= owner.plan_due_s:
        is_settled = await _plan_units(owner)
        period_s = SETTLED_PERIOD_S if is_settled else CHANGING_PERIOD_S
        owner.plan_due_s = began_s + period_s
    next_s = min(owner.plan_due_s, began_s + PROBE_PERIOD_S)
    await trio.sleep_until(next_s)


def _probe_due_vms(owner: DomainOwner, now_s: float) -> None:
    for unit in owner.units.values():
        vms = vm_watch.list_vms(
            owner.watch, unit.service, unit.domain
        ).values()
        due = [
            backend
            for backend, _ in vms
            if vm_watch.is_report_due(owner.watch, backend, now_s)
        ]
        vm_watch.start_probes(owner.watch, due)


async def _plan_units(owner: DomainOwner) -> bool:
    """Plan all units and send the orders; return whether all are settled."""
    async with trio.open_nursery() as nursery:
        for unit in list(owner.units.values()):
            nursery.start_soon(functools.partial(_plan_and_order, owner, unit))
    return all(unit.is_settled for unit in owner.units.values())
