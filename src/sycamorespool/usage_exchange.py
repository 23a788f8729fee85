"""The exchange of usage, by which shares hold over the whole fleet.

Each entry tells the others what it uses and wants of each service.  From
that it corrects the weights of its queues, and while the fleet is short of
places it asks for its claim instead of what it could use.
"""

import dataclasses
import typing as t

import trio

from sycamorespool.decisions import shares
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions

REPORT_BYTES = 200
BUDGET_BYTES_PER_S = 4000.0
CALL_TIMEOUT_S = 0.5
PERIODS_KEPT = 3
MAX_CALLS = 16
GROWTH_ROUNDS = 5


@dataclasses.dataclass(slots=True)
class UsageExchange:
    """What the other entries told, with the time of its receipt.

    Parameters
    ----------
    rounds : int
        Corrections made; each entry counts from its own start.
    """

    env: environment.Environment
    told: dict[str, tuple[messages.UsageTold, float]] = dataclasses.field(
        default_factory=dict
    )
    rounds: int = 0

    @property
    def period_s(self) -> float:
        """Time between two reports of this entry."""
        return shares.report_period_s(
            len(self.env.entries()), REPORT_BYTES, BUDGET_BYTES_PER_S
        )

    def list_others(self, now_s: float) -> list[messages.UsageTold]:
        """Return what the other entries told lately."""
        kept_s = PERIODS_KEPT * self.period_s
        return [
            usage
            for usage, received_s in self.told.values()
            if now_s - received_s <= kept_s
        ]


def make_report(env: environment.Environment) -> messages.UsageTold:
    """Return the usage of this entry."""
    services = env.fleet.config.services
    demands = {name: env.admission.count_demands(name) for name in services}
    return messages.UsageTold(
        env.name,
        {name: row for name, row in demands.items() if row},
        {name: float(env.held.count_places(name)) for name in services},
    )


def _get_usage(report: messages.UsageTold, service: str) -> shares.Usage:
    return shares.Usage(
        report.demands.get(service, {}), report.places.get(service, 0.0)
    )


def correct(exchange: UsageExchange, now_s: float) -> None:
    """Set the weights and claims of this entry by what all told."""
    env = exchange.env
    own = make_report(env)
    exchange.rounds += 1
    is_warming = bool(env.held.list_cold())
    others = exchange.list_others(now_s)
    weights = {
        name: workspace.weight
        for name, workspace in env.fleet.config.workspaces.items()
    }
    for service in env.fleet.config.services:
        usages = [_get_usage(report, service) for report in others]
        mine = _get_usage(own, service)
        local, claim = shares.compute_local_weights(mine, usages, weights)
        env.admission.local[service] = local
        wanted = sum(sum(u.demands.values()) for u in (mine, *usages))
        places = sum(u.places for u in (mine, *usages))
        if others and wanted > places > 0:
            is_growing = exchange.rounds % GROWTH_ROUNDS == 0
            asked = shares.count_places_to_ask(claim, is_growing or is_warming)
            env.held.claims[service] = asked
        else:
            env.held.claims.pop(service, None)


async def _tell(
    exchange: UsageExchange,
    address: str,
    report: messages.UsageTold,
    limiter: trio.CapacityLimiter,
) -> None:
    async with limiter:
        try:
            await exchange.env.transport.call(address, report, CALL_TIMEOUT_S)
        except exceptions.PeerError:
            return


async def run(exchange: UsageExchange) -> None:
    """Tell the other entries of this one's usage each period, for ever."""
    env = exchange.env
    limiter = trio.CapacityLimiter(MAX_CALLS)
    while True:
        report = make_report(env)
        async with trio.open_nursery() as nursery:
            for name, vm in env.entries().items():
                if name != env.name:
                    nursery.start_soon(
                        _tell, exchange, vm.address, report, limiter
                    )
        correct(exchange, trio.current_time())
        await trio.sleep(exchange.period_s)


def make_handlers(exchange: UsageExchange) -> dict[type, t.Any]:
    """Return the handler of what other entries tell."""

    async def take(message: messages.UsageTold) -> messages.Message:
        exchange.told[message.entry] = (message, trio.current_time())
        return messages.Done()

    return {messages.UsageTold: take}
