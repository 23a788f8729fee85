"""Divides memory and connections among the callers of an entry.

What an entry holds of unfinished requests, and of answers that their callers
have not read, has a bound over all connections.  When it is reached, callers
that hold much and make no progress give way to others; while a request runs
at a backend server, its connection is kept::

    found = reserve(memory, holding, 65536, now_s)
    for other in found.ended:
        ...  # close the connections of these callers
    if found.verdict is Verdict.WAIT:
        ...  # try again once one of them is closed

What a connection holds counts until it is closed, as its task may go on for a
moment.
"""

import dataclasses
import enum

# Holdings up to this size may use all of the memory, larger ones only a part
# of it, so that ordinary requests find room beside long ones.
SMALL_BYTES = 64 * 1024
LARGE_FRACTION = 0.75
# Connections that are newer than this are closed last, as their first request
# may only wait for its turn.
FRESH_S = 0.5
# Added to the time without progress, so that size counts among callers that
# have all just made some.
MIN_STALL_S = 0.05


class Phase(enum.Enum):
    """Names what the connection of a caller waits for."""

    IDLE = "next request"
    READING = "rest of the request"
    RUNNING = "answer of a server"
    WRITING = "caller to read"


class Verdict(enum.Enum):
    """Names the answers to a connection that wants to hold more."""

    GRANTED = "granted"
    WAIT = "others are being closed"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """Holds what one connection takes of the memory.

    Parameters
    ----------
    size_bytes : int
        What is held for the connection now.
    opened_s, progressed_s : float
        When it was opened, and when the caller last sent or read something.
    phase : Phase
        What the connection waits for.
    is_answered : bool
        Whether it has had an answer.
    is_ended : bool
        Whether the connection is being closed to make room.
    """

    opened_s: float
    progressed_s: float
    size_bytes: int = 0
    phase: Phase = Phase.IDLE
    is_answered: bool = False
    is_ended: bool = False

    @property
    def may_end(self) -> bool:
        """Tell whether the connection may be closed to make room."""
        return not self.is_ended and self.phase is not Phase.RUNNING

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether its first request may only wait for its turn."""
        return not self.is_answered and now_s - self.opened_s < FRESH_S


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Holds the answer to a connection that wants to hold more.

    Parameters
    ----------
    ended : tuple of Holding
        Connections that have to be closed for it.
    """

    verdict: Verdict
    ended: tuple[Holding, ...] = ()


@dataclasses.dataclass(slots=True)
class ClientMemory:
    """Holds the bounds of an entry and what its connections take of them.

    Parameters
    ----------
    limit_bytes : int
        Most that all connections may hold.
    max_connections : int
        Most connections at the same time.
    used_bytes : int
        What they hold now.
    holdings : set of Holding
        The open connections.
    """

    limit_bytes: int
    max_connections: int
    used_bytes: int = 0
    holdings: set[Holding] = dataclasses.field(default_factory=set)


def add(memory: ClientMemory, now_s: float) -> Holding:
    """Record a new connection."""
    holding = Holding(now_s, now_s)
    memory.holdings.add(holding)
    return holding


def remove(memory: ClientMemory, holding: Holding) -> None:
    """Record that a connection was closed; nothing if it is not known."""
    if holding in memory.holdings:
        memory.holdings.discard(holding)
        memory.used_bytes -= holding.size_bytes


def end_surplus(memory: ClientMemory, now_s: float) -> Holding | None:
    """Return the connection to close if there are too many, else None.

    It is the one whose caller has been without progress for longest.
    """
    kept = sum(not holding.is_ended for holding in memory.holdings)
    if kept <= memory.max_connections:
        return None
    closable = (h for h in memory.holdings if h.may_end)
    surplus = min(
        closable,
        key=lambda h: (h.is_fresh(now_s), h.progressed_s),
        default=None,
    )
    if surplus is not None:
        surplus.is_ended = True
    return surplus


def _limit_of(memory: ClientMemory, size_bytes: int) -> float:
    if size_bytes <= SMALL_BYTES:
        return memory.limit_bytes
    return memory.limit_bytes * LARGE_FRACTION


def _rank(holding: Holding, now_s: float) -> float:
    """Return what a caller holds, times how long it has been stalled."""
    stalled_s = now_s - holding.progressed_s + MIN_STALL_S
    return holding.size_bytes * stalled_s


def reserve(
    memory: ClientMemory, holding: Holding, size_bytes: int, now_s: float
) -> Reservation:
    """Let a connection hold more, if there is or will soon be room for it.

    Only connections that have held more for longer are closed for it.
    """
    grown_bytes = holding.size_bytes + size_bytes
    limit_bytes = _limit_of(memory, grown_bytes)
    excess_bytes = memory.used_bytes + size_bytes - limit_bytes
    if excess_bytes <= 0:
        holding.size_bytes = grown_bytes
        memory.used_bytes += size_bytes
        return Reservation(Verdict.GRANTED)
    others = [h for h in memory.holdings if h is not holding]
    excess_bytes -= sum(h.size_bytes for h in others if h.is_ended)
    own_rank = grown_bytes * MIN_STALL_S
    ranked = sorted(
        (h for h in others if h.may_end and _rank(h, now_s) > own_rank),
        key=lambda h: -_rank(h, now_s),
    )
    ended: list[Holding] = []
    for other in ranked:
        if excess_bytes <= 0:
            break
        ended.append(other)
        excess_bytes -= other.size_bytes
    if excess_bytes > 0:
        return Reservation(Verdict.REFUSED)
    for other in ended:
        other.is_ended = True
    return Reservation(Verdict.WAIT, tuple(ended))


def release(memory: ClientMemory, holding: Holding, size_bytes: int) -> None:
    """Record that a connection holds less."""
    if holding in memory.holdings:
        holding.size_bytes -= size_bytes
        memory.used_bytes -= size_bytes
