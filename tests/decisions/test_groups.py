"""Randomised tests of the group planner, and tests of single mechanisms.

The faults run over a small model of VMs; the invariants are checked after
each step against what is true, not against what the owner believes.
"""

import os
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from benchmarks import vm_model
from sycamorespool.decisions import group_plans
from sycamorespool.decisions import group_states
from sycamorespool.decisions import groups
from sycamorespool.decisions import repairs
from sycamorespool.decisions import vm_health
from sycamorespool import models

EXAMPLES = 400 if os.environ.get("SOAK") else 40
STEP_S = 0.5
SERVICE = {"group_size": 2, "replicas": 4, "model": "m"}


def make_fleet(vms=9, domains=1, policy=groups.DEFAULT_POLICY, **service):
    listed = vm_model.make_vms(("a", "b"), domains, vms, ("p",))
    services = {
        "s": {**SERVICE, **service},
        "p": {"kind": "plain", "replicas": 2},
    }
    return vm_model.Fleet(listed, services, 4.0, 8.0, policy)


class Clock:
    """Steps a fleet and keeps the time."""

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
        """Run until long after the last timer of the planner."""
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
            if group_states.is_whole(view, group):
                detected = [
                    fleet.vms[vm].is_up
                    or now_s - fleet.vms[vm].down_since_s
                    <= group_states.AFFIRMED_WITHIN_S
                    for vm in group.members
                ]
                assert all(detected)


def lose(clock, vm):
    clock.fleet.vms[vm].fall(clock.now_s)


def freeze(clock, vm):
    clock.fleet.vms[vm].fall(clock.now_s, keeps_memory=True)


def restore(clock, vm):
    clock.fleet.vms[vm].is_up = True


def cool(clock, vm):
    model = clock.fleet.vms[vm]
    model.incarnation += 1
    model.clear()
    model.epoch = -1


def set_state(clock, vm, state):
    listed = clock.fleet.vms[vm].vm
    clock.fleet.vms[vm].vm = models.Vm(
        listed.vm, listed.role, "", listed.data_centre, listed.domain, state
    )


def leave(clock, vm):
    set_state(clock, vm, models.VmState.LEAVING)


def take_over(clock, vm):
    clock.fleet.claim(clock.fleet.vms[vm].vm.domain)


def drain(clock, vm):
    place = {clock.fleet.vms[vm].vm.data_centre: {"in_service": False}}
    clock.fleet.patch({"data_centres": place})


def upgrade(clock, vm):
    version = f"v{clock.fleet.state.version}"
    clock.fleet.patch({"services": {"s": {"version": version}}})


FAULTS = (lose, freeze, cool, leave, take_over, drain, upgrade)


def heal(clock):
    for vm in clock.fleet.vms:
        restore(clock, vm)
        set_state(clock, vm, models.VmState.LIVE)
    clock.fleet.patch({"data_centres": {"a": None, "b": None}})


def list_domain(fleet, domain):
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
    def test_invariants_hold_and_the_fleet_converges(
        self, seed, count, fencing
    ):
        rng = random.Random(seed)
        clock = Clock(make_fleet(fencing=fencing))
        names = sorted(clock.fleet.vms)
        for _ in range(count):
            rng.choice(FAULTS)(clock, rng.choice(names))
            clock.run(rng.choice((0.5, 2.0, 10.0)))
            restore(clock, rng.choice(names))
        heal(clock)
        clock.settle()
        assert len(clock.serving()) == 6
        assert clock.run(5.0) == 0


class TestSteadyState:
    def test_plan_on_an_unchanged_healthy_view_is_empty(self):
        clock = Clock(make_fleet())
        clock.run(60)
        assert len(clock.serving()) == 6
        assert clock.run(60) == 0


def is_served(clock, vms):
    """Tell whether all named VMs serve in one group."""
    state = clock.fleet.state
    groups_of = {state.group_of_vm.get(vm) for vm in vms}
    return len(groups_of) == 1 and groups_of <= clock.serving()


