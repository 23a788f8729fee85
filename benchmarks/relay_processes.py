"""The processes of the relay benchmark, each with one role.

Each chunk of the backend carries the monotonic time at which it was sent,
from which the load process computes its latency.
"""

import re
import signal
import sys
import time

import httpcore
import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from sycamorespool.callers import app as callers_app
from sycamorespool import configuration
from sycamorespool import environment
from sycamorespool import models
from sycamorespool import settings

KEY = "benchmark-key"
SERVICE = "model"
TOKEN_INTERVAL_S = 0.03
PLACES = 100_000
TTL_S = 1e6
DONE = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-attempt-id: %b\r\ntransfer-encoding: chunked\r\n\r\n"
)
ATTEMPT = re.compile(rb"x-attempt-id: ?([^\r]*)", re.IGNORECASE)
LENGTH = re.compile(rb"content-length: ?(\d+)", re.IGNORECASE)
TIMESTAMP = re.compile(rb'"t":(\d+),')
MAX_TOKENS = re.compile(rb'"max_tokens":(\d+)')
SETTINGS = """\
[entry]
name = entry
data_centre = here
[listen]
callers = {address}
operators = 127.0.0.1:1
peers = 127.0.0.1:2
[platform]
address = 127.0.0.1:3
[peers]
shared_key = benchmark-key
[operators]
key = benchmark-key
"""


def make_event(now_ns: int) -> bytes:
    """Return a chunk with one event of a completion, and its time."""
    event = (
        b'data: {"t":%d,"id":"chatcmpl-0123456789abcdef","object":'
        b'"chat.completion.chunk","model":"model","choices":[{"index":0,'
        b'"delta":{"content":" token"},"finish_reason":null}]}\n\n' % now_ns
    )
    return b"%x\r\n%b\r\n" % (len(event), event)


async def _read_request(
    stream: trio.SocketStream, buffer: bytes
) -> tuple[bytes, bytes, bytes]:
    while b"\r\n\r\n" not in buffer:
        data = await stream.receive_some()
        if not data:
            return b"", b"", b""
        buffer += data
    head, _, body = buffer.partition(b"\r\n\r\n")
    length = LENGTH.search(head)
    size = int(length[1]) if length else 0
    while len(body) < size:
        body += await stream.receive_some()
    return head, body[:size], body[size:]


async def _answer_backend(stream: trio.SocketStream) -> None:
    rest = b""
    while True:
        head, body, rest = await _read_request(stream, rest)
        if not head:
            return
        attempt = ATTEMPT.search(head)
        await stream.send_all(HEAD % (attempt[1] if attempt else b""))
        found = MAX_TOKENS.search(body)
        count = int(found[1]) if found else 1
        wake_s = trio.current_time()
        for _ in range(count):
            if count > 1:
                wake_s += TOKEN_INTERVAL_S
                await trio.sleep_until(wake_s)
            await stream.send_all(make_event(time.monotonic_ns()))
        await stream.send_all(DONE)


async def run_backend(address: str) -> None:
    """Serve a backend that answers each request with timestamped events."""
    host, _, port = address.rpartition(":")

    async def handle(stream: trio.SocketStream) -> None:
        try:
            await _answer_backend(stream)
        except trio.BrokenResourceError:
            return

    await trio.serve_tcp(handle, int(port), host=host)


async def run_bare_relay(address: str, *backends: str) -> None:
    """Serve a relay of hypercorn and httpcore without any other work."""
    pool = httpcore.AsyncConnectionPool(max_connections=1000)
    next_backend = 0

    async def app(scope, receive, send) -> None:  # type: ignore[no-untyped-def]
        nonlocal next_backend
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
        parts = []
        while True:
            message = await receive()
            parts.append(message.get("body", b""))
            if not message.get("more_body"):
                break
        next_backend += 1
        url = f"http://{backends[next_backend % len(backends)]}{scope['path']}"
        async with pool.stream(
            scope["method"], url, content=b"".join(parts)
        ) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": [(b"content-type", b"text/event-stream")],
                }
            )
            async for chunk in response.aiter_stream():
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
        await send({"type": "http.response.body", "body": b""})

    config = hypercorn.config.Config()
    config.bind = [address]
    config.errorlog = None
    await hypercorn.trio.serve(app, config, mode="asgi")


def _make_environment(
    address: str, backends: tuple[str, ...]
) -> environment.Environment:
    env = environment.make_environment(
        settings.parse(SETTINGS.format(address=address))
    )
    env.fleet.config = configuration.validate(
        {
            "services": {SERVICE: {"kind": "model"}},
            "workspaces": {"w": {"key_hashes": [callers_app.hash_key(KEY)]}},
        }
    )
    grants = tuple(
        models.Grant(f"g{i}", SERVICE, 1, PLACES, TTL_S, backend, "here")
        for i, backend in enumerate(backends)
    )
    answer = models.GrantAnswer("domain/d", 1, grants)
    env.held.store_answer(answer, trio.current_time())
    env.is_ready = True
    return env


async def run_entry(address: str, *backends: str) -> None:
    """Serve callers as an entry does, with grants that do not expire."""
    env = _make_environment(address, backends)
    stop = trio.Event()
    await callers_app.serve(env, stop)


async def _load_stream(
    address: str,
    body: bytes,
    start_ns: int,
    end_ns: int,
    latencies_us: list[int],
) -> None:
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n"
        f"authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    request = head.encode() + body
    async with stream:
        while time.monotonic_ns() < end_ns:
            await stream.send_all(request)
            ended = False
            while not ended:
                data = await stream.receive_some(65536)
                now_ns = time.monotonic_ns()
                if not data:
                    raise RuntimeError(f"{address} closed a stream")
                if start_ns <= now_ns < end_ns:
                    latencies_us += [
                        (now_ns - int(timestamp)) // 1000
                        for timestamp in TIMESTAMP.findall(data)
                    ]
                ended = data.endswith(b"0\r\n\r\n")


async def run_load(
    address: str, streams: str, tokens: str, start_ns: str, end_ns: str
) -> None:
    """Hold streams open and print the latency of each token in us."""
    latencies_us: list[int] = []
    body = msgspec.json.encode(
        {
            "model": SERVICE,
            "messages": [{"role": "user", "content": "hello"}],
            "stream": True,
            "max_tokens": int(tokens),
        }
    )
    end_s = trio.current_time() + (int(end_ns) - time.monotonic_ns()) / 1e9
    with trio.move_on_at(end_s + 0.05):
        async with trio.open_nursery() as nursery:
            for _ in range(int(streams)):
                nursery.start_soon(
                    _load_stream,
                    address,
                    body,
                    int(start_ns),
                    int(end_ns),
                    latencies_us,
                )
                await trio.sleep(TOKEN_INTERVAL_S / int(streams))
    print(msgspec.json.encode(latencies_us).decode())


ROLES = {
    "backend": run_backend,
    "bare": run_bare_relay,
    "entry": run_entry,
    "load": run_load,
}


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    trio.run(ROLES[sys.argv[1]], *sys.argv[2:])
