"""Holds the shared state of an entry on a hosted platform.

On a hosted platform the backend servers report themselves which groups
they form, and the platform's store holds the operators' configuration and
all durable records.  An :class:`EntryContext` holds what one entry knows of
these and what it has sent to the backend servers::

    context = context_setup.make_context(settings)
    context.table  # the newest configuration, None before the first
    context.placement_state  # the backend servers and this entry's load there
"""

import dataclasses
import math
import random
import time

import trio

from sycamorespool.backend_servers import streaming_client
from sycamorespool import backends
from sycamorespool import connection_pool
from sycamorespool.decisions.faults import fatal_traits
from sycamorespool.decisions import handed_state
from sycamorespool.decisions.placing import cold_limits
from sycamorespool.decisions.placing import fleet_load
from sycamorespool.decisions.placing import limited_turns
from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions.placing import reachability
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions import registry
from sycamorespool.decisions import rendezvous
from sycamorespool.decisions import retries
from sycamorespool.decisions import stopping
from sycamorespool.decisions import store_readers
from sycamorespool import http_client
from sycamorespool import metrics
from sycamorespool import node_settings
from sycamorespool.platform import headers
from sycamorespool.platform import store
from sycamorespool.requests import cut_requests
from sycamorespool import routing_table
from sycamorespool import short_calls
from sycamorespool.store import record_cache

# A configuration is trusted for this fraction of ``bounds.revoke_ms``, the
# time within which a revoked API key may still be accepted.
TRUSTED_FRACTION = 0.8
# Fraction of the entry's share of the extra retries that it may save up, and
# that is refilled in each window.  The rest is a margin for the shares of two
# entries that overlap while partitions are reassigned.
RETRY_EXTRA_FRACTION = 0.4
# There are enough topics that each entry of a large fleet is assigned a
# partition.
SHARE_TOPICS = tuple(f"share-{n}" for n in range(16))

DIALECT = streaming_client.Dialect(
    headers.ATTEMPT, headers.is_refusal, headers.is_genuine
)


