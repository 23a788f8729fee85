"""Tests of what entries know together beyond a read of the store."""

import dataclasses
import random

import pytest

from sycamorespool import backends
from sycamorespool.decisions import handed_state
from sycamorespool.decisions import registry

NOW_S = 1000.0


def last_seen(backend_id, sequence, age_s=0.0, started_ms=1):
    instant = registry.Instant(started_ms, sequence)
    return registry.LastSeen(backend_id, instant, age_s)


def make_backend(sequence, started_ms=1):
    return backends.Backend(
        "a",
        "s",
        "10.0.0.1:1",
        "dc",
        1,
        False,
        sequence=sequence,
        started_ms=started_ms,
    )


class TestCombine:
    def test_nobody_knows_anything(self):
        assert handed_state.combine([]) == handed_state.HandedState()

    def test_highest_version_counts(self):
        answers = [
            handed_state.HandedState(3, b"3"),
            handed_state.HandedState(5, b"5"),
            handed_state.HandedState(4, b"4"),
        ]
        found = handed_state.combine(answers)
        assert (found.version, found.config) == (5, b"5")

    def test_statement_with_the_later_heartbeat_counts(self):
        answers = [
            handed_state.HandedState(removed=(last_seen("a", n),))
            for n in (7, 9, 8)
        ]
        found = handed_state.combine(answers)
        assert found.removed == (last_seen("a", 9),)

    def test_evacuations_are_held_for_the_longest_time(self):
        answers = [
            handed_state.HandedState(evacuated=frozenset("x"), hold_s=2.0),
            handed_state.HandedState(evacuated=frozenset("y"), hold_s=3.0),
        ]
        found = handed_state.combine(answers)
        assert (found.evacuated, found.hold_s) == (frozenset("xy"), 3.0)


class TestRemoved:
    def test_known_server_that_the_store_no_longer_lists_has_left(self):
        state = handed_state.HandedState(
            known=(last_seen("a", 3), last_seen("b", 3)),
            removed=(last_seen("c", 3, 5.0),),
        )
        gone = handed_state.find_gone(state, {"b": None})
        assert [server.backend_id for server in gone] == ["c", "a"]

    def test_late_heartbeat_does_not_bring_a_server_back(self):
        servers = registry.Registry()
        registry.apply_removed(servers, [last_seen("a", 7)], NOW_S)
        late, newer = make_backend(7), make_backend(8)
        assert not registry.apply_entry(servers, "a", late, NOW_S)
        assert registry.apply_entry(servers, "a", newer, NOW_S)

    @pytest.mark.parametrize(
        ("sequence", "stays"), [(6, False), (7, False), (8, True)]
    )
    def test_server_stays_only_by_a_newer_heartbeat(self, sequence, stays):
        servers = registry.Registry()
        registry.apply_entry(servers, "a", make_backend(sequence), NOW_S)
        registry.apply_removed(servers, [last_seen("a", 7)], NOW_S)
        assert ("a" in servers.servers) is stays

    def test_old_removal_is_not_remembered_longer(self):
        servers = registry.Registry()
        old = last_seen("a", 7, registry.REMOVED_KEEP_S + 1.0)
        registry.apply_removed(servers, [old], NOW_S)
        assert not servers.removed
        fresh = last_seen("a", 7, registry.REMOVED_KEEP_S - 1.0)
        registry.apply_removed(servers, [fresh], NOW_S)
        listed = handed_state.list_removed(servers, NOW_S + 0.5)
        assert listed[0].age_s == registry.REMOVED_KEEP_S - 0.5

    def test_restarted_server_is_newer_than_its_removal(self):
        servers = registry.Registry()
        registry.apply_removed(servers, [last_seen("a", 70)], NOW_S)
        restarted = make_backend(1, started_ms=2)
        assert registry.apply_entry(servers, "a", restarted, NOW_S)


@dataclasses.dataclass
class World:
    """Two entries, a server and the log of its heartbeats, in random order.

    One entry runs all the time, so that it can hand over what it knows.
    """

    rng: random.Random
    now_s: float = NOW_S
    sequence: int = 0
    is_alive: bool = True

    def __post_init__(self):
        self.log = []
        self.unwritten = []
        self.entries = [registry.Registry(), registry.Registry()]
        self.positions = [0, 0]

    def beat(self):
        if self.is_alive:
            self.sequence += 1
            written = make_backend(self.sequence)
            # An answer may be lost, and the write carried out later.
            late = self.rng.random() < 0.3
            (self.unwritten if late else self.log).append(written)

    def write_late(self):
        if self.unwritten:
            number = self.rng.randrange(len(self.unwritten))
            self.log.append(self.unwritten.pop(number))

    def leave(self):
        if self.is_alive and self.sequence:
            self.is_alive = False
            self.log.append(None)

    def read(self, number):
        for record in self.log[self.positions[number] :]:
            registry.apply_entry(self.entries[number], "a", record, self.now_s)
        self.positions[number] = len(self.log)

    def start(self):
        """Start the second entry anew, beside the first one."""
        other = self.entries[0]
        answer = handed_state.HandedState(
            removed=handed_state.list_removed(other, self.now_s),
            known=handed_state.list_known(other),
        )
        handed = handed_state.combine([answer])
        newest = self.log[-1] if self.log else None
        listed = {} if newest is None else {"a": newest}
        started = registry.Registry()
        gone = handed_state.find_gone(handed, listed)
        registry.apply_removed(started, gone, self.now_s)
        registry.replace_all(started, listed, self.now_s)
        self.entries[1] = started
        self.positions[1] = len(self.log)

    def step(self):
        self.now_s += self.rng.uniform(0.0, 1.0)
        choices = [
            self.beat,
            self.beat,
            self.write_late,
            self.leave,
            self.start,
            lambda: self.read(0),
            lambda: self.read(1),
        ]
        weights = [4, 4, 3, 0.3, 1, 4, 4]
        self.rng.choices(choices, weights)[0]()


# A restarted entry used a server that had left, after a late heartbeat.
@pytest.mark.parametrize("seed", range(100))
def test_started_entry_uses_no_server_that_the_other_one_does_not(seed):
    world = World(random.Random(seed))
    for _ in range(60):
        world.step()
        for number in (0, 1):
            world.read(number)
        running, started = world.entries
        assert "a" not in started.servers or "a" in running.servers
        newest = world.log[-1] if world.log else None
        if newest is not None and newest.sequence == world.sequence:
            assert "a" in started.servers
