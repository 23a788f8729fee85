"""A stand-in for a plain service, whose calls are not idempotent."""

import collections

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import asgi_server
from sycamorespool import models


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in injects.

    Parameters
    ----------
    answer_lost : bool
        Calls take effect, but their connection is closed unanswered.
    slow_s : float
        Seconds by which each answer is delayed.
    refuse : bool
        Calls are refused with 503 and have no effect.
    """

    answer_lost: bool = False
    slow_s: float = 0.0
    refuse: bool = False


class PlainService:
    """The order and the counted calls of the stand-in service.

    Parameters
    ----------
    vm : str
        Name of the VM.
    incarnation : int
        Number of this process start, given at the start.
    """

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.faults = Faults()
        self.runs: collections.Counter[str] = collections.Counter()
        self.order: models.JoinOrder | None = None
        self.epoch = -1
        self.completed = 0

    def report(self) -> models.ProbeReport:
        """Return the answer to a probe."""
        joined = self.order is not None
        phase = models.EnginePhase.READY if joined else models.EnginePhase.IDLE
        return models.ProbeReport(
            self.vm,
            self.incarnation,
            phase,
            self.order.group_id if self.order else "",
            self.epoch,
            0 if joined else -1,
            completed=self.completed,
        )

    def take_order(self, body: bytes) -> asgi.Response:
        """Carry out an order, unless its epoch is older than the last."""
        order = msgspec.json.decode(body, type=models.Order)
        if order.epoch < self.epoch:
            return asgi.answer_json({"error": "old epoch"}, 409)
        self.epoch = order.epoch
        is_join = isinstance(order, models.JoinOrder)
        self.order = order if is_join else None
        return asgi.Response(200, msgspec.json.encode(self.report()))

    async def run_call(self, request: asgi.Request) -> asgi.Response:
        """Run one call and count the runs of its ``id``."""
        if self.faults.refuse:
            return asgi.Response(503, b'{"error": "refused"}')
        call_id = str(msgspec.json.decode(request.body).get("id", ""))
        self.runs[call_id] += 1
        self.completed += 1
        await trio.sleep(self.faults.slow_s)
        return asgi.Response(
            200,
            msgspec.json.encode({"ran": call_id, "by": self.vm}),
            headers={"x-attempt-id": request.headers.get("x-attempt-id", "")},
        )

    async def handle(self, request: asgi.Request) -> asgi.Response:
        """Answer one request."""
        match request.method, request.path:
            case "GET", "/state":
                return asgi.Response(200, msgspec.json.encode(self.report()))
            case "POST", "/orders":
                return self.take_order(request.body)
            case "POST", "/faults":
                self.faults = msgspec.json.decode(request.body, type=Faults)
                return asgi.Response(204)
            case "GET", "/counts":
                return asgi.answer_json({"runs": self.runs})
            case "GET", _:
                attempt = request.headers.get("x-attempt-id", "")
                return asgi.Response(
                    200,
                    msgspec.json.encode({"path": request.path}),
                    headers={"x-attempt-id": attempt},
                )
        return await self.run_call(request)

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI scope, closing the connection of lost answers."""
        if scope["type"] != "lifespan" and self.faults.answer_lost:
            is_call = scope["method"] == "POST" and scope["path"] not in (
                "/orders",
                "/faults",
            )
            if is_call:
                body = await asgi.read_body(receive, asgi.MAX_BODY_BYTES)
                await self.run_call(asgi.make_request(scope, body))
                raise ConnectionError("answer lost on purpose")
        await asgi.make_app(self.handle)(scope, receive, send)


async def serve(service: PlainService, listen: str, stop: trio.Event) -> None:
    """Serve the stand-in service until ``stop`` is set."""
    await asgi_server.serve(service.app, listen, stop, 0.1)
