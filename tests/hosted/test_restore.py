"""Tests of an entry whose platform restores its store from an older copy."""

import functools

import pytest
import trio

from sycamorespool.store import config_follower
from sycamorespool.store import entry_announcements
from tests.hosted import fleet as fleets

# Calls refused by a store that is down, so that each reader had one.
CALLS = 4


async def has_read_all(fleet):
    """Tell whether the entry has read all that is in its topics."""
    for topic in ("keyed.op", "keyed.servers"):
        newest = len(fleet.store.topics[topic, 0].records) - 1
        answer = await fleet.ask_peer(topic, newest)
        # An entry whose whole read was the last has no older records (410).
        is_behind = answer.status == 200 and not (
            fleet.decode_peer_records(answer).records
        )
        if is_behind:
            return False
    return True


async def restore(fleet):
    """Restore the store to its state when the fleet began to serve."""
    await fleet.wait_for(functools.partial(has_read_all, fleet))
    restored_to_s = fleet.serving_s
    fleet.store.restore(trio.current_time() - restored_to_s)


async def is_answered(fleet, status, path="/orders/1", **options):
    return (await fleet.ask(path, **options)).status == status


async def stays_answered(fleet, status, duration_s, **options):
    """Tell whether every answer within a time has a status."""
    end_s = trio.current_time() + duration_s
    while trio.current_time() < end_s:
        if not await is_answered(fleet, status, **options):
            return False
        await trio.sleep(fleets.CHECK_PERIOD_S)
    return True


class TestConfiguration:
    def test_revoked_key_stays_revoked(self, run_hosted):
        async def scenario(fleet):
            tenant = {"name": "w", "api_keys": [fleets.OTHER_KEY]}
            changed = {**fleets.CONFIG, "version": 5, "tenants": [tenant]}
            fleet.store.put("keyed.op", "config", changed)
            await fleet.wait_for(functools.partial(is_answered, fleet, 401))
            await restore(fleet)
            assert await stays_answered(fleet, 401, 2.0)

        run_hosted(scenario)

    @pytest.mark.parametrize("later_records", [0, 5])
    def test_version_written_after_the_restore_is_applied(
        self, run_hosted, later_records
    ):
        async def scenario(fleet):
            for version in (5, 6, 7):
                changed = {**fleets.CONFIG, "version": version}
                fleet.store.put("keyed.op", "config", changed)
            await restore(fleet)
            # At an offset that the entry has read already; the records after
            # it may reach beyond the entry's position.
            newest = {**fleets.CONFIG, "version": 9, "routes": []}
            fleet.store.put("keyed.op", "config", newest)
            for _ in range(later_records):
                fleet.store.put("keyed.op", "evacuate/other", {})
            await fleet.wait_for(functools.partial(is_answered, fleet, 404))

        run_hosted(scenario)


class TestEvacuation:
    @pytest.mark.parametrize("is_written_again", [True, False])
    def test_evacuation_holds_until_the_operators_have_written_again(
        self, run_hosted, monkeypatch, is_written_again
    ):
        monkeypatch.setattr(config_follower, "RESTORE_HOLD_S", 3.0)

        async def scenario(fleet):
            fleet.store.put("keyed.op", "evacuate/dc", {})
            refused = functools.partial(is_answered, fleet, 503)
            await fleet.wait_for(refused)
            await restore(fleet)
            assert await stays_answered(fleet, 503, 2.0)
            if is_written_again:
                fleet.store.put("keyed.op", "evacuate/dc", {})
                assert await stays_answered(fleet, 503, 4.0)
                fleet.store.put("keyed.op", "evacuate/dc", None)
            await fleet.wait_for(functools.partial(is_answered, fleet, 200))

        run_hosted(scenario)

    # A second whole read during the hold ended the evacuation early.
    def test_evacuation_holds_while_records_expire(
        self, run_hosted, monkeypatch
    ):
        monkeypatch.setattr(config_follower, "RESTORE_HOLD_S", 4.0)

        async def scenario(fleet):
            fleet.store.put("keyed.op", "evacuate/dc", {})
            refused = functools.partial(is_answered, fleet, 503)
            await fleet.wait_for(refused)
            await restore(fleet)
            assert await stays_answered(fleet, 503, 1.0)
            fleet.store.put("keyed.op", "other", {})
            fleet.store.put("keyed.op", "other", {})
            fleet.store.expire_records("keyed.op")
            assert await stays_answered(fleet, 503, 1.5)
            await fleet.wait_for(functools.partial(is_answered, fleet, 200))

        run_hosted(scenario)


