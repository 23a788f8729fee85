"""Writes and restores snapshots of a partition of the idempotency keys.

The log keeps records for a limited time.  Before they expire, the owner of
the partition appends the replayed state.  A reader starts from the snapshot
that covers the most records and applies the records after it::

    state = restore(log_entries, first_offset=log_entries[0].offset)

Duplicate and late snapshots are harmless, because a snapshot holds the
offset up to which it is complete, whatever its own place in the log.
"""

import typing as t

import msgspec

from sycamorespool.decisions import keys
from sycamorespool import exceptions
from sycamorespool import records

# Age of a snapshot at which the next is due, as a fraction of the retention.
RETENTION_FRACTION = 0.25


class StoredKey(msgspec.Struct, frozen=True):
    """Holds one key within a snapshot."""

    workspace: str
    key: str
    state: keys.KeyState


class StoredPartition(msgspec.Struct, frozen=True):
    """Holds the state of a partition within a snapshot."""

    rows: tuple[StoredKey, ...]
    newest_entry: str
    newest_unix_s: float
    stream_unix_s: float
    contradictions: int


def dump(state: keys.PartitionState) -> dict[str, t.Any]:
    """Return the state as built-in types for a snapshot record."""
    rows = tuple(
        StoredKey(workspace, key, key_state)
        for (workspace, key), key_state in state.keys.items()
    )
    stored = StoredPartition(
        rows,
        state.newest_entry,
        state.newest_unix_s,
        state.stream_unix_s,
        state.contradictions,
    )
    return msgspec.to_builtins(stored)


def load(snapshot: records.Snapshot) -> keys.PartitionState:
    """Return the state that a snapshot holds.

    Raises
    ------
    KeyHistoryLost
        If the snapshot is malformed.
    """
    try:
        stored = msgspec.convert(snapshot.state, StoredPartition)
    except msgspec.ValidationError as error:
        raise exceptions.KeyHistoryLost(str(error)) from error
    return keys.PartitionState(
        snapshot.as_of,
        {(row.workspace, row.key): row.state for row in stored.rows},
        stored.newest_entry,
        stored.newest_unix_s,
        stored.stream_unix_s,
        stored.contradictions,
    )


def _load_newest_snapshot(
    entries: t.Sequence[records.LogEntry], first_offset: int
) -> keys.PartitionState:
    snapshots = [
        entry.record
        for entry in entries
        if isinstance(entry.record, records.Snapshot)
        and entry.record.as_of + 1 >= first_offset
    ]
    if snapshots:
        return load(max(snapshots, key=lambda snapshot: snapshot.as_of))
    if first_offset <= 0:
        return keys.PartitionState()
    raise exceptions.KeyHistoryLost(
        f"records before offset {first_offset} expired without a snapshot"
    )


def restore(
    entries: t.Sequence[records.LogEntry],
    first_offset: int,
    window_s: float = keys.KEY_WINDOW_S,
) -> keys.PartitionState:
    """Return the state that the unexpired records of a stream yield.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the log still holds.

    Raises
    ------
    KeyHistoryLost
        If no valid snapshot covers the records that have expired.  Keyed
        calls of the partition are refused until an operator appends one.
    """
    state = _load_newest_snapshot(entries, first_offset)
    for entry in entries:
        keys.apply(state, entry.offset, entry.record, window_s)
    return state


def is_due(
    now_unix_s: float, last_snapshot_unix_s: float, retention_s: float
) -> bool:
    """Tell whether the next snapshot should be written.

    Writing after a quarter of the retention leaves three tries before a
    record expires.
    """
    age_s = now_unix_s - last_snapshot_unix_s
    return age_s >= retention_s * RETENTION_FRACTION


def make_record(
    state: keys.PartitionState, record_id: str, window_s: float
) -> records.Snapshot:
    """Remove expired keys and return the snapshot record to append."""
    keys.prune(state, window_s)
    return records.Snapshot(record_id, state.offset, dump(state))
