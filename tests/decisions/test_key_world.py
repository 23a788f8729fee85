"""State machine of keyed calls: log order alone decides who sends."""

import collections
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import key_snapshots
from sycamorespool.decisions import keys
from sycamorespool import records
from tests.decisions import key_records

EXAMPLES = 20000 if os.environ.get("SOAK") else 150
FIND = (hypothesis.Phase.generate,)
RUN = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
OWNERS = ("o1", "o2")
ENDS = ("answer", "cut", "refused", "")


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
            key_records.call(name, digest), 0.0
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
        if (
            keys.rule(self.owners[owner], asker, key_records.HOUR_S)
            == "append"
        ):
            item = key_records.intent(asker.attempt_id, digest=asker.digest)
            self.append(key_records.as_batch(item), held)
        if fresh:
            self.deliver(number, owner, fresh)

    @stateful.precondition(lambda self: len(self.attempts) < 4)
    @stateful.rule(owner=st.sampled_from(OWNERS), end=st.sampled_from(ENDS))
    def hurry(self, owner, end):
        number = len(self.attempts)
        self.begin("d")
        self.submit(number, owner, held=False, fresh=True)
        self.send(number, end, held=False)

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
            keys.apply(state, state.offset + 1, record, key_records.HOUR_S)
        return None

    def restart(self, owner):
        entries = [
            records.LogEntry(offset, record)
            for offset, record in enumerate(self.log)
            if offset >= self.first_offset
        ]
        self.owners[owner] = key_snapshots.restore(
            entries, self.first_offset, key_records.HOUR_S
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
        record = key_snapshots.make_record(state, "s", key_records.HOUR_S)
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
        return keys.rule(state, asker, key_records.HOUR_S)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        end=st.sampled_from(ENDS),
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
            self.append(
                key_records.as_batch(key_records.outcome(name, name.encode())),
                held,
            )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        held=st.booleans(),
        lost=st.booleans(),
        patience=st.integers(0, 1),
    )
    def give_up(self, number, held, lost, patience):
        attempt = self.live(number, "give_up")
        if attempt is None or patience:
            return
        key_attempts.advance(attempt, key_attempts.Event.GIVE_UP)
        self.said_not_run.add(attempt.call.attempt_id)
        if not lost:
            self.append(
                key_records.as_batch(
                    key_records.withdrawal(attempt.call.attempt_id)
                ),
                held,
            )

    @stateful.precondition(lambda self: self.log)
    @stateful.rule(owner=st.sampled_from(OWNERS), patience=st.integers(0, 2))
    def settle(self, owner, patience):
        if patience:
            return
        for _, _, key in keys.list_open(self.owners[owner]):
            self.dead.add(key.attempt_id)
            has_run = self.runs[key.attempt_id]
            resolution = "ran" if has_run else "not_run"
            self.log.append(key_records.settled(key.attempt_id, resolution))

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
                World,
                settings=hypothesis.settings(
                    RUN, max_examples=4000, phases=FIND
                ),
            )
