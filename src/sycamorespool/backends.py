"""Defines how backend servers describe themselves, and orders to them.

A backend server writes its :class:`Backend` entry into the registry; a model
engine also answers requests for a :class:`Report` and carries out orders.
"""

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """Names the states of a member of a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Holds the group that a backend server says it belongs to.

    Parameters
    ----------
    rank : int
        Position among the members, 0 for the head, which takes the group's
        requests.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """Holds a backend server's entry in the registry.

    Parameters
    ----------
    domain : str
        Fabric domain, empty for a plain server.
    cold_left_s : float
        How long it stays cold, from when the entry was written.
    staged : frozenset of str
        Models whose weights are stored on its host.
    started_ms : int
        Start of the server, Unix milliseconds.
    sequence : int
        Number of its heartbeats since that start.
    """

    backend_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    cold_left_s: float = 0.0
    domain: str = ""
    staged: frozenset[str] = frozenset()
    membership: Membership | None = None
    started_ms: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Holds what a server's answer says of requests that may follow it.

    Parameters
    ----------
    is_leaving : bool
        Whether the server's process shuts down and wants no new requests.
    retry_after_s : float
        How long the server wants no request from this entry, 0 without.
    names_limit : bool
        Whether it names a limit, also if that is not a valid number.
    limit_per_s : float or None
        Requests a second that it takes from all entries together.
    """

    is_leaving: bool = False
    retry_after_s: float = 0.0
    names_limit: bool = False
    limit_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Holds what a model engine answers when it is asked for its state.

    Parameters
    ----------
    orders : int
        Number of orders that it has begun since its start; an order may
        name the number that it expects.
    is_busy : bool
        Whether an order is being carried out.
    queued, running : int
        Requests at the engine, as of some hundred ms ago.
    pace : float
        Factor on all its times, over 1 if it is slow now.
    is_leaving : bool
        Whether it shuts down and wants no new requests.
    """

    orders: int
    is_busy: bool
    queued: int
    running: int
    pace: float = 1.0
    staged: frozenset[str] = frozenset()
    membership: Membership | None = None
    started_ms: int = 0
    is_leaving: bool = False


class OrderKind(enum.StrEnum):
    """Names the kinds of orders that a model engine carries out."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Holds an order to one model engine.

    Parameters
    ----------
    members : tuple of str
        Ids of the group's members, the head first; only for joining.
    model : str
        Name of the model; only for joining and staging.
    """

    backend_id: str
    kind: OrderKind
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()


class OrderOutcome(enum.StrEnum):
    """Holds the outcome of an order.

    ``CONFLICT`` means that the engine's state does not allow the order, or
    that it had begun another number of orders than expected; ``FENCED``
    that the fencing number or the group's epoch is out of date; and
    ``UNKNOWN`` that the answer was lost.
    """

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "unfit"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
