"""Idempotency keys: which attempt of a keyed call may send.

The keys of a partition are what a replay of its stream yields.  The
attempt whose intent comes first in log order alone may send, however long
it was paused; ownership of the partition takes no part in that::

    state = PartitionState()
    for entry in log:
        apply(state, entry.offset, entry.record, window_s)
    ruling = rule(state, call, window_s)

An attempt that sent nothing may withdraw, and then the next intent in the
log may send.  A key whose intent has no outcome never ends by time.
"""

import dataclasses
import enum
import hashlib
import typing as t

from sycamorespool import records

KEY_WINDOW_S = 86400.0
NEVER_UNIX_S = 0.0
WITHDRAWN_KEPT = 32


class Phase(enum.StrEnum):
    """How far a key has come."""

    FREE = "free"
    OPEN = "open"
    ANSWERED = "answered"
    RAN = "ran"
    NOT_RUN = "not_run"


class Ruling(enum.StrEnum):
    """What one attempt may do, given the replayed stream."""

    APPEND = "append"
    SEND = "send"
    REPEAT = "repeat"
    IN_PROGRESS = "in_progress"
    MISMATCH = "mismatch"
    WITHDRAWN = "withdrawn"
    SETTLED_RAN = "settled_ran"
    SETTLED_NOT_RUN = "settled_not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One attempt at a keyed call.

    Parameters
    ----------
    digest : str
        Digest of method, path and body; a key goes with one digest.
    """

    workspace: str
    key: str
    digest: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """One key as the stream states it.

    Parameters
    ----------
    attempt_id : str
        The attempt that alone may send, or empty.
    changed_unix_s : float
        Newest time stamp at the last change; the window runs from it.
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
    """The replayed state of one partition.

    Parameters
    ----------
    offset : int
        Offset of the last record applied, or -1.
    newest_entry, newest_unix_s : str, float
        Entry with the newest time stamp, and that stamp.
    stream_unix_s : float
        Newest stamp that a second entry has reached too: one clock that
        is fast ends no window.
    contradictions : int
        Outcomes of attempts that an operator had settled as not run.
    """

    offset: int = -1
    keys: dict[_KeyName, KeyState] = dataclasses.field(default_factory=dict)
    newest_entry: str = ""
    newest_unix_s: float = NEVER_UNIX_S
    stream_unix_s: float = NEVER_UNIX_S
    contradictions: int = 0


def partition_of(workspace: str, key: str, partitions: int) -> int:
    """Return the partition of a key."""
    text = f"{workspace}\0{key}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


def unit_of(partition: int) -> str:
    """Return the unit whose owner batches the partition's appends."""
    return f"keys/{partition}"


def stream_of(partition: int) -> str:
    """Return the log stream of a partition."""
    return f"keys-{partition}"


def digest_of(method: str, path: str, body: bytes) -> str:
    """Return the digest that a key is bound to."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def _has_ended(state: PartitionState, key: KeyState, window_s: float) -> bool:
    if key.phase == Phase.OPEN:
        return False
    return state.stream_unix_s > key.changed_unix_s + window_s


def find(
    state: PartitionState, name: _KeyName, window_s: float
) -> KeyState | None:
    """Return a key whose window has not ended, or None."""
    key = state.keys.get(name)
    if key is None or _has_ended(state, key, window_s):
        return None
    return key


_RULING_OF_PHASE = {
    Phase.OPEN: Ruling.IN_PROGRESS,
    Phase.ANSWERED: Ruling.REPEAT,
    Phase.RAN: Ruling.SETTLED_RAN,
    Phase.NOT_RUN: Ruling.SETTLED_NOT_RUN,
}


def rule(state: PartitionState, call: Call, window_s: float) -> Ruling:
    """Tell what an attempt may do.

    ``SEND`` stays true in every later state until the attempt itself
    records its outcome or withdraws, so a reader that lags gives no wrong
    leave.  ``APPEND`` means that the stream must decide: append the intent
    and rule again on a state that includes it.
    """
    key = find(state, (call.workspace, call.key), window_s)
    if key is None:
        return Ruling.APPEND
    if call.attempt_id in key.withdrawn:
        return Ruling.WITHDRAWN
    if key.phase == Phase.FREE:
        return Ruling.APPEND
    if key.digest != call.digest:
        return Ruling.MISMATCH
    if key.phase == Phase.OPEN and key.attempt_id == call.attempt_id:
        return Ruling.SEND
    return _RULING_OF_PHASE[key.phase]


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
    # A withdrawal may overtake its intent (two owners, one of them slow),
    # so it is remembered for a key that the stream has not named yet.
    name = (record.workspace, record.key)
    key = find(state, name, window_s)
    if key is None:
        key = KeyState(Phase.FREE, state.newest_unix_s)
    if record.attempt_id in key.withdrawn:
        return
    withdrawn = (*key.withdrawn, record.attempt_id)[-WITHDRAWN_KEPT:]
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


def _apply_settled(
    state: PartitionState, record: records.KeySettled, _window_s: float
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


_RULES: dict[type, t.Callable[[PartitionState, t.Any, float], None]] = {
    records.KeyBatch: _apply_batch,
    records.KeySettled: _apply_settled,
}


def apply(
    state: PartitionState,
    offset: int,
    record: records.Record,
    window_s: float = KEY_WINDOW_S,
) -> None:
    """Apply the record at ``offset`` to the state, in place.

    Records at or before ``state.offset`` are passed over.  A record that
    stands in the log twice is harmless by its content: its attempts and
    outcomes are known.
    """
    if offset <= state.offset:
        return
    state.offset = offset
    rule_of_record = _RULES.get(type(record))
    if rule_of_record is not None:
        rule_of_record(state, record, window_s)


def list_open(
    state: PartitionState, name_filter: str = ""
) -> list[tuple[str, str, KeyState]]:
    """List intents without outcome, for operators.

    Parameters
    ----------
    name_filter : str
        A workspace, or empty for all.
    """
    return [
        (workspace, key_name, key)
        for (workspace, key_name), key in state.keys.items()
        if key.phase == Phase.OPEN and name_filter in ("", workspace)
    ]


def prune(state: PartitionState, window_s: float) -> int:
    """Drop the keys whose window has ended and return their number."""
    ended = [
        name
        for name, key in state.keys.items()
        if _has_ended(state, key, window_s)
    ]
    for name in ended:
        del state.keys[name]
    return len(ended)
