"""Probes the VMs of the owned fabric domains and carries out group plans.

The group planner decides; the loops here probe backend servers, append the
planned records to the log, and send orders.
"""

from collections import abc
import dataclasses

import trio

from sycamorespool.backend_servers import control
from sycamorespool import checks
from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import group_planner
from sycamorespool.decisions.groups import plan_draft
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import leases
from sycamorespool import logs
from sycamorespool import models
from sycamorespool import owner
from sycamorespool import records

PROBE_PERIOD_S = 0.5
PLAN_PERIOD_S = 0.5
PLAN_PAUSE_S = 0.05
CACHE_MOVE_TIMEOUT_S = 2.0

log = logs.make_logger("groups")


@dataclasses.dataclass(slots=True)
class GroupController:
    """Holds the tasks of an owner that probe and carry out plans.

    Parameters
    ----------
    probing : set
        VMs whose probe has not ended.
    unconfirmed : dict
        Records whose append had no answer, so that they may not be in the
        log, by unit and record id.
    """

    owner: owner.Owner
    nursery: trio.Nursery
    probing: set[str] = dataclasses.field(default_factory=set)
    unconfirmed: dict[str, dict[str, records.Record]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def env(self) -> environment.Environment:
        """Return the environment of this process."""
        return self.owner.env

    def list_units(self) -> list[str]:
        """Return the units of fabric domains that this process owns."""
        units = [f"domain/{domain}" for domain in self.env.domains()]
        return [unit for unit in units if self.owner.owns(unit)]


async def run(own: owner.Owner) -> None:
    """Probe VMs, make plans and carry them out for all owned domains."""
    async with trio.open_nursery() as nursery:
        controller = GroupController(own, nursery)
        nursery.start_soon(_run_probes, controller)
        nursery.start_soon(_wake_on_records, controller)
        await _run_plans(controller)


async def _run_probes(controller: GroupController) -> None:
    # Each probe is a task, so that a VM that does not answer delays no other.
    own = controller.owner
    while True:
        for unit in controller.list_units():
            for name in own.list_vms(unit):
                vm = controller.env.vms.get(name) or own.listed.get(name)
                if vm is not None and name not in controller.probing:
                    controller.probing.add(name)
                    controller.nursery.start_soon(_probe, controller, vm)
        await trio.sleep(PROBE_PERIOD_S)


async def _probe(controller: GroupController, vm: models.Vm) -> None:
    try:
        await owner.probe(controller.owner, vm)
    finally:
        controller.probing.discard(vm.vm)


async def _wake_on_records(controller: GroupController) -> None:
    while True:
        await controller.env.fleet_changed.wait()
        controller.owner.announce_change()


async def _run_plans(controller: GroupController) -> None:
    own = controller.owner
    while True:
        with trio.move_on_after(PLAN_PERIOD_S):
            await own.changed.wait()
        own.changed = trio.Event()
        # A stopping owner plans no more, but still probes, since its grants
        # depend on the reports.
        units = [] if own.env.is_stopping else controller.list_units()
        for unit in units:
            await _plan(controller, unit)
        await trio.sleep(PLAN_PAUSE_S)


async def _plan(controller: GroupController, unit: str) -> None:
    own = controller.owner
    await _append(controller, unit, controller.unconfirmed.pop(unit, {}))
    memory = own.memory_of(unit)
    view = own.view(unit, trio.current_time())
    new_records: dict[str, records.Record] = {}
    for action in group_planner.plan(view, memory):
        if isinstance(action, plan_draft.Append):
            new_records[action.record.record_id] = action.record
        else:
            await _ACTION_HANDLERS[type(action)](controller, unit, action)
    await _append(controller, unit, new_records)


async def _append(
    controller: GroupController, unit: str, batch: dict[str, records.Record]
) -> None:
    if not batch:
        return
    env = controller.env
    memory = controller.owner.memory_of(unit)
    if not leases.may_act(env, unit):
        _forget_records(memory, batch)
        return
    try:
        await env.log.append(records.FLEET_STREAM, list(batch.values()))
    except exceptions.OutcomeLost as error:
        # Appending again is safe: replay drops a record that it has seen.
        log.warning(
            "records may not have been appended, will be appended again",
            unit=unit,
            error=error,
        )
        env.metrics.count("log_appends_failed")
        controller.unconfirmed[unit] = batch
    except exceptions.PlatformError as error:
        log.warning("could not append group records", unit=unit, error=error)
        env.metrics.count("log_appends_failed")
        _forget_records(memory, batch)


def _forget_records(
    memory: domain_state.PlannerMemory, batch: abc.Iterable[str]
) -> None:
    for record_id in batch:
        group_planner.forget_record(memory, record_id)


async def _send(
    controller: GroupController, unit: str, action: plan_draft.Send
) -> None:
    controller.nursery.start_soon(_send_order, controller, unit, action)


def _may_send(controller: GroupController, unit: str) -> bool:
    services = controller.env.fleet.config.services.values()
    is_checked = all(s.fencing == "checked" for s in services)
    fencing = "checked" if is_checked else "ignored"
    return leases.may_order(controller.env, unit, fencing)


async def _send_order(
    controller: GroupController, unit: str, action: plan_draft.Send
) -> None:
    env = controller.env
    vm = env.vms.get(action.vm) or controller.owner.listed.get(action.vm)
    if vm is None or not _may_send(controller, unit):
        return
    if not checks.check_order(env, unit, action.order.epoch):
        return
    memory = controller.owner.memory_of(unit)
    try:
        await control.send_order(env.pool, vm.address, action.order)
        group_planner.confirm_order(memory, action.vm, action.order)
    except exceptions.BackendRefused:
        group_planner.confirm_order(memory, action.vm, action.order)
        env.metrics.count("orders_failed")
    except exceptions.BackendError as error:
        log.warning(
            "backend server did not confirm an order",
            vm=action.vm,
            error=error,
        )
        env.metrics.count("orders_failed")
    else:
        await owner.probe(controller.owner, vm)


async def _begin_drain(
    controller: GroupController, unit: str, action: plan_draft.BeginDrain
) -> None:
    log.info(
        "group begins to drain", group=action.group_id, reason=action.reason
    )


async def _end_drain(
    controller: GroupController, unit: str, action: plan_draft.EndDrain
) -> None:
    log.info("drain of group ended", group=action.group_id)


async def _move_cache(
    controller: GroupController, unit: str, action: plan_draft.MoveCache
) -> None:
    env = controller.env
    listed = controller.owner.listed
    source, target = listed.get(action.source), listed.get(action.target)
    if source is None or target is None:
        return
    try:
        with trio.fail_after(CACHE_MOVE_TIMEOUT_S):
            await control.move_cache(env.pool, source.address, target.address)
    except (exceptions.BackendError, trio.TooSlowError) as error:
        # The group serves without the cache too, but is slower at first.
        log.info(
            "could not move the prefix cache of a group",
            group=action.group_id,
            error=error,
        )


_ACTION_HANDLERS: dict[type, abc.Callable[..., abc.Awaitable[None]]] = {
    plan_draft.Send: _send,
    plan_draft.BeginDrain: _begin_drain,
    plan_draft.EndDrain: _end_drain,
    plan_draft.MoveCache: _move_cache,
}
