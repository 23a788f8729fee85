"""Tests the group planner with random faults, and its single mechanisms.

The planner runs against a small model of VMs.  After each step the
invariants are checked against the true state of the VMs, not against what
the owner knows of them.
"""

import os
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from benchmarks import vm_model
from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import group_planner
from sycamorespool.decisions.groups import plan_draft
from sycamorespool.decisions.groups import repairs
from sycamorespool.decisions.groups import vm_health
from sycamorespool import models

EXAMPLES = 400 if os.environ.get("SOAK") else 40
STEP_S = 0.5
SERVICE = {"group_size": 2, "replicas": 4, "model": "m"}


def make_fleet(
    vms=9, domains=1, policy=group_planner.DEFAULT_POLICY, **service
):
    listed = vm_model.make_vms(("a", "b"), domains, vms, ("p",))
    services = {
        "s": {**SERVICE, **service},
        "p": {"kind": "plain", "replicas": 2},
    }
    return vm_model.Fleet(listed, services, 4.0, 8.0, policy)


class Simulation:
    """Runs the model of a fleet step by step and keeps the time."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.now_s = 0.0

    def run(self, seconds, step_s=STEP_S):
        actions = 0
        for _ in range(int(seconds / step_s)):
            for domain in self.fleet.domains:
                actions += self.fleet.step(domain, self.now_s)
            check_invariants(self.fleet, self.now_s)
            self.serving()
            self.fleet.advance(step_s)
            self.now_s += step_s
        return actions

    def settle(self):
        """Run until long after the planner's longest timer."""
        self.run(vm_health.QUARANTINE_MAX_S + 120, 10.0)

    def serving(self, service="", data_centre=""):
        return {
            g.group_id
            for g in self.fleet.list_serving(self.now_s)
            if g.service.startswith(service)
            and g.unit.startswith(f"domain/{data_centre}")
        }


def check_invariants(fleet, now_s):
    members = [v for g in fleet.state.groups.values() for v in g.members]
    assert len(members) == len(set(members))
    joined = [v for v in fleet.vms.values() if v.group_id]
    places = {(v.group_id, v.epoch, v.rank) for v in joined}
    assert len(places) == len(joined)
    for domain in fleet.domains:
        view = fleet.view(domain, now_s)
        for group in view.list_groups():
            if domain_state.is_whole(view, group):
                detected = [
                    fleet.vms[vm].is_up
                    or now_s - fleet.vms[vm].down_since_s
                    <= domain_state.REPORT_MAX_AGE_S
                    for vm in group.members
                ]
                assert all(detected)


def fail(simulation, vm):
    simulation.fleet.vms[vm].stop(simulation.now_s)


def freeze(simulation, vm):
    simulation.fleet.vms[vm].stop(simulation.now_s, keeps_memory=True)


def restore(simulation, vm):
    simulation.fleet.vms[vm].is_up = True


def restart(simulation, vm):
    model = simulation.fleet.vms[vm]
    model.incarnation += 1
    model.clear()
    model.epoch = -1


def set_state(simulation, vm, state):
    listed = simulation.fleet.vms[vm].vm
    simulation.fleet.vms[vm].vm = models.Vm(
        listed.vm, listed.role, "", listed.data_centre, listed.domain, state
    )


def leave(simulation, vm):
    set_state(simulation, vm, models.VmState.LEAVING)


def change_owner(simulation, vm):
    simulation.fleet.claim(simulation.fleet.vms[vm].vm.domain)


def drain(simulation, vm):
    place = {simulation.fleet.vms[vm].vm.data_centre: {"in_service": False}}
    simulation.fleet.patch({"data_centres": place})


def upgrade(simulation, vm):
    version = f"v{simulation.fleet.state.version}"
    simulation.fleet.patch({"services": {"s": {"version": version}}})


FAULTS = (fail, freeze, restart, leave, change_owner, drain, upgrade)


def restore_all(simulation):
    for vm in simulation.fleet.vms:
        restore(simulation, vm)
        set_state(simulation, vm, models.VmState.LIVE)
    simulation.fleet.patch({"data_centres": {"a": None, "b": None}})


def list_vms_of(fleet, domain):
    return [vm.vm.vm for vm in fleet.domains[domain]]


class TestRandomFaults:
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=EXAMPLES
    )
    @hypothesis.given(
        seed=st.integers(0, 2**32),
        count=st.integers(1, 12),
        fencing=st.sampled_from(("checked", "ignored")),
    )
    def test_random_faults_keep_invariants_and_fleet_recovers(
        self, seed, count, fencing
    ):
        rng = random.Random(seed)
        simulation = Simulation(make_fleet(fencing=fencing))
        names = sorted(simulation.fleet.vms)
        for _ in range(count):
            rng.choice(FAULTS)(simulation, rng.choice(names))
            simulation.run(rng.choice((0.5, 2.0, 10.0)))
            restore(simulation, rng.choice(names))
        restore_all(simulation)
        simulation.settle()
        assert len(simulation.serving()) == 6
        assert simulation.run(5.0) == 0


