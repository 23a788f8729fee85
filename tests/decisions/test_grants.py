"""Tests of grants: ledger, division, ramps, mandates and the asker."""

import math
import os

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorespool import configuration
from sycamorespool.decisions import grant_book
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import grants
from sycamorespool.decisions import mandates
from sycamorespool.decisions import ramps
from sycamorespool.decisions import replay
from sycamorespool import models

SOAK = bool(os.environ.get("SOAK"))
SERVICE = configuration.Service(cold_limit=2, warm_limit=16)
UNIT = "domain/d"


def make_load(in_flight=0, completed=0, interval_s=0.04, **fields):
    fields = {"incarnations": (1, 1), "is_ready": True} | fields
    return ramps.Load(
        in_flight=in_flight,
        completed=completed,
        interval_s=interval_s,
        **fields,
    )


def make_facts(group_id="g", is_open=True):
    return grant_ledger.GroupFacts(group_id, "a", 1, "addr", "b", is_open)


def make_ledger(*limits, now_s=0.0):
    ledger = grant_ledger.open_ledger(UNIT, now_s, has_predecessor=False)
    for index, limit in enumerate(limits):
        account = grant_ledger.observe(
            ledger,
            make_facts(f"g{index}"),
            make_load(limit),
            SERVICE,
            mandates.FULL,
            now_s,
        )
        account.lost.clear()
    return ledger


def ask(ledger, entry, wanted, now_s=0.1, in_flight=None, **fields):
    request = models.GrantAsk(
        entry, UNIT, in_flight or {}, {"a": wanted}, asked_s=now_s, **fields
    )
    answer = grants.answer(ledger, request, mandates.FULL, 0, now_s)
    return {grant.group_id: grant.places for grant in answer.grants}


class TestDivision:
    def test_few_places_go_to_two_entries_and_not_to_all(self):
        ledger = make_ledger(2, 16, 16)
        names = [f"e{n}" for n in range(9)]
        for now_s in (0.1, 0.6, 1.1):
            fields = {"now_s": now_s, "taken_s": now_s - 0.01}
            given = {name: ask(ledger, name, 9, **fields) for name in names}
        cold = [got["g0"] for got in given.values() if "g0" in got]
        assert sum(cold) == 2
        assert len(cold) <= grants.DESIGNATED

    def test_places_are_divided_evenly_by_what_is_wanted(self):
        ledger = make_ledger(16)
        given = {}
        for now_s in (0.1, 0.6, 1.1, 1.6):
            for name, wanted in (("e1", 2), ("e2", 99), ("e3", 99)):
                got = ask(ledger, name, wanted, now_s, taken_s=now_s - 0.01)
                given[name] = got.get("g0", 0)
        assert given == {"e1": 2, "e2": 7, "e3": 7}

    def test_held_requests_count_after_a_grant_has_shrunk(self):
        ledger = make_ledger(16)
        assert ask(ledger, "e1", 16) == {"g0": 16}
        later = {"now_s": 5.0, "taken_s": 4.0}
        observe_group(ledger, "g0", 5.0)
        ask(ledger, "e1", 0, in_flight={"g0": 12}, **later)
        assert ask(ledger, "e2", 16, now_s=5.0) == {"g0": 4}

    def test_repeated_ask_is_counted_once(self):
        ledger = make_ledger(16)
        first = ask(ledger, "e1", 5)
        assert ask(ledger, "e1", 5) == first
        assert ledger.accounts["g0"].counted == 5

    def test_late_ask_changes_nothing(self):
        ledger = make_ledger(16)
        ask(ledger, "e1", 0, now_s=1.0, in_flight={"g0": 9})
        assert ask(ledger, "e1", 5, now_s=0.5) == {}
        assert ledger.accounts["g0"].counted == 9


def observe_group(ledger, group_id, now_s, load=None, **facts):
    return grant_ledger.observe(
        ledger,
        make_facts(group_id, **facts),
        load or make_load(),
        SERVICE,
        mandates.FULL,
        now_s,
    )


class TestClosing:
    def test_new_ledger_waits_for_the_grants_before_it(self):
        ledger = grant_ledger.open_ledger(UNIT, 0.0)
        observe_group(ledger, "g", 1.0)
        assert ask(ledger, "e1", 4, now_s=1.0) == {}
        observe_group(ledger, "g", 2.5, make_load(2))
        # The requests of the time before are still running.
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
    def test_group_takes_work_only_if(self, is_whole, state, patch, is_open):
        out = configuration.Place(in_service=False)
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
        group = replay.Group("g", "a", UNIT, 1, ("v1", "v2"))
        facts = grant_ledger.make_facts(config, group, vms, is_whole)
        assert facts.is_open is is_open
        ledger = make_ledger()
        ledger.accounts.clear()
        grant_ledger.observe(
            ledger, facts, make_load(), SERVICE, mandates.FULL, 0.0
        )
        assert bool(ask(ledger, "e1", 1)) is is_open

    def test_no_grant_without_a_mandate_or_fresh_probes(self):
        ledger = make_ledger(16)
        request = models.GrantAsk("e1", UNIT, {}, {"a": 1}, asked_s=0.1)
        assert not grants.answer(ledger, request, None, 0, 0.1).grants
        assert ask(ledger, "e1", 1, now_s=9.0) == {}


