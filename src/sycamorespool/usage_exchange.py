"""Exchange usage reports, so that shares hold over the whole fleet.

Each entry reports to the others how many places of each service it uses
and wants.  From the reports each entry sets the weights of its own queues.
While the fleet is short of places, it asks for its claim, which is its
share of the places, instead of what it could use.
"""

import dataclasses
import typing as t

import trio

from sycamorespool.decisions import shares
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions

# Assumed size of a report, and the limit on their traffic at one entry.
REPORT_SIZE_BYTES = 200
MAX_BYTES_PER_S = 4000.0
CALL_TIMEOUT_S = 0.5
REPORT_MAX_AGE_PERIODS = 3
MAX_CALLS = 16
# One in this many corrections asks for more places than the claim.
CORRECTIONS_PER_GROWTH = 5


@dataclasses.dataclass(slots=True)
class UsageExchange:
    """Hold the usage reports of the other entries.

    Parameters
    ----------
    env : environment.Environment
        The environment of this process.
    received : dict
        Newest report of each entry and the time of its receipt.
    corrections : int
        How often this entry has set its weights and claims since its start.
    """

    env: environment.Environment
    received: dict[str, tuple[messages.UsageReport, float]] = (
        dataclasses.field(default_factory=dict)
    )
    corrections: int = 0

    @property
    def period_s(self) -> float:
        """Return the time between two reports of this entry, in s."""
        return shares.report_period_s(
            len(self.env.entries()), REPORT_SIZE_BYTES, MAX_BYTES_PER_S
        )

    def list_recent_reports(self, now_s: float) -> list[messages.UsageReport]:
        """Return the recent reports of the other entries."""
        max_age_s = REPORT_MAX_AGE_PERIODS * self.period_s
        return [
            usage
            for usage, received_s in self.received.values()
            if now_s - received_s <= max_age_s
        ]


def make_report(env: environment.Environment) -> messages.UsageReport:
    """Return the usage report of this entry."""
    services = env.fleet.config.services
    demands = {name: env.admission.count_demands(name) for name in services}
    return messages.UsageReport(
        env.name,
        {name: row for name, row in demands.items() if row},
        {name: float(env.held.count_places(name)) for name in services},
    )


def _get_usage(report: messages.UsageReport, service: str) -> shares.Usage:
    return shares.Usage(
        report.demands.get(service, {}), report.places.get(service, 0.0)
    )


def update_weights_and_claims(exchange: UsageExchange, now_s: float) -> None:
    """Set this entry's weights and claims from the reports of all entries."""
    env = exchange.env
    own = make_report(env)
    exchange.corrections += 1
    is_warming = bool(env.held.list_cold())
    others = exchange.list_recent_reports(now_s)
    weights = {
        name: workspace.weight
        for name, workspace in env.fleet.config.workspaces.items()
    }
    for service in env.fleet.config.services:
        usages = [_get_usage(report, service) for report in others]
        mine = _get_usage(own, service)
        local_weights, claim = shares.compute_local_weights(
            mine, usages, weights
        )
        env.admission.local_weights[service] = local_weights
        wanted = sum(sum(u.demands.values()) for u in (mine, *usages))
        places = sum(u.places for u in (mine, *usages))
        if others and wanted > places > 0:
            is_growing = exchange.corrections % CORRECTIONS_PER_GROWTH == 0
            places_to_ask = shares.count_places_to_ask(
                claim, is_growing or is_warming
            )
            env.held.claims[service] = places_to_ask
        else:
            env.held.claims.pop(service, None)


async def _send_report(
    exchange: UsageExchange,
    address: str,
    report: messages.UsageReport,
    limiter: trio.CapacityLimiter,
) -> None:
    async with limiter:
        try:
            await exchange.env.transport.call(address, report, CALL_TIMEOUT_S)
        except exceptions.PeerError:
            return


async def run(exchange: UsageExchange) -> None:
    """Report this entry's usage to the others each period, for ever."""
    env = exchange.env
    limiter = trio.CapacityLimiter(MAX_CALLS)
    while True:
        report = make_report(env)
        async with trio.open_nursery() as nursery:
            for name, vm in env.entries().items():
                if name != env.name:
                    nursery.start_soon(
                        _send_report, exchange, vm.address, report, limiter
                    )
        update_weights_and_claims(exchange, trio.current_time())
        await trio.sleep(exchange.period_s)


def make_handlers(exchange: UsageExchange) -> dict[type, t.Any]:
    """Return the handler of usage reports of other entries."""

    async def store_report(message: messages.UsageReport) -> messages.Message:
        exchange.received[message.entry] = (message, trio.current_time())
        return messages.Done()

    return {messages.UsageReport: store_report}
