"""An entry that serves callers, with scripted backend servers.

All of them run in one process over loopback sockets.  The clock jumps ahead
when every task waits, so no test waits for a timeout in real time.
"""

from collections import abc
import dataclasses
import typing as t

import h11
import msgspec
import trio
import trio.testing

from sycamorespool.callers import app
from sycamorespool import configuration
from sycamorespool import environment
from sycamorespool import models
from sycamorespool import settings
from sycamorespool import sockets

KEY = "caller-key"
QUIET_S = 0.01
TTL_S = 1e9
LIMITS = settings.LimitsSection(
    queue_timeout_s=0.5, max_head_bytes=8192, max_body_bytes=65536
)
DOCUMENT = {
    "services": {
        "model": {"kind": "model"},
        "plain": {
            "kind": "plain",
            "routes": [
                {"method": "POST", "path": "/charge", "idempotent": False},
                {"method": "POST", "path": "/stock", "idempotent": True},
            ],
        },
    },
    "workspaces": {"w": {"key_hashes": [app.hash_key(KEY)]}},
}
DONE = b"data: [DONE]\n\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-attempt-id: ATTEMPT\r\nx-resume-from-token: FROM\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


def make_event(index: int) -> bytes:
    return b'data: {"token": %d}\n\n' % index


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_stream(*indexes: int, end: bool = True) -> bytes:
    events = [make_event(index) for index in indexes] + [DONE] * end
    return STREAM_HEAD + b"".join(map(make_chunk, events)) + END * end


def make_json(body: bytes, status: str = "200 OK") -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\ncontent-type: application/json\r\n"
        f"x-attempt-id: ATTEMPT\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def make_request(
    method: str = "POST",
    path: str = "/v1/chat/completions",
    body: bytes | None = None,
    **headers: str,
) -> bytes:
    """Return the bytes of a request; a header of None is left out."""
    if body is None:
        body = msgspec.json.encode(
            {"model": "model", "messages": [{"role": "user"}], "stream": True}
        )
    header_fields = {
        "host": "entry",
        "authorization": f"Bearer {KEY}",
        "content-length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [
        f"{n}: {v}\r\n" for n, v in header_fields.items() if v is not None
    ]
    return f"{method} {path} HTTP/1.1\r\n{''.join(lines)}\r\n".encode() + body


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server that answers each request by the next script.

    One that is passed to ``run`` twice stands for two replicas, which take
    the scripts in the order of their requests.

    Parameters
    ----------
    scripts : list of bytes
        Bytes sent after each request, in which ``ATTEMPT`` and ``FROM``
        are replaced by the request's attempt id and first token.  The
        last one is sent after all further requests.
    keeps_open : bool
        Whether the connection is kept open after a script.
    request_received, disconnected : trio.Event
        Set when a request was received, and when a connection has ended.
    """

    scripts: list[bytes]
    keeps_open: bool = False
    requests: list[dict[str, str]] = dataclasses.field(default_factory=list)
    bodies: list[bytes] = dataclasses.field(default_factory=list)
    targets: list[str] = dataclasses.field(default_factory=list)
    connections: int = 0
    request_received: trio.Event = dataclasses.field(
        default_factory=trio.Event
    )
    disconnected: trio.Event = dataclasses.field(default_factory=trio.Event)

    async def run(self, listener: sockets.Listener) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                connection = await listener.accept()
                self.connections += 1
                nursery.start_soon(self._serve, connection)

    async def _serve(self, connection: sockets.Connection) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._answer(connection, http) and self.keeps_open:
                http.start_next_cycle()
        except OSError:
            pass
        finally:
            self.disconnected.set()
            connection.close()

    async def _answer(self, connection, http) -> bool:
        parts = []
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await connection.receive())
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        headers = {n.decode(): v.decode() for n, v in request.headers}
        self.requests.append(headers)
        self.bodies.append(b"".join(parts))
        self.targets.append(request.target.decode())
        self.request_received.set()
        script = self.scripts[min(len(self.requests), len(self.scripts)) - 1]
        start = headers.get("x-resume-from-token", "0").encode()
        attempt = headers["x-attempt-id"].encode()
        answer = script.replace(b"ATTEMPT", attempt).replace(b"FROM", start)
        await connection.send(answer)
        http.send(h11.Response(status_code=200, headers=[]))
        http.send(h11.EndOfMessage())
        return http.our_state is h11.DONE


@dataclasses.dataclass(slots=True)
class Reply:
    """The answer that a caller got."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    def problem(self) -> dict[str, t.Any]:
        assert self.headers["content-type"] == "application/problem+json"
        return msgspec.json.decode(self.body)


