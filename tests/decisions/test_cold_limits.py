import pytest

from sycamorespool.decisions import cold_limits


@pytest.mark.parametrize("entries", [1, 3, 9, 40])
def test_entries_together_keep_the_bound(entries):
    per_s, sent = 60.0, []
    fleet = [cold_limits.ColdLimits() for _ in range(entries)]
    for number in range(4000):
        now_s = number / 1000
        limits = fleet[number % entries]
        if cold_limits.may_send(limits, "i", per_s, 1 / entries, now_s):
            cold_limits.note_sent(limits, "i", now_s)
            sent.append(now_s)
    for start_s in sent:
        in_second = [s for s in sent if start_s <= s < start_s + 1.0]
        assert len(in_second) <= per_s
