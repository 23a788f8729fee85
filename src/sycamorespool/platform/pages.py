"""Encodes and decodes the records of a hosted platform's store.

The records of a partition are numbered by offsets.  The content of a keyed
topic's record is a key and a value.
"""

import dataclasses
import struct
import typing as t

from sycamorespool import decoding
from sycamorespool import exceptions

# Length in bytes before each record, and the offsets before a page's records.
LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")


class Position(t.NamedTuple):
    """Names a record of a partition by its timeline and offset."""

    timeline: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Holds records of one partition in offset order.

    Parameters
    ----------
    start : int
        Offset of the first record.
    end : int
        Offset that the next appended record of the partition gets.
    first : int
        Oldest offset that is still kept.
    timeline : int
        The store's timeline when the page was read.
    """

    start: int
    end: int
    first: int
    records: tuple[bytes, ...]
    timeline: int = 0

    @property
    def next(self) -> Position:
        """Return the position to read on from."""
        return Position(self.timeline, self.start + len(self.records))

    @property
    def reaches_end(self) -> bool:
        """Tell whether the partition had no record after those of the page.

        A read returns a limited number of bytes, so that a page of a reader
        that fell behind may end long before the newest record.
        """
        return self.next.offset >= self.end


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Holds a record of a keyed topic; ``value`` is None to delete the key."""

    offset: int
    key: str
    value: bytes | None


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
            key = decoding.decode(bytes.decode, content[1 : 1 + size])
        except exceptions.Undecodable:
            continue
        value = content[1 + size :] or None
        records.append(KeyedRecord(page.start + number, key, value))
    return records


def parse(start: int, body: bytes) -> Page:
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
        if position + size > len(body):
            raise struct.error("a record is cut short")
        records.append(body[position : position + size])
        position += size
    return Page(start, end, first, tuple(records))
