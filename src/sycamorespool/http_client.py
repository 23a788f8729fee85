"""Sends HTTP requests over a connection pool and reads whole responses."""

from collections import abc
import dataclasses
import socket

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
# A response that is longer, or takes longer than so many of its timeouts in
# all, is given up, as it may have no end.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
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


def make_pool(
    max_connections: int = 256, unacked_timeout_s: float | None = None
) -> httpcore.AsyncConnectionPool:
    """Return a pool of plain HTTP/1.1 connections without retries.

    Parameters
    ----------
    unacked_timeout_s : float, optional
        Time after which the kernel gives up on bytes that the peer has
        not acknowledged, including those of a closed connection.
    """
    options = []
    if unacked_timeout_s is not None:
        timeout_ms = round(unacked_timeout_s * 1000)
        options = [(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)]
    return httpcore.AsyncConnectionPool(
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
    pool: httpcore.AsyncConnectionPool,
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
        is longer than ``MAX_RESPONSE_BYTES``.
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
                _check_status(response.status)
                content = await _read_content(response)
    except CONNECT_ERRORS as error:
        raise NotReached(f"{method} {url}: {error!r}") from error
    except (*EXCHANGE_ERRORS, trio.TooSlowError) as error:
        raise ExchangeFailed(f"{method} {url}: {error!r}") from error
    return Response(response.status, decode_headers(response.headers), content)


async def exchange_alone(
    method: str, url: str, body: bytes = b"", timeout_s: float = 2.0
) -> Response:
    """Send one request on a connection that is used for nothing else.

    No answer to another request can be taken for its answer.

    Raises
    ------
    NotReached, ExchangeFailed
        As :func:`exchange` raises them.
    """
    async with make_pool(max_connections=1) as pool:
        return await exchange(pool, method, url, body, timeout_s, LAST_REQUEST)


def _check_status(status: int) -> None:
    if not is_answer(status):
        raise ExchangeFailed(f"{status} is not the status of an answer")


async def _read_content(response: httpcore.Response) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise ExchangeFailed("the response is too long")
        parts.append(part)
    return b"".join(parts)


def encode(value: object) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)
