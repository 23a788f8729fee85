"""A stand-in for one model engine on one VM.

It carries out orders, answers probes and streams completions whose tokens
are a function of the prompt alone.  It crashes when it gets more requests
at once than its capacity, which is low until it is warm.
"""

import collections.abc
import hashlib

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import asgi_server
from sycamorespool import http_client
from sycamorespool import models

# Completions after which the warm capacity applies.
WARM_AFTER_REQUESTS = 8
DONE = b"data: [DONE]\n\n"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in injects.

    Parameters
    ----------
    fencing_ignored : bool
        Orders with an old epoch are carried out.
    order_answer_lost : bool
        Orders take effect, but are answered with an error.
    cut_after_tokens : int
        Streams end without their last event after this many tokens; -1: off.
    stall_after_tokens : int
        Streams stall, but stay open, after this many tokens; -1: off.
    answer_crossed : bool
        Answers carry another attempt's id.
    nonsense : bool
        Streams carry bytes that are not events.
    token_s : float
        Seconds between tokens; 0: the value given at the start.
    """

    fencing_ignored: bool = False
    order_answer_lost: bool = False
    cut_after_tokens: int = -1
    stall_after_tokens: int = -1
    answer_crossed: bool = False
    nonsense: bool = False
    token_s: float = 0.0


def make_token(prompt: str, index: int) -> str:
    """Return the token at an index, the same on every engine."""
    digest = hashlib.sha256(f"{prompt}/{index}".encode()).hexdigest()
    return f"{digest[:6]} "


def encode_event(request_id: str, content: str) -> bytes:
    """Return one server-sent event of a streamed completion."""
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": content}}],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


class Engine:
    """The order, weights and open requests of the stand-in engine.

    Parameters
    ----------
    vm : str
        Name of the VM.
    incarnation : int
        Number of this process start, given at the start.
    platform : str
        ``IP:port`` of the platform that holds the weights.
    token_s : float
        Seconds between tokens.
    cold_bear, warm_bear : int
        Requests in flight above which it crashes, while cold and once warm.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        platform: str,
        token_s: float = 0.01,
        cold_capacity: int = 2,
        warm_capacity: int = 32,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.faults = Faults()
        self.phase = models.EnginePhase.IDLE
        self.order: models.JoinOrder | None = None
        self.pending_load: models.JoinOrder | models.LoadOrder | None = None
        self.epoch = -1
        self.weights = ""
        self.in_flight = 0
        self.completed = 0
        self.served = 0
        self.crashes = 0
        self._load_requested = trio.Event()
        self._platform = platform
        self._token_s = token_s
        self._capacities = (cold_capacity, warm_capacity)
        self._pool = http_client.make_pool(4)
        self._crashed = trio.Event()

    def report(self) -> models.ProbeReport:
        """Return the answer to a probe."""
        order = self.order
        return models.ProbeReport(
            self.vm,
            self.incarnation,
            self.phase,
            order.group_id if order else "",
            self.epoch,
            order.rank if order else -1,
            self.weights,
            self.in_flight,
            self._interval_s(),
            self.completed,
        )

    def _interval_s(self) -> float:
        return self.faults.token_s or self._token_s

    def _capacity(self) -> int:
        cold, warm = self._capacities
        return warm if self.completed >= WARM_AFTER_REQUESTS else cold

    def crash(self) -> None:
        """Crash and restart: lose order, epoch, weights and requests."""
        self.crashes += 1
        self.incarnation += 1
        self.completed = 0
        self.weights = ""
        self.order = self.pending_load = None
        self.epoch = -1
        self.phase = models.EnginePhase.IDLE
        self._crashed.set()
        self._crashed = trio.Event()

    def take_order(self, body: bytes) -> asgi.Response:
        """Carry out an order, unless its epoch is older than the last."""
        order = msgspec.json.decode(body, type=models.Order)
        if order.epoch < self.epoch and not self.faults.fencing_ignored:
            return asgi.answer_json({"error": "old epoch"}, 409)
        self.epoch = order.epoch
        if isinstance(order, models.JoinOrder):
            self._join(order)
        elif isinstance(order, models.LoadOrder):
            self._load(order)
        elif self.order is not None and self.order.group_id == order.group_id:
            self.order = self.pending_load = None
            self.phase = models.EnginePhase.IDLE
        if self.faults.order_answer_lost:
            return asgi.Response(500, b"answer lost")
        return asgi.Response(200, msgspec.json.encode(self.report()))

    def _join(self, order: models.JoinOrder) -> None:
        self.order = order
        self._load(order)

    def _load(self, order: models.JoinOrder | models.LoadOrder) -> None:
        if self.weights == order.weights:
            self.phase = models.EnginePhase.READY
        else:
            self.phase = models.EnginePhase.LOADING
            self.pending_load = order
            self._load_requested.set()

    async def run_loads(self) -> None:
        """Load the ordered weights from the platform, retrying failures."""
        while True:
            await self._load_requested.wait()
            self._load_requested = trio.Event()
            order = self.pending_load
            if order is None or self.phase is not models.EnginePhase.LOADING:
                continue
            url = f"http://{self._platform}/store/{order.weights}"
            try:
                answer = await http_client.exchange(
                    self._pool, "POST", url, timeout_s=600
                )
            except (http_client.NotReached, http_client.ExchangeFailed):
                answer = http_client.Response(503, {}, b"")
            if self.pending_load is not order:
                self._load_requested.set()
            elif answer.status == 200:
                self.weights = order.weights
                self.phase = models.EnginePhase.READY
            else:
                await trio.sleep(0.2)
                self._load_requested.set()

    async def complete(
        self, request: asgi.Request, send: asgi.Send, receive: asgi.Receive
    ) -> None:
        """Serve a completion, streamed if the request asks for it."""
        if self.phase is not models.EnginePhase.READY:
            await asgi.send_response(send, asgi.Response(503, b"not ready"))
            return
        if self.in_flight >= self._capacity():
            self.crash()
            await asgi.send_response(send, asgi.Response(500, b"overload"))
            return
        self.in_flight += 1
        self.served += 1
        crashed = self._crashed
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_after, crashed.wait, nursery)
                nursery.start_soon(_cancel_on_disconnect, receive, nursery)
                if msgspec.json.decode(request.body).get("stream"):
                    await self._stream_completion(request, send)
                else:
                    await self._send_completion(request, send)
                nursery.cancel_scope.cancel()
        finally:
            self.in_flight -= 1

    async def _send_completion(
        self, request: asgi.Request, send: asgi.Send
    ) -> None:
        body = msgspec.json.decode(request.body)
        prompt = "".join(m["content"] for m in body["messages"])
        count = int(body.get("max_tokens", 16))
        await trio.sleep(self._interval_s() * count)
        content = "".join(make_token(prompt, i) for i in range(count))
        message = {"role": "assistant", "content": content}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        attempt = request.headers.get("x-attempt-id", "")
        completion = {"object": "chat.completion", "choices": [choice]}
        self.completed += 1
        response = asgi.Response(
            200,
            msgspec.json.encode(completion),
            headers={"x-attempt-id": attempt},
        )
        await asgi.send_response(send, response)

    async def _stream_completion(
        self, request: asgi.Request, send: asgi.Send
    ) -> None:
        body = msgspec.json.decode(request.body)
        prompt = "".join(m["content"] for m in body["messages"])
        start = int(request.headers.get("x-resume-from-token", "0"))
        attempt = request.headers.get("x-attempt-id", "")
        if self.faults.answer_crossed:
            attempt = f"{attempt}-crossed"
        headers = asgi.encode_headers(
            "text/event-stream",
            {"x-attempt-id": attempt, "x-resume-from-token": str(start)},
        )
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": headers,
            }
        )
        for index in range(start, int(body.get("max_tokens", 16))):
            if index == self.faults.cut_after_tokens:
                await send({"type": "http.response.body", "body": b""})
                return
            if index == self.faults.stall_after_tokens:
                await trio.sleep_forever()
            await trio.sleep(self._interval_s())
            event = encode_event(attempt, make_token(prompt, index))
            if self.faults.nonsense:
                event = b"\x00nonsense"
            await send(
                {
                    "type": "http.response.body",
                    "body": event,
                    "more_body": True,
                }
            )
        # Counted before the last send, so that a probe sent after the
        # caller has its answer includes it.
        self.completed += 1
        await send({"type": "http.response.body", "body": DONE})

    async def handle(self, request: asgi.Request) -> asgi.Response:
        """Answer one request other than a completion."""
        match request.method, request.path:
            case "GET", "/state":
                return asgi.Response(200, msgspec.json.encode(self.report()))
            case "POST", "/orders":
                return self.take_order(request.body)
            case "POST", "/kv/export":
                return asgi.answer_json({"kv": self.weights})
            case "POST", "/kv/import":
                return asgi.Response(204)
            case "POST", "/cold":
                self.crash()
                return asgi.Response(204)
            case "POST", "/faults":
                self.faults = msgspec.json.decode(request.body, type=Faults)
                return asgi.Response(204)
            case "GET", "/counts":
                counts = {"served": self.served, "falls": self.crashes}
                return asgi.answer_json(counts)
        return asgi.Response(404)

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await asgi.handle_lifespan(receive, send)
            return
        try:
            body = await asgi.read_body(receive, asgi.MAX_BODY_BYTES)
        except asgi.CallerGone:
            return
        request = asgi.make_request(scope, body)
        if request.path == "/v1/chat/completions":
            await self.complete(request, send, receive)
        else:
            await asgi.send_response(send, await self.handle(request))


async def _cancel_after(
    wait: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    nursery: trio.Nursery,
) -> None:
    await wait()
    nursery.cancel_scope.cancel()


async def _cancel_on_disconnect(
    receive: asgi.Receive, nursery: trio.Nursery
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    nursery.cancel_scope.cancel()


async def serve(engine: Engine, listen: str, stop: trio.Event) -> None:
    """Serve the stand-in engine until ``stop`` is set."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run_loads)
        await asgi_server.serve(engine.app, listen, stop, 0.1)
        nursery.cancel_scope.cancel()


async def serve_many(engines: dict[str, Engine], stop: trio.Event) -> None:
    """Serve several stand-in engines, keyed by address, in one process."""
    async with trio.open_nursery() as nursery:
        for address, engine in engines.items():
            nursery.start_soon(serve, engine, address, stop)