class TestRegistry:
    def test_server_that_left_gets_no_requests(self, run_hosted):
        async def scenario(fleet):
            drained, removed = fleet.servers
            drained.write_record("draining")
            removed.write_record()
            removed.remove_record()
            await fleet.wait_for(functools.partial(is_answered, fleet, 503))
            await restore(fleet)
            drained.runs.clear()
            removed.runs.clear()
            assert await stays_answered(fleet, 503, 3.0)
            assert not drained.runs and not removed.runs

        run_hosted(scenario)

    def test_server_that_the_copy_lacks_serves_on(self, run_hosted):
        async def scenario(fleet):
            added = await fleet.add("p-9", "ledger")
            for server in fleet.servers[:2]:
                server.remove_record()

            async def is_used():
                await fleet.ask("/orders/1")
                return added.runs

            await fleet.wait_for(is_used)
            await restore(fleet)
            assert await stays_answered(fleet, 200, 1.0)
            added.write_record()
            assert await stays_answered(fleet, 200, 3.0)

        run_hosted(scenario)

    def test_server_whose_entry_expired_in_an_outage_serves_on(
        self, run_hosted
    ):
        async def scenario(fleet):
            fleet.store.is_down = True
            refused = fleet.store.refused

            async def has_noticed():
                return fleet.store.refused >= refused + CALLS

            await fleet.wait_for(has_noticed)
            for server in fleet.servers:
                server.remove_record()
            fleet.store.is_down = False
            assert await stays_answered(fleet, 200, 1.5)
            for server in fleet.servers:
                server.write_record()
            assert await stays_answered(fleet, 200, 1.5)

        run_hosted(scenario)


class TestOwnership:
    def test_new_claim_has_a_higher_number_than_any_before(self, run_hosted):
        async def scenario(fleet):
            # A later owner claimed in the time that the copy lacks.
            for engine in fleet.engines:
                engine.highest_token += 50
            await restore(fleet)
            head = fleet.open_heads()[0]
            name = head.group["name"]
            member = fleet.find_member(head)
            member.remove_record()
            member.is_silent = True
            fleet.engines.remove(member)
            await fleet.add("i-9", "assistant", "d")

            async def is_replaced():
                names = {e.group["name"] for e in fleet.open_heads()}
                return len(names) == 2 and name not in names

            await fleet.wait_for(is_replaced)

        run_hosted(scenario)

    def test_two_restores_in_a_row_are_survived(self, run_hosted):
        async def scenario(fleet):
            await restore(fleet)
            fleet.store.restore(1.0)
            newest = {**fleets.CONFIG, "version": 9, "routes": []}
            fleet.store.put("keyed.op", "config", newest)
            await fleet.wait_for(functools.partial(is_answered, fleet, 404))

        run_hosted(scenario)


class TestAnnouncement:
    def test_entry_announces_itself_again(self, run_hosted, monkeypatch):
        monkeypatch.setattr(entry_announcements, "WAIT_S", 0.5)
        monkeypatch.setattr(entry_announcements, "PAUSE_S", 0.5)

        async def scenario(fleet):
            announcements = fleet.store.topics["keyed.entries", 0].records
            assert len(announcements) == 1
            fleet.store.restore(trio.current_time() - fleet.began_s)
            assert not announcements

            async def is_announced():
                return announcements

            await fleet.wait_for(is_announced)

        run_hosted(scenario)
