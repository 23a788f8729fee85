"""Tests of the rules of the idempotency keys."""

import pytest

from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import key_batches
from sycamorespool.decisions import key_snapshots
from sycamorespool.decisions import keys
from sycamorespool import exceptions
from sycamorespool import records
from tests.decisions import key_records


class TestRulings:
    @pytest.mark.parametrize(
        ("log", "asker", "ruling"),
        [
            ((), key_records.call("a"), "append"),
            ((key_records.intent("a"),), key_records.call("a"), "send"),
            ((key_records.intent("a"),), key_records.call("b"), "in_progress"),
            (
                (key_records.intent("a"),),
                key_records.call("b", "x"),
                "mismatch",
            ),
            (
                (key_records.intent("a"), key_records.outcome("a")),
                key_records.call("b"),
                "repeat",
            ),
            (
                (key_records.intent("a"), key_records.outcome("a")),
                key_records.call("b", "x"),
                "mismatch",
            ),
            (
                (key_records.intent("a"), key_records.outcome("b")),
                key_records.call("a"),
                "send",
            ),
            (
                (key_records.intent("a"), key_records.withdrawal("a")),
                key_records.call("a"),
                "withdrawn",
            ),
            (
                (key_records.intent("a"), key_records.withdrawal("a")),
                key_records.call("b"),
                "append",
            ),
            (
                (key_records.intent("a"), key_records.withdrawal("b")),
                key_records.call("c"),
                "in_progress",
            ),
            (
                (key_records.withdrawal("a"), key_records.intent("a")),
                key_records.call("a"),
                "withdrawn",
            ),
            (
                (key_records.withdrawal("a"), key_records.intent("a")),
                key_records.call("b"),
                "append",
            ),
            (
                (key_records.intent("a"), key_records.settled("a", "ran")),
                key_records.call("b"),
                "settled_ran",
            ),
            (
                (key_records.intent("a"), key_records.settled("a", "not_run")),
                key_records.call("a"),
                "settled_",
            ),
            (
                (key_records.intent("a"), key_records.settled("b", "ran")),
                key_records.call("a"),
                "send",
            ),
        ],
    )
    def test_log_order_rules(self, log, asker, ruling):
        assert keys.rule(
            key_records.replay(*log), asker, key_records.HOUR_S
        ).startswith(ruling)

    def test_outcome_after_settlement_is_a_contradiction(self):
        state = key_records.replay(
            key_records.intent("a"),
            key_records.settled("a", "not_run"),
            key_records.outcome("a"),
        )
        assert state.contradictions == 1
        assert (
            keys.rule(state, key_records.call("b"), key_records.HOUR_S)
            == "settled_not_run"
        )


class TestWindow:
    def replay_stamps(self, *stamps):
        others = [
            records.KeyIntent("w", f"k{n}", "d", f"x{n}", entry, at_unix_s)
            for n, (entry, at_unix_s) in enumerate(stamps)
        ]
        return key_records.replay(
            key_records.intent("a"), key_records.outcome("a"), *others
        )

    @pytest.mark.parametrize(
        ("stamps", "ruling"),
        [
            ([("e2", 3000.0), ("e3", 3000.0)], "repeat"),
            ([("e2", 3700.0), ("e3", 3700.0)], "append"),
            ([("e2", 1e9), ("e2", 2e9)], "repeat"),
            ([("e2", 1e9), ("e3", 3000.0)], "repeat"),
        ],
    )
    def test_two_clocks_end_a_window(self, stamps, ruling):
        state = self.replay_stamps(*stamps)
        assert (
            keys.rule(state, key_records.call("b"), key_records.HOUR_S)
            == ruling
        )
        assert keys.prune(state, key_records.HOUR_S) == (ruling == "append")

    def test_open_key_never_ends(self):
        state = key_records.replay(
            key_records.intent("a"),
            key_records.intent("b", "e2", 1e6),
            key_records.intent("c", "e3"),
        )
        keys.prune(state, key_records.HOUR_S)
        assert (
            keys.rule(state, key_records.call("d"), key_records.HOUR_S)
            == "in_progress"
        )
        assert [key for _, key, _ in keys.list_open(state)] == ["k"]

    def test_window_runs_from_the_last_change(self):
        late = key_records.settled("a", "ran")
        items = (
            key_records.intent("a"),
            key_records.intent("b", "e2", 1e6),
            late,
        )
        state = key_records.replay(
            *items, key_records.intent("c", "e3", 1e6 + 60)
        )
        assert (
            keys.rule(state, key_records.call("d"), key_records.HOUR_S)
            == "settled_ran"
        )


