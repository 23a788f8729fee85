"""A stand-in for a backend server of a hosted platform.

A model engine keeps its own membership of a group, takes orders under
fencing numbers and streams events with ids; a plain server answers at once.
"""

import collections
import dataclasses
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.standins import hosted_store

SIGNATURE = "sycamorespool-replica-signature"
ATTEMPT = "sycamorespool-attempt-id"
EXPECTED = "sycamorespool-expect-replica"
NOT_RUN = "sycamorespool-not-executed"


@dataclasses.dataclass(slots=True)
class HostedEngine:
    """One backend server.

    Parameters
    ----------
    domain : str
        Fabric domain; empty for a plain server.
    events : int
        Events of a stream.
    faults : deque
        What goes wrong with the next requests: ``refuse``, ``cut`` (in the
        middle), ``fail`` (status 500) or ``mute``; one each.
    runs : list
        Headers of the requests that it ran.
    is_silent : bool
        Whether it answers nothing any more.
    """

    store: hosted_store.HostedStore
    vm_id: str
    service: str
    address: str
    domain: str = ""
    data_centre: str = "dc"
    born_ms: int = 1
    events: int = 4
    orders: int = 0
    fence: int = 0
    group: dict[str, t.Any] | None = None
    staged: list[str] = dataclasses.field(default_factory=list)
    faults: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    runs: list[dict[str, str]] = dataclasses.field(default_factory=list)
    is_silent: bool = False

    def write_entry(self, state: str = "ready") -> None:
        """Write the entry of the registry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 4,
            "state": state,
            "sequence": 1,
            "cold_left_ms": 0,
            "born": self.born_ms,
        }
        if self.domain:
            entry |= {
                "domain": self.domain,
                "staged": self.staged,
                "group": self.group,
            }
        self.store.put("keyed.servers", self.vm_id, entry)

    def leave_registry(self) -> None:
        """Remove the entry."""
        self.store.put("keyed.servers", self.vm_id, None)

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        body = await asgi.read_body(receive, asgi.MAX_BODY_BYTES)
        request = asgi.read_head(scope, body)
        if self.is_silent:
            await trio.sleep_forever()
        if request.path == "/api/report":
            await asgi.send_response(send, self._report())
        elif request.path == "/api/order":
            await asgi.send_response(send, self._order(request))
        else:
            await self._run(request, send)

    def _report(self) -> asgi.Response:
        return asgi.answer_json(
            {
                "busy": False,
                "sequence": self.orders,
                "queued": 0,
                "running": 0,
                "pace": 1.0,
                "staged": self.staged,
                "group": self.group,
                "born": self.born_ms,
            }
        )

    def _order(self, request: asgi.Request) -> asgi.Response:
        order = msgspec.json.decode(request.body)
        if order["fencing_token"] < self.fence:
            return asgi.Response(412)
        self.fence = order["fencing_token"]
        if order.get("expect", self.orders) != self.orders:
            return asgi.Response(409)
        if not getattr(self, f"_{order['op']}")(order):
            return asgi.Response(409)
        self.orders += 1
        self.write_entry()
        return asgi.Response(202)

    def _join(self, order: dict[str, t.Any]) -> bool:
        rank = order["members"].index(self.vm_id)
        self.staged = [order["model"]]
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": rank,
            "state": "ready",
        }
        return True

    def _set_state(self, order: dict[str, t.Any], state: str) -> bool:
        if self.group is None or self.group["name"] != order["group"]:
            return False
        self.group = {**self.group, "state": state}
        return True

    def _open(self, order: dict[str, t.Any]) -> bool:
        return self._set_state(order, "open")

    def _close(self, order: dict[str, t.Any]) -> bool:
        return self._set_state(order, "ready")

    def _leave(self, order: dict[str, t.Any]) -> bool:
        if self.group is None or self.group["name"] != order["group"]:
            return False
        self.group = None
        return True

    def _stage(self, order: dict[str, t.Any]) -> bool:
        self.staged = [order["model"]]
        return True

    async def _run(self, request: asgi.Request, send: asgi.Send) -> None:
        fault = self.faults.popleft() if self.faults else ""
        echoed = {ATTEMPT: request.headers.get(ATTEMPT, "")}
        if request.headers.get(EXPECTED, self.vm_id) != self.vm_id:
            await asgi.send_response(send, asgi.Response(421, headers=echoed))
            return
        if fault == "refuse":
            refusal = asgi.Response(503, headers={**echoed, NOT_RUN: "1"})
            await asgi.send_response(send, refusal)
            return
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
            response = asgi.Response(200, b"done", "text/plain", signed)
            await asgi.send_response(send, response)

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
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            if is_cut and number > first:
                await send(_body(event[:5]))
                raise asgi.AnswerCut
            await send(_body(event))
        await send(_body(b"", is_more=False))


def _body(data: bytes, is_more: bool = True) -> dict[str, t.Any]:
    return {"type": "http.response.body", "body": data, "more_body": is_more}
