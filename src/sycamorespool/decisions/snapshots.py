"""Snapshots of the fleet's state, so that a replay may start late.

The log keeps its records for a limited time.  Before they expire an entry
appends a snapshot; a replay is the newest usable snapshot and the records
after it::

    state = replay_log(first_offset, entries)

The state of an offset is the same at every entry, so a second snapshot of
it changes nothing.
"""

import collections
from collections import abc
import dataclasses
import typing as t

import msgspec

from sycamorespool import configuration
from sycamorespool.decisions import fleet
from sycamorespool.decisions import rendezvous
from sycamorespool.decisions import replay
from sycamorespool import exceptions
from sycamorespool import records

FORMAT = 1
RECORDS_PER_SNAPSHOT = 4000
RETENTION_SHARE = 0.5
FIRST_SHARE = 0.125
TURN_S = 30.0


class _SavedState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    format: int
    offset: int
    version: int
    config_offset: int
    document: dict[str, t.Any]
    owners: dict[str, fleet.Ownership]
    groups: list[fleet.Group]
    verdicts: list[tuple[str, str, str, int]]
    snapshot: fleet.SnapshotMark


@dataclasses.dataclass(frozen=True, slots=True)
class Follower:
    """One entry's view of the log's age.

    Parameters
    ----------
    entry : str
        Name of the entry.
    retention_s : float
        How long the log keeps a record.
    first_read_unix_s : float
        When the entry first read the log, in seconds of Unix time.
    """

    entry: str
    retention_s: float
    first_read_unix_s: float


def to_snapshot(state: fleet.FleetState) -> dict[str, t.Any]:
    """Return the state as plain data for a ``Snapshot`` record."""
    saved = _SavedState(
        FORMAT,
        state.offset,
        state.version,
        state.config_offset,
        state.document,
        state.owners,
        list(state.groups.values()),
        [(name, *verdict) for name, verdict in state.verdicts.items()],
        state.snapshot,
    )
    return t.cast(dict[str, t.Any], msgspec.to_builtins(saved))


def from_snapshot(snapshot: abc.Mapping[str, t.Any]) -> fleet.FleetState:
    """Return the state that a snapshot holds.

    Raises
    ------
    SnapshotInvalid
        If the snapshot is malformed or of an unknown format.
    """
    try:
        saved = msgspec.convert(snapshot, _SavedState)
        config = configuration.validate(saved.document)
    except (msgspec.ValidationError, exceptions.ConfigurationError) as error:
        raise exceptions.SnapshotInvalid(str(error)) from error
    if saved.format != FORMAT:
        raise exceptions.SnapshotInvalid(f"unknown format {saved.format}")
    return _restore(saved, config)


def _restore(
    saved: _SavedState, config: configuration.Configuration
) -> fleet.FleetState:
    state = fleet.FleetState(
        offset=saved.offset,
        version=saved.version,
        config_offset=saved.config_offset,
        document=saved.document,
        config=config,
        owners=saved.owners,
        snapshot=saved.snapshot,
    )
    state.verdicts = collections.OrderedDict(
        (record_id, fleet.Verdict(*verdict))
        for record_id, *verdict in saved.verdicts
    )
    for group in saved.groups:
        state.add_group(group)
    return state


def _load(record: records.Snapshot) -> fleet.FleetState | None:
    # An entry of an older release passes over formats that it cannot read.
    try:
        state = from_snapshot(record.state)
    except exceptions.SnapshotInvalid:
        return None
    return state if state.offset == record.as_of else None


def _find_start(
    first_offset: int, entries: abc.Sequence[records.LogEntry]
) -> fleet.FleetState | None:
    found = [
        entry.record
        for entry in entries
        if isinstance(entry.record, records.Snapshot)
        and first_offset - 1 <= entry.record.as_of < entry.offset
    ]
    found.sort(key=lambda record: record.as_of, reverse=True)
    return next(filter(None, map(_load, found)), None)


def replay_log(
    first_offset: int,
    entries: abc.Sequence[records.LogEntry],
    own: fleet.FleetState | None = None,
) -> fleet.FleetState:
    """Return the state that the kept records yield.

    Parameters
    ----------
    first_offset : int
        The oldest offset that the log still keeps.
    entries : sequence of LogEntry
        All kept records in log order.
    own : FleetState, optional
        What the entry knows already; the result is never older.

    Raises
    ------
    RecordsExpired
        If records are missing between every usable start and the log.
    """
    state = own or fleet.FleetState()
    if first_offset > state.offset + 1:
        found = _find_start(first_offset, entries)
        if found is None:
            raise exceptions.RecordsExpired(first_offset)
        state = choose_newer(state, found)
    for entry in entries:
        replay.apply(state, entry.offset, entry.record)
    return state


def choose_newer(
    own: fleet.FleetState, other: fleet.FleetState
) -> fleet.FleetState:
    """Return the newer of two states, so that none is ever reverted."""
    return other if other.offset > own.offset else own


def _tell_due_s(state: fleet.FleetState, follower: Follower) -> float:
    # Without a snapshot the age of the records is not known.
    if state.snapshot.offset < 0:
        share_s = FIRST_SHARE * follower.retention_s
        return follower.first_read_unix_s + share_s
    return state.snapshot.at_unix_s + RETENTION_SHARE * follower.retention_s


def is_snapshot_due(
    state: fleet.FleetState,
    follower: Follower,
    live: abc.Iterable[str],
    now_unix_s: float,
) -> bool:
    """Tell whether this entry is to append a snapshot now.

    A snapshot is due after ``RECORDS_PER_SNAPSHOT`` records, and when the
    newest one has reached half of the retention.  The live entries take
    turns in the order of their rendezvous, ``TURN_S`` apart, so that one
    writes it and the next stands in.  A log without records takes none.
    """
    if state.offset < 0:
        return False
    due_s = _tell_due_s(state, follower)
    ranked = rendezvous.rank(
        f"snapshot/{state.snapshot.offset}", {*live, follower.entry}
    )
    turn = ranked.index(follower.entry)
    if state.offset - state.snapshot.as_of > RECORDS_PER_SNAPSHOT:
        return turn == 0 or now_unix_s >= due_s
    return now_unix_s >= due_s + turn * TURN_S


def make_snapshot(
    state: fleet.FleetState, now_unix_s: float
) -> records.Snapshot:
    """Return the snapshot record of the state."""
    return records.Snapshot(
        f"snapshot/{state.offset}",
        state.offset,
        to_snapshot(state),
        now_unix_s,
    )