class TestSnapshots:
    def entries(self, *log):
        return [records.LogEntry(offset, record) for offset, record in log]

    def test_snapshot_that_covers_most_is_taken(self):
        old = key_records.replay(key_records.intent("a"))
        new = key_records.replay(
            key_records.intent("a"), key_records.outcome("a")
        )
        log = self.entries(
            (2, key_snapshots.make_record(new, "n", key_records.HOUR_S)),
            (3, key_snapshots.make_record(old, "o", key_records.HOUR_S)),
        )
        state = key_snapshots.restore(log, 2, key_records.HOUR_S)
        assert state.keys == new.keys
        assert (
            keys.rule(state, key_records.call("b"), key_records.HOUR_S)
            == "repeat"
        )

    def test_expired_records_without_snapshot_are_refused(self):
        old = key_snapshots.make_record(
            key_records.replay(key_records.intent("a")),
            "o",
            key_records.HOUR_S,
        )
        log = self.entries(
            (4, old), (5, key_records.as_batch(key_records.intent("b")))
        )
        with pytest.raises(exceptions.KeyHistoryLost):
            key_snapshots.restore(log, 4, key_records.HOUR_S)
        malformed = self.entries((4, records.Snapshot("x", 4, {"rows": 1})))
        with pytest.raises(exceptions.KeyHistoryLost):
            key_snapshots.restore(malformed, 4, key_records.HOUR_S)


class TestBatches:
    policy = key_batches.BatchPolicy(
        partitions=10, appends_per_s=100.0, burst=1.0, max_pending=2
    )

    def test_appends_keep_the_rate(self):
        batcher = key_batches.make_batcher(self.policy, 0.0)
        key_batches.add(self.policy, batcher, key_records.intent("a"), 0.0)
        find = key_batches.find_append_time
        assert find(self.policy, batcher, 0.0) == 0.0
        key_batches.take(self.policy, batcher, "b", 0.0)
        key_batches.add(self.policy, batcher, key_records.intent("b"), 0.0)
        assert find(self.policy, batcher, 0.0) is None
        key_batches.finish(batcher)
        assert find(self.policy, batcher, 0.0) == pytest.approx(0.1)

    def test_full_queue_refuses_intents_alone(self):
        batcher = key_batches.make_batcher(self.policy, 0.0)
        items = (key_records.outcome("a"), key_records.intent("b"))
        for item in items:
            assert key_batches.add(self.policy, batcher, item, 0.0)
        refused = key_records.intent("c")
        assert not key_batches.add(self.policy, batcher, refused, 0.0)
        late = key_records.withdrawal("c")
        assert key_batches.add(self.policy, batcher, late, 0.0)
        batch = key_batches.take(self.policy, batcher, "b", 0.0)
        assert (batch.intents, batch.outcomes) == (items[1:], items[:1])
        assert batch.withdrawals == (late,)

    def test_outcome_waits_to_share_the_append_of_an_intent(self):
        batcher = key_batches.make_batcher(self.policy, 0.0)
        add, find = key_batches.add, key_batches.find_append_time
        add(self.policy, batcher, key_records.outcome("a"), 1.0)
        assert find(self.policy, batcher, 1.0) == 1.5
        add(self.policy, batcher, key_records.intent("b"), 1.2)
        assert find(self.policy, batcher, 1.2) == 1.2
        batch = key_batches.take(self.policy, batcher, "b", 1.2)
        assert len(batch.outcomes) == len(batch.intents) == 1

    def test_append_is_bounded_in_size(self):
        policy = key_batches.BatchPolicy(max_items=3, max_bytes=1000)
        batcher = key_batches.make_batcher(policy, 0.0)
        for body in (b"", b"", b"", b"x" * 2000, b""):
            item = key_records.outcome("a", body)
            key_batches.add(policy, batcher, item, 0.0)
        taken = [key_batches.take(policy, batcher, "b", 0.0) for _ in "123"]
        assert [len(batch.outcomes) for batch in taken] == [3, 1, 1]


class TestClocks:
    def test_late_sender_and_wrong_clock_are_stopped(self):
        attempt = key_attempts.KeyedAttempt(key_records.call("a"), 0.0)
        assert key_attempts.is_in_time(attempt, 600.0)
        assert not key_attempts.is_in_time(attempt, 601.0)
        assert key_attempts.is_clock_trusted(100.0, 159.0)
        assert not key_attempts.is_clock_trusted(100.0, 161.0)
