"""Tests that an explanation agrees with what becomes of the request."""

import msgspec
import pytest
import trio

from sycamorespool import cli
from sycamorespool import http_client
from sycamorespool.requests import explanations
from tests.hosted import fleet as fleets

DRAFT = explanations.Question(
    fleets.HOST, "/drafts/1", key=fleets.KEY, model="m"
)


async def explain(fleet, question):
    answer = await http_client.exchange(
        fleet.pool,
        "POST",
        f"http://{fleet.metrics}{explanations.PATH}",
        msgspec.json.encode(question),
    )
    assert answer.status == 200
    return msgspec.json.decode(answer.body, type=explanations.Explanation)


def change(question, **values):
    return msgspec.structs.replace(question, **values)


def test_request_goes_where_the_explanation_says(run_hosted):
    async def scenario(fleet):
        first, second = fleet.open_heads()

        async def has_no_obstacles():
            found = await explain(fleet, DRAFT)
            return not any(c.obstacle for c in found.candidates)

        for head, other in ((first, second), (second, first)):
            # Only one of them takes a request now.
            other.faults.append("refuse")
            while other.faults:
                await fleet.ask_stream("filler")
            runs = len(head.runs)
            found = await explain(fleet, DRAFT)
            assert found.outcome == "sent"
            obstacles = {c.server: c.obstacle for c in found.candidates}
            assert len(obstacles) == 2
            assert obstacles[found.chosen] == ""
            assert len(head.runs) == runs
            free = [vm for vm, obstacle in obstacles.items() if not obstacle]
            await fleet.ask_stream("sent")
            ran = {h.vm_id for h in (first, second) if "sent" in h.answered}
            assert ran <= set(free)
            for engine in (first, second):
                engine.answered.discard("sent")
            await fleet.wait_for(has_no_obstacles)

    run_hosted(scenario)


@pytest.mark.parametrize(
    ("values", "start"),
    [
        ({"path": "/nowhere/"}, "refused with 404 no_route"),
        ({"key": "unknown"}, "refused with 401 unknown_key"),
        ({"model": "none"}, "waits for a server"),
    ],
)
def test_refusal_is_explained(run_hosted, values, start):
    async def scenario(fleet):
        found = await explain(fleet, change(DRAFT, **values))
        assert found.outcome.startswith(start)
        assert found.chosen == ""
        assert not any(engine.runs for engine in fleet.engines)

    run_hosted(scenario)


def test_command_prints_the_explanation(run_hosted, capsys):
    async def scenario(fleet):
        words = [
            "explain-request",
            fleets.HOST,
            "/drafts/1",
            "--model=m",
            f"--caller-key={fleets.KEY}",
            f"--address={fleet.metrics}",
        ]
        assert await trio.to_thread.run_sync(cli.run, words) == 0

    run_hosted(scenario)
    printed = capsys.readouterr().out
    assert "outcome    sent" in printed
    assert "route      drafts (version 3)" in printed


def test_question_that_is_not_valid_is_refused(run_hosted):
    async def scenario(fleet):
        url = f"http://{fleet.metrics}{explanations.PATH}"
        answer = await http_client.exchange(fleet.pool, "POST", url, b"{}")
        assert answer.status == 400

    run_hosted(scenario)
