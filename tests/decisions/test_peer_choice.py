"""Tests of the choice of the entry to which a call is passed on."""

import collections
import random

from sycamorespool.decisions.placing import peer_choice
from sycamorespool.decisions import store_readers

REGION_OF = {"a": "east", "b": "east", "c": "west"}
ENTRIES = {
    f"e-{zone}{number}": store_readers.Entry(f"10.0.0.{number}:1", zone)
    for zone in REGION_OF
    for number in range(4)
}


def choose(fraction=0.5, regions=None, excluded=(), entries=ENTRIES):
    request = peer_choice.PeerRequest(
        "e-a0",
        "east",
        None if regions is None else frozenset(regions),
        set(excluded),
    )
    return peer_choice.choose(entries, REGION_OF, request, fraction)


class TestChoose:
    def test_calls_spread_evenly_over_the_own_region(self):
        rng = random.Random(1)
        chosen = collections.Counter(choose(rng.random()) for _ in range(7000))
        assert len(chosen) == 7
        assert all(name[2] in "ab" for name in chosen)
        assert max(chosen.values()) < 1.2 * 1000

    def test_entry_does_not_choose_itself_or_an_excluded_one(self):
        others = set(ENTRIES) - {"e-a0", "e-b1"}
        assert choose(excluded=others) == "e-b1"

    def test_other_region_is_used_if_it_may_handle_the_call(self):
        near = [name for name in ENTRIES if name[2] in "ab"]
        assert choose(excluded=near).startswith("e-c")
        assert choose(excluded=near, regions=["west"]).startswith("e-c")
        assert choose(excluded=near, regions=["east"]) is None
        assert choose(excluded=near, regions=[]) is None

    # An entry of the own region went before those of the call's regions.
    def test_regions_of_the_call_go_before_the_own_one(self):
        for fraction in (0.0, 0.5, 0.99):
            assert choose(fraction, regions=["west"]).startswith("e-c")
            assert choose(fraction, regions=["east", "west"])[2] in "ab"
        far = [name for name in ENTRIES if name[2] == "c"]
        assert choose(excluded=far, regions=["west"])[2] in "ab"

    def test_no_entry_is_chosen_if_there_is_no_other(self):
        assert choose(entries={"e-a0": ENTRIES["e-a0"]}) is None
