"""Tests of asking for grants, and of the grantor that answers."""

import types

import pytest
import trio
import trio.testing

from sycamorespool.decisions import fleet
from sycamorespool.decisions import grant_authority
from sycamorespool.decisions import membership
from sycamorespool.decisions import ownership
from sycamorespool.decisions import pings
from sycamorespool.decisions import rendezvous
from sycamorespool.entries import messages
from sycamorespool import exceptions
from sycamorespool import grant_user
from sycamorespool import grantor
from sycamorespool import grants_held
from sycamorespool import leases
from sycamorespool import models
from sycamorespool import owner
from sycamorespool import peer_watch

UNIT = "domain/d"
GRANT = models.Grant("g", "a", 1, 3, 2.0, "addr", "dc")
ANSWER = messages.GrantsReply(models.GrantAnswer(UNIT, 0, (GRANT,)))


@pytest.fixture(autouse=True)
def _lease(monkeypatch):
    """Let the entry named o hold a valid lease on every unit."""
    monkeypatch.setattr(leases, "may_act", lambda env, _: env.name == "o")


class Network:
    """Reply from a table by entry name; an entry without one is silent."""

    def __init__(self, replies):
        self.replies = replies
        self.calls = []

    async def call(self, address, message, timeout_s):
        self.calls.append((address, message.hops))
        reply = self.replies.get(address)
        if reply is None:
            raise exceptions.PeerUnavailable(address)
        return reply


def make_user(name="me", replies=None):
    """Return the grant user of one of the entries me, o (owner) and h."""
    state = membership.join(name, name, "dc", "r", 1)
    listed = {other: (other, "dc") for other in ("me", "o", "h")}
    membership.set_listed(state, listed, 0.0)
    fleet_state = fleet.FleetState()
    fleet_state.owners[UNIT] = fleet.Ownership("o", 1, 5)
    env = types.SimpleNamespace(
        name=name,
        incarnation=1,
        fleet=fleet_state,
        held=grants_held.GrantsHeld(),
        transport=Network(replies or {}),
        log_read_s=trio.current_time(),
        lease=ownership.LeaseState(name, 1),
        vms={},
    )
    watch = peer_watch.PeerWatch(env, state)
    local_grantor = grantor.Grantor(owner.Owner(env), watch)
    return grant_user.GrantUser(env, local_grantor, watch)


def run(scenario):
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


async def ask(user):
    await grant_user._ask_unit(user, UNIT, {"a": 2})
    return set(user.env.held.book.held)


class TestAsking:
    @pytest.mark.parametrize(
        ("replies", "groups", "calls"),
        [
            ({"o": ANSWER}, {"g"}, [("o", 0)]),
            ({"h": ANSWER}, {"g"}, [("o", 0), ("h", 1)]),
            ({"h": messages.Refused("")}, set(), [("o", 0), ("h", 1)]),
            ({"o": messages.Refused("")}, set(), [("o", 0)]),
        ],
    )
    def test_other_entry_is_asked_if_the_owner_is_not_reached(
        self, replies, groups, calls
    ):
        async def scenario():
            user = make_user(replies=replies)
            assert await ask(user) == groups
            assert user.env.transport.calls == calls

        run(scenario)

    def test_entry_does_not_grant_in_place_of_a_live_owner(self):
        async def scenario():
            user = make_user()
            user.env.log_read_s -= 1000.0
            assert await ask(user) == set()
            record = user.env.fleet.owners[UNIT]
            assert grantor._decide(user.local_grantor, UNIT, record) is None

        run(scenario)

    def test_ask_is_forwarded_at_most_once(self):
        async def scenario():
            user = make_user("h", {"o": ANSWER})
            request = models.GrantAsk("me", UNIT)
            refusal = messages.Refused("not the grantor")
            for hops, expected in ((1, ANSWER), (0, refusal)):
                message = messages.GrantsRequest(request, hops)
                reply = await grant_user.answer_ask(user, message)
                assert reply == expected
            assert user.env.transport.calls == [("o", 0)]

        run(scenario)


class TestAuthorityOfTheProcess:
    def test_substitute_needs_a_dead_owner_a_majority_and_time(self):
        async def scenario():
            first, second = rendezvous.rank(UNIT, ["me", "h"])
            user = make_user(first)
            user.env.log_read_s -= 1000.0
            state, record = user.watch.state, user.env.fleet.owners[UNIT]
            # One of two entries is not a majority.
            del state.members[second]
            seen = []
            for status in (pings.Status.SUSPECT, pings.Status.DEAD):
                member = state.members["o"]
                member.update = pings.Update("o", "o", "dc", 1, 0, status)
                member.since_s = trio.current_time()
                await trio.sleep(peer_watch.settle_s(user.watch) + 0.1)
                decided = grantor._decide(user.local_grantor, UNIT, record)
                seen.append(decided)
            assert seen == [None, None]
            membership.set_listed(state, {second: (second, "dc")}, 0.0)
            decided = grantor._decide(user.local_grantor, UNIT, record)
            assert decided == grant_authority.GrantAuthority(2)

        run(scenario)

    def test_paused_process_grants_half_until_it_is_healthy_again(self):
        async def scenario():
            user = make_user("o")
            local_grantor = user.local_grantor
            settle_s = peer_watch.settle_s(user.watch)
            halvings = []
            for pause_s in (0.0, *[0.5] * 30, grantor.MAX_CHECK_GAP_S + 1.0):
                await trio.sleep(pause_s)
                now_s = user.env.log_read_s = trio.current_time()
                record = user.env.fleet.owners[UNIT]
                authority = grantor._decide(local_grantor, UNIT, record)
                halvings.append(authority.halvings)
                grantor._update_health(local_grantor, now_s)
            assert settle_s < 15.0
            assert (halvings[0], halvings[-2], halvings[-1]) == (1, 0, 1)

        run(scenario)
