"""Replays the fleet stream, so that all entries agree on the fleet's state.

The replay is deterministic: of conflicting records the first valid one in
log order takes effect, and every entry rejects the others by the same
rules::

    state = FleetState()
    for entry in log:
        verdict = apply(state, entry.offset, entry.record)

A patch may remove a service, or change its ``group_size`` or ``version``,
while groups of it exist.  Those groups stay until the owner of their unit
dissolves them.  Unless only the version changed, they get no replacement
members meanwhile.
"""

import dataclasses
import typing as t

from sycamorespool import configuration
from sycamorespool.decisions import fleet
from sycamorespool.decisions.groups import group_replay
from sycamorespool import exceptions
from sycamorespool import records

FleetState = fleet.FleetState
Group = fleet.Group
Ownership = fleet.Ownership
Verdict = fleet.Verdict


def _apply_patch(
    state: fleet.FleetState, offset: int, record: records.ConfigPatch
) -> fleet.Verdict:
    if record.base_version != state.version:
        conflict = exceptions.PatchConflict(record.base_version, state.version)
        return fleet.reject(state, str(conflict), "conflict")
    document = configuration.apply_merge_patch(state.document, record.patch)
    try:
        config = configuration.validate(document)
    except exceptions.ConfigurationError as error:
        return fleet.reject(state, str(error))
    state.document = document
    state.config = config
    state.version += 1
    state.config_offset = offset
    return fleet.accept(state)


def _describe_predecessor(owner: fleet.Ownership | None) -> fleet.Predecessor:
    if owner is None:
        return fleet.Predecessor.NONE
    if owner.is_released:
        return fleet.Predecessor.RELEASED
    return fleet.Predecessor.ACTIVE


def _apply_claim(
    state: fleet.FleetState, offset: int, record: records.OwnershipClaim
) -> fleet.Verdict:
    current = state.epoch_of(record.unit)
    if record.previous_epoch != current:
        return fleet.reject(
            state,
            f"claim supersedes epoch {record.previous_epoch}, "
            f"but {current} is current",
            "conflict",
        )
    state.owners[record.unit] = fleet.Ownership(
        record.entry,
        record.incarnation,
        offset,
        predecessor=_describe_predecessor(state.owners.get(record.unit)),
    )
    return fleet.accept(state)


def _apply_release(
    state: fleet.FleetState, offset: int, record: records.OwnershipRelease
) -> fleet.Verdict:
    owner = state.owners.get(record.unit)
    if owner is None or owner.epoch != record.epoch:
        return fleet.reject(state, f"epoch {record.epoch} is not current")
    state.owners[record.unit] = dataclasses.replace(owner, is_released=True)
    return fleet.accept(state)


def _apply_snapshot(
    state: fleet.FleetState, offset: int, record: records.Snapshot
) -> fleet.Verdict:
    if state.snapshot.as_of < record.as_of < offset:
        state.snapshot = fleet.SnapshotMark(
            offset, record.as_of, record.at_unix_s
        )
    return fleet.accept(state)


_APPLY_BY_TYPE: dict[
    type, t.Callable[[fleet.FleetState, int, t.Any], fleet.Verdict]
] = {
    records.ConfigPatch: _apply_patch,
    records.OwnershipClaim: _apply_claim,
    records.OwnershipRelease: _apply_release,
    records.GroupFormed: group_replay.apply_formed,
    records.GroupMemberReplaced: group_replay.apply_replaced,
    records.GroupDissolved: group_replay.apply_dissolved,
}


def apply(
    state: fleet.FleetState, offset: int, record: records.Record
) -> fleet.Verdict:
    """Apply the record at ``offset`` to the state, in place.

    Records at or before ``state.offset`` are ignored, since a record may
    arrive both from the log and from a peer.

    Returns
    -------
    fleet.Verdict
        The verdict, the same at every entry that applies the same log.
    """
    if offset <= state.offset:
        return state.verdicts.get(
            record.record_id, fleet.reject(state, "applied before", "repeated")
        )
    state.offset = offset
    if isinstance(record, records.Snapshot):
        return _apply_snapshot(state, offset, record)
    if record.record_id in state.verdicts:
        return fleet.reject(state, "record id was seen before", "repeated")
    apply_record = _APPLY_BY_TYPE.get(type(record))
    if apply_record is None:
        return fleet.accept(state)
    verdict = apply_record(state, offset, record)
    state.verdicts[record.record_id] = verdict
    if len(state.verdicts) > fleet.VERDICTS_KEPT:
        state.verdicts.popitem(last=False)
    return verdict
