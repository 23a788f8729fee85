"""Tests of the placement of requests on backend servers."""

import collections
import random

import pytest

from sycamorespool import backends
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import placement
from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions import registry


ENTRIES = 200


def make_state(*servers):
    known = registry.Registry()
    for server in servers:
        registry.apply_entry(known, server.backend_id, server, 0.0)
    return placement_state.PlacementState(known, {"dc1": "r1", "dc2": "r2"})


def make_server(vm_id, data_centre="dc1", **changes):
    return backends.Backend(
        vm_id,
        "s",
        "10.0.0.1:80",
        data_centre,
        4,
        changes.pop("is_draining", False),
        **changes,
    )


def make_member(vm_id, group, rank, state="ready", **changes):
    member = backends.Membership(group, 1, rank, backends.MemberState(state))
    return make_server(vm_id, domain="d", membership=member, **changes)


def choose(state, constraints=None, now_s=0.0):
    constraints = constraints or candidates.PlacementRequest("s")
    found = placement.choose(
        state, constraints, now_s, 0.0, lambda server: True
    )
    return found.backend_id if found else None


class TestPlainService:
    def test_least_loaded_server_is_chosen(self):
        state = make_state(
            make_server("a", "dc2"), make_server("b"), make_server("c")
        )
        for vm_id in ("b", "c"):
            server_activity.begin(state.activities[vm_id], 0.0)
        assert choose(state) == "a"

    @pytest.mark.parametrize(
        "constraints",
        [
            candidates.PlacementRequest("s", excluded=frozenset({"a"})),
            candidates.PlacementRequest(
                "s", allowed_regions=frozenset({"r2"})
            ),
            # HOME: homes with nothing in common were taken for none.
            candidates.PlacementRequest("s", allowed_regions=frozenset()),
            candidates.PlacementRequest("other"),
        ],
    )
    def test_server_that_violates_a_constraint_is_not_chosen(
        self, constraints
    ):
        assert choose(make_state(make_server("a")), constraints) is None

    def test_draining_evacuated_or_blocked_server_is_not_chosen(self):
        assert choose(make_state(make_server("a", is_draining=True))) is None
        state = make_state(make_server("a"))
        state.evacuated.add("dc1")
        assert choose(state) is None
        state.evacuated.clear()
        state.blocked_until_s["a"] = 5.0
        assert choose(state, now_s=4.0) is None
        assert choose(state, now_s=5.0) == "a"


class TestGroups:
    def test_open_head_of_the_requested_model_is_chosen(self):
        state = make_state(
            make_member("a", "m@1", 0),
            make_member("b", "m@2", 0, "open"),
            make_member("c", "m@2", 1),
            make_member("d", "other@3", 0, "open"),
        )
        assert choose(state, candidates.PlacementRequest("s", "m")) == "b"

    def test_group_with_a_draining_member_is_not_chosen(self):
        state = make_state(
            make_member("b", "m@2", 0, "open"),
            make_member("c", "m@2", 1, is_draining=True),
        )
        assert choose(state, candidates.PlacementRequest("s", "m")) is None


class TestManyEntries:
    def test_entries_of_a_data_centre_do_not_overload_its_only_group(self):
        """Play entries with a request each: one group near, three far."""
        heads = [
            make_member(f"i-{n}", f"m@{n}", 0, "open", data_centre=centre)
            for n, centre in enumerate(("dc1", "dc2", "dc2", "dc2"))
        ]
        request = candidates.PlacementRequest("s", "m")
        rng = random.Random(1)
        chosen = collections.Counter(
            placement.choose(
                make_state(*heads), request, 0.0, rng.random(), lambda s: True
            ).backend_id
            for _ in range(ENTRIES)
        )
        assert max(chosen.values()) < 1.5 * ENTRIES / len(heads)


class TestRefusals:
    def test_server_that_refuses_again_and_again_is_left_alone_longer(self):
        state = make_state(make_server("a"))
        now_s, blocks_s = 0.0, []
        for _ in range(4):
            state.note_refusal("a", now_s)
            until_s = state.blocked_until_s["a"]
            assert choose(state, now_s=until_s - 0.01) is None
            assert choose(state, now_s=until_s) == "a"
            blocks_s.append(until_s - now_s)
            now_s = until_s
        longest_s = placement_state.MAX_REFUSED_BLOCK_S
        assert blocks_s == pytest.approx([0.15, 0.3, longest_s, longest_s])

    def test_full_server_does_not_draw_the_requests_of_many_entries(self):
        """Play entries with a request each 0.15 s; one of two is full."""
        arrivals = 0
        for _ in range(ENTRIES):
            state = make_state(make_server("full"), make_server("open"))
            server_activity.begin(state.activities["open"], 0.0)
            for step in range(20):
                now_s = step * placement_state.REFUSED_BLOCK_S
                if choose(state, now_s=now_s + 1e-6) == "full":
                    arrivals += 1
                    state.note_refusal("full", now_s)
        assert arrivals < ENTRIES * 20 / 2


