"""Finds the backend servers for a request, and why others cannot get it.

Placement and its explanation use the same list::

    for candidate in examine(state, request, now_s):
        ...  # candidate.obstacle is None if the server may serve it now
"""

from collections import abc
import dataclasses
import enum

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.placing import engine_load
from sycamorespool.decisions.placing import placement_state

_OPEN = backends.MemberState.OPEN


class Obstacle(enum.StrEnum):
    """Names why a server may not serve a request now."""

    NOT_OPEN = "its group is not open"
    MEMBER_LEAVES = "a member of its group leaves"
    LEAVES = "it leaves"
    TRIED = "it was tried already"
    OUT_OF_SERVICE = "its data centre is out of service"
    OTHER_REGION = "its region may not serve the request"
    BLOCKED = "it refused a request or was not the expected one"
    PAUSED = "it wants no requests for a while"


# Obstacles that end by themselves.
TEMPORARY = frozenset({Obstacle.BLOCKED, Obstacle.PAUSED})


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Holds a server, and what keeps a request from it, if anything."""

    backend: backends.Backend
    obstacle: Obstacle | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Holds the constraints of a request on its placement.

    Parameters
    ----------
    service : str
        The requested service.
    model : str
        The requested model, empty for a plain service.
    allowed_regions : frozenset of str or None
        Regions that may serve the request; None for all.
    excluded : frozenset of str
        Ids of the servers that were tried already.
    predict_cost_s : callable, optional
        Returns the delay that the request meets and causes at a server with
        a given load; without it requests are counted.
    """

    service: str
    model: str = ""
    allowed_regions: frozenset[str] | None = None
    excluded: frozenset[str] = frozenset()
    predict_cost_s: abc.Callable[[engine_load.ServerLoad], float] | None = None


def _list_heads(
    state: placement_state.PlacementState, request: PlacementRequest
) -> abc.Iterator[Candidate]:
    """Yield the heads of the groups of a model."""
    known = state.registry.servers
    for group in state.registry.groups_of(request.service):
        if domain_view.model_of_group(group.name) != request.model:
            continue
        head = known[group.head] if group.head else None
        if head is None:
            continue
        if head.membership.state is not _OPEN:
            yield Candidate(head, Obstacle.NOT_OPEN)
            continue
        members = (known[vm_id] for vm_id in group.members.values())
        if any(state.is_leaving(member) for member in members):
            yield Candidate(head, Obstacle.MEMBER_LEAVES)
            continue
        yield Candidate(head, None)


def _find_obstacle(
    state: placement_state.PlacementState,
    request: PlacementRequest,
    backend: backends.Backend,
    now_s: float,
) -> Obstacle | None:
    regions = request.allowed_regions
    if state.is_leaving(backend):
        return Obstacle.LEAVES
    if backend.backend_id in request.excluded:
        return Obstacle.TRIED
    if backend.data_centre in state.evacuated:
        return Obstacle.OUT_OF_SERVICE
    if regions is not None and (
        state.regions.get(backend.data_centre) not in regions
    ):
        return Obstacle.OTHER_REGION
    if state.blocked_until_s.get(backend.backend_id, 0.0) > now_s:
        return Obstacle.BLOCKED
    if not state.may_send(backend, now_s):
        return Obstacle.PAUSED
    return None


def examine(
    state: placement_state.PlacementState,
    request: PlacementRequest,
    now_s: float,
) -> abc.Iterator[Candidate]:
    """Yield the servers of a request's service and model."""
    if request.model:
        found = _list_heads(state, request)
    else:
        plain = state.registry.servers_of(request.service)
        found = (Candidate(backend, None) for backend in plain)
    for candidate in found:
        if candidate.obstacle is not None:
            yield candidate
            continue
        backend = candidate.backend
        obstacle = _find_obstacle(state, request, backend, now_s)
        yield Candidate(backend, obstacle)


def list_eligible(
    state: placement_state.PlacementState,
    request: PlacementRequest,
    now_s: float,
) -> list[backends.Backend]:
    """Return the servers that may serve a request now or in a while."""
    return [
        candidate.backend
        for candidate in examine(state, request, now_s)
        if candidate.obstacle is None or candidate.obstacle in TEMPORARY
    ]


def list_usable(
    state: placement_state.PlacementState,
    request: PlacementRequest,
    now_s: float,
) -> list[backends.Backend]:
    """Return the servers that may serve a request now."""
    return [
        candidate.backend
        for candidate in examine(state, request, now_s)
        if candidate.obstacle is None
    ]


def find_backoff_end_s(
    state: placement_state.PlacementState,
    request: PlacementRequest,
    now_s: float,
) -> float | None:
    """Return when the first server wants requests again.

    None if some server wants them now, or if there is no server at all.
    """
    ends_s = [
        state.backoff_until_s.get(backend.backend_id, now_s)
        for backend in list_eligible(state, request, now_s)
    ]
    end_s = min(ends_s, default=now_s)
    return end_s if end_s > now_s else None
