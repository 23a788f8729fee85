"""Decide which attempt at a call with an idempotency key may be sent.

The state of each key is the result of replaying the log stream of its
partition.  Only the attempt whose intent comes first in log order may send
the call to a backend server, however long that attempt was paused.  Which
entry owns the partition does not affect this decision::

    state = PartitionState()
    for entry in log:
        apply(state, entry.offset, entry.record, window_s)
    decision = decide(state, identity, window_s)

An attempt that has sent nothing may withdraw; then the next intent in the
log may send.  A key whose intent has no outcome never expires.
"""

import dataclasses
import enum
import hashlib
import typing as t

from sycamorespool import records

# How long a key is remembered after its last change.
KEY_WINDOW_S = 86400.0
NO_TIME_UNIX_S = 0.0
# Withdrawn attempts remembered for each key; the oldest are dropped.
MAX_WITHDRAWN_KEPT = 32


class Phase(enum.StrEnum):
    """The state of a key; ``OPEN`` means an intent without an outcome."""

    FREE = "free"
    OPEN = "open"
    ANSWERED = "answered"
    RAN = "ran"
    NOT_RUN = "not_run"


class Decision(enum.StrEnum):
    """Tell what one attempt may do, given the replayed stream.

    ``APPEND`` asks for the intent to be appended to the log, ``REPEAT``
    for the recorded answer to be returned again.
    """

    APPEND = "append"
    SEND = "send"
    REPEAT = "repeat"
    IN_PROGRESS = "in_progress"
    MISMATCH = "mismatch"
    WITHDRAWN = "withdrawn"
    RESOLVED_RAN = "settled_ran"
    RESOLVED_NOT_RUN = "settled_not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptIdentity:
    """Identifies one attempt at a keyed call.

    Parameters
    ----------
    digest : str
        Digest of method, path and body; a key is bound to one digest.
    """

    workspace: str
    key: str
    digest: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Holds the state of one key after a replay of the stream.

    Parameters
    ----------
    changed_unix_s : float
        Newest time stamp of the stream at the key's last change; the key
        window starts here.
    attempt_id : str
        The only attempt that may send, or empty.
    entry : str
        Entry that made this attempt.
    withdrawn : tuple of str
        Ids of attempts that have withdrawn.
    """

    phase: Phase
    changed_unix_s: float
    digest: str = ""
    attempt_id: str = ""
    entry: str = ""
    outcome: records.KeyOutcome | None = None
    withdrawn: tuple[str, ...] = ()


_KeyName: t.TypeAlias = tuple[str, str]


@dataclasses.dataclass(slots=True)
class PartitionState:
    """Holds the replayed state of one partition.

    Parameters
    ----------
    offset : int
        Offset of the last record applied, or -1.
    newest_entry, newest_unix_s : str, float
        Entry that wrote the newest time stamp, and that time stamp.
    stream_unix_s : float
        Newest time stamp that a second entry has reached too, so that one
        entry whose clock is fast cannot expire keys.
    contradictions : int
        Number of outcomes recorded for attempts that an operator had
        resolved as not run.
    """

    offset: int = -1
    keys: dict[_KeyName, KeyState] = dataclasses.field(default_factory=dict)
    newest_entry: str = ""
    newest_unix_s: float = NO_TIME_UNIX_S
    stream_unix_s: float = NO_TIME_UNIX_S
    contradictions: int = 0


def partition_of(workspace: str, key: str, partitions: int) -> int:
    """Return the number of the partition that holds a key."""
    text = f"{workspace}\0{key}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


def unit_of(partition: int) -> str:
    """Return the unit whose owner batches the appends of a partition."""
    return f"keys/{partition}"


def stream_of(partition: int) -> str:
    """Return the name of the log stream of a partition."""
    return f"keys-{partition}"


def digest_of(method: str, path: str, body: bytes) -> str:
    """Return the digest of a request, to which its key is bound."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def _has_expired(
    state: PartitionState, key: KeyState, window_s: float
) -> bool:
    if key.phase == Phase.OPEN:
        return False
    return state.stream_unix_s > key.changed_unix_s + window_s


def find(
    state: PartitionState, name: _KeyName, window_s: float
) -> KeyState | None:
    """Return the state of a key, or None if it is unknown or expired."""
    key = state.keys.get(name)
    if key is None or _has_expired(state, key, window_s):
        return None
    return key


_DECISION_BY_PHASE = {
    Phase.OPEN: Decision.IN_PROGRESS,
    Phase.ANSWERED: Decision.REPEAT,
    Phase.RAN: Decision.RESOLVED_RAN,
    Phase.NOT_RUN: Decision.RESOLVED_NOT_RUN,
}


def decide(
    state: PartitionState, identity: AttemptIdentity, window_s: float
) -> Decision:
    """Decide what an attempt may do.

    ``SEND`` stays valid in every later state until the attempt itself
    records its outcome or withdraws, so a reader that lags behind the log
    never permits a wrong send.  ``APPEND`` means that log order must
    decide: append the intent, then decide again on a state that includes
    it.
    """
    key = find(state, (identity.workspace, identity.key), window_s)
    if key is None:
        return Decision.APPEND
    if identity.attempt_id in key.withdrawn:
        return Decision.WITHDRAWN
    if key.phase == Phase.FREE:
        return Decision.APPEND
    if key.digest != identity.digest:
        return Decision.MISMATCH
    if key.phase == Phase.OPEN and key.attempt_id == identity.attempt_id:
        return Decision.SEND
    return _DECISION_BY_PHASE[key.phase]


