"""Tests of the grant ledger and the division of places."""

import pytest

from sycamorespool import configuration
from sycamorespool.decisions import fleet
from sycamorespool.decisions import grant_authority
from sycamorespool.decisions import grant_book
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import grants
from sycamorespool import models
from tests.decisions import samples


def make_ledger(*limits, now_s=0.0):
    ledger = grant_ledger.open_ledger(
        samples.UNIT, now_s, has_predecessor=False
    )
    for index, limit in enumerate(limits):
        account = grant_ledger.observe(
            ledger,
            samples.make_facts(f"g{index}"),
            samples.make_load(limit),
            samples.SERVICE,
            grant_authority.FULL,
            now_s,
        )
        account.lost.clear()
    return ledger


def ask(ledger, entry, wanted, now_s=0.1, in_flight=None, **fields):
    request = models.GrantAsk(
        entry,
        samples.UNIT,
        in_flight or {},
        {"a": wanted},
        asked_s=now_s,
        **fields,
    )
    answer = grants.answer(ledger, request, grant_authority.FULL, 0, now_s)
    return {grant.group_id: grant.places for grant in answer.grants}


class TestDivision:
    def test_scarce_places_go_to_designated_entries_only(self):
        ledger = make_ledger(2, 16, 16)
        names = [f"e{n}" for n in range(9)]
        for now_s in (0.1, 0.6, 1.1):
            fields = {"now_s": now_s, "taken_s": now_s - 0.01}
            given = {name: ask(ledger, name, 9, **fields) for name in names}
        cold = [got["g0"] for got in given.values() if "g0" in got]
        assert sum(cold) == 2
        assert len(cold) <= grants.MAX_DESIGNATED

    def test_places_are_divided_by_max_min_fairness(self):
        ledger = make_ledger(16)
        given = {}
        for now_s in (0.1, 0.6, 1.1, 1.6):
            for name, wanted in (("e1", 2), ("e2", 99), ("e3", 99)):
                got = ask(ledger, name, wanted, now_s, taken_s=now_s - 0.01)
                given[name] = got.get("g0", 0)
        assert given == {"e1": 2, "e2": 7, "e3": 7}

    def test_requests_in_flight_count_after_a_grant_has_shrunk(self):
        ledger = make_ledger(16)
        assert ask(ledger, "e1", 16) == {"g0": 16}
        later = {"now_s": 5.0, "taken_s": 4.0}
        observe_group(ledger, "g0", 5.0)
        ask(ledger, "e1", 0, in_flight={"g0": 12}, **later)
        assert ask(ledger, "e2", 16, now_s=5.0) == {"g0": 4}

    def test_single_place_alternates_between_two_askers(self):
        ledger = make_ledger()
        service = configuration.Service(cold_limit=1)
        load, holders = samples.make_load(), []
        for step in range(1, 80):
            now_s = step / 2
            facts = samples.make_facts("g")
            grant_ledger.observe(
                ledger, facts, load, service, grant_authority.FULL, now_s
            )
            for name in ("e1", "e2"):
                more = {"now_s": now_s, "taken_s": now_s - 0.01}
                holders += [name] if ask(ledger, name, 4, **more) else []
        assert min(map(holders.count, ("e1", "e2"))) >= 10

    def test_repeated_ask_is_counted_once(self):
        ledger = make_ledger(16)
        first = ask(ledger, "e1", 5)
        assert ask(ledger, "e1", 5) == first
        assert ledger.accounts["g0"].max_in_flight == 5

    def test_ask_older_than_the_newest_is_ignored(self):
        ledger = make_ledger(16)
        ask(ledger, "e1", 0, now_s=1.0, in_flight={"g0": 9})
        assert ask(ledger, "e1", 5, now_s=0.5) == {}
        assert ledger.accounts["g0"].max_in_flight == 9


def observe_group(ledger, group_id, now_s, load=None, **facts):
    return grant_ledger.observe(
        ledger,
        samples.make_facts(group_id, **facts),
        load or samples.make_load(),
        samples.SERVICE,
        grant_authority.FULL,
        now_s,
    )


