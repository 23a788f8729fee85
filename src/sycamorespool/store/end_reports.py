"""Encodes and decodes the entries' reports of backend servers that ended.

The reports are records of a keyed topic of the store:

========================  ==================================================
``end/ENTRY/NUMBER``      a server that ended, with its unanswered prompts
``served/ENTRY``          parts of prompts that the entry has served lately
``block/PART``            a blocked part; without a value, the block is lifted
========================  ==================================================
"""

from collections import abc
import dataclasses

import msgspec

from sycamorespool.decisions.faults import fatal_traits
from sycamorespool import decoding
from sycamorespool.platform import pages

# An entry's reports of ends that the store keeps; the next one replaces the
# oldest.
KEPT_ENDS = 16
MAX_PROMPTS = 64
# Kinds of reports, with which the keys of their records begin.
_END, _SERVED, _BLOCK = "end", "served", "block"


@dataclasses.dataclass(frozen=True, slots=True)
class Clocks:
    """Holds the present time on two clocks, to convert times of reports.

    Parameters
    ----------
    unix_s : float
        Seconds since 1970, which other entries share.
    local_s : float
        Seconds on this process's own clock.
    """

    unix_s: float
    local_s: float

    def to_unix_ms(self, at_s: float) -> int:
        """Convert a time of this process's clock."""
        return round((self.unix_s + at_s - self.local_s) * 1000)

    def to_local_s(self, at_ms: int) -> float:
        """Convert a time in Unix milliseconds."""
        return self.local_s + at_ms / 1000 - self.unix_s


class _End(msgspec.Struct):
    vm: str
    started_ms: decoding.UnixMs
    prompts: list[tuple[str, ...]]
    at_ms: decoding.UnixMs


class _Served(msgspec.Struct):
    served_ms: dict[str, decoding.UnixMs]


class _Block(msgspec.Struct):
    until_ms: decoding.Count


def encode_end(
    entry: str,
    number: int,
    end: fatal_traits.ServerEnd,
    at_s: float,
    clocks: Clocks,
) -> bytes:
    """Return the record of an entry's n-th report of a server that ended."""
    report = _End(
        end.backend_id,
        end.started_ms,
        sorted(end.prompts)[:MAX_PROMPTS],
        clocks.to_unix_ms(at_s),
    )
    return _encode(f"{_END}/{entry}/{number % KEPT_ENDS}", report)


def encode_served(
    entry: str, served_s: abc.Mapping[str, float], clocks: Clocks
) -> bytes:
    """Return the record of parts that an entry has served, with the times."""
    served_ms = {p: clocks.to_unix_ms(at_s) for p, at_s in served_s.items()}
    return _encode(f"{_SERVED}/{entry}", _Served(served_ms))


def encode_block(part: str, until_s: float, clocks: Clocks) -> bytes:
    """Return the record of a blocked part."""
    return _encode(f"{_BLOCK}/{part}", _Block(clocks.to_unix_ms(until_s)))


def _encode(key: str, report: msgspec.Struct) -> bytes:
    return pages.encode_keyed(key, msgspec.json.encode(report))


def apply(
    state: fatal_traits.FatalTraits, record: pages.KeyedRecord, clocks: Clocks
) -> None:
    """Apply the report of any entry; ignore one of an unknown kind.

    Raises
    ------
    Undecodable
        If the report is not valid.
    """
    kind, _, name = record.key.partition("/")
    if kind == _BLOCK and record.value is None:
        fatal_traits.lift_block(state, name, clocks.local_s)
    elif kind in _APPLIERS and record.value is not None:
        _APPLIERS[kind](state, name, record.value, clocks)


def _apply_end(
    state: fatal_traits.FatalTraits, name: str, value: bytes, clocks: Clocks
) -> None:
    report = decoding.decode_json(value, _End)
    at_s = min(clocks.to_local_s(report.at_ms), clocks.local_s)
    if clocks.local_s - at_s > fatal_traits.WINDOW_S:
        return
    end = fatal_traits.ServerEnd(
        report.vm, report.started_ms, frozenset(report.prompts)
    )
    fatal_traits.note_end(state, end, at_s)


def _apply_served(
    state: fatal_traits.FatalTraits, name: str, value: bytes, clocks: Clocks
) -> None:
    report = decoding.decode_json(value, _Served)
    for part, at_ms in report.served_ms.items():
        at_s = min(clocks.to_local_s(at_ms), clocks.local_s)
        fatal_traits.note_reported_served(state, part, at_s)


def _apply_block(
    state: fatal_traits.FatalTraits, part: str, value: bytes, clocks: Clocks
) -> None:
    until_ms = decoding.decode_json(value, _Block).until_ms
    latest_s = clocks.local_s + fatal_traits.BLOCK_S
    until_s = min(clocks.to_local_s(until_ms), latest_s)
    fatal_traits.note_block(state, part, until_s)


_APPLIERS: dict[str, abc.Callable[..., None]] = {
    _END: _apply_end,
    _SERVED: _apply_served,
    _BLOCK: _apply_block,
}
