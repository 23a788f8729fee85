"""Sends HTTP requests over a connection pool and reads whole responses."""

from collections import abc
import dataclasses
import socket
import typing as t

import httpcore
import msgspec
import trio

CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
# A response that is longer, has more header fields, or takes longer than so
# many of its timeouts in all, is given up, as it may have no end.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_FIELDS = 256
TIMEOUTS_PER_EXCHANGE = 2.0
# Statuses of final answers (RFC 9110, section 15).
ANSWER_STATUSES = range(200, 600)
# Headers of a request after which its connection is closed.
LAST_REQUEST = {"connection": "close"}


class NotReached(Exception):
    """Raised when no connection could be established; no byte was sent."""


class ExchangeFailed(Exception):
    """Raised when the exchange failed after a byte may have been sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Holds a whole HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


def is_answer(status: int) -> bool:
    """Tell whether a status is one of a final answer.

    Bytes with any other status are not an answer to a request, even if they
    have the form of one.
    """
    return status in ANSWER_STATUSES


class Pool(httpcore.AsyncConnectionPool):
    """Keeps connections, and counts what is read on them.

    Parameters
    ----------
    max_held_bytes : int
        Length of all bodies together that are being read.

    Attributes
    ----------
    held_bytes : int
        Length of what has been read of them.
    """

    def __init__(self, max_held_bytes: int, **options: t.Any) -> None:
        super().__init__(**options)
        self.held_bytes = 0
        self._max_held_bytes = max_held_bytes

    def hold(self, size: int) -> None:
        """Count some more bytes that are held.

        Raises
        ------
        ExchangeFailed
            If all responses together are too long.
        """
        if self.held_bytes + size > self._max_held_bytes:
            raise ExchangeFailed("all responses together are too long")
        self.held_bytes += size


def make_pool(
    max_connections: int = 256,
    unacked_timeout_s: float | None = None,
    max_held_bytes: int = 2 * MAX_RESPONSE_BYTES,
) -> Pool:
    """Return a pool of plain HTTP/1.1 connections without retries.

    Parameters
    ----------
    unacked_timeout_s : float, optional
        Time after which the kernel gives up on bytes that the peer has
        not acknowledged, including those of a closed connection.
    max_held_bytes : int
        Length of all bodies together that may be read at the same time.
    """
    options = []
    if unacked_timeout_s is not None:
        timeout_ms = round(unacked_timeout_s * 1000)
        options = [(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)]
    return Pool(
        max_held_bytes,
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=30,
        retries=0,
        socket_options=options,
    )


def decode_headers(pairs: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers as text, with lower-case names."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in pairs
    }


def join_headers(pairs: abc.Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers as text, to be sent on as they are.

    The values of one that comes several times are lines of one text.
    """
    joined: dict[str, str] = {}
    for name_bytes, value_bytes in pairs:
        name = name_bytes.decode("latin-1").lower()
        value = value_bytes.decode("latin-1")
        joined[name] = f"{joined[name]}\n{value}" if name in joined else value
    return joined


def encode_headers(
    headers: abc.Mapping[str, str],
) -> list[tuple[bytes, bytes]]:
    """Return the lines of headers that may have several each."""
    return [
        (name.lower().encode(), _encode_value(line))
        for name, value in headers.items()
        for line in value.split("\n")
    ]


def _encode_value(value: str) -> bytes:
    """Return a header's value as the bytes from which it was decoded.

    A value that was not decoded from a header may have other characters.
    """
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode()


async def exchange(
    pool: Pool,
    method: str,
    url: str,
    body: bytes = b"",
    timeout_s: float = 2.0,
    headers: abc.Mapping[str, str] | None = None,
) -> Response:
    """Send one request and read its whole response.

    Raises
    ------
    NotReached
        If no connection could be established.
    ExchangeFailed
        If the exchange failed, one of its steps took longer than
        ``timeout_s`` or all of them several times as long, or the response
        exceeds a limit of this module or of its pool.
    """
    pairs = {"content-type": "application/json", **(headers or {})}
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    try:
        target = httpcore.URL(url)
    except ValueError as error:
        raise NotReached(f"{url!r} cannot be called: {error}") from error
    try:
        with trio.fail_after(TIMEOUTS_PER_EXCHANGE * timeout_s):
            async with pool.stream(
                method,
                target,
                headers=pairs,
                content=body,
                extensions={"timeout": timeouts},
            ) as response:
                _check_head(response)
                content = await _read_content(pool, response)
    except CONNECT_ERRORS as error:
        raise NotReached(f"{method} {url}: {error!r}") from error
    except (*EXCHANGE_ERRORS, trio.TooSlowError) as error:
        raise ExchangeFailed(f"{method} {url}: {error!r}") from error
    return Response(response.status, decode_headers(response.headers), content)


def _check_head(response: httpcore.Response) -> None:
    if not is_answer(response.status):
        raise ExchangeFailed(
            f"{response.status} is not the status of an answer"
        )
    if len(response.headers) > MAX_FIELDS:
        raise ExchangeFailed("the response has too many header fields")


async def _read_content(pool: Pool, response: httpcore.Response) -> bytes:
    # One buffer: a list of short parts would take many times their bytes.
    content = bytearray()
    try:
        async for part in response.aiter_stream():
            pool.hold(len(part))
            content += part
            if len(content) > MAX_RESPONSE_BYTES:
                raise ExchangeFailed("the response is too long")
    finally:
        pool.held_bytes -= len(content)
    return bytes(content)


def encode(value: object) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)
