"""Tests snapshots of the fleet's state.

A replay of a snapshot and the records after it must give the same state as a
replay of the whole log.
"""

import os
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sycamorespool.decisions import fleet
from sycamorespool.decisions import replay
from sycamorespool.decisions import snapshots
from sycamorespool import exceptions
from sycamorespool import records
from tests.decisions import fleet_records

EXAMPLES = 2000 if "SOAK" in os.environ else 60
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=EXAMPLES
)
RETENTION_S = 8000.0
FOLLOWER = snapshots.Follower("e1", RETENTION_S, 100.0)
ENTRIES = ("e1", "e2", "e3")


def replay_all(log):
    return snapshots.replay_log(0, log)


def add_snapshot(log, as_of, at=None):
    state = replay_all(log[: as_of + 1])
    record = snapshots.make_snapshot(state, 1.0)
    offset = log[-1].offset + 1 if at is None else at
    return [*log, records.LogEntry(offset, record)]


def count_replicas(state, service):
    replaced = {group.replaces for group in state.groups.values()}
    return sum(
        group.service == service and group.group_id not in replaced
        for group in state.groups.values()
    )


class TestReplayOfAnyLog:
    @SETTINGS
    @hypothesis.given(st.integers(0, 2**32), st.integers(1, 120))
    def test_snapshot_and_later_records_equal_full_replay(self, seed, cut):
        rng = random.Random(seed)
        log = fleet_records.make_log(rng, 120)
        log = add_snapshot(log, cut - 1)
        log = add_snapshot(log, rng.randrange(cut))
        whole = replay_all(log)
        first = rng.randint(0, cut)
        kept = msgspec.json.decode(
            msgspec.json.encode(log[first:]), type=list[records.LogEntry]
        )
        assert snapshots.replay_log(first, kept) == whole

    @SETTINGS
    @hypothesis.given(st.integers(0, 2**32))
    def test_replica_counts_and_vm_index_match_the_groups(self, seed):
        state = replay.FleetState()
        versions = []
        for entry in fleet_records.make_log(random.Random(seed), 120):
            replay.apply(state, entry.offset, entry.record)
            versions.append(state.version)
            assert state.replica_counts["a"] == count_replicas(state, "a")
            held = [vm for g in state.groups.values() for vm in g.members]
            assert sorted(held) == sorted(state.group_of_vm)
        assert versions == sorted(versions)

    def test_verdicts_are_bounded_and_equal_after_a_snapshot(
        self, monkeypatch
    ):
        monkeypatch.setattr(fleet, "VERDICTS_KEPT", 10)
        log = fleet_records.make_log(random.Random(5), 100)
        late = add_snapshot(log, 60)
        assert len(replay_all(log).verdicts) == 10
        assert snapshots.replay_log(50, late[50:]) == replay_all(late)


class TestStart:
    def test_expired_records_without_a_snapshot_raise_records_expired(self):
        log = fleet_records.make_log(random.Random(1), 20)
        with pytest.raises(exceptions.RecordsExpired):
            snapshots.replay_log(5, log[5:])

    def test_snapshot_with_gap_to_kept_records_raises_records_expired(self):
        log = add_snapshot(fleet_records.make_log(random.Random(1), 20), 3)
        with pytest.raises(exceptions.RecordsExpired):
            snapshots.replay_log(8, log[8:])

    def test_newer_own_state_is_not_replaced_by_a_snapshot(self):
        log = fleet_records.make_log(random.Random(1), 40)
        own = replay_all(log)
        late = add_snapshot(log, 20)
        again = snapshots.replay_log(15, late[15:], own)
        assert (again.offset, again.version) == (40, own.version)
        old = replay_all(log[:10])
        assert snapshots.choose_newer(own, old) is own
        assert snapshots.choose_newer(old, own) is own

    @pytest.mark.parametrize(
        "changes",
        [{"format": 2}, {"offset": 3}, {"owners": 1}, {"more": 1}],
    )
    def test_unreadable_snapshot_is_skipped(self, changes):
        log = add_snapshot(fleet_records.make_log(random.Random(1), 20), 15)
        state = {**snapshots.to_snapshot(replay_all(log[:19])), **changes}
        bad = records.LogEntry(21, records.Snapshot("bad", 18, state, 1.0))
        kept = [*log[10:], bad]
        loaded = snapshots.replay_log(10, kept)
        assert loaded.groups == replay_all(log).groups


class TestDue:
    def make_state(self, offset=9, mark=None):
        state = replay.FleetState(offset=offset)
        if mark is not None:
            state.snapshot = fleet.SnapshotMark(*mark)
        return state

    @pytest.mark.parametrize(
        ("state", "now_unix_s", "writers"),
        [
            ({"offset": -1}, 1e9, 0),
            ({}, 1099.0, 0),
            ({}, 1100.0, 1),
            ({}, 1131.0, 2),
            ({"mark": (5, 4, 1000.0)}, 4999.0, 0),
            ({"mark": (5, 4, 1000.0)}, 5000.0, 1),
            ({"offset": 5000, "mark": (5, 4, 1000.0)}, 1001.0, 1),
        ],
    )
    def test_entries_become_due_one_after_the_other(
        self, state, now_unix_s, writers
    ):
        made = self.make_state(**state)
        due = [
            snapshots.is_snapshot_due(
                made,
                snapshots.Follower(name, RETENTION_S, 100.0),
                ENTRIES,
                now_unix_s,
            )
            for name in ENTRIES
        ]
        assert sum(due) == writers

    def test_snapshot_is_not_due_after_a_recent_one(self):
        state = self.make_state(9)
        record = snapshots.make_snapshot(state, 2000.0)
        replay.apply(state, 10, record)
        assert not snapshots.is_snapshot_due(state, FOLLOWER, ENTRIES, 2100.0)
        replay.apply(state, 11, record)
        assert state.snapshot == fleet.SnapshotMark(10, 9, 2000.0)
