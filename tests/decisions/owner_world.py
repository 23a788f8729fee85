"""Simulates entries that own units, each with its own clock.

Time passes in ticks.  In each tick every running process reads the log if
it can, appends the claims and releases that are due, and sends every order
that it may send.  An order that overlaps one of another owner of the unit
raises :class:`OrdersOverlap`.
"""

import bisect
import dataclasses

from sycamorespool.decisions import ownership
from sycamorespool.decisions import replay
from sycamorespool.decisions import unit_assignment
from sycamorespool import records

UNITS = {"domain/d1": "", "keys/1": ""}
NAMES = ("e1", "e2", "e3")
NO_DRIFT = dict.fromkeys(NAMES, 1.0)
DRIFT = {"e1": 0.7, "e2": 1.0, "e3": 1.3}
READ_TICKS = {"e1": 6, "e2": 3, "e3": 1}
LAGS_S = {"e1": 1.6, "e2": 0.8, "e3": 0.0}
CLAIM_TICKS = 3
FLIGHT_S = 1.0
TICK_S = 0.2
EXACT = ownership.Timing(
    lease_s=3.0,
    drift_ratio=0.0,
    flight_s=FLIGHT_S,
    read_lag_s=max(LAGS_S.values()),
    settle_s=0.0,
    rebalance_s=4.0,
    repeat_s=1.0,
)
DRIFTING = dataclasses.replace(EXACT, drift_ratio=0.9)


class OrdersOverlap(AssertionError):
    """Two owners of one unit have orders in flight at the same time."""


@dataclasses.dataclass
class Process:
    """Hold one process of an entry.

    ``lost_ticks`` counts the ticks during which the process was suspended,
    which its monotonic clock does not show.
    """

    name: str
    incarnation: int
    lease: ownership.LeaseState
    replayed: replay.FleetState = dataclasses.field(
        default_factory=replay.FleetState
    )
    read: tuple[float, int, int] | None = None
    pause: str = ""
    lost_ticks: int = 0
    sees_log: bool = True
    is_stopping: bool = False


@dataclasses.dataclass
class Order:
    """Hold an order that was sent to a backend server."""

    epoch: int
    process: Process
    lands_s: float