class TestRepair:
    def test_lost_member_is_replaced_by_a_spare_of_its_rank(self):
        clock = Clock(make_fleet(vms=10, replicas=8))
        clock.run(60)
        before = len(clock.serving())
        clock.fleet.load_s = 1e9
        lose(clock, "a-0-3")
        clock.run(4)
        assert len(clock.serving()) == before

    @pytest.mark.parametrize(
        ("may_preload", "serving"), [(True, 5), (False, 4)]
    )
    def test_without_preloaded_spares_a_loss_waits_for_the_store(
        self, may_preload, serving
    ):
        policy = groups.Policy(may_preload=may_preload)
        fleet = make_fleet(vms=6, replicas=5, policy=policy)
        clock = Clock(fleet)
        clock.run(60)
        members = {vm for g in fleet.state.groups.values() for vm in g.members}
        spare = (set(list_domain(fleet, "b-0")) - members) or (
            set(list_domain(fleet, "a-0")) - members
        )
        domain = sorted(spare)[0].rpartition("-")[0]
        fleet.load_s = 1e9
        group = next(
            g
            for g in fleet.state.groups.values()
            if g.unit == f"domain/{domain}"
        )
        lose(clock, group.members[0])
        clock.run(6)
        engines = clock.serving("s")
        assert len(engines) == serving

    @pytest.mark.parametrize(("may_merge", "serving"), [(True, 3), (False, 2)])
    def test_broken_groups_are_merged(self, may_merge, serving):
        policy = groups.Policy(may_merge=may_merge)
        clock = Clock(make_fleet(vms=8, replicas=8, policy=policy))
        clock.run(60)
        own = [g for g in clock.fleet.state.groups.values() if "a-0" in g.unit]
        lose(clock, own[0].members[0])
        lose(clock, own[1].members[1])
        clock.run(12)
        after = clock.serving("s", "a")
        assert len(after) == serving

    def test_incomplete_group_gives_way_to_another_domain(self):
        clock = Clock(make_fleet(vms=4, replicas=3))
        clock.run(60)
        units = [g.unit for g in clock.fleet.state.groups.values()]
        full = max(("a-0", "b-0"), key=lambda d: units.count(f"domain/{d}"))
        lost = list_domain(clock.fleet, full)
        lose(clock, lost[0])
        clock.run(repairs.INCOMPLETE_LIMIT_S + 60)
        engines = clock.serving("s")
        assert len(engines) == 3


class TestDarkDomain:
    @pytest.mark.parametrize(("may_wait", "kept"), [(True, 4), (False, 0)])
    def test_dark_domain_is_one_event(self, may_wait, kept):
        policy = groups.Policy(may_wait_dark=may_wait)
        clock = Clock(make_fleet(vms=8, replicas=8, policy=policy))
        clock.run(60)
        before = clock.serving("s", "a")
        for vm in list_domain(clock.fleet, "a-0"):
            freeze(clock, vm)
        clock.run(30)
        for vm in list_domain(clock.fleet, "a-0"):
            restore(clock, vm)
        clock.run(1)
        assert len(clock.serving() & before) == kept


