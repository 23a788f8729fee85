"""Stands in for a backend server of a hosted platform.

A model engine keeps the state of its group membership, carries out orders
guarded by fencing tokens and streams events with ids; a plain server answers
without a stream.  The head of a group that lost a member stalls, and its
group breaks after ``stall_s``.  Engines that know ``all_engines`` record
violations of invariants: a request that runs in a group with a member that
never was ready, and a join while the former group's head may run requests.
"""

import dataclasses
import math
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.standins import hosted_checks
from sycamorespool.standins import hosted_messages
from sycamorespool.standins import hosted_state

# Headers of requests and answers.
SIGNATURE = "sycamorespool-replica-signature"
ATTEMPT_ID = "sycamorespool-attempt-id"
EXPECTED_ID = "sycamorespool-expect-replica"
SERVER_ID = "sycamorespool-replica-id"
NOT_RUN = "sycamorespool-not-executed"
LEAVING = "server-leaving"
LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
PROMPT_PARTS = "sycamorespool-prompt-prefix"
# Statuses of requests that ran and failed, by the fault.
FAULT_STATUSES = {"fail": 500, "reject": 400}
# Pause between two looks at the members while the group stalls.
POLL_PERIOD_S = 0.02


@dataclasses.dataclass(slots=True)
class HostedEngine(hosted_state.EngineState):
    """Serves a backend server's requests, reports and orders over HTTP."""

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        if self.is_leaving:
            send = hosted_messages.add_header(send, LEAVING, "1")
        if self.limit_text:
            send = hosted_messages.add_header(send, LIMIT, self.limit_text)
        body = await asgi.read_body(receive, asgi.MAX_BODY_BYTES)
        request = asgi.make_request(scope, body)
        await trio.sleep_until(self.paused_until_s)
        self.apply_due_changes()
        if self.is_silent:
            await trio.sleep_forever()
        if request.path == "/api/report":
            self.reports += 1
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
        self.ready_at_s = trio.current_time() + self.join_s
        self.open_at_s = math.inf
        self.apply_due_changes()
        return True

    def _is_member(self, order: dict[str, t.Any]) -> bool:
        return self.group is not None and self.group["name"] == order["group"]

    def _open(self, order: dict[str, t.Any]) -> bool:
        if not self._is_member(order) or self.group["state"] != "ready":
            return False
        self.open_at_s = trio.current_time() + self.form_s
        self.apply_due_changes()
        return True

    def _close(self, order: dict[str, t.Any]) -> bool:
        if not self._is_member(order):
            return False
        self.group = {**self.group, "state": "ready"}
        return True

    def _leave(self, order: dict[str, t.Any]) -> bool:
        if not self._is_member(order):
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
        now_s = trio.current_time()
        self.arrivals.append(
            hosted_state.Arrival(echoed[ATTEMPT_ID], self.born_ms, now_s)
        )
        if request.headers.get(EXPECTED_ID, self.vm_id) != self.vm_id:
            await asgi.send_response(send, asgi.Response(421, headers=echoed))
            return
        if self.domain and not self.is_open_head():
            await asgi.send_response(send, asgi.Response(421, headers=echoed))
            return
        while self.domain and self.is_open_head() and self.is_stalled():
            await trio.sleep(POLL_PERIOD_S)
            self.apply_due_changes()
        if fault == "refuse" or (self.domain and not self.is_open_head()):
            refusal = asgi.Response(503, headers={**echoed, NOT_RUN: "1"})
            if fault == "refuse" and self.pause_s:
                refusal.headers[RETRY_AFTER] = str(self.pause_s)
                self.pauses.append(
                    hosted_state.Pause(
                        echoed[ATTEMPT_ID], self.born_ms, now_s, self.pause_s
                    )
                )
            await asgi.send_response(send, refusal)
            return
        hosted_checks.check_run(self)
        self.runs.append(request.headers)
        if fault == "mute":
            await trio.sleep_forever()
        signed = {
            **echoed,
            SIGNATURE: f"{self.vm_id}.{self.born_ms}.{len(self.runs)}",
        }
        if fault in FAULT_STATUSES:
            status = FAULT_STATUSES[fault]
            await asgi.send_response(
                send, asgi.Response(status, b"broken", headers=signed)
            )
        elif self.domain:
            await self._stream(request, send, signed, fault == "cut")
        else:
            await trio.sleep(self.event_s)
            await trio.sleep_until(self.paused_until_s)
            if self._is_fatal(request):
                await self._end()
            text = self.text.format(attempt=echoed[ATTEMPT_ID], number=0)
            response = asgi.Response(200, text.encode(), "text/plain", signed)
            await asgi.send_response(send, response)
            self.answered.add(echoed[ATTEMPT_ID])

    def _is_fatal(self, request: asgi.Request) -> bool:
        """Tell whether the process ends on the body or the prompt."""
        if request.body in self.fatal_bodies:
            return True
        entries = request.headers.get(PROMPT_PARTS, "").split(",")
        parts = {entry.partition(":")[0] for entry in entries}
        return not parts.isdisjoint(self.fatal_parts)

    async def _end(self) -> t.NoReturn:
        """End the process, which closes all its connections."""
        self.crash()
        self.ended.set()
        await trio.sleep_forever()

    async def _stream(
        self,
        request: asgi.Request,
        send: asgi.Send,
        headers: dict[str, str],
        is_cut: bool,
    ) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        await send(hosted_messages.make_start("text/event-stream", headers))
        if self._is_fatal(request):
            await self._end()
        for number in range(first, self.event_count + 1):
            await trio.sleep(self.event_s)
            await trio.sleep_until(self.paused_until_s)
            while self.is_stalled():
                await trio.sleep(POLL_PERIOD_S)
                self.apply_due_changes()
            if self.is_silent:
                await trio.sleep_forever()
            if not self.is_open_head():
                raise asgi.AnswerCut
            text = self.text.format(attempt=headers[ATTEMPT_ID], number=number)
            event = f"id: {number}\ndata: {text}\n\n".encode()
            if is_cut and number > first:
                await send(hosted_messages.make_body(event[:5]))
                raise asgi.AnswerCut
            await send(hosted_messages.make_body(event))
        await send(hosted_messages.make_body(b"", is_more=False))
        self.answered.add(headers[ATTEMPT_ID])
