"""Tests of the backend servers known from the registry."""

import dataclasses

import pytest

from sycamorespool import backends
from sycamorespool.decisions import registry


def make_backend(vm_id="i-1", **changes):
    backend = backends.Backend(
        vm_id, "s", "10.0.0.1:80", "dc", 4, False, domain="d", started_ms=5
    )
    return dataclasses.replace(backend, **changes)


def take(state, now_s=0.0, **changes):
    backend = make_backend(**changes)
    registry.apply_entry(state, backend.backend_id, backend, now_s)


class TestTake:
    def test_heartbeat_keeps_the_generation(self):
        state = registry.Registry()
        take(state, 1.0)
        before = state.generation
        take(state, 2.0, sequence=9)
        assert state.generation == before
        assert state.last_heartbeat_s["i-1"] == 2.0

    def test_registry_entry_from_before_a_restart_is_ignored(self):
        state = registry.Registry()
        take(state, 1.0, started_ms=7, is_draining=True)
        take(state, 2.0, started_ms=6)
        assert state.servers["i-1"].is_draining

    def test_cold_time_counts_from_when_the_entry_is_read(self):
        state = registry.Registry()
        take(state, 10.0, cold_left_s=3.0)
        assert state.cold_until_s["i-1"] == 13.0

    def test_members_of_one_group_are_indexed_by_rank(self):
        state = registry.Registry()
        for rank, vm_id in enumerate(("i-1", "i-2")):
            member = backends.Membership(
                "g", 7, rank, backends.MemberState.READY
            )
            take(state, vm_id=vm_id, membership=member)
        (group,) = state.groups_of("s")
        assert group.members == {0: "i-1", 1: "i-2"}
        assert group.head == "i-1"


class TestRemoval:
    def test_removed_server_is_dropped_at_once(self):
        state = registry.Registry()
        take(state)
        registry.apply_entry(state, "i-1", None, 50.0)
        assert not state.servers

    def test_removal_right_after_an_outage_is_delayed(self):
        state = registry.Registry()
        take(state)
        registry.note_outage_end(state, 50.0)
        registry.apply_entry(state, "i-1", None, 50.1)
        assert state.servers
        until_s = 50.0 + registry.REMOVAL_HOLD_S
        assert registry.forget_removed(state, until_s) == ["i-1"]
        assert not state.servers

    def test_server_that_registers_again_before_removal_is_kept(self):
        state = registry.Registry()
        take(state)
        registry.note_outage_end(state, 50.0)
        registry.apply_entry(state, "i-1", None, 50.1)
        take(state, 51.0)
        assert registry.forget_removed(state, 99.0) == []
        assert state.servers

    def test_full_listing_replaces_the_known_servers(self):
        state = registry.Registry()
        take(state, vm_id="i-1")
        take(state, vm_id="i-2")
        registry.replace_all(state, {"i-2": make_backend("i-2")}, 9.0)
        assert set(state.servers) == {"i-2"}


class TestRestore:
    @pytest.mark.parametrize("sequence", [3, 7])
    def test_old_entry_does_not_end_a_drain(self, sequence):
        state = registry.Registry()
        take(state, 1.0, sequence=7, is_draining=True)
        copied = make_backend(sequence=sequence)
        registry.apply_restored(state, {"i-1": copied}, 2.0)
        assert state.servers["i-1"].is_draining

    def test_server_that_left_does_not_come_back_by_its_old_entry(self):
        state = registry.Registry()
        take(state, 1.0, sequence=7)
        registry.apply_entry(state, "i-1", None, 2.0)
        registry.apply_restored(state, {"i-1": make_backend(sequence=6)}, 3.0)
        assert not state.servers

    @pytest.mark.parametrize(
        "changes", [{"sequence": 8}, {"started_ms": 6, "sequence": 1}]
    )
    def test_server_that_wrote_again_is_used(self, changes):
        state = registry.Registry()
        take(state, 1.0, sequence=7)
        registry.apply_entry(state, "i-1", None, 2.0)
        written = make_backend(**changes)
        registry.apply_restored(state, {"i-1": written}, 3.0)
        assert state.servers == {"i-1": written}

    def test_server_that_the_copy_lacks_stays_as_after_an_outage(self):
        state = registry.Registry()
        take(state, 1.0)
        registry.apply_restored(state, {}, 3.0)
        assert state.servers
        until_s = 3.0 + registry.REMOVAL_HOLD_S
        assert registry.forget_removed(state, until_s) == ["i-1"]

    def test_unknown_server_of_the_copy_is_used(self):
        state = registry.Registry()
        registry.apply_restored(state, {"i-1": make_backend()}, 3.0)
        assert state.servers

    def test_removed_servers_are_forgotten_in_time(self):
        state = registry.Registry()
        for number in range(3):
            now_s = number * registry.REMOVED_KEEP_S
            take(state, now_s, vm_id=f"i-{number}")
            registry.apply_entry(state, f"i-{number}", None, now_s + 1.0)
        assert set(state.removed) == {"i-1", "i-2"}


