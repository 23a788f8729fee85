"""The owner of fabric domains: probes, groups and orders."""

import dataclasses

from absl import logging
import trio

from sycamorespool.backend_servers import control
from sycamorespool.backend_servers import probes
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import leases
from sycamorespool import models
from sycamorespool import records

PLAN_PERIOD_S = 0.5
AFFIRMED_WITHIN_S = 1.5


@dataclasses.dataclass(slots=True)
class Owner:
    """What the owner knows of the VMs that it probes.

    Parameters
    ----------
    reports : dict
        Newest report and the time of its receipt, by VM.
    """

    env: environment.Environment
    prober: probes.Prober = dataclasses.field(default_factory=probes.Prober)
    reports: dict[str, tuple[models.ProbeReport, float]] = dataclasses.field(
        default_factory=dict
    )

    def owns(self, unit: str) -> bool:
        """Tell whether this process is the owner of record of a unit."""
        owner = self.env.fleet.owners.get(unit)
        return owner is not None and (owner.entry, owner.incarnation) == (
            self.env.name,
            self.env.incarnation,
        )

    def is_alive(self, vm: str, now_s: float) -> bool:
        """Tell whether a VM answered a probe lately."""
        known = self.reports.get(vm)
        return known is not None and now_s - known[1] < AFFIRMED_WITHIN_S

    def is_whole(self, group_id: str, now_s: float) -> bool:
        """Tell whether every member lately affirmed the group as ready."""
        group = self.env.fleet.groups[group_id]
        for vm in group.members:
            report, received_s = self.reports.get(vm, (None, 0.0))
            is_affirmed = (
                report is not None
                and now_s - received_s < AFFIRMED_WITHIN_S
                and report.group_id == group_id
                and report.epoch == group.epoch
                and report.phase is models.EnginePhase.READY
            )
            if not is_affirmed:
                return False
        return True


async def run(owner: Owner) -> None:
    """Plan for every owned domain, for ever."""
    env = owner.env
    while True:
        await trio.sleep(PLAN_PERIOD_S)
        for domain in env.domains():
            unit = f"domain/{domain}"
            if leases.may_act(env, unit) and not env.is_stopping:
                await _plan(owner, domain, unit)


async def probe(owner: Owner, vm: models.Vm) -> None:
    """Probe a VM and keep its report."""
    started_s = trio.current_time()
    try:
        report = await owner.prober.probe(vm.address)
    except exceptions.BackendError:
        return
    owner.reports[vm.vm] = (report, started_s)


async def _plan(owner: Owner, domain: str, unit: str) -> None:
    env = owner.env
    async with trio.open_nursery() as nursery:
        for vm in env.backends(domain).values():
            nursery.start_soon(probe, owner, vm)
    batch = _dissolve_broken(owner, unit) or _form_groups(owner, domain, unit)
    if batch and leases.may_act(env, unit):
        try:
            await env.log.append(records.FLEET_STREAM, batch)
        except exceptions.PlatformError as error:
            logging.warning("groups: append failed unit=%s %s", unit, error)
            env.metrics.count("log_appends_failed")
    async with trio.open_nursery() as nursery:
        for group in env.fleet.groups.values():
            if group.unit == unit:
                for rank, vm in enumerate(group.members):
                    nursery.start_soon(_order, owner, group.group_id, rank, vm)


def _dissolve_broken(owner: Owner, unit: str) -> list[records.Record]:
    now_s = trio.current_time()
    return [
        records.GroupDissolved(
            environment.make_id(),
            unit,
            owner.env.fleet.epoch_of(unit),
            group.group_id,
            "a member is missing",
        )
        for group in owner.env.fleet.groups.values()
        if group.unit == unit
        and not all(owner.is_alive(vm, now_s) for vm in group.members)
    ]


def _form_groups(owner: Owner, domain: str, unit: str) -> list[records.Record]:
    env = owner.env
    now_s = trio.current_time()
    free = [
        vm
        for vm in env.backends(domain).values()
        if vm.vm not in env.fleet.group_of_vm
        and vm.state is models.VmState.LIVE
        and env.fleet.config.is_in_service(vm.data_centre, vm.vm)
        and owner.is_alive(vm.vm, now_s)
    ]
    batch: list[records.Record] = []
    for name, service in env.fleet.config.services.items():
        role = "engine" if service.kind == "model" else f"service/{name}"
        fitting = sorted(vm.vm for vm in free if vm.role == role)
        count = sum(g.service == name for g in env.fleet.groups.values())
        members = tuple(fitting[: service.group_size])
        if count < service.replicas and len(members) == service.group_size:
            free = [vm for vm in free if vm.vm not in members]
            batch.append(
                records.GroupFormed(
                    environment.make_id(),
                    unit,
                    env.fleet.epoch_of(unit),
                    f"{name}-{environment.make_id()[:8]}",
                    name,
                    members,
                )
            )
    return batch


async def _order(owner: Owner, group_id: str, rank: int, vm: str) -> None:
    env = owner.env
    group = env.fleet.groups.get(group_id)
    report, _ = owner.reports.get(vm, (None, 0.0))
    if group is None or report is None or vm not in env.vms:
        return
    if (report.group_id, report.epoch) == (group_id, group.epoch):
        return
    service = env.fleet.config.services[group.service]
    order = models.JoinOrder(
        group.epoch,
        group_id,
        rank,
        group.members,
        f"{service.model}@{service.version}#{rank}",
    )
    if not leases.may_order(env, group.unit, service.fencing):
        return
    try:
        await control.send_order(env.order_pool, env.vms[vm].address, order)
    except exceptions.BackendError as error:
        logging.warning("groups: order failed vm=%s error=%s", vm, error)
        env.metrics.count("orders_failed")
