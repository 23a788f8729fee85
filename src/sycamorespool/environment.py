"""Defines the state and clients that all parts of an entry share."""

import collections
import dataclasses
import time
import uuid

import trio

from sycamorespool import admission
from sycamorespool.backend_servers import control
from sycamorespool import connection_pool
from sycamorespool.decisions import grant_book
from sycamorespool.decisions import isolation
from sycamorespool.decisions import ownership
from sycamorespool.decisions import replay
from sycamorespool.entries import frames
from sycamorespool.entries import transport
from sycamorespool import grants_held
from sycamorespool import http_client
from sycamorespool import metrics
from sycamorespool import models
from sycamorespool.platform import log
from sycamorespool import records
from sycamorespool import request_history
from sycamorespool import settings


RECENT_RECORDS = 1024


@dataclasses.dataclass(slots=True)
class Environment:
    """Holds the state and clients that all parts of an entry share.

    Parameters
    ----------
    settings : settings.Settings
        Settings of this process.
    incarnation : int
        Number that identifies this process among the entry's processes:
        its start time in Unix milliseconds.
    pool : http_client.Pool
        Connections to the platform and to backend servers.
    log : log.LogClient
        Client of the platform's log.
    transport : transport.Transport
        Calls to the other entries.
    fleet : replay.FleetState
        The state replayed from the fleet stream.
    log_read_s : float
        When the last read that reached the head of the log began.
    lease : ownership.LeaseState
        The units that this process owns and its lease on them.
    order_pool : http_client.Pool
        Connections for orders to backend servers.
    mode : isolation.Mode
        What access this entry has to the log and to its peers.
    recent : collections.deque
        The newest records of the fleet stream, for peers that cannot read
        the log.
    vms : dict
        The platform's membership list, by name.
    held : grants_held.GrantsHeld
        The grants under which this entry sends work.
    admission : admission.Admission
        Queues, circuit breakers and retry budgets.
    backend_connections : connection_pool.ConnectionPool
        The idle connections to backend servers.
    metrics : metrics.Metrics
        Counters, gauges and histograms of this entry.
    request_history : request_history.RequestHistory
        Traces of the newest requests.
    is_ready : bool
        Whether the load balancer may send new work.
    is_stopping : bool
        Whether the entry was told to stop.
    is_draining : bool
        Whether the entry is stopping and refuses new work.
    fleet_changed : trio.Event
        Set, and replaced by a new event, when the fleet state changes.
    requests_open : int
        Requests of callers that are not finished.
    request_closed : trio.Event
        Set, and replaced by a new event, when a request is finished.
    """

    settings: settings.Settings
    incarnation: int
    pool: http_client.Pool
    log: log.LogClient
    transport: transport.Transport
    lease: ownership.LeaseState
    order_pool: http_client.Pool = dataclasses.field(
        default_factory=control.make_order_pool
    )
    mode: isolation.Mode = isolation.Mode.NORMAL
    recent: collections.deque[records.LogEntry] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RECENT_RECORDS)
    )
    fleet: replay.FleetState = dataclasses.field(
        default_factory=replay.FleetState
    )
    log_read_s: float = float("-inf")
    vms: dict[str, models.Vm] = dataclasses.field(default_factory=dict)
    held: grants_held.GrantsHeld = dataclasses.field(
        default_factory=grants_held.GrantsHeld
    )
    # Quoted, as a field hides its module once it has a default.
    admission: "admission.Admission" = dataclasses.field(
        default_factory=admission.Admission
    )
    backend_connections: connection_pool.ConnectionPool = dataclasses.field(
        default_factory=connection_pool.ConnectionPool
    )
    metrics: "metrics.Metrics" = dataclasses.field(
        default_factory=metrics.Metrics
    )
    request_history: "request_history.RequestHistory" = dataclasses.field(
        default_factory=request_history.RequestHistory
    )
    is_ready: bool = False
    is_stopping: bool = False
    is_draining: bool = False
    fleet_changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    requests_open: int = 0
    request_closed: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def name(self) -> str:
        """Return the name of this entry."""
        return self.settings.entry.name

    def entries(self) -> dict[str, models.Vm]:
        """Return the entries of the membership list that are not leaving."""
        return {
            name: vm
            for name, vm in self.vms.items()
            if vm.role == "entry" and vm.state is models.VmState.LIVE
        }

    def backends(self, domain: str) -> dict[str, models.Vm]:
        """Return the backend servers' VMs of a fabric domain."""
        return {
            name: vm
            for name, vm in self.vms.items()
            if vm.role != "entry" and vm.domain == domain
        }

    def domains(self) -> list[str]:
        """Return the fabric domains that have backend servers."""
        return sorted(
            {vm.domain for vm in self.vms.values() if vm.role != "entry"}
        )

    def accepts(self) -> bool:
        """Tell whether new requests are accepted.

        A stopping entry accepts them until the load balancer has had time
        to notice.
        """
        return self.is_ready or (self.is_stopping and not self.is_draining)

    def close_request(self) -> None:
        """Count a request as finished: answered in full or abandoned."""
        self.requests_open -= 1
        self.request_closed.set()
        self.request_closed = trio.Event()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        while self.requests_open:
            await self.request_closed.wait()

    def announce_change(self) -> None:
        """Wake the tasks that wait for a change of the fleet state."""
        self.fleet_changed.set()
        self.fleet_changed = trio.Event()


def make_environment(chosen: settings.Settings) -> Environment:
    """Return the environment of a process that starts now."""
    pool = http_client.make_pool()
    name = chosen.entry.name
    incarnation = int(time.time() * 1000)
    timing = ownership.Timing(read_lag_s=chosen.platform.log_read_lag_s)
    return Environment(
        chosen,
        incarnation,
        pool,
        log.LogClient(pool, chosen.platform.address),
        transport.Transport(
            frames.Codec(chosen.peers.shared_key.encode(), name, incarnation)
        ),
        ownership.LeaseState(name, incarnation, timing),
        held=grants_held.GrantsHeld(grant_book.GrantBook(name, incarnation)),
    )


def make_id() -> str:
    """Return a unique id for a record, a request or an attempt."""
    return uuid.uuid4().hex
