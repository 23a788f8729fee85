"""Tests of what an entry knows of the load of the others."""

import pytest

from sycamorespool.decisions.placing import fleet_load

REQUESTS = fleet_load.Requests


def make_report(**running):
    return fleet_load.LoadReport(
        {name: REQUESTS(count) for name, count in running.items()},
        {"s/m": float(sum(running.values()))},
    )


class TestReports:
    def test_reports_are_summed_by_server_and_model(self):
        fleet = fleet_load.FleetLoad()
        fleet_load.note_report(fleet, "e1", make_report(a=1, b=2), 0.0)
        fleet_load.note_report(fleet, "e2", make_report(a=3), 0.0)
        found = fleet_load.sum_reports(fleet, 0.1, make_report(b=1), {"e9"})
        assert found.requests == {"a": REQUESTS(4), "b": REQUESTS(3)}
        assert found.demand == {"s/m": 7.0}

    def test_newer_report_replaces_the_one_before(self):
        fleet = fleet_load.FleetLoad()
        fleet_load.note_report(fleet, "e1", make_report(a=5), 0.0)
        fleet_load.note_report(fleet, "e1", make_report(b=1), 0.5)
        found = fleet_load.sum_reports(fleet, 0.6)
        assert found.requests == {"b": REQUESTS(1)}

    def test_entry_that_is_gone_is_forgotten(self):
        # Its requests would keep others away from servers that are free.
        fleet = fleet_load.FleetLoad()
        fleet_load.note_report(fleet, "e1", make_report(a=5), 0.0)
        late_s = fleet_load.EXPIRY_S + 0.1
        assert fleet_load.sum_reports(fleet, late_s).requests == {}
        fleet_load.note_report(fleet, "e2", make_report(a=1), late_s)
        assert set(fleet.reports) == {"e2"}

    def test_excluded_reports_are_left_out(self):
        # A sum that came back to its sender would grow without end.
        fleet = fleet_load.FleetLoad()
        fleet_load.note_report(fleet, "e1", make_report(a=5), 0.0)
        assert fleet_load.sum_reports(fleet, 0.0, excluded={"e1"}).demand == {}


class TestDemand:
    def test_steady_demand_is_measured_in_busy_servers(self):
        meter = fleet_load.DemandMeter()
        for step in range(4000):
            fleet_load.note_asked(meter, "s/m", 0.05, step * 0.01)
        assert fleet_load.read_demand(meter, 40.0)["s/m"] == pytest.approx(
            5.0, rel=0.1
        )

    def test_demand_ends_with_the_calls(self):
        meter = fleet_load.DemandMeter()
        fleet_load.note_asked(meter, "s/m", 0.05, 0.0)
        later_s = 2 * fleet_load.DEMAND_WINDOW_S
        assert fleet_load.read_demand(meter, later_s) == {"s/m": 0.0}
