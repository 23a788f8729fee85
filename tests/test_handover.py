"""Tests of the grants of an entry that takes a unit over from another one."""

import types

import pytest
import trio
import trio.testing

from sycamorespool import configuration
from sycamorespool.decisions import fleet
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import membership
from sycamorespool.decisions import ownership
from sycamorespool.decisions import replay
from sycamorespool import grantor
from sycamorespool import group_control
from sycamorespool import leases
from sycamorespool import models
from sycamorespool import owner
from sycamorespool import peer_watch
from sycamorespool import records

UNIT = "domain/d"
ASK_PERIOD_S = 0.1
# Longer than any handover.
LIMIT_S = 20.0
TIMING = ownership.Timing()
CLAIM_WAIT_S = ownership.claim_wait_s(TIMING, fleet.Predecessor.ACTIVE)
GRANT_S = grant_ledger.counted_ttl_s()


def make_fleet(is_released):
    """Return a fleet whose unit ``new`` claimed after ``old`` owned it."""
    state = replay.FleetState()
    state.config = configuration.Configuration(
        services={"s": configuration.Service(kind="plain", cold_limit=8)}
    )
    log = [records.OwnershipClaim("c1", UNIT, "old", 1)]
    if is_released:
        log.append(records.OwnershipRelease("r1", UNIT, 0))
    log.append(records.OwnershipClaim("c2", UNIT, "new", 1, 0))
    for offset, record in enumerate(log):
        assert replay.apply(state, offset, record).is_accepted
    state.add_group(fleet.Group("g", "s", UNIT, 0, ("v",)))
    return state


def make_grantor(state):
    """Return the grantor of ``new``, which has just read its own claim."""
    now_s = trio.current_time()
    env = types.SimpleNamespace(
        name="new",
        incarnation=1,
        fleet=state,
        vms={"v": models.Vm("v", "service/s", "x", "dc", "d")},
        log_read_s=now_s,
        lease=ownership.LeaseState("new", 1, TIMING),
    )
    ownership.renew_lease(env.lease, state, now_s, now_s)
    peers = membership.join("new", "new", "dc", "r", 1)
    return grantor.Grantor(owner.Owner(env), peer_watch.PeerWatch(env, peers))


async def keep_probing(local_grantor):
    """Read the log and probe the VM as an owner does."""
    env = local_grantor.owner.env
    while True:
        now_s = env.log_read_s = trio.current_time()
        ownership.renew_lease(env.lease, env.fleet, now_s, now_s)
        report = models.ProbeReport("v", 1, models.EnginePhase.READY)
        local_grantor.owner.reports["v"] = (report, now_s)
        await trio.sleep(group_control.PROBE_PERIOD_S)


async def find_first_grant_s(is_released):
    """Return how long after its claim the new owner gives a first grant."""
    local_grantor = make_grantor(make_fleet(is_released))
    started_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_probing, local_grantor)
        with trio.fail_after(LIMIT_S):
            while True:
                await trio.sleep(ASK_PERIOD_S)
                now_s = trio.current_time()
                ask = models.GrantAsk("me", UNIT, {}, {"s": 4}, 1, now_s)
                answer = grantor.grant(local_grantor, ask)
                if answer is not None and answer.grants:
                    nursery.cancel_scope.cancel()
                    return now_s - started_s


class TestFirstGrant:
    @pytest.mark.parametrize(
        ("is_released", "earliest_s"),
        [(True, GRANT_S), (False, CLAIM_WAIT_S + GRANT_S)],
    )
    def test_new_owner_waits_no_longer_than_the_former_owner_and_its_grants(
        self, is_released, earliest_s, monkeypatch
    ):
        # The simulated clock runs apart from the clocks of the machine.
        monkeypatch.setattr(leases, "check", lambda _: trio.current_time())
        first_s = trio.run(
            find_first_grant_s,
            is_released,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        delay_s = group_control.PROBE_PERIOD_S + 2 * ASK_PERIOD_S
        assert earliest_s <= first_s <= earliest_s + delay_s

    def test_restarted_entry_waits_for_grants_of_its_earlier_process(self):
        async def find_opening_s():
            local_grantor = make_grantor(make_fleet(True))
            env = local_grantor.owner.env
            env.lease = ownership.LeaseState("new", 2, TIMING)
            now_s = trio.current_time()
            ledger = grantor._find_ledger(
                local_grantor, UNIT, env.fleet.owners[UNIT], now_s
            )
            return ledger.opens_at_s - now_s

        opening_s = trio.run(find_opening_s)
        assert opening_s == pytest.approx(GRANT_S)
