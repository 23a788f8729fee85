"""Tests of the allocation of free VMs to models."""

import collections

import pytest

from sycamorespool.decisions.groups import model_allocation
from sycamorespool import routing_table
from tests.decisions import engine_simulation

MODELS = engine_simulation.ENGINE.models
BARE = frozenset()


def make_domains(count=6, vms=8, staged=BARE):
    return {
        f"d{n}": model_allocation.DomainCapacity(
            f"dc{n % 3}", free=[staged] * vms
        )
        for n in range(count)
    }


def count(wanted):
    return collections.Counter(m for names in wanted.values() for m in names)


class TestFindTargets:
    @pytest.mark.parametrize("vms", [0, 1, 2, 7, 48, 400])
    def test_targets_leave_fewer_vms_than_the_smallest_group(self, vms):
        targets = model_allocation.find_targets(MODELS, vms)
        used = sum(m.size * targets[m.name] for m in MODELS)
        assert vms - min(m.size for m in MODELS) < used <= vms

    def test_each_model_gets_one_group_before_any_gets_two(self):
        targets = model_allocation.find_targets(MODELS, 6)
        assert targets == {"big": 1, "small": 1}


class TestAllot:
    def test_at_most_one_domain_gets_two_models(self):
        wanted = model_allocation.allocate_groups(MODELS, make_domains())
        mixed = [n for n, names in wanted.items() if len(set(names)) > 1]
        assert len(mixed) <= 1

    def test_each_model_gets_groups_in_several_data_centres(self):
        domains = make_domains()
        wanted = model_allocation.allocate_groups(MODELS, domains)
        for model in MODELS:
            centres = {
                domains[name].data_centre
                for name, names in wanted.items()
                if model.name in names
            }
            assert len(centres) > 1

    def test_result_does_not_depend_on_the_order_of_domains(self):
        first = model_allocation.allocate_groups(MODELS, make_domains())
        second = model_allocation.allocate_groups(
            MODELS, dict(reversed(make_domains().items()))
        )
        assert first == second

    def test_staged_vms_form_groups_without_loads(self):
        domains = make_domains(2, 0)
        domains["d0"].free = [frozenset({"small"})] * 7
        domains["d1"].grouped["big"] = 3
        wanted = model_allocation.allocate_groups(MODELS, domains)
        assert wanted["d0"].count("small") == 3

    def test_model_without_groups_gets_vms_staged_for_another(self):
        domains = make_domains(1, 0)
        domains["d0"].free = [frozenset({"small"})] * 4
        domains["d0"].grouped["small"] = 6
        assert model_allocation.allocate_groups(MODELS, domains)["d0"] == [
            "big"
        ]

    def test_too_few_vms_form_nothing(self):
        wanted = model_allocation.allocate_groups(MODELS, make_domains(3, 1))
        assert count(wanted) == {}

    def test_models_share_domains_whose_size_fits_neither(self):
        # Two groups of the larger model leave a remainder in which no other
        # group fits, so the models have to take turns.
        large = routing_table.Model("large", 12, 1.0, 0.5, 16.0, 1.6)
        small = routing_table.Model("small", 6, 1.0, 0.5, 12.0, 1.1)
        wanted = model_allocation.allocate_groups(
            (large, small), make_domains(vms=27)
        )
        assert count(wanted) == {"large": 6, "small": 12}
