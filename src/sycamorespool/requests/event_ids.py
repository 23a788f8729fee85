"""Tracks how far a stream was relayed, by the ids of its events."""

import dataclasses
import re

from sycamorespool import exceptions
from sycamorespool.requests import event_counts

# Lines of a field's name, a colon and its value, up to a blank line.
_OTHER_FIELDS = rb"(?:(?!id:)[a-z0-9_-]*:[^\n]*\n)*"
# An event with one id and at least one line of data.
_EVENT = re.compile(
    rb"(?=(?:[^\n]+\n)*data:)"
    + _OTHER_FIELDS
    + rb"id: ?([0-9]{1,18})\n"
    + _OTHER_FIELDS
    + rb"\n"
)
_COMMENT = re.compile(rb"(?::[^\n]*\n)+\n")
_EVENT_ID = re.compile(r"[0-9]{1,18}")
# Ids that the first event of a whole stream may have.
_FIRST_IDS = frozenset((0, 1))


@dataclasses.dataclass(frozen=True, slots=True)
class _Progress:
    """Holds the last event's id, if any, and the number of events."""

    last_id: int | None
    count: int


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
    _first_ids: frozenset[int] = _FIRST_IDS
    _held: bytes = b""
    _unnumbered_bytes: int = 0

    def resume_after(self, last_event: str, is_resumable: bool) -> None:
        """Expect the stream to begin after the last event of an earlier one.

        Parameters
        ----------
        last_event : str
            Id of the last event that the caller has; ignored if it is none.
        is_resumable : bool
            Whether the stream has to go on there.  It may also begin anew
            otherwise.
        """
        if not _EVENT_ID.fullmatch(last_event):
            return
        next_id = int(last_event) + 1
        others = frozenset() if is_resumable else _FIRST_IDS
        self._first_ids = others | {next_id}

    def check_start(self, answer: event_counts.Source) -> None:
        """Accept any answer, as the event ids show where it continues."""

    def take(self, chunk: bytes) -> bytes:
        """Take a chunk of the stream and return the whole events to relay.

        Raises
        ------
        BackendCut
            If an event is missing, repeated, too long or has no id, or if too
            many bytes came without an event.  Nothing of the chunk counts as
            relayed then.
        """
        held = self._held + chunk if self._held else chunk
        end = held.rfind(event_counts.EVENT_END)
        cut = end + len(event_counts.EVENT_END) if end >= 0 else 0
        block, self._held = held[:cut], held[cut:]
        if len(self._held) > event_counts.MAX_EVENT_BYTES:
            raise exceptions.BackendCut("an event is too long")
        # No event counts as relayed before all that are sent with it.
        progress = self._check_block(block)
        self._unnumbered_bytes = (
            0
            if progress.count > self.count
            else self._unnumbered_bytes + len(block)
        )
        if self._unnumbered_bytes > event_counts.MAX_EVENT_BYTES:
            raise exceptions.BackendCut("the events have no ids")
        self.last_id, self.count = progress.last_id, progress.count
        return block

    def _check_block(self, block: bytes) -> _Progress:
        """Return the progress after a block of whole events."""
        progress = _Progress(self.last_id, self.count)
        position = 0
        while position < len(block):
            found = _EVENT.match(block, position)
            if found:
                event_id = int(found[1])
                self._check_order(progress.last_id, event_id)
                progress = _Progress(event_id, progress.count + 1)
            else:
                found = _COMMENT.match(block, position)
            if not found:
                raise exceptions.BackendCut(
                    "the stream has bytes that are no event with an id"
                )
            position = found.end()
        return progress

    def _check_order(self, last_id: int | None, event_id: int) -> None:
        expected = self._first_ids if last_id is None else {last_id + 1}
        if event_id not in expected:
            raise exceptions.BackendCut(
                f"event {event_id} follows event {last_id}"
            )

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