class TestPlannedMoves:
    def test_upgrade_keeps_all_replicas_where_a_set_is_free(self):
        clock = Clock(make_fleet(vms=6, replicas=4))
        clock.run(60)
        upgrade(clock, "")
        fewest = 6
        for _ in range(400):
            clock.run(STEP_S)
            fewest = min(fewest, len(clock.serving()))
        versions = {
            vm.weights.split("#")[0] for vm in clock.fleet.vms.values()
        }
        assert fewest == 6
        assert versions <= {"", f"m@v{clock.fleet.state.version - 1}"}

    def test_without_make_first_an_upgrade_costs_replicas(self):
        policy = groups.Policy(is_make_first=False)
        clock = Clock(make_fleet(vms=6, replicas=4, policy=policy))
        clock.run(60)
        upgrade(clock, "")
        fewest = 6
        for _ in range(400):
            clock.run(STEP_S)
            fewest = min(fewest, len(clock.serving()))
        assert fewest < 6

    def test_groups_of_a_drained_data_centre_serve_again_at_once(self):
        clock = Clock(make_fleet(vms=8, replicas=8))
        clock.run(60)
        before = clock.serving("s")
        kept = clock.serving("s", "b")
        clock.fleet.load_s = 1e9
        drain(clock, "a-0-0")
        clock.run(60)
        assert clock.serving("s") == kept
        heal(clock)
        clock.run(1)
        assert clock.serving("s") == before

    def test_stand_ins_end_when_the_data_centre_is_back(self):
        clock = Clock(make_fleet(vms=10, replicas=8))
        clock.run(60)
        before = clock.serving("s")
        drain(clock, "a-0-0")
        clock.run(60)
        assert clock.serving("s") - before
        heal(clock)
        clock.run(60)
        assert clock.serving("s") == before
        assert len(clock.fleet.state.groups) == 10

    def test_leaving_member_is_swapped_when_no_request_is_left(self):
        clock = Clock(make_fleet(vms=9, replicas=8))
        clock.run(60)
        group = next(iter(clock.fleet.state.groups.values()))
        leave(clock, group.members[0])
        clock.run(STEP_S)
        memory = clock.fleet.memories[group.unit.removeprefix("domain/")]
        assert group.group_id in memory.drains
        assert clock.fleet.state.groups[group.group_id] == group
        clock.run(vm_model.STREAM_S + 8)
        assert group.group_id in clock.serving()


class TestEnginesThatIgnoreFencing:
    @pytest.mark.parametrize(
        ("fencing", "is_waiting"), [("ignored", True), ("checked", False)]
    )
    def test_vms_wait_after_a_change_of_owner(self, fencing, is_waiting):
        fleet = make_fleet(fencing=fencing)
        memory = fleet.memories["a-0"]
        actions = groups.plan(fleet.view("a-0", 0.0), memory)
        formed = [a for a in actions if isinstance(a, group_plans.Append)]
        assert (not formed) == is_waiting
        later_s = vm_health.ORDER_FLIGHT_S
        later = groups.plan(fleet.view("a-0", later_s), memory)
        assert bool(later) == is_waiting

    def test_member_moved_by_an_older_order_stops_its_group(self):
        clock = Clock(make_fleet(fencing="ignored"))
        clock.run(60)
        group = next(
            g
            for g in clock.fleet.state.groups.values()
            if g.unit == "domain/a-0"
        )
        vm = clock.fleet.vms[group.members[0]]
        vm.is_fenced = False
        vm.take(models.LeaveOrder(0, group.group_id), 4.0)
        view = clock.fleet.view("a-0", clock.now_s)
        assert not group_states.is_whole(view, group)
        clock.run(2)
        assert group.group_id in clock.serving()


class TestHysteresis:
    def test_flapping_vm_is_not_used_again_at_once(self):
        clock = Clock(make_fleet(vms=9, replicas=8))
        clock.run(60)
        for _ in range(vm_health.FLAPS_TOLERATED + 1):
            freeze(clock, "a-0-0")
            clock.run(4)
            restore(clock, "a-0-0")
            clock.run(2)
        view = clock.fleet.view("a-0", clock.now_s)
        memory = clock.fleet.memories["a-0"]
        explained = groups.explain_vm(view, memory, "a-0-0")
        assert explained["condition"] == "quarantined"

    def test_owner_without_a_probe_yet_loses_no_member(self):
        clock = Clock(make_fleet())
        clock.run(60)
        take_over(clock, "a-0-0")
        view = clock.fleet.view("a-0", clock.now_s)
        view.vms = {
            vm: group_states.VmEvidence(evidence.vm)
            for vm, evidence in view.vms.items()
        }
        memory = clock.fleet.memories["a-0"]
        for view.now_s in (clock.now_s, clock.now_s + 60):
            assert groups.plan(view, memory) == ()
