"""Tests of keyed calls through entries, partition owners and the log."""

import msgspec
import pytest
import trio

from sycamorespool.keys import key_owners
from sycamorespool.keys import key_resolution
from tests import key_fleet


@pytest.fixture
def run(monkeypatch):
    return lambda scenario: key_fleet.run(scenario, monkeypatch)


async def wait_until_reported(fleet):
    for calls in fleet.entries.values():
        await calls.wait_until_reported()


class TestRepeats:
    @pytest.mark.parametrize("entry", key_fleet.NAMES)
    def test_repeat_through_any_entry_gets_the_recorded_answer(
        self, run, entry
    ):
        async def scenario(fleet):
            assert await fleet.charge("entry-1") == "run 1"
            await wait_until_reported(fleet)
            assert await fleet.charge(entry) == "run 1"
            other = await fleet.charge(entry, body=b"6")
            assert other == "not run: key_mismatch"
            assert fleet.runs["k"] == 1

        run(scenario)

    def test_concurrent_calls_run_once(self, run):
        async def scenario(fleet):
            answers = []

            async def charge(name):
                answers.append(await fleet.charge(name))

            async with trio.open_nursery() as nursery:
                for name in key_fleet.NAMES * 4:
                    nursery.start_soon(charge, name)
            assert answers == ["run 1"] * 12

        run(scenario)

    def test_waiting_repeat_runs_after_the_first_call_is_refused(self, run):
        async def scenario(fleet):
            fleet.ends.append("refused")
            answers = []

            async def charge(name):
                answers.append(await fleet.charge(name))

            async with trio.open_nursery() as nursery:
                for name in key_fleet.NAMES:
                    nursery.start_soon(charge, name)
            expected = ["not run: no_capacity", "run 1", "run 1"]
            assert sorted(answers) == expected

        run(scenario)

    def test_calls_with_many_keys_share_appends(self, run):
        async def scenario(fleet):
            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(
                        fleet.charge, "entry-1", b"5", str(number)
                    )
            await wait_until_reported(fleet)
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
    def test_failed_append_refuses_the_call_and_frees_the_key(
        self, run, fault, first
    ):
        async def scenario(fleet):
            fleet.log.faults.append(fault)
            assert await fleet.charge("entry-1") == first
            assert fleet.runs["k"] == 0
            await wait_until_reported(fleet)
            fleet.log.deliver_delayed()
            await trio.sleep(1)
            assert await fleet.charge("entry-2") == "run 1"

        run(scenario)

    def test_call_is_refused_at_once_while_the_log_is_down(self, run):
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
    def test_key_without_outcome_is_never_run_again(self, run, end):
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

    def test_refusal_by_the_service_frees_the_key(self, run):
        async def scenario(fleet):
            fleet.ends.append("refused")
            assert await fleet.charge("entry-1") == "not run: no_capacity"
            await wait_until_reported(fleet)
            assert await fleet.charge("entry-2") == "run 1"

        run(scenario)

    def test_next_owner_repeats_the_answer_after_owner_dies(self, run):
        async def scenario(fleet):
            caller, other = fleet.find_others()
            assert await fleet.charge(caller) == "run 1"
            await wait_until_reported(fleet)
            fleet.dead.add(fleet.find_owner())
            assert await fleet.charge(caller) == "run 1"
            assert await fleet.charge(other) == "run 1"

        run(scenario)

    def test_lost_decision_makes_second_owner_run_the_call_once(self, run):
        async def scenario(fleet):
            caller, other = fleet.find_others()
            fleet.unanswering.add(fleet.find_owner())
            assert await fleet.charge(caller) == "run 1"
            fleet.unanswering.clear()
            await wait_until_reported(fleet)
            assert await fleet.charge(other) == "run 1"
            assert fleet.runs["k"] == 1

        run(scenario)

    def test_call_runs_once_when_entries_disagree_on_the_owner(self, run):
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

    def test_call_runs_twice_if_owners_ignore_the_log_order(
        self, run, monkeypatch
    ):
        async def scenario(fleet):
            for name in key_fleet.NAMES:
                vms = fleet.entries[name].env.vms
                fleet.entries[name].env.vms = {name: vms[name]}
            async with trio.open_nursery() as nursery:
                for name in key_fleet.NAMES:
                    nursery.start_soon(fleet.charge, name)
            assert fleet.runs["k"] > 1

        async def decide_alone(owner, partition, call, intent, wait_s):
            return key_owners.AttemptStatus(key_owners.keys.Decision.SEND)

        monkeypatch.setattr(key_owners, "_append_and_decide", decide_alone)
        run(scenario)

    def test_call_from_entry_with_wrong_clock_is_refused(
        self, run, monkeypatch
    ):
        async def scenario(fleet):
            answer = await fleet.charge(fleet.find_others()[0])
            assert answer == "not run: clock_differs"

        monkeypatch.setattr(
            key_owners.key_attempts, "is_clock_trusted", lambda *_: False
        )
        run(scenario)


class TestResolution:
    @pytest.mark.parametrize(
        ("resolution", "expected"),
        [
            ("ran", "unknown: key_settled_ran"),
            ("not_run", "not run: key_settled_not_run"),
        ],
    )
    def test_open_key_is_listed_and_resolved_once(
        self, run, monkeypatch, resolution, expected
    ):
        async def scenario(fleet):
            fleet.ends.append("cut")
            await fleet.charge("entry-1")
            owner = fleet.entries[fleet.find_others()[0]].owner
            fleet.dead.add(fleet.find_others()[1])
            listed = msgspec.json.decode(
                (await key_resolution.list_all(owner)).body
            )
            (row,) = listed["keys"]
            assert listed["silent"] == [fleet.find_others()[1]]
            body = {k: row[k] for k in ("workspace", "key", "attempt_id")}
            request = msgspec.json.encode({**body, "resolution": resolution})

            async def resolve():
                answer = await key_resolution.resolve(owner, request)
                return msgspec.json.decode(answer.body)["status"]

            assert await resolve() == "conflict"
            attempts_module = key_resolution.key_attempts
            monkeypatch.setattr(attempts_module, "SEND_WITHIN_S", -100.0)
            assert await resolve() == "accepted"
            assert await resolve() == "conflict"
            monkeypatch.setattr(attempts_module, "SEND_WITHIN_S", 600.0)
            assert await fleet.charge("entry-1") == expected
            assert fleet.runs["k"] == 1

        run(scenario)
