"""Tests of the planner of group orders, on simulated engines."""

import dataclasses
import math
import random

import pytest

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_planner
from sycamorespool.decisions.groups import domain_view
from tests.decisions import engine_simulation

STEP_S = 0.1
SILENCE_S = 1.5
# Time from a loss to the order that ends its group, by the time from the
# last heartbeat to the loss.
END_S = {0.0: 1.6, 0.4: 1.2, 0.8: 0.8, 1.1: 0.5}
# Time from the first missed report to the end of a group with a hung VM.
HUNG_LIMIT_S = 2.5
ENDS = (backends.OrderKind.LEAVE, backends.OrderKind.CLOSE)


def make_simulation(
    count: int = 4, staged: str = "big", seed: int = 1
) -> engine_simulation.EngineSimulation:
    simulation = engine_simulation.EngineSimulation(random.Random(seed))
    simulation.add(count, staged)
    return simulation


def run(
    simulation: engine_simulation.EngineSimulation,
    memory: domain_view.PlannerMemory,
    steps: int,
    fence: int = 1,
    wanted: tuple[str, ...] = (),
    cut: frozenset[str] = frozenset(),
) -> None:
    for _ in range(steps):
        simulation.step(0.5)
        simulation.probe(cut)
        simulation.run_owner(fence, memory, list(wanted))
        wanted = ()


def form_big(
    simulation: engine_simulation.EngineSimulation,
    memory: domain_view.PlannerMemory,
) -> str:
    run(simulation, memory, 8, wanted=("big",))
    (group,) = simulation.open_groups()
    return group


def find_member(
    simulation: engine_simulation.EngineSimulation, group: str, rank: int
) -> str:
    return simulation.rosters[group, int(group.rpartition("@")[2])][rank]


def wait_for_end(
    simulation: engine_simulation.EngineSimulation,
    memory: domain_view.PlannerMemory,
    limit_s: float = 10.0,
) -> float:
    """Return after how long the owner orders a group to end."""
    began_s = simulation.now_s
    while simulation.now_s - began_s < limit_s:
        simulation.step(STEP_S)
        simulation.probe()
        made = simulation.run_owner(1, memory, [])
        if any(order.kind in ENDS for order in made.orders):
            return simulation.now_s - began_s
    return math.inf


def form_aged(
    rank: int, heartbeat_age_s: float = 0.4
) -> tuple[engine_simulation.EngineSimulation, domain_view.PlannerMemory, str]:
    """Return an open group, some time after a heartbeat, and a member."""
    simulation, memory = make_simulation(5), domain_view.PlannerMemory()
    group = form_big(simulation, memory)
    heartbeat_s = engine_simulation.HEARTBEAT_S
    beats = math.floor(simulation.now_s / heartbeat_s) + 1
    aged_s = beats * heartbeat_s + heartbeat_age_s + 0.01
    simulation.step(aged_s - simulation.now_s)
    simulation.probe()
    assert not simulation.run_owner(1, memory, []).orders
    return simulation, memory, find_member(simulation, group, rank)


class TestFormation:
    def test_group_opens_once_all_members_are_ready(self):
        simulation, memory = make_simulation(), domain_view.PlannerMemory()
        form_big(simulation, memory)

    def test_domain_is_not_settled_until_its_group_opens(self):
        simulation, memory = make_simulation(), domain_view.PlannerMemory()
        simulation.probe()
        simulation.run_owner(1, memory, ["big"])
        while not simulation.open_groups():
            simulation.step(0.15)
            simulation.probe()
            assert not simulation.run_owner(1, memory, []).is_settled

    def test_domain_is_not_settled_while_a_vm_may_be_lost(self):
        simulation, memory = make_simulation(), domain_view.PlannerMemory()
        form_big(simulation, memory)
        assert simulation.run_owner(1, memory, []).is_settled
        simulation.probe(cut=frozenset({"i-1"}))
        assert not simulation.run_owner(1, memory, []).is_settled

    def test_vms_with_staged_weights_are_preferred(self):
        simulation, memory = (
            make_simulation(4, ""),
            domain_view.PlannerMemory(),
        )
        simulation.add(4, "big")
        run(simulation, memory, 1, wanted=("big",))
        joined = {
            vm.vm_id for vm in simulation.vms.values() if vm.member is not None
        }
        assert joined == {"i-4", "i-5", "i-6", "i-7"}

    def test_spares_load_the_weights_of_the_groups_of_the_same_plan(self):
        simulation = make_simulation(7, "")
        simulation.probe()
        made = simulation.run_owner(
            1, domain_view.PlannerMemory(), ["big"], frozenset({"small"})
        )
        staged = [
            order.model
            for order in made.orders
            if order.kind is backends.OrderKind.STAGE
        ]
        assert staged == ["big"] * 3

    def test_too_few_vms_form_no_group(self):
        simulation, memory = make_simulation(3), domain_view.PlannerMemory()
        run(simulation, memory, 4, wanted=("big",))
        assert not simulation.open_groups()

    def test_join_order_without_answer_is_repeated(self):
        simulation, memory = make_simulation(), domain_view.PlannerMemory()
        simulation.loss_rate = 1.0
        run(simulation, memory, 1, wanted=("big",))
        simulation.loss_rate = 0.0
        simulation.delayed_orders.clear()
        run(simulation, memory, 12)
        assert len(simulation.open_groups()) == 1

    def test_order_noted_as_unanswered_is_repeated_at_once(self):
        simulation, memory = make_simulation(), domain_view.PlannerMemory()
        simulation.step(0.5)
        simulation.probe()
        view = simulation.view(1)
        first = domain_planner.plan(view, memory, lambda free: ["big"]).orders
        again = domain_planner.plan(view, memory, lambda free: []).orders
        assert len(first) == 4 and not again
        domain_view.note_unanswered(memory, first[0])
        (again,) = domain_planner.plan(view, memory, lambda free: []).orders
        assert again == first[0]

    def test_loads_over_the_limit_delay_the_group(self):
        simulation, memory = (
            make_simulation(4, ""),
            domain_view.PlannerMemory(),
        )
        simulation.step(0.5)
        simulation.probe()
        view = simulation.view(1)
        limited = domain_view.DomainView(
            view.fence,
            view.now_s,
            view.vms,
            view.engine,
            view.stall_s,
            view.heartbeat_s,
            load_limit=3,
        )
        made = domain_planner.plan(limited, memory, lambda free: ["big"])
        assert made.loads <= 3
        assert not any(
            order.kind is backends.OrderKind.JOIN for order in made.orders
        )