class TestRamps:
    def test_limit_rises_on_completed_work_and_not_on_time(self):
        ramp = ramps.observe(None, SERVICE, make_load())
        limits = []
        for completed in (0, 0, 4, 4, 12, 28):
            load = make_load(completed=completed)
            ramp = ramps.observe(ramp, SERVICE, load)
            limits.append(ramp.limit)
        assert limits == [2, 2, 4, 4, 8, 16]

    def test_slow_work_is_no_evidence(self):
        ramp = ramps.observe(None, SERVICE, make_load())
        slow = make_load(completed=100, interval_s=0.08)
        assert ramps.observe(ramp, SERVICE, slow).limit == 2

    @pytest.mark.parametrize(
        "change",
        [
            {"incarnations": (1, 2)},
            {"is_ready": False},
            {"completed": 3},
            {"cached_blocks": 1},
            {"interval_s": 0.2},
        ],
    )
    def test_limit_falls_at_once_when_a_group_turns_cold(self, change):
        warm = make_load(16, 900, cached_blocks=100)
        ramp = ramps.observe(None, SERVICE, warm)
        assert ramp.limit == 16
        fields = {"completed": 901, "cached_blocks": 99} | change
        assert ramps.observe(ramp, SERVICE, make_load(**fields)).limit == 2


