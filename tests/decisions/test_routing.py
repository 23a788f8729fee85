"""Tests of the choice of grants for requests, and of units to ask."""

import collections

import pytest

from sycamorespool.decisions import grant_book
from sycamorespool.decisions.placing import routing
from sycamorespool import models

UNIT = "domain/d"
TIERS = {"near": 0, "far": 1}


def make_book(*shapes):
    """Return a book of grants, each given as (group, data centre, places)."""
    book = grant_book.GrantBook("e1", 1)
    given = tuple(
        models.Grant(group_id, "a", 1, places, 2.0, "addr", data_centre)
        for group_id, data_centre, places in shapes
    )
    answer = models.GrantAnswer(UNIT, 0, given)
    grant_book.take_answer(book, answer, 0.0, 0.1)
    return book


def route(book, prefix=None, view=None, **fields):
    view = view or routing.CacheView()
    held = routing.choose(book, "a", prefix, view, TIERS, 1.0, **fields)
    return held.grant.group_id if held else None


class TestChoice:
    def test_near_data_centre_is_preferred_while_it_has_places(self):
        book = make_book(("g1", "near", 1), ("g2", "far", 9))
        assert route(book) == "g1"
        assert grant_book.acquire_place(book, "g1", 1.0)
        assert route(book) == "g2"

    def test_group_with_least_load_per_place_is_chosen(self):
        book = make_book(("g1", "near", 4), ("g2", "near", 10))
        book.in_flight["g1"] = 1
        book.in_flight["g2"] = 3
        assert route(book) == "g2"

    def test_excluded_full_or_expired_grant_is_not_chosen(self):
        book = make_book(("g1", "near", 1))
        assert route(book, excluded={"g1"}) is None
        assert route(book) == "g1"
        book.in_flight["g1"] = 1
        assert route(book) is None
        book = make_book(("g1", "near", 1))
        view = routing.CacheView()
        assert routing.choose(book, "a", 7, view, TIERS, 2.0) is None

    def test_prefix_keeps_its_replica_until_load_bound_is_reached(self):
        book = make_book(*((f"g{n}", "near", 8) for n in range(6)))
        home = route(book, 7)
        assert {route(book, 7) for _ in range(5)} == {home}
        book.in_flight[home] = 4
        assert route(book, 7) != home

    def test_known_holder_is_preferred_to_the_hashed_replica(self):
        book = make_book(*((f"g{n}", "near", 8) for n in range(6)))
        home = route(book, 7)
        other = next(f"g{n}" for n in range(6) if f"g{n}" != home)
        view = routing.CacheView()
        routing.note_stored(view, other, 7)
        assert route(book, 7, view) == other


class TestCacheEvents:
    @pytest.mark.parametrize(
        ("events", "holds"),
        [
            ([(1, 1, (7,), ())], True),
            ([(1, 1, (7,), ()), (1, 2, (), (7,))], False),
            ([(1, 1, (7,), ()), (1, 3, (), ())], False),
            ([(1, 1, (7,), ()), (2, 1, (), ())], False),
            ([(1, 2, (7,), ()), (1, 1, (), (7,))], True),
            ([(1, 1, (7,), ()), (1, 3, (7,), ())], True),
        ],
    )
    def test_late_events_are_ignored_and_gaps_invalidate(self, events, holds):
        view = routing.CacheView()
        for event in events:
            routing.take_event(view, routing.CacheEvent("g", *event))
        assert routing.find_holders(view, 7) == ({"g"} if holds else set())

    def test_number_of_prefixes_and_holders_is_bounded(self, monkeypatch):
        monkeypatch.setattr(routing, "MAX_PREFIXES", 3)
        view = routing.CacheView()
        for prefix in range(9):
            routing.note_stored(view, "g", prefix)
        for group in range(9):
            routing.note_stored(view, f"g{group}", 8)
        assert list(view.holders) == [6, 7, 8]
        assert len(view.holders[8]) == routing.MAX_HOLDERS


class TestUnits:
    UNITS = {f"domain/{n}": f"dc{n % 6}" for n in range(138)}

    def choose(self, number, wanted=10):
        """Choose for an entry of one of 6 data centres in 2 regions."""
        home = number % 6
        region = [n for n in range(6) if n // 3 == home // 3]
        tiers = {f"dc{n}": int(n != home) for n in region}
        return routing.choose_units(f"e{number}", self.UNITS, tiers, wanted, 4)

    def test_few_units_are_all_asked(self):
        units = dict.fromkeys("abc", "dc")
        assert routing.choose_units("e", units, {}, 1, 1) == ["a", "b", "c"]

    def test_each_unit_is_asked_and_each_entry_asks_all_data_centres(self):
        asked = collections.Counter()
        for number in range(380):
            chosen = self.choose(number)
            centres = {self.UNITS[unit] for unit in chosen}
            assert len(centres) == 6
            asked.update(chosen)
        assert min(asked[unit] for unit in self.UNITS) >= 10

    def test_larger_demand_only_adds_units_up_to_the_limit(self):
        assert set(self.choose(1)) < set(self.choose(1, 40))
        assert len(self.choose(1, 10**6)) == routing.MAX_UNITS
