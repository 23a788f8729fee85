"""Client of a hosted platform's store, a log with partitioned topics.

The records of a partition are numbered by offsets.  In a keyed topic the
newest record of each key never expires.  The store also has consumer groups,
among whose members it divides the partitions of topics::

    store = Store(pool, "10.0.0.1:8000")
    page = await store.read("keyed.op", 7, wait_s=1.0)
    for offset, key, value in decode_keyed(page):
        ...
"""

import base64
from collections import abc
import dataclasses
import struct
import typing as t
import urllib.parse

import httpcore
import msgspec

from sycamorespool import exceptions
from sycamorespool import http_client

CALL_TIMEOUT_S = 1.0
KEYED_PREFIX = "keyed."
LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")
MAX_PAGES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records of one partition in offset order.

    Parameters
    ----------
    start : int
        Offset of the first record.
    end : int
        Offset that the next appended record of the partition gets.
    first : int
        Oldest offset that is still kept.
    """

    start: int
    end: int
    first: int
    records: tuple[bytes, ...]

    @property
    def next(self) -> int:
        """Return the offset to read on from."""
        return self.start + len(self.records)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; ``value`` is None if it deletes the key."""

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key, and where to read on from."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The partitions that the store assigned to a member of a group.

    Parameters
    ----------
    generation : int
        Version of the group's assignments.
    partitions : frozenset
        Pairs of a topic and the number of a partition.
    """

    generation: int
    partitions: frozenset[tuple[str, int]]


class _Appended(msgspec.Struct):
    offset: int
    end: int


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _Items(msgspec.Struct):
    items: list[_Item]
    end: int
    more: bool = False


class _Expired(msgspec.Struct):
    first: int


class _Joined(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a key and a value as the content of a keyed topic's record."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed(page: Page) -> list[KeyedRecord]:
    """Decode a page of a keyed topic; skip records with invalid keys."""
    records = []
    for number, content in enumerate(page.records):
        size = content[0] if content else 0
        try:
            key = content[1 : 1 + size].decode()
        except UnicodeDecodeError:
            continue
        value = content[1 + size :] or None
        records.append(KeyedRecord(page.start + number, key, value))
    return records


def parse_page(start: int, body: bytes) -> Page:
    """Parse the body of a read's answer.

    Raises
    ------
    struct.error
        If the body is cut short.
    """
    end, first = BOUNDS.unpack_from(body)
    records = []
    position = BOUNDS.size
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + size])
        position += size
    return Page(start, end, first, tuple(records))


class Store:
    """Client of the platform's store.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
        Connections to use.
    address : str
        ``IP:port`` of the store.

    Attributes
    ----------
    calls : int
        Number of calls made to the store.
    """

    def __init__(
        self, pool: httpcore.AsyncConnectionPool, address: str
    ) -> None:
        self._pool = pool
        self._base = f"http://{address}/api/log-"
        self.calls = 0

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
        if answer.status in (429, 503, 507):
            raise exceptions.PlatformUnavailable(f"{name}: {answer.status}")
        return answer

    async def append(
        self, topic: str, contents: abc.Sequence[bytes], part: int = 0
    ) -> int:
        """Append all records or none; return the offset of the first.

        Raises
        ------
        PlatformUnavailable
            If nothing was appended.
        OutcomeLost
            If they may have been appended, or may still be.
        """
        body = b"".join(LENGTH.pack(len(c)) + c for c in contents)
        query = {"topic": topic, "part": part}
        answer = await self._call("POST", "append", query, body)
        return _decode("append", answer, _Appended).offset

    async def read(
        self, topic: str, start: int, part: int = 0, wait_s: float = 0.0
    ) -> Page:
        """Read records from an offset on; wait up to ``wait_s`` for one.

        Raises
        ------
        RecordsExpired
            If the record at ``start`` is no longer kept.
        PlatformError
            If there was no answer.
        """
        query = {"topic": topic, "part": part, "from": start}
        if wait_s:
            query["wait_ms"] = round(wait_s * 1000)
        answer = await self._call(
            "GET", "read", query, timeout_s=wait_s + CALL_TIMEOUT_S
        )
        if answer.status == 410:
            first = _decode("read", answer, _Expired, 410).first
            raise exceptions.RecordsExpired(first)
        if answer.status != 200:
            raise exceptions.PlatformUnavailable(f"read: {answer.status}")
        try:
            return parse_page(start, answer.body)
        except struct.error as error:
            raise exceptions.PlatformUnavailable(str(error)) from error

    async def read_newest(self, topic: str, part: int = 0) -> Newest:
        """Read the newest record of each key of a keyed topic.

        Changes made meanwhile are read from the returned offset on.

        Raises
        ------
        PlatformError
            If there was no answer.
        """
        records: list[KeyedRecord] = []
        query: dict[str, t.Any] = {"topic": topic, "part": part}
        end = None
        for _ in range(MAX_PAGES):
            answer = await self._call("GET", "newest", query)
            if answer.status == 404:
                return Newest((), 0)
            page = _decode("newest", answer, _Items)
            end = page.end if end is None else end
            records += [_decode_item(item) for item in page.items]
            if not page.more or not page.items:
                break
            query["after"] = page.items[-1].key
        return Newest(tuple(records), end or 0)

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
        return Assignment(joined.generation, partitions)

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


def _decode_item(item: _Item) -> KeyedRecord:
    return KeyedRecord(
        item.offset, item.key, base64.b64decode(item.value) or None
    )


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
        return msgspec.json.decode(answer.body, type=expected_type)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise exceptions.OutcomeLost(f"{name}: {error}") from error
