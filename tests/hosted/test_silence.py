"""Tests of servers that fall silent and go on, and of those that are lost."""

import pytest
import trio

from tests.hosted import fleet as fleets

SILENCE_S = 1.2
EVENT_S = 0.1
# Silence, probe and the checks between them, as before this was mended, and
# the time to the first event elsewhere.
LOSS_LIMIT_S = 0.25 + 0.2 + 0.1 + EVENT_S + 0.2


class Answers:
    """Collects the answers of requests that run beside a scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.received = []
        self.took_s = []

    def ask(self, ask):
        async def run():
            began_s = trio.current_time()
            self.received.append(await ask())
            self.took_s.append(trio.current_time() - began_s)

        self.fleet.nursery.start_soon(run)

    async def wait_for(self, count):
        async def are_received():
            return len(self.received) == count

        await self.fleet.wait_for(are_received)


async def start_stream(fleet, refusing=()):
    """Start a stream; return its head, the other one, and the answers."""
    for engine in fleet.engines:
        engine.event_s = EVENT_S
        engine.runs.clear()
    for engine in refusing:
        engine.faults.extend(["refuse"] * 200)
    answers = Answers(fleet)
    answers.ask(fleet.ask_stream)

    async def has_begun():
        return any(engine.runs for engine in fleet.engines)

    await fleet.wait_for(has_begun)
    await trio.sleep(1.5 * EVENT_S)
    heads = fleet.open_heads()
    busy = next(head for head in heads if head.runs)
    return busy, next(h for h in heads if h is not busy), answers


class TestSilence:
    @pytest.mark.parametrize("is_member_silent", [False, True])
    def test_stream_is_not_ended_at_a_silent_server_when_others_refuse(
        self, run_hosted, is_member_silent
    ):
        async def scenario(fleet):
            refusing = fleet.open_heads()[0]
            head, _, answers = await start_stream(fleet, [refusing])
            until_s = trio.current_time() + SILENCE_S
            head.paused_until_s = until_s
            if is_member_silent:
                fleet.find_member(head).paused_until_s = until_s
            await answers.wait_for(1)
            assert answers.received[0].body == fleets.STREAM

        run_hosted(scenario)

    def test_stream_is_not_ended_at_a_silent_server_without_another(
        self, run_hosted
    ):
        async def scenario(fleet):
            head, other, answers = await start_stream(fleet)
            other.remove_record()
            fleet.find_member(other).remove_record()
            await trio.sleep(0.2)
            head.paused_until_s = trio.current_time() + SILENCE_S
            await answers.wait_for(1)
            assert answers.received[0].body == fleets.STREAM

        run_hosted(scenario)

    def test_lookup_is_not_ended_at_a_silent_server_when_others_refuse(
        self, run_hosted
    ):
        async def scenario(fleet):
            paused, refusing = fleet.servers
            refusing.faults.extend(["refuse"] * 200)
            paused.paused_until_s = trio.current_time() + SILENCE_S
            answer = await fleet.ask("/stock/1", "GET")
            assert answer.status == 200

        run_hosted(scenario)

    def test_server_that_goes_on_first_keeps_its_stream(self, run_hosted):
        async def scenario(fleet):
            head, other, answers = await start_stream(fleet)
            other.event_s = 2 * SILENCE_S
            head.paused_until_s = trio.current_time() + SILENCE_S
            await answers.wait_for(1)
            assert answers.received[0].body == fleets.STREAM
            assert answers.took_s[0] < 2 * SILENCE_S

        run_hosted(scenario)


class TestLoss:
    def test_stream_of_a_lost_server_goes_on_elsewhere_in_time(
        self, run_hosted
    ):
        async def scenario(fleet):
            head, other, answers = await start_stream(fleet)
            head.is_silent = True
            lost_s = trio.current_time()

            async def goes_on():
                return bool(other.runs)

            await fleet.wait_for(goes_on)
            assert trio.current_time() - lost_s < LOSS_LIMIT_S
            await answers.wait_for(1)
            assert answers.received[0].body == fleets.STREAM

        run_hosted(scenario)