class TestSteadyState:
    def test_plan_is_empty_while_a_healthy_view_is_unchanged(self):
        simulation = Simulation(make_fleet())
        simulation.run(60)
        assert len(simulation.serving()) == 6
        assert simulation.run(60) == 0


def is_served(simulation, vms):
    """Tell whether all given VMs are members of one serving group."""
    state = simulation.fleet.state
    groups_of = {state.group_of_vm.get(vm) for vm in vms}
    return len(groups_of) == 1 and groups_of <= simulation.serving()


class TestRepair:
    def test_lost_member_is_replaced_by_spare_with_weights_of_its_rank(self):
        simulation = Simulation(make_fleet(vms=10, replicas=8))
        simulation.run(60)
        before = len(simulation.serving())
        simulation.fleet.load_s = 1e9
        fail(simulation, "a-0-3")
        simulation.run(4)
        assert len(simulation.serving()) == before

    @pytest.mark.parametrize(
        ("may_preload", "serving"), [(True, 5), (False, 4)]
    )
    def test_lost_member_is_replaced_without_a_load_only_after_preload(
        self, may_preload, serving
    ):
        policy = group_planner.Policy(may_preload=may_preload)
        fleet = make_fleet(vms=6, replicas=5, policy=policy)
        simulation = Simulation(fleet)
        simulation.run(60)
        members = {vm for g in fleet.state.groups.values() for vm in g.members}
        spare = (set(list_vms_of(fleet, "b-0")) - members) or (
            set(list_vms_of(fleet, "a-0")) - members
        )
        domain = sorted(spare)[0].rpartition("-")[0]
        fleet.load_s = 1e9
        group = next(
            g
            for g in fleet.state.groups.values()
            if g.unit == f"domain/{domain}"
        )
        fail(simulation, group.members[0])
        simulation.run(6)
        engines = simulation.serving("s")
        assert len(engines) == serving

    @pytest.mark.parametrize(("may_merge", "serving"), [(True, 3), (False, 2)])
    def test_two_incomplete_groups_become_one_only_if_merging_is_on(
        self, may_merge, serving
    ):
        policy = group_planner.Policy(may_merge=may_merge)
        simulation = Simulation(make_fleet(vms=8, replicas=8, policy=policy))
        simulation.run(60)
        own = [
            g
            for g in simulation.fleet.state.groups.values()
            if "a-0" in g.unit
        ]
        fail(simulation, own[0].members[0])
        fail(simulation, own[1].members[1])
        simulation.run(12)
        after = simulation.serving("s", "a")
        assert len(after) == serving

    def test_replica_of_incomplete_group_is_formed_in_another_domain(self):
        simulation = Simulation(make_fleet(vms=4, replicas=3))
        simulation.run(60)
        units = [g.unit for g in simulation.fleet.state.groups.values()]
        full = max(("a-0", "b-0"), key=lambda d: units.count(f"domain/{d}"))
        lost = list_vms_of(simulation.fleet, full)
        fail(simulation, lost[0])
        simulation.run(repairs.INCOMPLETE_LIMIT_S + 60)
        engines = simulation.serving("s")
        assert len(engines) == 3


class TestDomainOutage:
    @pytest.mark.parametrize(("may_wait", "kept"), [(True, 4), (False, 0)])
    def test_groups_survive_a_domain_outage_only_if_waiting_is_on(
        self, may_wait, kept
    ):
        policy = group_planner.Policy(may_await_recovery=may_wait)
        simulation = Simulation(make_fleet(vms=8, replicas=8, policy=policy))
        simulation.run(60)
        before = simulation.serving("s", "a")
        for vm in list_vms_of(simulation.fleet, "a-0"):
            freeze(simulation, vm)
        simulation.run(30)
        for vm in list_vms_of(simulation.fleet, "a-0"):
            restore(simulation, vm)
        simulation.run(1)
        assert len(simulation.serving() & before) == kept


