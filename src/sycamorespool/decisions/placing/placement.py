"""Places requests on backend servers, with stall detection.

Each entry decides on its own, from the registry and from the requests that
it sent itself::

    target = choose(placement, request, now_s, tie_breaker, may_take)

The least loaded group gets the request; among equals, one at random.  The
entry's own data centre is not preferred: an entry of a large fleet has few
requests in flight, so that nearly all groups are equal to it, and the entries
of a data centre would together overload the few groups there.

Where the engine's times are published, the load is the delay that the request
would meet and cause.  If the entry knows what the others have at the servers,
it passes over those with far more than the mean.  It does not take the one
with the least: what it knows is some hundred ms old, and all entries would
choose the same one.

A group becomes suspect when none of its streams makes progress, even before
its owner has detected the failure.  It then gets no request while another
group can serve it.
"""

import collections
from collections import abc
import dataclasses
import math

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.placing import engine_load
from sycamorespool.decisions.placing import fleet_load
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions import registry

# Weight of the newest sample in the moving average of the TTFB.
TTFB_WEIGHT = 0.05
# Added to a load, which is a fraction of the server's slots; ranks a suspect
# server behind every other one.
SUSPECT_PENALTY = 1000.0
# How long no request goes to a server that refused one: the first time, and
# at most after several refusals in a row.
REFUSED_BLOCK_S = 0.15
MAX_REFUSED_BLOCK_S = 0.6
# Requests at a server, of all entries, above which it is passed over: a
# multiple of the mean, and some more while there are few.
LOAD_BOUND = 1.25
LOAD_SLACK = 1.0
# Ranks a server with more requests behind every one with fewer, but before a
# suspect one.
OVERLOAD_PENALTY = 100.0
NO_REQUESTS = fleet_load.Requests()
# Servers whose leaving is remembered; the oldest are forgotten first.
MAX_LEAVING = 4096


