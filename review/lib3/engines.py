"""A model replica: groups, orders, reports and streams, as PROTOCOL.md says."""

import json
import math
import time

import h11
import trio

import world

PREFIX = "sycamorespool-prompt-prefix"
STALL_S = 4.0
FORM_S = 0.3
JOIN_S = 0.2


class Engine(world.Replica):
    """A model replica.

    A request with a part in ``fatal_parts`` ends its process when it begins to
    write the answer; it is back, with nothing it knew, after ``restart_s``.
    """

    def __init__(self, w, engine_id, domain, engines, **more):
        super().__init__(w, engine_id, "drafts", **more)
        self.domain, self.engines = domain, engines
        self.fatal_parts, self.restart_s = set(), 3.0
        self.first_s, self.event_s, self.events = 0.1, 0.05, 6
        self.crashes = []
        self.at_work, self.ended = {}, {}
        self.is_up = True
        self.forget()
        engines[engine_id] = self

    def forget(self):
        self.group, self.members, self.fence, self.orders = None, (), 0, 0
        self.staged, self.ready_s, self.open_s = [], math.inf, math.inf
        self.broken_since_s = math.inf

    def write_record(self):
        if not self.is_up:
            return
        self.sequence += 1
        self.world.store.put("keyed.servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 13, "state": self.state,
            "cold_left_ms": 0, "sequence": self.sequence, "born": self.born_ms,
            "domain": self.domain, "staged": self.staged, "group": self.group})

    def advance(self):
        """Apply the changes of its group that are due."""
        now_s = self.world.now()
        if self.group is None:
            return
        if self.group["state"] == "joining" and now_s >= self.ready_s:
            self.change("ready")
        if self.group["state"] == "ready" and now_s >= self.open_s:
            self.open_s = math.inf
            self.change("open")
        if self.group["state"] in ("open", "closing"):
            if all(self.engines[i].is_member(self) for i in self.members):
                self.broken_since_s = math.inf
            else:
                self.broken_since_s = min(self.broken_since_s, now_s)
                if now_s - self.broken_since_s > STALL_S:
                    self.change("broken")

    def is_member(self, head):
        group = self.group
        return self.is_up and group is not None and (
            (group["name"], group["epoch"]) == (head.group["name"], head.group["epoch"]))

    def change(self, state):
        self.group = {**self.group, "state": state}
        self.world.record("engine", self.id, self.group["name"], state)
        self.write_record()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._advance)
            while True:
                with trio.CancelScope() as self.life:
                    listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
                    try:
                        task_status.started()
                        task_status = trio.TASK_STATUS_IGNORED
                        await trio.serve_listeners(self._run, listeners)
                    finally:
                        for listener in listeners:
                            listener.socket.close()
                await trio.sleep(self.restart_s)
                self.forget()
                self.born_ms, self.sequence, self.is_up = int(time.time() * 1000), 0, True
                for link in self.links:
                    link.note_target(True)
                self.world.record("engine", self.id, "is back")
                self.write_record()

    async def _advance(self):
        while True:
            if self.is_up:
                self.advance()
            await trio.sleep(0.02)

    def crash(self, attempt):
        self.crashes.append(self.world.now())
        self.world.record("engine", self.id, "ends under", attempt)
        self.is_up = False
        for link in self.links:
            link.note_target(False)
        self.life.cancel()

    async def _serve(self, http, stream, request, body):
        headers = self.headers_of(request)
        if request.target == b"/api/report":
            await self.send(http, stream, 200, {}, json.dumps({
                "stage": "both", "models": [], "busy": False, "sequence": self.orders,
                "queued": 0, "running": len(self.at_work), "kv_used": 0, "kv_total": 700000,
                "handles": 0, "pace": 1.0, "staged": self.staged, "group": self.group,
                "born": self.born_ms, "domain": self.domain}).encode())
        elif request.target == b"/api/order":
            status = self.order(json.loads(body))
            await self.send(http, stream, status, {}, b"")
        elif request.target == b"/health":
            await self.send(http, stream, 200, {"sycamorespool-replica-id": self.id}, b"ok")
        else:
            await self.run_request(http, stream, headers)

    def order(self, order):
        kind = order["op"]
        if order.get("fencing_token", 0) < self.fence:
            return 412
        self.fence = max(self.fence, order.get("fencing_token", 0))
        if order.get("expect", self.orders) != self.orders:
            return 409
        group = self.group
        is_own = group is not None and (group["name"], group["epoch"]) == (order.get("group"), order.get("epoch"))
        if kind == "stage":
            self.staged = [order["model"]]
        elif kind == "join":
            if is_own:
                return 200
            self.members = tuple(order["members"])
            self.group = {"name": order["group"], "epoch": order["epoch"],
                          "rank": self.members.index(self.id), "state": "joining"}
            self.staged, self.ready_s = [order["model"]], self.world.now() + JOIN_S
            self.open_s = math.inf
            self.write_record()
        elif kind == "leave":
            if not is_own:
                return 200
            self.group, self.members = None, ()
            self.write_record()
        elif not is_own:
            return 409
        elif kind == "open":
            if group["state"] == "open":
                return 200
            if group["state"] != "ready" or group["rank"]:
                return 409
            self.open_s = self.world.now() + FORM_S
        elif kind == "close":
            self.change("ready")
        else:
            return 400
        self.orders += 1
        return 202

    async def run_request(self, http, stream, headers):
        attempt = headers.get(world.ATTEMPT, "")
        named = {world.ATTEMPT: attempt}
        if headers.get(world.EXPECT, self.id) != self.id or not self.group or self.group["rank"]:
            await self.send(http, stream, 421, named, b"")
            return
        if self.group["state"] not in ("open", "closing"):
            await self.send(http, stream, 503, {**named, world.NOT_RUN: "1"}, b"")
            return
        self.world.record("engine", self.id, "gets", attempt)
        self.runs.append((attempt, self.world.now()))
        began_s = self.at_work[attempt] = self.world.now()
        try:
            # It drops a request when its connection closes.
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, stream, nursery.cancel_scope)
                await self.write_answer(http, stream, headers, attempt, named)
                nursery.cancel_scope.cancel()
            if http.our_state is not h11.DONE:
                raise trio.BrokenResourceError("the caller closed the connection")
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as errors:
            raise trio.BrokenResourceError("the caller closed the connection") from errors
        finally:
            del self.at_work[attempt]
            self.ended[attempt] = (began_s, self.world.now())
            self.world.record("engine", self.id, "ends work on", attempt)

    async def _watch(self, stream, scope):
        try:
            await stream.receive_some(1)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def write_answer(self, http, stream, headers, attempt, named):
        parts = {e.partition(":")[0] for e in headers.get(PREFIX, "").split(",")}
        await trio.sleep(self.first_s)
        if parts & self.fatal_parts:
            self.crash(attempt)
            await trio.sleep_forever()
        first = int(headers.get("last-event-id", "0")) + 1
        pairs = [*named.items(), (world.SIGNATURE, self.sign(attempt)),
                 ("content-type", "text/event-stream"), ("transfer-encoding", "chunked")]
        await stream.send_all(http.send(h11.Response(status_code=200, headers=pairs)))
        for number in range(first, self.events + 1):
            if number > first:
                await trio.sleep(self.event_s)
            event = f"id: {number}\ndata: {attempt}/{number}\n\n".encode()
            await stream.send_all(http.send(h11.Data(data=event)))
        await stream.send_all(http.send(h11.EndOfMessage()))


def make_service(size=2):
    """Return the configuration of a service of such replicas."""
    return {"name": "drafts", "cold_s": 0.0, "cold_per_s": 0.0, "engine": {
        "slots": 13, "kv_capacity": 700000, "stride": 5, "loads_per_s": 20.0, "form_ms": 300.0,
        "models": [{"name": "m0", "size": size, "share": 1.0, "pace": 1.0, "load_s": 1.0, "warm_s": 0.2}],
        "step_ms": 6.07, "per_seq_ms": 0.482, "read_per_s": 46000.0, "pairs_per_m": 0.7,
        "chunk": 2048, "usual": {"prompt": 1076, "answer": 116}}}


async def wait_for_groups(w, engines, count):
    """Wait until so many groups are open."""
    with trio.fail_after(30):
        while sum(e.group is not None and e.group["state"] == "open" for e in engines.values()) < count:
            await trio.sleep(0.1)
