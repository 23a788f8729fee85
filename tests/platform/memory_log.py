"""Implements an in-memory fake of the log with the interface of its client."""

import trio

from sycamorespool import exceptions
from sycamorespool.platform import log
from sycamorespool import records


class MemoryLog:
    """Streams of records in memory; each keeps the last ``keep`` records."""

    def __init__(self, keep=100000):
        self.keep = keep
        self.is_down = False
        self.loses_answers = False
        self._streams = {}
        self._grown = trio.Event()

    async def append(self, stream, batch):
        """Append records in order and return their offsets."""
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise exceptions.PlatformUnavailable("down")
        lines = self._streams.setdefault(stream, [])
        offsets = list(range(len(lines), len(lines) + len(batch)))
        lines += map(records.LogEntry, offsets, batch)
        self._grown.set()
        self._grown = trio.Event()
        if self.loses_answers:
            raise exceptions.OutcomeLost("answer lost")
        return offsets

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        """Read records from ``start`` on; wait up to ``wait_s`` for one."""
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise exceptions.PlatformUnavailable("down")
        lines = self._streams.setdefault(stream, [])
        with trio.move_on_after(wait_s):
            while len(lines) <= start:
                await self._grown.wait()
        first = max(0, len(lines) - self.keep)
        if start < first:
            raise exceptions.RecordsExpired(first)
        found = tuple(lines[start : start + limit])
        return log.LogPage(first, len(lines), found)
