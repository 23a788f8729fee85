"""Tests of which entry may grant which share of a limit."""

import pytest

from sycamorespool.decisions import grant_authority
from sycamorespool.decisions import rendezvous

UNIT = "domain/d"


class TestGrantAuthority:
    KNOWN = frozenset({"e1", "e2", "e3", "e4", "e5"})

    def make_signals(self, entry, **fields):
        fields = {"known": self.KNOWN, "heard": self.KNOWN} | fields
        return grant_authority.GrantorSignals(entry, "e1", **fields)

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({"may_act": True, "healthy_s": 9.0}, grant_authority.FULL),
            ({"may_act": True}, grant_authority.SETTLING_OWNER),
            (
                {
                    "may_act": True,
                    "healthy_s": 9.0,
                    "has_predecessor_stopped": False,
                    "known": frozenset({"e1", "e2"}),
                    "heard": frozenset({"e1"}),
                },
                grant_authority.UNSETTLED_OWNER,
            ),
            ({"log_unread_s": 1.0, "presumes_outage": True}, None),
            ({"log_unread_s": 9.0}, None),
            (
                {"log_unread_s": 9.0, "presumes_outage": True},
                grant_authority.OWNER_WITHOUT_LOG,
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
    def test_share_of_the_owner(self, fields, expected):
        signals = self.make_signals("e1", **fields)
        assert grant_authority.decide(UNIT, signals, 3.0) == expected

    def test_substitute_grants_only_in_an_outage_with_a_majority(self):
        order = rendezvous.rank(UNIT, self.KNOWN - {"e1"})
        others = self.KNOWN - {"e1"}
        fields = {"log_unread_s": 9.0, "owner_lost_s": 9.0, "heard": others}
        decide = grant_authority.decide
        first = self.make_signals(order[0], **fields)
        assert decide(UNIT, first, 3.0) == grant_authority.GrantAuthority(2)
        assert decide(UNIT, self.make_signals(order[1], **fields), 3.0) is None
        fields["heard"] = others - {order[0]}
        second = self.make_signals(order[1], **fields)
        assert decide(UNIT, second, 3.0) == grant_authority.GrantAuthority(3)
        for change in (
            {"log_unread_s": 1.0},
            {"owner_lost_s": 1.0},
            {"heard": frozenset({order[0], order[1]})},
            {"heard": self.KNOWN},
        ):
            signals = self.make_signals(order[0], **(fields | change))
            assert decide(UNIT, signals, 3.0) is None

    @pytest.mark.parametrize(
        "halvings_of_substitutes", [[2, 3, 4, 5, 6], [2, 2], [2]]
    )
    def test_sum_of_all_shares_stays_within_each_limit(
        self, halvings_of_substitutes
    ):
        grantors = [grant_authority.OWNER_WITHOUT_LOG]
        grantors += [
            grant_authority.GrantAuthority(halvings)
            for halvings in halvings_of_substitutes
        ]
        for limit in range(1, 4097):
            assert sum(m.places_of(limit) for m in grantors) <= limit

    def test_shares_of_one_over_k_would_exceed_the_limit(self):
        # 1/2 + 1/(k + 1) for k = 1, 2 exceeds 1, so each share is instead
        # half of the one before.
        assert sum(16 // (k + 1) for k in (1, 1, 2)) > 16
