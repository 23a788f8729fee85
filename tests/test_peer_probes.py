"""Tests of whose word counts when a server refuses connections."""

import types

import pytest
import trio
import trio.testing

from sycamorespool import backends
from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions.placing import reachability
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions import registry
from sycamorespool.decisions import store_readers
from sycamorespool import http_client
from sycamorespool.peers import peer_probes

SERVERS = [f"i-{number}" for number in range(6)]


def make_server(vm_id):
    return backends.Backend(vm_id, "s", "10.0.0.1:1", "dc", 4, False)


def make_context(failed, heard_s):
    """Return a context with failed servers and when others were heard."""
    known = registry.Registry()
    for vm_id in SERVERS:
        registry.apply_entry(known, vm_id, make_server(vm_id), 0.0)
    state = placement_state.PlacementState(known, {})
    server_activity.note_bytes(state.activities[SERVERS[-1]], heard_s)
    reach = reachability.Reachability()
    for vm_id in SERVERS[:failed]:
        reachability.note_failed(reach, vm_id, True, 0.0)
    peer = store_readers.Entry("10.0.0.9:1", "dc")
    return types.SimpleNamespace(
        name="e-1",
        registry=known,
        placement_state=state,
        reach=reach,
        peer_pool=None,
        entry_directory=store_readers.EntryDirectory({"e-2": peer}),
        random=types.SimpleNamespace(shuffle=lambda names: None),
    )


@pytest.fixture
def ask(monkeypatch):
    """Return a function that tells whether a refusing server has ended."""

    def run(context, peer_says, refuses=True, others_accept=False):
        async def is_refused(address, timeout_s):
            return refuses

        async def is_accepting(address, timeout_s):
            return others_accept

        async def exchange(*args, **kwargs):
            if peer_says is None:
                raise http_client.NotReached
            return http_client.Response(200, {}, peer_says.encode())

        monkeypatch.setattr(peer_probes.sockets, "is_refused", is_refused)
        monkeypatch.setattr(peer_probes.sockets, "is_accepting", is_accepting)
        monkeypatch.setattr(peer_probes.http_client, "exchange", exchange)

        async def main():
            await trio.sleep(10.0 - trio.current_time())
            return await peer_probes.has_ended(context, make_server("i-0"))

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    return run


class TestHasEnded:
    def test_many_servers_that_end_do_not_put_the_own_links_in_doubt(
        self, ask
    ):
        assert ask(make_context(failed=5, heard_s=9.9), "unknown")
        assert ask(make_context(failed=5, heard_s=9.9), None)

    def test_entry_that_hears_no_server_does_not_trust_itself(self, ask):
        assert not ask(make_context(failed=1, heard_s=1.0), "unknown")
        assert not ask(make_context(failed=1, heard_s=1.0), None)

    def test_entry_without_traffic_trusts_itself_if_others_accept(self, ask):
        context = make_context(failed=5, heard_s=1.0)
        assert ask(context, None, others_accept=True)

    @pytest.mark.parametrize("heard_s", [1.0, 9.9])
    def test_entry_that_can_tell_decides(self, ask, heard_s):
        assert ask(make_context(1, heard_s), "ended")
        assert not ask(make_context(1, heard_s), "running")

    def test_server_that_accepts_connections_has_not_ended(self, ask):
        assert not ask(make_context(1, 9.9), "ended", refuses=False)

    def test_answer_that_is_not_valid_tells_nothing(self, ask):
        assert ask(make_context(1, 9.9), "perhaps")
