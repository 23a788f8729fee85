"""Tests of the rate limit for requests to cold backend servers."""

import random

import pytest

from sycamorespool.decisions.placing import cold_limits


@pytest.mark.parametrize("entries", [1, 3, 9, 40, 82, 380])
@pytest.mark.parametrize("pause_s", [0.0, 3.0])
def test_all_entries_together_keep_the_rate_limit(entries, pause_s):
    per_s, sent = 44.0, []
    rng = random.Random(entries)
    fleet = [
        (cold_limits.ColdLimits(), rng.random(), rng.uniform(0.0, 99.0))
        for _ in range(entries)
    ]
    for number in range(8000):
        limits, phase, offset_s = fleet[number % entries]
        # Requests that were not sent in a pause must not follow as a burst.
        now_s = number / 1000 + (pause_s if number > 2000 else 0.0)
        own_s = now_s + offset_s
        share = 1 / entries
        if cold_limits.may_send(limits, "i", per_s, share, phase, own_s):
            cold_limits.note_sent(limits, "i", own_s)
            sent.append(now_s)
    assert sent
    for start_s in sent:
        in_second = [s for s in sent if start_s <= s < start_s + 1.0]
        assert len(in_second) <= per_s


def test_entry_without_a_share_may_not_send():
    limits = cold_limits.ColdLimits()
    assert not cold_limits.may_send(limits, "i", 44.0, 0.0, 0.5, 1.0)
