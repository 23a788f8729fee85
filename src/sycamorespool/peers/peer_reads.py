"""Reads the store through another entry of the data centre, if possible.

One entry of a data centre reads the store, and the others read from it,
which saves reads of the store.  Each entry caches the newest records of the
topics that it reads, with the age of what they show, and serves them to
entries that ask.  A record keeps its offset, so that an entry can go on
from the store or from another entry at any time::

    found = await read(context, topic, position, wait_s)
    apply(found.page)
    known_until_s = max(known_until_s, found.as_of_s)
"""

import dataclasses
import math

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.decisions import store_readers
from sycamorespool import decoding
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import logs
from sycamorespool.platform import pages

PATH = "/records"
PEER_TIMEOUT_S = 0.3
# An entry that knows the store as of an earlier time than this ago cannot
# reach it, or has fallen behind.
MAX_READ_AGE_S = 1.1
# Length of the records of one answer, as long as a read of the store.
MAX_SERVED_BYTES = 1024 * 1024

log = logs.make_logger("reads")


class PeerRecords(msgspec.Struct, array_like=True):
    """Holds the records of a topic that an entry serves to another.

    Parameters
    ----------
    age_s : float
        Time since the store had nothing newer than these records.
    timeline : int
        Timeline of the store to which their offsets belong.
    """

    age_s: decoding.Amount
    records: list[bytes]
    timeline: decoding.Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TopicRead:
    """Holds what one read of a topic showed.

    Parameters
    ----------
    page : Page
        The records that were read.
    as_of_s : float
        Latest time known at which the store had nothing newer than the page,
        by :func:`entry_context.boot_time_s`; minus infinity if none is known,
        as with a page that does not reach the end of the log.
    """

    page: pages.Page
    as_of_s: float


def make_app(context: entry_context.EntryContext) -> asgi.App:
    """Return the application that serves cached records to other entries."""

    async def handle(request: asgi.Request) -> asgi.Response:
        cache = context.record_caches.get(request.query.get("topic", ""))
        start = _parse_position(request)
        if request.path != PATH or cache is None or start is None:
            return asgi.Response(404)
        context.entry_directory.last_followed_s = trio.current_time()
        records = cache.find_from(start)
        if records is None or math.isinf(cache.as_of_s):
            return asgi.Response(410)
        if sum(map(len, records)) > MAX_SERVED_BYTES:
            # An entry that far behind reads the store, in several reads.
            return asgi.Response(410)
        age_s = entry_context.boot_time_s() - cache.as_of_s
        found = PeerRecords(age_s, records, cache.next.timeline)
        body = msgspec.msgpack.encode(found)
        return asgi.Response(200, body, "application/msgpack")

    return asgi.make_app(handle)


def _parse_position(request: asgi.Request) -> pages.Position | None:
    timeline = decoding.read_count(request.query.get("timeline", "0"))
    offset = decoding.read_count(request.query.get("from", ""))
    if timeline is None or offset is None:
        return None
    return pages.Position(timeline, offset)


async def _fetch_from_peer(
    context: entry_context.EntryContext,
    address: str,
    topic: str,
    start: pages.Position,
    max_age_s: float,
) -> PeerRecords:
    """Fetch the records of a topic from another entry.

    Raises
    ------
    PeerError
        If it does not answer, has none or has not read the store recently.
    """
    url = (
        f"http://{address}{PATH}?topic={topic}&from={start.offset}"
        f"&timeline={start.timeline}"
    )
    try:
        answer = await http_client.exchange(
            context.peer_pool, "GET", url, timeout_s=PEER_TIMEOUT_S
        )
    except (http_client.NotReached, http_client.ExchangeFailed) as error:
        raise exceptions.PeerUnavailable(str(error)) from error
    if answer.status != 200:
        raise exceptions.PeerRejected(f"the peer answered {answer.status}")
    try:
        fetched = decoding.decode_msgpack(answer.body, PeerRecords)
    except exceptions.Undecodable as error:
        raise exceptions.PeerRejected(str(error)) from error
    if fetched.timeline != start.timeline:
        raise exceptions.PeerRejected(
            f"the peer's records are of timeline {fetched.timeline}"
        )
    if fetched.age_s > max_age_s:
        raise exceptions.PeerUnavailable(
            f"the peer knows the store as of {fetched.age_s:.1f} s ago"
        )
    return fetched


async def read(
    context: entry_context.EntryContext,
    topic: str,
    start: pages.Position,
    wait_s: float,
    max_age_s: float = MAX_READ_AGE_S,
) -> TopicRead:
    """Read a topic from a position on, from another entry or the store.

    Parameters
    ----------
    wait_s : float
        How long the store may wait for a record.
    max_age_s : float
        How old what another entry knows of the store may be.

    Raises
    ------
    PlatformError
        As :meth:`store.Store.read` raises it.
    """
    with trio.move_on_at(context.directory_due_s):
        await context.directory_read.wait()
    context.platform_store.check_position(start)
    found = await _read_from_peer(context, topic, start, max_age_s)
    if found is None:
        found = await _read_from_store(context, topic, start, wait_s)
    context.record_cache_of(topic).add_page(found.page, found.as_of_s)
    return found


async def _read_from_store(
    context: entry_context.EntryContext,
    topic: str,
    start: pages.Position,
    wait_s: float,
) -> TopicRead:
    began_s = entry_context.boot_time_s()
    page = await context.platform_store.read(topic, start, wait_s=wait_s)
    ended_s = entry_context.boot_time_s()
    return TopicRead(page, _find_as_of_s(page, began_s, wait_s, ended_s))


def _find_as_of_s(
    page: pages.Page, began_s: float, wait_s: float, ended_s: float
) -> float:
    """Return when the store had nothing newer than a page that it returned.

    Parameters
    ----------
    began_s, ended_s : float
        When the read began and ended.
    wait_s : float
        How long the store was to wait for a record.
    """
    if not page.reaches_end:
        return -math.inf
    if page.records or ended_s < began_s + wait_s:
        return began_s
    # No record arrived while the store waited.
    return began_s + wait_s


async def _read_from_peer(
    context: entry_context.EntryContext,
    topic: str,
    start: pages.Position,
    max_age_s: float,
) -> TopicRead | None:
    name = store_readers.choose(
        context.entry_directory, context.name, trio.current_time()
    )
    if name is None:
        return None
    began_s = entry_context.boot_time_s()
    address = context.entry_directory.entries[name].address
    try:
        fetched = await _fetch_from_peer(
            context, address, topic, start, max_age_s
        )
    except exceptions.PeerError as error:
        does_answer = isinstance(error, exceptions.PeerRejected)
        now_s = trio.current_time()
        store_readers.exclude(
            context.entry_directory, name, now_s, does_answer
        )
        log.info(
            "records could not be read from a peer, the store is read",
            entry=name,
            name=topic,
            error=error,
        )
        return None
    records = tuple(fetched.records)
    # The peer's age counts from when the store ended with these records.
    end = start.offset + len(records)
    page = pages.Page(start.offset, end, 0, records, start.timeline)
    return TopicRead(page, began_s - fetched.age_s)
