"""Caches the newest records that an entry has read of a topic."""

import collections
import dataclasses
import math

from sycamorespool.platform import pages

KEPT_RECORDS = 1024
KEPT_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class RecordCache:
    """Holds the newest records of a topic, without gaps, of one timeline.

    Parameters
    ----------
    records : deque
        At most ``KEPT_RECORDS`` records in offset order, which together have
        at most ``KEPT_BYTES``.
    next : Position
        Position after the last record.
    as_of_s : float
        Latest time known at which the store had no record at ``next`` or
        after it, on the clock that runs while the machine is suspended;
        minus infinity if no such time is known.
    """

    records: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )
    next: pages.Position = pages.Position(0, 0)
    as_of_s: float = -math.inf
    _size: int = 0

    def add_page(self, page: pages.Page, as_of_s: float) -> None:
        """Append a page; if its records do not follow, drop the older ones.

        Parameters
        ----------
        as_of_s : float
            Latest time known at which the store had nothing newer than the
            page; minus infinity if the page does not show one.
        """
        if (page.timeline, page.start) != self.next:
            self.records.clear()
            self._size = 0
        is_ahead = page.timeline == self.next.timeline and (
            page.next.offset >= self.next.offset
        )
        # What was true of an earlier position is true of a later one.
        known_s = self.as_of_s if is_ahead else -math.inf
        self.records.extend(page.records)
        self._size += sum(map(len, page.records))
        while len(self.records) > KEPT_RECORDS or self._size > KEPT_BYTES:
            self._size -= len(self.records.popleft())
        self.next = page.next
        self.as_of_s = max(known_s, as_of_s)

    def find_from(self, start: pages.Position) -> list[bytes] | None:
        """Return the records from a position on.

        The list is empty if the position is beyond the newest record.  The
        result is None if some of the records were dropped, or if the
        position is on another timeline than the cached records.
        """
        first = self.next.offset - len(self.records)
        if start.timeline != self.next.timeline or start.offset < first:
            return None
        return list(self.records)[start.offset - first :]
