"""Tests of fair queueing and of fair shares across the fleet."""

import collections

import pytest

from sycamorespool.decisions import shares

PRIORITIES = {"high": 4.0, "normal": 2.0, "low": 1.0}


def weights(weight=1.0):
    return shares.Weights(weight, PRIORITIES)


def ticket(number, workspace="a", priority="normal"):
    return shares.Ticket(f"{workspace}{number}", workspace, priority, 0.0)


def serve(queue, count):
    taken = [shares.take(queue) for _ in range(count)]
    return collections.Counter((t.workspace, t.priority) for t in taken)


class TestFairQueue:
    def test_workspaces_share_by_weight(self):
        queue = shares.FairQueue(1000)
        for number in range(100):
            shares.offer(queue, ticket(number, "a"), weights(3.0))
            shares.offer(queue, ticket(number, "b"), weights(1.0))
        served = serve(queue, 40)
        assert served["a", "normal"] == 30

    def test_priorities_share_within_a_workspace(self):
        queue = shares.FairQueue(1000)
        for number in range(70):
            for priority in PRIORITIES:
                item = ticket(number, "a", priority)
                shares.offer(queue, item, weights())
        served = serve(queue, 70)
        assert served["a", "high"] == 40
        assert served["a", "low"] == 10

    def test_workspace_regains_its_idle_share_at_once(self):
        queue = shares.FairQueue(1000)
        for number in range(100):
            shares.offer(queue, ticket(number, "b"), weights())
        assert serve(queue, 50)["b", "normal"] == 50
        for number in range(20):
            shares.offer(queue, ticket(number, "a"), weights())
        served = serve(queue, 20)
        assert abs(served["a", "normal"] - served["b", "normal"]) <= 2

    def test_class_below_its_share_waits_for_one_place_at_most(self):
        queue = shares.FairQueue(1000)
        for number in range(500):
            shares.offer(queue, ticket(number, "b", "low"), weights())
            shares.offer(queue, ticket(number, "a", "low"), weights())
        serve(queue, 100)
        shares.offer(queue, ticket(0, "a", "high"), weights())
        waits = [shares.take(queue).priority for _ in range(3)]
        assert "high" in waits

    def test_newest_low_priority_ticket_of_the_longest_queue_is_shed(self):
        queue = shares.FairQueue(4)
        for item in (
            ticket(0, "a", "low"),
            ticket(0, "b", "low"),
            ticket(1, "b", "low"),
            ticket(0, "a", "high"),
        ):
            assert shares.offer(queue, item, weights()) is None
        newest = ticket(1, "a", "high")
        shed = shares.offer(queue, newest, weights())
        assert shed == ticket(1, "b", "low")
        low = ticket(2, "b", "low")
        assert shares.offer(queue, low, weights()) == low
        assert queue.queued == 4

    def test_removed_ticket_is_not_served(self):
        queue = shares.FairQueue(4)
        shares.offer(queue, ticket(0), weights())
        assert shares.remove(queue, ticket(0))
        assert not shares.remove(queue, ticket(0))
        assert shares.take(queue) is None


class TestRetryAfter:
    @pytest.mark.parametrize(
        ("ahead", "rate", "ramp", "wait_s"),
        [
            (0, 0.0, 0.0, 0.0),
            (10, 2.0, 0.0, 5.0),
            (10, 0.0, 5.0, 2.0),
            (10, 0.0, 0.0, float("inf")),
        ],
    )
    def test_wait_follows_queue_rate_and_ramp(self, ahead, rate, ramp, wait_s):
        assert shares.estimate_wait_s(ahead, rate, ramp) == wait_s

    @pytest.mark.parametrize(
        ("wait_s", "fraction", "retry_s"),
        [(0.0, 0.0, 1.0), (8.0, 1.0, 10.0), (float("inf"), 0.0, 60.0)],
    )
    def test_retry_after_is_bounded(self, wait_s, fraction, retry_s):
        assert shares.retry_after_s(wait_s, fraction) == retry_s


class TestFleetShares:
    fleet_weights = {"a": 2.0, "b": 1.0, "c": 1.0}

    def test_idle_share_goes_to_workspaces_with_demand(self):
        demands = {"a": 100.0, "b": 100.0, "c": 0.0}
        due = shares.divide_by_weight(90.0, self.fleet_weights, demands)
        assert due == {"a": 60.0, "b": 30.0, "c": 0.0}

    def test_claims_give_workspaces_fair_shares_however_distributed(self):
        lone = shares.Usage({"a": 100.0, "b": 10.0}, 10.0)
        other = shares.Usage({"b": 10.0, "gone": 5.0}, 10.0)
        local, claim = shares.compute_local_weights(
            lone, [other] * 8, self.fleet_weights
        )
        assert local["a"] == pytest.approx(60.0)
        assert claim == pytest.approx(60.0 + 30.0 / 9)

    def test_weights_are_empty_without_places(self):
        own = shares.Usage({"a": 5.0, "gone": 1.0}, 0.0)
        result = shares.compute_local_weights(own, [], self.fleet_weights)
        assert result == ({}, 0)

    def test_report_period_keeps_traffic_within_the_budget(self):
        assert shares.report_period_s(9, 200, 4000.0) == 1.0
        assert shares.report_period_s(380, 200, 4000.0) == 19.0
