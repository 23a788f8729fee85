"""How many requests a group can bear, judged on evidence.

A fresh group stays at the service's ``cold_limit`` until it has completed
``warm_after`` requests: work done under the cold limit does not show that
more can be borne.  Then the limit doubles each time the group has completed
enough work at normal latency, up to ``warm_limit``, and falls back at once
when the group turns cold::

    ramp = observe(None, service, reports)
    ramp = observe(ramp, service, later_reports)
    ramp.limit
"""

import dataclasses
import typing as t

from sycamorespool import configuration
from sycamorespool import models

COMPLETED_PER_PLACE = 2
GROWTH = 2
NORMAL_RATIO = 1.5
JUMP_RATIO = 3.0
SMOOTHING = 0.2
CACHE_LOSS_RATIO = 0.1
CACHE_MIN_BLOCKS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What the members of one group report together.

    Parameters
    ----------
    incarnations : tuple of int
        Start numbers of the members in rank order.
    is_ready : bool
        Whether every member has its weights loaded.
    in_flight, completed : int
        Requests of the group.
    interval_s : float
        Mean time between tokens of the slowest member, 0 if none.
    cached_blocks : int
        Least use of the prefix cache, or -1 if a member does not say.
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
    """The limit of one group and the evidence behind it.

    Parameters
    ----------
    limit : int
        Requests in flight that the group can bear.
    load : Load
        The newest observation.
    completed : int
        Requests completed when the limit last changed.
    normal_s : float
        Smoothed time between tokens, 0 before the first.
    reason : str
        Why the limit last fell.
    completed_cold : int
        Requests completed when the group last turned cold.
    """

    limit: int
    load: Load
    completed: int
    normal_s: float = 0.0
    reason: str = ""
    completed_cold: int = 0


def summarise(reports: t.Sequence[models.ProbeReport]) -> Load:
    """Return what the reports of a group's members say together."""
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
    # A VM that took a rank may have the start number of the one before.
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
    return 0 < ramp.normal_s * JUMP_RATIO < load.interval_s


_FALLS: tuple[tuple[str, t.Callable[[Ramp, Load], bool]], ...] = (
    ("not ready", lambda ramp, load: not load.is_ready),
    ("restarted", _is_restarted),
    ("counter reset", _is_counter_reset),
    ("cache gone", _is_cache_gone),
    ("latency jump", _is_latency_jump),
)


def _start(service: configuration.Service, load: Load) -> Ramp:
    # A new grantor knows no history; the load that the group bears at this
    # moment is evidence, its age is not.
    borne = load.in_flight if load.is_ready else 0
    limit = min(max(borne, service.cold_limit), service.warm_limit)
    return Ramp(limit, load, load.completed, load.interval_s)


def _is_normal(ramp: Ramp, load: Load) -> bool:
    return not ramp.normal_s or (
        load.interval_s <= ramp.normal_s * NORMAL_RATIO
    )


def _smooth(ramp: Ramp, load: Load) -> float:
    if not load.interval_s:
        return ramp.normal_s
    if not ramp.normal_s:
        return load.interval_s
    return ramp.normal_s + SMOOTHING * (load.interval_s - ramp.normal_s)


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
        The ramp before, or None for a group not yet known.
    service : configuration.Service
        Gives ``cold_limit`` and ``warm_limit``.
    load : Load
        What the members report.
    may_ramp : bool
        Whether the limit may rise; it may always fall.
    """
    if ramp is None:
        return _start(service, load)
    for reason, has_fallen in _FALLS:
        if has_fallen(ramp, load):
            # The old normal time stays, so that a slow group is not taken
            # for a normal one after its fall.
            normal_s = ramp.normal_s if load.interval_s else 0.0
            return Ramp(
                service.cold_limit,
                load,
                load.completed,
                normal_s,
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
        limit = min(limit * GROWTH, service.warm_limit)
        completed = load.completed
    return dataclasses.replace(
        ramp,
        limit=limit,
        load=load,
        completed=completed,
        normal_s=_smooth(ramp, load),
    )
