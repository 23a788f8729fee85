"""Tests of collecting the states of all entries of a large fleet."""

import types

import pytest
import trio
import trio.testing

from sycamorespool.entries import messages
from sycamorespool import entry_states
from sycamorespool import exceptions
from sycamorespool import models
from sycamorespool.operators import client

# Entries of a fleet of the target size.
ENTRIES = 380
OWN = types.SimpleNamespace()
STATE = models.EntryState("e", "palermo", True, 7, 9, 0, 0)


class Transport:
    """Answer at once for some entries; calls to the others time out."""

    def __init__(self, answering):
        self.answering = answering
        self.open = 0
        self.most_open = 0

    async def call(self, address, message, timeout_s):
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            if address in self.answering:
                await trio.lowlevel.checkpoint()
                return messages.StateReply(STATE)
            with trio.move_on_after(timeout_s):
                await trio.sleep_forever()
            raise exceptions.PeerUnavailable("silent")
        finally:
            self.open -= 1


@pytest.mark.parametrize(("answering", "limit_s"), [(380, 0.0), (190, 5.0)])
def test_all_states_are_collected_before_the_client_times_out(
    answering, limit_s, monkeypatch
):
    monkeypatch.setattr(entry_states, "describe_entry", lambda *_: STATE)
    names = [f"entry-{number:03}" for number in range(ENTRIES)]
    env = types.SimpleNamespace(
        name=names[0],
        transport=Transport(set(names[:answering])),
        entries=lambda: {
            name: models.Vm(name, "entry", name, "palermo", "d")
            for name in names
        },
    )

    async def main():
        started_s = trio.current_time()
        states = await entry_states.collect_states(env, OWN)
        return states, trio.current_time() - started_s

    clock = trio.testing.MockClock(autojump_threshold=0)
    states, taken_s = trio.run(main, clock=clock)
    assert sum(state is not None for state in states.values()) == answering
    assert taken_s <= limit_s < client.CALL_TIMEOUT_S
    assert env.transport.most_open <= entry_states.PARALLEL_CALLS
