"""Tests of how the entries keep the limits that servers name."""

import random

import pytest

from sycamorespool.decisions.placing import server_limits

WINDOW_S = 4.0
TTL_S = 2.4
JOIN_PERIOD_S = 0.8
PARTITIONS = tuple((f"t-{n}", part) for n in range(16) for part in range(12))
LIMITS_PER_S = [0.1, 0.5, 1.3, 3.0, 10.0, 30.0, 100.0]


class Fleet:
    """Entries to which a store assigns partitions, and that send greedily."""

    def __init__(self, entries, per_s, seed=1):
        self.rng = random.Random(f"{entries}/{per_s}/{seed}")
        self.per_s = per_s
        self.now_s = 0.0
        self.names = []
        self.states = {}
        self.held = {}
        self.joined_s = {}
        self.cut = set()
        self.sent_s = []
        for _ in range(entries):
            self.add()
        self.deal()
        self.run(10.0)
        for name in self.names:
            self.tell(name)

    def add(self):
        name = f"e-{len(self.states)}"
        self.names.append(name)
        self.states[name] = server_limits.ServerLimits(PARTITIONS)
        self.joined_s[name] = self.now_s - self.rng.uniform(0, JOIN_PERIOD_S)
        return name

    def tell(self, name, per_s=None, started_ms=1):
        answer = server_limits.Answer(
            self.per_s if per_s is None else per_s, self.now_s
        )
        server_limits.note_answer(
            self.states[name], "i", started_ms, answer, self.now_s
        )

    def deal(self):
        """Divide all partitions anew among the entries that are not cut."""
        live = [name for name in self.names if name not in self.cut]
        parts = list(PARTITIONS)
        self.rng.shuffle(parts)
        self.held = {
            name: frozenset(parts[n :: len(live)])
            for n, name in enumerate(live)
        }

    def join_due(self):
        for name in self.names:
            is_due = self.now_s - self.joined_s[name] >= JOIN_PERIOD_S
            if name not in self.cut and is_due:
                self.joined_s[name] = self.now_s
                server_limits.renew(
                    self.states[name],
                    self.held.get(name, frozenset()),
                    self.now_s,
                    TTL_S,
                    self.now_s,
                )

    def run(self, duration_s, step_s=0.05, senders=None):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += step_s
            self.join_due()
            self.check_parts()
            for name in self.names if senders is None else senders:
                state = self.states[name]
                if server_limits.find_limit(state, "i", 1) is None:
                    continue
                while not server_limits.find_wait_s(state, "i", 1, self.now_s):
                    server_limits.note_sent(state, "i", self.now_s)
                    self.sent_s.append(self.now_s)

    def check_parts(self):
        """Check that the parts of all entries are no more than the limit."""
        parts_per_s = [
            server_limits.find_rate_per_s(state, "i", self.now_s)
            for state in self.states.values()
            if server_limits.find_limit(state, "i", 1) is not None
        ]
        assert sum(parts_per_s) <= self.per_s * 1.001
        shares = [
            server_limits.find_usable_share(state, self.now_s)
            for state in self.states.values()
        ]
        assert sum(shares) <= 1.001

    def count_most(self):
        times_s, most, first = self.sent_s, 0, 0
        for last, at_s in enumerate(times_s):
            while at_s - times_s[first] >= WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def assert_kept(self):
        assert self.count_most() <= 1.5 * self.per_s * WINDOW_S + 5


