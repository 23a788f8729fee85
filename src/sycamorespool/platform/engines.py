"""Calls the model engines: fetches reports and sends orders.

An answer names no request that it belongs to, and a faulty server may answer
twice.  So an order is the last request on its connection, behind reports only,
and an answer to it that holds a report is none.  A second report is at worst
an old one.
"""

import dataclasses
import enum

from sycamorespool import backends
from sycamorespool import exceptions
from sycamorespool.platform import headers
from sycamorespool.platform import wire
from sycamorespool import short_calls
from sycamorespool import sockets

REPORT_TIMEOUT_S = 0.45
ORDER_TIMEOUT_S = 0.4
# Longest answers.  A report names the models that a VM holds; the others have
# no body to speak of.
MAX_REPORT_BYTES = 32 * 1024
MAX_HEALTH_BYTES = 8 * 1024
MAX_ORDER_BYTES = 8 * 1024
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"


def _ask_report(address: str, timeout_s: float) -> short_calls.Call:
    return short_calls.Call(
        address, "GET", REPORT_PATH, MAX_REPORT_BYTES, timeout_s
    )


async def fetch_report(
    caller: short_calls.Caller, address: str
) -> backends.Report:
    """Fetch a model engine's report of its state.

    Raises
    ------
    BackendNotReached, BackendCut
        If there was no valid report.
    """
    # Whoever wants the report sooner cancels the call.
    answer = await caller.call(_ask_report(address, 2 * REPORT_TIMEOUT_S))
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
    caller: short_calls.Caller, address: str, timeout_s: float
) -> ProbeStatus:
    """Ask a backend server for an answer with any status."""
    try:
        await caller.call(_ask_report(address, timeout_s))
    except exceptions.BackendNotReached:
        is_refused = await sockets.is_refused(address, timeout_s)
        return ProbeStatus.REFUSED if is_refused else ProbeStatus.SILENT
    except exceptions.BackendCut:
        return ProbeStatus.SILENT
    return ProbeStatus.ANSWERED


async def is_staying(
    caller: short_calls.Caller, backend: backends.Backend, health_path: str
) -> bool:
    """Ask a backend server whether it is healthy and not about to leave.

    An answer from another server at the same address counts as no.
    """
    call = short_calls.Call(
        backend.address,
        "GET",
        health_path,
        MAX_HEALTH_BYTES,
        REPORT_TIMEOUT_S,
        may_reuse=False,
        is_last=True,
    )
    try:
        answer = await caller.call(call)
    except exceptions.BackendError:
        return False
    named = answer.headers.get(headers.SERVER_ID, "")
    return (
        answer.status == 200
        and named == backend.backend_id
        and not headers.is_leaving(answer.headers)
    )


async def send_order(
    caller: short_calls.Caller,
    address: str,
    order: backends.Order,
    fencing_number: int,
    expected_orders: int | None,
) -> backends.OrderOutcome:
    """Send an order to a model engine and return its outcome."""
    call = short_calls.Call(
        address,
        "POST",
        ORDER_PATH,
        MAX_ORDER_BYTES,
        ORDER_TIMEOUT_S,
        wire.encode_order(order, fencing_number, expected_orders),
        is_last=True,
    )
    try:
        answer = await caller.call(call)
    except exceptions.BackendNotReached:
        return backends.OrderOutcome.REFUSED
    except exceptions.BackendCut:
        return backends.OrderOutcome.UNKNOWN
    if wire.holds_report(answer.body):
        return backends.OrderOutcome.UNKNOWN
    return wire.ORDER_OUTCOMES.get(
        answer.status, backends.OrderOutcome.REFUSED
    )
