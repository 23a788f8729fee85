"""Tests of the idempotency keys: log order alone decides who sends."""

import collections
import os

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import key_batches
from sycamorespool.decisions import key_snapshots
from sycamorespool.decisions import keys
from sycamorespool import exceptions
from sycamorespool import records

EXAMPLES = 20000 if os.environ.get("SOAK") else 300
FIND = (Phase.generate,)
RUN = settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
HOUR_S = 3600.0
ENTRIES = ("e1", "e2")
OWNERS = ("o1", "o2")


def call(attempt_id, digest="d"):
    return keys.Call("w", "k", digest, attempt_id)


def intent(attempt_id, entry="e1", at_unix_s=1.0, digest="d"):
    return records.KeyIntent("w", "k", digest, attempt_id, entry, at_unix_s)


def outcome(attempt_id, body=b"ok"):
    return records.KeyOutcome("w", "k", attempt_id, 200, "text/plain", body)


def withdrawal(attempt_id):
    return records.KeyWithdrawal("w", "k", attempt_id)


def replay(*items, window_s=HOUR_S):
    state = keys.PartitionState()
    for offset, item in enumerate(items):
        record = item
        if not isinstance(item, records.KeySettled):
            record = as_batch(item)
        keys.apply(state, offset, record, window_s)
    return state


def as_batch(item):
    return key_batches.take(
        key_batches.BatchPolicy(),
        key_batches.Batcher(1.0, pending=collections.deque([item])),
        "b",
        0.0,
    )


def settled(attempt_id, resolution):
    return records.KeySettled("s", "w", "k", attempt_id, resolution)


class TestRulings:
    @pytest.mark.parametrize(
        ("log", "asker", "ruling"),
        [
            ((), call("a"), "append"),
            ((intent("a"),), call("a"), "send"),
            ((intent("a"),), call("b"), "in_progress"),
            ((intent("a"),), call("b", "x"), "mismatch"),
            ((intent("a"), outcome("a")), call("b"), "repeat"),
            ((intent("a"), outcome("a")), call("b", "x"), "mismatch"),
            ((intent("a"), outcome("b")), call("a"), "send"),
            ((intent("a"), withdrawal("a")), call("a"), "withdrawn"),
            ((intent("a"), withdrawal("a")), call("b"), "append"),
            ((intent("a"), withdrawal("b")), call("c"), "in_progress"),
            ((withdrawal("a"), intent("a")), call("a"), "withdrawn"),
            ((withdrawal("a"), intent("a")), call("b"), "append"),
            ((intent("a"), settled("a", "ran")), call("b"), "settled_ran"),
            ((intent("a"), settled("a", "not_run")), call("a"), "settled_"),
            ((intent("a"), settled("b", "ran")), call("a"), "send"),
        ],
    )
    def test_log_order_rules(self, log, asker, ruling):
        assert keys.rule(replay(*log), asker, HOUR_S).startswith(ruling)

    def test_outcome_after_settlement_is_a_contradiction(self):
        state = replay(intent("a"), settled("a", "not_run"), outcome("a"))
        assert state.contradictions == 1
        assert keys.rule(state, call("b"), HOUR_S) == "settled_not_run"


class TestWindow:
    def replay_stamps(self, *stamps):
        others = [
            records.KeyIntent("w", f"k{n}", "d", f"x{n}", entry, at_unix_s)
            for n, (entry, at_unix_s) in enumerate(stamps)
        ]
        return replay(intent("a"), outcome("a"), *others)

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
        assert keys.rule(state, call("b"), HOUR_S) == ruling
        assert keys.prune(state, HOUR_S) == (ruling == "append")

    def test_open_key_never_ends(self):
        state = replay(intent("a"), intent("b", "e2", 1e6), intent("c", "e3"))
        keys.prune(state, HOUR_S)
        assert keys.rule(state, call("d"), HOUR_S) == "in_progress"
        assert [key for _, key, _ in keys.list_open(state)] == ["k"]

    def test_window_runs_from_the_last_change(self):
        late = settled("a", "ran")
        items = (intent("a"), intent("b", "e2", 1e6), late)
        state = replay(*items, intent("c", "e3", 1e6 + 60))
        assert keys.rule(state, call("d"), HOUR_S) == "settled_ran"


class TestSnapshots:
    def entries(self, *log):
        return [records.LogEntry(offset, record) for offset, record in log]

    def test_snapshot_that_covers_most_is_taken(self):
        old = replay(intent("a"))
        new = replay(intent("a"), outcome("a"))
        log = self.entries(
            (2, key_snapshots.make_record(new, "n", HOUR_S)),
            (3, key_snapshots.make_record(old, "o", HOUR_S)),
        )
        state = key_snapshots.restore(log, 2, HOUR_S)
        assert state.keys == new.keys
        assert keys.rule(state, call("b"), HOUR_S) == "repeat"

    def test_expired_records_without_snapshot_are_refused(self):
        old = key_snapshots.make_record(replay(intent("a")), "o", HOUR_S)
        log = self.entries((4, old), (5, as_batch(intent("b"))))
        with pytest.raises(exceptions.KeyHistoryLost):
            key_snapshots.restore(log, 4, HOUR_S)
        malformed = self.entries((4, records.Snapshot("x", 4, {"rows": 1})))
        with pytest.raises(exceptions.KeyHistoryLost):
            key_snapshots.restore(malformed, 4, HOUR_S)


