"""Tests of which servers an entry takes as reached."""

import pytest

from sycamorespool.decisions.placing import reachability

SERVERS = [f"i-{number}" for number in range(10)]


def make_state(unreached, is_refused=False):
    state = reachability.Reachability()
    for backend_id in unreached:
        reachability.note_failed(state, backend_id, is_refused, 1.0)
    return state


class TestServers:
    def test_server_is_unreached_until_a_connection_is_made(self):
        state = make_state(["i-1"])
        assert not reachability.is_reached(state, "i-1")
        assert reachability.is_reached(state, "i-2")
        assert reachability.note_reached(state, "i-1", 2.0)
        assert reachability.is_reached(state, "i-1")

    def test_repeated_failures_are_no_news(self):
        state = make_state(["i-1"])
        assert not reachability.note_failed(state, "i-1", True, 2.0)
        assert state.failures["i-1"] == reachability.Failure(1.0, True)

    @pytest.mark.parametrize(
        ("is_refused", "received_s", "lives"),
        [
            (True, 0.5, True),
            (True, 1.5, True),
            (False, 0.5, False),
            (False, 1.5, True),
        ],
    )
    def test_open_connections_live_if_nothing_speaks_against_it(
        self, is_refused, received_s, lives
    ):
        state = make_state(["i-1"], is_refused)
        assert reachability.may_live(state, "i-1", received_s) is lives


class TestCut:
    @pytest.mark.parametrize(
        ("unreached", "is_cut"), [(2, False), (7, False), (8, True)]
    )
    def test_entry_that_reaches_hardly_a_server_is_cut(
        self, unreached, is_cut
    ):
        state = make_state(SERVERS[:unreached])
        assert reachability.review(state, SERVERS, 2.0) is is_cut
        assert reachability.is_cut_now(state) is is_cut

    def test_few_servers_that_ended_are_no_cut(self):
        state = make_state(SERVERS[:2])
        assert not reachability.review(state, SERVERS[:2], 2.0)

    def test_time_of_a_cut_is_counted_from_its_first_review(self):
        state = make_state(SERVERS)
        reachability.review(state, SERVERS, 2.0)
        reachability.review(state, SERVERS, 3.0)
        assert not reachability.has_been_cut(state, 2.0, 3.9)
        assert reachability.has_been_cut(state, 2.0, 4.0)

    def test_cut_ends_with_the_first_servers_that_are_reached(self):
        state = make_state(SERVERS)
        reachability.review(state, SERVERS, 2.0)
        for backend_id in SERVERS[:3]:
            reachability.note_reached(state, backend_id, 3.0)
        assert reachability.review(state, SERVERS, 3.0)
        assert not reachability.is_cut_now(state)
