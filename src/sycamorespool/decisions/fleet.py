"""Define the state of the fleet that every entry replays from the log."""

import collections
import dataclasses
import enum
import typing as t

from sycamorespool import configuration
from sycamorespool import records

# Bounds the state and its snapshots; older verdicts are forgotten.
VERDICTS_KEPT = 4096


class Verdict(t.NamedTuple):
    """The outcome of replaying one record.

    Parameters
    ----------
    status : str
        ``accepted``, ``conflict``, ``invalid`` or ``repeated``.
    detail : str
        Why the record was rejected; empty if accepted.
    version : int
        Version of the configuration after the record.
    """

    status: str
    detail: str = ""
    version: int = 0

    @property
    def is_accepted(self) -> bool:
        """Tell whether the record took effect."""
        return self.status == "accepted"


class Predecessor(enum.StrEnum):
    """The state of a unit's previous ownership when the unit was claimed."""

    NONE = "none"
    RELEASED = "released"
    ACTIVE = "active"


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """The owner of a unit; ``epoch`` is the offset of its claim."""

    entry: str
    incarnation: int
    epoch: int
    is_released: bool = False
    predecessor: Predecessor = Predecessor.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A group of VMs that the log contains.

    Parameters
    ----------
    epoch : int
        Offset of the record that last changed the members.
    members : tuple of str
        The VMs in the order of their ranks.
    replaces : str
        Id of the existing group that this one replaces, or empty.
    model, version : str
        Model and version of the service when the group was formed.
    """

    group_id: str
    service: str
    unit: str
    epoch: int
    members: tuple[str, ...]
    replaces: str = ""
    model: str = ""
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotMark:
    """The place of the newest snapshot in the log, and its time.

    Parameters
    ----------
    offset : int
        Offset of the snapshot record, or -1 if there is none.
    as_of : int
        Offset of the last record that it includes, or -1.
    at_unix_s : float
        When it was written, in seconds of Unix time.
    """

    offset: int = -1
    as_of: int = -1
    at_unix_s: float = 0.0


@dataclasses.dataclass(slots=True)
class FleetState:
    """The replayed state of the fleet stream.

    Parameters
    ----------
    offset : int
        Offset of the last record applied, or -1.
    version : int
        Version of the configuration; 0 is the empty one.
    config_offset : int
        Offset of the patch that made this version, or -1.
    document : dict
        The configuration as the merged patches give it.
    config : Configuration
        The same, validated.
    owners : dict
        The newest ownership of each unit, released or not, by unit.
    groups : dict
        Existing groups by id.
    group_of_vm : dict
        Group id by VM.
    successor_of : dict
        Id of the group that replaces an existing group, by the id of the
        latter.
    replica_counts : collections.Counter
        Replicas by service; a group and its successor count as one.
    verdicts : collections.OrderedDict
        Verdicts of the last ``VERDICTS_KEPT`` records by record id.
    snapshot : SnapshotMark
        The newest snapshot that the log holds.
    """

    offset: int = -1
    version: int = 0
    config_offset: int = -1
    document: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    config: configuration.Configuration = dataclasses.field(
        default_factory=configuration.Configuration
    )
    owners: dict[str, Ownership] = dataclasses.field(default_factory=dict)
    groups: dict[str, Group] = dataclasses.field(default_factory=dict)
    group_of_vm: dict[str, str] = dataclasses.field(default_factory=dict)
    successor_of: dict[str, str] = dataclasses.field(default_factory=dict)
    replica_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    verdicts: collections.OrderedDict[str, Verdict] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    snapshot: SnapshotMark = SnapshotMark()

    def epoch_of(self, unit: str) -> int:
        """Return the newest epoch of a unit, or ``NO_EPOCH``."""
        owner = self.owners.get(unit)
        return owner.epoch if owner else records.NO_EPOCH

    def add_group(self, group: Group) -> None:
        """Add a group; it counts as a replica unless it replaces one."""
        self.groups[group.group_id] = group
        self.group_of_vm.update(dict.fromkeys(group.members, group.group_id))
        if group.replaces:
            self.successor_of[group.replaces] = group.group_id
        else:
            self.replica_counts[group.service] += 1

    def remove_group(self, group_id: str) -> None:
        """Remove a group; its successor then replaces what it replaced."""
        group = self.groups.pop(group_id)
        for vm in group.members:
            del self.group_of_vm[vm]
        successor = self.successor_of.pop(group_id, "")
        if group.replaces:
            del self.successor_of[group.replaces]
        if successor:
            self.groups[successor] = dataclasses.replace(
                self.groups[successor], replaces=group.replaces
            )
        if successor and group.replaces:
            self.successor_of[group.replaces] = successor
        if not successor and not group.replaces:
            self.replica_counts[group.service] -= 1


def accept(state: FleetState) -> Verdict:
    """Return the verdict on a record that takes effect."""
    return Verdict("accepted", "", state.version)


def reject(state: FleetState, detail: str, status: str = "invalid") -> Verdict:
    """Return the verdict on a record that changes nothing."""
    return Verdict(status, detail, state.version)


def find_epoch_fault(state: FleetState, unit: str, epoch: int) -> str:
    """Return why an owner's record has no valid epoch, or empty text."""
    owner = state.owners.get(unit)
    if owner is None:
        return f"{unit} has no owner"
    if epoch != owner.epoch:
        return f"epoch {epoch} of {unit} is not current ({owner.epoch})"
    return f"epoch {epoch} of {unit} is released" if owner.is_released else ""
