"""Tests of the weights that spare VMs hold."""

import collections

import pytest

from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.groups import spares
from tests.decisions import engine_simulation

MODELS = engine_simulation.ENGINE.models
BARE = frozenset()
BIG, SMALL = frozenset({"big"}), frozenset({"small"})


def name_vms(*held):
    return {f"i-{n}": weights for n, weights in enumerate(held)}


def choose(grouped, *held, lacking=frozenset()):
    return spares.choose_stages(MODELS, grouped, name_vms(*held), lacking)


class TestLosses:
    def test_bare_spares_hold_the_weights_of_the_groups_beside_them(self):
        stages = choose({"big": 8}, BARE, BARE, lacking={"small"})
        assert stages == {"i-0": "big", "i-1": "big"}

    def test_spares_are_divided_by_the_vms_that_may_be_lost(self):
        stages = choose({"big": 8, "small": 4}, BARE, BARE, BARE)
        assert collections.Counter(stages.values()) == {"big": 2, "small": 1}

    def test_spare_with_weights_of_no_group_here_loads_others(self):
        assert choose({"big": 8}, SMALL) == {"i-0": "big"}

    @pytest.mark.parametrize("held", [BIG, SMALL])
    def test_spare_with_weights_of_a_group_here_keeps_them(self, held):
        assert choose({"big": 8, "small": 4}, held) == {}

    def test_rest_of_a_lost_group_is_completed_first(self):
        held = [BIG] * 3 + [SMALL, BARE]
        stages = choose({"small": 4}, *held)
        assert stages == {"i-4": "big"}

    def test_rest_of_a_lost_group_waits_for_more_vms(self):
        assert choose({"small": 4}, BIG, BIG, BIG) == {}

    def test_small_rest_of_a_lost_group_is_not_completed(self):
        assert choose({"small": 4}, BIG, SMALL, BARE, BARE)["i-2"] == "small"

    def test_model_that_is_no_longer_configured_is_ignored(self):
        stages = choose({"former": 8}, BARE, lacking={"small"})
        assert stages == {"i-0": "small"}


class TestNewGroups:
    def test_model_staged_on_part_of_a_group_is_chosen_first(self):
        stages = choose({}, BIG, BARE, BARE, BARE, lacking={"small"})
        assert set(stages.values()) == {"big"}

    def test_model_with_too_few_groups_is_chosen_next(self):
        assert choose({}, BARE, lacking={"small"}) == {"i-0": "small"}

    def test_staged_vm_keeps_its_weights(self):
        assert choose({}, BIG, lacking={"small"}) == {}


class TestReplacement:
    def test_group_with_a_lost_member_is_whole_again_without_a_load(self):
        """Play a domain of one group and one spare that loses a member."""
        simulation = make_simulation()
        simulation.add(4, "big")
        simulation.add(1)
        lose_member(simulation)

    def test_spares_beside_the_first_group_replace_its_lost_member(self):
        """Play a bare domain of one group and three spares."""
        simulation = make_simulation()
        simulation.add(7)
        lose_member(simulation, lacking=frozenset({"small"}))


def make_simulation():
    return engine_simulation.EngineSimulation(
        engine_simulation.random.Random(1)
    )


def lose_member(simulation, lacking=frozenset()):
    """Form a group that then loses a member, and check that another opens."""
    memory = domain_view.PlannerMemory()

    def run_until(seconds, wanted):
        end_s = simulation.now_s + seconds
        while simulation.now_s < end_s:
            simulation.step(0.25)
            simulation.probe()
            simulation.run_owner(1, memory, wanted, lacking)

    simulation.probe()
    simulation.run_owner(1, memory, ["big"], lacking)
    run_until(20.0, [])
    (first,) = simulation.open_groups()
    members = [vm for vm in simulation.vms.values() if vm.member]
    simulation.kill(next(vm.vm_id for vm in members if vm.member.rank == 1))
    # Long enough to notice the loss, for some rounds and to join, but not for
    # a load.
    notice_s = (
        domain_view.HEARTBEATS_BEFORE_LOST * engine_simulation.HEARTBEAT_S
    )
    run_until(notice_s + 0.9 + engine_simulation.BIG.warm_s, ["big"])
    (second,) = simulation.open_groups()
    assert second != first
