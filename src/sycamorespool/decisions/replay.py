"""Replay of the fleet stream: what every entry agrees on.

The state of the fleet is what a deterministic replay of the log yields.
The first valid record in log order wins; the others are rejected by the
same rule everywhere::

    state = FleetState()
    for entry in log:
        verdict = apply(state, entry.offset, entry.record)
"""

import collections
import dataclasses
import typing as t

from sycamorespool import configuration
from sycamorespool import exceptions
from sycamorespool import records

VERDICTS_KEPT = 4096


class Verdict(t.NamedTuple):
    """What replay decided about one record.

    Parameters
    ----------
    status : str
        ``accepted``, ``conflict``, ``invalid`` or ``repeated``.
    detail : str
        Why, in one sentence; empty if accepted.
    version : int
        Version of the configuration after the record.
    """

    status: str
    detail: str = ""
    version: int = 0

    @property
    def is_accepted(self) -> bool:
        """Whether the record took effect."""
        return self.status == "accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Who owns a unit; ``epoch`` is the offset of the claim."""

    entry: str
    incarnation: int
    epoch: int
    is_released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A group of VMs as the log states it."""

    group_id: str
    service: str
    unit: str
    epoch: int
    members: tuple[str, ...]
    replaces: str = ""


@dataclasses.dataclass(slots=True)
class FleetState:
    """The replayed state of the fleet stream.

    Parameters
    ----------
    offset : int
        Offset of the last record applied, or -1.
    version : int
        Number of the configuration; 0 is the empty one.
    config_offset : int
        Offset of the patch that made this version, or -1.
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
    verdicts: collections.OrderedDict[str, Verdict] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def epoch_of(self, unit: str) -> int:
        """Return the current epoch of a unit, or ``NO_EPOCH``."""
        owner = self.owners.get(unit)
        return owner.epoch if owner else records.NO_EPOCH


def _accept(state: FleetState) -> Verdict:
    return Verdict("accepted", "", state.version)


def _reject(
    state: FleetState, detail: str, status: str = "invalid"
) -> Verdict:
    return Verdict(status, detail, state.version)


def _apply_patch(
    state: FleetState, offset: int, record: records.ConfigPatch
) -> Verdict:
    if record.base_version != state.version:
        conflict = exceptions.PatchConflict(record.base_version, state.version)
        return _reject(state, str(conflict), "conflict")
    document = configuration.apply_merge_patch(state.document, record.patch)
    try:
        config = configuration.validate(document)
    except exceptions.ConfigurationError as error:
        return _reject(state, str(error))
    state.document = document
    state.config = config
    state.version += 1
    state.config_offset = offset
    return _accept(state)


def _apply_claim(
    state: FleetState, offset: int, record: records.OwnershipClaim
) -> Verdict:
    current = state.epoch_of(record.unit)
    if record.previous_epoch != current:
        return _reject(
            state,
            f"claim supersedes epoch {record.previous_epoch}, "
            f"but {current} is current",
            "conflict",
        )
    state.owners[record.unit] = Ownership(
        record.entry, record.incarnation, offset
    )
    return _accept(state)


def _apply_release(
    state: FleetState, offset: int, record: records.OwnershipRelease
) -> Verdict:
    owner = state.owners.get(record.unit)
    if owner is None or owner.epoch != record.epoch:
        return _reject(state, f"epoch {record.epoch} is not current")
    state.owners[record.unit] = dataclasses.replace(owner, is_released=True)
    return _accept(state)


def _find_epoch_fault(state: FleetState, unit: str, epoch: int) -> str:
    current = state.epoch_of(unit)
    if epoch != current:
        return f"epoch {epoch} of {unit} is not current ({current})"
    return ""


def _count_replicas(state: FleetState, service: str) -> int:
    # A group that another one replaces does not count: both live for the
    # time of the handover, and the pair is one replica.
    replaced = {g.replaces for g in state.groups.values() if g.replaces}
    return sum(
        1
        for group in state.groups.values()
        if group.service == service and group.group_id not in replaced
    )