class TestClosedGroups:
    def test_new_ledger_waits_until_earlier_grants_have_expired(self):
        ledger = grant_ledger.open_ledger(samples.UNIT, 0.0)
        observe_group(ledger, "g", 1.0)
        assert ask(ledger, "e1", 4, now_s=1.0) == {}
        observe_group(ledger, "g", 2.5, samples.make_load(2))
        # Two requests under earlier grants are still running.
        assert ask(ledger, "e1", 4, now_s=2.5) == {"g": 2}

    @pytest.mark.parametrize(
        ("is_whole", "state", "patch", "is_open"),
        [
            (True, "live", {}, True),
            (False, "live", {}, False),
            (True, "leaving", {}, False),
            (True, "live", {"data_centres": {"b": "out"}}, False),
            (True, "live", {"vms": {"v2": "out"}}, False),
            (True, "live", {"vms": {"v9": "out"}}, True),
        ],
    )
    def test_group_is_open_only_if_whole_live_and_in_service(
        self, is_whole, state, patch, is_open
    ):
        out = configuration.Availability(in_service=False)
        config = configuration.Configuration(
            **{k: dict.fromkeys(v, out) for k, v in patch.items()}
        )
        vms = {
            name: models.Vm(name, "engine", "x", "b", "d")
            for name in ("v1", "v2")
        }
        vms["v2"] = models.Vm(
            "v2", "engine", "x", "b", "d", models.VmState(state)
        )
        group = fleet.Group("g", "a", samples.UNIT, 1, ("v1", "v2"))
        facts = grant_ledger.make_facts(config, group, vms, is_whole)
        assert facts.is_open is is_open
        ledger = make_ledger()
        ledger.accounts.clear()
        grant_ledger.observe(
            ledger,
            facts,
            samples.make_load(),
            samples.SERVICE,
            grant_authority.FULL,
            0.0,
        )
        assert bool(ask(ledger, "e1", 1)) is is_open

    def test_no_grant_without_authority_or_recent_probes(self):
        ledger = make_ledger(16)
        request = models.GrantAsk(
            "e1", samples.UNIT, {}, {"a": 1}, asked_s=0.1
        )
        assert not grants.answer(ledger, request, None, 0, 0.1).grants
        assert ask(ledger, "e1", 1, now_s=9.0) == {}


def lose_shrinking_answer(ledger, first, second):
    """Lose the answer that shrinks the first asker's grant."""
    serve(ledger, first, 16, 0.1)
    serve(ledger, first, 0, 0.6, taken_at_s=None)
    serve(ledger, second, 16, 0.7)
    return 0.7


def deliver_expired_answer(ledger, first, second):
    """Deliver an answer after its grants have expired."""
    answer = serve(ledger, first, 16, 0.1, taken_at_s=None)
    for now_s in (1.0, 2.0, 2.5, 2.7, 2.8):
        observe_group(ledger, "g0", now_s, samples.make_load(completed=100))
    serve(ledger, second, 16, 2.9)
    grant_book.take_answer(first, answer, 0.1, 3.0)
    return 3.0


def serve(ledger, book, wanted, now_s, taken_at_s=0.0):
    request = grant_book.make_ask(book, samples.UNIT, {"a": wanted}, now_s)
    answer = grants.answer(ledger, request, grant_authority.FULL, 0, now_s)
    if taken_at_s is not None:
        grant_book.take_answer(book, answer, now_s, now_s + taken_at_s)
    return answer


def drop_all_given(usage, ask):
    usage.given.clear()


def count_from_receipt(book, answer, asked_s, now_s):
    return take_answer(book, answer, now_s, now_s)


take_answer = grant_book.take_answer


class TestLostAndLateAnswers:
    CASES = [
        (
            lose_shrinking_answer,
            grant_ledger,
            "_drop_unused_grants",
            drop_all_given,
        ),
        (
            deliver_expired_answer,
            grant_book,
            "take_answer",
            count_from_receipt,
        ),
    ]

    def count_started(self, scenario):
        ledger = make_ledger(16)
        books = [grant_book.GrantBook(name, 1) for name in ("e1", "e2")]
        now_s = scenario(ledger, *books)
        for book in books:
            while grant_book.acquire_place(book, "g0", now_s):
                pass
        return sum(book.in_flight["g0"] for book in books)

    @pytest.mark.parametrize(("scenario", "owner", "name", "rule"), CASES)
    def test_lost_or_late_answer_does_not_exceed_the_limit(
        self, monkeypatch, scenario, owner, name, rule
    ):
        assert self.count_started(scenario) == 16
        monkeypatch.setattr(owner, name, rule)
        assert self.count_started(scenario) == 32
