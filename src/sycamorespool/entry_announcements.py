"""Announces this entry to the others and follows their announcements."""

import functools
import typing as t

import msgspec
import trio

from sycamorespool.decisions import store_readers
from sycamorespool import decoding
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.platform import pages
from sycamorespool.platform import wire
from sycamorespool import sockets
from sycamorespool import topic_follower

# How long the store waits for a record.
WAIT_S = 20.0
# Pause between two reads.
PAUSE_S = 15.0
RETRY_S = 2.0
ANNOUNCE_RETRY_S = 0.8
# Delay of the first read.  Entries that start together are all found by that
# read, which returns all records, and not by one read each.
START_DELAY_S = 0.8

log = logs.make_logger("store")


class _Announcement(msgspec.Struct):
    address: str
    data_centre: str
    link_mbps: decoding.Amount = 0.0


def _decode(value: bytes) -> store_readers.Entry:
    """Decode an announcement.

    Raises
    ------
    Undecodable
        If it is not valid.
    """
    found = decoding.decode_json(value, _Announcement)
    if not sockets.is_address(found.address):
        raise exceptions.Undecodable("the address is no IP:port")
    return store_readers.Entry(
        found.address, found.data_centre, found.link_mbps
    )


def _apply_record(
    context: entry_context.EntryContext, record: pages.KeyedRecord
) -> None:
    entries = context.entry_directory.entries
    if record.value is None:
        entries.pop(record.key, None)
        return
    try:
        found = _decode(record.value)
    except exceptions.Undecodable as error:
        log.warning(
            "announcement of an entry is not valid, record skipped",
            entry=record.key,
            error=error,
        )
        return
    entries[record.key] = found


async def _announce(context: entry_context.EntryContext) -> None:
    """Announce this entry's address in the store; retry until it works."""
    own = store_readers.Entry(
        context.settings.listen.peers,
        context.settings.entry.data_centre,
        context.settings.entry.link_mbps,
    )
    content = pages.encode_keyed(context.name, msgspec.json.encode(own))
    while True:
        try:
            await context.platform_store.append(wire.ENTRIES_TOPIC, [content])
        except exceptions.PlatformError as error:
            log.warning("this entry could not be announced", error=error)
            await trio.sleep(ANNOUNCE_RETRY_S)
            continue
        return


async def _read_all(
    context: entry_context.EntryContext, cause: topic_follower.ReadCause
) -> pages.Position:
    if cause is topic_follower.ReadCause.RESTORED:
        # The copy may lack this entry's announcement.
        await _announce(context)
    newest = await context.platform_store.read_newest(wire.ENTRIES_TOPIC)
    for record in newest.records:
        _apply_record(context, record)
    context.directory_read.set()
    await trio.sleep(PAUSE_S)
    return newest.end


async def _read_on(
    context: entry_context.EntryContext, position: pages.Position
) -> pages.Position:
    page = await context.platform_store.read(
        wire.ENTRIES_TOPIC, position, wait_s=WAIT_S
    )
    for record in pages.decode_keyed(page):
        _apply_record(context, record)
    await trio.sleep(PAUSE_S)
    return page.next


async def run(context: entry_context.EntryContext) -> t.NoReturn:
    """Announce this entry and follow the list of entries until cancelled."""
    await _announce(context)
    await trio.sleep(START_DELAY_S)
    await topic_follower.follow(
        topic_follower.Topic(
            wire.ENTRIES_TOPIC,
            functools.partial(_read_all, context),
            functools.partial(_read_on, context),
            0.0,
            RETRY_S,
        )
    )
