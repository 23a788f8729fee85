"""Tests that groups whose members all live are not ended at once.

``leave`` takes effect at once and cuts the streams of a group; ``close``
lets them end.
"""

import dataclasses

import pytest

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_planner
from sycamorespool.decisions.groups import domain_view
from tests.decisions import engine_simulation
from tests.decisions import test_domain_planner

LEAVE = backends.OrderKind.LEAVE


def make_group():
    """Return engines with an open group, and the view of its owner."""
    simulation = test_domain_planner.make_simulation()
    memory = domain_view.PlannerMemory()
    group = test_domain_planner.form_big(simulation, memory)
    simulation.probe()
    view = simulation.view(1)
    assert not plan(view, memory)
    return view, memory, group


def plan(view, memory):
    """Return the orders of one plan."""
    made = domain_planner.plan(view, memory, lambda free: [])
    return [o for o in made.orders if o.kind is not backends.OrderKind.STAGE]


def change_models(view, *models):
    engine = dataclasses.replace(view.engine, models=models)
    return dataclasses.replace(view, engine=engine)


@pytest.mark.parametrize("is_new_owner", [False, True])
class TestConfiguration:
    def test_group_of_a_dropped_model_may_finish_its_requests(
        self, is_new_owner
    ):
        view, memory, _ = make_group()
        if is_new_owner:
            memory = domain_view.PlannerMemory()
        view = change_models(view, engine_simulation.SMALL)
        orders = plan(view, memory)
        assert LEAVE not in {order.kind for order in orders}, orders

    def test_group_of_another_size_may_finish_its_requests(self, is_new_owner):
        view, memory, _ = make_group()
        if is_new_owner:
            memory = domain_view.PlannerMemory()
        smaller = dataclasses.replace(engine_simulation.BIG, size=3)
        view = change_models(view, smaller, engine_simulation.SMALL)
        orders = plan(view, memory)
        assert LEAVE not in {order.kind for order in orders}, orders


class TestRegistry:
    def test_group_is_not_ended_when_a_new_owner_misses_a_member(self):
        """The entry of a member that lives may be missing for seconds."""
        view, _, _ = make_group()
        missing = next(
            vm_id for vm_id, vm in view.vms.items() if vm.membership.rank == 2
        )
        vms = {i: vm for i, vm in view.vms.items() if i != missing}
        view = dataclasses.replace(view, vms=vms)
        orders = plan(view, domain_view.PlannerMemory())
        assert LEAVE not in {order.kind for order in orders}, orders

    def test_group_that_stays_without_a_member_is_ended(self):
        view, _, _ = make_group()
        vms = {
            vm_id: vm
            for vm_id, vm in view.vms.items()
            if vm.membership.rank != 2
        }
        view, memory = (
            dataclasses.replace(view, vms=vms),
            domain_view.PlannerMemory(),
        )
        assert not plan(view, memory)
        later_s = view.now_s + domain_view.UNLISTED_BEFORE_LOST_S
        view = dataclasses.replace(view, now_s=later_s)
        assert LEAVE in {order.kind for order in plan(view, memory)}

    def test_group_is_not_ended_when_a_member_left_the_registry(self):
        view, memory, _ = make_group()
        vms = {
            vm_id: dataclasses.replace(vm, is_listed=False, is_staying=True)
            if vm.membership.rank == 2
            else vm
            for vm_id, vm in view.vms.items()
        }
        view = dataclasses.replace(view, vms=vms)
        assert not plan(view, memory)

    def test_unlisted_member_with_two_missed_reports_is_not_known_as_lost(
        self,
    ):
        """Two reports are missed within a second of silence."""
        view, memory, _ = make_group()
        vms = {
            vm_id: dataclasses.replace(
                vm,
                is_listed=False,
                is_staying=True,
                misses=2,
                missing_since_s=view.now_s - 0.9,
                is_accepting=True,
            )
            if vm.membership.rank == 2
            else vm
            for vm_id, vm in view.vms.items()
        }
        view = dataclasses.replace(view, vms=vms)
        orders = plan(view, memory)
        assert LEAVE not in {order.kind for order in orders}, orders


# TWO: a join that was repeated brought back the head of a group that had been
# opened and ended, while its members were told to join another one.
def test_group_that_was_opened_is_never_formed_again():
    simulation = test_domain_planner.make_simulation()
    memory = domain_view.PlannerMemory()
    wanted = ["big"]
    while not simulation.open_groups():
        simulation.probe()
        simulation.run_owner(1, memory, wanted)
        wanted = []
        simulation.step(0.5)
    (group,) = simulation.open_groups()
    assert group in memory.formations
    simulation.restart(test_domain_planner.find_member(simulation, group, 1))
    joined = []
    for _ in range(40):
        simulation.probe()
        made = simulation.run_owner(1, memory, [])
        joined += [
            order
            for order in made.orders
            if order.kind is backends.OrderKind.JOIN and order.group == group
        ]
        simulation.step(0.1)
    assert not simulation.open_groups()
    assert not joined
