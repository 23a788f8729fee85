"""The central object of an entry, from which all else hangs."""

import collections
import dataclasses
import time
import uuid

import httpcore
import trio

from sycamorespool import admission
from sycamorespool.backend_servers import control
from sycamorespool.backend_servers import stream
from sycamorespool.decisions import grant_book
from sycamorespool.decisions import isolation
from sycamorespool.decisions import ownership
from sycamorespool.decisions import replay
from sycamorespool.entries import frames
from sycamorespool.entries import transport
from sycamorespool import grants_held
from sycamorespool import http_client
from sycamorespool import journal
from sycamorespool import metrics
from sycamorespool import models
from sycamorespool.platform import log
from sycamorespool import records
from sycamorespool import settings


RECENT_RECORDS = 1024


@dataclasses.dataclass(slots=True)
class Environment:
    """What every part of an entry shares.

    Parameters
    ----------
    settings : settings.Settings
        Settings of this process.
    incarnation : int
        Start number of this process: its start in Unix milliseconds.
    fleet : replay.FleetState
        The state replayed from the fleet stream.
    log_read_s : float
        Start of the last read that reached the head of the log.
    lease : ownership.LeaseState
        The units that this process owns and its lease.
    mode : isolation.Mode
        How this entry stands to the log and to its peers.
    recent : collections.deque
        The newest records of the fleet stream, for peers without the log.
    vms : dict
        The platform's membership list, by name.
    held : grants_held.GrantsHeld
        The grants under which this entry sends work.
    admission : admission.Admission
        Queues, circuits and retry budgets.
    links : stream.Links
        The idle connections to backend servers.
    metrics : metrics.Metrics
        Counters, gauges and histograms of this entry.
    journal : journal.Journal
        What became of the newest requests.
    is_ready : bool
        Whether the balancer may send new work.
    is_stopping, is_draining : bool
        Whether the entry was told to stop, and refuses new work by now.
    """

    settings: settings.Settings
    incarnation: int
    pool: httpcore.AsyncConnectionPool
    log: log.LogClient
    transport: transport.Transport
    lease: ownership.LeaseState
    order_pool: httpcore.AsyncConnectionPool = dataclasses.field(
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
    links: stream.Links = dataclasses.field(default_factory=stream.Links)
    metrics: "metrics.Metrics" = dataclasses.field(
        default_factory=metrics.Metrics
    )
    journal: "journal.Journal" = dataclasses.field(
        default_factory=journal.Journal
    )
    is_ready: bool = False
    is_stopping: bool = False
    is_draining: bool = False
    fleet_changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    requests_open: int = 0
    request_closed: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def name(self) -> str:
        """Name of this entry."""
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
        """Tell whether a new request is taken.

        An entry that stops takes new work until the balancer has had time
        to notice.
        """
        return self.is_ready or (self.is_stopping and not self.is_draining)

    def close_request(self) -> None:
        """Note that a request has got its whole answer or was left."""
        self.requests_open -= 1
        self.request_closed.set()
        self.request_closed = trio.Event()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        while self.requests_open:
            await self.request_closed.wait()

    def announce_change(self) -> None:
        """Wake whoever waits for a change of the fleet state."""
        self.fleet_changed.set()
        self.fleet_changed = trio.Event()


def make_environment(chosen: settings.Settings) -> Environment:
    """Make the environment of a process that starts now."""
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
