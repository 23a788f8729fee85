"""Chooses the grant that an entry uses for a request.

The nearest data centre with a free place is preferred.  Within it, a
replica that holds the request's prefix in its cache is preferred unless its
load is well above the mean; a prefix that no replica holds is placed by
rendezvous hashing with bounded loads::

    key = make_prefix_key("workspace", "the first words of the prompt")
    held = choose(book, "drafts", key, view, tiers, now_s)

Mirrokni, Thorup and Zadimoghaddam: Consistent Hashing with Bounded Loads,
SODA 2018.
"""

import collections
from collections import abc
import dataclasses
import hashlib
import math
import typing as t

from sycamorespool.decisions import grant_book
from sycamorespool.decisions import rendezvous

# Load of a replica, relative to the mean, above which it is passed over.
LOAD_BOUND = 1.25
PREFIX_CHARACTERS = 512
MAX_PREFIXES = 32768
MAX_HOLDERS = 3
# Up to this many units are all asked for grants; of more, a subset.
ASK_ALL_LIMIT = 16
MIN_UNITS = 8
MAX_UNITS = 24
# Places to ask for, relative to those that the entry could use.
HEADROOM = 2.0
# Distance class of a data centre that is not listed.
FAR_TIER = 9


@dataclasses.dataclass(slots=True)
class CacheView:
    """Holds which replicas presumably have each prompt prefix in their cache.

    Parameters
    ----------
    holders : collections.OrderedDict
        Group id and generation of the holders, by prefix key; the least
        recently used prefix first.
    generations : collections.Counter
        Incremented, by group id, when all that is known of the group's
        cache becomes invalid.
    last_events : dict
        Incarnation and sequence of the last event, by group id.
    """

    holders: collections.OrderedDict[int, dict[str, int]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    generations: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    last_events: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Holds the prefixes that a replica's cache has stored and removed.

    Parameters
    ----------
    group_id : str
        The replica.
    incarnation : int
        Start number of the backend server that reports.
    sequence : int
        Number of the event within the incarnation, without gaps.
    stored, removed : tuple of int
        Prefix keys.
    """

    group_id: str
    incarnation: int
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


def make_prefix_key(workspace: str, text: str) -> int:
    """Return a 64-bit key of the first characters of a prompt."""
    data = f"{workspace}\0{text[:PREFIX_CHARACTERS]}".encode(
        errors="surrogatepass"
    )
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def note_stored(view: CacheView, group_id: str, prefix: int) -> None:
    """Record that a replica holds a prefix, as after a request for it."""
    holders = view.holders.setdefault(prefix, {})
    holders.pop(group_id, None)
    holders[group_id] = view.generations[group_id]
    if len(holders) > MAX_HOLDERS:
        del holders[next(iter(holders))]
    view.holders.move_to_end(prefix)
    if len(view.holders) > MAX_PREFIXES:
        view.holders.popitem(last=False)


def _note_removed(view: CacheView, group_id: str, prefix: int) -> None:
    holders = view.holders.get(prefix)
    if holders is not None:
        holders.pop(group_id, None)
        if not holders:
            del view.holders[prefix]


def forget_group(view: CacheView, group_id: str) -> None:
    """Invalidate all that is known of a replica's cache."""
    view.generations[group_id] += 1


def take_event(view: CacheView, event: CacheEvent) -> bool:
    """Apply a cache event; return False for an outdated one.

    A gap or a restart invalidates what was known of the replica: a removal
    may be among the lost events.
    """
    position = (event.incarnation, event.sequence)
    before = view.last_events.get(event.group_id)
    if before is not None and position <= before:
        return False
    view.last_events[event.group_id] = position
    is_next = before is None or position == (before[0], before[1] + 1)
    if not is_next:
        forget_group(view, event.group_id)
    for prefix in event.removed:
        _note_removed(view, event.group_id, prefix)
    for prefix in event.stored:
        note_stored(view, event.group_id, prefix)
    return True


def find_holders(view: CacheView, prefix: int) -> set[str]:
    """Return the replicas that presumably hold a prefix."""
    holders = view.holders.get(prefix, {})
    return {
        group_id
        for group_id, generation in holders.items()
        if generation == view.generations[group_id]
    }


def _load_of(book: grant_book.GrantBook, held: grant_book.HeldGrant) -> float:
    used = book.in_flight.get(held.grant.group_id, 0)
    return (used + 1) / held.grant.places


def _keep_nearest(
    usable: list[grant_book.HeldGrant], tiers: abc.Mapping[str, int]
) -> list[grant_book.HeldGrant]:
    def tier_of(held: grant_book.HeldGrant) -> int:
        return tiers.get(held.grant.data_centre, FAR_TIER)

    nearest = min(tier_of(held) for held in usable)
    return [held for held in usable if tier_of(held) == nearest]


def _keep_below_bound(
    book: grant_book.GrantBook, near: list[grant_book.HeldGrant]
) -> list[grant_book.HeldGrant]:
    used = sum(book.in_flight.get(held.grant.group_id, 0) for held in near)
    places = sum(held.grant.places for held in near)
    mean = (used + 1) / places
    return [
        held
        for held in near
        if book.in_flight.get(held.grant.group_id, 0) + 1
        <= math.ceil(LOAD_BOUND * mean * held.grant.places)
    ]


def choose(
    book: grant_book.GrantBook,
    service: str,
    prefix: int | None,
    view: CacheView,
    tiers: abc.Mapping[str, int],
    now_s: float,
    excluded: abc.Container[str] = (),
) -> grant_book.HeldGrant | None:
    """Return the grant to use for a request, or None if no place is free.

    Parameters
    ----------
    book : grant_book.GrantBook
        The entry's grants and its requests in flight.
    service : str
        The requested service.
    prefix : int or None
        Key of the prompt's prefix; None if the service has no cache.
    view : CacheView
        The prefixes that the replicas hold.
    tiers : mapping
        Distance class by data centre, 0 for the nearest.
    now_s : float
        The present time.
    excluded : container of str
        Group ids that were tried already.
    """
    usable = [
        held
        for held in grant_book.find_usable(book, service, now_s)
        if held.grant.group_id not in excluded
    ]
    if not usable:
        return None
    near = _keep_nearest(usable, tiers)
    if prefix is None:
        return min(near, key=lambda held: _load_of(book, held))
    bounded = _keep_below_bound(book, near) or near
    holders = find_holders(view, prefix)
    warm = [held for held in bounded if held.grant.group_id in holders]
    if warm:
        return min(warm, key=lambda held: _load_of(book, held))
    key = str(prefix)
    return max(
        bounded,
        key=lambda held: rendezvous.weigh(key, held.grant.group_id),
    )


def _order_centres(
    centres: t.Iterable[str], tiers: abc.Mapping[str, int]
) -> list[str]:
    ordered = sorted(centres, key=lambda dc: (tiers.get(dc, FAR_TIER), dc))
    nearest = [dc for dc in ordered if tiers.get(dc, FAR_TIER) == 0]
    # The nearest data centres come twice in each round.
    return nearest + ordered


def choose_units(
    entry: str,
    units: abc.Mapping[str, str],
    tiers: abc.Mapping[str, int],
    wanted: int,
    places_per_unit: float,
) -> list[str]:
    """Return the units that an entry asks for grants.

    All units are asked if they are few.  Of many, each entry asks a subset
    that has enough places, is spread over the data centres and changes
    little.

    Parameters
    ----------
    entry : str
        The asking entry.
    units : mapping
        Data centre by unit, for the units that run the service.
    tiers : mapping
        Distance class by data centre, 0 for the nearest.
    wanted : int
        Places that the entry could use.
    places_per_unit : float
        Places that one warmed-up unit gives to all entries together.  The
        number of units asked hardly changes what an entry gets of a busy
        fleet, as each unit is then shared by as many more entries.
    """
    if len(units) <= ASK_ALL_LIMIT:
        return sorted(units)
    needed = math.ceil(HEADROOM * wanted / max(places_per_unit, 1.0))
    count = min(max(needed, MIN_UNITS), MAX_UNITS, len(units))
    waiting: dict[str, list[str]] = {}
    for unit in rendezvous.rank(entry, units):
        waiting.setdefault(units[unit], []).append(unit)
    order = _order_centres(waiting, tiers)
    chosen: list[str] = []
    while len(chosen) < count:
        for data_centre in order:
            if waiting[data_centre]:
                chosen.append(waiting[data_centre].pop(0))
    return chosen[:count]
