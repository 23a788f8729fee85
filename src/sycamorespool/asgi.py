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
# Extensions of a scope: the target as it was received, and a function that
# accounts for memory held for the caller and tells whether there is room.
RAW_TARGET = "sycamorespool.raw_target"
MAY_HOLD = "sycamorespool.may_hold"


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
        find_target(scope),
    )


def find_target(scope: Scope) -> str:
    """Return the target as it was received, if the server tells it.

    A scope without it does not show whether there was an empty query.
    """
    received = scope.get("extensions", {}).get(RAW_TARGET, {}).get("target")
    if received is not None:
        return received.decode("latin-1")
    target = scope["raw_path"].decode("latin-1")
    query_string = scope["query_string"].decode("latin-1")
    return f"{target}?{query_string}" if query_string else target


def find_length(scope: Scope) -> int:
    """Return the length that a request's head gives for its body, or 0."""
    given = dict(scope["headers"]).get(b"content-length", b"")
    return int(given) if given.isdigit() else 0


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Read the whole body of a request.

    Raises
    ------
    BodyTooLarge
        If the body has more than ``limit_bytes``.
    CallerGone
        If the caller disconnects before the end of the body.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone
        # Many small parts would take far more memory than their bytes.
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            raise BodyTooLarge
        if not message.get("more_body", False):
            return bytes(body)


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
