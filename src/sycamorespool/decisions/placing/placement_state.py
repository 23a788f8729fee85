"""Holds what an entry knows when it places requests on backend servers."""

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
# How long no request goes to a server that refused one: the first time, and
# at most after several refusals in a row.
REFUSED_BLOCK_S = 0.15
MAX_REFUSED_BLOCK_S = 0.6
# Servers whose leaving is remembered; the oldest are forgotten first.
MAX_LEAVING = 4096
NO_REQUESTS = fleet_load.Requests()


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