@pytest.mark.parametrize("entries", [1, 3, 8, 195])
@pytest.mark.parametrize("per_s", LIMITS_PER_S)
class TestFleet:
    def test_all_entries_together_keep_the_limit_and_use_it(
        self, entries, per_s
    ):
        fleet = Fleet(entries, per_s)
        fleet.run(24.0)
        fleet.assert_kept()
        assert len(fleet.sent_s) >= 0.7 * per_s * 24.0 - 3

    def test_limit_is_kept_after_all_buckets_are_full(self, entries, per_s):
        fleet = Fleet(entries, per_s)
        fleet.run(9.0, step_s=0.5, senders=())
        fleet.run(6.0)
        fleet.assert_kept()

    def test_limit_is_kept_while_partitions_are_dealt_anew(
        self, entries, per_s
    ):
        fleet = Fleet(entries, per_s)
        for _ in range(6):
            fleet.run(fleet.rng.uniform(0.5, 6.0))
            fleet.deal()
        fleet.assert_kept()

    def test_limit_is_kept_while_entries_come_and_are_cut_from_the_store(
        self, entries, per_s
    ):
        fleet = Fleet(entries, per_s)
        for _ in range(4):
            fleet.run(4.0)
            fleet.tell(fleet.add())
            fleet.deal()
            fleet.run(3.0)
            # The store gives their partitions to others once their time ends.
            fleet.cut = {
                name for name in fleet.names[1:] if fleet.rng.random() < 1 / 3
            }
            fleet.run(TTL_S)
            fleet.deal()
            fleet.run(3.0)
            fleet.cut = set()
            fleet.deal()
        fleet.run(4.0)
        fleet.assert_kept()

    def test_limit_is_kept_while_entries_freeze(self, entries, per_s):
        fleet = Fleet(entries, per_s)
        for _ in range(4):
            frozen = set(fleet.names[: entries // 2])
            fleet.cut = frozen
            awake = [name for name in fleet.names if name not in frozen]
            fleet.run(TTL_S, senders=awake)
            if awake:
                fleet.deal()
            fleet.run(2.0, senders=awake)
            # They wake, and learn of their loss only with the next call.
            fleet.run(JOIN_PERIOD_S)
            fleet.cut = set()
            fleet.deal()
            fleet.run(4.0)
        fleet.assert_kept()


@pytest.mark.parametrize("entries", [3, 8, 195])
def test_lower_limit_holds_at_once_and_a_higher_one_is_used(entries):
    fleet = Fleet(entries, 30.0)
    fleet.run(6.0)
    fleet.per_s, fleet.sent_s = 0.5, []
    for name in fleet.names:
        fleet.tell(name)
    fleet.run(9.0)
    fleet.assert_kept()
    fleet.per_s, fleet.sent_s = 30.0, []
    for name in fleet.names:
        fleet.tell(name)
    fleet.run(9.0)
    fleet.assert_kept()
    assert len(fleet.sent_s) >= 0.7 * 30.0 * 9.0


def make_state(now_s=0.0):
    state = server_limits.ServerLimits(PARTITIONS)
    server_limits.renew(state, set(PARTITIONS), now_s, 99.0, now_s)
    return state


def note(state, per_s, sent_s, started_ms=1, now_s=9.0):
    return server_limits.note_answer(
        state, "i", started_ms, server_limits.Answer(per_s, sent_s), now_s
    )


class TestAnswers:
    def test_server_without_a_limit_is_not_held_back(self):
        assert server_limits.find_wait_s(make_state(), "i", 1, 9.0) == 0.0

    def test_answer_without_a_limit_ends_it(self):
        state = make_state()
        assert note(state, 1.0, 1.0)
        assert note(state, None, 2.0)
        assert server_limits.find_limit(state, "i", 1) is None

    def test_answer_to_an_older_request_changes_nothing(self):
        state = make_state()
        note(state, 1.0, 2.0)
        assert not note(state, None, 1.0)
        assert server_limits.find_limit(state, "i", 1).per_s == 1.0

    def test_new_process_of_a_server_has_no_limit(self):
        state = make_state()
        note(state, 1.0, 2.0, started_ms=1)
        assert server_limits.find_limit(state, "i", 2) is None
        assert server_limits.find_wait_s(state, "i", 2, 9.0) == 0.0

    def test_late_answer_of_a_former_process_changes_nothing(self):
        state = make_state()
        note(state, 1.0, 2.0, started_ms=2)
        assert not note(state, None, 3.0, started_ms=1)
        assert server_limits.find_limit(state, "i", 2).per_s == 1.0

    def test_limit_of_nothing_is_asked_again_rarely(self):
        state = make_state()
        note(state, 0.0, 1.0, now_s=9.0)
        assert server_limits.find_wait_s(state, "i", 1, 9.0) == 10.0

    def test_orders_count(self):
        state = make_state()
        note(state, 1.0, 1.0, now_s=9.0)
        for _ in range(3):
            server_limits.note_sent(state, "i", 9.0)
        assert server_limits.find_wait_s(state, "i", 1, 9.0) == 4.0


class TestLease:
    def test_entry_without_partitions_may_not_send(self):
        state = server_limits.ServerLimits(PARTITIONS)
        note(state, 1.0, 1.0)
        assert server_limits.find_wait_s(state, "i", 1, 99.0) == float("inf")

    @pytest.mark.parametrize(("now_s", "waits"), [(12.3, False), (12.5, True)])
    def test_partitions_are_not_used_after_their_lease(self, now_s, waits):
        state = server_limits.ServerLimits(PARTITIONS)
        server_limits.renew(state, set(PARTITIONS), 0.0, TTL_S, 0.0)
        for joined_s in range(1, 11):
            server_limits.renew(
                state, set(PARTITIONS), joined_s, TTL_S, joined_s
            )
        note(state, 3.0, 1.0, now_s=9.0)
        wait_s = server_limits.find_wait_s(state, "i", 1, now_s)
        assert (wait_s > 0.0) is waits

    def test_released_partitions_are_not_used(self):
        state = make_state()
        note(state, 3.0, 1.0)
        server_limits.release(state)
        assert server_limits.find_wait_s(state, "i", 1, 20.0) == float("inf")


class TestReports:
    def limit(self, per_s=2.0):
        return server_limits.Limit(per_s, 1)

    def test_limit_of_another_entry_holds_here(self):
        state = make_state()
        server_limits.note_report(state, "i", self.limit(), 9.0)
        assert server_limits.find_limit(state, "i", 1).per_s == 2.0
        assert server_limits.list_unreported(state) == {}

    def test_end_of_a_limit_is_reported(self):
        state = make_state()
        server_limits.note_report(state, "i", self.limit(), 9.0)
        note(state, None, 9.5, now_s=9.6)
        assert server_limits.list_unreported(state) == {"i": None}
        server_limits.note_reported(state, {"i": None})
        assert server_limits.list_unreported(state) == {}

    def test_end_seen_by_another_entry_ends_it_here(self):
        state = make_state()
        server_limits.note_report(state, "i", self.limit(), 9.0)
        server_limits.note_report(state, "i", None, 9.5)
        assert server_limits.find_wait_s(state, "i", 1, 9.5) == 0.0

    @pytest.mark.parametrize(("per_s", "is_due"), [(2.1, False), (2.5, True)])
    def test_limit_that_differs_clearly_is_reported(self, per_s, is_due):
        state = make_state()
        server_limits.note_report(state, "i", self.limit(), 9.0)
        note(state, per_s, 9.5, now_s=9.6)
        assert ("i" in server_limits.list_unreported(state)) is is_due

    # The limit was forgotten, and its end reported to all, while a server's
    # registry entry had expired.
    def test_limit_outlasts_a_registry_entry_that_expires(self):
        state = make_state()
        server_limits.note_report(state, "i", self.limit(), 9.0)
        for known, now_s in [(set(), 10.0), (set(), 60.0), ({"i"}, 65.0)]:
            server_limits.forget_gone(state, known, now_s)
        for known, now_s in [(set(), 80.0), (set(), 130.0)]:
            server_limits.forget_gone(state, known, now_s)
        assert server_limits.find_limit(state, "i", 1).per_s == 2.0
        assert server_limits.list_unreported(state) == {}

    def test_server_that_left_is_reported_as_not_limited(self):
        state = make_state()
        server_limits.note_report(state, "i", self.limit(), 9.0)
        for now_s in (10.0, 10.0 + server_limits.GONE_KEEP_S):
            server_limits.forget_gone(state, set(), now_s)
        assert server_limits.list_unreported(state) == {"i": None}


class TestReportThatIsWrittenLate:
    # Review 3, its class: a late report ended or raised a limit that answers
    # to this entry had just named.
    def _see(self, per_s, started_ms=5):
        state = server_limits.ServerLimits(PARTITIONS)
        answer = server_limits.Answer(per_s, 50.0)
        server_limits.note_answer(state, "i", started_ms, answer, 50.1)
        return state

    @pytest.mark.parametrize(
        "report",
        [None, server_limits.Limit(9.0, 5), server_limits.Limit(1, 4)],
    )
    def test_it_does_not_hide_what_was_just_seen(self, report):
        state = self._see(2.0)
        server_limits.note_report(state, "i", report, 50.5)
        assert server_limits.find_limit(state, "i", 5).per_s == 2.0
        # Others are told again.
        assert "i" in server_limits.list_unreported(state)

    def test_lower_limit_holds_at_once(self):
        state = self._see(2.0)
        limit = server_limits.Limit(1.0, 5)
        server_limits.note_report(state, "i", limit, 50.5)
        assert server_limits.find_limit(state, "i", 5).per_s == 1.0

    def test_limit_that_was_not_seen_lately_ends_with_a_report(self):
        state = self._see(2.0)
        late_s = 50.0 + server_limits.SEEN_S
        server_limits.note_report(state, "i", None, late_s)
        assert server_limits.find_limit(state, "i", 5) is None

    def test_limit_of_a_former_process_does_not_come_back(self):
        state = self._see(2.0)
        limit = server_limits.Limit(1.0, 4)
        server_limits.note_report(state, "i", limit, 90.0)
        assert server_limits.find_limit(state, "i", 5).per_s == 2.0
