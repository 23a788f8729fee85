"""Follows the operators' configuration and evacuations.

What an entry has accepted never reverts.  After the store was restored from
an older copy, the configuration in force stays until a newer version
arrives, and an evacuation that the copy lacks stays in force until the
operators have had time to write it again.
"""

import dataclasses
import functools
import math
import typing as t

import trio

from sycamorespool.decisions import handed_state
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.peers import peer_reads
from sycamorespool.peers import state_handover
from sycamorespool.platform import pages
from sycamorespool.platform import wire
from sycamorespool.store import topic_follower

# How long the store waits for a record.
WAIT_S = 0.8
PERIOD_S = 0.4
RETRY_S = 0.8
# How long evacuations that a restored store lacks stay in force.
RESTORE_HOLD_S = 8.0

log = logs.make_logger("store")


@dataclasses.dataclass(slots=True)
class _Reading:
    """Holds how long the next read may wait for a record."""

    wait_s: float = 0.0


def _apply_config(
    context: entry_context.EntryContext,
    value: bytes | None,
    offset: int | None = None,
) -> None:
    """Apply a configuration if it is newer; ``offset`` is that of its record.

    One without an offset comes from another entry.
    """
    if value is None:
        return
    try:
        table = wire.decode_config(value)
    except exceptions.ConfigurationError as error:
        log.error(
            "configuration is not valid, record skipped",
            offset=offset,
            error=error,
        )
        return
    if context.table is not None and table.version <= context.table.version:
        return
    context.table = table
    context.handover.config = value
    context.note_state_read()
    log.info(
        "new configuration in force",
        version=table.version,
        offset=offset,
        count=len(table.workspaces),
    )


def _apply_evacuation(
    context: entry_context.EntryContext, record: pages.KeyedRecord
) -> None:
    data_centre = record.key.removeprefix(wire.EVACUATION_PREFIX)
    evacuated = context.placement_state.evacuated
    if record.value is None:
        evacuated.discard(data_centre)
    else:
        evacuated.add(data_centre)
    log.info(
        "evacuation changed",
        data_centre=data_centre,
        state="in force" if record.value else "ended",
        offset=record.offset,
    )


def _apply_record(
    context: entry_context.EntryContext, record: pages.KeyedRecord
) -> None:
    if record.key == wire.CONFIG_KEY:
        _apply_config(context, record.value, record.offset)
    elif record.key.startswith(wire.EVACUATION_PREFIX):
        _apply_evacuation(context, record)


def _end_missing_evacuations(
    context: entry_context.EntryContext, keys: set[str]
) -> None:
    for data_centre in list(context.placement_state.evacuated):
        if wire.EVACUATION_PREFIX + data_centre not in keys:
            context.placement_state.evacuated.discard(data_centre)
            log.info(
                "evacuation changed", data_centre=data_centre, state="ended"
            )


async def _read_all(
    context: entry_context.EntryContext,
    cause: topic_follower.ReadCause,
) -> pages.Position:
    began_s = entry_context.boot_time_s()
    newest = await context.platform_store.read_newest(wire.CONFIG_TOPIC)
    known = handed_state.HandedState()
    if cause in topic_follower.FIRST_READS:
        # The store may have been restored from a copy that lacks what they
        # know.
        known = await state_handover.learn(context)
    handover = context.handover
    now_s = trio.current_time()
    if cause is topic_follower.ReadCause.RESTORED:
        handover.hold_end_s = now_s + RESTORE_HOLD_S
    elif not now_s < handover.hold_end_s < math.inf:
        handover.hold_end_s = math.inf
        keys = {record.key for record in newest.records}
        _end_missing_evacuations(context, keys)
    _apply_config(context, known.config)
    for record in newest.records:
        _apply_record(context, record)
    if known.hold_s and known.evacuated:
        _hold_evacuations(context, known, now_s)
    context.config_read_s = max(context.config_read_s, began_s)
    return newest.end


def _hold_evacuations(
    context: entry_context.EntryContext,
    known: handed_state.HandedState,
    now_s: float,
) -> None:
    """Let evacuations stay in force that other entries hold."""
    context.placement_state.evacuated |= known.evacuated
    hold_s = min(known.hold_s, RESTORE_HOLD_S)
    hold_end_s = now_s + hold_s
    if math.isinf(context.handover.hold_end_s):
        context.handover.hold_end_s = hold_end_s
    for data_centre in sorted(known.evacuated):
        log.info(
            "evacuation changed",
            data_centre=data_centre,
            state="held, as other entries do",
            age_s=hold_s,
        )


async def _read_on(
    context: entry_context.EntryContext,
    reading: _Reading,
    position: pages.Position,
) -> topic_follower.Progress:
    if trio.current_time() >= context.handover.hold_end_s:
        return await _read_newest(context)
    found = await peer_reads.read(
        context, wire.CONFIG_TOPIC, position, reading.wait_s
    )
    page = found.page
    if not page.reaches_end:
        # Only the last of many configurations matters, and none before it
        # may be taken for the newest.
        return await _read_newest(context)
    # A read that returned records shows only that they were the newest when
    # it began, which is as long ago as it waited, so the next read does not
    # wait.
    reading.wait_s = 0.0 if page.records else WAIT_S
    for record in pages.decode_keyed(page):
        _apply_record(context, record)
    context.config_read_s = max(context.config_read_s, found.as_of_s)
    return topic_follower.measure(page)


async def _read_newest(
    context: entry_context.EntryContext,
) -> topic_follower.Progress:
    """Read the newest records instead of all that were written meanwhile."""
    cause = topic_follower.ReadCause.BEHIND
    return topic_follower.Progress(await _read_all(context, cause))


async def run(context: entry_context.EntryContext) -> t.NoReturn:
    """Follow the configuration and evacuations until cancelled."""
    reading = _Reading()
    await topic_follower.follow(
        topic_follower.Topic(
            wire.CONFIG_TOPIC,
            functools.partial(_read_all, context),
            functools.partial(_read_on, context, reading),
            PERIOD_S,
            RETRY_S,
        )
    )
