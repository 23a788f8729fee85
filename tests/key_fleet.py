"""Runs entries with keyed calls, a log and a plain service in one process."""

import collections

import trio
import trio.testing

from sycamorespool import asgi
from sycamorespool import dispatch
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool.keys import key_owners
from sycamorespool.keys import key_resolution
from sycamorespool.keys import keyed_calls
from sycamorespool import models
from sycamorespool.platform import log
from sycamorespool import records
from sycamorespool import settings

SETTINGS_TEMPLATE = """\
[entry]
name = {name}
data_centre = dakar-a
[listen]
callers = 127.0.0.1:1
operators = 127.0.0.1:2
peers = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
[peers]
shared_key = shared-key
[operators]
key = operator-key
[keys]
partitions = 2
repeat_wait_s = 2
"""
NAMES = ("entry-1", "entry-2", "entry-3")


class FakeLog:
    """Keeps streams in memory; each append uses up one of ``faults``.

    ``refused`` fails the append.  ``lost`` appends, but loses the answer.
    ``late`` loses the answer and holds the batch until
    :meth:`deliver_delayed`.
    """

    def __init__(self):
        self.streams = collections.defaultdict(list)
        self.faults = collections.deque()
        self.is_down = False
        self.appends = 0
        self.delayed = []

    async def append(self, stream, batch):
        await trio.lowlevel.checkpoint()
        fault = self.faults.popleft() if self.faults else ""
        if self.is_down or fault == "refused":
            raise exceptions.PlatformUnavailable("down")
        if fault == "late":
            self.delayed.append((stream, batch))
            raise exceptions.OutcomeLost("lost")
        self.appends += 1
        self.streams[stream] += batch
        if fault == "lost":
            raise exceptions.OutcomeLost("lost")
        return [len(self.streams[stream]) - 1]

    def deliver_delayed(self):
        for stream, batch in self.delayed:
            self.streams[stream] += batch

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise exceptions.PlatformUnavailable("down")
        stored = self.streams[stream]
        entries = [
            records.LogEntry(offset, stored[offset])
            for offset in range(start, min(len(stored), start + limit))
        ]
        return log.LogPage(0, len(stored), tuple(entries))


class FakeTransport:
    """Calls the handlers of other entries, with names as addresses."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def call(self, address, message, timeout_s=1.0):
        fleet = self.fleet
        fleet.calls += 1
        if address in fleet.dead or self.name in fleet.dead:
            raise exceptions.PeerUnavailable(address)
        handler = fleet.handlers[address][type(message)]
        reply = await handler(message)
        if address in fleet.unanswering:
            raise exceptions.PeerUnavailable(address)
        return reply


class Fleet:
    """Holds three entries; ``charge`` makes a keyed call through one."""

    def __init__(self, nursery):
        self.log = FakeLog()
        self.runs = collections.Counter()
        self.ends = collections.deque()
        self.dead = set()
        self.unanswering = set()
        self.calls = 0
        self.handlers = {}
        self.entries = {}
        self.nursery = nursery
        vms = {
            name: models.Vm(name, "entry", name, "dakar-a", "dakar-a")
            for name in NAMES
        }
        for name in NAMES:
            parsed = settings.parse(SETTINGS_TEMPLATE.format(name=name))
            env = environment.make_environment(parsed)
            env.log = self.log
            env.transport = FakeTransport(self, name)
            env.vms = dict(vms)
            owner = key_owners.KeyPartitionOwner(env, env.entries)
            nursery.start_soon(key_owners.run, owner)
            self.handlers[name] = {
                **keyed_calls.make_handlers(owner),
                **key_resolution.make_handlers(owner),
            }
            calls = keyed_calls.KeyedCalls(env, owner, nursery)
            self.entries[name] = calls

    def find_owner(self):
        owner = self.entries[NAMES[0]].owner
        return owner.rank_owners(owner.find("w", "k"))[0]

    def find_others(self):
        return [name for name in NAMES if name != self.find_owner()]

    async def run_call(self, env, call, response_relay):
        """Replace ``dispatch.run_call``, which calls the plain service."""
        end = self.ends.popleft() if self.ends else "answer"
        await trio.lowlevel.checkpoint()
        if end == "refused":
            raise exceptions.NotRun("no_capacity", "full")
        self.runs[call.key] += 1
        if end == "cut":
            raise exceptions.OutcomeUnknown("answer_lost", "lost")
        if end == "killed":
            await trio.sleep_forever()
        body = f"run {self.runs[call.key]}".encode()
        await response_relay.answer(asgi.Response(200, body))

    async def charge(self, name, body=b"5", key="k"):
        """Return the body that a caller gets, or the outcome and code."""
        call = dispatch.Call(
            request_id="r",
            workspace="w",
            priority="normal",
            service="ledger",
            method="POST",
            path="/charge",
            body=body,
            content_type="text/plain",
            is_idempotent=False,
            key=key,
        )
        try:
            answer = await keyed_calls.run_keyed_call(self.entries[name], call)
        except exceptions.NotRun as error:
            return f"not run: {error.code}"
        except exceptions.OutcomeUnknown as error:
            return f"unknown: {error.code}"
        return answer.body.decode()


def run(scenario, monkeypatch):
    """Run a scenario on a fleet; time jumps ahead when all tasks wait."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            monkeypatch.setattr(dispatch, "run_call", fleet.run_call)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