class TestPlannedMoves:
    def test_upgrade_keeps_all_replicas_serving_if_vms_for_a_group_are_free(
        self,
    ):
        simulation = Simulation(make_fleet(vms=6, replicas=4))
        simulation.run(60)
        upgrade(simulation, "")
        fewest = 6
        for _ in range(400):
            simulation.run(STEP_S)
            fewest = min(fewest, len(simulation.serving()))
        versions = {
            vm.weights.split("#")[0] for vm in simulation.fleet.vms.values()
        }
        assert fewest == 6
        assert versions <= {"", f"m@v{simulation.fleet.state.version - 1}"}

    def test_upgrade_without_make_before_break_interrupts_replicas(self):
        policy = group_planner.Policy(is_make_before_break=False)
        simulation = Simulation(make_fleet(vms=6, replicas=4, policy=policy))
        simulation.run(60)
        upgrade(simulation, "")
        fewest = 6
        for _ in range(400):
            simulation.run(STEP_S)
            fewest = min(fewest, len(simulation.serving()))
        assert fewest < 6

    def test_groups_serve_at_once_when_a_drained_data_centre_returns(self):
        simulation = Simulation(make_fleet(vms=8, replicas=8))
        simulation.run(60)
        before = simulation.serving("s")
        kept = simulation.serving("s", "b")
        simulation.fleet.load_s = 1e9
        drain(simulation, "a-0-0")
        simulation.run(60)
        assert simulation.serving("s") == kept
        restore_all(simulation)
        simulation.run(1)
        assert simulation.serving("s") == before

    def test_substitute_groups_are_dissolved_when_data_centre_returns(self):
        simulation = Simulation(make_fleet(vms=10, replicas=8))
        simulation.run(60)
        before = simulation.serving("s")
        drain(simulation, "a-0-0")
        simulation.run(60)
        assert simulation.serving("s") - before
        restore_all(simulation)
        simulation.run(60)
        assert simulation.serving("s") == before
        assert len(simulation.fleet.state.groups) == 10

    def test_leaving_member_is_replaced_only_once_requests_have_ended(self):
        simulation = Simulation(make_fleet(vms=9, replicas=8))
        simulation.run(60)
        group = next(iter(simulation.fleet.state.groups.values()))
        leave(simulation, group.members[0])
        simulation.run(STEP_S)
        memory = simulation.fleet.memories[group.unit.removeprefix("domain/")]
        assert group.group_id in memory.drains
        assert simulation.fleet.state.groups[group.group_id] == group
        simulation.run(vm_model.STREAM_S + 8)
        assert group.group_id in simulation.serving()


class TestEnginesThatIgnoreFencing:
    @pytest.mark.parametrize(
        ("fencing", "is_waiting"), [("ignored", True), ("checked", False)]
    )
    def test_new_owner_waits_for_orders_in_transit_before_forming_groups(
        self, fencing, is_waiting
    ):
        fleet = make_fleet(fencing=fencing)
        memory = fleet.memories["a-0"]
        actions = group_planner.plan(fleet.view("a-0", 0.0), memory)
        formed = [a for a in actions if isinstance(a, plan_draft.Append)]
        assert (not formed) == is_waiting
        later_s = vm_health.ORDER_DELIVERY_MAX_S
        later = group_planner.plan(fleet.view("a-0", later_s), memory)
        assert bool(later) == is_waiting

    def test_group_is_not_whole_until_member_moved_by_old_order_rejoins(self):
        simulation = Simulation(make_fleet(fencing="ignored"))
        simulation.run(60)
        group = next(
            g
            for g in simulation.fleet.state.groups.values()
            if g.unit == "domain/a-0"
        )
        vm = simulation.fleet.vms[group.members[0]]
        vm.is_fenced = False
        vm.carry_out(models.LeaveOrder(0, group.group_id), 4.0)
        view = simulation.fleet.view("a-0", simulation.now_s)
        assert not domain_state.is_whole(view, group)
        simulation.run(2)
        assert group.group_id in simulation.serving()


class TestVmHealth:
    def test_flapping_vm_is_quarantined(self):
        simulation = Simulation(make_fleet(vms=9, replicas=8))
        simulation.run(60)
        for _ in range(vm_health.FLAPS_TOLERATED + 1):
            freeze(simulation, "a-0-0")
            simulation.run(4)
            restore(simulation, "a-0-0")
            simulation.run(2)
        view = simulation.fleet.view("a-0", simulation.now_s)
        memory = simulation.fleet.memories["a-0"]
        explained = group_planner.explain_vm(view, memory, "a-0-0")
        assert explained["condition"] == "quarantined"

    def test_new_owner_replaces_no_member_before_its_first_probe(self):
        simulation = Simulation(make_fleet())
        simulation.run(60)
        change_owner(simulation, "a-0-0")
        view = simulation.fleet.view("a-0", simulation.now_s)
        view.vms = {
            vm: domain_state.VmStatus(evidence.vm)
            for vm, evidence in view.vms.items()
        }
        memory = simulation.fleet.memories["a-0"]
        for view.now_s in (simulation.now_s, simulation.now_s + 60):
            assert group_planner.plan(view, memory) == ()
