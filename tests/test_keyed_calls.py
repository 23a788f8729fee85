"""Tests of keyed calls through entries, keeper and log."""

import msgspec
import pytest
import trio

from sycamorespool import key_keeper
from sycamorespool import key_settlement
from tests import key_fleet


@pytest.fixture
def run(monkeypatch):
    return lambda scenario: key_fleet.run(scenario, monkeypatch)


async def settle(fleet):
    for calls in fleet.entries.values():
        await calls.wait_until_reported()


class TestRepeats:
    @pytest.mark.parametrize("entry", key_fleet.NAMES)
    def test_repeat_through_any_entry_gets_the_kept_answer(self, run, entry):
        async def scenario(fleet):
            assert await fleet.charge("entry-1") == "run 1"
            await settle(fleet)
            assert await fleet.charge(entry) == "run 1"
            other = await fleet.charge(entry, body=b"6")
            assert other == "not run: key_mismatch"
            assert fleet.runs["k"] == 1

        run(scenario)

    def test_calls_at_once_run_once(self, run):
        async def scenario(fleet):
            answers = []

            async def charge(name):
                answers.append(await fleet.charge(name))

            async with trio.open_nursery() as nursery:
                for name in key_fleet.NAMES * 4:
                    nursery.start_soon(charge, name)
            assert answers == ["run 1"] * 12

        run(scenario)

    def test_waiting_repeat_runs_when_the_first_was_refused(self, run):
        async def scenario(fleet):
            fleet.ends.append("refused")
            answers = []

            async def charge(name):
                answers.append(await fleet.charge(name))

            async with trio.open_nursery() as nursery:
                for name in key_fleet.NAMES:
                    nursery.start_soon(charge, name)
            told = ["not run: no_capacity", "run 1", "run 1"]
            assert sorted(answers) == told

        run(scenario)

    def test_many_keys_share_appends(self, run):
        async def scenario(fleet):
            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(
                        fleet.charge, "entry-1", b"5", str(number)
                    )
            await settle(fleet)
            assert sum(fleet.runs.values()) == 200
            assert fleet.log.appends < 20

        run(scenario)


