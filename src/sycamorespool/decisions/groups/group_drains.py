"""Decides which groups drain, and when drained groups are dissolved.

A group drains for one of the reasons listed below, such as a leaving member,
a new model version or too many replicas.  Replacement is make-before-break:
the successor is whole and warm before the old group drains, and a drained
group is dissolved only when it has no requests left.
"""

from sycamorespool import configuration
from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import formations
from sycamorespool.decisions.groups import plan_draft
from sycamorespool.decisions import rendezvous
from sycamorespool.decisions import replay

# A group that has been ready for this long counts as warm, since without
# requests it cannot show that it is.
WARMING_LIMIT_S = 30.0

SERVICE_REMOVED = "service removed"
SUPERSEDED = "another group took over"
ORIGINAL_BACK = "the group that it stands in for is back"
NO_MEMBER_LEFT = "no member is left"
SURPLUS = "more groups than replicas"
GROUP_SIZE_CHANGED = "group size changed"
OUT_OF_SERVICE = "data centre out of service"
VM_LEAVING = "a member leaves"
UPGRADING = "new model version"
SLOW_MEMBER = "a member is slow"

_FINAL_REASONS = frozenset(
    {
        SERVICE_REMOVED,
        SUPERSEDED,
        ORIGINAL_BACK,
        NO_MEMBER_LEFT,
        SURPLUS,
        GROUP_SIZE_CHANGED,
    }
)

_SlotState = domain_state.SlotState


def plan_drains(
    draft: plan_draft.Draft, *, is_make_before_break: bool = True
) -> None:
    """Begin and end drains, and dissolve groups that have drained for good.

    Without ``is_make_before_break``, a group drains as soon as its successor
    is formed, and upgrades form no successors.
    """
    _track_ready_groups(draft)
    _plan_upgrade(draft, is_make_before_break)
    _replace_leaving_groups(draft)
    reasons = _find_drain_reasons(draft, is_make_before_break)
    _update_drains(draft, reasons)
    for group_id, reason in reasons.items():
        if reason in _FINAL_REASONS and plan_draft.is_idle(
            draft.view, draft.memory, group_id
        ):
            draft.dissolve(group_id, reason)


def _track_ready_groups(draft: plan_draft.Draft) -> None:
    ready_since_s = draft.memory.ready_since_s
    for group_id, slots in draft.slots.items():
        if set(slots) == {_SlotState.READY}:
            ready_since_s.setdefault(group_id, draft.view.now_s)
        else:
            ready_since_s.pop(group_id, None)
    for group_id in [g for g in ready_since_s if g not in draft.slots]:
        del ready_since_s[group_id]


def _update_drains(draft: plan_draft.Draft, reasons: dict[str, str]) -> None:
    drains = draft.memory.drains
    for group_id, reason in reasons.items():
        if group_id not in drains:
            drains[group_id] = domain_state.Drain(reason, draft.view.now_s)
            draft.actions.append(plan_draft.BeginDrain(group_id, reason))
    for group_id in [g for g in drains if g not in reasons]:
        del drains[group_id]
        draft.actions.append(plan_draft.EndDrain(group_id))


def _find_drain_reasons(
    draft: plan_draft.Draft, is_make_before_break: bool
) -> dict[str, str]:
    surplus = _list_surplus(draft.view)
    reasons = {}
    for group_id in draft.slots:
        reason = _find_drain_reason(
            draft, group_id, surplus, is_make_before_break
        )
        if reason:
            reasons[group_id] = reason
    return reasons


def _find_drain_reason(
    draft: plan_draft.Draft,
    group_id: str,
    surplus: set[str],
    is_make_before_break: bool,
) -> str:
    view = draft.view
    group = draft.group(group_id)
    service = view.service_of(group)
    if service is None:
        return SERVICE_REMOVED
    is_available = view.state.config.is_in_service(view.data_centre)
    checks = (
        (len(group.members) != service.group_size, GROUP_SIZE_CHANGED),
        (group_id in surplus, SURPLUS),
        (_is_superseded(draft, group_id, is_make_before_break), SUPERSEDED),
        (_is_original_back(draft, group), ORIGINAL_BACK),
        (_has_no_member_left(draft, group), NO_MEMBER_LEFT),
        (not is_available, OUT_OF_SERVICE),
        (_SlotState.LEAVING in draft.slots[group_id], VM_LEAVING),
        (_is_reloading(draft, group_id), UPGRADING),
        (_can_replace_slow_member(draft, group, service), SLOW_MEMBER),
    )
    return next((reason for applies, reason in checks if applies), "")


