"""Defines the records that the fleet stores in the platform's log.

The log has several streams.  ``fleet`` holds the configuration, the
ownership and the groups and is read by every entry; ``keys-N`` holds the
idempotency keys of partition ``N`` and is read only by its owner.  Each
record has a unique id, so that an append whose answer was lost is looked up
by that id and never applied twice.
"""

import typing as t

import msgspec

FLEET_STREAM = "fleet"
NO_EPOCH = -1


class _Record(msgspec.Struct, frozen=True, tag_field="kind"):
    record_id: str


class ConfigPatch(_Record, frozen=True, tag="config_patch"):
    """Changes a given version of the configuration, by an operator."""

    base_version: int
    patch: dict[str, t.Any]
    author: str = ""


class OwnershipClaim(_Record, frozen=True, tag="ownership_claim"):
    """Claims a unit for an entry; the record's offset is the new epoch.

    Parameters
    ----------
    unit : str
        ``domain/NAME`` for a fabric domain or ``keys/N`` for a partition
        of the idempotency keys.
    entry : str
        Name of the claiming entry.
    incarnation : int
        Number that identifies the start of the claiming process.
    previous_epoch : int
        The epoch that the claim supersedes, or ``NO_EPOCH``.  A claim that
        names an epoch other than the current one is rejected.
    """

    unit: str
    entry: str
    incarnation: int
    previous_epoch: int = NO_EPOCH


class OwnershipRelease(_Record, frozen=True, tag="ownership_release"):
    """States that the owner of ``epoch`` no longer acts for ``unit``."""

    unit: str
    epoch: int


class GroupFormed(_Record, frozen=True, tag="group_formed"):
    """Assigns VMs to a new group; the order of members gives their ranks.

    A record is rejected if it assigns a VM of another group, holds an old
    epoch, or gives the service more groups than it has replicas.
    ``replaces`` names a group of the same service that is dissolved later
    (make before break); it does not count towards the replicas.
    """

    unit: str
    epoch: int
    group_id: str
    service: str
    members: tuple[str, ...]
    replaces: str = ""


class GroupMemberReplaced(_Record, frozen=True, tag="group_member_replaced"):
    """Gives the rank of a lost group member to a free VM."""

    unit: str
    epoch: int
    group_id: str
    lost: str
    joined: str


class GroupDissolved(_Record, frozen=True, tag="group_dissolved"):
    """Dissolves a group; its VMs are free again."""

    unit: str
    epoch: int
    group_id: str
    reason: str = ""


class KeyIntent(msgspec.Struct, frozen=True):
    """Announces an attempt at a keyed call, before it is sent."""

    workspace: str
    key: str
    digest: str
    attempt_id: str
    entry: str
    at_unix_s: float


class KeyOutcome(msgspec.Struct, frozen=True):
    """Holds the whole answer to a keyed call, for repeats of the call."""

    workspace: str
    key: str
    attempt_id: str
    status: int
    content_type: str
    body: bytes


class KeyWithdrawal(msgspec.Struct, frozen=True):
    """States that an attempt sent nothing and never will.

    It makes the key free again.  Only the attempt itself withdraws, after
    it can no longer send.
    """

    workspace: str
    key: str
    attempt_id: str


class KeyBatch(_Record, frozen=True, tag="key_batch"):
    """Holds key records of one partition that are appended together."""

    intents: tuple[KeyIntent, ...] = ()
    outcomes: tuple[KeyOutcome, ...] = ()
    withdrawals: tuple[KeyWithdrawal, ...] = ()


class KeyResolved(_Record, frozen=True, tag="key_settled"):
    """Holds an operator's resolution of an intent without an outcome."""

    workspace: str
    key: str
    attempt_id: str
    resolution: t.Literal["ran", "not_run"]
    operator: str = ""


class Snapshot(_Record, frozen=True, tag="snapshot"):
    """Holds the replayed state of a stream up to the offset ``as_of``.

    ``as_of`` is the offset of the last record that the state includes;
    ``at_unix_s`` is when it was written, in seconds of Unix time.
    """

    as_of: int
    state: dict[str, t.Any]
    at_unix_s: float = 0.0


Record: t.TypeAlias = (
    ConfigPatch
    | OwnershipClaim
    | OwnershipRelease
    | GroupFormed
    | GroupMemberReplaced
    | GroupDissolved
    | KeyBatch
    | KeyResolved
    | Snapshot
)


class LogEntry(msgspec.Struct, frozen=True):
    """Holds a record and its offset in its stream."""

    offset: int
    record: Record