class TestEntryThatIsWrittenLate:
    # Review 3 (DRAIN): a heartbeat that the store carried out late brought a
    # server back that had left, or that drained.
    def test_it_does_not_bring_back_a_server_that_left(self):
        state = registry.Registry()
        take(state, 1.0, sequence=4)
        registry.apply_entry(state, "i-1", None, 50.0)
        take(state, 52.0, sequence=3)
        take(state, 52.1, sequence=4)
        assert not state.servers
        take(state, 52.2, sequence=5)
        assert state.servers

    def test_it_does_not_end_a_drain(self):
        state = registry.Registry()
        take(state, 1.0, sequence=4, is_draining=True)
        take(state, 2.0, sequence=3)
        assert state.servers["i-1"].is_draining

    def test_it_brings_back_no_group(self):
        state = registry.Registry()
        member = backends.Membership("g", 7, 0, backends.MemberState.OPEN)
        take(state, 1.0, sequence=4)
        take(state, 2.0, sequence=3, membership=member)
        assert not state.groups_of("s")

    def test_it_is_no_sign_of_life(self):
        state = registry.Registry()
        take(state, 1.0, sequence=4)
        take(state, 2.0, sequence=3, cold_left_s=9.0)
        assert state.last_heartbeat_s["i-1"] == 1.0
        assert not state.cold_until_s

    def test_it_does_not_keep_a_server_whose_removal_is_due(self):
        state = registry.Registry()
        take(state, sequence=4)
        registry.note_outage_end(state, 50.0)
        registry.apply_entry(state, "i-1", None, 50.1)
        take(state, 51.0, sequence=3)
        assert registry.forget_removed(state, 99.0) == ["i-1"]

    @pytest.mark.parametrize("apply", ["replace_all", "apply_restored"])
    def test_full_listing_is_no_exception(self, apply):
        state = registry.Registry()
        take(state, 1.0, sequence=4, is_draining=True)
        take(state, 1.0, vm_id="i-2", sequence=4)
        registry.apply_entry(state, "i-2", None, 50.0)
        listing = {
            vm_id: make_backend(vm_id, sequence=3) for vm_id in ("i-1", "i-2")
        }
        getattr(registry, apply)(state, listing, 52.0)
        assert state.servers["i-1"].is_draining
        assert "i-2" not in state.servers

    def test_process_that_started_later_is_another_one(self):
        state = registry.Registry()
        take(state, 1.0, sequence=4)
        registry.apply_entry(state, "i-1", None, 50.0)
        take(state, 52.0, sequence=1, started_ms=6)
        assert state.servers["i-1"].started_ms == 6

    def test_entry_that_cannot_be_read_changes_nothing_in_a_listing(self):
        state = registry.Registry()
        take(state, 1.0, sequence=4)
        registry.replace_all(state, {"i-1": None}, 52.0)
        assert "i-1" in state.servers

    # Report 1: an odd record must not lock its server out for good.
    @pytest.mark.parametrize("ahead", [{"sequence": 900}, {"started_ms": 9}])
    def test_record_that_is_ahead_of_its_server_ends(self, ahead):
        state = registry.Registry()
        take(state, 1.0, **{"sequence": 4, **ahead})
        for number in range(9):
            take(state, 2.0 + number, sequence=5 + number)
        assert state.last_heartbeat_s["i-1"] == 1.0
        late_s = 1.1 + registry.LATE_WRITE_S
        take(state, late_s, sequence=14, is_draining=True)
        assert state.servers["i-1"].is_draining
