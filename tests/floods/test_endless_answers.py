"""Tests that answers without end do not fill the memory of an entry.

An entry asks all model engines of a fleet for reports.  Each test lets all of
them answer in one form without end, and checks that the process holds little
more than before and still serves ordinary requests.
"""

import pathlib

import pytest
import trio

from tests.floods import entry as entries
from tests.hosted import raw_server

pytestmark = pytest.mark.processes

ENGINES = 171
ENGINES_PER_DOMAIN = 8
# Issue 47: what all answers together may take.
MAX_GROWTH_MB = 20
# Each engine was called so often before the memory is looked at.
CALLS_PER_ENGINE = 4
KIB = 1024

FIRST = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"a:b\r\n" * 4096
CHUNKED = FIRST + b"transfer-encoding: chunked\r\n\r\n"
# The beginning of an answer, what follows it again and again, and whether the
# engine stops after the beginning.
FORMS = {
    "head": (FIRST + b"x-long: ", raw_server.CHUNK),
    "fields": (FIRST, FIELDS),
    "body after fields": (FIRST + FIELDS + b"\r\n", raw_server.CHUNK),
    "body": (FIRST + b"\r\n", raw_server.CHUNK),
    "body of a length": (
        FIRST + b"content-length: 999999999\r\n\r\n",
        raw_server.CHUNK,
    ),
    "large chunks": (CHUNKED, b"4000\r\n" + bytes(0x4000) + b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n" * 4096),
    "trailer": (CHUNKED + b"0\r\n", FIELDS),
    "trailer of one field": (CHUNKED + b"0\r\nx-long: ", raw_server.CHUNK),
    "interim answers": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 512),
    "stop in the body": (FIRST + b"\r\n" + bytes(30 * KIB), b""),
    "stop in the head": (FIRST + FIELDS[: 15 * KIB], b""),
}


class EngineWithoutEnd:
    """Answers each call of an entry in one form."""

    def __init__(self, nursery, form):
        self._beginning, self._repeated = FORMS[form]
        self.calls = 0
        self.raw = raw_server.RawServer(nursery, [self._answer])

    async def _answer(self, stream, request):
        self.calls += 1
        await stream.send_all(self._beginning)
        while self._repeated:
            await stream.send_all(self._repeated)
        while await stream.receive_some():
            pass


def write_record(store, number, address):
    store.put(
        "keyed.servers",
        f"i-{number}",
        {
            "service": "assistant",
            "address": address,
            "zone": "dc",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
            "cold_left_ms": 0,
            "born": 1,
            "domain": f"d-{number // ENGINES_PER_DOMAIN}",
            "models": [],
            "group": None,
            "staged": [],
        },
    )


def forget_peak(entry):
    """Let the greatest memory so far be what the process holds now."""
    pathlib.Path(f"/proc/{entry.popen.pid}/clear_refs").write_text("5")


async def play(entry, form):
    engines = [EngineWithoutEnd(entry.nursery, form) for _ in range(ENGINES)]
    for engine in engines:
        await engine.raw.start()
    assert await entry.ask_ordinary("before") == 200
    forget_peak(entry)
    before_mb = entry.read_peak_memory_mb()
    for number, engine in enumerate(engines):
        write_record(entry.store, number, engine.raw.address)

    async def were_called():
        return sum(engine.calls for engine in engines) >= (
            CALLS_PER_ENGINE * ENGINES
        )

    await entry.wait_for(were_called)
    assert await entry.ask_ordinary("beside") == 200
    assert entry.is_running()
    assert entry.read_peak_memory_mb() - before_mb <= MAX_GROWTH_MB


# An entry kept all that faulty servers sent until it ran out of memory, and
# the requests of all its callers ended with it.
@pytest.mark.parametrize("form", FORMS)
def test_answers_without_end_take_little_memory(tmp_path, form):
    async def main():
        async with trio.open_nursery() as nursery:
            entry = entries.EntryProcess(nursery, tmp_path)
            try:
                await entry.start()
                await play(entry, form)
            finally:
                entry.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
