"""Ramps a group's limit of requests in flight up as the group warms up.

A new group stays at the service's ``cold_limit`` until it has completed
``warm_after`` requests, since requests completed under the cold limit do
not show that the group can sustain more.  Then the limit doubles each time
the group has completed enough requests at normal latency, up to
``warm_limit``.  It falls back to ``cold_limit`` at once when the group
turns cold::

    ramp = observe(None, service, reports)
    ramp = observe(ramp, service, later_reports)
    ramp.limit
"""

import dataclasses
import typing as t

from sycamorespool import configuration
from sycamorespool import models

# Requests to complete for each place of the limit before the limit rises.
COMPLETED_PER_PLACE = 2
GROWTH_FACTOR = 2
# A time between tokens of up to this multiple of the usual one is normal.
NORMAL_LATENCY_RATIO = 1.5
# A time between tokens above this multiple of the usual one means cold.
LATENCY_JUMP_RATIO = 3.0
# Weight of the newest observation in the usual time between tokens.
SMOOTHING = 0.2
# A prefix cache that shrinks below this part of its blocks has been lost,
CACHE_LOSS_RATIO = 0.1
# but only if it had at least this many blocks.
CACHE_MIN_BLOCKS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Holds a summary of the reports of one group's members.

    Parameters
    ----------
    incarnations : tuple of int
        Start numbers of the members in rank order.
    is_ready : bool
        Whether every member has loaded its weights.
    in_flight, completed : int
        Requests of the group in flight and completed since its start.
    interval_s : float
        Mean time between tokens of the slowest member, 0 if there is none.
    cached_blocks : int
        Smallest number of blocks in a member's prefix cache, or -1 if a
        member does not report it.
    vms : tuple of str
        Names of the members' VMs in rank order.
    """

    incarnations: tuple[int, ...]
    is_ready: bool
    in_flight: int
    completed: int
    interval_s: float
    cached_blocks: int = -1
    vms: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ramp:
    """Holds the limit of one group and the observations that it rests on.

    Parameters
    ----------
    limit : int
        Requests in flight that the group can sustain.
    load : Load
        The newest observation.
    completed : int
        Completed requests as of the last change of the limit, or as of the
        last observation with a latency above normal if that was later.
    normal_interval_s : float
        Smoothed time between tokens in s, 0 before the first.
    reason : str
        Why the limit last fell.
    completed_cold : int
        Completed requests as of the time when the group last turned cold.
    """

    limit: int
    load: Load
    completed: int
    normal_interval_s: float = 0.0
    reason: str = ""
    completed_cold: int = 0


def summarise(reports: t.Sequence[models.ProbeReport]) -> Load:
    """Return a summary of the reports of a group's members."""
    ordered = sorted(reports, key=lambda report: report.rank)
    return Load(
        tuple(report.incarnation for report in ordered),
        all(r.phase is models.EnginePhase.READY for r in ordered),
        max((report.in_flight for report in ordered), default=0),
        max((report.completed for report in ordered), default=0),
        max((report.token_interval_s for report in ordered), default=0.0),
        min((report.cached_blocks for report in ordered), default=-1),
        vms=tuple(report.vm for report in ordered),
    )


def _is_restarted(ramp: Ramp, load: Load) -> bool:
    # A VM that replaced another may have the same start number as it had.
    before = ramp.load
    return (load.vms, load.incarnations) != (before.vms, before.incarnations)


def _is_counter_reset(ramp: Ramp, load: Load) -> bool:
    return load.completed < ramp.load.completed


def _is_cache_gone(ramp: Ramp, load: Load) -> bool:
    before = ramp.load.cached_blocks
    return (
        before >= CACHE_MIN_BLOCKS
        and 0 <= load.cached_blocks < before * CACHE_LOSS_RATIO
    )


def _is_latency_jump(ramp: Ramp, load: Load) -> bool:
    return 0 < ramp.normal_interval_s * LATENCY_JUMP_RATIO < load.interval_s


_COLD_SIGNS: tuple[tuple[str, t.Callable[[Ramp, Load], bool]], ...] = (
    ("not ready", lambda ramp, load: not load.is_ready),
    ("restarted", _is_restarted),
    ("counter reset", _is_counter_reset),
    ("cache gone", _is_cache_gone),
    ("latency jump", _is_latency_jump),
)


def _start_ramp(service: configuration.Service, load: Load) -> Ramp:
    # A new grantor does not know the group's history.  The load that the
    # group sustains at this moment is evidence, its age is not.
    sustained = load.in_flight if load.is_ready else 0
    limit = min(max(sustained, service.cold_limit), service.warm_limit)
    return Ramp(limit, load, load.completed, load.interval_s)


def _is_normal(ramp: Ramp, load: Load) -> bool:
    return not ramp.normal_interval_s or (
        load.interval_s <= ramp.normal_interval_s * NORMAL_LATENCY_RATIO
    )


def _smooth(ramp: Ramp, load: Load) -> float:
    if not load.interval_s:
        return ramp.normal_interval_s
    if not ramp.normal_interval_s:
        return load.interval_s
    return ramp.normal_interval_s + SMOOTHING * (
        load.interval_s - ramp.normal_interval_s
    )


def observe(
    ramp: Ramp | None,
    service: configuration.Service,
    load: Load,
    may_ramp: bool = True,
) -> Ramp:
    """Return the ramp of a group after one observation.

    Parameters
    ----------
    ramp : Ramp or None
        The previous ramp, or None for a group that is not known yet.
    service : configuration.Service
        The service with its ``cold_limit`` and ``warm_limit``.
    load : Load
        Summary of the members' reports.
    may_ramp : bool
        Whether the limit may rise; it may always fall.
    """
    if ramp is None:
        return _start_ramp(service, load)
    for reason, is_shown in _COLD_SIGNS:
        if is_shown(ramp, load):
            # The usual time between tokens is kept, so that a group that
            # has become slow does not count as normal after the fall.
            normal_interval_s = (
                ramp.normal_interval_s if load.interval_s else 0.0
            )
            return Ramp(
                service.cold_limit,
                load,
                load.completed,
                normal_interval_s,
                reason,
                load.completed,
            )
    limit = min(max(ramp.limit, service.cold_limit), service.warm_limit)
    completed = ramp.completed
    if not _is_normal(ramp, load):
        completed = load.completed
    elif (
        may_ramp
        and limit < service.warm_limit
        and load.completed - ramp.completed_cold >= service.warm_after
        and load.completed - completed >= limit * COMPLETED_PER_PLACE
    ):
        limit = min(limit * GROWTH_FACTOR, service.warm_limit)
        completed = load.completed
    return dataclasses.replace(
        ramp,
        limit=limit,
        load=load,
        completed=completed,
        normal_interval_s=_smooth(ramp, load),
    )
