"""Keeps the grants that an entry holds and counts the places in use."""

import collections
import dataclasses
import math

import trio

from sycamorespool.decisions import grant_book
from sycamorespool.decisions.placing import routing
from sycamorespool import models

# Places asked for beyond the present demand: a number and a share of it.
SPARE_PLACES = 4
SPARE_RATIO = 0.5


@dataclasses.dataclass(slots=True)
class GrantsHeld:
    """Holds grants, the requests in flight under them, and those that wait.

    Parameters
    ----------
    book : grant_book.GrantBook
        Grants and requests in flight.
    view : routing.CacheView
        What is known of the prefix caches of the groups.
    tiers : dict
        Distance class by data centre, 0 for the nearest.
    waiting : collections.Counter
        Requests that wait for a place, by service.
    using : collections.Counter
        Requests in flight, by service.
    claims : dict
        This entry's share of the places, for each service of which the
        whole fleet is short.
    shortage : trio.Event
        Set when a request finds no free place.
    """

    book: grant_book.GrantBook = dataclasses.field(
        default_factory=lambda: grant_book.GrantBook("", 0)
    )
    view: routing.CacheView = dataclasses.field(
        default_factory=routing.CacheView
    )
    tiers: dict[str, int] = dataclasses.field(default_factory=dict)
    waiting: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    using: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    claims: dict[str, int] = dataclasses.field(default_factory=dict)
    shortage: trio.Event = dataclasses.field(default_factory=trio.Event)

    def store_answer(self, answer: models.GrantAnswer, asked_s: float) -> None:
        """Store the grants of the answer to an ask made at ``asked_s``."""
        for grant in answer.grants:
            before = self.book.held.get(grant.group_id)
            if before and before.grant.incarnation != grant.incarnation:
                routing.forget_group(self.view, grant.group_id)
        grant_book.take_answer(self.book, answer, asked_s, trio.current_time())

    def count_wanted(self, service: str) -> int:
        """Return how many places this entry asks for.

        This is its claim while the fleet is short of places, and otherwise
        what it could use.
        """
        claim = self.claims.get(service)
        if claim is not None:
            return claim
        busy = self.using[service] + self.waiting[service]
        return busy + SPARE_PLACES + math.ceil(busy * SPARE_RATIO)

    def choose_grant(
        self,
        service: str,
        now_s: float,
        excluded: set[str],
        prefix: int | None = None,
    ) -> models.Grant | None:
        """Return the grant to use for a request, or None if none is free.

        Groups in ``excluded`` are left out; ``prefix`` identifies the
        prompt's prefix, for the choice of a group that has it cached.
        """
        held = routing.choose(
            self.book, service, prefix, self.view, self.tiers, now_s, excluded
        )
        if held is None:
            self.shortage.set()
            return None
        return held.grant

    def acquire(self, grant: models.Grant, prefix: int | None = None) -> bool:
        """Take a place; return False if the grant has expired meanwhile."""
        now_s = trio.current_time()
        if not grant_book.acquire_place(self.book, grant.group_id, now_s):
            return False
        self.using[grant.service] += 1
        if prefix is not None:
            routing.note_stored(self.view, grant.group_id, prefix)
        return True

    def release(self, grant: models.Grant) -> None:
        """Give a place back."""
        self.using[grant.service] -= 1
        grant_book.release_place(self.book, grant.group_id)

    def list_warm(self) -> set[str]:
        """Return the groups whose grants say that they are warm."""
        held = self.book.held.items()
        return {group_id for group_id, h in held if h.grant.warm}

    def list_cold(self) -> set[str]:
        """Return the groups that are not yet warm."""
        return {
            group_id
            for group_id, held in self.book.held.items()
            if not held.grant.warm
        }

    def count_used(self, group_id: str) -> int:
        """Return how many requests of this entry are in flight at a group."""
        return self.book.in_flight[group_id]

    def count_places(self, service: str) -> int:
        """Return how many places the valid grants of a service give."""
        now_s = trio.current_time()
        return sum(
            held.grant.places
            for held in self.book.held.values()
            if held.grant.service == service and now_s < held.until_s
        )