def _advance_time(state: PartitionState, entry: str, at_unix_s: float) -> None:
    if entry == state.newest_entry:
        state.newest_unix_s = max(state.newest_unix_s, at_unix_s)
        return
    if at_unix_s <= state.newest_unix_s:
        state.stream_unix_s = max(state.stream_unix_s, at_unix_s)
        return
    state.stream_unix_s = max(state.stream_unix_s, state.newest_unix_s)
    state.newest_entry = entry
    state.newest_unix_s = at_unix_s


def _apply_intent(
    state: PartitionState, intent: records.KeyIntent, window_s: float
) -> None:
    _advance_time(state, intent.entry, intent.at_unix_s)
    name = (intent.workspace, intent.key)
    key = find(state, name, window_s)
    withdrawn = key.withdrawn if key else ()
    if key is not None and key.phase != Phase.FREE:
        return
    if intent.attempt_id in withdrawn:
        return
    state.keys[name] = KeyState(
        Phase.OPEN,
        state.newest_unix_s,
        intent.digest,
        intent.attempt_id,
        intent.entry,
        withdrawn=withdrawn,
    )


def _apply_outcome(state: PartitionState, outcome: records.KeyOutcome) -> None:
    name = (outcome.workspace, outcome.key)
    key = state.keys.get(name)
    if key is None or key.attempt_id != outcome.attempt_id:
        return
    if key.phase == Phase.NOT_RUN:
        state.contradictions += 1
    if key.phase != Phase.OPEN:
        return
    state.keys[name] = dataclasses.replace(
        key,
        phase=Phase.ANSWERED,
        changed_unix_s=state.newest_unix_s,
        outcome=outcome,
    )


def _apply_withdrawal(
    state: PartitionState, record: records.KeyWithdrawal, window_s: float
) -> None:
    # With two owners, one of them slow, a withdrawal may be logged before
    # its intent, so it is recorded even for a key not yet in the stream.
    name = (record.workspace, record.key)
    key = find(state, name, window_s)
    if key is None:
        key = KeyState(Phase.FREE, state.newest_unix_s)
    if record.attempt_id in key.withdrawn:
        return
    withdrawn = (*key.withdrawn, record.attempt_id)[-MAX_WITHDRAWN_KEPT:]
    if key.phase == Phase.OPEN and key.attempt_id == record.attempt_id:
        key = KeyState(Phase.FREE, state.newest_unix_s)
    state.keys[name] = dataclasses.replace(key, withdrawn=withdrawn)


def _apply_batch(
    state: PartitionState, batch: records.KeyBatch, window_s: float
) -> None:
    for outcome in batch.outcomes:
        _apply_outcome(state, outcome)
    for withdrawal in batch.withdrawals:
        _apply_withdrawal(state, withdrawal, window_s)
    for intent in batch.intents:
        _apply_intent(state, intent, window_s)


def _apply_resolution(
    state: PartitionState, record: records.KeyResolved, _window_s: float
) -> None:
    name = (record.workspace, record.key)
    key = state.keys.get(name)
    if key is None or key.phase != Phase.OPEN:
        return
    if key.attempt_id != record.attempt_id:
        return
    state.keys[name] = dataclasses.replace(
        key,
        phase=Phase(record.resolution),
        changed_unix_s=state.newest_unix_s,
    )


_APPLY_FUNCTIONS: dict[
    type, t.Callable[[PartitionState, t.Any, float], None]
] = {
    records.KeyBatch: _apply_batch,
    records.KeyResolved: _apply_resolution,
}


def apply(
    state: PartitionState,
    offset: int,
    record: records.Record,
    window_s: float = KEY_WINDOW_S,
) -> None:
    """Apply the record at ``offset`` to the state, in place.

    Records at or before ``state.offset`` are skipped.  A record that was
    appended twice is harmless, because its attempts and outcomes are
    already known when the second copy is applied.
    """
    if offset <= state.offset:
        return
    state.offset = offset
    apply_record = _APPLY_FUNCTIONS.get(type(record))
    if apply_record is not None:
        apply_record(state, record, window_s)


def list_open(
    state: PartitionState, workspace_filter: str = ""
) -> list[tuple[str, str, KeyState]]:
    """Return workspace, key and state of each intent without an outcome.

    Parameters
    ----------
    workspace_filter : str
        Workspace to list, or empty for all.
    """
    return [
        (workspace, key_name, key)
        for (workspace, key_name), key in state.keys.items()
        if key.phase == Phase.OPEN and workspace_filter in ("", workspace)
    ]


def prune(state: PartitionState, window_s: float) -> int:
    """Remove the expired keys and return their number."""
    expired = [
        name
        for name, key in state.keys.items()
        if _has_expired(state, key, window_s)
    ]
    for name in expired:
        del state.keys[name]
    return len(expired)
