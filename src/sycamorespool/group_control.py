"""The loops by which an owner probes VMs and carries out the group plans."""

from collections import abc
import dataclasses

import trio

from sycamorespool.backend_servers import control
from sycamorespool import checks
from sycamorespool.decisions import domain_state
from sycamorespool.decisions import group_planner
from sycamorespool.decisions import plan_draft
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
class GroupControl:
    """The running work of an owner.

    Parameters
    ----------
    probing : set
        VMs whose probe has not ended.
    unsettled : dict
        Records that may not be in the log yet, by unit and record id.
    """

    owner: owner.Owner
    nursery: trio.Nursery
    probing: set[str] = dataclasses.field(default_factory=set)
    unsettled: dict[str, dict[str, records.Record]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def env(self) -> environment.Environment:
        """The environment of this process."""
        return self.owner.env

    def list_units(self) -> list[str]:
        """Return the units of fabric domains that this process owns."""
        units = [f"domain/{domain}" for domain in self.env.domains()]
        return [unit for unit in units if self.owner.owns(unit)]


async def run(own: owner.Owner) -> None:
    """Probe, plan and act for every owned domain, for ever."""
    async with trio.open_nursery() as nursery:
        running = GroupControl(own, nursery)
        nursery.start_soon(_run_probes, running)
        nursery.start_soon(_wake_on_records, running)
        await _run_plans(running)


async def _run_probes(running: GroupControl) -> None:
    # A VM that does not answer holds up no probe of another one.
    own = running.owner
    while True:
        for unit in running.list_units():
            for name in own.list_vms(unit):
                vm = running.env.vms.get(name) or own.listed.get(name)
                if vm is not None and name not in running.probing:
                    running.probing.add(name)
                    running.nursery.start_soon(_probe, running, vm)
        await trio.sleep(PROBE_PERIOD_S)


async def _probe(running: GroupControl, vm: models.Vm) -> None:
    try:
        await owner.probe(running.owner, vm)
    finally:
        running.probing.discard(vm.vm)


async def _wake_on_records(running: GroupControl) -> None:
    while True:
        await running.env.fleet_changed.wait()
        running.owner.announce_change()


async def _run_plans(running: GroupControl) -> None:
    own = running.owner
    while True:
        with trio.move_on_after(PLAN_PERIOD_S):
            await own.changed.wait()
        own.changed = trio.Event()
        # A stopping owner still probes, since its grants rest on that.
        units = [] if own.env.is_stopping else running.list_units()
        for unit in units:
            await _plan(running, unit)
        await trio.sleep(PLAN_PAUSE_S)


async def _plan(running: GroupControl, unit: str) -> None:
    own = running.owner
    await _append(running, unit, running.unsettled.pop(unit, {}))
    memory = own.memory_of(unit)
    view = own.view(unit, trio.current_time())
    fresh: dict[str, records.Record] = {}
    for action in group_planner.plan(view, memory):
        if isinstance(action, plan_draft.Append):
            fresh[action.record.record_id] = action.record
        else:
            await _PERFORM[type(action)](running, unit, action)
    await _append(running, unit, fresh)


async def _append(
    running: GroupControl, unit: str, batch: dict[str, records.Record]
) -> None:
    if not batch:
        return
    env = running.env
    memory = running.owner.memory_of(unit)
    if not leases.may_act(env, unit):
        _forget(memory, batch)
        return
    try:
        await env.log.append(records.FLEET_STREAM, list(batch.values()))
    except exceptions.OutcomeLost as error:
        # Replay drops a record that it has seen, so appending again is safe.
        log.warning("append unknown", unit=unit, error=error)
        env.metrics.count("log_appends_failed")
        running.unsettled[unit] = batch
    except exceptions.PlatformError as error:
        log.warning("append failed", unit=unit, error=error)
        env.metrics.count("log_appends_failed")
        _forget(memory, batch)


def _forget(
    memory: domain_state.PlannerMemory, batch: abc.Iterable[str]
) -> None:
    for record_id in batch:
        group_planner.forget_record(memory, record_id)


async def _send(
    running: GroupControl, unit: str, action: plan_draft.Send
) -> None:
    running.nursery.start_soon(_send_order, running, unit, action)


def _may_send(running: GroupControl, unit: str) -> bool:
    services = running.env.fleet.config.services.values()
    is_checked = all(s.fencing == "checked" for s in services)
    fencing = "checked" if is_checked else "ignored"
    return leases.may_order(running.env, unit, fencing)


async def _send_order(
    running: GroupControl, unit: str, action: plan_draft.Send
) -> None:
    env = running.env
    vm = env.vms.get(action.vm) or running.owner.listed.get(action.vm)
    if vm is None or not _may_send(running, unit):
        return
    if not checks.check_order(env, unit, action.order.epoch):
        return
    memory = running.owner.memory_of(unit)
    try:
        await control.send_order(env.pool, vm.address, action.order)
        group_planner.confirm_order(memory, action.vm, action.order)
    except exceptions.BackendRefused:
        group_planner.confirm_order(memory, action.vm, action.order)
        env.metrics.count("orders_failed")
    except exceptions.BackendError as error:
        log.warning("order failed", vm=action.vm, error=error)
        env.metrics.count("orders_failed")
    else:
        await owner.probe(running.owner, vm)


async def _begin_drain(
    running: GroupControl, unit: str, action: plan_draft.BeginDrain
) -> None:
    log.info("drain begins", group=action.group_id, reason=action.reason)


async def _end_drain(
    running: GroupControl, unit: str, action: plan_draft.EndDrain
) -> None:
    log.info("drain ends", group=action.group_id)


async def _move_cache(
    running: GroupControl, unit: str, action: plan_draft.MoveCache
) -> None:
    env = running.env
    listed = running.owner.listed
    source, target = listed.get(action.source), listed.get(action.target)
    if source is None or target is None:
        return
    try:
        with trio.fail_after(CACHE_MOVE_TIMEOUT_S):
            await control.move_cache(env.pool, source.address, target.address)
    except (exceptions.BackendError, trio.TooSlowError) as error:
        # The group serves without the cache, only slower at first.
        log.info("cache not moved", group=action.group_id, error=error)


_PERFORM: dict[type, abc.Callable[..., abc.Awaitable[None]]] = {
    plan_draft.Send: _send,
    plan_draft.BeginDrain: _begin_drain,
    plan_draft.EndDrain: _end_drain,
    plan_draft.MoveCache: _move_cache,
}
