"""Chooses the entry that reads the store for its data centre.

All entries of a data centre rank its entries alike, so that one reads the
store and the others follow it.  A reader that fails, or whose records are
old, is excluded for a while.  An entry that ranks itself first reads the
store::

    reader = choose(directory, "entry-1", now_s)  # None: read the store
"""

import dataclasses
import math

from sycamorespool.decisions import rendezvous

EXCLUSION_S = 5.0
# An entry that has only just started has no records yet.
STARTUP_EXCLUSION_S = 1.0
# Least bandwidth of a reader's link, relative to the widest link of the
# data centre.
MIN_LINK_FRACTION = 0.5
# An entry counts as followed for this long after a follower's request.
FOLLOWED_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Holds what an entry announced that may read the store for others.

    Parameters
    ----------
    address : str
        Address for the other entries.
    data_centre : str
        Data centre where it runs.
    link_mbps : float
        Bandwidth of its VM's link in Mbit/s.
    number : int
        Orders the announcements of one entry; 0 if it does not count them.
    """

    address: str
    data_centre: str
    link_mbps: float = 0.0
    number: int = 0


@dataclasses.dataclass(slots=True)
class EntryDirectory:
    """Holds the entries that may be chosen as reader, and which are excluded.

    Parameters
    ----------
    entries : dict
        The entries that announced themselves, by name.
    excluded_until_s : dict
        Until when an entry is not followed, by name.
    last_followed_s : float
        When another entry last requested records from this one.
    """

    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    excluded_until_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    last_followed_s: float = -math.inf


def note_announced(directory: EntryDirectory, name: str, entry: Entry) -> bool:
    """Record an announcement; ignore one that was written late.

    Return whether it is in force.
    """
    known = directory.entries.get(name)
    if known is not None and 0 < entry.number < known.number:
        return False
    directory.entries[name] = entry
    return True


def choose(
    directory: EntryDirectory, own_name: str, now_s: float
) -> str | None:
    """Return the name of the entry to follow, None to read the store.

    An entry that others follow reads the store itself: its followers could
    not reach its reader, and would get records that are two steps old.
    """
    own = directory.entries.get(own_name)
    if own is None or now_s - directory.last_followed_s < FOLLOWED_S:
        return None
    chosen = find_reader(directory, own.data_centre, now_s)
    return None if chosen == own_name else chosen


def find_reader(
    directory: EntryDirectory, data_centre: str, now_s: float
) -> str | None:
    """Return the name of the entry that reads for a data centre, if any."""
    links_mbps = {
        name: entry.link_mbps
        for name, entry in directory.entries.items()
        if entry.data_centre == data_centre
        and now_s >= directory.excluded_until_s.get(name, now_s)
    }
    # A reader sends each record to all other entries of its data centre,
    # so its link must not be narrow.
    least_mbps = MIN_LINK_FRACTION * max(links_mbps.values(), default=0.0)
    names = [name for name, mbps in links_mbps.items() if mbps >= least_mbps]
    return rendezvous.choose(data_centre, names)


def exclude(
    directory: EntryDirectory,
    name: str,
    now_s: float,
    does_answer: bool = False,
) -> None:
    """Exclude an entry as reader, for a shorter time if it answers at all."""
    hold_s = STARTUP_EXCLUSION_S if does_answer else EXCLUSION_S
    directory.excluded_until_s[name] = now_s + hold_s
