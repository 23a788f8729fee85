"""Tests of requests on which backend servers end."""

import re
import time

import pytest
import trio

from sycamorespool.decisions.faults import fatal_traits
from tests.hosted import fleet as fleets

TOPIC = "keyed.server-ends"
FATAL = "bad"
# Servers that may end before the cause is known, and requests that may reach
# servers after that.
MOST_ENDS = 5
MOST_AFTER = 3


class TestFatalPart:
    def test_servers_do_not_end_one_after_the_other_under_one_part(
        self, run_hosted
    ):
        async def scenario(fleet):
            fleet.fatal_parts.add(FATAL)
            for number in range(12):
                await fleet.wait_for(fleet.has_open_heads)
                await fleet.ask_prompt("aa", FATAL, f"{number:x}")
            assert fleet.ends <= MOST_ENDS + MOST_AFTER
            await fleet.wait_for(fleet.has_open_heads)
            for number in range(6):
                answer = await fleet.ask_prompt("aa", "cc", f"{number:x}")
                assert answer.status == 200

        run_hosted(scenario)

    def test_connection_that_a_server_closes_is_not_its_end(self, run_hosted):
        async def scenario(fleet):
            cut, _ = fleet.open_heads()
            cut.faults.extend(["cut"] * 5)
            while cut.faults:
                answer = await fleet.ask_prompt("aa", "cc", "1")
                assert answer.status == 200
            assert (await fleet.ask_prompt("aa", "cc", "1")).status == 200

        run_hosted(scenario)


def make_end(number, *prompts):
    """Return the report of another entry that a server ended."""
    return {
        "vm": f"i-{number}",
        "started_ms": 7,
        "prompts": prompts,
        "at_ms": round(time.time() * 1000),
    }


