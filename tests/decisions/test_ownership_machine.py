"""Tests in random runs that orders of two owners never overlap."""

import dataclasses
import itertools
import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorespool.decisions import ownership
from tests.decisions import owner_world

IS_SOAK = "SOAK" in os.environ
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=3000 if IS_SOAK else 60,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SEEDS = 4000 if IS_SOAK else 40
STEPS = 120
TICKS = (1, 1, 2, 4, 8, 20)
DELAYS_S = ((0.0,), (0.0, 0.0), (), (0.4,), (3.0,), (0.0, 9.0))
PAUSES = ("stopped", "suspended")


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Run steps in any order that hypothesis chooses."""

    def __init__(self):
        super().__init__()
        self.world = owner_world.World()

    def process(self, index):
        return self.world.processes[index % len(self.world.processes)]

    @stateful.rule(ticks=st.sampled_from(TICKS))
    def advance(self, ticks):
        self.world.advance(ticks)

    @stateful.rule(index=st.integers(0, 5))
    def begin_read(self, index):
        self.world.begin_read(self.process(index))

    @stateful.rule(index=st.integers(0, 5))
    def end_read(self, index):
        self.world.end_read(self.process(index))

    @stateful.rule(
        index=st.integers(0, 5),
        seen=st.sets(st.sampled_from(owner_world.NAMES)),
        delays_s=st.sampled_from(DELAYS_S),
    )
    def claim(self, index, seen, delays_s):
        self.world.claim(self.process(index), seen, delays_s)

    @stateful.rule(index=st.integers(0, 5), other=st.integers(0, 5))
    def read_from_peer(self, index, other):
        self.world.read_from_peer(self.process(index), self.process(other))

    @stateful.rule(
        index=st.integers(0, 5),
        other=st.integers(0, 5),
        ticks=st.integers(0, 4),
    )
    def claim_from(self, index, other, ticks):
        self.world.claim_from(self.process(index), self.process(other), ticks)

    @stateful.rule(index=st.integers(0, 5), kind=st.sampled_from(PAUSES))
    def pause(self, index, kind):
        self.world.pause(self.process(index), kind)

    @stateful.rule(index=st.integers(0, 5))
    def wake(self, index):
        self.world.wake(self.process(index))

    @stateful.rule(index=st.integers(0, 5))
    def replace(self, index):
        self.world.replace(self.process(index))

    @stateful.rule(index=st.integers(0, 5), sees_log=st.booleans())
    def cut(self, index, sees_log):
        self.process(index).sees_log = sees_log

    @stateful.rule(index=st.integers(0, 5))
    def stop(self, index):
        self.process(index).is_stopping = True

    @stateful.invariant()
    def act(self):
        self.world.act_all()


OwnerMachine.TestCase.settings = SETTINGS
TestOwnerMachine = OwnerMachine.TestCase

# Name and weight of each step; with these weights owners change often.
_STEPS = {
    "advance": 12,
    "begin_read": 2,
    "end_read": 4,
    "claim": 4,
    "claim_from": 4,
    "read_from_peer": 1,
    "pause": 2,
    "wake": 6,
    "replace": 1,
    "cut": 5,
    "stop": 1,
}


def run_world(seed, *world_args):
    """Run one world with random weighted steps and return it."""
    rng = random.Random(seed)
    world = owner_world.World(*world_args)
    names = rng.choices(list(_STEPS), list(_STEPS.values()), k=STEPS)
    for name in names:
        process = rng.choice(world.processes)
        if name == "advance":
            world.advance(rng.choice(TICKS))
        elif name == "claim":
            seen = {n for n in owner_world.NAMES if rng.random() < 0.6}
            world.claim(process, seen, rng.choice(DELAYS_S))
        elif name == "claim_from":
            owner = rng.choice(world.processes)
            world.claim_from(process, owner, rng.randrange(5))
        elif name == "read_from_peer":
            world.read_from_peer(process, rng.choice(world.processes))
        elif name == "pause":
            world.pause(process, rng.choice(PAUSES))
        elif name == "cut":
            process.sees_log = rng.random() < 0.7
        elif name == "stop":
            process.is_stopping = True
        else:
            getattr(world, name)(process)
        world.act_all()
    return world


def find_overlap(seeds, *world_args):
    """Return the first seed whose world has overlapping orders, or None."""
    for seed in range(seeds):
        try:
            run_world(seed, *world_args)
        except owner_world.OrdersOverlap:
            return seed
    return None


def sweep_takeovers(*world_args):
    """Tell whether orders overlap when another entry claims an owned unit.

    This tries each owner, claimant and delay.  The previous owner loses the
    log after the claim, and the claimant stops some ticks later, so that
    the third entry takes the unit over.
    """
    pairs = itertools.combinations(range(3), 2)
    cases = itertools.product(pairs, (1, 5), range(7), (4, 60))
    try:
        for (owner, claimant), cut_ticks, phase, stop_ticks in cases:
            world = owner_world.World(*world_args)
            world.own_all(world.processes[owner], phase)
            world.claim_from(
                world.processes[claimant], world.processes[owner], cut_ticks
            )
            world.advance(stop_ticks)
            world.processes[claimant].is_stopping = True
            world.advance(40)
    except owner_world.OrdersOverlap:
        return True
    return False


def is_unsafe(*world_args):
    return find_overlap(60, *world_args) is not None or sweep_takeovers(
        *world_args
    )


EXACT = (owner_world.EXACT, owner_world.NO_DRIFT)
DRIFTING = (owner_world.DRIFTING, owner_world.DRIFT)


class TestRandomWorlds:
    @pytest.mark.parametrize("world_args", [EXACT, DRIFTING])
    def test_orders_of_two_owners_never_overlap(self, world_args):
        assert find_overlap(SEEDS, *world_args) is None

    @pytest.mark.parametrize("world_args", [EXACT, DRIFTING])
    def test_takeover_at_any_tick_never_overlaps_orders(self, world_args):
        assert not sweep_takeovers(*world_args)

    def test_random_runs_change_owners_often(self):
        worlds = [run_world(seed, *EXACT) for seed in range(10)]
        epochs = [len(w.orders[unit]) for w in worlds for unit in w.orders]
        assert sum(epochs) > 40
        assert sum(world.sent for world in worlds) > 2000


def _act_without_lease(monkeypatch):
    monkeypatch.setattr(ownership, "may_act", ownership.is_owner_of_record)


def _claim_without_wait(monkeypatch):
    monkeypatch.setattr(ownership, "claim_wait_s", lambda *_: 0.0)


def _count_lease_from_answer(monkeypatch):
    renew_lease = ownership.renew_lease
    monkeypatch.setattr(
        ownership,
        "renew_lease",
        lambda state, replayed, began_s, now_s: renew_lease(
            state, replayed, now_s, now_s
        ),
    )


def _ignore_clock_gaps(monkeypatch):
    monkeypatch.setattr(ownership, "check_clocks", lambda *_: False)


def _renew_by_reads_from_before_the_gap(monkeypatch):
    def drop(state, now_s):
        state.lease_until_s = now_s

    monkeypatch.setattr(ownership, "end_lease", drop)


def _act_after_release(monkeypatch):
    def is_owner(state, unit, now_s):
        owned_unit = state.owned_units.get(unit)
        return owned_unit is not None and now_s >= owned_unit.active_from_s

    monkeypatch.setattr(ownership, "is_owner_of_record", is_owner)


def _release_before_the_wait_is_over(monkeypatch):
    def is_owner(state, unit, now_s):
        owned_unit = state.owned_units.get(unit)
        return owned_unit is not None and not owned_unit.is_releasing

    kept = ownership.is_owner_of_record

    def may_act_as_before(state, unit, now_s):
        return ownership.has_lease(state, now_s) and kept(state, unit, now_s)

    monkeypatch.setattr(ownership, "is_owner_of_record", is_owner)
    monkeypatch.setattr(ownership, "may_act", may_act_as_before)


def _ignore_incarnations(monkeypatch):
    world = owner_world.World

    def start(self, name, incarnation):
        made = ownership.LeaseState(name, 1, self.timing)
        return owner_world.Process(name, 1, made)

    monkeypatch.setattr(world, "_start", start)


MECHANISMS = (
    _act_without_lease,
    _claim_without_wait,
    _count_lease_from_answer,
    _ignore_clock_gaps,
    _renew_by_reads_from_before_the_gap,
    _act_after_release,
    _release_before_the_wait_is_over,
    _ignore_incarnations,
)


class TestRemovedMechanism:
    """Without any one mechanism, orders overlap in the same worlds."""

    @pytest.mark.parametrize("remove", MECHANISMS, ids=lambda f: f.__name__)
    def test_orders_overlap_without_mechanism(self, remove, monkeypatch):
        remove(monkeypatch)
        assert is_unsafe(*EXACT)

    @pytest.mark.parametrize(
        ("field", "world_args"),
        [
            ("drift_ratio", DRIFTING),
            ("flight_s", EXACT),
            ("read_lag_s", EXACT),
        ],
    )
    def test_orders_overlap_if_a_bound_of_the_wait_is_zero(
        self, field, world_args
    ):
        timing = dataclasses.replace(world_args[0], **{field: 0.0})
        assert is_unsafe(timing, world_args[1])
