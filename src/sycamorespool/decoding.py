"""Decodes bytes that come from outside of the process.

All of them are decoded here, so that odd bytes raise one error, whatever is
wrong with them::

    class _Report(msgspec.Struct):
        running: decoding.Count = 0

    report = decoding.decode_json(data, _Report)

A number that is too large, a value that nests too deeply or a text with
invalid characters is as invalid as a field of the wrong type.  The types for
numbers below keep what passes within bounds in which it can be encoded again,
added up and converted.
"""

from collections import abc
import typing as t

import msgspec

from sycamorespool import exceptions

# Integers up to this are exact in all parsers of JSON.
MAX_COUNT = 2**53 - 1
MAX_AMOUNT = 1e15
# Milliseconds of Unix time until the year 2100.
MAX_UNIX_MS = 4_102_444_800_000
# What a process counts one by one, such as its heartbeats.
MAX_STEPS = 10**9
# Digits of an integer in a text, all of which fit into 64 bits.
MAX_DIGITS = 15

Count = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Steps = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_STEPS)]
UnixMs = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Integer = t.Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Amount = t.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AMOUNT)]

_Decoded = t.TypeVar("_Decoded")

_ERRORS = (
    msgspec.MsgspecError,
    # A number or a text that is not valid, also one in base 64.
    ValueError,
    OverflowError,
    RecursionError,
)


def decode(
    parse: abc.Callable[[bytes], _Decoded], data: bytes | str
) -> _Decoded:
    """Return what a parser makes of data.

    Raises
    ------
    Undecodable
        If the parser fails.
    """
    try:
        return parse(data)
    except _ERRORS as error:
        raise exceptions.Undecodable(str(error)) from error


def decode_json(data: bytes, expected_type: type[_Decoded]) -> _Decoded:
    """Decode a JSON value.

    Raises
    ------
    Undecodable
        If it is not valid, or of another type.
    """
    return decode(
        lambda text: msgspec.json.decode(text, type=expected_type), data
    )


def decode_msgpack(data: bytes, expected_type: type[_Decoded]) -> _Decoded:
    """Decode a MessagePack value.

    Raises
    ------
    Undecodable
        If it is not valid, or of another type.
    """
    return decode(
        lambda packed: msgspec.msgpack.decode(packed, type=expected_type), data
    )


def read_count(text: str) -> int | None:
    """Return the number that a text of decimal digits names, else None."""
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None