class TestFaults:
    @pytest.mark.parametrize(
        ("fault", "first"),
        [
            ("refused", "not run: log_unavailable"),
            ("lost", "not run: log_answer_lost"),
            ("late", "not run: log_answer_lost"),
        ],
    )
    def test_failed_append_is_a_true_refusal(self, run, fault, first):
        async def scenario(fleet):
            fleet.log.faults.append(fault)
            assert await fleet.charge("entry-1") == first
            assert fleet.runs["k"] == 0
            await settle(fleet)
            fleet.log.land()
            await trio.sleep(1)
            assert await fleet.charge("entry-2") == "run 1"

        run(scenario)

    def test_log_down_refuses_at_once(self, run):
        async def scenario(fleet):
            fleet.log.is_down = True
            for _ in range(3):
                began_s = trio.current_time()
                answer = await fleet.charge("entry-1")
                assert answer == "not run: log_unavailable"
                assert trio.current_time() - began_s < 1.0
            assert not fleet.entries["entry-1"].reports_open
            fleet.log.is_down = False
            await trio.sleep(1)
            assert await fleet.charge("entry-1") == "run 1"

        run(scenario)

    @pytest.mark.parametrize("end", ["cut", "killed"])
    def test_open_intent_is_never_run_again(self, run, end):
        async def scenario(fleet):
            fleet.ends.append(end)
            with trio.move_on_after(1.0):
                answer = await fleet.charge("entry-1")
                assert answer == "unknown: answer_lost"
            for name in key_fleet.NAMES:
                answer = await fleet.charge(name)
                assert answer == "unknown: key_without_outcome"
            assert fleet.runs["k"] == 1

        run(scenario)

    def test_refusal_of_the_service_frees_the_key(self, run):
        async def scenario(fleet):
            fleet.ends.append("refused")
            assert await fleet.charge("entry-1") == "not run: no_capacity"
            await settle(fleet)
            assert await fleet.charge("entry-2") == "run 1"

        run(scenario)

    def test_keeper_dies_and_the_next_knows(self, run):
        async def scenario(fleet):
            caller, other = fleet.find_others()
            assert await fleet.charge(caller) == "run 1"
            await settle(fleet)
            fleet.dead.add(fleet.find_keeper())
            assert await fleet.charge(caller) == "run 1"
            assert await fleet.charge(other) == "run 1"

        run(scenario)

    def test_lost_ruling_leads_to_two_keepers_and_one_run(self, run):
        async def scenario(fleet):
            caller, other = fleet.find_others()
            fleet.mute.add(fleet.find_keeper())
            assert await fleet.charge(caller) == "run 1"
            fleet.mute.clear()
            await settle(fleet)
            assert await fleet.charge(other) == "run 1"
            assert fleet.runs["k"] == 1

        run(scenario)

    def test_entries_that_disagree_on_the_keeper_run_once(self, run):
        async def scenario(fleet):
            for name in key_fleet.NAMES:
                vms = fleet.entries[name].env.vms
                fleet.entries[name].env.vms = {name: vms[name]}
            answers = []

            async def charge(name):
                answers.append(await fleet.charge(name))

            async with trio.open_nursery() as nursery:
                for name in key_fleet.NAMES:
                    nursery.start_soon(charge, name)
            assert answers == ["run 1"] * 3
            assert fleet.runs["k"] == 1

        run(scenario)

    def test_keepers_without_the_log_order_run_twice(self, run, monkeypatch):
        async def scenario(fleet):
            for name in key_fleet.NAMES:
                vms = fleet.entries[name].env.vms
                fleet.entries[name].env.vms = {name: vms[name]}
            async with trio.open_nursery() as nursery:
                for name in key_fleet.NAMES:
                    nursery.start_soon(fleet.charge, name)
            assert fleet.runs["k"] > 1

        async def decide_alone(keeper, partition, call, intent, wait_s):
            return key_keeper.Answer(key_keeper.keys.Ruling.SEND)

        monkeypatch.setattr(key_keeper, "_decide", decide_alone)
        run(scenario)

    def test_wrong_clock_is_refused(self, run, monkeypatch):
        async def scenario(fleet):
            answer = await fleet.charge(fleet.find_others()[0])
            assert answer == "not run: clock_differs"

        monkeypatch.setattr(
            key_keeper.key_attempts, "is_clock_trusted", lambda *_: False
        )
        run(scenario)


class TestSettlement:
    @pytest.mark.parametrize(
        ("resolution", "told"),
        [
            ("ran", "unknown: key_settled_ran"),
            ("not_run", "not run: key_settled_not_run"),
        ],
    )
    def test_open_key_is_listed_and_settled_once(
        self, run, monkeypatch, resolution, told
    ):
        async def scenario(fleet):
            fleet.ends.append("cut")
            await fleet.charge("entry-1")
            keeper = fleet.entries[fleet.find_others()[0]].keeper
            fleet.dead.add(fleet.find_others()[1])
            listed = msgspec.json.decode(
                (await key_settlement.list_all(keeper)).body
            )
            (row,) = listed["keys"]
            assert listed["silent"] == [fleet.find_others()[1]]
            body = {k: row[k] for k in ("workspace", "key", "attempt_id")}
            order = msgspec.json.encode({**body, "resolution": resolution})

            async def settle():
                answer = await key_settlement.settle(keeper, order)
                return msgspec.json.decode(answer.body)["status"]

            assert await settle() == "conflict"
            young = key_settlement.key_attempts
            monkeypatch.setattr(young, "SEND_WITHIN_S", -100.0)
            assert await settle() == "accepted"
            assert await settle() == "conflict"
            monkeypatch.setattr(young, "SEND_WITHIN_S", 600.0)
            assert await fleet.charge("entry-1") == told
            assert fleet.runs["k"] == 1

        run(scenario)
