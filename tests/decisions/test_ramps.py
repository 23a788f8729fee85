"""Tests of the limits of groups that warm up."""

import pytest

from sycamorespool.decisions.groups import ramps
from tests.decisions import samples


class TestRamps:
    def test_limit_rises_with_completed_requests_only(self):
        ramp = ramps.observe(None, samples.SERVICE, samples.make_load())
        limits = []
        for completed in (0, 0, 4, 4, 12, 28):
            load = samples.make_load(completed=completed)
            ramp = ramps.observe(ramp, samples.SERVICE, load)
            limits.append(ramp.limit)
        assert limits == [2, 2, 2, 2, 4, 8]

    def test_limit_stays_cold_before_warm_after_requests(self):
        ramp = ramps.observe(None, samples.SERVICE, samples.make_load())
        for completed in range(samples.SERVICE.warm_after):
            load = samples.make_load(completed=completed)
            ramp = ramps.observe(ramp, samples.SERVICE, load)
            assert ramp.limit == samples.SERVICE.cold_limit

    def test_limit_does_not_rise_at_high_latency(self):
        ramp = ramps.observe(None, samples.SERVICE, samples.make_load())
        slow = samples.make_load(completed=100, interval_s=0.08)
        assert ramps.observe(ramp, samples.SERVICE, slow).limit == 2

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
        warm = samples.make_load(16, 900, cached_blocks=100)
        ramp = ramps.observe(None, samples.SERVICE, warm)
        assert ramp.limit == 16
        fields = {"completed": 901, "cached_blocks": 99} | change
        assert (
            ramps.observe(
                ramp, samples.SERVICE, samples.make_load(**fields)
            ).limit
            == 2
        )