class TestNotices:
    def test_server_that_leaves_is_not_chosen_again(self):
        state = make_state(make_server("a", started_ms=5))
        leaving = backends.Notice(is_leaving=True)
        state.note_notice(make_server("a", started_ms=5), leaving, 0.0)
        assert choose(state, now_s=1000.0) is None

    def test_leaving_is_remembered_while_the_registry_lacks_the_server(self):
        state = make_state()
        leaving = backends.Notice(is_leaving=True)
        state.note_notice(make_server("a", started_ms=5), leaving, 0.0)
        placement_state.forget(state, "a", 1.0)
        for started_ms, chosen in ((5, None), (6, "a")):
            server = make_server("a", started_ms=started_ms)
            registry.apply_entry(state.registry, "a", server, 2.0)
            assert choose(state, now_s=3.0) == chosen

    def test_group_with_a_member_that_leaves_is_not_chosen(self):
        member = make_member("c", "m@2", 1)
        state = make_state(make_member("b", "m@2", 0, "open"), member)
        state.note_notice(member, backends.Notice(is_leaving=True), 0.0)
        assert choose(state, candidates.PlacementRequest("s", "m")) is None

    def test_server_that_wants_a_pause_is_not_chosen_until_its_end(self):
        state = make_state(make_server("a"))
        for pause_s, now_s in ((4.0, 1.0), (1.0, 2.0)):
            notice = backends.Notice(retry_after_s=pause_s)
            state.note_notice(make_server("a"), notice, now_s)
        placement_state.forget(state, "a", 3.0)
        assert choose(state, now_s=4.9) is None
        assert choose(state, now_s=5.0) == "a"

    def test_end_of_the_first_pause_is_known_if_all_servers_want_one(self):
        state = make_state(make_server("a"), make_server("b"))
        request = candidates.PlacementRequest("s")

        def find_end_s():
            return candidates.find_backoff_end_s(state, request, 0.0)

        assert find_end_s() is None
        for vm_id, pause_s in (("a", 3.0), ("b", 2.0)):
            notice = backends.Notice(retry_after_s=pause_s)
            state.note_notice(make_server(vm_id), notice, 0.0)
        assert find_end_s() == 2.0
        state.blocked_until_s["b"] = 1.0
        assert find_end_s() == 2.0
        gone = backends.Notice(is_leaving=True)
        state.note_notice(make_server("b"), gone, 0.0)
        assert find_end_s() == 3.0

    def test_memory_of_leaving_servers_is_bounded(self):
        state = make_state()
        leaving = backends.Notice(is_leaving=True)
        for number in range(placement_state.MAX_LEAVING + 1):
            state.note_notice(make_server(f"i-{number}"), leaving, 0.0)
        assert len(state.leaving_ms) == placement_state.MAX_LEAVING
        assert "i-0" not in state.leaving_ms


class TestStallDetection:
    def test_silent_server_is_chosen_last_until_it_sends_bytes(self):
        state = make_state(make_server("a"), make_server("b", "dc2"))
        server_activity.begin(state.activities["a"], 0.0)
        now_s = server_activity.MIN_SUSPECT_SILENCE_S + 0.1
        assert choose(state, now_s=now_s) == "b"
        server_activity.note_bytes(state.activities["a"], now_s)
        server_activity.end(state.activities["a"])
        assert choose(state, now_s=now_s) == "a"

    @pytest.mark.parametrize(
        ("mean_ttfb_s", "silent_s", "probe_answer_s", "status"),
        [
            (0.1, 0.2, None, "usual"),
            (0.1, 0.3, None, "doubtful"),
            (0.1, 0.3, 0.28, "usual"),
            (0.1, 0.6, 0.28, "doubtful"),
            (0.1, 1.0, 0.99, "standstill"),
            (2.0, 2.9, None, "usual"),
            (2.0, 3.1, None, "doubtful"),
            (2.0, 8.1, 8.0, "standstill"),
        ],
    )
    def test_thresholds_scale_with_mean_ttfb(
        self, mean_ttfb_s, silent_s, probe_answer_s, status
    ):
        activity = server_activity.BackendActivity()
        server_activity.begin(activity, 0.0)
        if probe_answer_s is not None:
            activity.probe_answered_s = probe_answer_s
        assert (
            server_activity.detect_stall(activity, mean_ttfb_s, silent_s)
            == status
        )

    def test_mean_ttfb_is_kept_per_model(self):
        slow = make_member("a", "big@1", 0, "open")
        quick = make_member("b", "small@1", 0, "open")
        state = make_state(slow, quick)
        state.note_ttfb(slow, 2.0)
        state.note_ttfb(quick, 0.1)
        assert state.find_mean_ttfb_s(slow) == 2.0
        assert state.find_mean_ttfb_s(quick) == 0.1

    def test_stalled_server_stays_suspect_after_its_requests_moved(self):
        state = make_state(make_server("a"), make_server("b", "dc2"))
        activity = state.activities["a"]
        server_activity.begin(activity, 0.0)
        server_activity.note_stall(activity, 1.0)
        server_activity.end(activity)
        assert choose(state, now_s=1.0) == "b"
        assert choose(state, now_s=1.0 + server_activity.SUSPECT_HOLD_S) == "a"

    @pytest.mark.parametrize("event", ["bytes", "new group"])
    def test_suspicion_ends_on_bytes_or_a_new_group(self, event):
        state = make_state(
            make_member("a", "m@1", 0, "open"),
            make_member("b", "m@2", 0, "open", data_centre="dc2"),
        )
        constraints = candidates.PlacementRequest("s", "m")
        server_activity.note_stall(state.activities["a"], 1.0)
        assert choose(state, constraints, now_s=1.1) == "b"
        if event == "bytes":
            server_activity.note_bytes(state.activities["a"], 1.1)
        else:
            after = make_member("a", "m@7", 0, "open")
            state.clear_stale_suspicion(state.registry.servers["a"], after)
        assert choose(state, constraints, now_s=1.1) == "a"

    def test_suspect_server_is_chosen_if_there_is_no_other(self):
        state = make_state(make_server("a"))
        server_activity.note_stall(state.activities["a"], 1.0)
        assert choose(state, now_s=1.1) == "a"
