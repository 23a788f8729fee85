"""Tests of the membership protocol between entries."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from benchmarks import membership as bench
from sycamorespool.decisions import membership
from sycamorespool.decisions import pings

SOAK = bool(os.environ.get("SOAK"))
CONVERGENCE_PERIODS = 40


class TestFailures:
    def test_stopped_entry_is_declared_dead_by_all(self):
        cluster = bench.Cluster(9)
        cluster.run(10)
        cluster.stopped.add("e0")
        cluster.run(20)
        assert cluster.views("e0") == {"dead"}
        cluster.start("e0", 2)
        cluster.run(10)
        assert cluster.views("e0") == {"alive"}

    def test_entry_reached_by_helpers_is_not_suspected(self):
        cluster = bench.Cluster(5)
        cluster.run(10)
        passes = cluster._is_delivered
        cluster._is_delivered = lambda sender, receiver, message: (
            {sender, receiver} != {"e0", "e1"}
            and passes(sender, receiver, message)
        )
        for _ in range(60):
            cluster.run(1)
            assert cluster.views("e0") == {"alive"}
        cluster.uses_helpers = False
        cluster.run(20)
        assert cluster.suspicions

    def test_entry_that_leaves_is_not_suspected(self):
        cluster = bench.Cluster(9)
        cluster.run(10)
        membership.leave(cluster.states["e0"])
        cluster.run(4)
        cluster.stopped.add("e0")
        cluster.run(15)
        assert cluster.views("e0") == {"left"}
        assert not cluster.suspicions

    def test_paused_entry_declares_no_suspect_dead_on_waking(self):
        cluster = bench.Cluster(5)
        cluster.run(10)
        state = cluster.states["e0"]
        membership.suspect(state, "e1", cluster.now_s)
        cluster.now_s += 60
        cluster.run(1)
        assert "e1" not in membership.names_with_status(
            state, pings.Status.DEAD
        )

    def test_unlisted_dead_entry_is_forgotten(self):
        cluster = bench.Cluster(3)
        cluster.run(5)
        cluster.stopped.add("e2")
        cluster.run(12)
        state = cluster.states["e0"]
        state.listed = frozenset({"e0", "e1"})
        cluster.run(int(membership.FORGET_S))
        assert set(state.members) == {"e1"}

    def test_message_size_is_bounded_when_all_entries_restart(self):
        cluster = bench.Cluster(60)
        cluster.run(5)
        for name in cluster.names:
            cluster.start(name, 2)
        cluster.sizes_bytes.clear()
        cluster.run(10)
        assert max(cluster.sizes_bytes) < 80 * membership.MAX_UPDATES


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Run partitions, pauses and restarts, then check convergence."""

    def __init__(self):
        super().__init__()
        self.cluster = bench.Cluster(5)
        self.incarnations = dict.fromkeys(self.cluster.names, 1)

    names = st.sampled_from([f"e{index}" for index in range(5)])

    @stateful.rule(periods=st.sampled_from([1, 4, 25]))
    def wait(self, periods):
        self.cluster.run(periods)

    @stateful.rule(name=names, side=st.integers(0, 1))
    def cut(self, name, side):
        self.cluster.side[name] = side

    @stateful.rule(name=names)
    def pause(self, name):
        self.cluster.stopped.add(name)

    @stateful.rule(name=names)
    def wake(self, name):
        self.cluster.stopped.discard(name)

    @stateful.rule(name=names)
    def restart(self, name):
        self.incarnations[name] += 1
        self.cluster.start(name, self.incarnations[name])

    @stateful.rule(loss=st.sampled_from([0.0, 0.3]))
    def lose(self, loss):
        self.cluster.loss = loss

    def teardown(self):
        cluster = self.cluster
        cluster.side = dict.fromkeys(cluster.names, 0)
        cluster.loss = 0.0
        running = [n for n in cluster.names if n not in cluster.stopped]
        cluster.run(CONVERGENCE_PERIODS)
        if len(running) < 2:
            return
        for name in cluster.names:
            expected = "dead" if name in cluster.stopped else "alive"
            assert cluster.views(name) == {expected}
        for name in running:
            state = cluster.states[name]
            assert membership.alive_entries(state) == frozenset(running)


def run(phases=tuple(hypothesis.Phase)):
    stateful.run_state_machine_as_test(
        MembershipMachine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=1000 if SOAK else 40,
            stateful_step_count=20,
            phases=phases,
        ),
    )


class TestConvergence:
    def test_running_entries_agree_after_faults_end(self):
        run()

    def test_views_do_not_converge_without_refutation(self, monkeypatch):
        monkeypatch.setattr(membership, "_refute", lambda *args: None)
        with pytest.raises(AssertionError):
            run((hypothesis.Phase.generate,))

    def heal_partition(self):
        cluster = bench.Cluster(6)
        cluster.run(10)
        cluster.side |= {"e0": 1, "e1": 1}
        cluster.run(25)
        assert cluster.views("e0") == {"alive", "dead"}
        cluster.side = dict.fromkeys(cluster.names, 0)
        cluster.run(CONVERGENCE_PERIODS)
        return {view for n in cluster.names for view in cluster.views(n)}

    def test_healed_partition_rejoins_only_by_pings_of_dead_entries(
        self, monkeypatch
    ):
        assert self.heal_partition() == {"alive"}
        monkeypatch.setattr(membership, "DEAD_PING_PERIODS", 10**9)
        assert self.heal_partition() == {"alive", "dead"}
