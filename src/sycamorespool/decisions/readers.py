"""Which entry reads the store for the others of its data centre.

All entries rank the entries of a data centre alike, so that one reads and
the others follow it.  One that fails, or whose reads are old, is passed
over for a while; an entry that is its own choice reads for itself::

    reader = choose(book, "entry-1", now_s)  # None: read the store
"""

import dataclasses
import math

from sycamorespool.decisions import rendezvous

EXCLUSION_S = 5.0
# One that has only just started has no records yet.
STARTUP_EXCLUSION_S = 1.0
# A link may be so much narrower than the widest one of the data centre.
MIN_LINK_FRACTION = 0.5
FOLLOWED_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Another entry, as it announced itself.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of its VM's link.
    """

    address: str
    data_centre: str
    link_mbps: float = 0.0


@dataclasses.dataclass(slots=True)
class ReaderBook:
    """The entries that announced themselves.

    Parameters
    ----------
    entries : dict
        Entries by name.
    passed_over_until_s : dict
        Until when an entry is not followed, by name.
    asked_s : float
        When another entry last followed this one.
    """

    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    excluded_until_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    asked_s: float = -math.inf


def choose(book: ReaderBook, own_name: str, now_s: float) -> str | None:
    """Return the entry to follow, None to read the store oneself.

    One that others follow reads for itself, as they cannot reach its own
    reader and would get what is old by two steps.
    """
    own = book.entries.get(own_name)
    if own is None or now_s - book.asked_s < FOLLOWED_S:
        return None
    links_mbps = {
        name: entry.link_mbps
        for name, entry in book.entries.items()
        if entry.data_centre == own.data_centre
        and now_s >= book.excluded_until_s.get(name, now_s)
    }
    # A reader sends each record to all others of its data centre.
    least_mbps = MIN_LINK_FRACTION * max(links_mbps.values(), default=0.0)
    names = [name for name, mbps in links_mbps.items() if mbps >= least_mbps]
    chosen = rendezvous.choose(own.data_centre, names)
    return None if chosen == own_name else chosen


def pass_over(
    book: ReaderBook, name: str, now_s: float, does_answer: bool = False
) -> None:
    """Follow another entry for a while, a short one if it answers at all."""
    hold_s = STARTUP_EXCLUSION_S if does_answer else EXCLUSION_S
    book.excluded_until_s[name] = now_s + hold_s
