"""Tracks the grants that this entry holds and the requests it has in flight.

This is the asker's side of grants.  An answer replaces all earlier grants
of its unit.  Its grants are valid from the moment at which the entry began
to ask, so a slow answer only shortens them::

    ask = make_ask(book, "domain/d1", {"drafts": 12}, now_s)
    take_answer(book, answer, ask.asked_s, later_s)
    if acquire_place(book, group_id, now_s):
        ...  # send, and release_place(book, group_id) afterwards
"""

import collections
import dataclasses
import typing as t

from sycamorespool import models


@dataclasses.dataclass(frozen=True, slots=True)
class HeldGrant:
    """Holds a grant, its unit and the time until which it may be used."""

    unit: str
    grant: models.Grant
    until_s: float


@dataclasses.dataclass(slots=True)
class GrantBook:
    """Holds the grants of an entry and the requests that it has in flight.

    Parameters
    ----------
    entry : str
        Name of this entry.
    incarnation : int
        Start number of this process.
    held : dict
        Grants by group id.
    taken_s : dict
        ``asked_s`` of the newest accepted answer, by unit.
    in_flight : collections.Counter
        Requests in flight by group id.
    unit_of_group : dict
        Unit of each group that has a grant or requests in flight.
    """

    entry: str
    incarnation: int
    held: dict[str, HeldGrant] = dataclasses.field(default_factory=dict)
    taken_s: dict[str, float] = dataclasses.field(default_factory=dict)
    in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    unit_of_group: dict[str, str] = dataclasses.field(default_factory=dict)


def make_ask(
    book: GrantBook, unit: str, wanted: t.Mapping[str, int], now_s: float
) -> models.GrantAsk:
    """Return the ask for a unit.

    Parameters
    ----------
    book : GrantBook
        The grants and requests in flight of this entry.
    unit : str
        The unit to ask for.
    wanted : dict
        Wanted places by service.
    now_s : float
        The present time on this entry's clock.

    Raises
    ------
    ValueError
        If ``now_s`` is before the ask of the newest accepted answer.
    """
    taken_s = book.taken_s.get(unit, -1.0)
    if now_s < taken_s:
        raise ValueError(f"clock went back from {taken_s} to {now_s}")
    in_flight = {
        group_id: count
        for group_id, count in book.in_flight.items()
        if book.unit_of_group.get(group_id) == unit
    }
    return models.GrantAsk(
        book.entry,
        unit,
        in_flight,
        dict(wanted),
        book.incarnation,
        now_s,
        taken_s,
    )


def take_answer(
    book: GrantBook, answer: models.GrantAnswer, asked_s: float, now_s: float
) -> bool:
    """Replace a unit's grants; return False if a newer answer was accepted.

    Parameters
    ----------
    book : GrantBook
        The grants of this entry, changed in place.
    answer : models.GrantAnswer
        The answer.
    asked_s : float
        When this entry began to ask, on its own clock.
    now_s : float
        The present time on the same clock.
    """
    if asked_s <= book.taken_s.get(answer.unit, -1.0):
        return False
    book.taken_s[answer.unit] = asked_s
    drop_unit(book, answer.unit)
    for grant in answer.grants:
        until_s = asked_s + grant.ttl_s
        if until_s > now_s:
            book.held[grant.group_id] = HeldGrant(answer.unit, grant, until_s)
            book.unit_of_group[grant.group_id] = answer.unit
    return True


def _forget_unused(book: GrantBook, group_id: str) -> None:
    if group_id not in book.held and not book.in_flight[group_id]:
        del book.in_flight[group_id]
        book.unit_of_group.pop(group_id, None)


def drop_unit(book: GrantBook, unit: str) -> None:
    """Remove the grants of a unit, as when its owner withdraws them."""
    gone = [g for g, held in book.held.items() if held.unit == unit]
    for group_id in gone:
        del book.held[group_id]
        _forget_unused(book, group_id)


def drop_expired(book: GrantBook, now_s: float) -> None:
    """Remove grants that have expired."""
    gone = [g for g, held in book.held.items() if held.until_s <= now_s]
    for group_id in gone:
        del book.held[group_id]
        _forget_unused(book, group_id)


def count_free(book: GrantBook, held: HeldGrant, now_s: float) -> int:
    """Return how many more requests may begin under a grant now."""
    if now_s >= held.until_s:
        return 0
    used = book.in_flight.get(held.grant.group_id, 0)
    return max(held.grant.places - used, 0)


def find_usable(
    book: GrantBook, service: str, now_s: float
) -> list[HeldGrant]:
    """Return the grants of a service under which a request may begin now."""
    return [
        held
        for held in book.held.values()
        if held.grant.service == service and count_free(book, held, now_s)
    ]


def acquire_place(book: GrantBook, group_id: str, now_s: float) -> bool:
    """Take a place at a group; return False if no valid grant has one.

    Call it right before the first byte of the request is sent.
    """
    held = book.held.get(group_id)
    if held is None or not count_free(book, held, now_s):
        return False
    book.in_flight[group_id] += 1
    return True


def release_place(book: GrantBook, group_id: str) -> None:
    """Release the place of a request that has ended."""
    book.in_flight[group_id] -= 1
    _forget_unused(book, group_id)
