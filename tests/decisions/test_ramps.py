"""Tests of the limits that rise on evidence."""

import pytest

from sycamorespool.decisions import ramps
from tests.decisions import samples


class TestRamps:
    def test_limit_rises_on_completed_work_and_not_on_time(self):
        ramp = ramps.observe(None, samples.SERVICE, samples.make_load())
        limits = []
        for completed in (0, 0, 4, 4, 12, 28):
            load = samples.make_load(completed=completed)
            ramp = ramps.observe(ramp, samples.SERVICE, load)
            limits.append(ramp.limit)
        assert limits == [2, 2, 2, 2, 4, 8]

    def test_work_under_the_cold_limit_is_no_evidence_for_more(self):
        ramp = ramps.observe(None, samples.SERVICE, samples.make_load())
        for completed in range(samples.SERVICE.warm_after):
            load = samples.make_load(completed=completed)
            ramp = ramps.observe(ramp, samples.SERVICE, load)
            assert ramp.limit == samples.SERVICE.cold_limit

    def test_slow_work_is_no_evidence(self):
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
