"""Tests of an entry that starts beside others that know more."""

import functools

import msgspec
import pytest
import trio

from examples import processes
from sycamorespool import asgi
from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool.peers import state_handover
from sycamorespool.platform import wire
from sycamorespool.store import config_follower
from tests.hosted import fleet as fleets

OTHER = "entry-2"


async def is_answered(fleet, status, **options):
    return (await fleet.ask("/orders/1", **options)).status == status


async def ask_often(fleet, duration_s, **options):
    """Return the statuses of requests over some time."""
    statuses = set()
    end_s = trio.current_time() + duration_s
    while trio.current_time() < end_s:
        statuses.add((await fleet.ask("/orders/1", **options)).status)
        await trio.sleep(fleets.CHECK_PERIOD_S)
    return statuses


class TestConfiguration:
    # Review 8: an entry that started after the store had been restored from
    # a copy accepted a key that had been taken away.
    def test_key_taken_away_before_a_restore_is_not_accepted(self, run_hosted):
        async def scenario(fleet):
            copied_s = trio.current_time()
            tenant = {"name": "w", "api_keys": [fleets.OTHER_KEY]}
            changed = {**fleets.CONFIG, "version": 5, "tenants": [tenant]}
            fleet.store.put("keyed.op", "config", changed)
            await fleet.wait_for(functools.partial(is_answered, fleet, 401))
            await fleet.wait_for(fleet.knows_config(OTHER, 5))
            fleet.store.restore(trio.current_time() - copied_s)
            await fleet.restart_entry()
            assert await ask_often(fleet, 2.0) == {401}
            kept = await ask_often(fleet, 0.5, key=fleets.OTHER_KEY)
            assert kept == {200}

        run_hosted(scenario, entries=[OTHER])


class TestRegistry:
    # Review 10: an entry that had started after a server had left used it
    # again, as a late heartbeat looked like a new server.
    def test_late_heartbeat_brings_no_server_back(self, run_hosted):
        async def scenario(fleet):
            left, _ = fleet.servers
            late = fleet.store.topics[wire.REGISTRY_TOPIC, 0].records
            late = [record for record in late if b"p-0" in record][-1]
            left.remove_record()
            await fleet.wait_for(fleet.count_known_is(5))
            await fleet.restart_entry()
            left.runs.clear()
            fleet.store.topics[wire.REGISTRY_TOPIC, 0].append(late)
            assert await ask_often(fleet, 2.0) == {200}
            assert not left.runs
            left.write_record()
            await fleet.wait_for(fleet.count_known_is(6))

        run_hosted(scenario, entries=[OTHER])


class TestEvacuation:
    # An entry that started after a restore used servers of a data centre
    # whose evacuation the copy lacked, while the others still held it.
    def test_evacuation_that_others_hold_is_in_force(
        self, run_hosted, monkeypatch
    ):
        monkeypatch.setattr(config_follower, "RESTORE_HOLD_S", 6.0)

        async def scenario(fleet):
            copied_s = trio.current_time()
            fleet.store.put("keyed.op", "evacuate/dc", {})
            await fleet.wait_for(functools.partial(is_answered, fleet, 503))
            await trio.sleep(2 * config_follower.PERIOD_S)
            fleet.store.restore(trio.current_time() - copied_s)
            # Time for the other entry to read the copy.
            await trio.sleep(3 * config_follower.PERIOD_S)
            await fleet.restart_entry()
            assert await ask_often(fleet, 1.0) == {503}
            await fleet.wait_for(functools.partial(is_answered, fleet, 200))

        run_hosted(scenario, entries=[OTHER])


async def serve_odd_peer(fleet, body, status=200, wait_s=0.0):
    """Announce an entry that answers each call by some bytes."""

    async def answer(request):
        await trio.sleep(wait_s)
        return asgi.Response(status, body)

    address = processes.find_free_address()
    await fleet.serve(asgi.make_app(answer), address)
    entry = {"address": address, "data_centre": "dc"}
    fleet.store.put("keyed.entries", "odd", entry)


def encode(**fields):
    return msgspec.msgpack.encode(fields)


class TestOddPeer:
    @pytest.mark.parametrize(
        ("body", "status", "wait_s"),
        [
            (b"", 404, 0.0),
            (b"", 503, 0.0),
            (b"\xc1", 200, 0.0),
            (b"\x91" * 100_000, 200, 0.0),
            (b"x" * 9_000_000, 200, 0.0),
            (b"", 200, 5.0),
            (encode(version=9, config=b"{"), 200, 0.0),
            (encode(version=1, config=b""), 200, 0.0),
            (encode(odd=1), 200, 0.0),
        ],
    )
    def test_entry_starts_with_what_the_store_has(
        self, run_hosted, body, status, wait_s
    ):
        async def scenario(fleet):
            await serve_odd_peer(fleet, body, status, wait_s)
            await fleet.restart_entry()
            assert await is_answered(fleet, 200)

        run_hosted(scenario)


class TestMessages:
    @pytest.mark.parametrize(
        "fields",
        [
            {"version": -1},
            {"version": 2**60},
            {"removed": [["a", 1, 1, float("nan")]]},
            {"removed": [["a", -1, 1, 0.0]]},
            {"known": [["a", 1]]},
            {"known": [["a", 1, 1, 0.0]] * 5001},
            {"evacuated": ["x"] * 1001},
            {"hold_s": -1.0},
        ],
    )
    def test_odd_state_is_refused(self, fields):
        with pytest.raises(exceptions.Undecodable):
            decoding.decode_msgpack(
                encode(**fields), state_handover.StateMessage
            )

    def test_fields_may_be_missing_or_unknown(self):
        found = decoding.decode_msgpack(
            encode(odd=[1]), state_handover.StateMessage
        )
        assert found == state_handover.StateMessage()
