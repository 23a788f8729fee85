"""Requests towards backend servers and their answers."""

import collections.abc
import contextlib
import dataclasses

import httpcore

from sycamorespool import exceptions
from sycamorespool import http_client

DONE = b"data: [DONE]"
REFUSALS = frozenset((429, 503))
CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class BackendAnswer:
    """An answer whose body is still to be read."""

    status: int
    headers: dict[str, str]
    chunks: collections.abc.AsyncIterator[bytes]


async def _read_chunks(
    response: httpcore.Response,
) -> collections.abc.AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except http_client.EXCHANGE_ERRORS as error:
        raise exceptions.BackendCut(repr(error)) from error


@contextlib.asynccontextmanager
async def open_request(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    timeout_s: float,
) -> collections.abc.AsyncIterator[BackendAnswer]:
    """Send a request and give the answer while its connection is open.

    The connection is closed, never reused, if the answer is left before
    its end.

    Raises
    ------
    BackendNotReached
        If no byte was sent.
    BackendRefused
        If the backend server says that it did not run the request.
    BackendCut
        If the exchange broke after a byte may have been sent, or the
        answer belongs to another attempt.
    """
    timeouts = {
        "connect": CONNECT_TIMEOUT_S,
        "pool": CONNECT_TIMEOUT_S,
        "read": timeout_s,
        "write": timeout_s,
    }
    request = pool.stream(
        method,
        f"http://{address}{path}",
        headers=headers,
        content=body,
        extensions={"timeout": timeouts},
    )
    async with contextlib.AsyncExitStack() as stack:
        try:
            response = await stack.enter_async_context(request)
        except http_client.CONNECT_ERRORS as error:
            raise exceptions.BackendNotReached(repr(error)) from error
        except http_client.EXCHANGE_ERRORS as error:
            raise exceptions.BackendCut(repr(error)) from error
        decoded = http_client.decode_headers(response.headers)
        if response.status in REFUSALS:
            raise exceptions.BackendRefused(response.status)
        if decoded.get("x-attempt-id", "") != headers["x-attempt-id"]:
            raise exceptions.BackendCut("answer of another attempt")
        yield BackendAnswer(response.status, decoded, _read_chunks(response))
