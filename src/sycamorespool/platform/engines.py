"""Calls the model engines: fetches reports and sends orders.

An answer names no request that it belongs to, and a faulty server may answer
twice.  So an order is the last request on its connection, behind reports only,
and an answer to it that holds a report is none.  A second report is at worst
an old one.
"""

import dataclasses
import enum

import trio

from sycamorespool import address_pools
from sycamorespool import backends
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool.platform import headers
from sycamorespool.platform import wire
from sycamorespool import sockets

REPORT_TIMEOUT_S = 0.45
ORDER_TIMEOUT_S = 0.4


async def fetch_report(
    pools: address_pools.AddressPools, address: str
) -> backends.Report:
    """Fetch a model engine's report of its state.

    Raises
    ------
    BackendNotReached, BackendCut
        If there was no valid report.
    """
    try:
        answer = await http_client.exchange(
            await pools.find(address, trio.current_time()),
            "GET",
            f"http://{address}/api/report",
            timeout_s=REPORT_TIMEOUT_S,
        )
    except http_client.NotReached as error:
        raise exceptions.BackendNotReached(str(error)) from error
    except http_client.ExchangeFailed as error:
        raise exceptions.BackendCut(str(error)) from error
    if answer.status != 200:
        raise exceptions.BackendCut(
            f"request for a report answered {answer.status}"
        )
    report = wire.decode_report(answer.body)
    return dataclasses.replace(
        report, is_leaving=headers.is_leaving(answer.headers)
    )


class ProbeStatus(enum.StrEnum):
    """Names the result of a probe.

    ``REFUSED`` means that no process listens at the address any more.
    """

    ANSWERED = "answered"
    SILENT = "silent"
    REFUSED = "refused"


async def probe(
    pools: address_pools.AddressPools, address: str, timeout_s: float
) -> ProbeStatus:
    """Ask a backend server for an answer with any status."""
    url = f"http://{address}/api/report"
    pool = await pools.find(address, trio.current_time())
    try:
        await http_client.exchange(pool, "GET", url, timeout_s=timeout_s)
    except http_client.NotReached:
        is_refused = await sockets.is_refused(address, timeout_s)
        return ProbeStatus.REFUSED if is_refused else ProbeStatus.SILENT
    except http_client.ExchangeFailed:
        return ProbeStatus.SILENT
    return ProbeStatus.ANSWERED


async def is_staying(backend: backends.Backend, health_path: str) -> bool:
    """Ask a backend server whether it is healthy and not about to leave.

    An answer from another server at the same address counts as no.
    """
    url = f"http://{backend.address}{health_path}"
    try:
        answer = await http_client.exchange_alone(
            "GET", url, timeout_s=REPORT_TIMEOUT_S
        )
    except (http_client.NotReached, http_client.ExchangeFailed):
        return False
    named = answer.headers.get(headers.SERVER_ID, "")
    return (
        answer.status == 200
        and named == backend.backend_id
        and not headers.is_leaving(answer.headers)
    )


async def send_order(
    pools: address_pools.AddressPools,
    address: str,
    order: backends.Order,
    fencing_number: int,
    expected_orders: int | None,
) -> backends.OrderOutcome:
    """Send an order to a model engine and return its outcome."""
    body = wire.encode_order(order, fencing_number, expected_orders)
    try:
        answer = await http_client.exchange(
            await pools.find(address, trio.current_time()),
            "POST",
            f"http://{address}/api/order",
            body,
            ORDER_TIMEOUT_S,
            http_client.LAST_REQUEST,
        )
    except http_client.NotReached:
        return backends.OrderOutcome.REFUSED
    except http_client.ExchangeFailed:
        return backends.OrderOutcome.UNKNOWN
    if wire.holds_report(answer.body):
        return backends.OrderOutcome.UNKNOWN
    return wire.ORDER_OUTCOMES.get(
        answer.status, backends.OrderOutcome.REFUSED
    )