def _is_superseded(
    draft: plan_draft.Draft, group_id: str, is_make_before_break: bool
) -> bool:
    # A successor in another domain stands in while the data centre is out
    # of service.  The group stays loaded so that it serves again at once.
    successor = draft.view.state.successor_of.get(group_id)
    if successor not in draft.slots:
        return False
    return not is_make_before_break or _has_warmed(draft, successor)


def _is_original_back(draft: plan_draft.Draft, group: replay.Group) -> bool:
    """Tell whether the group that this one stands in for can serve again."""
    view = draft.view
    original = view.state.groups.get(group.replaces)
    if original is None or original.unit == view.unit:
        return False
    if original.group_id not in view.warm_groups:
        return False
    data_centre = formations.map_data_centres(view).get(original.unit, "")
    return view.state.config.is_in_service(data_centre)


def _has_no_member_left(draft: plan_draft.Draft, group: replay.Group) -> bool:
    vms = draft.view.vms
    return all(
        vm not in vms or (vms[vm].is_silent and not vms[vm].is_listed)
        for vm in group.members
    )


def _has_warmed(draft: plan_draft.Draft, group_id: str) -> bool:
    if group_id in draft.view.warm_groups:
        return True
    since_s = draft.memory.ready_since_s.get(group_id, draft.view.now_s)
    return draft.view.now_s - since_s >= WARMING_LIMIT_S


def _list_surplus(view: domain_state.DomainView) -> set[str]:
    surplus: set[str] = set()
    for name, service in view.state.config.services.items():
        excess = view.state.replica_counts[name] - service.replicas
        if excess > 0:
            surplus.update(_choose_surplus(view, name, excess))
    return surplus


def _choose_surplus(
    view: domain_state.DomainView, name: str, excess: int
) -> list[str]:
    config = view.state.config
    data_centre_of = formations.map_data_centres(view)
    groups = view.state.groups
    group_ids = [g for g in groups if groups[g].service == name]
    ranked = rendezvous.rank(name, group_ids)
    ranked.sort(
        key=lambda g: config.is_in_service(
            data_centre_of.get(groups[g].unit, "")
        )
    )
    return ranked[:excess]


def _can_replace_slow_member(
    draft: plan_draft.Draft,
    group: replay.Group,
    service: configuration.Service,
) -> bool:
    if service.kind == "plain":
        return False
    return any(
        draft.memory.health_of(vm).is_slow and draft.has_warm_vm(service, rank)
        for rank, vm in enumerate(group.members)
    )


def _plan_upgrade(draft: plan_draft.Draft, is_make_before_break: bool) -> None:
    """Upgrade one group at a time to the version in the configuration.

    The group gets a successor if there are enough free VMs; else its own
    members reload once it has drained.
    """
    upgrading = draft.memory.upgrading
    for group_id in list(upgrading):
        slots = draft.slots.get(group_id, ())
        is_ready = set(slots) == {_SlotState.READY}
        if not slots or (is_ready and _has_warmed(draft, group_id)):
            upgrading.discard(group_id)
    outdated = [g for g in draft.slots if _is_outdated(draft, g)]
    if upgrading or not outdated or _is_handover_running(draft):
        return
    in_flight = draft.view.in_flight
    group_id = min(outdated, key=lambda g: (in_flight.get(g, 0), g))
    if not (is_make_before_break and _form_successor(draft, group_id)):
        upgrading.add(group_id)


def _is_reloading(draft: plan_draft.Draft, group_id: str) -> bool:
    is_ready = set(draft.slots[group_id]) == {_SlotState.READY}
    return group_id in draft.memory.upgrading and not is_ready


def _is_outdated(draft: plan_draft.Draft, group_id: str) -> bool:
    group = draft.group(group_id)
    service = draft.view.service_of(group)
    if service is None or service.kind == "plain":
        return False
    if set(draft.slots[group_id]) != {_SlotState.READY}:
        return False
    version = domain_state.target_version(draft.view, group, draft.memory)
    return version != service.version


def _is_handover_running(draft: plan_draft.Draft) -> bool:
    return any(draft.group(g).replaces in draft.slots for g in draft.slots)


def _form_successor(draft: plan_draft.Draft, group_id: str) -> bool:
    group = draft.group(group_id)
    service = draft.view.service_of(group)
    free = draft.list_free(service, group.service)
    if len(free) < service.group_size:
        return False
    formations.form_group(draft, group.service, service, group_id)
    return True


def _replace_leaving_groups(draft: plan_draft.Draft) -> None:
    """Form successors of groups whose only member is leaving."""
    with_successor = draft.view.state.successor_of
    for group_id, slots in draft.slots.items():
        if slots == (_SlotState.LEAVING,) and group_id not in with_successor:
            _form_successor(draft, group_id)
