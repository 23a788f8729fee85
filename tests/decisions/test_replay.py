"""Tests which records the replay accepts, and their effect on the state."""

import pytest

from sycamorespool.decisions import replay
from sycamorespool import records

SERVICES = {"a": {"group_size": 2, "replicas": 1, "model": "m"}}


def make_state():
    state = replay.FleetState()
    replay.apply(
        state, 0, records.ConfigPatch("p0", 0, {"services": SERVICES})
    )
    replay.apply(state, 1, records.OwnershipClaim("c0", "domain/d", "e", 1))
    return state


def form(record_id, members, epoch=1, **fields):
    return records.GroupFormed(
        record_id, "domain/d", epoch, record_id, "a", members, **fields
    )


class TestPatches:
    def test_second_patch_on_same_version_is_a_conflict(self):
        state = make_state()
        first = records.ConfigPatch("p1", 1, {"vms": {"v": {}}})
        second = records.ConfigPatch("p2", 1, {"vms": {"w": {}}})
        assert replay.apply(state, 2, first).is_accepted
        assert replay.apply(state, 3, second).status == "conflict"
        assert list(state.config.vms) == ["v"]

    def test_invalid_patch_changes_nothing(self):
        state = make_state()
        patch = records.ConfigPatch("p1", 1, {"services": {"a": {"x": 1}}})
        assert replay.apply(state, 2, patch).status == "invalid"
        assert state.version == 1

    def test_repeated_record_id_is_not_applied_again(self):
        state = make_state()
        patch = records.ConfigPatch("p1", 1, {})
        assert replay.apply(state, 2, patch).is_accepted
        assert replay.apply(state, 3, patch).status == "repeated"
        assert state.version == 2


class TestClaims:
    def test_claim_is_accepted_only_if_it_names_the_current_epoch(self):
        state = make_state()
        late = records.OwnershipClaim("c1", "domain/d", "f", 1)
        assert replay.apply(state, 2, late).status == "conflict"
        next_claim = records.OwnershipClaim("c2", "domain/d", "f", 1, 1)
        assert replay.apply(state, 3, next_claim).is_accepted
        assert state.epoch_of("domain/d") == 3


class TestGroups:
    def test_group_with_member_of_another_group_is_rejected(self):
        state = make_state()
        assert replay.apply(state, 2, form("g1", ("v1", "v2"))).is_accepted
        other = form("g2", ("v2", "v3"), replaces="g1")
        assert replay.apply(state, 3, other).status == "invalid"

    def test_record_with_superseded_epoch_is_rejected(self):
        state = make_state()
        replay.apply(
            state, 2, records.OwnershipClaim("c1", "domain/d", "f", 1, 1)
        )
        verdict = replay.apply(state, 3, form("g1", ("v1", "v2")))
        assert verdict.status == "invalid"

    def test_surplus_group_is_accepted_only_as_a_replacement(self):
        state = make_state()
        replay.apply(state, 2, form("g1", ("v1", "v2")))
        surplus = form("g2", ("v3", "v4"))
        assert not replay.apply(state, 3, surplus).is_accepted
        spare = form("g3", ("v3", "v4"), replaces="g1")
        assert replay.apply(state, 4, spare).is_accepted
        assert set(state.groups) == {"g1", "g3"}

    @pytest.mark.parametrize(
        "record",
        [
            records.GroupDissolved("x", "domain/e", 9, "g1"),
            records.GroupMemberReplaced("x", "domain/e", 9, "g1", "v1", "v9"),
            records.GroupMemberReplaced("x", "domain/d", 1, "g1", "v7", "v9"),
            records.GroupMemberReplaced("x", "domain/d", 1, "g1", "v1", "v2"),
            form("g2", ("v3", "v3", "v4"), replaces="g1"),
            form("g2", ("v3",), replaces="g1"),
            form("g2", ("v3", "v4"), replaces="g0"),
        ],
    )
    def test_rejected_record_changes_nothing(self, record):
        state = make_state()
        replay.apply(state, 2, form("g1", ("v1", "v2")))
        claim = records.OwnershipClaim("c9", "domain/e", "f", 1)
        replay.apply(state, 9, claim)
        groups = dict(state.groups)
        assert replay.apply(state, 10, record).status == "invalid"
        assert state.groups == groups

    def test_record_with_released_epoch_is_rejected(self):
        state = make_state()
        replay.apply(state, 2, records.OwnershipRelease("r", "domain/d", 1))
        assert not replay.apply(state, 3, form("g1", ("v1", "v2"))).is_accepted

    def test_second_successor_is_rejected_but_chained_one_inherits(self):
        state = make_state()
        replay.apply(state, 2, form("g1", ("v1", "v2")))
        replay.apply(state, 3, form("g2", ("v3", "v4"), replaces="g1"))
        third = form("g3", ("v5", "v6"), replaces="g1")
        assert not replay.apply(state, 4, third).is_accepted
        chained = form("g4", ("v5", "v6"), replaces="g2")
        assert replay.apply(state, 5, chained).is_accepted
        dissolved = records.GroupDissolved("x", "domain/d", 1, "g2")
        replay.apply(state, 6, dissolved)
        assert state.groups["g4"].replaces == "g1"
        assert state.replica_counts["a"] == 1

    @pytest.mark.parametrize(
        ("patch", "joins"),
        [
            ({"a": None}, False),
            ({"a": {"group_size": 3}}, False),
            ({"a": {"version": "2"}}, True),
        ],
    )
    def test_group_survives_change_of_service_until_dissolved(
        self, patch, joins
    ):
        state = make_state()
        replay.apply(state, 2, form("g1", ("v1", "v2")))
        change = records.ConfigPatch("p", 1, {"services": patch})
        assert replay.apply(state, 3, change).is_accepted
        assert state.groups["g1"].version == "1"
        joined = records.GroupMemberReplaced(
            "j", "domain/d", 1, "g1", "v1", "v9"
        )
        assert replay.apply(state, 4, joined).is_accepted is joins
        dissolved = records.GroupDissolved("x", "domain/d", 1, "g1")
        assert replay.apply(state, 5, dissolved).is_accepted
