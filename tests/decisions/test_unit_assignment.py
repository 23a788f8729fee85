"""Tests of the claims and releases of units."""

import collections

import pytest

from sycamorespool.decisions import fleet
from sycamorespool.decisions import ownership
from sycamorespool.decisions import replay
from sycamorespool.decisions import unit_assignment
from sycamorespool import records

NAMES = tuple(f"e{number}" for number in range(4))
UNITS = {f"domain/d{number}": "" for number in range(8)}
NOW_S = 10.0


def make_view(state, names=NAMES, units=UNITS, data_centres=()):
    centres = dict(data_centres)
    candidates = {
        name: unit_assignment.Candidate(1, centres.get(name, ""))
        for name in names
    }
    return unit_assignment.AssignmentView(state, units, candidates)


def make_lease(state, name, now_s=10.0, incarnation=1):
    lease = ownership.LeaseState(name, incarnation)
    for at_s in (now_s - 8.0, now_s - 6.0, now_s - 4.0, now_s - 2.0, now_s):
        ownership.renew_lease(lease, state, at_s - 0.1, at_s)
    return lease


def apply_all(state, batch):
    return [
        replay.apply(state, state.offset + 1, record).status
        for record in batch
    ]


def own_all(names=NAMES, view=make_view):
    state = fleet.FleetState()
    for name in names:
        lease = make_lease(state, name)
        apply_all(state, unit_assignment.claims_due(lease, view(state), 10.0))
    return state


def release_all(name):
    """Return a fleet whose units one entry owned and then released."""
    state = own_all((name,), lambda s: make_view(s, (name,)))
    batch = [
        records.OwnershipRelease(f"r/{unit}", unit, owner.epoch)
        for unit, owner in state.owners.items()
    ]
    assert set(apply_all(state, batch)) == {"accepted"}
    return state


def make_aged_view(state, ages_s):
    """Return a view of candidates by name that are live for so long."""
    candidates = {
        name: unit_assignment.Candidate(1, "", NOW_S - age_s)
        for name, age_s in ages_s.items()
    }
    return unit_assignment.AssignmentView(state, UNITS, candidates)


def count_owned(state):
    return collections.Counter(o.entry for o in state.owners.values())


class TestClaims:
    def test_entries_claim_distinct_units_evenly(self):
        state = fleet.FleetState()
        view = make_view(state)
        due = [
            claim
            for name in NAMES
            for claim in unit_assignment.claims_due(
                make_lease(state, name), view, 10.0
            )
        ]
        assert sorted(claim.unit for claim in due) == sorted(UNITS)
        assert set(apply_all(state, due)) == {"accepted"}
        assert count_owned(state) == dict.fromkeys(NAMES, 2)

    def test_only_units_of_a_lost_entry_are_reassigned(self):
        state = own_all()
        kept = {u: o for u, o in state.owners.items() if o.entry != "e1"}
        view = make_view(state, ("e0", "e2", "e3"))
        chosen = unit_assignment.choose_owners(view)
        assert chosen.keys() == UNITS.keys() - kept.keys()

    def test_restarted_entry_acts_only_after_its_wait(self):
        state = own_all(("e0",), lambda s: make_view(s, ("e0",)))
        lease = make_lease(state, "e0", incarnation=2)
        assert not lease.owned_units
        candidates = {"e0": unit_assignment.Candidate(2)}
        view = unit_assignment.AssignmentView(state, UNITS, candidates)
        apply_all(state, unit_assignment.claims_due(lease, view, 10.0))
        ownership.renew_lease(lease, state, 10.0, 10.1)
        assert not ownership.may_act(lease, "domain/d0", 10.2)
        ownership.renew_lease(lease, state, 15.0, 15.1)
        assert ownership.may_act(lease, "domain/d0", 15.2)

    @pytest.mark.parametrize(
        "began_s", [None, 9.5], ids=["no lease", "not settled"]
    )
    def test_entry_claims_nothing_before_its_lease_has_settled(self, began_s):
        state = fleet.FleetState()
        lease = ownership.LeaseState("e0", 1)
        if began_s is not None:
            ownership.renew_lease(lease, state, began_s, began_s)
        view = make_view(state, ("e0",))
        assert unit_assignment.claims_due(lease, view, 10.0) == []

    def test_claim_not_seen_in_the_log_is_repeated_under_its_id(self):
        state = fleet.FleetState()
        lease = make_lease(state, "e0")
        view = make_view(state, ("e0",), {"domain/d0": ""})
        (first,) = unit_assignment.claims_due(lease, view, 10.0)
        assert unit_assignment.claims_due(lease, view, 11.0) == []
        ownership.renew_lease(lease, state, 12.0, 12.0)
        (again,) = unit_assignment.claims_due(lease, view, 12.5)
        assert again == first
        statuses = apply_all(state, [first, again])
        assert statuses == ["accepted", "repeated"]
        assert state.epoch_of("domain/d0") == 0

    @pytest.mark.parametrize("ages_s", [{"e0": 20.0, "e2": 1.0}, {"e0": 20.0}])
    def test_released_units_wait_for_no_entry_that_just_started(self, ages_s):
        state = release_all("e1")
        view = make_aged_view(state, ages_s)
        lease = make_lease(state, "e0")
        claimed = unit_assignment.claims_due(lease, view, NOW_S)
        assert {claim.unit for claim in claimed} == UNITS.keys()

    def test_released_units_are_shared_when_all_entries_just_started(self):
        state = release_all("e1")
        view = make_aged_view(state, {"e0": 3.0, "e2": 1.0})
        lease = make_lease(state, "e0")
        claimed = unit_assignment.claims_due(lease, view, NOW_S)
        assert len(claimed) == len(UNITS) // 2

    def test_first_units_are_shared_with_entries_that_just_started(self):
        state = fleet.FleetState()
        view = make_aged_view(state, {"e0": 20.0, "e2": 1.0})
        lease = make_lease(state, "e0")
        claimed = unit_assignment.claims_due(lease, view, NOW_S)
        assert len(claimed) == len(UNITS) // 2

    def test_second_of_two_concurrent_claims_is_rejected(self):
        state = fleet.FleetState()
        unit = {"domain/d0": ""}
        both = [
            unit_assignment.claims_due(
                make_lease(state, name),
                make_view(state, (name,), unit),
                10.0,
            )[0]
            for name in ("e0", "e1")
        ]
        assert apply_all(state, both) == ["accepted", "conflict"]
        assert not make_lease(state, "e1").owned_units

    def test_entries_of_the_domains_data_centre_are_preferred(self):
        centres = {"e0": "a", "e1": "a", "e2": "b", "e3": "b"}
        units = {"domain/d1": "a", "domain/d2": "b", "domain/d3": "gone"}
        state = fleet.FleetState()
        view = make_view(state, units=units, data_centres=centres)
        chosen = unit_assignment.choose_owners(view)
        assert centres[chosen["domain/d1"]] == "a"
        assert centres[chosen["domain/d2"]] == "b"
        assert chosen["domain/d3"] in NAMES


