"""Caches the newest records that an entry has read of a topic."""

import collections
import dataclasses
import math

from sycamorespool.platform import store

KEPT_RECORDS = 1024


@dataclasses.dataclass(slots=True)
class RecordCache:
    """Holds the newest records of a topic, without gaps.

    Parameters
    ----------
    records : deque
        At most ``KEPT_RECORDS`` records in offset order.
    next : int
        Offset after the last record.
    as_of_s : float
        A time at which the store had nothing newer, on the clock that runs
        while the machine is suspended.
    """

    records: collections.deque[bytes] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=KEPT_RECORDS)
    )
    next: int = 0
    as_of_s: float = -math.inf

    def add_page(self, page: store.Page, as_of_s: float) -> None:
        """Append a page; if its records do not follow, drop the older ones."""
        if page.start != self.next:
            self.records.clear()
        self.records.extend(page.records)
        self.next = page.next
        self.as_of_s = as_of_s

    def find_from(self, start: int) -> list[bytes] | None:
        """Return the records from an offset on, None if some were dropped.

        The list is empty if the offset is beyond the newest record.
        """
        first = self.next - len(self.records)
        if start < first:
            return None
        return list(self.records)[start - first :]
