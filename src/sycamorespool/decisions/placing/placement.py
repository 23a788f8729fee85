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

from collections import abc
import math

from sycamorespool import backends
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions.placing import server_activity

# Added to a load, which is a fraction of the server's slots; ranks a suspect
# server behind every other one.
SUSPECT_PENALTY = 1000.0
# A server is passed over if all entries have more requests there than this
# multiple of the mean, and so many more.
LOAD_BOUND = 1.5
LOAD_SLACK = 2.0
# Ranks a server with more requests behind every one with fewer, but before a
# suspect one.
OVERLOAD_PENALTY = 100.0


def choose(
    state: placement_state.PlacementState,
    request: candidates.PlacementRequest,
    now_s: float,
    tie_breaker: float,
    may_take: abc.Callable[[backends.Backend], bool],
) -> backends.Backend | None:
    """Return the server for a request, or None if there is none.

    Parameters
    ----------
    state : PlacementState
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
    usable = candidates.list_usable(state, request, now_s)
    if not usable:
        return None
    compute_load = make_load_order(state, request, usable, now_s)
    start = int(tie_breaker * len(usable))
    ranked = sorted(usable[start:] + usable[:start], key=compute_load)
    return next((b for b in ranked if may_take(b)), None)


def make_load_order(
    state: placement_state.PlacementState,
    request: candidates.PlacementRequest,
    usable: abc.Sequence[backends.Backend],
    now_s: float,
) -> abc.Callable[[backends.Backend], float]:
    """Return a function that gives the load by which servers are ordered."""
    bound = find_load_bound(state, usable)

    def compute_load(backend: backends.Backend) -> float:
        backend_id = backend.backend_id
        if request.predict_cost_s is not None:
            own = state.find_own_load(backend_id)
            load = request.predict_cost_s(own)
            if state.find_load(backend_id).requests > bound:
                load += OVERLOAD_PENALTY
        else:
            load = _count_load(state, backend)
        if is_suspect(state, backend, now_s):
            load += SUSPECT_PENALTY
        return load

    return compute_load


def is_suspect(
    state: placement_state.PlacementState,
    backend: backends.Backend,
    now_s: float,
) -> bool:
    """Tell whether a server is silent for longer than usual."""
    activity = state.activities.get(backend.backend_id)
    mean_ttfb_s = state.find_mean_ttfb_s(backend)
    return activity is not None and server_activity.is_suspect(
        activity, mean_ttfb_s, now_s
    )


def find_load_bound(
    state: placement_state.PlacementState,
    usable: abc.Sequence[backends.Backend],
) -> float:
    """Return the requests above which a server is passed over."""
    if not state.others or not usable:
        return math.inf
    total = sum(state.find_load(b.backend_id).requests for b in usable)
    return LOAD_BOUND * total / len(usable) + LOAD_SLACK


def _count_load(
    state: placement_state.PlacementState, backend: backends.Backend
) -> float:
    """Return this entry's requests at a server, as a part of its slots."""
    activity = state.activities.get(backend.backend_id)
    return activity.in_flight / max(1, backend.slots) if activity else 0.0
