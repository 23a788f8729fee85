"""Tests of the division of VMs among models by what callers ask for."""

import pytest

from sycamorespool.decisions.groups import model_allocation
from sycamorespool.decisions.groups import model_demand
from sycamorespool import routing_table

BIG = routing_table.Model("big", 8, 1.0, 0.5, 16.0, 1.6)
SMALL = routing_table.Model("small", 4, 0.6, 0.5, 12.0, 1.1)
MODELS = (BIG, SMALL)
VMS = 171


def find_targets(demand):
    models = model_demand.follow_demand(MODELS, demand)
    return model_allocation.find_targets(models, VMS)


class TestDemand:
    @pytest.mark.parametrize(
        "demand",
        [
            {"big": 3.0, "small": 12.0},
            {"big": 4.0, "small": 9.0},
            {"big": 5.0, "small": 8.0},
        ],
    )
    def test_models_become_equally_busy(self, demand):
        # Each has a group more than it needs; one of the larger groups is
        # the least that can be moved between them.
        targets = find_targets(demand)
        spare = model_allocation.TOLERATED_LOSSES
        small = demand["small"] / (targets["small"] - spare)
        assert demand["big"] / targets["big"] <= small
        assert small <= demand["big"] / (targets["big"] - spare - 1)
        configured = model_allocation.find_targets(MODELS, VMS)
        before = max(demand[name] / configured[name] for name in demand)
        assert max(demand[name] / targets[name] for name in demand) <= before

    def test_configured_shares_hold_without_demand(self):
        assert model_demand.follow_demand(MODELS, {}) == MODELS
        little = {"big": 0.5, "small": 0.1}
        assert model_demand.follow_demand(MODELS, little) == MODELS

    def test_model_without_demand_keeps_a_part(self):
        # Its callers may come back before a group could be formed.
        assert find_targets({"small": 20.0})["big"] >= 2

    def test_measurements_of_two_owners_give_the_same_allocation(self):
        one = model_demand.follow_demand(MODELS, {"big": 3.0, "small": 12.0})
        two = model_demand.follow_demand(MODELS, {"big": 3.1, "small": 11.9})
        assert one == two
