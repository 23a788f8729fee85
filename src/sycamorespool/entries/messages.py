"""Define the messages between entries, as one tagged union.

The names of the tags and the order of the fields are the wire format.
"""

import typing as t

import msgspec

from sycamorespool.decisions import pings
from sycamorespool import models
from sycamorespool import records


class GrantsRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="grants_wanted"
):
    """Ask the grantor of a unit for grants.

    ``hops`` is how many more times the ask may be forwarded, for an asker
    that does not reach the owner itself.
    """

    ask: models.GrantAsk
    hops: int = 0


class GrantsReply(
    msgspec.Struct, frozen=True, array_like=True, tag="grants_given"
):
    """Hold the grantor's answer."""

    answer: models.GrantAnswer


class RecordsRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="records_wanted"
):
    """Ask for the records of the fleet stream after an offset."""

    after: int


class RecordsReply(
    msgspec.Struct, frozen=True, array_like=True, tag="records_given"
):
    """Hold records of the fleet stream, each encoded.

    Parameters
    ----------
    newest : int
        Offset of the last record that the sender has applied.
    unread_s : float
        Time since the start of its last read that reached the head of the
        log.
    is_too_old : bool
        Whether the sender no longer keeps all of the requested records.
    """

    newest: int
    unread_s: float
    is_too_old: bool = False
    entries: tuple[bytes, ...] = ()


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="snapshot_wanted"
):
    """Ask for one part of a snapshot of the whole state.

    The reply to part 0 tells the snapshot's ``as_of``, with which the other
    parts are asked for.
    """

    as_of: int
    part: int


class SnapshotReply(
    msgspec.Struct, frozen=True, array_like=True, tag="snapshot_given"
):
    """Hold one of ``count`` parts of the state as of an offset."""

    as_of: int
    count: int
    data: bytes


class KeyDecisionRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="key_asked"
):
    """Ask the owner of a key's partition for a decision on an attempt."""

    intent: records.KeyIntent
    wait_s: float


class KeyDecisionReply(
    msgspec.Struct, frozen=True, array_like=True, tag="key_ruled"
):
    """Hold the decision, and the outcome if one is recorded."""

    ruling: str
    outcome: records.KeyOutcome | None = None


class KeyRefused(
    msgspec.Struct, frozen=True, array_like=True, tag="key_refused"
):
    """Refuse to decide; the caller is told that the call did not run."""

    code: str
    detail: str
    retry_after_s: float


class KeyReport(
    msgspec.Struct, frozen=True, array_like=True, tag="key_reported"
):
    """Ask for an outcome or a withdrawal to be appended to the log.

    The reply comes after the append.
    """

    outcome: records.KeyOutcome | None = None
    withdrawal: records.KeyWithdrawal | None = None


class OpenKeysRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="open_keys_wanted"
):
    """Ask an entry for the keys without outcome of its partitions."""

    entry: str


class OpenKeysReply(
    msgspec.Struct, frozen=True, array_like=True, tag="open_keys_given"
):
    """Hold the oldest keys without outcome of an entry's partitions."""

    keys: tuple[models.OpenKey, ...]


class UsageReport(
    msgspec.Struct, frozen=True, array_like=True, tag="usage_told"
):
    """Report what an entry uses and wants of each service.

    Parameters
    ----------
    demands : dict
        Places in use and wanted, by service and workspace.
    places : dict
        Places that the entry's grants give it, by service.
    """

    entry: str
    demands: dict[str, dict[str, float]]
    places: dict[str, float]


class StateRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="state_wanted"
):
    """Ask an entry for its state, on behalf of an operator."""

    entry: str


class StateReply(
    msgspec.Struct, frozen=True, array_like=True, tag="state_given"
):
    """Hold the state of the entry that was asked."""

    state: models.EntryState


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """Confirm that the message was processed."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Say that the entry cannot answer the call, and why."""

    reason: str


Message: t.TypeAlias = (
    pings.Ping
    | pings.PingRequest
    | pings.Ack
    | GrantsRequest
    | GrantsReply
    | RecordsRequest
    | RecordsReply
    | SnapshotRequest
    | SnapshotReply
    | KeyDecisionRequest
    | KeyDecisionReply
    | KeyRefused
    | KeyReport
    | OpenKeysRequest
    | OpenKeysReply
    | UsageReport
    | StateRequest
    | StateReply
    | Done
    | Refused
)
