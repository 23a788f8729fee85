"""Tests of how the parts of prompts are found on which servers end."""

import collections

import pytest

from sycamorespool.decisions.faults import fatal_traits
from tests.decisions import fatal_trait_world

FATAL = "bad"


def end(number, *prompts):
    return fatal_traits.ServerEnd(f"i-{number}", 1, frozenset(prompts))


def note_ends(state, *prompts, at_s=1.0):
    for number, prompt in enumerate(prompts):
        fatal_traits.note_end(state, end(number, prompt), at_s)


def list_held(state, parts, now_s):
    return [p for p in parts if state.find_block_end_s((p,), now_s)]


class TestSuspects:
    def test_part_is_held_after_two_ends_and_blocked_after_three(self):
        state = fatal_traits.FatalTraits()
        note_ends(state, ("aa", FATAL, "1"), ("cc", FATAL, "2"))
        fatal_traits.review(state, 1.0)
        assert state.find_block_end_s(("dd", FATAL, "9"), 1.1) == 2.5
        assert state.find_block_end_s(("aa", "9"), 1.1) is None
        note_ends(
            state, ("aa", FATAL, "1"), ("cc", FATAL, "2"), ("dd", FATAL, "3")
        )
        assert fatal_traits.review(state, 2.0).blocked == []
        fatal_traits.review(state, 3.4)
        assert state.find_block_end_s((FATAL,), 3.4) is not None
        assert fatal_traits.review(state, 3.5).blocked == [FATAL]
        block_end_s = state.find_block_end_s((FATAL,), 4.0)
        assert block_end_s == 3.5 + fatal_traits.BLOCK_S

    def test_repeats_of_one_request_suspect_only_its_own_part(self):
        state = fatal_traits.FatalTraits()
        note_ends(state, *[("aa", "cc", "own")] * 4)
        fatal_traits.review(state, 1.0)
        fatal_traits.review(state, 2.5)
        assert list_held(state, ("aa", "cc", "own"), 2.6) == ["own"]

    def test_requests_beside_a_fatal_one_are_not_suspected(self):
        state = fatal_traits.FatalTraits()
        for number in range(5):
            others = [("aa", f"{number}"), ("cc", f"x{number}")]
            seen = end(number, ("dd", FATAL, f"y{number}"), *others)
            fatal_traits.note_end(state, seen, 1.0)
        fatal_traits.review(state, 1.0)
        assert list_held(state, ("aa", "cc", "dd", FATAL), 1.1) == [FATAL]

    def test_two_fatal_parts_are_both_found(self):
        state = fatal_traits.FatalTraits()
        prompts = [(f"a{n}", f"bad{n % 2}", f"{n}") for n in range(8)]
        note_ends(state, *prompts)
        fatal_traits.review(state, 1.0)
        found = list_held(state, ("a0", "a1", "bad0", "bad1"), 1.1)
        assert found == ["bad0", "bad1"]

    @pytest.mark.parametrize("is_own", [True, False])
    def test_part_that_was_served_lately_is_not_suspected(self, is_own):
        state = fatal_traits.FatalTraits()
        if is_own:
            fatal_traits.note_served(state, ("aa", "7"), 1.0)
        else:
            fatal_traits.note_reported_served(state, "aa", 1.0)
        note_ends(state, ("aa", "1"), ("aa", "2"), ("aa", "3"), at_s=2.0)
        fatal_traits.review(state, 2.0)
        fatal_traits.review(state, 9.0)
        assert state.find_block_end_s(("aa",), 9.0) is None

    def test_part_that_others_may_suspect_is_reported_once(self):
        state = fatal_traits.FatalTraits()
        fatal_traits.note_served(state, ("aa", "7"), 1.0)
        note_ends(state, ("aa", "1"), ("aa", "2"), at_s=2.0)
        assert fatal_traits.review(state, 2.0).served == ["aa"]
        fatal_traits.note_reported_served(state, "aa", 1.0)
        assert fatal_traits.review(state, 2.1).served == []

    def test_report_of_another_entry_ends_a_hold(self):
        state = fatal_traits.FatalTraits()
        note_ends(state, ("aa", "1"), ("aa", "2"), ("aa", "3"))
        fatal_traits.review(state, 1.0)
        assert state.find_block_end_s(("aa",), 1.1)
        fatal_traits.note_reported_served(state, "aa", 0.5)
        fatal_traits.review(state, 1.2)
        assert state.find_block_end_s(("aa",), 1.2) is None

    def test_ends_long_ago_do_not_count(self):
        state = fatal_traits.FatalTraits()
        note_ends(state, (FATAL, "1"), (FATAL, "2"))
        later_s = 2.0 + fatal_traits.WINDOW_S
        fatal_traits.note_end(state, end(9, (FATAL, "3")), later_s)
        fatal_traits.review(state, later_s)
        assert state.find_block_end_s((FATAL,), later_s) is None

    # Of two fatal and sound requests at the same ends, either may be chosen.
    def test_one_of_two_requests_at_the_same_ends_is_held_not_blocked(self):
        state = fatal_traits.FatalTraits()
        both = [("request:1",), ("request:2",)]
        for number in range(3):
            fatal_traits.note_end(state, end(number, *both), 1.0)
        for now_s in (1.0, 2.5, 4.0, 5.5):
            fatal_traits.review(state, now_s)
        assert list_held(state, ("request:1", "request:2"), 5.6) == [
            "request:2"
        ]
        assert not state.blocked_until_s
        fatal_traits.note_end(state, end(9, ("request:1",)), 6.0)
        for now_s in (6.0, 7.5):
            fatal_traits.review(state, now_s)
        assert set(state.blocked_until_s) == {"request:1"}

    # The ends are forgotten later, and servers would end anew.
    def test_request_that_is_held_for_long_is_blocked(self):
        state = fatal_traits.FatalTraits()
        both = [("request:1",), ("request:2",)]
        for number in range(3):
            fatal_traits.note_end(state, end(number, *both), 1.0)
        blocked = [
            fatal_traits.review(state, 1.0 + now_s).blocked
            for now_s in (0.0, 59.0, 60.0)
        ]
        assert blocked == [[], [], ["request:2"]]


