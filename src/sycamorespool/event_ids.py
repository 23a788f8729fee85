"""Follows the events of a stream by their ids."""

import dataclasses
import re

from sycamorespool import exceptions
from sycamorespool import relay

EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


@dataclasses.dataclass(slots=True)
class EventIds:
    """How far a stream whose events have ids was passed on.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller has got.
    count : int
        Events that were passed on.
    is_done : bool
        Whether the stream ended as a whole.
    """

    last_id: int | None = None
    count: int = 0
    is_done: bool = False
    _held: bytes = b""

    def check_start(self, answer: relay.Source) -> None:
        """Accept any answer: the ids of its events tell where it goes on."""

    def take(self, chunk: bytes) -> bytes:
        """Take in a chunk and return the whole events to pass on.

        Raises
        ------
        BackendCut
            If an event is missing, comes again or has no end.
        """
        held = self._held + chunk if self._held else chunk
        end = held.rfind(relay.EVENT_END)
        cut = end + len(relay.EVENT_END) if end >= 0 else 0
        block, self._held = held[:cut], held[cut:]
        if len(self._held) > relay.MAX_EVENT_BYTES:
            raise exceptions.BackendCut("an event has no end")
        for match in EVENT_ID.finditer(block):
            self._follow(int(match.group(1)))
        return block

    def _follow(self, event_id: int) -> None:
        if self.last_id is not None and event_id != self.last_id + 1:
            raise exceptions.BackendCut(
                f"event {event_id} follows event {self.last_id}"
            )
        self.last_id = event_id
        self.count += 1

    def end(self) -> None:
        """Note that the answer ended.

        Raises
        ------
        BackendCut
            If it ended within an event.
        """
        if self._held:
            raise exceptions.BackendCut("the stream ends within an event")
        self.is_done = True

    def forget_half(self) -> None:
        """Drop half an event, which was not passed on."""
        self._held = b""