class TestLoss:
    def test_group_with_a_lost_member_is_replaced(self):
        simulation, memory = make_simulation(5), domain_view.PlannerMemory()
        group = form_big(simulation, memory)
        roster = simulation.rosters[group, int(group.rpartition("@")[2])]
        simulation.kill(roster[2])
        run(simulation, memory, 6)
        run(simulation, memory, 8, wanted=("big",))
        (again,) = simulation.open_groups()
        assert again != group

    def test_members_of_a_lost_head_join_after_its_stall_time(self):
        simulation, memory = make_simulation(5), domain_view.PlannerMemory()
        group = form_big(simulation, memory)
        head = simulation.rosters[group, int(group.rpartition("@")[2])][0]
        simulation.kill(head)
        cut_s = simulation.now_s
        while not any(
            vm.member and vm.member.group != group
            for vm in simulation.vms.values()
            if vm.is_alive
        ):
            run(simulation, memory, 1, wanted=("big",))
            assert simulation.now_s < cut_s + 20
        assert simulation.now_s - cut_s >= engine_simulation.STALL_S

    def test_group_stays_open_if_only_the_owner_cannot_reach_its_head(self):
        simulation, memory = make_simulation(5), domain_view.PlannerMemory()
        group = form_big(simulation, memory)
        head = simulation.rosters[group, int(group.rpartition("@")[2])][0]
        run(simulation, memory, 10, cut=frozenset({head}))
        assert simulation.open_groups() == [group]

    def test_draining_member_closes_the_group_before_the_head_leaves(self):
        simulation, memory = make_simulation(5), domain_view.PlannerMemory()
        group = form_big(simulation, memory)
        roster = simulation.rosters[group, int(group.rpartition("@")[2])]
        simulation.vms[roster[1]].is_draining = True
        simulation.probe()
        made = simulation.run_owner(1, memory, [])
        kinds = {(o.backend_id, o.kind) for o in made.orders}
        assert (roster[0], backends.OrderKind.CLOSE) in kinds
        assert (roster[0], backends.OrderKind.LEAVE) not in kinds

    @pytest.mark.parametrize(
        ("rank", "does_stay", "keeps_group"),
        [(1, True, True), (1, False, False), (0, True, False)],
    )
    def test_unlisted_member_keeps_its_group_unless_head_or_leaving(
        self, rank, does_stay, keeps_group
    ):
        simulation, memory = make_simulation(5), domain_view.PlannerMemory()
        group = form_big(simulation, memory)
        roster = simulation.rosters[group, int(group.rpartition("@")[2])]
        simulation.probe()
        view = simulation.view(1)
        lost = view.vms[roster[rank]]
        vms = {
            **view.vms,
            roster[rank]: dataclasses.replace(
                lost, is_listed=False, is_staying=does_stay
            ),
        }
        view = dataclasses.replace(view, vms=vms)
        made = domain_planner.plan(view, memory, lambda free: [])
        ends = {o.kind for o in made.orders}
        assert ends == (set() if keeps_group else {backends.OrderKind.CLOSE})
        assert bool(domain_view.find_whole_groups(view)) == keeps_group

    def test_restarted_member_ends_the_group(self):
        simulation, memory = make_simulation(5), domain_view.PlannerMemory()
        group = form_big(simulation, memory)
        roster = simulation.rosters[group, int(group.rpartition("@")[2])]
        simulation.restart(roster[3])
        run(simulation, memory, 4)
        assert not simulation.open_groups()


