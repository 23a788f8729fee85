"""The owner of fabric domains: probes, groups, orders and grants."""

import dataclasses

from absl import logging
import trio

from sycamorespool.backend_servers import control
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import models
from sycamorespool import records

PLAN_PERIOD_S = 0.25
AFFIRMED_WITHIN_S = 1.5
GRANT_TTL_S = 2.0


@dataclasses.dataclass(slots=True)
class Owner:
    """What the owner knows of the VMs that it probes.

    Parameters
    ----------
    reports : dict
        Newest report and the time of its receipt, by VM.
    promised : dict
        Places and expiry of each grant, by group id and entry.
    """

    env: environment.Environment
    reports: dict[str, tuple[models.ProbeReport, float]] = dataclasses.field(
        default_factory=dict
    )
    promised: dict[str, dict[str, tuple[int, float]]] = dataclasses.field(
        default_factory=dict
    )
    claimed_s: dict[int, float] = dataclasses.field(default_factory=dict)

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
            if owner.owns(unit) and not env.is_stopping:
                await _plan(owner, domain, unit)


async def _probe(owner: Owner, vm: models.Vm) -> None:
    started_s = trio.current_time()
    try:
        report = await control.probe(owner.env.pool, vm.address)
    except exceptions.BackendError:
        return
    owner.reports[vm.vm] = (report, started_s)


async def _plan(owner: Owner, domain: str, unit: str) -> None:
    env = owner.env
    async with trio.open_nursery() as nursery:
        for vm in env.backends(domain).values():
            nursery.start_soon(_probe, owner, vm)
    batch = _dissolve_broken(owner, unit) or _form_groups(owner, domain, unit)
    if batch:
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
    try:
        await control.send_order(env.pool, env.vms[vm].address, order)
    except exceptions.BackendError as error:
        logging.warning("groups: order failed vm=%s error=%s", vm, error)
        env.metrics.count("orders_failed")


def grant(owner: Owner, ask: models.GrantAsk) -> models.GrantAnswer | None:
    """Answer an entry that asks for grants, or None if not the owner."""
    env = owner.env
    if not owner.owns(ask.unit):
        return None
    now_s = trio.current_time()
    grants = [
        given
        for group_id, group in env.fleet.groups.items()
        if group.unit == ask.unit
        and owner.is_whole(group_id, now_s)
        and (given := _grant_group(owner, group_id, ask, now_s))
    ]
    return models.GrantAnswer(ask.unit, env.fleet.config_offset, tuple(grants))


def _grant_group(
    owner: Owner, group_id: str, ask: models.GrantAsk, now_s: float
) -> models.Grant | None:
    env = owner.env
    group = env.fleet.groups[group_id]
    leader = env.vms.get(group.members[0])
    service = env.fleet.config.services.get(group.service)
    if leader is None or service is None:
        return None
    if not env.fleet.config.is_in_service(leader.data_centre, leader.vm):
        return None
    report = owner.reports[leader.vm][0]
    is_warm = report.completed >= 8
    limit = service.warm_limit if is_warm else service.cold_limit
    promised = owner.promised.setdefault(group_id, {})
    others = sum(
        places
        for entry, (places, expires_s) in promised.items()
        if entry != ask.entry and expires_s > now_s
    )
    share = -(-limit // max(1, len(env.entries())))
    places = max(0, min(share, limit - others))
    held, held_until_s = promised.get(ask.entry, (0, 0.0))
    counted = max(places, held) if held_until_s > now_s else places
    promised[ask.entry] = (counted, now_s + GRANT_TTL_S)
    return models.Grant(
        group_id,
        group.service,
        group.epoch,
        places,
        GRANT_TTL_S,
        leader.address,
        leader.data_centre,
        report.incarnation,
        is_warm,
    )
