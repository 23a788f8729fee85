"""Tests random runs of grants with drifting clocks, lost or late messages."""

import math
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorespool import configuration
from sycamorespool.decisions import grant_authority
from sycamorespool.decisions import grant_book
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import grants
from tests.decisions import samples

SOAK = bool(os.environ.get("SOAK"))


class GrantMachine(stateful.RuleBasedStateMachine):
    """Run askers with drifting clocks and two grantors; messages get lost."""

    authorities = (
        grant_authority.OWNER_WITHOUT_LOG,
        grant_authority.GrantAuthority(2),
    )

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.capacity = {"g0": 2, "g1": 16}
        self.current_limit = dict(self.capacity)
        self.fell_s = dict.fromkeys(self.capacity, -math.inf)
        self.active_authorities = self.authorities
        self.ledgers = [
            grant_ledger.open_ledger(samples.UNIT, self.now_s, False)
            for _ in self.authorities
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
        for ledger, authority in zip(
            self.ledgers, self.active_authorities, strict=True
        ):
            for group_id, limit in self.current_limit.items():
                service = configuration.Service(
                    cold_limit=limit, warm_limit=limit
                )
                load = samples.make_load(self.running(group_id))
                grant_ledger.observe(
                    ledger,
                    samples.make_facts(group_id),
                    load,
                    service,
                    authority,
                    self.now_s,
                )

    @stateful.rule(group_id=st.sampled_from(["g0", "g1"]), cold=st.booleans())
    def set_cold(self, group_id, cold):
        before = self.current_limit[group_id]
        self.current_limit[group_id] = 1 if cold else self.capacity[group_id]
        if self.current_limit[group_id] < before:
            self.fell_s[group_id] = self.now_s
        self.probe()

    @stateful.rule(
        index=st.integers(0, 2), wanted=st.integers(0, 20), to=st.booleans()
    )
    def send_ask(self, index, wanted, to):
        book = self.books[index]
        request = grant_book.make_ask(
            book, samples.UNIT, {"a": wanted}, self.clock(index)
        )
        self.asks.append((index, int(to), request))

    @stateful.precondition(lambda self: self.asks)
    @stateful.rule(newest=st.booleans(), again=st.booleans())
    def deliver_ask(self, newest, again):
        index, to, request = self.asks[-newest]
        if not again:
            del self.asks[-newest]
        answer = grants.answer(
            self.ledgers[to],
            request,
            self.active_authorities[to],
            0,
            self.now_s,
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
            self.ledgers[to],
            request,
            self.active_authorities[to],
            0,
            self.now_s,
        )
        grant_book.take_answer(
            self.books[index], answer, request.asked_s, self.clock(index)
        )
        if uses:
            self.start(index)

    @stateful.rule(index=st.integers(0, 2))
    def start(self, index):
        book = self.books[index]
        for group_id in self.capacity:
            while grant_book.acquire_place(book, group_id, self.clock(index)):
                pass

    @stateful.rule(
        index=st.integers(0, 2), group_id=st.sampled_from(["g0", "g1"])
    )
    def finish(self, index, group_id):
        while self.books[index].in_flight[group_id]:
            grant_book.release_place(self.books[index], group_id)

    @stateful.invariant()
    def requests_in_flight_stay_within_capacity(self):
        for group_id, limit in self.capacity.items():
            assert self.running(group_id) <= limit

    @stateful.invariant()
    def valid_grants_stay_within_the_limit_after_a_fall(self):
        for group_id, limit in self.current_limit.items():
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
    authorities = (grant_authority.FULL, grant_authority.FULL)


class OneGrantor(GrantMachine):
    authorities = (grant_authority.FULL, grant_authority.GrantAuthority(9))


def run(machine, phases=tuple(hypothesis.Phase)):
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=3000 if SOAK else 80,
            stateful_step_count=60,
            phases=phases,
        ),
    )


def count_places(usage):
    return max((places for _, places in usage.given), default=0)


def grant_whole_limit(ledger, ask, service, authority, now_s):
    for account in ledger.accounts.values():
        places = authority.places_of(account.ramp.limit)
        yield grant_ledger.issue(account, ask, places)


REMOVED_RULES = [
    pytest.param(
        grant_ledger.AskerUsage,
        "max_in_flight",
        property(count_places),
        id="in-flight",
    ),
    pytest.param(
        grant_ledger, "_move_to_lost", lambda *args: None, id="lost-askers"
    ),
    pytest.param(
        grants, "_grant_service", grant_whole_limit, id="fixed-limit-per-entry"
    ),
]


class TestLiveGrants:
    @pytest.mark.parametrize("machine", [GrantMachine, OneGrantor])
    def test_requests_in_flight_never_exceed_capacity(self, machine):
        run(machine)

    @pytest.mark.parametrize(("owner", "name", "rule"), REMOVED_RULES)
    def test_capacity_is_exceeded_without_rule(
        self, monkeypatch, owner, name, rule
    ):
        monkeypatch.setattr(owner, name, rule)
        with pytest.raises(AssertionError):
            run(OneGrantor, (hypothesis.Phase.generate,))

    def test_capacity_is_exceeded_by_two_full_grantors(self):
        with pytest.raises(AssertionError):
            run(TwoFullGrantors, (hypothesis.Phase.generate,))