class TestHandover:
    def test_new_entry_receives_its_share_one_unit_at_a_time(self):
        state = own_all(NAMES[:3], lambda s: make_view(s, NAMES[:3]))
        now_s = 10.0
        leases = {name: make_lease(state, name) for name in NAMES}
        moved = 0
        for _ in range(20):
            now_s += 6.0
            batch = []
            for lease in leases.values():
                for at_s in (now_s - 4.0, now_s - 2.0, now_s):
                    ownership.renew_lease(lease, state, at_s, at_s)
                view = make_view(state)
                due = unit_assignment.releases_due(lease, view, now_s)
                batch += due
            assert len(batch) <= 1
            moved += len(batch)
            apply_all(state, batch)
            for lease in leases.values():
                view = make_view(state)
                due = unit_assignment.claims_due(lease, view, now_s)
                apply_all(state, due)
        assert moved == 2
        assert sorted(count_owned(state).values()) == [2, 2, 2, 2]

    def test_stopping_entry_repeats_releases_until_seen_in_the_log(self):
        state = own_all(("e0",), lambda s: make_view(s, ("e0",)))
        lease = make_lease(state, "e0")
        view = make_view(state)
        first = unit_assignment.releases_due(lease, view, 10.0, True)
        assert len(first) == len(UNITS)
        assert not ownership.may_act(lease, "domain/d0", 10.0)
        assert unit_assignment.releases_due(lease, view, 11.0, True) == []
        assert unit_assignment.releases_due(lease, view, 12.5, True) == first
        apply_all(state, first)
        ownership.update_owned_units(lease, state, 13.0)
        assert unit_assignment.releases_due(lease, view, 15.0, True) == []
        chosen = set(unit_assignment.choose_owners(view).values())
        assert "e0" not in chosen

    def test_stopping_entry_releases_nothing_before_its_wait_is_over(self):
        state = own_all(("e0",), lambda s: make_view(s, ("e0",)))
        epoch = state.epoch_of("domain/d0")
        claim = records.OwnershipClaim("c", "domain/d0", "e1", 1, epoch)
        apply_all(state, [claim])
        lease = ownership.LeaseState("e1", 1)
        ownership.renew_lease(lease, state, 10.0, 10.0)
        assert (
            unit_assignment.releases_due(lease, make_view(state), 11.0, True)
            == []
        )
        due = unit_assignment.releases_due(lease, make_view(state), 15.0, True)
        assert [record.unit for record in due] == ["domain/d0"]