class World:
    """Hold the true time, the log, pending appends, processes and orders."""

    def __init__(self, timing=DRIFTING, rates=DRIFT):
        self.timing = timing
        self.rates = rates
        self.tick = 500
        self.log = []
        self.appended_s = []
        self.pending_appends = []
        self.orders = {unit: [] for unit in UNITS}
        self.processes = [self._start(name, 1) for name in NAMES]
        self.sent = 0

    def _start(self, name, incarnation):
        lease = ownership.LeaseState(name, incarnation, self.timing)
        return Process(name, incarnation, lease)

    @property
    def now_s(self):
        return self.tick * TICK_S

    def _clock(self, process):
        rate = self.rates[process.name]
        seen_s = (self.tick - process.lost_ticks) * TICK_S
        return seen_s * rate, self.now_s * rate, self.now_s

    def _check(self, process):
        clocks = self._clock(process)
        ownership.check_clocks(process.lease, *clocks)
        return clocks[0]

    def advance(self, ticks):
        for _ in range(ticks):
            self._tick()

    def _tick(self):
        self.tick += 1
        for process in self.processes:
            if process.pause == "suspended":
                process.lost_ticks += 1
        self._deliver()
        self.act_all()
        for process in self.processes:
            self._poll(process)
        able = {p.name for p in self.processes if not p.pause and p.sees_log}
        if self.tick % CLAIM_TICKS == 0:
            for process in self.processes:
                self.claim(process, able, (0.0,))
        self.act_all()

    def _poll(self, process):
        if process.read is None:
            self.begin_read(process)
        elif self.tick >= process.read[2]:
            self.end_read(process)

    def _deliver(self):
        arrived = [
            item for item in self.pending_appends if item[0] <= self.now_s
        ]
        self.pending_appends = [
            item for item in self.pending_appends if item not in arrived
        ]
        for _, record in arrived:
            self._append(record)

    def _append(self, record):
        self.log.append(records.LogEntry(len(self.log), record))
        self.appended_s.append(self.now_s)

    def begin_read(self, process):
        if process.pause or not process.sees_log:
            return
        until_s = self.now_s - LAGS_S[process.name]
        visible = bisect.bisect_right(self.appended_s, until_s)
        ends_tick = self.tick + READ_TICKS[process.name]
        process.read = (self._clock(process)[0], visible, ends_tick)

    def end_read(self, process):
        if process.pause or process.read is None:
            return
        began_s, visible, _ = process.read
        process.read = None
        for entry in self.log[process.replayed.offset + 1 : visible]:
            replay.apply(process.replayed, entry.offset, entry.record)
        now_s = self._check(process)
        ownership.renew_lease(process.lease, process.replayed, began_s, now_s)

    def own_all(self, process, phase):
        """Let one process own all units while the others have no log."""
        for other in self.processes:
            other.sees_log = other is process
        self.advance(12)
        for other in self.processes:
            other.sees_log = True
            other.lease.last_handover_s = self.now_s + 100
        self.advance(8 + phase)

    def claim_from(self, process, owner, ticks):
        """Claim the units of an owner and then cut it off from the log."""
        self.claim(process, {process.name}, (0.0,))
        self.advance(ticks)
        owner.sees_log = process is owner

    def read_from_peer(self, process, peer):
        if process.pause or peer.replayed.offset <= process.replayed.offset:
            return
        known = process.replayed.offset + 1
        for entry in self.log[known : peer.replayed.offset + 1]:
            replay.apply(process.replayed, entry.offset, entry.record)
        now_s = self._check(process)
        ownership.update_owned_units(process.lease, process.replayed, now_s)

    def make_view(self, process, seen):
        candidates = {
            other.name: unit_assignment.Candidate(other.incarnation)
            for other in self.processes
            if other.name in seen and other is not process
        }
        candidates[process.name] = unit_assignment.Candidate(
            process.incarnation
        )
        return unit_assignment.AssignmentView(
            process.replayed, UNITS, candidates
        )

    def claim(self, process, seen, delays_s):
        """Append what is due once for each delay, after that many seconds."""
        if process.pause:
            return
        view = self.make_view(process, seen)
        now_s = self._check(process)
        due = unit_assignment.releases_due(
            process.lease, view, now_s, process.is_stopping
        )
        if not process.is_stopping:
            due += unit_assignment.claims_due(process.lease, view, now_s)
        if not process.sees_log:
            return
        for record in due:
            for delay_s in delays_s:
                self.pending_appends.append((self.now_s + delay_s, record))
        self._deliver()

    def pause(self, process, kind):
        process.pause = kind

    def wake(self, process):
        process.pause = ""

    def replace(self, process):
        """Restart the entry; the old process may go on running as well."""
        newest = max(
            p.incarnation for p in self.processes if p.name == process.name
        )
        kept = [p for p in self.processes if p.name != process.name]
        old = [] if process.is_stopping else [process]
        started = self._start(process.name, newest + 1)
        self.processes = [*kept, *old, started]

    def act_all(self):
        for process in self.processes:
            for unit in UNITS:
                if not process.pause:
                    self._act(process, unit)

    def _act(self, process, unit):
        now_s = self._check(process)
        epoch = ownership.epoch_to_act(process.lease, unit, now_s)
        if epoch is None:
            return
        for order in self.orders[unit]:
            if order.process is process and order.epoch <= epoch:
                continue
            if order.epoch > epoch or order.lands_s > self.now_s:
                raise OrdersOverlap(f"{order} and {epoch} of {process}")
        self.sent += 1
        last = self.orders[unit][-1:]
        if last and last[0].process is process and last[0].epoch == epoch:
            last[0].lands_s = self.now_s + FLIGHT_S
        else:
            self.orders[unit].append(
                Order(epoch, process, self.now_s + FLIGHT_S)
            )
