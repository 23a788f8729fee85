"""Tracks how far a stream was relayed, by the ids of its events."""

import dataclasses
import re

from sycamorespool import exceptions
from sycamorespool import relay

EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


@dataclasses.dataclass(slots=True)
class EventIdTracker:
    """Tracks how far a stream whose events have consecutive ids was relayed.

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
    _unnumbered_bytes: int = 0

    def check_start(self, answer: relay.Source) -> None:
        """Accept any answer, as the event ids show where it continues."""

    def take(self, chunk: bytes) -> bytes:
        """Take a chunk of the stream and return the whole events to relay.

        Raises
        ------
        BackendCut
            If an event is missing, repeated or too long, or if too many bytes
            came without the id of an event.
        """
        held = self._held + chunk if self._held else chunk
        end = held.rfind(relay.EVENT_END)
        cut = end + len(relay.EVENT_END) if end >= 0 else 0
        block, self._held = held[:cut], held[cut:]
        if len(self._held) > relay.MAX_EVENT_BYTES:
            raise exceptions.BackendCut("an event is too long")
        ids = EVENT_ID.findall(block)
        for event_id in ids:
            self._check_order(int(event_id))
        self._unnumbered_bytes = (
            0 if ids else (self._unnumbered_bytes + len(block))
        )
        if self._unnumbered_bytes > relay.MAX_EVENT_BYTES:
            raise exceptions.BackendCut("the events have no ids")
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