class TestMandates:
    KNOWN = frozenset({"e1", "e2", "e3", "e4", "e5"})

    def stand(self, entry, **fields):
        fields = {"known": self.KNOWN, "heard": self.KNOWN} | fields
        return mandates.Standing(entry, "e1", **fields)

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({"may_act": True, "sound_s": 9.0}, mandates.FULL),
            ({"may_act": True}, mandates.OWNER_WITHOUT_LOG),
            (
                {
                    "may_act": True,
                    "sound_s": 9.0,
                    "is_predecessor_settled": False,
                    "known": frozenset({"e1", "e2"}),
                    "heard": frozenset({"e1"}),
                },
                mandates.UNSETTLED_OWNER,
            ),
            ({"log_unread_s": 1.0, "presumes_outage": True}, None),
            ({"log_unread_s": 9.0}, None),
            (
                {"log_unread_s": 9.0, "presumes_outage": True},
                mandates.OWNER_WITHOUT_LOG,
            ),
            (
                {
                    "log_unread_s": 9.0,
                    "presumes_outage": True,
                    "heard": frozenset({"e1", "e2"}),
                },
                None,
            ),
        ],
    )
    def test_owner(self, fields, expected):
        standing = self.stand("e1", **fields)
        assert mandates.decide(UNIT, standing, 3.0) == expected

    def test_next_entry_acts_only_in_an_outage_with_a_majority(self):
        order = mandates.rendezvous.rank(UNIT, self.KNOWN - {"e1"})
        others = self.KNOWN - {"e1"}
        fields = {"log_unread_s": 9.0, "owner_lost_s": 9.0, "heard": others}
        decide = mandates.decide
        first = self.stand(order[0], **fields)
        assert decide(UNIT, first, 3.0) == mandates.Mandate(2)
        assert decide(UNIT, self.stand(order[1], **fields), 3.0) is None
        fields["heard"] = others - {order[0]}
        second = self.stand(order[1], **fields)
        assert decide(UNIT, second, 3.0) == mandates.Mandate(3)
        for change in (
            {"log_unread_s": 1.0},
            {"owner_lost_s": 1.0},
            {"heard": frozenset({order[0], order[1]})},
            {"heard": self.KNOWN},
        ):
            standing = self.stand(order[0], **(fields | change))
            assert decide(UNIT, standing, 3.0) is None

    @pytest.mark.parametrize("acting", [[2, 3, 4, 5, 6], [2, 2], [2]])
    def test_parts_of_all_grantors_stay_within_each_limit(self, acting):
        grantors = [mandates.OWNER_WITHOUT_LOG]
        grantors += [mandates.Mandate(halvings) for halvings in acting]
        for limit in range(1, 4097):
            assert sum(m.part_of(limit) for m in grantors) <= limit

    def test_equal_shares_by_predecessors_would_pass_the_limit(self):
        # 1/2 + 1/(k + 1) for k = 1, 2: why the parts halve instead.
        assert sum(16 // (k + 1) for k in (1, 1, 2)) > 16


class TestGrantBook:
    def test_grant_holds_from_the_ask_and_late_answers_are_dropped(self):
        book = grant_book.GrantBook("e1", 1)
        grant = models.Grant("g", "a", 1, 2, 2.0, "addr", "b")
        answer = models.GrantAnswer(UNIT, 0, (grant,))
        empty = models.GrantAnswer(UNIT, 0)
        assert grant_book.take_answer(book, answer, 10.0, 11.5)
        assert grant_book.begin(book, "g", 11.9)
        assert not grant_book.begin(book, "g", 12.0)
        assert not grant_book.take_answer(book, empty, 9.0, 11.0)
        assert grant_book.take_answer(book, empty, 11.0, 12.0)
        request = grant_book.make_ask(book, UNIT, {}, 12.0)
        assert request.in_flight == {"g": 1}
        grant_book.end(book, "g")
        assert not grant_book.make_ask(book, UNIT, {}, 12.0).in_flight


def shrink_unheard(ledger, first, second):
    """The answer that shrinks the first asker's grant is lost."""
    serve(ledger, first, 16, 0.1)
    serve(ledger, first, 0, 0.6, taken_at_s=None)
    serve(ledger, second, 16, 0.7)
    return 0.7


def take_late(ledger, first, second):
    """An answer arrives after its grants have lapsed."""
    answer = serve(ledger, first, 16, 0.1, taken_at_s=None)
    for now_s in (1.0, 2.0, 2.5, 2.7, 2.8):
        observe_group(ledger, "g0", now_s, make_load(completed=100))
    serve(ledger, second, 16, 2.9)
    grant_book.take_answer(first, answer, 0.1, 3.0)
    return 3.0


def serve(ledger, book, wanted, now_s, taken_at_s=0.0):
    request = grant_book.make_ask(book, UNIT, {"a": wanted}, now_s)
    answer = grants.answer(ledger, request, mandates.FULL, 0, now_s)
    if taken_at_s is not None:
        grant_book.take_answer(book, answer, now_s, now_s + taken_at_s)
    return answer


def forget_given(holding, ask):
    holding.given.clear()


def count_from_receipt(book, answer, asked_s, now_s):
    return take_answer(book, answer, now_s, now_s)


take_answer = grant_book.take_answer


class TestLostAndLateAnswers:
    CASES = [
        (shrink_unheard, grant_ledger, "_prune", forget_given),
        (take_late, grant_book, "take_answer", count_from_receipt),
    ]

    def count_live(self, story):
        ledger = make_ledger(16)
        books = [grant_book.GrantBook(name, 1) for name in ("e1", "e2")]
        now_s = story(ledger, *books)
        for book in books:
            while grant_book.begin(book, "g0", now_s):
                pass
        return sum(book.in_flight["g0"] for book in books)

    @pytest.mark.parametrize(("story", "owner", "name", "rule"), CASES)
    def test_work_stays_bearable(self, monkeypatch, story, owner, name, rule):
        assert self.count_live(story) == 16
        monkeypatch.setattr(owner, name, rule)
        assert self.count_live(story) == 32


class GrantMachine(stateful.RuleBasedStateMachine):
    """Askers with drifting clocks, lost and late messages, two grantors."""

    parts = (mandates.OWNER_WITHOUT_LOG, mandates.Mandate(2))

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.bearable = {"g0": 2, "g1": 16}
        self.borne = dict(self.bearable)
        self.fell_s = dict.fromkeys(self.bearable, -math.inf)
        self.mandates = self.parts
        self.ledgers = [
            grant_ledger.open_ledger(UNIT, self.now_s, False)
            for _ in self.parts
        ]
        self.books = []
        self.rates = (0.995, 1.0, 1.005)
        for index in range(3):
            self.books.append(grant_book.GrantBook(f"e{index}", 1))
        self.asks = []
        self.answers = []
        self.probe()

    def clock(self, index):
        return self.now_s * self.rates[index] + 1000 * index

    def running(self, group_id):
        return sum(book.in_flight[group_id] for book in self.books)

    @stateful.rule(probes=st.sampled_from([0, 1, 2, 5]))
    def wait(self, probes):
        self.now_s += 0.05
        for _ in range(probes):
            self.now_s += 0.5
            self.probe()

    def probe(self):
        for ledger, mandate in zip(self.ledgers, self.mandates, strict=True):
            for group_id, limit in self.borne.items():
                service = configuration.Service(
                    cold_limit=limit, warm_limit=limit
                )
                load = make_load(self.running(group_id))
                grant_ledger.observe(
                    ledger,
                    make_facts(group_id),
                    load,
                    service,
                    mandate,
                    self.now_s,
                )

    @stateful.rule(group_id=st.sampled_from(["g0", "g1"]), cold=st.booleans())
    def turn(self, group_id, cold):
        before = self.borne[group_id]
        self.borne[group_id] = 1 if cold else self.bearable[group_id]
        if self.borne[group_id] < before:
            self.fell_s[group_id] = self.now_s
        self.probe()

    @stateful.rule(
        index=st.integers(0, 2), wanted=st.integers(0, 20), to=st.booleans()
    )
    def send_ask(self, index, wanted, to):
        book = self.books[index]
        request = grant_book.make_ask(
            book, UNIT, {"a": wanted}, self.clock(index)
        )
        self.asks.append((index, int(to), request))

    @stateful.precondition(lambda self: self.asks)
    @stateful.rule(newest=st.booleans(), again=st.booleans())
    def deliver_ask(self, newest, again):
        index, to, request = self.asks[-newest]
        if not again:
            del self.asks[-newest]
        answer = grants.answer(
            self.ledgers[to], request, self.mandates[to], 0, self.now_s
        )
        self.answers.append((index, request.asked_s, answer))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(newest=st.booleans(), lost=st.booleans())
    def deliver_answer(self, newest, lost):
        index, asked_s, answer = self.answers.pop(-newest)
        if lost:
            return
        book = self.books[index]
        grant_book.take_answer(book, answer, asked_s, self.clock(index))
        self.start(index)

    @stateful.rule(
        index=st.integers(0, 2),
        wanted=st.integers(0, 20),
        to=st.booleans(),
        uses=st.booleans(),
    )
    def serve(self, index, wanted, to, uses):
        self.send_ask(index, wanted, to)
        _, _, request = self.asks.pop()
        answer = grants.answer(
            self.ledgers[to], request, self.mandates[to], 0, self.now_s
        )
        grant_book.take_answer(
            self.books[index], answer, request.asked_s, self.clock(index)
        )
        if uses:
            self.start(index)

    @stateful.rule(index=st.integers(0, 2))
    def start(self, index):
        book = self.books[index]
        for group_id in self.bearable:
            while grant_book.begin(book, group_id, self.clock(index)):
                pass

    @stateful.rule(
        index=st.integers(0, 2), group_id=st.sampled_from(["g0", "g1"])
    )
    def finish(self, index, group_id):
        while self.books[index].in_flight[group_id]:
            grant_book.end(self.books[index], group_id)

    @stateful.invariant()
    def work_in_flight_is_bearable(self):
        for group_id, limit in self.bearable.items():
            assert self.running(group_id) <= limit

    @stateful.invariant()
    def live_grants_are_bearable_soon_after_a_fall(self):
        for group_id, limit in self.borne.items():
            recent = self.now_s - self.fell_s[group_id]
            if recent <= grant_ledger.counted_ttl_s():
                continue
            live = sum(
                held.grant.places
                for index, book in enumerate(self.books)
                for held in book.held.values()
                if held.grant.group_id == group_id
                and held.until_s > self.clock(index)
            )
            assert live <= limit


class TwoFullGrantors(GrantMachine):
    parts = (mandates.FULL, mandates.FULL)


class OneGrantor(GrantMachine):
    parts = (mandates.FULL, mandates.Mandate(9))


def run(machine, phases=tuple(Phase)):
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=3000 if SOAK else 80,
            stateful_step_count=60,
            phases=phases,
        ),
    )


def count_places(holding):
    return max((places for _, places in holding.given), default=0)


def give_limit(ledger, ask, service, mandate, now_s):
    for account in ledger.accounts.values():
        places = mandate.part_of(account.ramp.limit)
        yield grant_ledger.give(account, ask, places)


REMOVALS = [
    pytest.param(
        grant_ledger.Holding, "counted", property(count_places), id="in-flight"
    ),
    pytest.param(grant_ledger, "_lose", lambda *args: None, id="lost-askers"),
    pytest.param(
        grants, "_grant_service", give_limit, id="fixed-limit-per-entry"
    ),
]


class TestLiveGrants:
    @pytest.mark.parametrize("machine", [GrantMachine, OneGrantor])
    def test_work_never_exceeds_what_a_group_can_bear(self, machine):
        run(machine)

    @pytest.mark.parametrize(("owner", "name", "rule"), REMOVALS)
    def test_fails_without(self, monkeypatch, owner, name, rule):
        monkeypatch.setattr(owner, name, rule)
        with pytest.raises(AssertionError):
            run(OneGrantor, (Phase.generate,))

    def test_fails_with_two_whole_grantors(self):
        with pytest.raises(AssertionError):
            run(TwoFullGrantors, (Phase.generate,))
