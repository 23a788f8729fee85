"""Tests of how whole requests are found on which servers end."""

import os

import pytest

from sycamorespool.decisions.faults import fatal_traits
from tests.decisions import fatal_request_world as worlds

PLAIN, ENGINES = worlds.PLAIN, worlds.ENGINES
SEEDS = range(1, 101) if "SOAK" in os.environ else (2,)
# Times that the users let each fatal request reach servers later than the
# stable window after its third end.
MOST_AFTER = 3
# Largest share of the attempts of sound requests that may be refused, over
# the whole play.
MOST_REFUSED = 0.01


def check(play, seed):
    world = worlds.run_play(play, seed)
    assert world.ends
    assert max(world.count_all_known_late()) <= MOST_AFTER
    sound = world.outcomes
    assert sound["blocked"] <= MOST_REFUSED * sound.total()


@pytest.mark.parametrize("seed", SEEDS)
class TestFleet:
    @pytest.mark.parametrize("fatal_per_s", [0.3, 2.0, 10.0])
    @pytest.mark.parametrize("identities", [1, 3, 8])
    @pytest.mark.parametrize("servers", [PLAIN, ENGINES], ids=["plain", "eng"])
    def test_fatal_requests_are_refused_and_sound_ones_run(
        self, servers, identities, fatal_per_s, seed
    ):
        check(worlds.Play(servers, 8, identities, fatal_per_s), seed)

    @pytest.mark.parametrize(
        ("servers", "identities", "fatal_per_s"),
        [(PLAIN, 1, 2.0), (PLAIN, 3, 10.0), (ENGINES, 1, 2.0)],
        ids=["plain-1", "plain-3", "eng-1"],
    )
    def test_many_entries_find_them_too(
        self, servers, identities, fatal_per_s, seed
    ):
        check(worlds.Play(servers, 195, identities, fatal_per_s), seed)


class TestSameEnds:
    """Tests of requests that were at the same ends as a fatal one."""

    @pytest.mark.parametrize(
        ("play", "seed"),
        [
            (worlds.Play(PLAIN, 8, 1, 2.0), 9),
            (worlds.Play(PLAIN, 8, 3, 2.0), 8),
            (worlds.Play(PLAIN, 195, 3, 10.0), 1),
            (worlds.Play(ENGINES, 8, 3, 2.0), 26),
        ],
        ids=["plain-1", "plain-3", "plain-195", "eng-3"],
    )
    def test_sound_request_is_not_taken_for_the_fatal_one(self, play, seed):
        check(play, seed)

    @pytest.mark.parametrize(
        ("play", "seed"),
        [
            (worlds.Play(PLAIN, 8, 3, 10.0), 19),
            (worlds.Play(PLAIN, 8, 3, 10.0), 94),
            (worlds.Play(PLAIN, 8, 8, 10.0), 13),
            (worlds.Play(ENGINES, 8, 8, 10.0), 24),
        ],
        ids=["plain-3-19", "plain-3-94", "plain-8", "eng-8"],
    )
    def test_second_fatal_request_is_not_hidden_by_the_first(self, play, seed):
        check(play, seed)

    @pytest.mark.parametrize("sound", ["request:00", "request:ff"])
    def test_block_of_a_sound_request_does_not_clear_the_fatal_one(
        self, sound
    ):
        state = fatal_traits.FatalTraits()
        fatal = ("request:77",)
        ends = [{fatal, (sound,)}] * 3 + [{fatal}]
        # The last end comes after the first block.
        for number, at_s in enumerate((0.0, 0.1, 0.2, 2.0)):
            fatal_traits.review(state, at_s)
            end = fatal_traits.ServerEnd(
                f"i-{number}", 1, frozenset(ends[number])
            )
            fatal_traits.note_end(state, end, at_s)
            fatal_traits.review(state, at_s)
        for now_s in (3.5, 5.0):
            fatal_traits.review(state, now_s)
        assert state.find_block_end_s(fatal, 5.0) is not None
