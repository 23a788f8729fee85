"""The grants that an entry holds, and the places it uses of them."""

import collections
import dataclasses

import trio

from sycamorespool import models


@dataclasses.dataclass(slots=True)
class GrantsHeld:
    """Grants by group id, and the requests in flight under them.

    Parameters
    ----------
    changed : trio.Event
        Set when a place may have become free; each has its successor.
    """

    grants: dict[str, tuple[models.Grant, float]] = dataclasses.field(
        default_factory=dict
    )
    in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    waiting: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def put(self, answer: models.GrantAnswer, asked_s: float) -> None:
        """Keep the grants of an answer that was asked for at ``asked_s``."""
        for grant in answer.grants:
            self.grants[grant.group_id] = (grant, asked_s + grant.ttl_s)
        self._announce()

    def release(self, group_id: str) -> None:
        """Give back the place of a request that ended."""
        self.in_flight[group_id] -= 1
        self._announce()

    def _announce(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def find(
        self, service: str, now_s: float, excluded: set[str]
    ) -> models.Grant | None:
        """Return the live grant of a service with the most free places."""
        best: tuple[int, models.Grant] | None = None
        for grant, expires_s in self.grants.values():
            free = grant.places - self.in_flight[grant.group_id]
            is_usable = (
                grant.service == service
                and now_s < expires_s
                and free > 0
                and grant.group_id not in excluded
            )
            if is_usable and (best is None or free > best[0]):
                best = (free, grant)
        return best[1] if best else None
