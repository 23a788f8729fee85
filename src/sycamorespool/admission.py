"""Admission control of requests to the backend servers.

A place is the capacity for one request at a group that a grant allows this
entry to use.  Requests wait for a place in a weighted fair queue, one for
each service.  A place that becomes free goes to the next request in the
queue's order.  A request that cannot be served is refused at once, with the
time after which the caller may retry::

    async with admission.hold_place(held, request) as grant:
        ...  # the place is held for as long as the block runs
"""

import collections
import collections.abc
import contextlib
import dataclasses
import random

import trio

from sycamorespool import configuration
from sycamorespool.decisions import retries
from sycamorespool.decisions import shares
from sycamorespool import exceptions
from sycamorespool import grants_held
from sycamorespool import models

# Requests that wait for one service.
MAX_QUEUED = 1024
# Waiting requests that are passed over, because none of the free places
# suits them, before a round of assignments ends.
MAX_SKIPPED = 16
ASSIGN_PERIOD_S = 0.1
# Age of an assignment after which the group is chosen again.
MAX_ASSIGNMENT_AGE_S = 0.1
RATE_WINDOW_S = 5.0
# Estimate of a wait for as long as no completion rate is known.
DEFAULT_WAIT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A request's need for a place, with what decides its order and group.

    Parameters
    ----------
    prefix : int, optional
        Key of the prompt's beginning, by which a replica is chosen that
        has it in its cache.
    excluded : set of str
        Ids of the groups at which an attempt of the request failed.
    timeout_s : float
        How long the request may wait for a place.
    """

    request_id: str
    workspace: str
    priority: str
    service: str
    timeout_s: float
    prefix: int | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits, and the grant or error that ends its wait.

    ``decided`` is set with either of them.
    """

    request: PlaceRequest
    ticket: shares.Ticket
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    grant: models.Grant | None = None
    assigned_s: float = 0.0
    error: exceptions.NotRun | None = None


@dataclasses.dataclass(slots=True)
class _CompletionRate:
    """The rate at which requests of a service complete at this entry.

    The rate and its growth are those of the last full window of
    ``RATE_WINDOW_S``; the growth is the rate times the relative growth of
    the places.
    """

    window_start_s: float = float("-inf")
    completed: int = 0
    places: int = 0
    per_s: float = 0.0
    ramp_per_s2: float = 0.0

    def count_completion(self, now_s: float, places: int) -> None:
        """Count a request that ended, and update the rate at a window's end.

        ``places`` are the places that the entry has for the service now.
        """
        self.completed += 1
        window_s = now_s - self.window_start_s
        if window_s < RATE_WINDOW_S:
            return
        if self.window_start_s > float("-inf"):
            self.per_s = self.completed / window_s
            added_per_s = max(0, places - self.places) / window_s
            self.ramp_per_s2 = self.per_s * added_per_s / max(1, places)
        self.window_start_s = now_s
        self.completed = 0
        self.places = places