class TestServedTraits:
    """Tests of what entries tell each other of served traits."""

    # The entry that knows more ends explains them by another trait.
    def test_trait_is_told_that_an_entry_with_fewer_ends_may_suspect(self):
        state = fatal_traits.FatalTraits()
        fatal_traits.note_served(state, ("aa", "7"), 1.0)
        prompts = [("aa", FATAL), ("aa", FATAL), ("cc", FATAL)]
        note_ends(state, *prompts, at_s=2.0)
        assert fatal_traits.review(state, 2.0).served == ["aa"]

    # A report takes the place of the one before.
    def test_report_repeats_what_other_reports_told(self):
        state = fatal_traits.FatalTraits()
        fatal_traits.note_reported_served(state, "aa", 1.0)
        note_ends(state, ("aa", "bb"), ("aa", "bb"), at_s=2.0)
        assert fatal_traits.review(state, 2.0).served == []
        fatal_traits.note_served(state, ("bb",), 3.0)
        assert sorted(fatal_traits.review(state, 3.5).served) == ["aa", "bb"]

    # What does not fit, or is not cleared, was told again and again.
    @pytest.mark.parametrize("count", [1, 2 * fatal_traits.MAX_REPORTED])
    def test_each_served_trait_is_told_once(self, count):
        state = fatal_traits.FatalTraits()
        parts = tuple(f"a{number}" for number in range(count))
        fatal_traits.note_served(state, ("cc", *parts), 1.0)
        note_ends(state, parts, parts, ("cc", "1"), at_s=2.0)
        for number in (7, 8):
            late = end(number, ("cc", f"{number}"))
            fatal_traits.note_end(state, late, 50.0)
        told = fatal_traits.review(state, 50.0).served
        assert len(told) == min(count, fatal_traits.MAX_REPORTED)
        for trait in told:
            fatal_traits.note_reported_served(state, trait, 1.0)
        assert fatal_traits.review(state, 50.1).served == []

    # Nothing was reported any more when an entry had started that knew the
    # ends, but not what had been served.
    def test_trait_that_is_served_after_the_ends_is_told_soon(self):
        state = fatal_traits.FatalTraits()
        note_ends(state, ("aa", "1"), ("aa", "2"))
        fatal_traits.review(state, 1.0)
        assert state.find_review_due_s() == float("inf")
        fatal_traits.note_served(state, ("aa",), 20.0)
        due_s = state.find_review_due_s()
        assert due_s == 20.0 + fatal_traits.RECHECK_S
        assert fatal_traits.review(state, due_s).served == ["aa"]
        assert state.find_review_due_s() == float("inf")


