"""Calls a hosted platform's store, a log with partitioned topics.

The records of a partition are numbered by offsets.  In a keyed topic the
newest record of each key never expires.  The store also has consumer groups,
among whose members it divides the partitions of topics::

    store = Store(pool, "10.0.0.1:8000")
    newest = await store.read_newest("keyed.op")
    page = await store.read("keyed.op", newest.end, wait_s=1.0)
    for record in pages.decode_keyed(page):
        ...

The store may be restored from a copy that lacks the newest records.  Offsets
are then given out again, on a new timeline whose number is higher.  So the
positions that the calls take and return name the timeline of their offset.
"""

import base64
from collections import abc
import dataclasses
import functools
import struct
import typing as t
import urllib.parse

import msgspec

from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool.platform import pages

CALL_TIMEOUT_S = 1.0
MAX_PAGES = 10_000
# A higher timeline is not valid: fencing numbers have no room for it.
MAX_TIMELINE = 2**28
TIMELINE_HEADER = "store-era"


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """Holds the newest record of each key, and where to read on from."""

    records: tuple[pages.KeyedRecord, ...]
    end: pages.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Holds the partitions that the store assigned to a member of a group.

    Parameters
    ----------
    generation : int
        Version of the group's assignments.
    partitions : frozenset
        Pairs of a topic and the number of a partition.
    timeline : int
        Timeline of the store on which the generation counts.
    """

    generation: int
    partitions: frozenset[tuple[str, int]]
    timeline: int = 0


class _Appended(msgspec.Struct):
    offset: decoding.Count
    end: decoding.Count


class _Item(msgspec.Struct):
    key: str
    offset: decoding.Count
    value: str = ""


class _Items(msgspec.Struct):
    items: list[_Item]
    end: decoding.Count
    more: bool = False


class _Expired(msgspec.Struct):
    first: decoding.Count = 0


class _Joined(msgspec.Struct):
    generation: decoding.Count
    parts: list[tuple[str, decoding.Count, decoding.Integer]]


class Store:
    """Calls the platform's store.

    Parameters
    ----------
    pool : http_client.Pool
        Connections to use.
    address : str
        ``IP:port`` of the store.

    Attributes
    ----------
    calls : int
        Number of calls made to the store.
    timeline : int or None
        Newest timeline that an answer named; None before the first.
    """

    def __init__(self, pool: http_client.Pool, address: str) -> None:
        self._pool = pool
        self._base = f"http://{address}/api/log-"
        self.calls = 0
        self.timeline: int | None = None

    @property
    def newest_timeline(self) -> int:
        """Return the newest known timeline, 0 if the store names none."""
        return self.timeline or 0

    def check_position(self, position: pages.Position) -> None:
        """Check that a position is on the newest known timeline.

        Raises
        ------
        TimelineChanged
            If it is on another one.
        """
        if position.timeline != self.newest_timeline:
            raise exceptions.TimelineChanged(
                position.timeline, self.newest_timeline
            )

    def _note_timeline(self, name: str, answer: http_client.Response) -> None:
        text = answer.headers.get(TIMELINE_HEADER, "")
        timeline = decoding.read_count(text)
        if timeline is None or timeline > MAX_TIMELINE:
            return
        if timeline < self.newest_timeline:
            raise exceptions.OutcomeLost(
                f"{name}: the answer is from before the store was restored"
            )
        self.timeline = timeline

    async def _call(
        self,
        method: str,
        name: str,
        query: abc.Mapping[str, t.Any] | None = None,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> http_client.Response:
        url = self._base + name
        if query:
            url += f"?{urllib.parse.urlencode(query)}"
        self.calls += 1
        try:
            answer = await http_client.exchange(
                self._pool, method, url, body, timeout_s
            )
        except http_client.NotReached as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        except http_client.ExchangeFailed as error:
            raise exceptions.OutcomeLost(str(error)) from error
        self._note_timeline(name, answer)
        if answer.status in (429, 503, 507):
            raise exceptions.PlatformUnavailable(f"{name}: {answer.status}")
        return answer

    async def append(
        self, topic: str, contents: abc.Sequence[bytes], part: int = 0
    ) -> pages.Position:
        """Append all records or none; return the position of the first.

        Raises
        ------
        PlatformUnavailable
            If nothing was appended.
        OutcomeLost
            If they may have been appended, or may still be.  That is so,
            too, if the store was restored during the call: the offset may
            be one of the former timeline.
        """
        body = b"".join(pages.LENGTH.pack(len(c)) + c for c in contents)
        query = {"topic": topic, "part": part}
        before = self.timeline
        answer = await self._call("POST", "append", query, body)
        if before not in (None, self.timeline):
            raise exceptions.OutcomeLost(
                "append: the store was restored during the call"
            )
        offset = _decode("append", answer, _Appended).offset
        return pages.Position(self.newest_timeline, offset)

    async def read(
        self,
        topic: str,
        start: pages.Position,
        part: int = 0,
        wait_s: float = 0.0,
    ) -> pages.Page:
        """Read records from a position on; wait up to ``wait_s`` for one.

        Raises
        ------
        RecordsExpired
            If the record at ``start`` is no longer kept.
        TimelineChanged
            If the store was restored since the position was read.
        PlatformError
            If there was no answer.
        """
        self.check_position(start)
        query = {"topic": topic, "part": part, "from": start.offset}
        if wait_s:
            query["wait_ms"] = round(wait_s * 1000)
        answer = await self._call(
            "GET", "read", query, timeout_s=wait_s + CALL_TIMEOUT_S
        )
        self.check_position(start)
        if answer.status == 410:
            first = _decode("read", answer, _Expired, 410).first
            raise exceptions.RecordsExpired(first)
        if answer.status != 200:
            raise exceptions.PlatformUnavailable(f"read: {answer.status}")
        try:
            page = pages.parse(start.offset, answer.body)
        except struct.error as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        return dataclasses.replace(page, timeline=start.timeline)

    async def read_newest(self, topic: str, part: int = 0) -> Newest:
        """Read the newest record of each key of a keyed topic.

        Changes made meanwhile are read from the returned position on.

        Raises
        ------
        TimelineChanged
            If the store was restored between two calls.
        PlatformError
            If there was no answer.
        """
        records: list[pages.KeyedRecord] = []
        query: dict[str, t.Any] = {"topic": topic, "part": part}
        end: pages.Position | None = None
        for _ in range(MAX_PAGES):
            answer = await self._call("GET", "newest", query)
            if end is not None:
                self.check_position(end)
            if answer.status == 404:
                return Newest((), pages.Position(self.newest_timeline, 0))
            page = _decode("newest", answer, _Items)
            if end is None:
                end = pages.Position(self.newest_timeline, page.end)
            records += [_decode_item(item) for item in page.items]
            if not page.more:
                return Newest(tuple(records), end)
            if not page.items:
                break
            query["after"] = page.items[-1].key
        raise exceptions.PlatformUnavailable("newest: the list has no end")

    async def join(
        self,
        group: str,
        member: str,
        topics: abc.Sequence[str],
        ttl_s: float,
        generation: int,
    ) -> Assignment:
        """Join or stay in a consumer group; return the member's partitions.

        A member that does not call again within ``ttl_s`` loses them.

        Raises
        ------
        PlatformError
            If there was no answer.
        """
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": topics,
                "ttl_ms": round(ttl_s * 1000),
                "generation": generation,
            }
        )
        answer = await self._call("POST", "join", body=body)
        joined = _decode("join", answer, _Joined)
        partitions = frozenset((row[0], row[1]) for row in joined.parts)
        return Assignment(joined.generation, partitions, self.newest_timeline)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group, so that others get the member's partitions at once.

        Raises
        ------
        PlatformError
            If there was no answer.
        """
        body = msgspec.json.encode({"group": group, "member": member})
        answer = await self._call("POST", "leave", body=body)
        if answer.status != 200:
            raise exceptions.PlatformUnavailable(f"leave: {answer.status}")


_decode_base64 = functools.partial(base64.b64decode, validate=True)


def _decode_item(item: _Item) -> pages.KeyedRecord:
    try:
        value = decoding.decode(_decode_base64, item.value)
    except exceptions.Undecodable as error:
        raise exceptions.PlatformUnavailable(
            f"newest: {item.key}: {error}"
        ) from error
    return pages.KeyedRecord(item.offset, item.key, value or None)


_Decoded = t.TypeVar("_Decoded")


def _decode(
    name: str,
    answer: http_client.Response,
    expected_type: type[_Decoded],
    expected_status: int = 200,
) -> _Decoded:
    if answer.status != expected_status:
        raise exceptions.PlatformUnavailable(f"{name}: {answer.status}")
    try:
        return decoding.decode_json(answer.body, expected_type)
    except exceptions.Undecodable as error:
        raise exceptions.OutcomeLost(f"{name}: {error}") from error