class Caller:
    """A caller with one connection."""

    def __init__(self, connection: sockets.Connection) -> None:
        self.connection = connection
        self._http = h11.Connection(h11.CLIENT)

    async def ask(self, raw: bytes, method: str = "POST") -> Reply:
        """Send raw bytes and read the answer to its end."""
        http = self._http
        http.send(
            h11.Request(method=method, target="/", headers=[("host", "e")])
        )
        http.send(h11.EndOfMessage())
        await self.connection.send(raw)
        reply = Reply()
        while not reply.is_whole:
            try:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await self.connection.receive())
            except (OSError, h11.RemoteProtocolError):
                return reply
            if isinstance(event, h11.Response):
                reply.status = event.status_code
                reply.headers = {
                    n.decode(): v.decode() for n, v in event.headers
                }
            elif isinstance(event, h11.Data):
                reply.body += bytes(event.data)
            elif isinstance(event, h11.ConnectionClosed):
                return reply
            reply.is_whole = isinstance(event, h11.EndOfMessage)
        if http.our_state is http.their_state is h11.DONE:
            http.start_next_cycle()
        return reply


@dataclasses.dataclass(slots=True)
class RunningEntry:
    """An entry that serves callers, and the backend servers of a test."""

    env: environment.Environment
    address: str
    backends: tuple[Backend, ...]
    stop: trio.Event
    nursery: trio.Nursery

    async def connect(self) -> Caller:
        return Caller(await sockets.connect(self.address))

    async def ask(self, raw: bytes, method: str = "POST") -> Reply:
        return await (await self.connect()).ask(raw, method)

    def start(self, backend: Backend, name: str) -> None:
        """Start a backend server that serves both services."""
        listener = sockets.Listener("127.0.0.1:0")
        self.nursery.start_soon(backend.run, listener)
        self.grant(listener.address, name)

    def grant(self, address: str, name: str) -> None:
        grants = tuple(
            models.Grant(f"{s}-{name}", s, 1, 4, TTL_S, address, "here")
            for s in ("model", "plain")
        )
        answer = models.GrantAnswer(f"domain/{name}", 1, grants)
        self.env.held.store_answer(answer, trio.current_time())

    def assert_all_released(self) -> None:
        """Check that no request holds or waits for a place."""
        assert self.env.requests_open == 0
        assert sum(self.env.held.using.values()) == 0
        assert sum(self.env.held.waiting.values()) == 0


def _make_environment(limits: settings.LimitsSection):
    entry_settings = settings.Settings(
        settings.EntrySection("entry", "here"),
        settings.ListenSection("127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:2"),
        settings.PlatformSection("127.0.0.1:3"),
        settings.PeersSection("key"),
        settings.OperatorsSection("key"),
        limits=limits,
    )
    env = environment.make_environment(entry_settings)
    env.fleet.config = configuration.validate(DOCUMENT)
    env.is_ready = True
    return env


def run(
    test: abc.Callable[[RunningEntry], abc.Awaitable[None]],
    *backends: Backend,
    limits: settings.LimitsSection = LIMITS,
) -> None:
    """Run a test with the backends, and check that all places are released."""

    async def main() -> None:
        env = _make_environment(limits)
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(app.serve, env, stop)
            entry = RunningEntry(env, address, backends, stop, nursery)
            for index, backend in enumerate(backends):
                entry.start(backend, str(index))
            await test(entry)
            await trio.testing.wait_all_tasks_blocked(QUIET_S)
            entry.assert_all_released()
            env.backend_connections.close()
            nursery.cancel_scope.cancel()
        env.transport.close()

    clock = trio.testing.MockClock(autojump_threshold=QUIET_S)
    trio.run(main, clock=clock)


def make_backend(*scripts, keeps_open=True):
    return Backend(list(scripts), keeps_open)


def run_ask(raw, *backends, method="POST", limits=LIMITS):
    """Return the reply to one request in a new entry."""
    replies = []

    async def test(entry):
        replies.append(await entry.ask(raw, method))

    run(test, *backends, limits=limits)
    return replies[0]


def assert_problem(reply, status, code, outcome):
    problem = reply.problem()
    received = (reply.status, problem["code"], problem["outcome"])
    assert received == (status, code, outcome)
    assert reply.is_whole
    assert problem["status"] == status
    assert problem["type"] == f"urn:sycamorespool:{code}"
