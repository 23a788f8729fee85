"""Fixtures that run an entry of a hosted platform against stand-ins."""

import copy
import random

import pytest
import trio

from tests.hosted import fleet as fleets


@pytest.fixture
def run_hosted(tmp_path):
    """Return a function that runs a scenario with a fleet that serves."""

    def run(scenario, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                fleet = fleets.HostedFleet(nursery, tmp_path, **options)
                await fleet.start()
                await scenario(fleet)
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


@pytest.fixture
def change_config(monkeypatch):
    """Return a function that changes the configuration of the fleet."""
    config = copy.deepcopy(fleets.CONFIG)
    stock = next(r for r in config["routes"] if r["name"] == "stock")
    feeds = {
        **stock,
        "name": "feeds",
        "path_prefix": "/feeds/",
        "kind": "streaming",
        "resumable": True,
        "gap_aim_ms": 300,
    }
    config["routes"].append(feeds)
    monkeypatch.setattr(fleets, "CONFIG", config)

    def change(**values):
        stock.update(values)
        feeds.update(values)
        return config

    return change


@pytest.fixture(params=[0.0, 0.9], ids=["reversed", "in order"])
def task_order(request, monkeypatch):
    """Fix the order in which trio runs the tasks of a batch."""

    class Order(random.Random):
        def random(self):
            return request.param

    monkeypatch.setattr(trio._core._run, "_r", Order())
