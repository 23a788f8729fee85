"""Adapts request handlers to the interface of ASGI servers.

Handlers take a :class:`Request` and return a :class:`Response`; code that
streams a response sends the ASGI messages itself.
"""

import collections.abc
import dataclasses
import typing as t
import urllib.parse

import msgspec

from sycamorespool import http_client

Scope: t.TypeAlias = dict[str, t.Any]
Receive: t.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, t.Any]]
]
Send: t.TypeAlias = collections.abc.Callable[
    [dict[str, t.Any]], collections.abc.Awaitable[None]
]
App: t.TypeAlias = collections.abc.Callable[
    [Scope, Receive, Send], collections.abc.Awaitable[None]
]

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEAD_BYTES = 32 * 1024
JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
# Extension of a scope that holds the target as it was received.
RAW_TARGET = "sycamorespool.raw_target"


class BodyTooLarge(Exception):
    """Raised when the body of a request exceeds the limit."""


class CallerGone(Exception):
    """Raised when the caller disconnected before its response was complete."""


class AnswerCut(Exception):
    """Raised when a response was cut short.

    Its connection has to be closed.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Holds one whole HTTP request.

    Parameters
    ----------
    path : str
        The path, percent-decoded.
    target : str
        The path and the query string as they were sent.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Holds one whole HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


def answer_json(value: t.Any, status: int = 200) -> Response:
    """Return a response with a value encoded as JSON."""
    return Response(status, msgspec.json.encode(value))


def make_request(scope: Scope, body: bytes = b"") -> Request:
    """Return the request of an ASGI scope and a body."""
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    query_string = scope["query_string"].decode("latin-1")
    query = dict(urllib.parse.parse_qsl(query_string))
    return Request(
        scope["method"],
        scope["path"],
        query,
        headers,
        body,
        _find_target(scope),
    )


def _find_target(scope: Scope) -> str:
    """Return the target as it was received, if the server tells it.

    A scope without it does not show whether there was an empty query.
    """
    received = scope.get("extensions", {}).get(RAW_TARGET, {}).get("target")
    if received is not None:
        return received.decode("latin-1")
    target = scope["raw_path"].decode("latin-1")
    query_string = scope["query_string"].decode("latin-1")
    return f"{target}?{query_string}" if query_string else target


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Read the whole body of a request.

    Raises
    ------
    BodyTooLarge
        If the body has more than ``limit_bytes``.
    CallerGone
        If the caller disconnects before the end of the body.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone
        part = message.get("body", b"")
        size += len(part)
        if size > limit_bytes:
            raise BodyTooLarge
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


def encode_headers(
    content_type: str, headers: dict[str, str]
) -> list[tuple[bytes, bytes]]:
    """Return the headers as the pairs of bytes that ASGI expects."""
    return http_client.encode_headers(
        {"content-type": content_type, **headers}
    )


async def send_response(send: Send, response: Response) -> None:
    """Send one whole response."""
    headers = encode_headers(response.content_type, response.headers)
    headers.append((b"content-length", str(len(response.body)).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Answer the lifespan messages of an ASGI server."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def make_app(
    handle: collections.abc.Callable[
        [Request], collections.abc.Awaitable[Response]
    ],
) -> App:
    """Return an ASGI application that calls a handler for each request."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
            return
        try:
            body = await read_body(receive, MAX_BODY_BYTES)
        except CallerGone:
            return
        except BodyTooLarge:
            await send_response(send, Response(413))
            return
        await send_response(send, await handle(make_request(scope, body)))

    return app