class TestReports:
    """Tests of what an entry learns from the reports of others."""

    async def wait_until_status(self, fleet, status, *parts):
        async def has_status():
            return (await fleet.ask_prompt(*parts)).status == status

        await fleet.wait_for(has_status)

    def test_ends_that_other_entries_saw_count(self, run_hosted):
        async def scenario(fleet):
            for number in range(3):
                end = make_end(number, ["aa", FATAL, f"{number}"])
                fleet.store.put(TOPIC, f"end/e{number}/1", end)
            await self.wait_until_status(fleet, 503, "cc", FATAL, "9")
            assert (await fleet.ask_prompt("aa", "cc", "9")).status == 200
            assert not fleet.ends

        run_hosted(scenario)

    def test_block_is_reported_and_can_be_lifted(self, run_hosted):
        async def scenario(fleet):
            for number in range(3):
                end = make_end(number, ["aa", FATAL, f"{number}"])
                fleet.store.put(TOPIC, f"end/e{number}/1", end)

            async def is_reported():
                contents = fleet.store.topics[TOPIC, 0].records
                return any(b"block/bad" in content for content in contents)

            await fleet.wait_for(is_reported)
            fleet.store.put(TOPIC, f"block/{FATAL}", None)
            await self.wait_until_status(fleet, 200, "aa", FATAL, "9")

        run_hosted(scenario)

    # Without reports of the others it could not know what they had served.
    def test_entry_without_the_store_blocks_nothing_but_holds_it(
        self, run_hosted
    ):
        async def scenario(fleet):
            for number in range(3):
                end = make_end(number, ["aa", FATAL, f"{number}"])
                fleet.store.put(TOPIC, f"end/e{number}/1", end)

            async def are_read():
                return fleet.store.read_from.get(TOPIC) == 3

            await fleet.wait_for(are_read)
            fleet.store.is_down = True
            await trio.sleep(2 * fatal_traits.CONFIRM_S)
            assert await fleet.read_metric("parts_blocked") == 0
            assert (await fleet.ask_prompt("cc", FATAL, "9")).status == 503
            fleet.store.is_down = False

            async def is_blocked():
                return await fleet.read_metric("parts_blocked") == 1

            await fleet.wait_for(is_blocked)

        run_hosted(scenario)

    def test_refusal_is_true_and_says_when_to_come_back(self, run_hosted):
        async def scenario(fleet):
            until_ms = round((time.time() + 90.0) * 1000)
            block = {"until_ms": until_ms}
            fleet.store.put(TOPIC, f"block/{FATAL}", block)
            await self.wait_until_status(fleet, 503, "aa", FATAL, "9")
            for engine in fleet.engines:
                engine.arrivals.clear()
            answer = await fleet.ask_prompt("aa", FATAL, "8")
            assert 60.0 < float(answer.headers["retry-after"]) <= 90.0
            assert not any(engine.arrivals for engine in fleet.engines)

        run_hosted(scenario)

    def test_request_that_waits_at_a_server_is_given_up(self, run_hosted):
        async def scenario(fleet):
            for engine in fleet.engines:
                engine.faults.append("mute")
            statuses = []

            async def ask():
                answer = await fleet.ask_prompt("aa", FATAL, "1")
                statuses.append(answer.status)

            fleet.nursery.start_soon(ask)

            async def waits_at_a_server():
                return any(engine.runs for engine in fleet.engines)

            await fleet.wait_for(waits_at_a_server)
            block = {"until_ms": round((time.time() + 90.0) * 1000)}
            fleet.store.put(TOPIC, f"block/{FATAL}", block)

            async def is_answered():
                return bool(statuses)

            await fleet.wait_for(is_answered)
            assert statuses == [502]
            runs = [run for e in fleet.engines for run in e.runs]
            assert len(runs) == 1

        run_hosted(scenario)

    def test_part_that_this_entry_served_is_reported_as_served(
        self, run_hosted
    ):
        async def scenario(fleet):
            assert (await fleet.ask_prompt("aa", "1")).status == 200
            for number in range(3):
                end = make_end(number, ["aa", f"x{number}"])
                fleet.store.put(TOPIC, f"end/e{number}/1", end)

            async def is_reported():
                contents = fleet.store.topics[TOPIC, 0].records
                return any(b"served/" in content for content in contents)

            await fleet.wait_for(is_reported)
            assert (await fleet.ask_prompt("aa", "2")).status == 200

        run_hosted(scenario)

    def test_part_of_a_rejected_request_was_not_served(self, run_hosted):
        async def scenario(fleet):
            for engine in fleet.engines:
                engine.faults.append("reject")
            assert (await fleet.ask_prompt("aa", FATAL, "1")).status == 400
            for number in range(3):
                end = make_end(number, ["cc", FATAL, f"x{number}"])
                fleet.store.put(TOPIC, f"end/e{number}/1", end)
            for engine in fleet.engines:
                engine.faults.clear()
            await self.wait_until_status(fleet, 503, "aa", FATAL, "2")

        run_hosted(scenario)

    @pytest.mark.parametrize("value", [[1], {"vm": 7}, "x"])
    def test_invalid_report_is_skipped(self, run_hosted, value):
        async def scenario(fleet):
            for kind in ("end/e1/1", "served/e1", "block/aa", "odd"):
                fleet.store.put(TOPIC, kind, value)
            fleet.store.put(TOPIC, f"block/{FATAL}", {"until_ms": 9**15})
            await self.wait_until_status(fleet, 503, "aa", FATAL, "9")
            assert (await fleet.ask_prompt("aa", "2")).status == 200

        run_hosted(scenario)


# Body of the request that ends the servers which run it.
BODY = b'{"text":"only-in-this-body"}'
REPEATS = 12
STREAM_REPEATS = 8
REPEAT_PERIOD_S = 0.4
# Most repeats of a request before it has to be refused for long.
REPEATS_UNTIL_BLOCKED = 30
BLOCKED_S = 60.0
# Times that the users let one request reach servers: ends, and times later.
MOST_REACHED = 3 + 3


def is_blocked(answer):
    """Tell whether an answer refuses a request for long."""
    retry_after_s = float(answer.headers.get("retry-after", "0"))
    return answer.status == 503 and retry_after_s > BLOCKED_S


async def ask_until_blocked(fleet, path="/stock/1", body=BODY):
    """Repeat a caller's request until it is refused for long."""
    for number in range(REPEATS_UNTIL_BLOCKED):
        await fleet.wait_for(fleet.has_servers)
        attempt = f"{body.hex()}{number}"
        answer = await fleet.ask(path, number=attempt, body=body)
        if is_blocked(answer):
            return answer
        await trio.sleep(REPEAT_PERIOD_S)
    raise AssertionError(f"not refused, {fleet.ends} servers ended")


