"""Tests the measures of gradual degradation."""

import pytest

from sycamorespool.decisions.faults import degradation
from sycamorespool.decisions import replay
from sycamorespool import models
from sycamorespool import records

SERVICES = {"a": {"group_size": 2, "replicas": 2}}
VMS = {
    f"v{i}": models.Vm(f"v{i}", "engine", f"10.0.0.{i}:80", "palermo", "d")
    for i in range(5)
}
GROUPS = {"g1": ("v0", "v1"), "g2": ("v2", "v3")}


def make_fleet(patch=None):
    fleet = replay.FleetState()
    document = {"services": SERVICES, **(patch or {})}
    replay.apply(fleet, 0, records.ConfigPatch("p", 0, document))
    replay.apply(fleet, 1, records.OwnershipClaim("c", "domain/d", "e", 1))
    for offset, (name, members) in enumerate(GROUPS.items(), start=2):
        formed = records.GroupFormed(name, "domain/d", 1, name, "a", members)
        assert replay.apply(fleet, offset, formed).is_accepted
    return fleet


class Monitor:
    """Measures repeatedly with the same state, as an entry does."""

    def __init__(self, fleet, vms=None):
        self.state = degradation.DegradationTimers()
        self.fleet = fleet
        self.vms = VMS if vms is None else vms

    def measure(self, now_s, whole, cold=frozenset()):
        return degradation.measure_degradation(
            self.state, self.fleet, self.vms, GROUPS, whole, cold, now_s
        )


class TestMeasuredDegradation:
    def test_vm_outside_whole_groups_is_stranded(self):
        monitor = Monitor(make_fleet())
        found = monitor.measure(10.0, {"g1", "g2"})
        assert (found.vms_stranded, found.groups_serving) == (1, {"a": 2})
        found = monitor.measure(13.0, {"g1"})
        assert (found.vms_stranded, found.groups_serving) == (3, {"a": 1})
        assert found.vm_stranded_age_max_s == 3.0

    def test_stranded_age_restarts_after_its_cause_ended(self):
        monitor = Monitor(make_fleet(), {k: VMS[k] for k in ("v2", "v3")})
        ages = [
            monitor.measure(now_s, whole).vm_stranded_age_max_s
            for now_s, whole in (
                (0.0, {"g1"}),
                (5.0, {"g1"}),
                (6.0, {"g1", "g2"}),
                (7.0, {"g1"}),
                (8.0, {"g1"}),
            )
        ]
        assert ages == [0.0, 5.0, 0.0, 0.0, 1.0]

    def test_below_capacity_age_spans_different_groups_of_a_service(self):
        monitor = Monitor(make_fleet())
        monitor.measure(0.0, {"g1"})
        found = monitor.measure(4.0, {"g2"})
        assert found.below_capacity_age_s == {"a": 4.0}
        found = monitor.measure(5.0, {"g1", "g2"})
        assert found.below_capacity_age_s == {"a": 0.0}

    def test_ramp_stuck_age_covers_only_whole_cold_groups(self):
        monitor = Monitor(make_fleet())
        monitor.measure(0.0, {"g1", "g2"}, {"g1", "g2"})
        found = monitor.measure(9.0, {"g1", "g2"}, {"g2"})
        assert found.ramp_stuck_age_max_s == 9.0
        found = monitor.measure(10.0, {"g1"}, {"g2"})
        assert found.ramp_stuck_age_max_s == 0.0

    @pytest.mark.parametrize(
        "patch",
        [
            {"data_centres": {"palermo": {"in_service": False}}},
            {"vms": {name: {"in_service": False} for name in VMS}},
        ],
    )
    def test_vm_out_of_service_is_not_stranded(self, patch):
        assert Monitor(make_fleet(patch)).measure(0.0, set()).vms_stranded == 0


class TestQuarantine:
    def test_age_counts_from_first_observation_of_quarantine(self):
        state = degradation.DegradationTimers()
        until_s = {"v1": 40.0, "v2": 15.0, "v3": 1.0}
        found = [
            degradation.find_quarantine_age(state, until_s, now_s)
            for now_s in (10.0, 20.0, 39.0, 41.0)
        ]
        assert found == [(2, 0.0), (1, 10.0), (1, 29.0), (0, 0.0)]


class TestShareErrors:
    @pytest.mark.parametrize(
        ("using", "due", "errors"),
        [
            ({}, {}, {}),
            ({}, {"a": 1.0}, {"a": 0.0}),
            ({"a": 3}, {}, {}),
            ({"a": 3, "b": 1}, {"a": 5.0, "b": 5.0}, {"a": 0.25, "b": -0.25}),
            ({"a": 4}, {"a": 2.0, "b": 2.0}, {"a": 0.5, "b": -0.5}),
        ],
    )
    def test_error_is_share_in_use_minus_share_due(self, using, due, errors):
        assert degradation.find_share_errors(using, due) == errors
