"""Follows the platform's registry of the backend servers."""

import functools
import typing as t

import trio

from sycamorespool import backends
from sycamorespool.decisions import handed_state
from sycamorespool.decisions import registry
from sycamorespool import entry_context
from sycamorespool import logs
from sycamorespool.peers import peer_reads
from sycamorespool.peers import state_handover
from sycamorespool.platform import pages
from sycamorespool.platform import wire
from sycamorespool.store import topic_follower

PERIOD_S = 0.5
RETRY_S = 0.8

log = logs.make_logger("store")


def _apply_record(
    context: entry_context.EntryContext,
    record: pages.KeyedRecord,
    now_s: float,
) -> None:
    backend = None
    if record.value is not None:
        backend = wire.decode_backend(record.key, record.value)
        if backend is None:
            log.warning(
                "registry entry is not valid, record skipped",
                vm=record.key,
                offset=record.offset,
            )
            return
    before = context.registry.servers.get(record.key)
    is_applied = registry.apply_entry(
        context.registry, record.key, backend, now_s
    )
    if not is_applied:
        log.info(
            "registry entry was written late, record skipped",
            vm=record.key,
            offset=record.offset,
        )
        return
    if backend is not None:
        context.placement_state.clear_stale_suspicion(before, backend)
    _log_change(record, before, backend)


def _describe(backend: backends.Backend | None) -> str:
    if backend is None:
        return "gone"
    if backend.is_draining:
        return "draining"
    member = backend.membership
    return f"{member.group}/{member.state}" if member else "ready"


def _log_change(
    record: pages.KeyedRecord,
    before: backends.Backend | None,
    after: backends.Backend | None,
) -> None:
    was, now = _describe(before), _describe(after)
    if was != now:
        log.info(
            "backend server changed",
            vm=record.key,
            state=now,
            offset=record.offset,
        )


async def _read_all(
    context: entry_context.EntryContext, cause: topic_follower.ReadCause
) -> pages.Position:
    newest = await context.platform_store.read_newest(wire.REGISTRY_TOPIC)
    handed = handed_state.HandedState()
    if cause in topic_follower.FIRST_READS:
        handed = await state_handover.learn(context)
    now_s = trio.current_time()
    entries = {
        record.key: wire.decode_backend(record.key, record.value)
        for record in newest.records
        if record.value is not None
    }
    gone = handed.removed
    if cause is topic_follower.ReadCause.STARTED:
        gone = handed_state.find_gone(handed, entries)
    registry.apply_removed(context.registry, gone, now_s)
    if cause is topic_follower.ReadCause.RESTORED:
        registry.apply_restored(context.registry, entries, now_s)
    else:
        registry.replace_all(context.registry, entries, now_s)
    context.has_registry = True
    context.note_state_read()
    log.info(
        "whole registry read", count=len(entries), offset=newest.end.offset
    )
    _forget_removed(context)
    return newest.end


async def _read_on(
    context: entry_context.EntryContext, position: pages.Position
) -> topic_follower.Progress:
    now_s = trio.current_time()
    found = await peer_reads.read(context, wire.REGISTRY_TOPIC, position, 0.0)
    for record in pages.decode_keyed(found.page):
        _apply_record(context, record, now_s)
    _forget_removed(context)
    return topic_follower.measure(found.page)


def _forget_removed(context: entry_context.EntryContext) -> None:
    gone = registry.forget_removed(context.registry, trio.current_time())
    context.forget_servers(gone)


def _note_outage(context: entry_context.EntryContext) -> None:
    registry.note_outage_end(context.registry, trio.current_time())


async def run(context: entry_context.EntryContext) -> t.NoReturn:
    """Follow the registry of the backend servers until cancelled."""
    await topic_follower.follow(
        topic_follower.Topic(
            wire.REGISTRY_TOPIC,
            functools.partial(_read_all, context),
            functools.partial(_read_on, context),
            PERIOD_S,
            RETRY_S,
            functools.partial(_note_outage, context),
        )
    )