class TestBlocks:
    # An entry out of touch with the store blocked sound parts, as it had no
    # word of them, and told the others so later.
    def test_nothing_is_blocked_but_held_before_others_could_clear_it(self):
        state = fatal_traits.FatalTraits(heard_s=2.4)
        note_ends(state, ("aa", "1"), ("aa", "2"), ("aa", "3"))
        for now_s in (1.0, 2.5, 4.0, 5.5, 7.0):
            assert fatal_traits.review(state, now_s).blocked == []
            assert list_held(state, ("aa",), now_s) == ["aa"]
        state.heard_s = 7.5
        assert fatal_traits.review(state, 8.5).blocked == ["aa"]

    def test_block_of_another_entry_counts_and_ends(self):
        state = fatal_traits.FatalTraits()
        fatal_traits.note_block(state, FATAL, 50.0)
        assert state.find_block_end_s(("aa", FATAL, "1"), 49.0) == 50.0
        assert state.find_block_end_s(("aa", FATAL, "1"), 50.0) is None

    def test_lifted_block_needs_new_ends(self):
        state = fatal_traits.FatalTraits()
        note_ends(state, *[("aa", FATAL, f"{number}") for number in range(3)])
        fatal_traits.review(state, 1.0)
        assert fatal_traits.review(state, 3.0).blocked == [FATAL]
        fatal_traits.lift_block(state, FATAL, 10.0)
        # The ends accuse no other part of these prompts either.
        for now_s in (3.1, 9.0):
            fatal_traits.review(state, now_s)
            assert list_held(state, ("aa", FATAL), now_s) == []

    def test_state_is_bounded(self):
        state = fatal_traits.FatalTraits()
        for number in range(2 * fatal_traits.MAX_SERVED):
            fatal_traits.note_served(state, (f"{number}",), 1.0)
        for number in range(2 * fatal_traits.MAX_ENDS):
            fatal_traits.note_end(state, end(number, (f"{number}",)), 1.0)
        assert len(state.served_s) == fatal_traits.MAX_SERVED
        assert len(state.ends) == fatal_traits.MAX_ENDS


# Bounds that the users state: requests with the part that reach servers
# later than the stable window after the fifth end, and the least share of
# the sound requests with parts in common that begin.
MOST_AFTER = 3
STABLE_S = 3.0
LEAST_SOUND = 0.5


@pytest.mark.parametrize("entries", [8, 195])
class TestFleet:
    @pytest.mark.parametrize("fatal_per_s", [0.3, 2.0, 10.0])
    def test_fatal_part_is_blocked_and_sound_requests_run(
        self, entries, fatal_per_s
    ):
        world = fatal_trait_world.World(entries, seed=entries)
        world.run(10.0)
        world.fatal_per_s = fatal_per_s
        world.run(40.0)
        fifth_s = world.ended_s[:5][-1]
        late = [s for s in world.fatal_sent_s if s > fifth_s + STABLE_S]
        assert len(late) <= MOST_AFTER
        after = collections.Counter(
            outcome
            for sent_s, outcome in world.sound
            if sent_s > fifth_s + 2 * STABLE_S
        )
        assert after["begun"] > LEAST_SOUND * after.total()
        assert after["blocked"] <= 0.01 * after.total()
        assert world.list_blocked() == {fatal_trait_world.FATAL}

    def test_no_part_is_blocked_when_servers_end_by_themselves(self, entries):
        world = fatal_trait_world.World(entries, seed=entries)
        world.run(10.0)
        for _ in range(2):
            world.end_servers(world.heads // 3)
            world.run(6.0)
        outcomes = collections.Counter(outcome for _, outcome in world.sound)
        assert outcomes["blocked"] <= 0.01 * outcomes.total()
        assert world.list_blocked() == set()


class TestReportThatIsWrittenLate:
    # Review 3, its class: a report from before a block was lifted brought the
    # block back, or the ends on which it was made.
    def test_lifted_block_does_not_come_back(self):
        state = fatal_traits.FatalTraits()
        until_s = 5.0 + fatal_traits.BLOCK_S
        fatal_traits.note_block(state, FATAL, until_s)
        fatal_traits.lift_block(state, FATAL, 10.0)
        fatal_traits.note_block(state, FATAL, until_s)
        assert not list_held(state, (FATAL,), 11.0)
        fatal_traits.note_block(state, FATAL, until_s + 20.0)
        assert list_held(state, (FATAL,), 31.0) == [FATAL]

    def test_ends_from_before_the_lift_do_not_count(self):
        state = fatal_traits.FatalTraits()
        fatal_traits.lift_block(state, FATAL, 10.0)
        prompts = [("aa", FATAL, "1"), ("cc", FATAL, "2"), ("dd", FATAL, "3")]
        note_ends(state, *prompts, at_s=9.0)
        fatal_traits.review(state, 11.0)
        assert not list_held(state, (FATAL,), 11.0)
        note_ends(state, *prompts, at_s=9.0)
        state.ends.clear()
        note_ends(state, *prompts, at_s=12.0)
        fatal_traits.review(state, 12.0)
        assert list_held(state, (FATAL,), 12.1) == [FATAL]
