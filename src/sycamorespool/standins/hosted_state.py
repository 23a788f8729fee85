"""Holds the state of a stand-in backend server of a hosted platform."""

import collections
import dataclasses
import math
import typing as t

import trio

from sycamorespool.standins import hosted_store

# Name, epoch and members of a group.
GroupKey: t.TypeAlias = tuple[str, int, tuple[str, ...]]


class Arrival(t.NamedTuple):
    """Holds an attempt that reached a process of a server."""

    attempt: str
    born_ms: int
    at_s: float


class Pause(t.NamedTuple):
    """Holds an attempt that was refused with a wish for a pause."""

    attempt: str
    born_ms: int
    at_s: float
    pause_s: float


@dataclasses.dataclass(slots=True)
class EngineState:
    """Holds a backend server's group, its faults and the requests it got.

    Parameters
    ----------
    domain : str
        Fabric domain; empty for a plain server.
    born_ms : int
        Start number, which each restart increases.
    event_count : int
        Last event number of a stream.
    orders_done, highest_token : int
        Orders carried out and highest fencing token since the start.
    faults : deque
        Faults of the next requests, one each: ``refuse``, ``cut`` (in the
        middle), ``fail`` (status 500), ``reject`` (status 400) or ``mute``.
    runs : list
        Headers of the requests that it ran.
    answered : set of str
        Attempts whose whole answer it sent.
    is_silent : bool
        Whether it has stopped answering.
    paused_until_s : float
        Until when it sends nothing, after which it goes on.
    is_healthy : bool
        Result of its health check.
    health_checks, reports : int
        Number of health checks and of requests for a report received.
    is_leaving : bool
        Whether it says in all its answers that it leaves.
    pause_s : float
        Pause that a refusal asks for, 0 without.
    limit_text : str
        Requests a second that it says in all its answers to take, empty
        without.
    arrivals : list of Arrival
        Attempts that reached it, run or not.
    pauses : list of Pause
        The pauses that it has asked for.
    join_s, form_s, event_s, stall_s : float
        Times until a member is ready, until an open group serves, between
        the events of a stream, and until a group without a member breaks.
    text : str
        Template of events and plain answers, with ``attempt`` and ``number``.
    late_orders : int
        Number of next orders to carry out only after ``late_s``, with 504
        as the answer.
    cold_until_s, cold_per_s : float
        Time until which it is cold, and its limit of requests a second then.
    all_engines : dict
        All engines by id, including this one.
    violations : list of str
        Violations of invariants, shared by all engines.
    members : tuple of str
        Ids of the members of its group, by rank.
    ready_at_s, open_at_s, incomplete_since_s : float
        When it will be ready in its group, when the group will serve, and
        since when the group lacks a member; infinite if not.
    ready_groups : set
        Groups in which it was ready since the start.
    cold_arrivals_s : deque
        Recent times at which it began requests while cold.
    fatal_parts : set of str
        Parts of prompts on which its process ends as soon as it begins to
        write an answer; may be shared by all engines.
    fatal_bodies : set of bytes
        Bodies of requests on which its process ends: an engine's as soon as
        it begins to write an answer, a plain server's before it does; may be
        shared by all engines.
    ended : trio.Event
        Set once its process has ended so.
    """

    store: hosted_store.HostedStore
    vm_id: str
    service: str
    address: str
    domain: str = ""
    data_centre: str = "dc"
    born_ms: int = 1
    event_count: int = 4
    orders_done: int = 0
    highest_token: int = 0
    group: dict[str, t.Any] | None = None
    staged: list[str] = dataclasses.field(default_factory=list)
    faults: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    runs: list[dict[str, str]] = dataclasses.field(default_factory=list)
    answered: set[str] = dataclasses.field(default_factory=set)
    is_silent: bool = False
    paused_until_s: float = -math.inf
    is_healthy: bool = True
    health_checks: int = 0
    reports: int = 0
    is_leaving: bool = False
    pause_s: float = 0.0
    limit_text: str = ""
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    pauses: list[Pause] = dataclasses.field(default_factory=list)
    join_s: float = 0.0
    form_s: float = 0.0
    event_s: float = 0.0
    stall_s: float = 1.0
    text: str = "t{number}"
    late_orders: int = 0
    late_s: float = 2.0
    cold_until_s: float = -math.inf
    cold_per_s: float = 0.0
    all_engines: dict[str, "EngineState"] = dataclasses.field(
        default_factory=dict
    )
    violations: list[str] = dataclasses.field(default_factory=list)
    sequence: int = 0
    members: tuple[str, ...] = ()
    ready_at_s: float = math.inf
    open_at_s: float = math.inf
    incomplete_since_s: float = math.inf
    ready_groups: set[GroupKey] = dataclasses.field(default_factory=set)
    cold_arrivals_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    fatal_parts: set[str] = dataclasses.field(default_factory=set)
    fatal_bodies: set[bytes] = dataclasses.field(default_factory=set)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)

    def write_record(self, state: str = "ready") -> None:
        """Write its record to the registry."""
        self.sequence += 1
        left_s = max(0.0, self.cold_until_s - trio.current_time())
        record = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 4,
            "state": state,
            "sequence": self.sequence,
            "cold_left_ms": round(left_s * 1000),
            "born": self.born_ms,
        }
        if self.domain:
            record |= {
                "domain": self.domain,
                "staged": self.staged,
                "group": self.group,
            }
        self.store.put("keyed.servers", self.vm_id, record)

    def remove_record(self) -> None:
        """Remove its record from the registry."""
        self.store.put("keyed.servers", self.vm_id, None)

    def crash(self) -> None:
        """Stop answering and leave the group, as a killed process does."""
        self.is_silent = True
        self.group = None
        self.members = ()

    def restart(self) -> None:
        """Start a new incarnation under the same id."""
        self.born_ms += 1
        self.sequence = self.orders_done = self.highest_token = 0
        self.group = None
        self.members = ()
        self.ready_groups.clear()
        self.is_silent = self.is_leaving = False
        self.write_record()

    @property
    def group_key(self) -> GroupKey | None:
        """Return name, epoch and members of its group."""
        if self.group is None:
            return None
        return (self.group["name"], self.group["epoch"], self.members)

    def _is_incomplete(self) -> bool:
        return any(
            (member := self.all_engines.get(vm_id)) is None
            or member.is_silent
            or member.group_key != self.group_key
            for vm_id in self.members
        )

    def apply_due_changes(self) -> None:
        """Apply due changes of the group: it gets ready, opens or breaks."""
        group = self.group
        if group is None or self.is_silent:
            return
        now_s = trio.current_time()
        if group["state"] == "joining" and now_s >= self.ready_at_s:
            self.ready_groups.add(self.group_key)
            self._change_state("ready")
        if self.group["state"] == "ready" and now_s >= self.open_at_s:
            self.open_at_s = math.inf
            self._change_state("open")
        is_running = self.group["state"] in ("open", "closing")
        if not (self.all_engines and is_running and self._is_incomplete()):
            self.incomplete_since_s = math.inf
            return
        self.incomplete_since_s = min(self.incomplete_since_s, now_s)
        if now_s - self.incomplete_since_s >= self.stall_s:
            self._change_state("broken")

    def _change_state(self, state: str) -> None:
        self.group = {**self.group, "state": state}
        self.write_record()

    def is_open_head(self) -> bool:
        group = self.group
        return (
            group is not None
            and group["rank"] == 0
            and group["state"] in ("open", "closing")
        )

    def is_stalled(self) -> bool:
        is_open = not self.is_silent and self.is_open_head()
        return is_open and bool(self.all_engines) and self._is_incomplete()
