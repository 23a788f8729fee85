"""Admission of requests to places at the backend servers.

Requests wait in a fair queue for each service.  A place that becomes free
goes to the request whose turn it is; one that cannot be served gets its
refusal at once, with the time after which it may come back::

    async with admission.place(held, wish) as grant:
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

MAX_QUEUED = 1024
MAX_SKIPPED = 16
POLL_S = 0.1
FRESH_S = 0.1
RATE_WINDOW_S = 5.0
UNKNOWN_WAIT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request asks of admission.

    Parameters
    ----------
    prefix : int, optional
        Key of the prompt's beginning.
    excluded : set of str
        Groups at which an attempt of the request failed.
    timeout_s : float
        How long it may wait.
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
    wish: Wish
    ticket: shares.Ticket
    woken: trio.Event = dataclasses.field(default_factory=trio.Event)
    grant: models.Grant | None = None
    granted_s: float = 0.0
    error: exceptions.NotRun | None = None


@dataclasses.dataclass(slots=True)
class _Rate:
    """Requests of a service that ended here, by windows of time."""

    began_s: float = float("-inf")
    ended: int = 0
    places: int = 0
    per_s: float = 0.0
    ramp_per_s2: float = 0.0

    def note(self, now_s: float, places: int) -> None:
        """Count a request that ended."""
        self.ended += 1
        took_s = now_s - self.began_s
        if took_s < RATE_WINDOW_S:
            return
        if self.began_s > float("-inf"):
            self.per_s = self.ended / took_s
            grown = max(0, places - self.places) / took_s
            self.ramp_per_s2 = self.per_s * grown / max(1, places)
        self.began_s = now_s
        self.ended = 0
        self.places = places


@dataclasses.dataclass(slots=True)
class Admission:
    """Queues, circuits and retry budgets of one entry.

    Parameters
    ----------
    config : configuration.Configuration
        The configuration in force.
    local : dict
        Weights by service and workspace, corrected by the fleet's usage.
    using : dict
        Places in use by service and workspace.
    """

    config: configuration.Configuration = dataclasses.field(
        default_factory=configuration.Configuration
    )
    local: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    using: collections.defaultdict[str, collections.Counter[str]] = (
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
    _rates: collections.defaultdict[str, _Rate] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(_Rate)
    )
    _count: int = 0

    def count_demands(self, service: str) -> dict[str, float]:
        """Return places in use and wanted, by workspace."""
        demands = collections.Counter(self.using[service])
        queue = self._queues.get(service)
        if queue is not None:
            for name, workspace in queue.workspaces.items():
                demands[name] += workspace.queued
        return {name: float(n) for name, n in demands.items() if n > 0}

    def _find_weights(self, wish: Wish) -> shares.Weights:
        workspace = self.config.workspaces.get(
            wish.workspace, configuration.Workspace()
        )
        local = self.local.get(wish.service, {})
        weight = local.get(wish.workspace)
        if weight is None:
            weight = workspace.weight * self._find_scale(local)
        return shares.Weights(weight, workspace.priority_weights)

    def _find_scale(self, local: dict[str, float]) -> float:
        """Return places of this entry for one unit of configured weight."""
        workspaces = self.config.workspaces
        configured = sum(
            workspaces[name].weight for name in local if name in workspaces
        )
        return sum(local.values()) / configured if configured else 1.0

    @contextlib.asynccontextmanager
    async def place(
        self, held: grants_held.GrantsHeld, wish: Wish
    ) -> collections.abc.AsyncIterator[models.Grant]:
        """Wait for a place and hold it.

        Raises
        ------
        NotRun
            If there is none in time, or others come first.
        """
        grant = await self._take(held, wish)
        self.using[wish.service][wish.workspace] += 1
        try:
            yield grant
        finally:
            self.using[wish.service][wish.workspace] -= 1
            self._release(held, grant)

    def _release(
        self, held: grants_held.GrantsHeld, grant: models.Grant
    ) -> None:
        held.end(grant)
        places = held.count_places(grant.service)
        self._rates[grant.service].note(trio.current_time(), places)
        self.pump(held, grant.service)

    async def _take(
        self, held: grants_held.GrantsHeld, wish: Wish
    ) -> models.Grant:
        while True:
            waiter = self._enqueue(held, wish)
            held.waiting[wish.service] += 1
            try:
                await self._wait(waiter)
            except BaseException:
                self._leave(held, waiter, is_wanted=False)
                raise
            finally:
                held.waiting[wish.service] -= 1
            grant = self._leave(held, waiter, is_wanted=True)
            if grant is not None:
                return grant

    def _leave(
        self,
        held: grants_held.GrantsHeld,
        waiter: _Waiter,
        is_wanted: bool,
    ) -> models.Grant | None:
        """Forget a waiter; return its grant if it is fresh and wanted."""
        self._waiters.pop(waiter.ticket.ticket_id, None)
        shares.remove(self._queues[waiter.wish.service], waiter.ticket)
        grant = waiter.grant
        if grant is None:
            return None
        # A grant may lapse while the process is paused between the choice
        # and the request, so the choice is made again.
        age_s = trio.current_time() - waiter.granted_s
        if is_wanted and age_s <= FRESH_S:
            return grant
        held.end(grant)
        return None

    def _enqueue(self, held: grants_held.GrantsHeld, wish: Wish) -> _Waiter:
        queue = self._queues.setdefault(
            wish.service, shares.FairQueue(MAX_QUEUED)
        )
        self._count += 1
        ticket = shares.Ticket(
            str(self._count),
            wish.workspace,
            wish.priority,
            trio.current_time(),
        )
        waiter = _Waiter(wish, ticket)
        self._waiters[ticket.ticket_id] = waiter
        shed = shares.offer(queue, ticket, self._find_weights(wish))
        self.pump(held, wish.service)
        if shed is not None:
            self._refuse(shed, "queue_full", "requests of others come first")
        elif waiter.grant is None and self._is_hopeless(waiter):
            shares.remove(queue, ticket)
            self._refuse(ticket, "queue_too_long", "the wait would be long")
        return waiter

    def _estimate_wait_s(self, waiter: _Waiter) -> float:
        queue = self._queues[waiter.wish.service]
        rate = self._rates[waiter.wish.service]
        ahead = shares.count_waiting_in_class(queue, waiter.ticket)
        if not ahead or not rate.per_s:
            return UNKNOWN_WAIT_S
        share = shares.find_share(queue, waiter.ticket)
        return shares.estimate_wait_s(
            ahead, rate.per_s * share, rate.ramp_per_s2 * share
        )

    def _is_hopeless(self, waiter: _Waiter) -> bool:
        rate = self._rates[waiter.wish.service]
        is_known = rate.per_s > 0
        limit_s = 2.0 * max(waiter.wish.timeout_s, UNKNOWN_WAIT_S)
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
        waiter.woken.set()

    async def _wait(self, waiter: _Waiter) -> None:
        wish = waiter.wish
        with trio.move_on_at(waiter.ticket.arrived_s + wish.timeout_s):
            await waiter.woken.wait()
        if not waiter.woken.is_set():
            self._refuse(
                waiter.ticket,
                "no_capacity",
                f"no replica of {wish.service} has a free place",
            )
        if waiter.error is not None:
            raise waiter.error

    def _list_blocked(
        self, held: grants_held.GrantsHeld, now_s: float
    ) -> set[str]:
        return {
            group_id
            for group_id, breaker in self.breakers.items()
            if not retries.allows(breaker, held.count_used(group_id), now_s)
        }

    def pump(self, held: grants_held.GrantsHeld, service: str) -> None:
        """Give the free places of a service to those whose turn it is."""
        queue = self._queues.get(service)
        if queue is None or not queue.queued:
            return
        now_s = trio.current_time()
        skipped: list[shares.Ticket] = []
        while queue.queued and len(skipped) < MAX_SKIPPED:
            ticket = shares.take(queue)
            assert ticket is not None
            waiter = self._waiters[ticket.ticket_id]
            blocked = self._list_blocked(held, now_s)
            excluded = waiter.wish.excluded | blocked
            prefix = waiter.wish.prefix
            grant = held.find(service, now_s, excluded, prefix)
            if grant is not None and held.begin(grant, prefix):
                waiter.grant = grant
                waiter.granted_s = now_s
                waiter.woken.set()
                continue
            skipped.append(ticket)
            if not waiter.wish.excluded:
                break
        for ticket in reversed(skipped):
            shares.put_back(queue, ticket)

    async def run(self, held: grants_held.GrantsHeld) -> None:
        """Give places that came by new grants or closed circuits, for ever.

        One loop serves all that wait: a poll by each of them would cost
        more the longer the queue is.
        """
        while True:
            await trio.sleep(POLL_S)
            for service in list(self._queues):
                self.pump(held, service)

    def note_result(self, group_id: str, is_success: bool) -> None:
        """Note how an attempt at a group ended."""
        now_s = trio.current_time()
        retries.note_result(self.breakers[group_id], is_success, now_s)
        if is_success:
            del self.breakers[group_id]