class TestBatches:
    policy = key_batches.BatchPolicy(
        partitions=10, appends_per_s=100.0, burst=1.0, max_pending=2
    )

    def test_appends_keep_the_rate(self):
        batcher = key_batches.make_batcher(self.policy, 0.0)
        key_batches.add(self.policy, batcher, intent("a"))
        find = key_batches.find_append_time
        assert find(self.policy, batcher, 0.0) == 0.0
        batch = key_batches.take(self.policy, batcher, "b", 0.0)
        key_batches.add(self.policy, batcher, intent("b"))
        assert find(self.policy, batcher, 0.0) is None
        key_batches.finish(batcher, batch, is_appended=True)
        assert find(self.policy, batcher, 0.0) == pytest.approx(0.1)

    def test_failed_append_refuses_intents_and_keeps_outcomes(self):
        batcher = key_batches.make_batcher(self.policy, 0.0)
        for item in (outcome("a"), intent("b")):
            assert key_batches.add(self.policy, batcher, item)
        assert not key_batches.add(self.policy, batcher, intent("c"))
        assert key_batches.add(self.policy, batcher, withdrawal("c"))
        batch = key_batches.take(self.policy, batcher, "b", 0.0)
        refused = key_batches.finish(batcher, batch, is_appended=False)
        assert refused == (intent("b"),)
        assert list(batcher.pending) == [outcome("a"), withdrawal("c")]


class TestClocks:
    def test_late_sender_and_wrong_clock_are_stopped(self):
        attempt = key_attempts.KeyedAttempt(call("a"), 0.0)
        assert key_attempts.is_in_time(attempt, 600.0)
        assert not key_attempts.is_in_time(attempt, 601.0)
        assert key_attempts.is_clock_trusted(100.0, 159.0)
        assert not key_attempts.is_clock_trusted(100.0, 161.0)