class TestFatalRequest:
    """Tests of whole requests that end each server which runs them."""

    @pytest.mark.parametrize("path", ["/stock/1", "/orders/1"])
    def test_repeats_of_one_request_do_not_end_server_after_server(
        self, run_hosted, path
    ):
        async def scenario(fleet):
            fleet.fatal_bodies.add(BODY)
            for number in range(REPEATS):
                await fleet.wait_for(fleet.has_servers)
                await fleet.ask(path, number=number, body=BODY)
                await trio.sleep(REPEAT_PERIOD_S)
            assert 0 < fleet.ends <= MOST_REACHED

        run_hosted(scenario)

    def test_sound_streams_are_served_between_repeats_of_a_fatal_one(
        self, run_hosted
    ):
        async def scenario(fleet):
            fleet.fatal_bodies.add(BODY)
            for _ in range(STREAM_REPEATS):
                await fleet.wait_for(fleet.has_open_heads)
                await fleet.ask_prompt("aa", "cc", body=BODY)
                # The entry reads the registry less often than engines change.
                await fleet.wait_for(fleet.has_open_heads)
                await fleet.wait_for(fleet.knows_open_group)
                answer = await fleet.ask_prompt("aa", "cc")
                assert answer.status == 200
            assert 0 < fleet.ends <= MOST_REACHED

        run_hosted(scenario)

    def test_fatal_stream_does_not_block_its_prompt_for_sound_ones(
        self, run_hosted
    ):
        async def scenario(fleet):
            fleet.fatal_bodies.add(BODY)
            for _ in range(STREAM_REPEATS):
                await fleet.wait_for(fleet.has_open_heads)
                await fleet.ask_prompt("aa", "cc", body=BODY)
                await trio.sleep(REPEAT_PERIOD_S)
            assert 0 < fleet.ends <= MOST_REACHED
            await fleet.wait_for(fleet.has_open_heads)
            for _ in range(3):
                assert (await fleet.ask_prompt("aa", "cc")).status == 200

        run_hosted(scenario)

    def test_only_this_request_of_this_caller_is_refused(self, run_hosted):
        async def scenario(fleet):
            fleet.fatal_bodies.add(BODY)
            await ask_until_blocked(fleet)
            await fleet.wait_for(fleet.has_servers)
            fleet.fatal_bodies.clear()
            for number in range(3):
                assert (
                    await fleet.ask("/stock/1", number=number)
                ).status == 200
            assert (await fleet.ask("/stock/2", body=BODY)).status == 200
            answer = await fleet.ask(
                "/stock/1", key=fleets.OTHER_KEY, body=BODY
            )
            assert answer.status == 200
            assert is_blocked(await fleet.ask("/stock/1", body=BODY))

        run_hosted(scenario)

    @pytest.mark.parametrize("count", [2, 3])
    def test_fatal_requests_at_once_are_each_refused(self, run_hosted, count):
        async def scenario(fleet):
            bodies = [BODY + b" " * number for number in range(count)]
            fleet.fatal_bodies.update(bodies)
            async with trio.open_nursery() as nursery:
                for body in bodies:
                    nursery.start_soon(
                        ask_until_blocked, fleet, "/stock/1", body
                    )
            assert 0 < fleet.ends <= count * MOST_REACHED
            await fleet.wait_for(fleet.has_servers)
            assert (await fleet.ask("/stock/1")).status == 200

        run_hosted(scenario)

    def test_refused_request_reaches_no_server(self, run_hosted):
        async def scenario(fleet):
            fleet.fatal_bodies.add(BODY)
            await ask_until_blocked(fleet)
            await fleet.wait_for(fleet.has_servers)
            for server in fleet.servers:
                server.arrivals.clear()
            answer = await fleet.ask("/stock/1", body=BODY)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > BLOCKED_S
            assert not any(server.arrivals for server in fleet.servers)

        run_hosted(scenario)

    def test_reports_and_log_hold_neither_body_nor_key(
        self, run_hosted, caplog
    ):
        async def scenario(fleet):
            fleet.fatal_bodies.add(BODY)
            with caplog.at_level("INFO", logger="absl"):
                await ask_until_blocked(fleet)
            reports = b"".join(fleet.store.topics[TOPIC, 0].records)
            assert re.search(rb"request:[0-9a-f]{16}\b", reports)
            logged = caplog.text.encode()
            for secret in (b"only-in-this-body", fleets.KEY.encode()):
                assert secret not in reports
                assert secret not in logged

        run_hosted(scenario)

    def test_entry_that_restarts_knows_the_fatal_request(self, run_hosted):
        async def scenario(fleet):
            fleet.fatal_bodies.add(BODY)
            await ask_until_blocked(fleet)
            reports = fleet.store.topics[TOPIC, 0].records

            async def is_reported():
                return any(b"block/request:" in report for report in reports)

            await fleet.wait_for(is_reported)
            await fleet.restart_entry()
            ends = fleet.ends
            assert is_blocked(await fleet.ask("/stock/1", body=BODY))
            assert fleet.ends == ends

        run_hosted(scenario)
