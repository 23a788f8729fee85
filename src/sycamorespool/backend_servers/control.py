"""Controls backend servers: orders and moves of the KV cache."""

import msgspec
import trio

from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import models

ORDER_TIMEOUT_S = 0.8
# Time after which the kernel gives up on bytes that were not acknowledged,
# also on those of a closed connection.
UNACKED_TIMEOUT_S = 0.7


def _decode_report(answer: http_client.Response) -> models.ProbeReport:
    if answer.status == 409:
        raise exceptions.BackendRefused(
            409, "an order with a newer epoch was obeyed before"
        )
    if answer.status != 200:
        raise exceptions.BackendCut(f"answered with status {answer.status}")
    try:
        return decoding.decode_json(answer.body, models.ProbeReport)
    except exceptions.Undecodable as error:
        raise exceptions.BackendCut(str(error)) from error


def make_order_pool() -> http_client.Pool:
    """Make the connection pool for orders.

    An order arrives within the sum of ``ORDER_TIMEOUT_S`` and
    ``UNACKED_TIMEOUT_S`` or never.  This bounds how long a new owner waits
    for the orders of the previous one.
    """
    return http_client.make_pool(unacked_timeout_s=UNACKED_TIMEOUT_S)


async def send_order(
    pool: http_client.Pool, address: str, order: models.Order
) -> models.ProbeReport:
    """Send an order and return the state of the backend server after it.

    Raises
    ------
    BackendRefused
        If the backend server has obeyed an order with a newer epoch.
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
        raise exceptions.BackendCut(
            "the order was not answered in time"
        ) from error
    except http_client.NotReached as error:
        raise exceptions.BackendNotReached(str(error)) from error
    except http_client.ExchangeFailed as error:
        raise exceptions.BackendCut(str(error)) from error
    return _decode_report(answer)


async def move_cache(pool: http_client.Pool, source: str, target: str) -> None:
    """Export the KV cache of one backend server and import it at another.

    Parameters
    ----------
    source, target : str
        ``IP:port`` of the two backend servers.

    Raises
    ------
    BackendError
        If the cache was not moved; nothing depends on the move.
    """
    exported = await _post(pool, f"http://{source}/kv/export")
    await _post(pool, f"http://{target}/kv/import", exported)


async def _post(pool: http_client.Pool, url: str, body: bytes = b"") -> bytes:
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
