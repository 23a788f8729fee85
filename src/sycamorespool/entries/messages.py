"""The messages between entries, as one tagged union."""

import typing as t

import msgspec

from sycamorespool.decisions import pings
from sycamorespool import models
from sycamorespool import records


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


class KeyAsked(msgspec.Struct, frozen=True, array_like=True, tag="key_asked"):
    """Ask the keeper of a key for a ruling on an attempt."""

    intent: records.KeyIntent
    wait_s: float


class KeyRuled(msgspec.Struct, frozen=True, array_like=True, tag="key_ruled"):
    """The ruling, and the outcome if one is kept."""

    ruling: str
    outcome: records.KeyOutcome | None = None


class KeyRefused(
    msgspec.Struct, frozen=True, array_like=True, tag="key_refused"
):
    """No ruling can be had; the caller is told ``not run``."""

    code: str
    detail: str
    retry_after_s: float


class KeyReported(
    msgspec.Struct, frozen=True, array_like=True, tag="key_reported"
):
    """Have an outcome or a withdrawal appended; answered when it is."""

    outcome: records.KeyOutcome | None = None
    withdrawal: records.KeyWithdrawal | None = None


class UsageTold(
    msgspec.Struct, frozen=True, array_like=True, tag="usage_told"
):
    """What an entry uses and wants of each service.

    Parameters
    ----------
    demands : dict
        Places in use and wanted, by service and workspace.
    places : dict
        Places that its grants give it, by service.
    """

    entry: str
    demands: dict[str, dict[str, float]]
    places: dict[str, float]


class StateWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="state_wanted"
):
    """Ask an entry for its state, on behalf of an operator."""

    entry: str


class StateGiven(
    msgspec.Struct, frozen=True, array_like=True, tag="state_given"
):
    """The state of the entry that was asked."""

    state: models.EntryState


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
    | KeyAsked
    | KeyRuled
    | KeyRefused
    | KeyReported
    | UsageTold
    | StateWanted
    | StateGiven
    | Done
    | Refused
)
