"""Tracks the health of a domain's VMs over time, for its owner.

Silence, flapping, slowness and quarantine cannot be seen in a single probe,
so the owner's memory records when they began.  Answers to probes take
precedence over the membership list, which lags.
"""

import enum
import math
import statistics

from sycamorespool.decisions.groups import domain_state
from sycamorespool import models

# A flap is a return from silence.  More flaps than this lead to quarantine;
# the count starts again after FLAP_WINDOW_S without a flap.
FLAPS_TOLERATED = 2
FLAP_WINDOW_S = 600.0
# Length of the first quarantine; each further flap doubles it.
QUARANTINE_S = 30.0
QUARANTINE_MAX_S = 600.0
# How long an order may be on its way to a VM.
ORDER_DELIVERY_MAX_S = 5.0
# A VM is slow once its token interval has been above the first ratio to the
# domain's median for SLOW_AFTER_S, until it falls below the second.
SLOW_ABOVE_RATIO = 2.0
SLOW_BELOW_RATIO = 1.3
SLOW_AFTER_S = 10.0
# Share of a domain's VMs whose silence counts as one outage of the domain, and
# how long after it the VMs have to return before groups change.
OUTAGE_SHARE = 0.9
OUTAGE_SETTLE_S = 5.0


class VmCondition(enum.StrEnum):
    """Names the owner's classification of a VM."""

    FREE = "free"
    RESERVED = "reserved"
    MEMBER = "member"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"
    GONE = "gone"


def update_memory(
    view: domain_state.DomainView, memory: domain_state.PlannerMemory
) -> None:
    """Update the memory in place from what the view shows now."""
    if memory.epoch != view.epoch:
        _reset_for_epoch(view, memory)
    for vm, status in view.vms.items():
        _update_vm(view.now_s, memory, vm, status)
    _detect_slow_vms(view, memory)
    _detect_outage(view, memory)
    verdicts = view.state.verdicts
    memory.pending_records = {
        r for r in memory.pending_records if r not in verdicts
    }


def _reset_for_epoch(
    view: domain_state.DomainView, memory: domain_state.PlannerMemory
) -> None:
    # An order of the previous owner may still reach an engine that ignores
    # fencing numbers, so no VM joins a group until all such orders must have
    # arrived.
    services = view.state.config.services.values()
    is_ignored = any(
        s.fencing == "ignored" and s.kind == "model" for s in services
    )
    memory.epoch = view.epoch
    memory.sequence = 0
    memory.pending_records.clear()
    memory.orders.clear()
    if not is_ignored:
        return
    for vm in view.vms:
        health = memory.health_of(vm)
        health.quarantined_until_s = view.now_s + ORDER_DELIVERY_MAX_S


def _update_vm(
    now_s: float,
    memory: domain_state.PlannerMemory,
    vm: str,
    status: domain_state.VmStatus,
) -> None:
    health = memory.health_of(vm)
    if status.report is None and status.failures == 0:
        return
    if status.is_silent:
        health.silent_since_s = min(health.silent_since_s, now_s)
        return
    if health.silent_since_s < math.inf:
        health.silent_since_s = math.inf
        if now_s >= memory.outage_until_s:
            _count_flap(now_s, health)
    sent = memory.orders.get(vm)
    if sent is not None and not sent.is_confirmed:
        is_newer = status.received_s > sent.sent_s
        sent.is_confirmed = is_newer and _shows_effect(
            status.report, sent.order
        )


def _count_flap(now_s: float, health: domain_state.VmHealth) -> None:
    if now_s - health.last_flap_s > FLAP_WINDOW_S:
        health.flaps = 0
    health.flaps += 1
    health.last_flap_s = now_s
    excess = health.flaps - FLAPS_TOLERATED
    if excess > 0:
        wait_s = min(QUARANTINE_S * 2 ** (excess - 1), QUARANTINE_MAX_S)
        health.quarantined_until_s = now_s + wait_s


def _shows_effect(report: models.ProbeReport, order: models.Order) -> bool:
    if isinstance(order, models.JoinOrder):
        return (report.group_id, report.epoch) == (order.group_id, order.epoch)
    if isinstance(order, models.LeaveOrder):
        return report.group_id != order.group_id
    return report.weights == order.weights


def _detect_slow_vms(
    view: domain_state.DomainView, memory: domain_state.PlannerMemory
) -> None:
    intervals_s = {
        vm: status.report.token_interval_s
        for vm, status in view.vms.items()
        if not status.is_silent and status.report.token_interval_s > 0
    }
    if len(intervals_s) < 3:
        return
    median_s = statistics.median(intervals_s.values())
    for vm, interval_s in intervals_s.items():
        _update_slowness(
            view.now_s, memory.health_of(vm), interval_s / median_s
        )


def _update_slowness(
    now_s: float, health: domain_state.VmHealth, ratio: float
) -> None:
    if ratio < SLOW_BELOW_RATIO:
        health.is_slow = False
        health.slow_since_s = math.inf
    elif ratio > SLOW_ABOVE_RATIO:
        health.slow_since_s = min(health.slow_since_s, now_s)
        health.is_slow = now_s - health.slow_since_s >= SLOW_AFTER_S


def _detect_outage(
    view: domain_state.DomainView, memory: domain_state.PlannerMemory
) -> None:
    # If nearly all VMs are silent, they share one cause, which may be the
    # owner's own network; groups are kept until the VMs had time to return.
    listed = [e for e in view.vms.values() if e.is_listed]
    silent = sum(status.is_silent for status in listed)
    if len(listed) > 1 and silent >= OUTAGE_SHARE * len(listed):
        memory.outage_until_s = view.now_s + OUTAGE_SETTLE_S


def classify_vm(
    view: domain_state.DomainView,
    memory: domain_state.PlannerMemory,
    vm: str,
    is_reserved: bool = False,
) -> VmCondition:
    """Return how the owner classifies a VM.

    A VM that could be free counts as reserved if ``is_reserved`` is set.
    """
    status = view.vms.get(vm)
    health = memory.health_of(vm)
    conditions = (
        (status is None or status.is_silent, VmCondition.GONE),
        (vm in view.state.group_of_vm, VmCondition.MEMBER),
        (domain_state.is_leaving(view, vm), VmCondition.LEAVING),
        (
            status is not None and not status.is_listed,
            VmCondition.LEAVING,
        ),
        (view.now_s < health.quarantined_until_s, VmCondition.QUARANTINED),
        (is_reserved, VmCondition.RESERVED),
    )
    return next(
        (condition for applies, condition in conditions if applies),
        VmCondition.FREE,
    )
