"""The messages between entries, as one tagged union."""

import typing as t

import msgspec

from sycamorespool.decisions import pings
from sycamorespool import models
from sycamorespool import records


class GrantsWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="grants_wanted"
):
    """Ask the owner of a unit for grants.

    ``hops`` is how many entries may still pass the ask on, for an entry
    that does not reach the owner itself.
    """

    ask: models.GrantAsk
    hops: int = 0


class GrantsGiven(
    msgspec.Struct, frozen=True, array_like=True, tag="grants_given"
):
    """The owner's answer."""

    answer: models.GrantAnswer


class RecordsWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="records_wanted"
):
    """Ask for the records of the fleet stream after an offset."""

    after: int


class RecordsGiven(
    msgspec.Struct, frozen=True, array_like=True, tag="records_given"
):
    """Records of the fleet stream, each encoded.

    Parameters
    ----------
    newest : int
        Offset of the last record that the sender has applied.
    unread_s : float
        Time since its last read began that reached the head of the log.
    is_too_old : bool
        Whether it no longer keeps the first of the records wanted.
    """

    newest: int
    unread_s: float
    is_too_old: bool = False
    entries: tuple[bytes, ...] = ()


class SnapshotWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="snapshot_wanted"
):
    """Ask for a part of the whole state; part 0 sets ``as_of``."""

    as_of: int
    part: int


class SnapshotGiven(
    msgspec.Struct, frozen=True, array_like=True, tag="snapshot_given"
):
    """One of ``count`` parts of the state as of an offset."""

    as_of: int
    count: int
    data: bytes


class KeyAsked(msgspec.Struct, frozen=True, array_like=True, tag="key_asked"):
    """Ask the owner of a key's partition for a decision on an attempt."""

    intent: records.KeyIntent
    wait_s: float


class KeyRuled(msgspec.Struct, frozen=True, array_like=True, tag="key_ruled"):
    """Give the decision, and the outcome if one is recorded."""

    ruling: str
    outcome: records.KeyOutcome | None = None


class KeyRefused(
    msgspec.Struct, frozen=True, array_like=True, tag="key_refused"
):
    """Refuse to decide; the caller is told ``not run``."""

    code: str
    detail: str
    retry_after_s: float


class KeyReported(
    msgspec.Struct, frozen=True, array_like=True, tag="key_reported"
):
    """Have an outcome or a withdrawal appended; answered when it is."""

    outcome: records.KeyOutcome | None = None
    withdrawal: records.KeyWithdrawal | None = None


class OpenKeysWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="open_keys_wanted"
):
    """Ask an entry for the keys without outcome that it owns."""

    entry: str


class OpenKeysGiven(
    msgspec.Struct, frozen=True, array_like=True, tag="open_keys_given"
):
    """The oldest keys without outcome of an entry's partitions."""

    keys: tuple[models.OpenKey, ...]


class UsageTold(
    msgspec.Struct, frozen=True, array_like=True, tag="usage_told"
):
    """What an entry uses and wants of each service.

    Parameters
    ----------
    demands : dict
        Places in use and wanted, by service and workspace.
    places : dict
        Places that its grants give it, by service.
    """

    entry: str
    demands: dict[str, dict[str, float]]
    places: dict[str, float]


class StateWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="state_wanted"
):
    """Ask an entry for its state, on behalf of an operator."""

    entry: str


class StateGiven(
    msgspec.Struct, frozen=True, array_like=True, tag="state_given"
):
    """The state of the entry that was asked."""

    state: models.EntryState


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The message was taken in."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The entry cannot answer the call."""

    reason: str


Message: t.TypeAlias = (
    pings.Ping
    | pings.PingRequest
    | pings.Ack
    | GrantsWanted
    | GrantsGiven
    | RecordsWanted
    | RecordsGiven
    | SnapshotWanted
    | SnapshotGiven
    | KeyAsked
    | KeyRuled
    | KeyRefused
    | KeyReported
    | OpenKeysWanted
    | OpenKeysGiven
    | UsageTold
    | StateWanted
    | StateGiven
    | Done
    | Refused
)
