"""Holds what the other entries of the fleet have at each backend server.

Each entry reports its requests at the servers and the work that callers ask
for.  The state is soft: a report is replaced by the next one and expires, and
without reports an entry decides by its own requests alone::

    note_report(fleet, "entry-2", LoadReport({"i-7": Requests(3)}), now_s)
    others = sum_reports(fleet, now_s)

One entry of a data centre gathers the reports of its entries and hands out
their sum, so that the messages of an entry do not grow with the fleet.
"""

from collections import abc
import dataclasses

# A report is used for this long, several times the period of the reports.
EXPIRY_S = 2.0
# Time over which the work that is asked for is averaged.
DEMAND_WINDOW_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Requests:
    """Holds the numbers of requests at one server.

    Parameters
    ----------
    running : int
        All requests.
    postponed : int
        Those of them that wait there behind all others.
    """

    running: int = 0
    postponed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Holds what one or several entries send to the servers.

    Parameters
    ----------
    requests : mapping
        Requests at the servers, by server id.
    demand : mapping
        Work that callers ask for, in busy servers, by service and model.
    """

    requests: abc.Mapping[str, Requests] = dataclasses.field(
        default_factory=dict
    )
    demand: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class DemandMeter:
    """Measures the work that callers ask this entry for, by model.

    Parameters
    ----------
    rates : dict
        Busy servers that the work would take, by service and model.
    updated_s : float
        Time to which the rates have been averaged.
    """

    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    updated_s: float = 0.0


@dataclasses.dataclass(slots=True)
class FleetLoad:
    """Holds the newest reports of other entries, by the name of the sender.

    Parameters
    ----------
    reports : dict
        Reports with the time at which they arrived.
    meter : DemandMeter
        The work that callers ask this entry for.
    demand : mapping
        The work that callers ask the other entries for, in busy servers, by
        service and model; empty if it is not known.
    """

    reports: dict[str, tuple[LoadReport, float]] = dataclasses.field(
        default_factory=dict
    )
    meter: DemandMeter = dataclasses.field(default_factory=DemandMeter)
    demand: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)


def note_report(
    fleet: FleetLoad, sender: str, report: LoadReport, now_s: float
) -> None:
    """Record a report; forget those that have expired."""
    fleet.reports = {
        name: (known, at_s)
        for name, (known, at_s) in fleet.reports.items()
        if now_s - at_s < EXPIRY_S
    }
    fleet.reports[sender] = (report, now_s)


def sum_reports(
    fleet: FleetLoad,
    now_s: float,
    own: LoadReport | None = None,
    excluded: abc.Container[str] = (),
) -> LoadReport:
    """Return the sum of the reports that hold now.

    Parameters
    ----------
    own : LoadReport, optional
        A further report to add.
    excluded : container of str
        Senders whose reports are left out.
    """
    requests: dict[str, Requests] = {}
    demand: dict[str, float] = {}
    found = [
        report
        for name, (report, at_s) in fleet.reports.items()
        if name not in excluded and now_s - at_s < EXPIRY_S
    ]
    for report in [*found, own] if own is not None else found:
        for server, count in report.requests.items():
            known = requests.get(server, Requests())
            requests[server] = Requests(
                known.running + count.running,
                known.postponed + count.postponed,
            )
        for name, work in report.demand.items():
            demand[name] = demand.get(name, 0.0) + work
    return LoadReport(requests, demand)


def _decay(meter: DemandMeter, now_s: float) -> None:
    left = max(0.0, 1.0 - (now_s - meter.updated_s) / DEMAND_WINDOW_S)
    meter.updated_s = now_s
    for name in meter.rates:
        meter.rates[name] *= left


def note_asked(
    meter: DemandMeter, name: str, busy_s: float, now_s: float
) -> None:
    """Record a request that would keep a server busy for ``busy_s``."""
    _decay(meter, now_s)
    rate = meter.rates.get(name, 0.0)
    meter.rates[name] = rate + busy_s / DEMAND_WINDOW_S


def read_demand(meter: DemandMeter, now_s: float) -> dict[str, float]:
    """Return the work that is asked for now, by service and model."""
    _decay(meter, now_s)
    return dict(meter.rates)
