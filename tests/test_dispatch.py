"""Tests of the attempts at one call that fail at each point."""

import collections
import contextlib
import itertools

import pytest
import trio
import trio.testing

from sycamorespool.backend_servers import streaming_client
from sycamorespool import configuration
from sycamorespool.decisions import retries
from sycamorespool import dispatch
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import models
from sycamorespool.requests import relay
from sycamorespool import settings
from tests import key_fleet

FAULTS = {
    "not_reached": exceptions.BackendNotReached("no"),
    "refused": exceptions.BackendRefused(503),
    "cut": exceptions.BackendCut("cut"),
}
ENDS = ("not_reached", "refused", "cut", "answer")


class FakeAnswer:
    """A complete answer of a backend server."""

    status = 200

    def __init__(self):
        self.headers = self.joined_headers = {"content-type": "text/plain"}
        self.parts = [b"ok", b""]

    async def read(self):
        return self.parts.pop(0)


class ScriptedBackends:
    """Backend servers that end the attempts as scripted.

    Attempts that end by a cut or an answer have run.
    """

    def __init__(self, ends):
        self.ends = collections.deque(ends)
        self.runs = 0
        self.attempts = []

    @contextlib.asynccontextmanager
    async def open_request(self, pool, outgoing, idle_s, end_s):
        await trio.lowlevel.checkpoint()
        self.attempts.append(outgoing)
        end = self.ends.popleft() if self.ends else "answer"
        self.runs += end in ("cut", "answer")
        if end != "answer":
            raise FAULTS[end]
        yield FakeAnswer()


def run(backend, is_idempotent, monkeypatch, retry_ratio=1.0, calls=1):
    """Return the outcome of the last of some calls, as its caller sees it."""
    monkeypatch.setattr(streaming_client, "open_request", backend.open_request)
    outcomes = []

    async def main():
        env = environment.make_environment(
            settings.parse(key_fleet.SETTINGS_TEMPLATE.format(name="entry-1"))
        )
        workspace = configuration.Workspace(retry_ratio=retry_ratio)
        env.fleet.config = configuration.Configuration(
            workspaces={"w": workspace}
        )
        grants = tuple(
            models.Grant(f"g{n}", "s", 1, 9, 1e9, f"a{n}", "dc")
            for n in range(8)
        )
        env.held.store_answer(models.GrantAnswer("u", 1, grants), 0.0)
        for _ in range(calls):
            outcomes.append(await run_one(env))
        env.transport.close()

    async def run_one(env):
        async def send(message):
            return

        call = dispatch.Call(
            "r", "w", "high", "s", "POST", "/", b"", "x", is_idempotent
        )
        caller_answer = relay.Relay(send, "r")
        try:
            await dispatch.run_call(env, call, caller_answer)
        except exceptions.RequestError as error:
            return type(error).__name__
        return "answer"

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return outcomes[-1]


class TestFailurePoints:
    @pytest.mark.parametrize("is_idempotent", [True, False])
    @pytest.mark.parametrize("ends", list(itertools.product(ENDS, repeat=3)))
    def test_outcome_matches_the_runs(self, is_idempotent, ends, monkeypatch):
        backend = ScriptedBackends([*ends, "not_reached"])
        outcome = run(backend, is_idempotent, monkeypatch)
        if outcome == "NotRun":
            assert backend.runs == 0
        if not is_idempotent:
            assert backend.runs <= 1
        is_served = "answer" in ends[: len(backend.attempts)]
        assert (outcome == "answer") == is_served
        addresses = [outgoing.address for outgoing in backend.attempts]
        assert len(set(addresses)) == len(addresses)
        names = {outgoing.attempt_id for outgoing in backend.attempts}
        assert len(names) == len(addresses)

    @pytest.mark.parametrize(
        ("retry_ratio", "retries"), [(0.0, 10), (0.5, 20)]
    )
    def test_budget_limits_the_attempts(
        self, retry_ratio, retries, monkeypatch
    ):
        backend = ScriptedBackends(["refused"] * 200)
        outcome = run(backend, True, monkeypatch, retry_ratio, calls=20)
        assert outcome == "NotRun"
        assert len(backend.attempts) == 20 + retries

    def test_wrong_action_for_a_lost_answer_runs_a_call_twice(
        self, monkeypatch
    ):
        row = (False, retries.FailurePoint.SENT)
        monkeypatch.setitem(retries.ACTION_TABLE, row, retries.Action.RETRY)
        backend = ScriptedBackends(["cut", "cut"])
        run(backend, False, monkeypatch)
        assert backend.runs > 1