@dataclasses.dataclass(slots=True)
class Admission:
    """Queues, circuit breakers and retry budgets of one entry.

    Parameters
    ----------
    config : configuration.Configuration
        The configuration in force.
    local_weights : dict
        This entry's weights by service and workspace, corrected by the
        usage in the whole fleet.
    places_in_use : dict
        Places in use by service and workspace.
    breakers : retries.Breakers
        Circuit breakers by group id.
    budgets : dict
        Retry budgets by workspace.
    """

    config: configuration.Configuration = dataclasses.field(
        default_factory=configuration.Configuration
    )
    local_weights: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    places_in_use: collections.defaultdict[str, collections.Counter[str]] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(
                collections.Counter
            )
        )
    )
    breakers: retries.Breakers = dataclasses.field(
        default_factory=retries.make_breakers
    )
    budgets: collections.defaultdict[str, retries.RetryBudget] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(
                retries.RetryBudget
            )
        )
    )
    _queues: dict[str, shares.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    _waiters: dict[str, _Waiter] = dataclasses.field(default_factory=dict)
    _rates: collections.defaultdict[str, _CompletionRate] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(_CompletionRate)
    )
    _ticket_count: int = 0

    def count_demands(self, service: str) -> dict[str, float]:
        """Return the places in use plus the requests queued, by workspace."""
        demands = collections.Counter(self.places_in_use[service])
        queue = self._queues.get(service)
        if queue is not None:
            for name, workspace in queue.workspaces.items():
                demands[name] += workspace.queued
        return {name: float(n) for name, n in demands.items() if n > 0}

    def _find_weights(self, request: PlaceRequest) -> shares.Weights:
        workspace = self.config.workspaces.get(
            request.workspace, configuration.Workspace()
        )
        local_weights = self.local_weights.get(request.service, {})
        weight = local_weights.get(request.workspace)
        if weight is None:
            weight = workspace.weight * self._find_places_per_weight(
                local_weights
            )
        return shares.Weights(weight, workspace.priority_weights)

    def _find_places_per_weight(
        self, local_weights: dict[str, float]
    ) -> float:
        """Return this entry's places for one unit of configured weight."""
        workspaces = self.config.workspaces
        configured = sum(
            workspaces[name].weight
            for name in local_weights
            if name in workspaces
        )
        return sum(local_weights.values()) / configured if configured else 1.0

    @contextlib.asynccontextmanager
    async def hold_place(
        self, held: grants_held.GrantsHeld, request: PlaceRequest
    ) -> collections.abc.AsyncIterator[models.Grant]:
        """Wait for a place and hold it while the context is open.

        Raises
        ------
        NotRun
            If no place becomes free in time, the queue is full of requests
            that come first, or the estimated wait is too long.
        """
        grant = await self._acquire(held, request)
        self.places_in_use[request.service][request.workspace] += 1
        try:
            yield grant
        finally:
            self.places_in_use[request.service][request.workspace] -= 1
            self._release(held, grant)

    def _release(
        self, held: grants_held.GrantsHeld, grant: models.Grant
    ) -> None:
        held.release(grant)
        places = held.count_places(grant.service)
        self._rates[grant.service].count_completion(
            trio.current_time(), places
        )
        self.assign_places(held, grant.service)

    async def _acquire(
        self, held: grants_held.GrantsHeld, request: PlaceRequest
    ) -> models.Grant:
        while True:
            waiter = self._enqueue(held, request)
            held.waiting[request.service] += 1
            try:
                await self._wait_for_decision(waiter)
            except BaseException:
                self._remove(held, waiter, is_wanted=False)
                raise
            finally:
                held.waiting[request.service] -= 1
            grant = self._remove(held, waiter, is_wanted=True)
            if grant is not None:
                return grant

    def _remove(
        self,
        held: grants_held.GrantsHeld,
        waiter: _Waiter,
        is_wanted: bool,
    ) -> models.Grant | None:
        """Remove a waiter; return its grant if it is recent and wanted.

        Any other grant that was assigned to it is given back.
        """
        self._waiters.pop(waiter.ticket.ticket_id, None)
        shares.remove(self._queues[waiter.request.service], waiter.ticket)
        grant = waiter.grant
        if grant is None:
            return None
        # The grant may expire while the process is paused between the
        # assignment and the request, so an old assignment is made again.
        age_s = trio.current_time() - waiter.assigned_s
        if is_wanted and age_s <= MAX_ASSIGNMENT_AGE_S:
            return grant
        held.release(grant)
        return None

    def _enqueue(
        self, held: grants_held.GrantsHeld, request: PlaceRequest
    ) -> _Waiter:
        queue = self._queues.setdefault(
            request.service, shares.FairQueue(MAX_QUEUED)
        )
        self._ticket_count += 1
        ticket = shares.Ticket(
            str(self._ticket_count),
            request.workspace,
            request.priority,
            trio.current_time(),
        )
        waiter = _Waiter(request, ticket)
        self._waiters[ticket.ticket_id] = waiter
        shed = shares.offer(queue, ticket, self._find_weights(request))
        self.assign_places(held, request.service)
        if shed is not None:
            self._refuse(
                shed,
                "queue_full",
                "the queue is full and other requests come first",
            )
        elif waiter.grant is None and self._would_wait_too_long(waiter):
            shares.remove(queue, ticket)
            self._refuse(
                ticket, "queue_too_long", "the estimated wait is too long"
            )
        return waiter

    def _estimate_wait_s(self, waiter: _Waiter) -> float:
        queue = self._queues[waiter.request.service]
        rate = self._rates[waiter.request.service]
        ahead = shares.count_waiting_in_class(queue, waiter.ticket)
        if not ahead or not rate.per_s:
            return DEFAULT_WAIT_S
        share = shares.find_share(queue, waiter.ticket)
        return shares.estimate_wait_s(
            ahead, rate.per_s * share, rate.ramp_per_s2 * share
        )

    def _would_wait_too_long(self, waiter: _Waiter) -> bool:
        rate = self._rates[waiter.request.service]
        is_known = rate.per_s > 0
        limit_s = 2.0 * max(waiter.request.timeout_s, DEFAULT_WAIT_S)
        return is_known and self._estimate_wait_s(waiter) > limit_s

    def _refuse(self, ticket: shares.Ticket, code: str, detail: str) -> None:
        waiter = self._waiters.get(ticket.ticket_id)
        if waiter is None:
            return
        wait_s = self._estimate_wait_s(waiter)
        waiter.error = exceptions.NotRun(
            code,
            detail,
            retry_after_s=shares.retry_after_s(wait_s, random.random()),
        )
        waiter.decided.set()

    async def _wait_for_decision(self, waiter: _Waiter) -> None:
        request = waiter.request
        with trio.move_on_at(waiter.ticket.arrived_s + request.timeout_s):
            await waiter.decided.wait()
        if not waiter.decided.is_set():
            self._refuse(
                waiter.ticket,
                "no_capacity",
                f"no replica of {request.service} has a free place",
            )
        if waiter.error is not None:
            raise waiter.error

    def _list_blocked_groups(
        self, held: grants_held.GrantsHeld, now_s: float
    ) -> set[str]:
        return {
            group_id
            for group_id, breaker in self.breakers.items()
            if not retries.allows(breaker, held.count_used(group_id), now_s)
        }

    def assign_places(
        self, held: grants_held.GrantsHeld, service: str
    ) -> None:
        """Assign the free places of a service to its waiting requests.

        Requests get places in the queue's order.  One that finds no place
        ends the round.  But one that excludes groups is skipped and keeps
        its position, as a place that it excludes may suit the next request.
        """
        queue = self._queues.get(service)
        if queue is None or not queue.queued:
            return
        now_s = trio.current_time()
        skipped: list[shares.Ticket] = []
        while queue.queued and len(skipped) < MAX_SKIPPED:
            ticket = shares.take(queue)
            assert ticket is not None
            waiter = self._waiters[ticket.ticket_id]
            blocked = self._list_blocked_groups(held, now_s)
            excluded = waiter.request.excluded | blocked
            prefix = waiter.request.prefix
            grant = held.choose_grant(service, now_s, excluded, prefix)
            if grant is not None and held.acquire(grant, prefix):
                waiter.grant = grant
                waiter.assigned_s = now_s
                waiter.decided.set()
                continue
            skipped.append(ticket)
            if not waiter.request.excluded:
                break
        for ticket in reversed(skipped):
            shares.put_back(queue, ticket)

    async def run(self, held: grants_held.GrantsHeld) -> None:
        """Assign free places periodically, for ever.

        New grants and closed circuits bring places without any request
        that ends.  One loop serves all waiting requests, as polling by
        each of them would cost more the longer the queue is.
        """
        while True:
            await trio.sleep(ASSIGN_PERIOD_S)
            for service in list(self._queues):
                self.assign_places(held, service)

    def note_result(self, group_id: str, is_success: bool) -> None:
        """Record whether an attempt at a group succeeded."""
        now_s = trio.current_time()
        retries.note_result(self.breakers[group_id], is_success, now_s)
        if is_success:
            del self.breakers[group_id]
