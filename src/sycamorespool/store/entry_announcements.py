"""Announces this entry to the others and follows their announcements."""

import contextlib
import dataclasses
import functools

import msgspec
import trio

from sycamorespool.decisions import store_readers
from sycamorespool import decoding
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.platform import pages
from sycamorespool.platform import store
from sycamorespool.platform import wire
from sycamorespool import sockets
from sycamorespool.store import topic_follower

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
    number: decoding.Count = 0


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
        found.address, found.data_centre, found.link_mbps, found.number
    )


async def read_announced(
    platform_store: store.Store,
) -> dict[str, store_readers.Entry]:
    """Return the entries that have announced themselves, by name.

    Raises
    ------
    PlatformError
        If there was no answer.
    """
    newest = await platform_store.read_newest(wire.ENTRIES_TOPIC)
    found = {}
    for record in newest.records:
        with contextlib.suppress(exceptions.Undecodable):
            found[record.key] = _decode(record.value or b"")
    return found


@dataclasses.dataclass(slots=True)
class _Announcer:
    """Announces this entry, and again if another announcement replaced it.

    An announcement of its former process may be written late, over its own.

    Parameters
    ----------
    number : int
        Number of its newest announcement, the start of the process if there
        was no higher one.
    is_replaced : bool
        Whether the newest announcement under its name is not its own.
    """

    context: entry_context.EntryContext
    number: int
    is_replaced: bool = False

    def make_entry(self) -> store_readers.Entry:
        """Return what this entry announces."""
        settings = self.context.settings
        return store_readers.Entry(
            settings.listen.peers,
            settings.entry.data_centre,
            settings.entry.link_mbps,
            self.number,
        )

    async def announce(self) -> None:
        """Announce this entry's address in the store; retry until it works."""
        content = pages.encode_keyed(
            self.context.name, msgspec.json.encode(self.make_entry())
        )
        while True:
            try:
                await self.context.platform_store.append(
                    wire.ENTRIES_TOPIC, [content]
                )
            except exceptions.PlatformError as error:
                log.warning("this entry could not be announced", error=error)
                await trio.sleep(ANNOUNCE_RETRY_S)
                continue
            self.is_replaced = False
            return

    async def announce_again(self) -> None:
        """Announce this entry if another announcement replaced its own."""
        if self.is_replaced and not self.context.is_stopping:
            await self.announce()

    def apply_record(self, record: pages.KeyedRecord) -> None:
        """Apply an announcement of any entry; skip one that is not valid."""
        directory = self.context.entry_directory
        if record.value is None:
            directory.entries.pop(record.key, None)
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
        if record.key == self.context.name:
            self._compare(found)
            found = self.make_entry()
        if not store_readers.note_announced(directory, record.key, found):
            log.info("announcement was written late", entry=record.key)

    def _compare(self, found: store_readers.Entry) -> None:
        """Find out whether this entry's own announcement was replaced."""
        self.is_replaced = found != self.make_entry()
        if self.is_replaced:
            self.number = max(self.number, found.number + 1)


async def _read_all(
    context: entry_context.EntryContext,
    announcer: _Announcer,
    cause: topic_follower.ReadCause,
) -> pages.Position:
    if cause is topic_follower.ReadCause.RESTORED:
        # The copy may lack this entry's announcement.
        await announcer.announce()
    newest = await context.platform_store.read_newest(wire.ENTRIES_TOPIC)
    for record in newest.records:
        announcer.apply_record(record)
    context.directory_read.set()
    await announcer.announce_again()
    await trio.sleep(PAUSE_S)
    return newest.end


async def _read_on(
    context: entry_context.EntryContext,
    announcer: _Announcer,
    position: pages.Position,
) -> topic_follower.Progress:
    page = await context.platform_store.read(
        wire.ENTRIES_TOPIC, position, wait_s=WAIT_S
    )
    for record in pages.decode_keyed(page):
        announcer.apply_record(record)
    await announcer.announce_again()
    progress = topic_follower.measure(page)
    if not progress.is_behind:
        await trio.sleep(PAUSE_S)
    return progress


async def run(context: entry_context.EntryContext) -> None:
    """Announce this entry and follow the list of entries until cancelled."""
    announcer = _Announcer(context, context.incarnation)
    await announcer.announce()
    await trio.sleep(START_DELAY_S)
    await topic_follower.follow(
        topic_follower.Topic(
            wire.ENTRIES_TOPIC,
            functools.partial(_read_all, context, announcer),
            functools.partial(_read_on, context, announcer),
            0.0,
            RETRY_S,
        )
    )
