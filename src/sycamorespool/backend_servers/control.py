"""Orders towards backend servers."""

import httpcore
import msgspec
import trio

from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import models

ORDER_TIMEOUT_S = 0.8
UNACKED_TIMEOUT_S = 0.7


def _decode_report(answer: http_client.Answer) -> models.ProbeReport:
    if answer.status == 409:
        raise exceptions.BackendRefused(409, "old epoch")
    if answer.status != 200:
        raise exceptions.BackendCut(f"answered {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=models.ProbeReport)
    except msgspec.DecodeError as error:
        raise exceptions.BackendCut(str(error)) from error


def make_order_pool() -> httpcore.AsyncConnectionPool:
    """Make the pool for orders.

    An order lands within the sum of the two timeouts or never, which
    bounds how long a new owner waits for those of the former one.
    """
    return http_client.make_pool(unacked_timeout_s=UNACKED_TIMEOUT_S)


async def send_order(
    pool: httpcore.AsyncConnectionPool, address: str, order: models.Order
) -> models.ProbeReport:
    """Send an order and return the state that it led to.

    Raises
    ------
    BackendRefused
        If the backend server took an order of a newer epoch before.
    BackendNotReached
        If the order was not sent.
    BackendCut
        If the order may have been obeyed, but its answer was lost.
    """
    url = f"http://{address}/orders"
    body = msgspec.json.encode(order)
    try:
        with trio.fail_after(ORDER_TIMEOUT_S):
            answer = await http_client.exchange(pool, "POST", url, body)
    except trio.TooSlowError as error:
        raise exceptions.BackendCut("order not answered in time") from error
    except http_client.NotReached as error:
        raise exceptions.BackendNotReached(str(error)) from error
    except http_client.ExchangeFailed as error:
        raise exceptions.BackendCut(str(error)) from error
    return _decode_report(answer)


async def move_cache(
    pool: httpcore.AsyncConnectionPool, source: str, target: str
) -> None:
    """Export the KV cache of one backend server and import it at another.

    Parameters
    ----------
    source, target : str
        Their ``IP:port``.

    Raises
    ------
    BackendError
        If the cache was not moved; nothing depends on it.
    """
    exported = await _call(pool, f"http://{source}/kv/export")
    await _call(pool, f"http://{target}/kv/import", exported)


async def _call(
    pool: httpcore.AsyncConnectionPool, url: str, body: bytes = b""
) -> bytes:
    try:
        answer = await http_client.exchange(
            pool, "POST", url, body, ORDER_TIMEOUT_S
        )
    except http_client.NotReached as error:
        raise exceptions.BackendNotReached(str(error)) from error
    except http_client.ExchangeFailed as error:
        raise exceptions.BackendCut(str(error)) from error
    if answer.status >= 300:
        raise exceptions.BackendRefused(answer.status, url)
    return answer.body