@dataclasses.dataclass(slots=True)
class PlacementState:
    """Holds what an entry knows when it places a request.

    Parameters
    ----------
    registry : Registry
        The known backend servers.
    regions : mapping
        Region by data centre.
    evacuated : set of str
        Data centres that get no requests.
    activities : dict
        Activity of each server, by server id.
    blocked_until_s : dict
        Until when a server that refused a request or could not be reached
        gets no further one, by server id.
    ttfb_s : dict
        Mean time to the first byte of an answer, by service and model.
    leaving_ms : dict
        Start of the processes that said that they leave, in Unix
        milliseconds, by server id.  It is kept when the server is no longer
        in the registry, as a restored registry may list it again.
    backoff_until_s : dict
        Until when a server wants no request from this entry, by server id.
    others : mapping
        Requests of the other entries at the servers, by server id; empty if
        they are not known.
    """

    registry: registry.Registry
    regions: abc.Mapping[str, str]
    evacuated: set[str] = dataclasses.field(default_factory=set)
    activities: collections.defaultdict[
        str, server_activity.BackendActivity
    ] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            server_activity.BackendActivity
        )
    )
    blocked_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    ttfb_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    leaving_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    backoff_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    others: abc.Mapping[str, fleet_load.Requests] = dataclasses.field(
        default_factory=dict
    )

    def find_load(self, backend_id: str) -> engine_load.ServerLoad:
        """Return what a server has to do, as far as it is known."""
        load = self.find_own_load(backend_id)
        others = self.others.get(backend_id, NO_REQUESTS)
        load.requests += others.running
        load.postponed += others.postponed
        return load

    def find_own_load(self, backend_id: str) -> engine_load.ServerLoad:
        """Return what a server has to do for this entry."""
        load = engine_load.ServerLoad()
        activity = self.activities.get(backend_id)
        if activity is None:
            return load
        load.requests += activity.in_flight
        for attempt in activity.running:
            if attempt.has_begun:
                continue
            if attempt.is_postponed:
                load.postponed += 1
            else:
                load.unread += 1
                load.unread_tokens += attempt.prompt_tokens
        return load

    def note_notice(
        self, backend: backends.Backend, notice: backends.Notice, now_s: float
    ) -> None:
        """Record what a server's answer said of requests that may follow."""
        backend_id = backend.backend_id
        if notice.is_leaving:
            self.leaving_ms.pop(backend_id, None)
            self.leaving_ms[backend_id] = backend.started_ms
            if len(self.leaving_ms) > MAX_LEAVING:
                del self.leaving_ms[next(iter(self.leaving_ms))]
        if notice.retry_after_s:
            until_s = now_s + notice.retry_after_s
            known_s = self.backoff_until_s.get(backend_id, until_s)
            self.backoff_until_s[backend_id] = max(until_s, known_s)

    def note_refusal(self, backend_id: str, now_s: float) -> None:
        """Block a server that refused a request, each time for longer.

        A full server refuses at once, so it has few requests in flight and
        would look like the least loaded one.
        """
        activity = self.activities[backend_id]
        block_s = REFUSED_BLOCK_S * 2.0**activity.refusals
        activity.refusals += 1
        until_s = now_s + min(MAX_REFUSED_BLOCK_S, block_s)
        self.blocked_until_s[backend_id] = until_s

    def is_leaving(self, backend: backends.Backend) -> bool:
        """Tell whether a server drains or said that it leaves."""
        said_ms = self.leaving_ms.get(backend.backend_id)
        return backend.is_draining or said_ms == backend.started_ms

    def may_send(self, backend: backends.Backend, now_s: float) -> bool:
        """Tell whether a server neither leaves nor wants a pause now."""
        until_s = self.backoff_until_s.get(backend.backend_id, now_s)
        return until_s <= now_s and not self.is_leaving(backend)

    def note_ttfb(self, backend: backends.Backend, ttfb_s: float) -> None:
        """Update the mean TTFB of a server's service and model."""
        key = _ttfb_key(backend)
        mean = self.ttfb_s.get(key, ttfb_s)
        self.ttfb_s[key] = mean + TTFB_WEIGHT * (ttfb_s - mean)

    def clear_stale_suspicion(
        self, before: backends.Backend | None, after: backends.Backend
    ) -> None:
        """Clear the suspicion of a server that restarted or changed group."""
        if before is None or _instance_key(before) == _instance_key(after):
            return
        activity = self.activities.get(after.backend_id)
        if activity is not None:
            activity.suspect_until_s = -math.inf

    def find_mean_ttfb_s(self, backend: backends.Backend | None) -> float:
        """Return the mean TTFB of a server, 0 if it is unknown."""
        if backend is None:
            return 0.0
        return self.ttfb_s.get(_ttfb_key(backend), 0.0)


def _ttfb_key(backend: backends.Backend) -> tuple[str, str]:
    member = backend.membership
    model = domain_view.model_of_group(member.group) if member else ""
    return (backend.service, model)


def _instance_key(backend: backends.Backend) -> tuple[int, str, int]:
    member = backend.membership
    if member is None:
        return (backend.started_ms, "", 0)
    return (backend.started_ms, member.group, member.epoch)


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
    placement: PlacementState, request: PlacementRequest
) -> abc.Iterator[backends.Backend]:
    known = placement.registry.servers
    for group in placement.registry.groups_of(request.service):
        if domain_view.model_of_group(group.name) != request.model:
            continue
        head = known[group.head] if group.head else None
        if head is None or head.membership.state is not _OPEN:
            continue
        members = (known[vm_id] for vm_id in group.members.values())
        if any(placement.is_leaving(member) for member in members):
            continue
        yield head


_OPEN = backends.MemberState.OPEN