def _find_formation_fault(
    state: FleetState, record: records.GroupFormed
) -> str:
    service = state.config.services.get(record.service)
    if service is None:
        return f"no service {record.service}"
    if record.group_id in state.groups:
        return f"group {record.group_id} exists"
    if len(set(record.members)) != service.group_size:
        return f"a group of {record.service} has {service.group_size} VMs"
    taken = [vm for vm in record.members if vm in state.group_of_vm]
    if taken:
        return f"VMs {taken} belong to another group"
    replaced = state.groups.get(record.replaces)
    if record.replaces and (
        replaced is None or replaced.service != record.service
    ):
        return f"no group {record.replaces} of {record.service} to replace"
    surplus = 1 if record.replaces else 0
    count = _count_replicas(state, record.service)
    if count - surplus >= service.replicas:
        return f"{record.service} has its {service.replicas} replicas"
    return ""


def _apply_formed(
    state: FleetState, offset: int, record: records.GroupFormed
) -> Verdict:
    fault = _find_epoch_fault(state, record.unit, record.epoch)
    fault = fault or _find_formation_fault(state, record)
    if fault:
        return _reject(state, fault)
    state.groups[record.group_id] = Group(
        record.group_id,
        record.service,
        record.unit,
        offset,
        record.members,
        record.replaces,
    )
    state.group_of_vm.update(dict.fromkeys(record.members, record.group_id))
    return _accept(state)


def _apply_replaced(
    state: FleetState, offset: int, record: records.GroupMemberReplaced
) -> Verdict:
    fault = _find_epoch_fault(state, record.unit, record.epoch)
    group = state.groups.get(record.group_id)
    if fault or group is None:
        return _reject(state, fault or f"no group {record.group_id}")
    if record.lost not in group.members:
        return _reject(state, f"{record.lost} is not in {record.group_id}")
    if record.joined in state.group_of_vm:
        return _reject(state, f"{record.joined} belongs to another group")
    members = tuple(
        record.joined if vm == record.lost else vm for vm in group.members
    )
    state.groups[record.group_id] = dataclasses.replace(
        group, members=members, epoch=offset
    )
    del state.group_of_vm[record.lost]
    state.group_of_vm[record.joined] = record.group_id
    return _accept(state)


def _apply_dissolved(
    state: FleetState, offset: int, record: records.GroupDissolved
) -> Verdict:
    fault = _find_epoch_fault(state, record.unit, record.epoch)
    group = state.groups.get(record.group_id)
    if fault or group is None:
        return _reject(state, fault or f"no group {record.group_id}")
    del state.groups[record.group_id]
    for vm in group.members:
        del state.group_of_vm[vm]
    return _accept(state)


_RULES: dict[type, t.Callable[[FleetState, int, t.Any], Verdict]] = {
    records.ConfigPatch: _apply_patch,
    records.OwnershipClaim: _apply_claim,
    records.OwnershipRelease: _apply_release,
    records.GroupFormed: _apply_formed,
    records.GroupMemberReplaced: _apply_replaced,
    records.GroupDissolved: _apply_dissolved,
}


def apply(state: FleetState, offset: int, record: records.Record) -> Verdict:
    """Apply the record at ``offset`` to the state, in place.

    Records at or before ``state.offset`` are passed over, so that the same
    record may come from the log and from a peer.

    Returns
    -------
    Verdict
        The same at every entry that applies the same log.
    """
    if offset <= state.offset:
        return state.verdicts.get(
            record.record_id, _reject(state, "applied before", "repeated")
        )
    state.offset = offset
    if record.record_id in state.verdicts:
        return _reject(state, "record id was seen before", "repeated")
    rule = _RULES.get(type(record))
    if rule is None:
        return _accept(state)
    verdict = rule(state, offset, record)
    state.verdicts[record.record_id] = verdict
    if len(state.verdicts) > VERDICTS_KEPT:
        state.verdicts.popitem(last=False)
    return verdict
