"""Orders the calls that wait for servers whose limits are used up.

Calls that the same servers may serve wait in one weighted fair queue, which
has as many places as these servers take requests from this entry in the time
that a call may wait.  One that finds no place is refused at once, or pushes
out a call of a lower priority or of a workspace that waits with more calls::

    turn = join(turns, key, workspace, priority, places=2)
    if may_take(turns, key, turn):
        take(turns, key, turn)
"""

import dataclasses
import typing as t

from sycamorespool import configuration
from sycamorespool.decisions import shares

_PRIORITIES = configuration.PRIORITIES
_WEIGHTS = shares.Weights(1.0, configuration.Workspace().priority_weights)


class QueueKey(t.NamedTuple):
    """Names the servers that may serve a call."""

    service: str
    model: str
    regions: frozenset[str] | None


@dataclasses.dataclass(slots=True, eq=False)
class Turn:
    """Holds a call's place in a queue.

    Parameters
    ----------
    is_shed : bool
        Whether the call is to be refused.
    """

    ticket: shares.Ticket
    is_shed: bool = False


@dataclasses.dataclass(slots=True)
class Turns:
    """Holds the queues of this entry."""

    queues: dict[QueueKey, shares.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[str, Turn] = dataclasses.field(default_factory=dict)
    _count: int = 0


def _make_ticket(
    turns: Turns, workspace: str, priority: int, now_s: float
) -> shares.Ticket:
    turns._count += 1
    name = _PRIORITIES[min(priority, len(_PRIORITIES) - 1)]
    return shares.Ticket(str(turns._count), workspace, name, now_s)


def join(
    turns: Turns,
    key: QueueKey,
    workspace: str,
    priority: int,
    places: int,
    now_s: float,
) -> Turn:
    """Let a call wait; it or another one is shed if there are too many.

    Parameters
    ----------
    priority : int
        Rank of the call, 0 first.
    places : int
        Number of calls that may wait.
    """
    queue = turns.queues.setdefault(key, shares.FairQueue(places))
    queue.max_queued = places
    turn = Turn(_make_ticket(turns, workspace, priority, now_s))
    turns.waiting[turn.ticket.ticket_id] = turn
    shed = shares.offer(queue, turn.ticket, _WEIGHTS)
    if shed is not None:
        turns.waiting.pop(shed.ticket_id).is_shed = True
    return turn


def estimate_turn_s(
    first_s: float, waiting: int, own_per_s: float, fleet_per_s: float
) -> float:
    """Return after which time one more call is likely to be taken.

    An entry without a part of the servers' limits knows only how often all
    entries together may send.

    Parameters
    ----------
    first_s : float
        Time until this entry may send the next request.
    waiting : int
        Calls that wait here.
    own_per_s, fleet_per_s : float
        Requests a second that this entry, and all, may send.
    """
    if own_per_s:
        return first_s + waiting / own_per_s
    return (1 + waiting) / fleet_per_s


def count_waiting(turns: Turns, key: QueueKey) -> int:
    """Return how many calls wait for the same servers."""
    queue = turns.queues.get(key)
    return queue.queued if queue is not None else 0


def may_take(turns: Turns, key: QueueKey, turn: Turn | None) -> bool:
    """Tell whether a call, waiting or not, comes before all that wait."""
    queue = turns.queues.get(key)
    if queue is None or not queue.queued:
        return True
    if turn is None or turn.is_shed:
        return False
    first = shares.take(queue)
    shares.put_back(queue, first)
    return first is turn.ticket


def take(
    turns: Turns,
    key: QueueKey,
    turn: Turn | None,
    workspace: str,
    priority: int,
    now_s: float,
) -> None:
    """Record that a call is sent, which counts for its workspace's share."""
    queue = turns.queues.setdefault(key, shares.FairQueue(0))
    if turn is None:
        queue.max_queued = queue.queued + 1
        ticket = _make_ticket(turns, workspace, priority, now_s)
        shares.offer(queue, ticket, _WEIGHTS)
    shares.take(queue)
    if turn is not None:
        turns.waiting.pop(turn.ticket.ticket_id, None)


def leave(turns: Turns, key: QueueKey, turn: Turn) -> None:
    """Remove a call that waits no longer; nothing if it does not wait."""
    if turns.waiting.pop(turn.ticket.ticket_id, None) is not None:
        shares.remove(turns.queues[key], turn.ticket)
