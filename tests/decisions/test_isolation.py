"""Tests of the modes of an entry that cannot read the log."""

import pytest

from sycamorespool.decisions import isolation

LOG_LOST = {"unread_s": 9.0}


class TestModes:
    @pytest.mark.parametrize(
        ("signals", "mode"),
        [
            ({"unread_s": 0.4}, "normal"),
            ({"unread_s": 2.4, "asked": 5, "answered": 0}, "normal"),
            ({"unread_s": 9.0, "followed_s": 1.0}, "following"),
            (LOG_LOST | {"listed": 1}, "log_outage"),
            (LOG_LOST | {"listed": 2}, "isolated"),
            (LOG_LOST | {"listed": 9}, "isolated"),
            (
                LOG_LOST | {"listed": 9, "asked": 6, "answered": 6},
                "log_outage",
            ),
            (
                LOG_LOST | {"listed": 9, "asked": 8, "answered": 4},
                "log_outage",
            ),
            (LOG_LOST | {"listed": 9, "asked": 8, "answered": 3}, "isolated"),
            (LOG_LOST | {"listed": 9, "asked": 6, "answered": 2}, "isolated"),
            (LOG_LOST | {"listed": 2, "asked": 1, "answered": 0}, "isolated"),
            (
                LOG_LOST
                | {"listed": 190, "asked": 6, "answered": 6, "missing_s": 3.0},
                "isolated",
            ),
            (
                LOG_LOST
                | {"listed": 190, "asked": 6, "answered": 6, "missing_s": 1.0},
                "log_outage",
            ),
        ],
    )
    def test_mode_follows_from_the_signals(self, signals, mode):
        assert isolation.decide(isolation.Signals(**signals)) == mode

    def test_small_region_cut_off_from_another_goes_on_serving(self):
        """Counting peers of all regions would isolate this region of three."""
        own = isolation.Signals(9.0, listed=3, asked=2, answered=2)
        assert isolation.decide(own) is isolation.Mode.LOG_OUTAGE
        whole = isolation.Signals(9.0, listed=8, asked=7, answered=2)
        assert isolation.decide(whole) is isolation.Mode.ISOLATED

    @pytest.mark.parametrize("mode", list(isolation.Mode))
    def test_only_normal_mode_allows_claims_and_ramps(self, mode):
        allowed = isolation.ALLOWANCES[mode]
        is_normal = mode is isolation.Mode.NORMAL
        assert allowed.may_claim is allowed.may_ramp is is_normal
        assert allowed.takes_work is (mode is not isolation.Mode.ISOLATED)