@pytest.mark.parametrize("rank", [0, 1])
class TestHungVm:
    def test_group_is_not_ended_at_a_vm_that_is_hung_and_goes_on(self, rank):
        for heartbeat_age_s in END_S:
            simulation, memory, vm_id = form_aged(rank, heartbeat_age_s)
            groups = simulation.open_groups()
            simulation.hang(vm_id, SILENCE_S)
            assert wait_for_end(simulation, memory, 8.0) == math.inf
            assert simulation.open_groups() == groups

    def test_group_of_a_vm_that_stays_hung_is_ended_at_the_limit(self, rank):
        for heartbeat_age_s in END_S:
            simulation, memory, vm_id = form_aged(rank, heartbeat_age_s)
            simulation.hang(vm_id, math.inf)
            end_s = wait_for_end(simulation, memory)
            assert HUNG_LIMIT_S <= end_s <= HUNG_LIMIT_S + 2 * STEP_S

    @pytest.mark.parametrize("heartbeat_age_s", END_S)
    def test_group_of_a_lost_vm_is_ended_as_early_as_without_hung_vms(
        self, rank, heartbeat_age_s
    ):
        simulation, memory, vm_id = form_aged(rank, heartbeat_age_s)
        simulation.kill(vm_id)
        end_s = wait_for_end(simulation, memory)
        assert end_s == pytest.approx(END_S[heartbeat_age_s])

    def test_group_of_a_vm_lost_while_hung_is_ended_at_once(self, rank):
        simulation, memory, vm_id = form_aged(rank)
        simulation.hang(vm_id, math.inf)
        assert wait_for_end(simulation, memory, 2.0) == math.inf
        simulation.kill(vm_id)
        assert wait_for_end(simulation, memory) <= 2 * STEP_S

    def test_hung_vm_gets_no_orders(self, rank):
        simulation, memory, vm_id = form_aged(rank)
        simulation.hang(vm_id, math.inf)
        assert wait_for_end(simulation, memory, 2.0) == math.inf
        (group,) = simulation.open_groups()
        simulation.vms[find_member(simulation, group, 2)].is_draining = True
        simulation.probe()
        made = simulation.run_owner(1, memory, [])
        assert vm_id not in {order.backend_id for order in made.orders}


class TestOwners:
    def test_orders_of_a_former_owner_are_fenced(self):
        simulation, memory = make_simulation(5), domain_view.PlannerMemory()
        form_big(simulation, memory)
        simulation.vms["i-4"].fence = 9
        simulation.outcomes.clear()
        simulation.probe()
        order = backends.Order("i-4", backends.OrderKind.STAGE, model="small")
        simulation.send(order, 1, simulation.vms["i-4"].orders)
        assert simulation.outcomes == ["fenced"]

    def test_new_owner_opens_a_group_that_the_former_one_formed(self):
        simulation = make_simulation()
        run(
            simulation,
            domain_view.PlannerMemory(),
            1,
            fence=1,
            wanted=("big",),
        )
        run(simulation, domain_view.PlannerMemory(), 8, fence=2)
        assert len(simulation.open_groups()) == 1


def _inject_fault(
    simulation: engine_simulation.EngineSimulation, cut: set[str]
) -> None:
    vm = simulation.random.choice(list(simulation.vms.values()))
    choice = simulation.random.random()
    if choice < 0.25:
        simulation.kill(vm.vm_id)
    elif choice < 0.5:
        simulation.restart(vm.vm_id)
    elif choice < 0.6:
        vm.is_draining = not vm.is_draining
    elif choice < 0.8:
        cut.symmetric_difference_update({vm.vm_id})
    elif choice < 0.95:
        simulation.hang(vm.vm_id, simulation.random.uniform(0.5, 6.0))


@pytest.mark.parametrize("seed", [*range(40), 343])
def test_invariants_hold_under_faults(seed):
    """The simulation asserts the invariants with each order executed."""
    simulation = make_simulation(10, "big", seed)
    simulation.loss_rate = 0.15
    memories = {1: domain_view.PlannerMemory()}
    cut: set[str] = set()
    newest = 1
    for number in range(200):
        simulation.step(0.5)
        if number % 7 == 0:
            _inject_fault(simulation, cut)
        if number % 50 == 49:
            newest += 1
            memories[newest] = domain_view.PlannerMemory()
        simulation.probe(frozenset(cut))
        # The former owner does not know yet that it was replaced.
        for fence in (newest - 1, newest):
            if fence in memories:
                wanted = simulation.random.choice([[], ["big"], ["small"]])
                simulation.run_owner(fence, memories[fence], wanted)


@pytest.mark.parametrize("seed", range(5))
def test_groups_form_again_once_faults_end(seed):
    simulation = make_simulation(10, "big", seed)
    memory = domain_view.PlannerMemory()
    cut: set[str] = set()
    for number in range(60):
        simulation.step(0.5)
        if number % 7 == 0:
            _inject_fault(simulation, cut)
        simulation.probe(frozenset(cut))
        simulation.run_owner(1, memory, ["big"])
    for vm in list(simulation.vms.values()):
        vm.is_draining = False
        if not vm.is_alive:
            simulation.restart(vm.vm_id)
    for _ in range(60):
        run(simulation, memory, 1, wanted=("big",))
    assert len(simulation.open_groups()) == 2
