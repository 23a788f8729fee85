"""Tests of the exchange of usage reports between entries."""

import pytest
import trio
import trio.testing

from sycamorespool import admission
from sycamorespool import configuration
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import models
from sycamorespool import settings
from sycamorespool import usage_exchange
from tests import key_fleet

WEIGHTS = {"a": 2.0, "b": 1.0}


def make_env(is_warm):
    env = environment.make_environment(
        settings.parse(key_fleet.SETTINGS_TEMPLATE.format(name="entry-1"))
    )
    env.fleet.config = configuration.Configuration(
        services={"s": configuration.Service()},
        workspaces={
            name: configuration.Workspace(weight=weight)
            for name, weight in WEIGHTS.items()
        },
    )
    grant = models.Grant("g", "s", 1, 10, 1e9, "x", "dc", warm=is_warm)
    env.held.store_answer(models.GrantAnswer("u", 1, (grant,)), 0.0)
    return env


def make_report(entry, demand):
    return messages.UsageReport(entry, {"s": {"b": demand}}, {"s": 10.0})


async def queue_requests(env, nursery, count):
    async def request():
        request_for_place = admission.PlaceRequest(
            "r", "a", "normal", "s", 1e6
        )
        async with env.admission.hold_place(env.held, request_for_place):
            await trio.sleep_forever()

    for _ in range(count):
        nursery.start_soon(request)
    await trio.testing.wait_all_tasks_blocked()


class TestUsageExchange:
    @pytest.mark.parametrize(
        ("others", "age_s", "claim", "is_warm"),
        [
            ({}, 0.0, None, True),
            ({"e2": 50.0, "e3": 50.0}, 0.0, 20, True),
            ({"e2": 50.0, "e3": 50.0}, 0.0, 22, False),
            ({"e2": 50.0, "e3": 50.0}, 60.0, None, True),
            ({"e2": 1.0, "e3": 1.0}, 0.0, 28, True),
            ({"e2": 0.0, "e3": 0.0}, 0.0, 30, True),
        ],
    )
    def test_claim_depends_on_recent_usage_of_the_fleet(
        self, others, age_s, claim, is_warm
    ):
        async def main():
            env = make_env(is_warm)
            exchange = usage_exchange.UsageExchange(env)
            (receive,) = usage_exchange.make_handlers(exchange).values()
            for name, demand in others.items():
                await receive(make_report(name, demand))
            async with trio.open_nursery() as nursery:
                await queue_requests(env, nursery, 40)
                now_s = trio.current_time() + age_s
                usage_exchange.update_weights_and_claims(exchange, now_s)
                assert env.held.claims.get("s") == claim
                nursery.cancel_scope.cancel()
            env.transport.close()

        clock = trio.testing.MockClock()
        trio.run(main, clock=clock)
