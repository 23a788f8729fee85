"""Tests of decisions, expiry, snapshots and batches of idempotency keys."""

import pytest

from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import key_batches
from sycamorespool.decisions import key_snapshots
from sycamorespool.decisions import keys
from sycamorespool import exceptions
from sycamorespool import records
from tests.decisions import key_records


class TestDecisions:
    @pytest.mark.parametrize(
        ("log", "attempt", "decision"),
        [
            ((), key_records.attempt("a"), "append"),
            ((key_records.intent("a"),), key_records.attempt("a"), "send"),
            (
                (key_records.intent("a"),),
                key_records.attempt("b"),
                "in_progress",
            ),
            (
                (key_records.intent("a"),),
                key_records.attempt("b", "x"),
                "mismatch",
            ),
            (
                (key_records.intent("a"), key_records.outcome("a")),
                key_records.attempt("b"),
                "repeat",
            ),
            (
                (key_records.intent("a"), key_records.outcome("a")),
                key_records.attempt("b", "x"),
                "mismatch",
            ),
            (
                (key_records.intent("a"), key_records.outcome("b")),
                key_records.attempt("a"),
                "send",
            ),
            (
                (key_records.intent("a"), key_records.withdrawal("a")),
                key_records.attempt("a"),
                "withdrawn",
            ),
            (
                (key_records.intent("a"), key_records.withdrawal("a")),
                key_records.attempt("b"),
                "append",
            ),
            (
                (key_records.intent("a"), key_records.withdrawal("b")),
                key_records.attempt("c"),
                "in_progress",
            ),
            (
                (key_records.withdrawal("a"), key_records.intent("a")),
                key_records.attempt("a"),
                "withdrawn",
            ),
            (
                (key_records.withdrawal("a"), key_records.intent("a")),
                key_records.attempt("b"),
                "append",
            ),
            (
                (key_records.intent("a"), key_records.resolved("a", "ran")),
                key_records.attempt("b"),
                "settled_ran",
            ),
            (
                (
                    key_records.intent("a"),
                    key_records.resolved("a", "not_run"),
                ),
                key_records.attempt("a"),
                "settled_",
            ),
            (
                (key_records.intent("a"), key_records.resolved("b", "ran")),
                key_records.attempt("a"),
                "send",
            ),
        ],
    )
    def test_log_order_gives_the_expected_decision(
        self, log, attempt, decision
    ):
        assert keys.decide(
            key_records.replay(*log), attempt, key_records.HOUR_S
        ).startswith(decision)

    def test_outcome_after_resolution_as_not_run_is_counted(self):
        state = key_records.replay(
            key_records.intent("a"),
            key_records.resolved("a", "not_run"),
            key_records.outcome("a"),
        )
        assert state.contradictions == 1
        assert (
            keys.decide(state, key_records.attempt("b"), key_records.HOUR_S)
            == "settled_not_run"
        )


class TestWindow:
    def replay_with_time_stamps(self, *time_stamps):
        others = [
            records.KeyIntent("w", f"k{n}", "d", f"x{n}", entry, at_unix_s)
            for n, (entry, at_unix_s) in enumerate(time_stamps)
        ]
        return key_records.replay(
            key_records.intent("a"), key_records.outcome("a"), *others
        )

    @pytest.mark.parametrize(
        ("time_stamps", "decision"),
        [
            ([("e2", 3000.0), ("e3", 3000.0)], "repeat"),
            ([("e2", 3700.0), ("e3", 3700.0)], "append"),
            ([("e2", 1e9), ("e2", 2e9)], "repeat"),
            ([("e2", 1e9), ("e3", 3000.0)], "repeat"),
        ],
    )
    def test_key_expires_only_after_two_clocks_pass_its_window(
        self, time_stamps, decision
    ):
        state = self.replay_with_time_stamps(*time_stamps)
        assert (
            keys.decide(state, key_records.attempt("b"), key_records.HOUR_S)
            == decision
        )
        assert keys.prune(state, key_records.HOUR_S) == (decision == "append")

    def test_open_key_never_expires(self):
        state = key_records.replay(
            key_records.intent("a"),
            key_records.intent("b", "e2", 1e6),
            key_records.intent("c", "e3"),
        )
        keys.prune(state, key_records.HOUR_S)
        assert (
            keys.decide(state, key_records.attempt("d"), key_records.HOUR_S)
            == "in_progress"
        )
        assert [key for _, key, _ in keys.list_open(state)] == ["k"]

    def test_window_starts_at_the_last_change(self):
        resolved = key_records.resolved("a", "ran")
        items = (
            key_records.intent("a"),
            key_records.intent("b", "e2", 1e6),
            resolved,
        )
        state = key_records.replay(
            *items, key_records.intent("c", "e3", 1e6 + 60)
        )
        assert (
            keys.decide(state, key_records.attempt("d"), key_records.HOUR_S)
            == "settled_ran"
        )


class TestSnapshots:
    def entries(self, *log):
        return [records.LogEntry(offset, record) for offset, record in log]

    def test_restore_uses_the_snapshot_that_covers_most_records(self):
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
            keys.decide(state, key_records.attempt("b"), key_records.HOUR_S)
            == "repeat"
        )

    def test_restore_without_a_valid_snapshot_raises(self):
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

    def test_append_times_follow_the_rate_limit(self):
        batcher = key_batches.make_batcher(self.policy, 0.0)
        key_batches.add(self.policy, batcher, key_records.intent("a"), 0.0)
        find = key_batches.find_append_time
        assert find(self.policy, batcher, 0.0) == 0.0
        key_batches.take(self.policy, batcher, "b", 0.0)
        key_batches.add(self.policy, batcher, key_records.intent("b"), 0.0)
        assert find(self.policy, batcher, 0.0) is None
        key_batches.finish(batcher)
        assert find(self.policy, batcher, 0.0) == pytest.approx(0.1)

    def test_full_queue_refuses_only_intents(self):
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

    def test_batches_are_limited_in_items_and_bytes(self):
        policy = key_batches.BatchPolicy(max_items=3, max_bytes=1000)
        batcher = key_batches.make_batcher(policy, 0.0)
        for body in (b"", b"", b"", b"x" * 2000, b""):
            item = key_records.outcome("a", body)
            key_batches.add(policy, batcher, item, 0.0)
        taken = [key_batches.take(policy, batcher, "b", 0.0) for _ in "123"]
        assert [len(batch.outcomes) for batch in taken] == [3, 1, 1]


class TestLimits:
    def test_old_attempt_and_wrong_clock_are_rejected(self):
        attempt = key_attempts.KeyedAttempt(key_records.attempt("a"), 0.0)
        assert key_attempts.may_still_send(attempt, 600.0)
        assert not key_attempts.may_still_send(attempt, 601.0)
        assert key_attempts.is_clock_trusted(100.0, 159.0)
        assert not key_attempts.is_clock_trusted(100.0, 161.0)