@dataclasses.dataclass(slots=True)
class EntryContext:
    """Holds the state that all parts of an entry on a hosted platform share.

    Parameters
    ----------
    incarnation : int
        Start of this process, Unix milliseconds.
    platform_store : Store
        Client of the platform's store.
    placement_state : PlacementState
        The backend servers, and what this entry has seen of and sent to
        each.
    server_caller : Caller
        Makes the entry's own calls to backend servers.
    peer_pool : Pool
        Connections to other entries.
    table : RoutingTable or None
        The newest configuration.
    config_read_s : float
        Latest time known at which the store had no newer configuration, by
        :func:`boot_time_s`, which counts the time of suspensions too.
    has_registry : bool
        Whether the registry of the backend servers was read.
    state_read : trio.Event
        Set once a configuration and the registry were read.
    entry_directory : EntryDirectory
        The other entries.
    directory_read : trio.Event
        Set once the list of entries was read for the first time.
    directory_due_s : float
        Until when reads that another entry could serve wait for that list.
    handover : Handover
        What other entries told, and what this one would tell them.
    record_caches : dict
        The newest records that this entry read, by topic.
    share : float
        Fraction of the fleet's budgets that this entry may use during its
        lease, 0..1.
    share_lease_end_s : float
        Until when the store keeps the share for this entry, by
        :func:`boot_time_s`.
    assignment : Assignment
        The partitions that the store assigned to this entry as a member of
        its consumer group.
    cold : ColdLimits
        When this entry sent requests to cold servers.
    limits : ServerLimits
        The limits that servers in need have named.
    turns : Turns
        The calls that wait for servers with limits.
    reach : Reachability
        The servers that this entry cannot reach.
    breakers : Breakers
        Circuit breaker by server.
    retry_budgets : dict
        Retry budget by service.
    backend_connections : ConnectionPool
        Idle connections to backend servers, for callers' requests.
    trait_blocks : FatalTraits
        The requests and parts of prompts on which servers end.
    cut_requests : CutRequests
        Requests at servers that may have ended.
    load : FleetLoad
        What other entries have at the servers, and what callers ask for.
    owns_domains : bool
        Whether this entry forms the groups of any fabric domain.
    stop : Stop or None
        When the entry was told to stop, and when open requests are cut.
    durations : Durations
        How long the requests of each route have lasted lately.
    requests_open : int
        Number of callers' requests that are being served.
    """

    settings: node_settings.Settings
    incarnation: int
    platform_store: store.Store
    placement_state: placement_state.PlacementState
    server_caller: short_calls.Caller
    peer_pool: http_client.Pool
    random: random.Random
    limits: server_limits.ServerLimits
    table: routing_table.RoutingTable | None = None
    config_read_s: float = -math.inf
    has_registry: bool = False
    state_read: trio.Event = dataclasses.field(default_factory=trio.Event)
    entry_directory: store_readers.EntryDirectory = dataclasses.field(
        default_factory=store_readers.EntryDirectory
    )
    directory_read: trio.Event = dataclasses.field(default_factory=trio.Event)
    directory_due_s: float = -math.inf
    handover: handed_state.Handover = dataclasses.field(
        default_factory=handed_state.Handover
    )
    handover_lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    record_caches: "dict[str, record_cache.RecordCache]" = dataclasses.field(
        default_factory=dict
    )
    share: float = 0.0
    share_lease_end_s: float = -math.inf
    assignment: store.Assignment = store.Assignment(0, frozenset())
    cold: cold_limits.ColdLimits = dataclasses.field(
        default_factory=cold_limits.ColdLimits
    )
    turns: limited_turns.Turns = dataclasses.field(
        default_factory=limited_turns.Turns
    )
    reach: reachability.Reachability = dataclasses.field(
        default_factory=reachability.Reachability
    )
    breakers: retries.Breakers = dataclasses.field(
        default_factory=retries.make_breakers
    )
    retry_budgets: dict[str, retries.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    backend_connections: connection_pool.ConnectionPool = dataclasses.field(
        default_factory=connection_pool.ConnectionPool
    )
    trait_blocks: fatal_traits.FatalTraits = dataclasses.field(
        default_factory=fatal_traits.FatalTraits
    )
    cut_requests: "cut_requests.CutRequests" = dataclasses.field(
        default_factory=cut_requests.CutRequests
    )
    metrics: "metrics.Metrics" = dataclasses.field(
        default_factory=metrics.Metrics
    )
    load: fleet_load.FleetLoad = dataclasses.field(
        default_factory=fleet_load.FleetLoad
    )
    owns_domains: bool = False
    stop: stopping.Stop | None = None
    durations: stopping.Durations = dataclasses.field(
        default_factory=stopping.Durations
    )
    requests_open: int = 0
    request_closed: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def name(self) -> str:
        """Return the name of this entry."""
        return self.settings.entry.name

    @property
    def registry(self) -> registry.Registry:
        """Return the registry of the backend servers."""
        return self.placement_state.registry

    @property
    def is_stopping(self) -> bool:
        """Tell whether the entry was told to stop."""
        return self.stop is not None

    def may_begin(
        self, route: routing_table.Route, limit_s: float, now_s: float
    ) -> bool:
        """Tell whether a request may begin now and end before a stop.

        ``limit_s`` is the time after which it ends in any case.
        """
        return stopping.may_begin(
            self.stop, self.durations, route.name, limit_s, now_s
        )

    def note_state_read(self) -> None:
        """Record that a configuration, or the registry, was read."""
        if self.table is not None and self.has_registry:
            self.state_read.set()

    def is_config_trusted(self) -> bool:
        """Tell whether the configuration was read recently enough."""
        trusted_s = self.settings.bounds.revoke_ms / 1000 * TRUSTED_FRACTION
        return boot_time_s() - self.config_read_s <= trusted_s

    def is_ready(self) -> bool:
        """Tell whether the load balancer may open new connections."""
        has_state = self.table is not None and self.has_registry
        return has_state and not self.is_stopping and self.is_config_trusted()

    def record_cache_of(self, topic: str) -> "record_cache.RecordCache":
        """Return the record cache of a topic, made at first use."""
        return self.record_caches.setdefault(topic, record_cache.RecordCache())

    def retry_budget_of(self, service: str) -> retries.RetryBudget:
        """Return the retry budget of a service, made at first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = retries.RetryBudget(
                available=self.retry_reserve(),
                reserve=self.retry_reserve(),
                window_s=self.settings.bounds.retry_window_s,
                refill_per_s=self._retry_refill_per_s(),
                refilled_s=trio.current_time(),
            )
        return budget

    def retry_reserve(self) -> float:
        """Return how many extra retries of a service may be saved up.

        They come on top of the retries that each request adds.
        """
        extra = self.settings.bounds.retry_extra
        return max(1.0, extra * self.find_share() * RETRY_EXTRA_FRACTION)

    def _retry_refill_per_s(self) -> float:
        bounds = self.settings.bounds
        return (
            bounds.retry_extra * self.find_share() * RETRY_EXTRA_FRACTION
        ) / bounds.retry_window_s

    def find_share(self) -> float:
        """Return the share of the fleet's budgets, 0 after its lease."""
        is_own = boot_time_s() <= self.share_lease_end_s
        return self.share if is_own else 0.0

    def set_share(self, share: float, lease_end_s: float) -> None:
        """Set the share of the fleet's budgets, and until when it is held.

        ``lease_end_s`` is a time of :func:`boot_time_s`.
        """
        self.share, self.share_lease_end_s = share, lease_end_s
        self.adjust_retry_budgets()

    def adjust_retry_budgets(self) -> None:
        """Adjust the retry budgets to the present share."""
        for budget in self.retry_budgets.values():
            budget.reserve = self.retry_reserve()
            budget.refill_per_s = self._retry_refill_per_s()
            budget.available = min(budget.available, budget.reserve)

    def may_send_to(self, backend: backends.Backend, now_s: float) -> bool:
        """Tell whether this entry may send a server one more request now."""
        return not self.find_send_obstacle(backend, now_s)

    def find_send_obstacle(
        self, backend: backends.Backend, now_s: float
    ) -> str:
        """Return why a server may get no request now, empty if it may.

        The server's circuit breaker, the limit that it named and, while the
        server is cold, its limit of requests a second decide.
        """
        backend_id = backend.backend_id
        breaker = self.breakers.get(backend_id)
        if breaker is not None:
            activity = self.placement_state.activities.get(backend_id)
            in_flight = activity.in_flight if activity else 0
            if not retries.allows(breaker, in_flight, now_s):
                return "its circuit breaker is open"
        if self.find_limit_wait_s(backend) > 0.0:
            return "the limit that it named is used up"
        if now_s >= self.registry.cold_until_s.get(backend_id, -math.inf):
            return ""
        per_s = self._cold_per_s(backend)
        is_allowed = not per_s or cold_limits.may_send(
            self.cold,
            backend_id,
            per_s,
            server_limits.find_usable_share(self.limits, boot_time_s()),
            rendezvous.weigh(self.name, backend_id) / rendezvous.WEIGHT_LIMIT,
            now_s,
        )
        return "" if is_allowed else "it is cold and gets no more now"

    def may_reach(self, backend: backends.Backend, may_reuse: bool) -> bool:
        """Tell whether a request is expected to reach a server.

        Parameters
        ----------
        may_reuse : bool
            Whether the request may use an idle connection.
        """
        backend_id = backend.backend_id
        if reachability.is_reached(self.reach, backend_id):
            return True
        activity = self.placement_state.activities.get(backend_id)
        received_s = activity.received_s if activity else -math.inf
        return (
            may_reuse
            and reachability.may_live(self.reach, backend_id, received_s)
            and self.backend_connections.has_idle(
                backend.address, trio.current_time()
            )
        )

    def find_limit_wait_s(self, backend: backends.Backend) -> float:
        """Return how long a server's limit keeps this entry waiting."""
        return server_limits.find_wait_s(
            self.limits, backend.backend_id, backend.started_ms, boot_time_s()
        )

    def _cold_per_s(self, backend: backends.Backend) -> float:
        service = self.table.services.get(backend.service)
        if service is None or not service.cold_per_s:
            return 0.0
        bounds = self.settings.bounds
        return service.cold_per_s * bounds.cold_over + bounds.cold_slack

    def note_sent(self, backend: backends.Backend, now_s: float) -> None:
        """Record that a request is sent to a server."""
        server_activity.begin(
            self.placement_state.activities[backend.backend_id], now_s
        )
        server_limits.note_sent(self.limits, backend.backend_id, boot_time_s())
        until_s = self.registry.cold_until_s.get(backend.backend_id, now_s)
        if now_s < until_s:
            cold_limits.note_sent(self.cold, backend.backend_id, now_s)

    def forget_servers(self, backend_ids: list[str]) -> None:
        """Drop the state of servers that left the registry."""
        now_s = trio.current_time()
        for backend_id in backend_ids:
            placement_state.forget(self.placement_state, backend_id, now_s)
            cold_limits.forget(self.cold, backend_id)
            reachability.forget(self.reach, backend_id)
            self.breakers.pop(backend_id, None)

    def close_request(self) -> None:
        """Record that a request was answered or given up."""
        self.requests_open -= 1
        self.request_closed.set()
        self.request_closed = trio.Event()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        while self.requests_open:
            await self.request_closed.wait()


def boot_time_s() -> float:
    """Return the seconds since boot, with the time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
