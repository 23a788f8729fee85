"""The messages between entries, as one tagged union."""

import typing as t

import msgspec

from sycamorespool.decisions import pings
from sycamorespool import models


class GrantsWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="grants_wanted"
):
    """Ask the owner of a unit for grants.

    ``hops`` is how many entries may still pass the ask on, for an entry
    that does not reach the owner itself.
    """

    ask: models.GrantAsk
    hops: int = 0


class GrantsGiven(
    msgspec.Struct, frozen=True, array_like=True, tag="grants_given"
):
    """The owner's answer."""

    answer: models.GrantAnswer


class GrantsWithdrawn(
    msgspec.Struct, frozen=True, array_like=True, tag="grants_withdrawn"
):
    """The owner tells holders to ask again before they send new work."""

    unit: str
    group_ids: tuple[str, ...]


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The message was taken in."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The entry cannot answer the call."""

    reason: str


Message: t.TypeAlias = (
    pings.Ping
    | pings.PingRequest
    | pings.Ack
    | GrantsWanted
    | GrantsGiven
    | GrantsWithdrawn
    | Done
    | Refused
)
