"""What the owner of a domain remembers of the health of its VMs.

Silence, flapping, slowness and quarantine need a memory, since one probe
does not show them.  The prober's evidence goes before the membership list,
which lags.
"""

import enum
import math
import statistics

from sycamorespool.decisions import group_states
from sycamorespool import models

FLAPS_TOLERATED = 2
FLAP_WINDOW_S = 600.0
QUARANTINE_S = 30.0
QUARANTINE_MAX_S = 600.0
ORDER_FLIGHT_S = 5.0
SLOW_ABOVE_RATIO = 2.0
SLOW_BELOW_RATIO = 1.3
SLOW_AFTER_S = 10.0
DARK_SHARE = 0.9
DARK_SETTLE_S = 5.0


class VmCondition(enum.StrEnum):
    """What the owner makes of one VM."""

    FREE = "free"
    RESERVED = "reserved"
    MEMBER = "member"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"
    GONE = "gone"


def observe(
    view: group_states.DomainView, memory: group_states.Memory
) -> None:
    """Bring the memory up to date with the view, in place."""
    if memory.epoch != view.epoch:
        _take_over(view, memory)
    for vm, evidence in view.vms.items():
        _observe_vm(view.now_s, memory, vm, evidence)
    _observe_slowness(view, memory)
    _observe_darkness(view, memory)
    verdicts = view.state.verdicts
    memory.pending = {r for r in memory.pending if r not in verdicts}


def _take_over(
    view: group_states.DomainView, memory: group_states.Memory
) -> None:
    # An order of the owner before may still land at an engine that ignores
    # fencing numbers, so its VMs enter no group until it must have landed.
    services = view.state.config.services.values()
    is_ignored = any(
        s.fencing == "ignored" and s.kind == "model" for s in services
    )
    memory.epoch = view.epoch
    memory.sequence = 0
    memory.pending.clear()
    memory.orders.clear()
    if not is_ignored:
        return
    for vm in view.vms:
        health = memory.health_of(vm)
        health.quarantined_until_s = view.now_s + ORDER_FLIGHT_S


def _observe_vm(
    now_s: float,
    memory: group_states.Memory,
    vm: str,
    evidence: group_states.VmEvidence,
) -> None:
    health = memory.health_of(vm)
    if evidence.report is None and evidence.failures == 0:
        return
    if evidence.is_silent:
        health.silent_since_s = min(health.silent_since_s, now_s)
        return
    if health.silent_since_s < math.inf:
        health.silent_since_s = math.inf
        if now_s >= memory.dark_until_s:
            _count_flap(now_s, health)
    sent = memory.orders.get(vm)
    if sent is not None and not sent.has_landed:
        is_newer = evidence.received_s > sent.sent_s
        sent.has_landed = is_newer and _reflects(evidence.report, sent.order)


def _count_flap(now_s: float, health: group_states.Health) -> None:
    if now_s - health.last_flap_s > FLAP_WINDOW_S:
        health.flaps = 0
    health.flaps += 1
    health.last_flap_s = now_s
    excess = health.flaps - FLAPS_TOLERATED
    if excess > 0:
        wait_s = min(QUARANTINE_S * 2 ** (excess - 1), QUARANTINE_MAX_S)
        health.quarantined_until_s = now_s + wait_s


def _reflects(report: models.ProbeReport, order: models.Order) -> bool:
    if isinstance(order, models.JoinOrder):
        return (report.group_id, report.epoch) == (order.group_id, order.epoch)
    if isinstance(order, models.LeaveOrder):
        return report.group_id != order.group_id
    return report.weights == order.weights


def _observe_slowness(
    view: group_states.DomainView, memory: group_states.Memory
) -> None:
    intervals_s = {
        vm: evidence.report.token_interval_s
        for vm, evidence in view.vms.items()
        if not evidence.is_silent and evidence.report.token_interval_s > 0
    }
    if len(intervals_s) < 3:
        return
    median_s = statistics.median(intervals_s.values())
    for vm, interval_s in intervals_s.items():
        _rate_slowness(view.now_s, memory.health_of(vm), interval_s / median_s)


def _rate_slowness(
    now_s: float, health: group_states.Health, ratio: float
) -> None:
    if ratio < SLOW_BELOW_RATIO:
        health.is_slow = False
        health.slow_since_s = math.inf
    elif ratio > SLOW_ABOVE_RATIO:
        health.slow_since_s = min(health.slow_since_s, now_s)
        health.is_slow = now_s - health.slow_since_s >= SLOW_AFTER_S


def _observe_darkness(
    view: group_states.DomainView, memory: group_states.Memory
) -> None:
    # If nearly all VMs went silent, the cause is one and may be the owner's
    # own network; nothing is regrouped until they had time to come back.
    listed = [e for e in view.vms.values() if e.is_listed]
    silent = sum(evidence.is_silent for evidence in listed)
    if len(listed) > 1 and silent >= DARK_SHARE * len(listed):
        memory.dark_until_s = view.now_s + DARK_SETTLE_S


def vm_condition(
    view: group_states.DomainView,
    memory: group_states.Memory,
    vm: str,
    is_reserved: bool = False,
) -> VmCondition:
    """Return what the owner makes of one VM."""
    evidence = view.vms.get(vm)
    health = memory.health_of(vm)
    conditions = (
        (evidence is None or evidence.is_silent, VmCondition.GONE),
        (vm in view.state.group_of_vm, VmCondition.MEMBER),
        (group_states.is_leaving(view, vm), VmCondition.LEAVING),
        (
            evidence is not None and not evidence.is_listed,
            VmCondition.LEAVING,
        ),
        (view.now_s < health.quarantined_until_s, VmCondition.QUARANTINED),
        (is_reserved, VmCondition.RESERVED),
    )
    return next(
        (condition for holds, condition in conditions if holds),
        VmCondition.FREE,
    )
