"""Floods of requests by callers that do not behave as ordinary ones do.

A flood is a number of connections on each of which a caller sends some bytes,
as far as the entry takes them, and which then stay open::

    async with flood.keep_open(address, 40, flood.send_whole_body, "/x"):
        ...  # all have sent what they could
"""

from collections import abc
import contextlib
import socket

import trio

HOST = "shop.example"
KEY = "caller-key"
MIB = 1024 * 1024
# A caller that could send nothing for so long has sent what it could.
BLOCKED_S = 2.0
# Receive buffer of callers that do not read, so that few bytes fill it.
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 65536

Pieces = abc.Iterable[bytes]


def make_head(path: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of a request with some more header lines."""
    named = (
        f"{method} {path} HTTP/1.1",
        f"host: {HOST}",
        f"authorization: Bearer {KEY}",
        "sycamorespool-attempt-id: flood",
        "sycamorespool-deadline-ms: 5000",
        *lines,
    )
    return "".join(f"{line}\r\n" for line in (*named, "")).encode()


def send_whole_body(path: str) -> Pieces:
    """A body of 4 MiB in one piece, but for its last ten bytes."""
    head = make_head(path, f"content-length: {4 * MIB}")
    yield head + bytes(4 * MIB - 10)


def send_body_in_pieces(path: str) -> Pieces:
    """A body of 4 MiB in small pieces, but for its last ten bytes."""
    yield make_head(path, f"content-length: {4 * MIB}")
    left = 4 * MIB - 10
    while left:
        size = min(left, 16384)
        yield bytes(size)
        left -= size


def send_small_chunks(path: str) -> Pieces:
    """A body in 50,000 chunks of two bytes, without the last one."""
    yield make_head(path, "transfer-encoding: chunked")
    for _ in range(50):
        yield b"2\r\nab\r\n" * 1000


def send_large_chunks(path: str) -> Pieces:
    """A body of nearly 4 MiB in chunks of 16 KiB, without the last one."""
    yield make_head(path, "transfer-encoding: chunked")
    for _ in range(255):
        yield b"4000\r\n%b\r\n" % bytes(16384)


def send_too_much(path: str) -> Pieces:
    """A body far over the limit, of which 12 MiB are sent."""
    yield make_head(path, f"content-length: {64 * MIB}")
    for _ in range(12):
        yield bytes(MIB)


def send_too_many_chunks(path: str) -> Pieces:
    """A body without a length that goes on far over the limit."""
    yield make_head(path, "transfer-encoding: chunked")
    for _ in range(12):
        yield b"100000\r\n%b\r\n" % bytes(MIB)


def send_many_fields(path: str) -> Pieces:
    """A head of 7,000 short fields, and a body that stops short."""
    head = make_head(path, "content-length: 100")
    yield head[:-2] + b"a:\r\n" * 7000 + b"\r\n" + bytes(90)


def send_ahead(path: str) -> Pieces:
    """4,000 requests at once, of which no answer is read."""
    for _ in range(40):
        yield make_head(path, method="GET") * 100


def send_some_ahead(path: str) -> Pieces:
    """Fifty requests at once, of which no answer is read."""
    yield make_head(path, method="GET") * 50


def stop_in_head(path: str) -> Pieces:
    """Half of a head."""
    yield make_head(path)[:40]


def stop_before_head(path: str) -> Pieces:
    """Nothing at all."""
    return ()


def ask_only(path: str) -> Pieces:
    """One request, of which the answer is not read."""
    yield make_head(path, method="GET")


def trickle_body(path: str) -> Pieces:
    """The head, and then a body byte by byte that stops half-way."""
    yield make_head(path, "content-length: 100")
    for _ in range(50):
        yield b"x"


async def _send(stream: trio.SocketStream, pieces: Pieces) -> None:
    """Send pieces as long as the peer takes them."""
    with contextlib.suppress(trio.BrokenResourceError, OSError):
        for piece in pieces:
            with trio.move_on_after(BLOCKED_S) as blocked:
                await stream.send_all(piece)
            if blocked.cancelled_caught:
                return


async def _connect(address: str) -> trio.SocketStream | None:
    """Connect with a small receive buffer; return None if that fails."""
    host, _, port = address.rpartition(":")
    connecting = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connecting.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    with trio.move_on_after(BLOCKED_S), contextlib.suppress(OSError):
        await connecting.connect((host, int(port)))
        return trio.SocketStream(connecting)
    connecting.close()
    return None


@contextlib.asynccontextmanager
async def keep_open(
    address: str,
    count: int,
    make_pieces: abc.Callable[[str], Pieces],
    path: str,
) -> abc.AsyncIterator[None]:
    """Let a flood send at once, and keep its connections open.

    The context is entered once each caller has sent what it could.  A
    connection that the entry closes or refuses stays closed.
    """
    streams: list[trio.SocketStream] = []

    async def run_one() -> None:
        stream = await _connect(address)
        if stream is not None:
            streams.append(stream)
            await _send(stream, make_pieces(path))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run_one)
    try:
        yield
    finally:
        for stream in streams:
            stream.socket.close()
