"""The records that the fleet keeps in the platform's log.

The log has several streams.  ``fleet`` carries the configuration, the
ownership and the groups and is read by every entry; ``keys-N`` carries the
idempotency keys of partition ``N`` and is read by its owner alone.  A
record has a unique id, so an append whose answer was lost is looked up by
that id and never applied twice.
"""

import typing as t

import msgspec

FLEET_STREAM = "fleet"
NO_EPOCH = -1


class _Record(msgspec.Struct, frozen=True, tag_field="kind"):
    record_id: str


class ConfigPatch(_Record, frozen=True, tag="config_patch"):
    """An operator's patch against one version of the configuration."""

    base_version: int
    patch: dict[str, t.Any]
    author: str = ""


class OwnershipClaim(_Record, frozen=True, tag="ownership_claim"):
    """A claim of a unit; its offset in the log is the new epoch.

    Parameters
    ----------
    unit : str
        ``domain/NAME`` for a fabric domain or ``keys/N`` for a partition
        of the idempotency keys.
    entry : str
        Name of the claiming entry.
    incarnation : int
        Start number of the claiming process.
    previous_epoch : int
        The epoch that the claim supersedes, or ``NO_EPOCH``.  A claim that
        names another epoch than the current one is rejected.
    """

    unit: str
    entry: str
    incarnation: int
    previous_epoch: int = NO_EPOCH


class OwnershipRelease(_Record, frozen=True, tag="ownership_release"):
    """The owner of ``epoch`` has stopped acting for ``unit``."""

    unit: str
    epoch: int


class GroupFormed(_Record, frozen=True, tag="group_formed"):
    """VMs now belong to a group; member order gives the ranks.

    A record that takes a VM of another group, carries an old epoch, or
    takes the service over its replicas is rejected.  ``replaces`` names a
    group of the same service that is dissolved later (make before break),
    which does not count towards the replicas.
    """

    unit: str
    epoch: int
    group_id: str
    service: str
    members: tuple[str, ...]
    replaces: str = ""


class GroupMemberReplaced(_Record, frozen=True, tag="group_member_replaced"):
    """A free VM takes the rank of a lost member of a group."""

    unit: str
    epoch: int
    group_id: str
    lost: str
    joined: str


class GroupDissolved(_Record, frozen=True, tag="group_dissolved"):
    """The VMs of a group are free again."""

    unit: str
    epoch: int
    group_id: str
    reason: str = ""


class KeyIntent(msgspec.Struct, frozen=True):
    """One keyed call that is about to be sent."""

    workspace: str
    key: str
    digest: str
    attempt_id: str
    entry: str
    at_unix_s: float


class KeyOutcome(msgspec.Struct, frozen=True):
    """The whole answer to a keyed call, kept for repeats."""

    workspace: str
    key: str
    attempt_id: str
    status: int
    content_type: str
    body: bytes


class KeyWithdrawal(msgspec.Struct, frozen=True):
    """An attempt that sent nothing and never will; the key is free again.

    Only the attempt itself withdraws, after it can no longer send.
    """

    workspace: str
    key: str
    attempt_id: str


class KeyBatch(_Record, frozen=True, tag="key_batch"):
    """Records of the keys of one partition, appended together."""

    intents: tuple[KeyIntent, ...] = ()
    outcomes: tuple[KeyOutcome, ...] = ()
    withdrawals: tuple[KeyWithdrawal, ...] = ()


class KeySettled(_Record, frozen=True, tag="key_settled"):
    """An operator's decision on an intent that has no outcome."""

    workspace: str
    key: str
    attempt_id: str
    resolution: t.Literal["ran", "not_run"]
    operator: str = ""


class Snapshot(_Record, frozen=True, tag="snapshot"):
    """The replayed state of a stream as of ``as_of``.

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
    | KeySettled
    | Snapshot
)


class LogEntry(msgspec.Struct, frozen=True):
    """A record and its offset in its stream."""

    offset: int
    record: Record
