"""Sends HTTP requests over a connection pool and reads whole responses."""

import dataclasses
import socket

import httpcore
import msgspec

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


class NotReached(Exception):
    """No connection could be established; no byte was sent."""


class ExchangeFailed(Exception):
    """The exchange failed after a byte may have been sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Holds a whole HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


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


async def exchange(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    body: bytes = b"",
    timeout_s: float = 2.0,
    headers: dict[str, str] | None = None,
) -> Response:
    """Send one request and read its whole response.

    Raises
    ------
    NotReached
        If no connection could be established.
    ExchangeFailed
        If the exchange failed, or one of its steps took longer than
        ``timeout_s``.
    """
    pairs = {"content-type": "application/json", **(headers or {})}
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    try:
        response = await pool.request(
            method,
            url,
            headers=pairs,
            content=body,
            extensions={"timeout": timeouts},
        )
    except CONNECT_ERRORS as error:
        raise NotReached(f"{method} {url}: {error!r}") from error
    except EXCHANGE_ERRORS as error:
        raise ExchangeFailed(f"{method} {url}: {error!r}") from error
    return Response(
        response.status, decode_headers(response.headers), response.content
    )


def encode(value: object) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)
