"""Tells other entries what this one has at the backend servers.

The entry that reads the store for its data centre also gathers what the
others there have, and exchanges the sums with those of the other data
centres.  Each of its followers sends its own report and gets the sum of all
others.  Messages that are lost, or an entry that does not know them, only make
the placement coarser.
"""

from collections import abc
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.decisions.placing import fleet_load
from sycamorespool.decisions import store_readers
from sycamorespool import decoding
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import logs

PATH = "/load"
TIMEOUT_S = 0.3
# Time between two reports of an entry, and how much longer it is for each
# entry of the data centre, so that the one that gathers them keeps up.
LEAST_PERIOD_S = 0.4
PERIOD_PER_ENTRY_S = 0.02
# Senders of sums: of all other entries, and of one data centre.
_OTHERS = "others"
_DATA_CENTRE = "data-centre/"

log = logs.make_logger("requests")


class LoadMessage(msgspec.Struct, array_like=True):
    """Holds a report of one entry, or the sum of several.

    Parameters
    ----------
    requests : dict
        Requests at the servers: all, and those that were postponed.
    demand : dict
        Work that callers ask for, in busy servers, by service and model.
    """

    entry: str
    data_centre: str
    requests: dict[str, tuple[decoding.Count, decoding.Count]]
    demand: dict[str, decoding.Amount] = {}


def _encode(
    context: entry_context.EntryContext, report: fleet_load.LoadReport
) -> bytes:
    message = LoadMessage(
        context.name,
        context.settings.entry.data_centre,
        {
            server: (count.running, count.postponed)
            for server, count in report.requests.items()
        },
        dict(report.demand),
    )
    return msgspec.msgpack.encode(message)


def _make_report(message: LoadMessage) -> fleet_load.LoadReport:
    requests = {
        server: fleet_load.Requests(*counts)
        for server, counts in message.requests.items()
    }
    return fleet_load.LoadReport(requests, message.demand)


def _make_own_report(
    context: entry_context.EntryContext, now_s: float
) -> fleet_load.LoadReport:
    requests = {
        backend_id: fleet_load.Requests(
            activity.in_flight,
            sum(
                attempt.is_postponed and not attempt.has_begun
                for attempt in activity.running
            ),
        )
        for backend_id, activity in context.placement_state.activities.items()
        if activity.in_flight and backend_id in context.registry.servers
    }
    demand = fleet_load.read_demand(context.load.meter, now_s)
    return fleet_load.LoadReport(requests, demand)


def _sum_data_centre(
    context: entry_context.EntryContext, now_s: float
) -> fleet_load.LoadReport:
    """Return the sum of the entries of this data centre."""
    known = context.load.reports
    sums = {name for name in known if name.startswith(_DATA_CENTRE)}
    return fleet_load.sum_reports(
        context.load,
        now_s,
        _make_own_report(context, now_s),
        sums | {_OTHERS},
    )


def _apply(
    context: entry_context.EntryContext, is_follower: bool, now_s: float
) -> None:
    """Let placement and the allocation of VMs use what is known now."""
    fleet = context.load
    gathered = fleet.reports.get(_OTHERS)
    is_current = (
        gathered is not None and now_s - gathered[1] < fleet_load.EXPIRY_S
    )
    if is_follower and is_current:
        others = gathered[0]
    else:
        others = fleet_load.sum_reports(fleet, now_s, excluded={_OTHERS})
    context.placement_state.others = others.requests
    context.load.demand = others.demand
    context.metrics.set(
        "fleet_requests",
        sum(count.running for count in others.requests.values()),
    )


def make_app(context: entry_context.EntryContext) -> asgi.App:
    """Return the application that answers the reports of other entries."""

    async def handle(request: asgi.Request) -> asgi.Response:
        try:
            message = decoding.decode_msgpack(request.body, LoadMessage)
        except exceptions.Undecodable:
            return asgi.Response(400)
        now_s = trio.current_time()
        report = _make_report(message)
        if message.data_centre != context.settings.entry.data_centre:
            sender = _DATA_CENTRE + message.data_centre
            answer = _sum_data_centre(context, now_s)
        else:
            sender = message.entry
            answer = fleet_load.sum_reports(
                context.load,
                now_s,
                _make_own_report(context, now_s),
                {sender, _OTHERS},
            )
        fleet_load.note_report(context.load, sender, report, now_s)
        body = _encode(context, answer)
        return asgi.Response(200, body, "application/msgpack")

    return asgi.make_app(handle)


async def _exchange(
    context: entry_context.EntryContext,
    name: str,
    sender: str,
    report: fleet_load.LoadReport,
) -> None:
    """Send a report to an entry, and record what it answers."""
    address = context.entry_directory.entries[name].address
    try:
        answer = await http_client.exchange(
            context.peer_pool,
            "POST",
            f"http://{address}{PATH}",
            _encode(context, report),
            TIMEOUT_S,
        )
        message = decoding.decode_msgpack(answer.body, LoadMessage)
    except (
        http_client.NotReached,
        http_client.ExchangeFailed,
        exceptions.Undecodable,
    ):
        context.metrics.count("load_reports_failed")
        return
    found = _make_report(message)
    now_s = trio.current_time()
    fleet_load.note_report(context.load, sender, found, now_s)


def _list_other_readers(
    context: entry_context.EntryContext, now_s: float
) -> abc.Iterator[tuple[str, str]]:
    """Yield the other data centres with the entries that gather there."""
    directory = context.entry_directory
    own = context.settings.entry.data_centre
    centres = {entry.data_centre for entry in directory.entries.values()}
    for data_centre in sorted(centres - {own}):
        name = store_readers.find_reader(directory, data_centre, now_s)
        if name is not None:
            yield data_centre, name


async def _report_once(context: entry_context.EntryContext) -> None:
    now_s = trio.current_time()
    reader = store_readers.choose(context.entry_directory, context.name, now_s)
    if reader is not None:
        own = _make_own_report(context, now_s)
        await _exchange(context, reader, _OTHERS, own)
    else:
        total = _sum_data_centre(context, now_s)
        async with trio.open_nursery() as nursery:
            for data_centre, name in _list_other_readers(context, now_s):
                sender = _DATA_CENTRE + data_centre
                nursery.start_soon(_exchange, context, name, sender, total)
    _apply(context, reader is not None, trio.current_time())


def _find_period_s(context: entry_context.EntryContext) -> float:
    own = context.settings.entry.data_centre
    near = sum(
        entry.data_centre == own
        for entry in context.entry_directory.entries.values()
    )
    return max(LEAST_PERIOD_S, PERIOD_PER_ENTRY_S * near)


async def run(context: entry_context.EntryContext) -> t.NoReturn:
    """Exchange reports with other entries until cancelled."""
    while True:
        period_s = _find_period_s(context)
        # At random times, so that not all reports arrive at once.
        await trio.sleep(period_s * context.random.uniform(0.8, 1.2))
        if context.settings.balancing.share_load:
            await _report_once(context)
