"""Planned moves: drains, new model versions, replicas that are too many.

A move makes before it breaks: the group that takes over is whole and warm
before the other one drains, and a drained group is dissolved only when it
has no request left.
"""

from sycamorespool import configuration
from sycamorespool.decisions import formations
from sycamorespool.decisions import group_plans
from sycamorespool.decisions import group_states
from sycamorespool.decisions import rendezvous
from sycamorespool.decisions import replay

WARMING_LIMIT_S = 30.0

REMOVED = "service removed"
REPLACED = "another group took over"
RETURNED = "the group that it stands in for is back"
GONE = "no member is left"
SURPLUS = "more groups than replicas"
RESHAPED = "group size changed"
OUT_OF_SERVICE = "data centre out of service"
VM_LEAVING = "a member leaves"
UPGRADING = "new model version"
SLOW_MEMBER = "a member is slow"

_ENDING = frozenset({REMOVED, REPLACED, RETURNED, GONE, SURPLUS, RESHAPED})

_SlotState = group_states.SlotState


def move(draft: group_plans.Draft, *, is_make_first: bool = True) -> None:
    """Begin and end drains, and dissolve groups that are done with."""
    _note_whole(draft)
    _upgrade(draft, is_make_first)
    _replace_leaving(draft)
    reasons = _find_reasons(draft, is_make_first)
    _update_drains(draft, reasons)
    for group_id, reason in reasons.items():
        if reason in _ENDING and group_plans.is_idle(
            draft.view, draft.memory, group_id
        ):
            draft.dissolve(group_id, reason)


def _note_whole(draft: group_plans.Draft) -> None:
    whole_since_s = draft.memory.whole_since_s
    for group_id, slots in draft.slots.items():
        if set(slots) == {_SlotState.READY}:
            whole_since_s.setdefault(group_id, draft.view.now_s)
        else:
            whole_since_s.pop(group_id, None)
    for group_id in [g for g in whole_since_s if g not in draft.slots]:
        del whole_since_s[group_id]


def _update_drains(draft: group_plans.Draft, reasons: dict[str, str]) -> None:
    drains = draft.memory.drains
    for group_id, reason in reasons.items():
        if group_id not in drains:
            drains[group_id] = group_states.Drain(reason, draft.view.now_s)
            draft.actions.append(group_plans.BeginDrain(group_id, reason))
    for group_id in [g for g in drains if g not in reasons]:
        del drains[group_id]
        draft.actions.append(group_plans.EndDrain(group_id))


def _find_reasons(
    draft: group_plans.Draft, is_make_first: bool
) -> dict[str, str]:
    surplus = _list_surplus(draft.view)
    reasons = {}
    for group_id in draft.slots:
        reason = _find_reason(draft, group_id, surplus, is_make_first)
        if reason:
            reasons[group_id] = reason
    return reasons


def _find_reason(
    draft: group_plans.Draft,
    group_id: str,
    surplus: set[str],
    is_make_first: bool,
) -> str:
    view = draft.view
    group = draft.group(group_id)
    service = view.service_of(group)
    if service is None:
        return REMOVED
    is_in = view.state.config.is_in_service(view.data_centre)
    checks = (
        (len(group.members) != service.group_size, RESHAPED),
        (group_id in surplus, SURPLUS),
        (_is_taken_over(draft, group_id, is_make_first), REPLACED),
        (_can_return(draft, group), RETURNED),
        (_is_gone(draft, group), GONE),
        (not is_in, OUT_OF_SERVICE),
        (_SlotState.LEAVING in draft.slots[group_id], VM_LEAVING),
        (_is_reloading(draft, group_id), UPGRADING),
        (_can_shed_slow(draft, group, service), SLOW_MEMBER),
    )
    return next((reason for holds, reason in checks if holds), "")


def _is_taken_over(
    draft: group_plans.Draft, group_id: str, is_make_first: bool
) -> bool:
    # A successor in another domain stands in while a data centre is out;
    # the group itself stays loaded, to serve at once when it is back.
    successor = draft.view.state.successor_of.get(group_id)
    if successor not in draft.slots:
        return False
    return not is_make_first or _has_warmed(draft, successor)


