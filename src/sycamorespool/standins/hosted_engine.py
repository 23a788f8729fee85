"""A stand-in for a backend server of a hosted platform.

A model engine keeps the state of its group membership, carries out orders
guarded by fencing tokens and streams events with ids; a plain server answers
without a stream.  The head of a group that lost a member stalls, and its
group breaks after ``stall_s``.  Engines that know ``all_engines`` record
violations of invariants: a request that runs in a group with a member that
never was ready, and a join while the former group's head may run requests.
"""

import collections
import dataclasses
import math
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.standins import hosted_checks
from sycamorespool.standins import hosted_store

# Headers of requests and answers.
SIGNATURE = "sycamorespool-replica-signature"
ATTEMPT_ID = "sycamorespool-attempt-id"
EXPECTED_ID = "sycamorespool-expect-replica"
SERVER_ID = "sycamorespool-replica-id"
NOT_RUN = "sycamorespool-not-executed"
# Pause between two looks at the members while the group stalls.
POLL_PERIOD_S = 0.02

# Name, epoch and members of a group.
GroupKey: t.TypeAlias = tuple[str, int, tuple[str, ...]]


@dataclasses.dataclass(slots=True)
class HostedEngine:
    """A backend server: its group, its faults and the requests it ran.

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
        middle), ``fail`` (status 500) or ``mute``.
    runs : list
        Headers of the requests that it ran.
    answered : set of str
        Attempts whose whole answer it sent.
    is_silent : bool
        Whether it has stopped answering.
    is_healthy : bool
        Result of its health check.
    health_checks : int
        Number of health checks received.
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
    ready_groups : set
        Groups in which it was ready since the start.
    cold_arrivals_s : deque
        Recent times at which it began requests while cold.
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
    is_healthy: bool = True
    health_checks: int = 0
    join_s: float = 0.0
    form_s: float = 0.0
    event_s: float = 0.0
    stall_s: float = 1.0
    text: str = "t{number}"
    late_orders: int = 0
    late_s: float = 2.0
    cold_until_s: float = -math.inf
    cold_per_s: float = 0.0
    all_engines: dict[str, "HostedEngine"] = dataclasses.field(
        default_factory=dict
    )
    violations: list[str] = dataclasses.field(default_factory=list)
    sequence: int = 0
    members: tuple[str, ...] = ()
    _ready_at_s: float = math.inf
    _open_at_s: float = math.inf
    _incomplete_since_s: float = math.inf
    ready_groups: set[GroupKey] = dataclasses.field(default_factory=set)
    cold_arrivals_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

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
        self.is_silent = False
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
        if group["state"] == "joining" and now_s >= self._ready_at_s:
            self.ready_groups.add(self.group_key)
            self._change_state("ready")
        if self.group["state"] == "ready" and now_s >= self._open_at_s:
            self._open_at_s = math.inf
            self._change_state("open")
        is_running = self.group["state"] in ("open", "closing")
        if not (self.all_engines and is_running and self._is_incomplete()):
            self._incomplete_since_s = math.inf
            return
        self._incomplete_since_s = min(self._incomplete_since_s, now_s)
        if now_s - self._incomplete_since_s >= self.stall_s:
            self._change_state("broken")

    def _change_state(self, state: str) -> None:
        self.group = {**self.group, "state": state}
        self.write_record()

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        body = await asgi.read_body(receive, asgi.MAX_BODY_BYTES)
        request = asgi.make_request(scope, body)
        self.apply_due_changes()
        if self.is_silent:
            await trio.sleep_forever()
        if request.path == "/api/report":
            await asgi.send_response(send, self._report())
        elif request.path == "/health":
            self.health_checks += 1
            status = 200 if self.is_healthy else 503
            id_headers = {SERVER_ID: self.vm_id}
            await asgi.send_response(
                send, asgi.Response(status, b"", headers=id_headers)
            )
        elif request.path == "/api/order":
            await asgi.send_response(send, await self._take_order(request))
        else:
            await self._serve(request, send)

    def _report(self) -> asgi.Response:
        return asgi.answer_json(
            {
                "busy": False,
                "sequence": self.orders_done,
                "queued": 0,
                "running": 0,
                "pace": 1.0,
                "staged": self.staged,
                "group": self.group,
                "born": self.born_ms,
            }
        )

    async def _take_order(self, request: asgi.Request) -> asgi.Response:
        if not self.late_orders:
            return self._execute(request)
        self.late_orders -= 1
        born_ms = self.born_ms
        with trio.CancelScope(shield=True):
            await trio.sleep(self.late_s)
        if self.born_ms == born_ms and not self.is_silent:
            self._execute(request)
        # The sender has timed out by now.
        return asgi.Response(504)

    def _execute(self, request: asgi.Request) -> asgi.Response:
        order = msgspec.json.decode(request.body)
        if order["fencing_token"] < self.highest_token:
            return asgi.Response(412)
        self.highest_token = order["fencing_token"]
        if order.get("expect", self.orders_done) != self.orders_done:
            return asgi.Response(409)
        if not getattr(self, f"_{order['op']}")(order):
            return asgi.Response(409)
        self.orders_done += 1
        self.write_record()
        return asgi.Response(202)

    def _join(self, order: dict[str, t.Any]) -> bool:
        rank = order["members"].index(self.vm_id)
        hosted_checks.check_join(self, order["group"])
        self.staged = [order["model"]]
        self.members = tuple(order["members"])
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": rank,
            "state": "joining",
        }
        self._ready_at_s = trio.current_time() + self.join_s
        self._open_at_s = math.inf
        self.apply_due_changes()
        return True

    def _set_state(self, order: dict[str, t.Any], state: str) -> bool:
        if self.group is None or self.group["name"] != order["group"]:
            return False
        self.group = {**self.group, "state": state}
        return True

    def _open(self, order: dict[str, t.Any]) -> bool:
        if self.group is None or self.group["name"] != order["group"]:
            return False
        if self.group["state"] != "ready":
            return False
        self._open_at_s = trio.current_time() + self.form_s
        self.apply_due_changes()
        return True

    def _close(self, order: dict[str, t.Any]) -> bool:
        return self._set_state(order, "ready")

    def _leave(self, order: dict[str, t.Any]) -> bool:
        if self.group is None or self.group["name"] != order["group"]:
            return False
        self.group = None
        self.members = ()
        return True

    def _stage(self, order: dict[str, t.Any]) -> bool:
        self.staged = [order["model"]]
        return True

    async def _serve(self, request: asgi.Request, send: asgi.Send) -> None:
        fault = self.faults.popleft() if self.faults else ""
        echoed = {ATTEMPT_ID: request.headers.get(ATTEMPT_ID, "")}
        if request.headers.get(EXPECTED_ID, self.vm_id) != self.vm_id:
            await asgi.send_response(send, asgi.Response(421, headers=echoed))
            return
        if self.domain and not self._is_open_head():
            await asgi.send_response(send, asgi.Response(421, headers=echoed))
            return
        while self.domain and self._is_open_head() and self._is_stalled():
            await trio.sleep(POLL_PERIOD_S)
            self.apply_due_changes()
        if fault == "refuse" or (self.domain and not self._is_open_head()):
            refusal = asgi.Response(503, headers={**echoed, NOT_RUN: "1"})
            await asgi.send_response(send, refusal)
            return
        hosted_checks.check_run(self)
        self.runs.append(request.headers)
        if fault == "mute":
            await trio.sleep_forever()
        signed = {**echoed, SIGNATURE: f"{self.vm_id}.{len(self.runs)}"}
        if fault == "fail":
            await asgi.send_response(
                send, asgi.Response(500, b"broken", headers=signed)
            )
        elif self.domain:
            await self._stream(request, send, signed, fault == "cut")
        else:
            await trio.sleep(self.event_s)
            text = self.text.format(attempt=echoed[ATTEMPT_ID], number=0)
            response = asgi.Response(200, text.encode(), "text/plain", signed)
            await asgi.send_response(send, response)
            self.answered.add(echoed[ATTEMPT_ID])

    def _is_open_head(self) -> bool:
        group = self.group
        return (
            group is not None
            and group["rank"] == 0
            and group["state"] in ("open", "closing")
        )

    def _is_stalled(self) -> bool:
        is_open = not self.is_silent and self._is_open_head()
        return is_open and bool(self.all_engines) and self._is_incomplete()

    async def _stream(
        self,
        request: asgi.Request,
        send: asgi.Send,
        headers: dict[str, str],
        is_cut: bool,
    ) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": asgi.encode_headers("text/event-stream", headers),
            }
        )
        for number in range(first, self.event_count + 1):
            await trio.sleep(self.event_s)
            while self._is_stalled():
                await trio.sleep(POLL_PERIOD_S)
                self.apply_due_changes()
            if self.is_silent:
                await trio.sleep_forever()
            if not self._is_open_head():
                raise asgi.AnswerCut
            text = self.text.format(attempt=headers[ATTEMPT_ID], number=number)
            event = f"id: {number}\ndata: {text}\n\n".encode()
            if is_cut and number > first:
                await send(_make_body_message(event[:5]))
                raise asgi.AnswerCut
            await send(_make_body_message(event))
        await send(_make_body_message(b"", is_more=False))
        self.answered.add(headers[ATTEMPT_ID])


def _make_body_message(data: bytes, is_more: bool = True) -> dict[str, t.Any]:
    return {"type": "http.response.body", "body": data, "more_body": is_more}
