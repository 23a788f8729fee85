"""Backend servers as they say of themselves: registry entries and reports."""

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """Where a member of a group is."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The group that a backend server says it belongs to.

    Parameters
    ----------
    rank : int
        Position among the members, 0 for the head.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A registry entry.

    Parameters
    ----------
    domain : str
        Fabric domain, empty for a plain server.
    cold_left_s : float
        How long it bears little, from when the entry was written.
    staged : frozenset of str
        Models whose weights lie on its host.
    born_ms : int
        Its start, Unix milliseconds.
    sequence : int
        A count within this life of the server; it grows with each
        heartbeat.
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
    born_ms: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a model engine answers when it is asked for its state.

    Parameters
    ----------
    orders : int
        Orders that it has begun in this life; an order may name the count
        that it expects.
    is_busy : bool
        Whether an order is being carried out.
    queued, running : int
        Requests at the engine, some hundred ms ago.
    pace : float
        Factor on its times, over 1 if it is slow now.
    """

    orders: int
    is_busy: bool
    queued: int
    running: int
    pace: float = 1.0
    staged: frozenset[str] = frozenset()
    membership: Membership | None = None
    born_ms: int = 0


class OrderKind(enum.StrEnum):
    """What a model engine can be ordered to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one model engine.

    Parameters
    ----------
    members : tuple of str
        Ids of a group's members, the head first; for a join.
    model : str
        For a join and for staging.
    """

    backend_id: str
    kind: OrderKind
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    BEGUN = "begun"
    DONE = "done"
    UNFIT = "unfit"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
