"""Random runs of owners: orders of two owners never meet."""

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
FATES_S = ((0.0,), (0.0, 0.0), (), (0.4,), (3.0,), (0.0, 9.0))
PAUSES = ("stopped", "suspended")


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Any order of steps, as hypothesis chooses them."""

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
        fates_s=st.sampled_from(FATES_S),
    )
    def claim(self, index, seen, fates_s):
        self.world.claim(self.process(index), seen, fates_s)

    @stateful.rule(index=st.integers(0, 5), other=st.integers(0, 5))
    def take_from_peer(self, index, other):
        self.world.take_from_peer(self.process(index), self.process(other))

    @stateful.rule(
        index=st.integers(0, 5),
        other=st.integers(0, 5),
        ticks=st.integers(0, 4),
    )
    def usurp(self, index, other, ticks):
        self.world.usurp(self.process(index), self.process(other), ticks)

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

# Weighted so that owners change often: name of the step and its weight.
_STEPS = {
    "advance": 12,
    "begin_read": 2,
    "end_read": 4,
    "claim": 4,
    "usurp": 4,
    "take_from_peer": 1,
    "pause": 2,
    "wake": 6,
    "replace": 1,
    "cut": 5,
    "stop": 1,
}


def run_world(seed, *how):
    """Run one weighted random world; return it."""
    rng = random.Random(seed)
    world = owner_world.World(*how)
    names = rng.choices(list(_STEPS), list(_STEPS.values()), k=STEPS)
    for name in names:
        process = rng.choice(world.processes)
        if name == "advance":
            world.advance(rng.choice(TICKS))
        elif name == "claim":
            seen = {n for n in owner_world.NAMES if rng.random() < 0.6}
            world.claim(process, seen, rng.choice(FATES_S))
        elif name == "usurp":
            victim = rng.choice(world.processes)
            world.usurp(process, victim, rng.randrange(5))
        elif name == "take_from_peer":
            world.take_from_peer(process, rng.choice(world.processes))
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


def find_overlap(seeds, *how):
    """Return the first seed whose world has orders that meet, or None."""
    for seed in range(seeds):
        try:
            run_world(seed, *how)
        except owner_world.OrdersOverlap:
            return seed
    return None


def sweep(*how):
    """Usurp each unit, with each claimant and delay; tell if orders meet.

    The former owner is cut off after the claim, and the claimant stops
    some ticks later, so that a third one follows it.
    """
    people = itertools.combinations(range(3), 2)
    moments = itertools.product(people, (1, 5), range(7), (4, 60))
    try:
        for (owner, claimant), cut_ticks, phase, stop_ticks in moments:
            world = owner_world.World(*how)
            world.own_all(world.processes[owner], phase)
            world.usurp(
                world.processes[claimant], world.processes[owner], cut_ticks
            )
            world.advance(stop_ticks)
            world.processes[claimant].is_stopping = True
            world.advance(40)
    except owner_world.OrdersOverlap:
        return True
    return False


def is_unsafe(*how):
    return find_overlap(60, *how) is not None or sweep(*how)


EXACT = (owner_world.EXACT, owner_world.NO_DRIFT)
DRIFTING = (owner_world.DRIFTING, owner_world.DRIFT)


class TestRandomWorlds:
    @pytest.mark.parametrize("how", [EXACT, DRIFTING])
    def test_orders_of_two_owners_never_meet(self, how):
        assert find_overlap(SEEDS, *how) is None

    @pytest.mark.parametrize("how", [EXACT, DRIFTING])
    def test_usurped_units_are_safe_at_any_moment(self, how):
        assert not sweep(*how)

    def test_runs_change_owners_often(self):
        worlds = [run_world(seed, *EXACT) for seed in range(10)]
        epochs = [len(w.orders[unit]) for w in worlds for unit in w.orders]
        assert sum(epochs) > 40
        assert sum(world.sent for world in worlds) > 2000


def _act_without_lease(monkeypatch):
    monkeypatch.setattr(ownership, "may_act", ownership.is_owner_of_record)


def _claim_without_wait(monkeypatch):
    monkeypatch.setattr(ownership, "tell_wait_s", lambda *_: 0.0)


def _count_lease_from_answer(monkeypatch):
    note_read = ownership.note_read
    monkeypatch.setattr(
        ownership,
        "note_read",
        lambda state, replayed, began_s, now_s: note_read(
            state, replayed, now_s, now_s
        ),
    )


def _ignore_clock_gaps(monkeypatch):
    monkeypatch.setattr(ownership, "check_clocks", lambda *_: False)


def _renew_by_reads_before_the_gap(monkeypatch):
    def drop(state, now_s):
        state.lease_until_s = now_s

    monkeypatch.setattr(ownership, "drop_leases", drop)


def _act_after_release(monkeypatch):
    def is_owner(state, unit, now_s):
        tenure = state.tenures.get(unit)
        return tenure is not None and now_s >= tenure.acts_from_s

    monkeypatch.setattr(ownership, "is_owner_of_record", is_owner)


def _release_before_the_wait(monkeypatch):
    def is_owner(state, unit, now_s):
        tenure = state.tenures.get(unit)
        return tenure is not None and not tenure.is_releasing

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
    _renew_by_reads_before_the_gap,
    _act_after_release,
    _release_before_the_wait,
    _ignore_incarnations,
)


class TestWithoutAMechanism:
    """Each mechanism is needed: without it the same worlds overlap."""

    @pytest.mark.parametrize("remove", MECHANISMS, ids=lambda f: f.__name__)
    def test_orders_meet(self, remove, monkeypatch):
        remove(monkeypatch)
        assert is_unsafe(*EXACT)

    @pytest.mark.parametrize(
        ("field", "how"),
        [
            ("drift_ratio", DRIFTING),
            ("flight_s", EXACT),
            ("read_lag_s", EXACT),
        ],
    )
    def test_orders_meet_without_a_part_of_the_wait(self, field, how):
        timing = dataclasses.replace(how[0], **{field: 0.0})
        assert is_unsafe(timing, how[1])
