"""Tracks how far a stream was relayed, by the ids of its events."""

import dataclasses
import re

from sycamorespool import exceptions
from sycamorespool import relay

EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


@dataclasses.dataclass(slots=True)
class EventIdTracker:
    """How far a stream whose events have consecutive ids was relayed.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that was relayed to the caller.
    count : int
        Number of events that were relayed.
    is_done : bool
        Whether the stream is complete.
    """

    last_id: int | None = None
    count: int = 0
    is_done: bool = False
    _held: bytes = b""

    def check_start(self, answer: relay.Source) -> None:
        """Accept any answer, as the event ids show where it continues."""

    def take(self, chunk: bytes) -> bytes:
        """Take a chunk of the stream and return the whole events to relay.

        Raises
        ------
        BackendCut
            If an event is missing, repeated or too long.
        """
        held = self._held + chunk if self._held else chunk
        end = held.rfind(relay.EVENT_END)
        cut = end + len(relay.EVENT_END) if end >= 0 else 0
        block, self._held = held[:cut], held[cut:]
        if len(self._held) > relay.MAX_EVENT_BYTES:
            raise exceptions.BackendCut("an event is too long")
        for match in EVENT_ID.finditer(block):
            self._check_order(int(match.group(1)))
        return block

    def _check_order(self, event_id: int) -> None:
        if self.last_id is not None and event_id != self.last_id + 1:
            raise exceptions.BackendCut(
                f"event {event_id} follows event {self.last_id}"
            )
        self.last_id = event_id
        self.count += 1

    def end(self) -> None:
        """Record that the answer ended.

        Raises
        ------
        BackendCut
            If it ended within an event.
        """
        if self._held:
            raise exceptions.BackendCut("the stream ends within an event")
        self.is_done = True

    def drop_partial_event(self) -> None:
        """Drop the partial event at the end, which was not relayed."""
        self._held = b""
