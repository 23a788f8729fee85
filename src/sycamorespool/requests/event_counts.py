"""Counts the events of a stream as they are relayed to a caller.

A tracker takes the chunks of a stream, holds the beginning of an event back
until its end comes, and checks a block of events as a whole::

    events = EventCounter()
    events.take(b"data: a\\n\\ndata: b")  # b"data: a\\n\\n"
    events.count  # 1

The tracker of streams with event ids is in
:mod:`sycamorespool.requests.event_ids`.
"""

import dataclasses
import re
import typing as t

from sycamorespool import exceptions

EVENT_END = b"\n\n"
TOKEN = b"data:"
LATER_TOKEN = b"\n" + TOKEN
DONE = b"data: [DONE]\n\n"
LATER_DONE = EVENT_END + DONE
MAX_EVENT_BYTES = 256 * 1024
RESUME_HEADER = "x-resume-from-token"
_FIELD = rb"(?:event|id|retry)?:[^\n]*\n"
_DATA = rb"data:[^\n]*\n"
# Server-sent events with at most one line of data each.
_EVENTS = re.compile(
    rb"(?:(?:(?:%(field)b)+(?:%(data)b(?:%(field)b)*)?"
    rb"|%(data)b(?:%(field)b)*)\n)+" % {b"field": _FIELD, b"data": _DATA}
)


class Source(t.Protocol):
    """Holds an answer of a backend server that is being read."""

    status: int
    headers: dict[str, str]
    joined_headers: dict[str, str]

    async def read(self) -> bytes:
        """Return the next bytes of the body, or none at its end."""

    async def finish(self) -> None:
        """Read the rest of the body, if its end comes soon."""


class EventTracker(t.Protocol):
    """Tracks the events of a stream that were relayed to the caller."""

    count: int
    is_done: bool

    def check_start(self, answer: Source) -> None:
        """Raise BackendCut if an answer does not begin at the next event."""

    def take(self, chunk: bytes) -> bytes:
        """Take a chunk of the stream and return the complete events."""

    def end(self) -> None:
        """Handle the end of the body; raise BackendCut if it is early."""

    def drop_partial_event(self) -> None:
        """Drop the beginning of an event, which was not relayed."""


@dataclasses.dataclass(slots=True)
class EventCounter:
    """Counts the events of a streamed completion.

    Parameters
    ----------
    count : int
        Complete events with data so far, each of which is one token.
    is_done : bool
        Whether the last event, ``[DONE]``, was among them.
    """

    count: int = 0
    is_done: bool = False
    _partial_event: bytes = b""

    def take(self, chunk: bytes) -> bytes:
        """Take a chunk of the stream and return the complete events.

        The beginning of an event is held back until its end comes.

        Raises
        ------
        BackendCut
            If the bytes are not server-sent events, or an event is longer
            than ``MAX_EVENT_BYTES``.
        """
        if self._partial_event:
            chunk = self._partial_event + chunk
        if chunk.endswith(EVENT_END):
            block, self._partial_event = chunk, b""
        else:
            end = chunk.rfind(EVENT_END)
            cut = end + len(EVENT_END) if end >= 0 else 0
            block, self._partial_event = chunk[:cut], chunk[cut:]
            if len(self._partial_event) > MAX_EVENT_BYTES:
                raise exceptions.BackendCut("an event is too long")
            if not block:
                return b""
        block, is_done = _cut_behind_done(block)
        # No event counts as relayed before all that are sent with it.
        if not _EVENTS.fullmatch(block):
            raise exceptions.BackendCut("the body is not server-sent events")
        # Line breaks inside an event's JSON are escaped, so only the
        # beginnings of data lines are counted.  A token's event has one.
        self.count += block.count(LATER_TOKEN) + block.startswith(TOKEN)
        if is_done:
            self.count -= 1
            self.is_done = True
        return block

    def check_start(self, answer: Source) -> None:
        """Check that a stream begins at the next token.

        Raises
        ------
        BackendCut
            If it begins at another token.
        """
        start = answer.headers.get(RESUME_HEADER, "0")
        if start != str(self.count):
            raise exceptions.BackendCut(f"the stream begins at token {start}")

    def end(self) -> None:
        """Handle the end of a body that had no ``[DONE]`` event.

        Raises
        ------
        BackendCut
            Always, as the last event is missing.
        """
        raise exceptions.BackendCut("the stream ended without its last event")

    def drop_partial_event(self) -> None:
        """Drop the beginning of an event, which was not relayed."""
        self._partial_event = b""


def _cut_behind_done(block: bytes) -> tuple[bytes, bool]:
    """Drop what follows the last event; tell whether the block holds it."""
    if block.startswith(DONE):
        return DONE, True
    found = block.find(LATER_DONE)
    if found < 0:
        return block, False
    return block[: found + len(LATER_DONE)], True