class World(stateful.RuleBasedStateMachine):
    """Entries, two owners at once, a log with lost answers, one key.

    Every step of a call is a rule of its own, so an entry dies and an
    owner pauses between any two of them.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.first_offset = 0
        self.covered = 0
        self.held = []
        self.owners = {name: keys.PartitionState() for name in OWNERS}
        self.attempts = {}
        self.dead = set()
        self.runs = collections.Counter()
        self.said_not_run = set()
        self.kept = set()

    def pick(self, number):
        return list(self.attempts.values())[number % len(self.attempts)]

    def append(self, item, held):
        if held:
            self.held.append(item)
        else:
            self.log.append(item)

    def live(self, number, event):
        able = [
            attempt
            for name, attempt in self.attempts.items()
            if name not in self.dead and key_attempts.can(attempt, event)
        ]
        return able[number % len(able)] if able else None

    @stateful.precondition(lambda self: len(self.attempts) < 4)
    @stateful.rule(digest=st.sampled_from("ddddx"))
    def begin(self, digest):
        name = f"a{len(self.attempts)}"
        self.attempts[name] = key_attempts.KeyedAttempt(
            call(name, digest), 0.0
        )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        owner=st.sampled_from(OWNERS),
        held=st.booleans(),
        fresh=st.booleans(),
    )
    def submit(self, number, owner, held, fresh):
        if fresh:
            self.follow(owner, len(self.log))
        asker = self.pick(number).call
        if keys.rule(self.owners[owner], asker, HOUR_S) == "append":
            item = intent(asker.attempt_id, digest=asker.digest)
            self.append(as_batch(item), held)
        if fresh:
            self.deliver(number, owner, fresh)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(number=st.integers(0, 2), again=st.booleans())
    def land(self, number, again):
        number %= len(self.held)
        self.log.append(self.held[number])
        if not again:
            del self.held[number]

    def follow(self, owner, count):
        state = self.owners[owner]
        if state.offset + 1 < self.first_offset:
            return self.restart(owner)
        for record in self.log[state.offset + 1 :][:count]:
            keys.apply(state, state.offset + 1, record, HOUR_S)
        return None

    def restart(self, owner):
        entries = [
            records.LogEntry(offset, record)
            for offset, record in enumerate(self.log)
            if offset >= self.first_offset
        ]
        self.owners[owner] = key_snapshots.restore(
            entries, self.first_offset, HOUR_S
        )

    @stateful.precondition(lambda self: self.log)
    @stateful.rule(
        owner=st.sampled_from(OWNERS),
        count=st.integers(0, 3),
        expire=st.booleans(),
    )
    def snapshot(self, owner, count, expire):
        self.follow(owner, count)
        state = self.owners[owner]
        record = key_snapshots.make_record(state, "s", HOUR_S)
        self.log.append(record)
        self.covered = max(self.covered, state.offset + 1)
        if expire:
            self.first_offset = self.covered
            self.restart(owner)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        owner=st.sampled_from(OWNERS),
        fresh=st.booleans(),
    )
    def deliver(self, number, owner, fresh):
        if fresh:
            self.follow(owner, len(self.log))
        attempt = self.pick(number)
        ruling = self.rule(self.owners[owner], attempt.call)
        may_clear = key_attempts.can(attempt, "clear")
        if ruling == "send" and may_clear:
            key_attempts.advance(attempt, key_attempts.Event.CLEAR)
        if ruling == "mismatch" and key_attempts.can(attempt, "give_up"):
            key_attempts.advance(attempt, key_attempts.Event.GIVE_UP)
            self.said_not_run.add(attempt.call.attempt_id)
        if ruling == "repeat":
            state = self.owners[owner].keys["w", "k"]
            self.kept.add(state.outcome.body)
        if ruling == "settled_not_run":
            self.said_not_run.update(self.attempts)

    def rule(self, state, asker):
        return keys.rule(state, asker, HOUR_S)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        end=st.sampled_from(["answer", "cut", "refused", ""]),
        held=st.booleans(),
    )
    def send(self, number, end, held):
        attempt = self.live(number, "send")
        if attempt is None:
            return
        name = attempt.call.attempt_id
        key_attempts.advance(attempt, key_attempts.Event.SEND)
        if end != "refused":
            self.runs[name] += 1
        if end:
            key_attempts.advance(attempt, key_attempts.Event(end))
        if end == "answer":
            self.append(as_batch(outcome(name, name.encode())), held)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        held=st.booleans(),
        lost=st.booleans(),
        patience=st.integers(0, 2),
    )
    def give_up(self, number, held, lost, patience):
        attempt = self.live(number, "give_up")
        if attempt is None or patience:
            return
        key_attempts.advance(attempt, key_attempts.Event.GIVE_UP)
        self.said_not_run.add(attempt.call.attempt_id)
        if not lost:
            self.append(as_batch(withdrawal(attempt.call.attempt_id)), held)

    @stateful.precondition(lambda self: self.log)
    @stateful.rule(owner=st.sampled_from(OWNERS), patience=st.integers(0, 2))
    def settle(self, owner, patience):
        if patience:
            return
        for _, _, key in keys.list_open(self.owners[owner]):
            self.dead.add(key.attempt_id)
            has_run = self.runs[key.attempt_id]
            resolution = "ran" if has_run else "not_run"
            self.log.append(settled(key.attempt_id, resolution))

    @stateful.invariant()
    def key_runs_at_most_once(self):
        assert sum(self.runs.values()) <= 1

    @stateful.invariant()
    def kept_outcome_never_changes(self):
        assert len(self.kept) <= 1

    @stateful.invariant()
    def not_run_is_true(self):
        assert not any(self.runs[name] for name in self.said_not_run)

    @stateful.invariant()
    def replay_is_the_same_everywhere(self):
        one, other = self.owners.values()
        if one.offset == other.offset:
            assert one.keys == other.keys


def _rule_in_memory(state, asker, window_s):
    ruling = keys_rule(state, asker, window_s)
    return keys.Ruling.SEND if ruling == keys.Ruling.APPEND else ruling


def _rule_rerun(state, asker, window_s):
    ruling = keys_rule(state, asker, window_s)
    return keys.Ruling.SEND if ruling == keys.Ruling.IN_PROGRESS else ruling


def _last_intent_wins(state, item, window_s):
    state.keys.pop((item.workspace, item.key), None)
    apply_intent(state, item, window_s)


def _withdraw_any(state, record, _window_s):
    state.keys.pop((record.workspace, record.key), None)


def _dump_nothing(state):
    return dump(keys.PartitionState())


def _next_with(step, event, to):
    return {**next_steps, (step, event): to}


keys_rule = keys.rule
apply_intent = keys._apply_intent
dump = key_snapshots.dump
next_steps = key_attempts._NEXT
Step = key_attempts.Step
Event = key_attempts.Event

MECHANISMS = {
    "owner decides without the log": (keys, "rule", _rule_in_memory),
    "open intent is run again": (keys, "rule", _rule_rerun),
    "last intent wins": (keys, "_apply_intent", _last_intent_wins),
    "anyone withdraws": (keys, "_apply_withdrawal", _withdraw_any),
    "snapshot forgets": (key_snapshots, "dump", _dump_nothing),
    "withdrawn attempt may send": (
        key_attempts,
        "_NEXT",
        _next_with(Step.WITHDRAWN, Event.SEND, Step.SENDING),
    ),
    "cut attempt may send again": (
        key_attempts,
        "_NEXT",
        _next_with(Step.SENDING, Event.CUT, Step.CLEARED),
    ),
}


class TestWorld:
    def test_promises_hold(self):
        stateful.run_state_machine_as_test(World, settings=RUN)

    @pytest.mark.parametrize("mechanism", MECHANISMS)
    def test_promises_fail_without(self, mechanism, monkeypatch):
        monkeypatch.setattr(*MECHANISMS[mechanism])
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                World, settings=settings(RUN, max_examples=4000, phases=FIND)
            )
