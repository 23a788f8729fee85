"""Applies group records to the replayed state of the fleet.

Each ``apply_`` function validates one record against the state at its
offset.  A valid record changes the state; an invalid one changes nothing.
"""

import dataclasses

from sycamorespool.decisions import fleet
from sycamorespool import records


def _find_group_fault(
    state: fleet.FleetState,
    record: records.GroupMemberReplaced | records.GroupDissolved,
) -> str:
    fault = fleet.find_epoch_fault(state, record.unit, record.epoch)
    if fault:
        return fault
    group = state.groups.get(record.group_id)
    if group is None or group.unit != record.unit:
        return f"no group {record.group_id} in {record.unit}"
    return ""


def _find_size_fault(
    state: fleet.FleetState, service_name: str, members: tuple[str, ...]
) -> str:
    service = state.config.services.get(service_name)
    if service is None:
        return f"no service {service_name}"
    size = service.group_size
    if len(members) != size or len(set(members)) != size:
        return f"a group of {service_name} has {size} VMs"
    return ""


def _find_succession_fault(
    state: fleet.FleetState, record: records.GroupFormed
) -> str:
    if not record.replaces:
        return ""
    replaced = state.groups.get(record.replaces)
    if replaced is None or replaced.service != record.service:
        return f"no group {record.replaces} of {record.service} to replace"
    successor = state.successor_of.get(record.replaces)
    return f"{successor} replaces {record.replaces}" if successor else ""


def _find_surplus_fault(
    state: fleet.FleetState, record: records.GroupFormed
) -> str:
    wanted = state.config.services[record.service].replicas
    # A group and its successor count as one replica.
    added = 0 if record.replaces else 1
    if state.replica_counts[record.service] + added > wanted:
        return f"{record.service} has its {wanted} replicas"
    return ""


def _find_formation_fault(
    state: fleet.FleetState, record: records.GroupFormed
) -> str:
    fault = _find_size_fault(state, record.service, record.members)
    if fault:
        return fault
    if record.group_id in state.groups:
        return f"group {record.group_id} exists"
    taken = [vm for vm in record.members if vm in state.group_of_vm]
    if taken:
        return f"VMs {taken} belong to another group"
    fault = _find_succession_fault(state, record)
    return fault or _find_surplus_fault(state, record)


def apply_formed(
    state: fleet.FleetState, offset: int, record: records.GroupFormed
) -> fleet.Verdict:
    """Apply the formation of a group and return the verdict."""
    fault = fleet.find_epoch_fault(state, record.unit, record.epoch)
    fault = fault or _find_formation_fault(state, record)
    if fault:
        return fleet.reject(state, fault)
    service = state.config.services[record.service]
    group = fleet.Group(
        record.group_id,
        record.service,
        record.unit,
        offset,
        record.members,
        record.replaces,
        service.model,
        service.version,
    )
    state.add_group(group)
    return fleet.accept(state)


def _find_replacement_fault(
    state: fleet.FleetState, record: records.GroupMemberReplaced
) -> str:
    fault = _find_group_fault(state, record)
    if fault:
        return fault
    group = state.groups[record.group_id]
    if record.lost not in group.members:
        return f"{record.lost} is not in {record.group_id}"
    if record.joined in state.group_of_vm:
        return f"{record.joined} belongs to another group"
    return _find_size_fault(state, group.service, group.members)


def apply_replaced(
    state: fleet.FleetState, offset: int, record: records.GroupMemberReplaced
) -> fleet.Verdict:
    """Apply the replacement of a lost member and return the verdict."""
    fault = _find_replacement_fault(state, record)
    if fault:
        return fleet.reject(state, fault)
    group = state.groups[record.group_id]
    members = tuple(
        record.joined if vm == record.lost else vm for vm in group.members
    )
    state.groups[record.group_id] = dataclasses.replace(
        group, members=members, epoch=offset
    )
    del state.group_of_vm[record.lost]
    state.group_of_vm[record.joined] = record.group_id
    return fleet.accept(state)


def apply_dissolved(
    state: fleet.FleetState, offset: int, record: records.GroupDissolved
) -> fleet.Verdict:
    """Apply the dissolution of a group and return the verdict."""
    fault = _find_group_fault(state, record)
    if fault:
        return fleet.reject(state, fault)
    state.remove_group(record.group_id)
    return fleet.accept(state)
