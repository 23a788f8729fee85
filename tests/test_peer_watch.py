"""Tests of what an entry tells others of its reads of the log."""

import types

import pytest
import trio
import trio.testing

from sycamorespool import claims
from sycamorespool.decisions import fleet
from sycamorespool.decisions import membership
from sycamorespool.decisions import ownership
from sycamorespool.decisions import pings
from sycamorespool import models
from sycamorespool import peer_watch

NAMES = ("old", "new")
UNIT = "domain/d"


def make_watch(name):
    """Return the watch of an entry; ``old`` owns a unit."""
    fleet_state = fleet.FleetState()
    fleet_state.owners[UNIT] = fleet.Ownership("old", 1, 0)
    entry = types.SimpleNamespace(data_centre="dc")
    vms = {
        other: models.Vm(other, "entry", other, "dc", "dc") for other in NAMES
    }
    env = types.SimpleNamespace(
        name=name,
        incarnation=1,
        fleet=fleet_state,
        log_read_s=trio.current_time(),
        lease=ownership.LeaseState(name, 1, lease_since_s=0.0),
        settings=types.SimpleNamespace(entry=entry),
        entries=lambda: vms,
    )
    state = membership.join(name, name, "dc", "r", 1)
    listed = {other: (other, "dc") for other in NAMES}
    membership.set_listed(state, listed, trio.current_time())
    return peer_watch.PeerWatch(env, state)


async def ping(sender, target):
    """Let one entry ping the other and take the answer."""
    message = membership.make_ping(sender.state, target.env.name)
    handlers = peer_watch.make_handlers(target)
    ack = await handlers[pings.Ping](message)
    membership.receive(sender.state, ack, trio.current_time())


async def is_candidate(running_s, paused_s):
    """Tell whether ``old`` counts as live after some time without a read.

    It runs on without a read for ``running_s`` and then stands still for
    ``paused_s``.
    """
    old, new = make_watch("old"), make_watch("new")
    await ping(new, old)
    for _ in range(int(running_s / 0.5)):
        await trio.sleep(0.5)
        await ping(new, old)
    await trio.sleep(paused_s)
    await ping(new, old)
    return "old" in claims.list_live_entries(new.env, new.state)


class TestLogView:
    @pytest.mark.parametrize(
        ("running_s", "paused_s", "expected"),
        [
            (0.0, 0.5, True),
            (1.5, 0.0, True),
            (3.0, 0.0, False),
            (0.0, 4.0, True),
            (0.5, 1.7, True),
            (1.5, 4.0, True),
        ],
    )
    def test_paused_owner_is_not_taken_for_one_cut_off_from_the_log(
        self, running_s, paused_s, expected
    ):
        result = trio.run(
            is_candidate,
            running_s,
            paused_s,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        assert result is expected

    def test_read_that_ends_after_a_pause_does_not_show_an_outage(self):
        async def scenario():
            old, new = make_watch("old"), make_watch("new")
            await ping(new, old)
            await trio.sleep(0.1)
            read_began_s = trio.current_time()
            await trio.sleep(4.0)
            await ping(new, old)
            old.env.log_read_s = read_began_s
            await ping(new, old)
            return new.state.members["old"].log.is_readable

        clock = trio.testing.MockClock(autojump_threshold=0)
        assert trio.run(scenario, clock=clock)

    def test_log_outage_is_reported_while_pings_fail(self):
        async def scenario():
            old, new = make_watch("old"), make_watch("new")
            old.state.period_s = 0.2
            seen = []
            for _ in range(4):
                await ping(new, old)
                seen.append(new.state.members["old"].log.is_readable)
                await trio.sleep(
                    peer_watch.PING_TIMEOUT_S
                    + peer_watch.PING_REQUEST_TIMEOUT_S
                )
            return seen

        clock = trio.testing.MockClock(autojump_threshold=0)
        seen = trio.run(scenario, clock=clock)
        assert (seen[0], seen[-1]) == (True, False)

    def test_log_outage_after_a_pause_is_reported(self):
        async def scenario():
            old, new = make_watch("old"), make_watch("new")
            await ping(new, old)
            await trio.sleep(4.0)
            seen = []
            for _ in range(6):
                await ping(new, old)
                seen.append(new.state.members["old"].log.is_readable)
                await trio.sleep(0.5)
            return seen

        clock = trio.testing.MockClock(autojump_threshold=0)
        seen = trio.run(scenario, clock=clock)
        assert (seen[0], seen[-1]) == (True, False)
