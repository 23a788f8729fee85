"""Tests keyed calls statefully: only log order decides which attempt sends.

Hypothesis generates sequences of steps and checks the invariants after each
step.  A second test injects one fault at a time and expects a violation.
"""

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
FIND_ONLY = (hypothesis.Phase.generate,)
RUN_SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
OWNERS = ("o1", "o2")
ENDS = ("answer", "cut", "refused", "")


class KeyedCallMachine(stateful.RuleBasedStateMachine):
    """Simulates entries, two owners at once and a log that loses answers.

    All attempts use one key.  Every step of a call is a separate rule, so
    that an entry can die and an owner can pause between any two steps.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.first_offset = 0
        self.snapshot_end = 0
        self.delayed = []
        self.owners = {name: keys.PartitionState() for name in OWNERS}
        self.attempts = {}
        self.dead_attempts = set()
        self.runs = collections.Counter()
        self.reported_not_run = set()
        self.repeated_answers = set()

    def pick_attempt(self, number):
        return list(self.attempts.values())[number % len(self.attempts)]

    def append(self, item, delayed):
        if delayed:
            self.delayed.append(item)
        else:
            self.log.append(item)

    def pick_live_attempt(self, number, event):
        allowed = [
            attempt
            for name, attempt in self.attempts.items()
            if name not in self.dead_attempts
            and key_attempts.is_allowed(attempt, event)
        ]
        return allowed[number % len(allowed)] if allowed else None

    @stateful.precondition(lambda self: len(self.attempts) < 4)
    @stateful.rule(digest=st.sampled_from("ddddx"))
    def begin_attempt(self, digest):
        name = f"a{len(self.attempts)}"
        self.attempts[name] = key_attempts.KeyedAttempt(
            key_records.attempt(name, digest), 0.0
        )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        owner=st.sampled_from(OWNERS),
        delayed=st.booleans(),
        catch_up_first=st.booleans(),
    )
    def append_intent(self, number, owner, delayed, catch_up_first):
        if catch_up_first:
            self.catch_up(owner, len(self.log))
        identity = self.pick_attempt(number).identity
        if (
            keys.decide(self.owners[owner], identity, key_records.HOUR_S)
            == "append"
        ):
            item = key_records.intent(
                identity.attempt_id, digest=identity.digest
            )
            self.append(key_records.as_batch(item), delayed)
        if catch_up_first:
            self.receive_decision(number, owner, catch_up_first)

    @stateful.precondition(lambda self: len(self.attempts) < 4)
    @stateful.rule(owner=st.sampled_from(OWNERS), end=st.sampled_from(ENDS))
    def run_whole_call(self, owner, end):
        number = len(self.attempts)
        self.begin_attempt("d")
        self.append_intent(number, owner, delayed=False, catch_up_first=True)
        self.send_call(number, end, delayed=False)

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(number=st.integers(0, 2), keep_copy=st.booleans())
    def deliver_delayed_record(self, number, keep_copy):
        number %= len(self.delayed)
        self.log.append(self.delayed[number])
        if not keep_copy:
            del self.delayed[number]

    def catch_up(self, owner, count):
        state = self.owners[owner]
        if state.offset + 1 < self.first_offset:
            return self.restart_owner(owner)
        for record in self.log[state.offset + 1 :][:count]:
            keys.apply(state, state.offset + 1, record, key_records.HOUR_S)
        return None

    def restart_owner(self, owner):
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
    def append_snapshot(self, owner, count, expire):
        self.catch_up(owner, count)
        state = self.owners[owner]
        record = key_snapshots.make_record(state, "s", key_records.HOUR_S)
        self.log.append(record)
        self.snapshot_end = max(self.snapshot_end, state.offset + 1)
        if expire:
            self.first_offset = self.snapshot_end
            self.restart_owner(owner)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        owner=st.sampled_from(OWNERS),
        catch_up_first=st.booleans(),
    )
    def receive_decision(self, number, owner, catch_up_first):
        if catch_up_first:
            self.catch_up(owner, len(self.log))
        attempt = self.pick_attempt(number)
        decision = self.decide(self.owners[owner], attempt.identity)
        may_clear = key_attempts.is_allowed(attempt, "clear")
        if decision == "send" and may_clear:
            key_attempts.advance(attempt, key_attempts.Event.CLEAR)
        if decision == "mismatch" and key_attempts.is_allowed(
            attempt, "give_up"
        ):
            key_attempts.advance(attempt, key_attempts.Event.GIVE_UP)
            self.reported_not_run.add(attempt.identity.attempt_id)
        if decision == "repeat":
            state = self.owners[owner].keys["w", "k"]
            self.repeated_answers.add(state.outcome.body)
        if decision == "settled_not_run":
            self.reported_not_run.update(self.attempts)

    def decide(self, state, identity):
        return keys.decide(state, identity, key_records.HOUR_S)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        end=st.sampled_from(ENDS),
        delayed=st.booleans(),
    )
    def send_call(self, number, end, delayed):
        attempt = self.pick_live_attempt(number, "send")
        if attempt is None:
            return
        name = attempt.identity.attempt_id
        key_attempts.advance(attempt, key_attempts.Event.SEND)
        if end != "refused":
            self.runs[name] += 1
        if end:
            key_attempts.advance(attempt, key_attempts.Event(end))
        if end == "answer":
            self.append(
                key_records.as_batch(key_records.outcome(name, name.encode())),
                delayed,
            )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        number=st.integers(0, 2),
        delayed=st.booleans(),
        withdrawal_lost=st.booleans(),
        skip=st.integers(0, 1),
    )
    def give_up(self, number, delayed, withdrawal_lost, skip):
        attempt = self.pick_live_attempt(number, "give_up")
        if attempt is None or skip:
            return
        key_attempts.advance(attempt, key_attempts.Event.GIVE_UP)
        self.reported_not_run.add(attempt.identity.attempt_id)
        if not withdrawal_lost:
            self.append(
                key_records.as_batch(
                    key_records.withdrawal(attempt.identity.attempt_id)
                ),
                delayed,
            )

    @stateful.precondition(lambda self: self.log)
    @stateful.rule(owner=st.sampled_from(OWNERS), skip=st.integers(0, 2))
    def resolve_open_keys(self, owner, skip):
        if skip:
            return
        for _, _, key in keys.list_open(self.owners[owner]):
            self.dead_attempts.add(key.attempt_id)
            has_run = self.runs[key.attempt_id]
            resolution = "ran" if has_run else "not_run"
            self.log.append(key_records.resolved(key.attempt_id, resolution))

    @stateful.invariant()
    def key_runs_at_most_once(self):
        assert sum(self.runs.values()) <= 1

    @stateful.invariant()
    def repeated_answer_never_changes(self):
        assert len(self.repeated_answers) <= 1

    @stateful.invariant()
    def attempt_reported_not_run_did_not_run(self):
        assert not any(self.runs[name] for name in self.reported_not_run)

    @stateful.invariant()
    def owners_at_the_same_offset_agree(self):
        one, other = self.owners.values()
        if one.offset == other.offset:
            assert one.keys == other.keys


def _decide_without_log(state, identity, window_s):
    decision = original_decide(state, identity, window_s)
    return keys.Decision.SEND if decision == keys.Decision.APPEND else decision


def _decide_to_rerun(state, identity, window_s):
    decision = original_decide(state, identity, window_s)
    return (
        keys.Decision.SEND
        if decision == keys.Decision.IN_PROGRESS
        else decision
    )


def _last_intent_wins(state, item, window_s):
    state.keys.pop((item.workspace, item.key), None)
    original_apply_intent(state, item, window_s)


def _accept_any_withdrawal(state, record, _window_s):
    state.keys.pop((record.workspace, record.key), None)


def _dump_empty_state(state):
    return original_dump(keys.PartitionState())


def _transitions_with(state, event, next_state):
    return {**original_transitions, (state, event): next_state}


original_decide = keys.decide
original_apply_intent = keys._apply_intent
original_dump = key_snapshots.dump
original_transitions = key_attempts._TRANSITIONS
State = key_attempts.State
Event = key_attempts.Event

FAULTS = {
    "owner decides without the log": (keys, "decide", _decide_without_log),
    "open intent is run again": (keys, "decide", _decide_to_rerun),
    "last intent wins": (keys, "_apply_intent", _last_intent_wins),
    "any withdrawal frees the key": (
        keys,
        "_apply_withdrawal",
        _accept_any_withdrawal,
    ),
    "snapshot loses the keys": (key_snapshots, "dump", _dump_empty_state),
    "withdrawn attempt may send": (
        key_attempts,
        "_TRANSITIONS",
        _transitions_with(State.WITHDRAWN, Event.SEND, State.SENDING),
    ),
    "cut attempt may send again": (
        key_attempts,
        "_TRANSITIONS",
        _transitions_with(State.SENDING, Event.CUT, State.CLEARED),
    ),
}


class TestInvariants:
    def test_invariants_hold(self):
        stateful.run_state_machine_as_test(
            KeyedCallMachine, settings=RUN_SETTINGS
        )

    @pytest.mark.parametrize("fault", FAULTS)
    def test_injected_fault_violates_an_invariant(self, fault, monkeypatch):
        monkeypatch.setattr(*FAULTS[fault])
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                KeyedCallMachine,
                settings=hypothesis.settings(
                    RUN_SETTINGS, max_examples=4000, phases=FIND_ONLY
                ),
            )