def _can_return(draft: group_plans.Draft, group: replay.Group) -> bool:
    """Tell whether the group that this one stands in for serves again."""
    view = draft.view
    replaced = view.state.groups.get(group.replaces)
    if replaced is None or replaced.unit == view.unit:
        return False
    if replaced.group_id not in view.warm:
        return False
    place = formations.map_places(view).get(replaced.unit, "")
    return view.state.config.is_in_service(place)


def _is_gone(draft: group_plans.Draft, group: replay.Group) -> bool:
    vms = draft.view.vms
    return all(
        vm not in vms or (vms[vm].is_silent and not vms[vm].is_listed)
        for vm in group.members
    )


def _has_warmed(draft: group_plans.Draft, group_id: str) -> bool:
    # A successor that gets no work cannot show that it is warm, so being
    # whole for long enough counts as well.
    if group_id in draft.view.warm:
        return True
    since_s = draft.memory.whole_since_s.get(group_id, draft.view.now_s)
    return draft.view.now_s - since_s >= WARMING_LIMIT_S


def _list_surplus(view: group_states.DomainView) -> set[str]:
    surplus: set[str] = set()
    for name, service in view.state.config.services.items():
        excess = view.state.replica_counts[name] - service.replicas
        if excess > 0:
            surplus.update(_choose_surplus(view, name, excess))
    return surplus


def _choose_surplus(
    view: group_states.DomainView, name: str, excess: int
) -> list[str]:
    config = view.state.config
    places = formations.map_places(view)
    groups = view.state.groups
    names = [g for g in groups if groups[g].service == name]
    ranked = rendezvous.rank(name, names)
    ranked.sort(
        key=lambda g: config.is_in_service(places.get(groups[g].unit, ""))
    )
    return ranked[:excess]


def _can_shed_slow(
    draft: group_plans.Draft,
    group: replay.Group,
    service: configuration.Service,
) -> bool:
    if service.kind == "plain":
        return False
    return any(
        draft.memory.health_of(vm).is_slow and draft.has_warm(service, rank)
        for rank, vm in enumerate(group.members)
    )


def _upgrade(draft: group_plans.Draft, is_make_first: bool) -> None:
    """Move one group at a time to the version in the configuration."""
    upgrading = draft.memory.upgrading
    for group_id in list(upgrading):
        slots = draft.slots.get(group_id, ())
        is_ready = set(slots) == {_SlotState.READY}
        if not slots or (is_ready and _has_warmed(draft, group_id)):
            upgrading.discard(group_id)
    outdated = [g for g in draft.slots if _is_outdated(draft, g)]
    if upgrading or not outdated or _is_handing_over(draft):
        return
    in_flight = draft.view.in_flight
    group_id = min(outdated, key=lambda g: (in_flight.get(g, 0), g))
    if not (is_make_first and _form_successor(draft, group_id)):
        upgrading.add(group_id)


def _is_reloading(draft: group_plans.Draft, group_id: str) -> bool:
    is_ready = set(draft.slots[group_id]) == {_SlotState.READY}
    return group_id in draft.memory.upgrading and not is_ready


def _is_outdated(draft: group_plans.Draft, group_id: str) -> bool:
    group = draft.group(group_id)
    service = draft.view.service_of(group)
    if service is None or service.kind == "plain":
        return False
    if set(draft.slots[group_id]) != {_SlotState.READY}:
        return False
    version = group_states.version_of(draft.view, group, draft.memory)
    return version != service.version


def _is_handing_over(draft: group_plans.Draft) -> bool:
    return any(draft.group(g).replaces in draft.slots for g in draft.slots)


def _form_successor(draft: group_plans.Draft, group_id: str) -> bool:
    group = draft.group(group_id)
    service = draft.view.service_of(group)
    free = draft.list_free(service, group.service)
    if len(free) < service.group_size:
        return False
    formations.form_one(draft, group.service, service, group_id)
    return True


def _replace_leaving(draft: group_plans.Draft) -> None:
    """Form successors of groups of one VM that leaves."""
    replaced = draft.view.state.successor_of
    for group_id, slots in draft.slots.items():
        if slots == (_SlotState.LEAVING,) and group_id not in replaced:
            _form_successor(draft, group_id)
