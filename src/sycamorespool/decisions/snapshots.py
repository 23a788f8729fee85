"""Save and load snapshots of the fleet's state in the log.

The log keeps its records for a limited time.  Before they expire, an entry
appends a snapshot; a replay then starts from the newest usable snapshot and
applies the records after it::

    state = replay_log(first_offset, entries)

The state at an offset is the same at every entry, so a second snapshot of
the same offset changes nothing.
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

# Version of the format of ``_SavedState``.
FORMAT = 1
RECORDS_PER_SNAPSHOT = 4000
# Age of the newest snapshot at which the next is due, as a share of the log's
# retention.
RETENTION_SHARE = 0.5
# The same for the first snapshot, from the entry's first read of the log.
FIRST_SNAPSHOT_SHARE = 0.125
# Delay from one entry to the next that writes a due snapshot in its place.
WRITER_TURN_S = 30.0


class _SavedState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The stored form of ``FleetState``; indexes by VM are left out."""

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
    """An entry that reads the log, and how long the log keeps records.

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
    """Convert the state to plain data for a ``Snapshot`` record."""
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
        If the snapshot is malformed or its format is unknown.
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


def _load_snapshot(record: records.Snapshot) -> fleet.FleetState | None:
    # An entry of an older release skips formats that it cannot read.
    try:
        state = from_snapshot(record.state)
    except exceptions.SnapshotInvalid:
        return None
    return state if state.offset == record.as_of else None


def _find_start_state(
    first_offset: int, entries: abc.Sequence[records.LogEntry]
) -> fleet.FleetState | None:
    candidates = [
        entry.record
        for entry in entries
        if isinstance(entry.record, records.Snapshot)
        and first_offset - 1 <= entry.record.as_of < entry.offset
    ]
    candidates.sort(key=lambda record: record.as_of, reverse=True)
    return next(filter(None, map(_load_snapshot, candidates)), None)


def replay_log(
    first_offset: int,
    entries: abc.Sequence[records.LogEntry],
    own: fleet.FleetState | None = None,
) -> fleet.FleetState:
    """Return the state after all records that the log still keeps.

    Parameters
    ----------
    first_offset : int
        The oldest offset that the log still keeps.
    entries : sequence of LogEntry
        All kept records in log order.
    own : FleetState, optional
        The state that the entry already has; the result is never older.

    Raises
    ------
    RecordsExpired
        If there is a gap between the kept records and both the own state and
        every usable snapshot.
    """
    state = own or fleet.FleetState()
    if first_offset > state.offset + 1:
        start = _find_start_state(first_offset, entries)
        if start is None:
            raise exceptions.RecordsExpired(first_offset)
        state = choose_newer(state, start)
    for entry in entries:
        replay.apply(state, entry.offset, entry.record)
    return state


def choose_newer(
    own: fleet.FleetState, other: fleet.FleetState
) -> fleet.FleetState:
    """Return the newer of two states, so that no state is reverted."""
    return other if other.offset > own.offset else own


def _due_time_s(state: fleet.FleetState, follower: Follower) -> float:
    # Without a snapshot the age of the records is unknown.
    if state.snapshot.offset < 0:
        share_s = FIRST_SNAPSHOT_SHARE * follower.retention_s
        return follower.first_read_unix_s + share_s
    return state.snapshot.at_unix_s + RETENTION_SHARE * follower.retention_s


def is_snapshot_due(
    state: fleet.FleetState,
    follower: Follower,
    live_entries: abc.Iterable[str],
    now_unix_s: float,
) -> bool:
    """Tell whether this entry should append a snapshot now.

    A snapshot is due after ``RECORDS_PER_SNAPSHOT`` records, and when the
    newest one is as old as half of the log's retention.  Rendezvous hashing
    ranks the live entries: the first one writes the snapshot, and each next
    one steps in ``WRITER_TURN_S`` later if there is none yet.  After more
    than ``RECORDS_PER_SNAPSHOT`` records, all others step in without turns,
    but only once the age makes the snapshot due.
    An empty log needs no snapshot.
    """
    if state.offset < 0:
        return False
    due_s = _due_time_s(state, follower)
    ranked = rendezvous.rank(
        f"snapshot/{state.snapshot.offset}", {*live_entries, follower.entry}
    )
    turn = ranked.index(follower.entry)
    if state.offset - state.snapshot.as_of > RECORDS_PER_SNAPSHOT:
        return turn == 0 or now_unix_s >= due_s
    return now_unix_s >= due_s + turn * WRITER_TURN_S


def make_snapshot(
    state: fleet.FleetState, now_unix_s: float
) -> records.Snapshot:
    """Return a record that holds a snapshot of the state."""
    return records.Snapshot(
        f"snapshot/{state.offset}",
        state.offset,
        to_snapshot(state),
        now_unix_s,
    )