def list_eligible(
    placement: PlacementState, request: PlacementRequest
) -> list[backends.Backend]:
    """Return the servers that may serve a request now or in a while."""
    if request.model:
        found = _list_heads(placement, request)
    else:
        found = iter(placement.registry.servers_of(request.service))
    return [
        backend
        for backend in found
        if not placement.is_leaving(backend)
        and backend.backend_id not in request.excluded
        and backend.data_centre not in placement.evacuated
        and (
            request.allowed_regions is None
            or placement.regions.get(backend.data_centre)
            in request.allowed_regions
        )
    ]


def list_usable(
    placement: PlacementState, request: PlacementRequest, now_s: float
) -> list[backends.Backend]:
    """Return the servers that may serve a request now."""
    return [
        backend
        for backend in list_eligible(placement, request)
        if placement.blocked_until_s.get(backend.backend_id, 0.0) <= now_s
        and placement.may_send(backend, now_s)
    ]


def find_backoff_end_s(
    placement: PlacementState, request: PlacementRequest, now_s: float
) -> float | None:
    """Return when the first server wants requests again.

    None if some server wants them now, or if there is no server at all.
    """
    ends_s = [
        placement.backoff_until_s.get(backend.backend_id, now_s)
        for backend in list_eligible(placement, request)
    ]
    end_s = min(ends_s, default=now_s)
    return end_s if end_s > now_s else None


def choose(
    placement: PlacementState,
    request: PlacementRequest,
    now_s: float,
    tie_breaker: float,
    may_take: abc.Callable[[backends.Backend], bool],
) -> backends.Backend | None:
    """Return the server for a request, or None if there is none.

    Parameters
    ----------
    placement : PlacementState
        The servers and their load.
    request : PlacementRequest
        Constraints of the request.
    now_s : float
        The present time.
    tie_breaker : float
        A random number in 0..1 that chooses among equally loaded servers.
    may_take : callable
        Tells whether a server may get one more request now, by its circuit
        breaker and, while it is cold, by its rate limit.
    """
    usable = list_usable(placement, request, now_s)
    if not usable:
        return None

    bound = _find_load_bound(placement, usable)

    def compute_load(backend: backends.Backend) -> float:
        backend_id = backend.backend_id
        if request.predict_cost_s is not None:
            own = placement.find_own_load(backend_id)
            load = request.predict_cost_s(own)
            if placement.find_load(backend_id).requests > bound:
                load += OVERLOAD_PENALTY
        else:
            load = _count_load(placement, backend)
        activity = placement.activities.get(backend_id)
        mean_ttfb_s = placement.find_mean_ttfb_s(backend)
        if activity and server_activity.is_suspect(
            activity, mean_ttfb_s, now_s
        ):
            load += SUSPECT_PENALTY
        return load

    start = int(tie_breaker * len(usable))
    ranked = sorted(usable[start:] + usable[:start], key=compute_load)
    return next((b for b in ranked if may_take(b)), None)


def _find_load_bound(
    placement: PlacementState, usable: list[backends.Backend]
) -> float:
    """Return the requests above which a server is passed over."""
    if not placement.others:
        return math.inf
    total = sum(placement.find_load(b.backend_id).requests for b in usable)
    return LOAD_BOUND * total / len(usable) + LOAD_SLACK


def _count_load(placement: PlacementState, backend: backends.Backend) -> float:
    """Return this entry's requests at a server, as a part of its slots."""
    activity = placement.activities.get(backend.backend_id)
    return activity.in_flight / max(1, backend.slots) if activity else 0.0


def forget(placement: PlacementState, backend_id: str, now_s: float) -> None:
    """Drop the state of a server that left the registry."""
    placement.blocked_until_s.pop(backend_id, None)
    placement.backoff_until_s = {
        held_id: until_s
        for held_id, until_s in placement.backoff_until_s.items()
        if until_s > now_s
    }
    activity = placement.activities.get(backend_id)
    if activity is not None and not activity.in_flight:
        del placement.activities[backend_id]
