"""Fair queueing of the requests that wait for a place at a service.

Two levels of start-time fair queueing: workspaces by weight, and within a
workspace its priorities by weight.  A class that uses less than its share
waits for one place at most, whatever the others queue; what it leaves is
lent to them, request by request, so it is taken back at once::

    queue = FairQueue(max_queued=1000)
    shed = offer(queue, ticket, weights)     # who gets a refusal now
    ticket = take(queue)                     # who gets the free place
"""

import collections
import dataclasses
import math
import typing as t

from sycamorespool import configuration

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0
CLAIM_GROWTH = 1.1
CLAIM_SLACK = 1e-6
RANKS = {name: n for n, name in enumerate(configuration.PRIORITIES)}


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """One request that waits."""

    ticket_id: str
    workspace: str
    priority: str
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weight of a workspace at this entry, and of its priorities."""

    workspace: float
    priorities: dict[str, float]


@dataclasses.dataclass(slots=True)
class _Class:
    weight: float
    tag: float = 0.0
    tickets: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class _Workspace:
    weight: float
    tag: float = 0.0
    virtual: float = 0.0
    queued: int = 0
    classes: dict[str, _Class] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class FairQueue:
    """The queue of one service at one entry.

    Parameters
    ----------
    max_queued : int
        Requests that may wait.
    virtual : float
        Virtual time: start tag of the request taken last.
    """

    max_queued: int
    virtual: float = 0.0
    queued: int = 0
    workspaces: dict[str, _Workspace] = dataclasses.field(default_factory=dict)


def _open_class(
    queue: FairQueue, ticket: Ticket, weights: Weights
) -> tuple[_Workspace, _Class]:
    workspace = queue.workspaces.setdefault(
        ticket.workspace, _Workspace(weights.workspace)
    )
    workspace.weight = weights.workspace
    weight = weights.priorities.get(ticket.priority, 1.0)
    priority = workspace.classes.setdefault(ticket.priority, _Class(weight))
    priority.weight = weight
    return workspace, priority


def offer(queue: FairQueue, ticket: Ticket, weights: Weights) -> Ticket | None:
    """Queue a ticket; return the ticket that must be refused, if any."""
    workspace, priority = _open_class(queue, ticket, weights)
    if not workspace.queued:
        workspace.tag = max(workspace.tag, queue.virtual)
    if not priority.tickets:
        priority.tag = max(priority.tag, workspace.virtual)
    priority.tickets.append(ticket)
    workspace.queued += 1
    queue.queued += 1
    if queue.queued <= queue.max_queued:
        return None
    return _shed(queue)


def _shed(queue: FairQueue) -> Ticket:
    # Lowest priority first; among equals the workspace that queues most for
    # its weight, and there the newest, which has waited least.
    candidates = [
        (RANKS[name], len(cls.tickets) / workspace.weight, workspace, cls)
        for workspace in queue.workspaces.values()
        for name, cls in workspace.classes.items()
        if cls.tickets
    ]
    *_, workspace, cls = max(candidates, key=lambda row: row[:2])
    ticket = cls.tickets.pop()
    workspace.queued -= 1
    queue.queued -= 1
    return ticket


def take(queue: FairQueue, cost: float = 1.0) -> Ticket | None:
    """Take the ticket whose turn it is, or None if nobody waits."""
    waiting = [w for w in queue.workspaces.values() if w.queued]
    if not waiting:
        return None
    workspace = min(waiting, key=lambda w: w.tag)
    classes = [c for c in workspace.classes.values() if c.tickets]
    chosen = min(classes, key=lambda c: c.tag)
    queue.virtual = max(queue.virtual, workspace.tag)
    workspace.virtual = max(workspace.virtual, chosen.tag)
    workspace.tag += cost / workspace.weight
    chosen.tag += cost / chosen.weight
    workspace.queued -= 1
    queue.queued -= 1
    return chosen.tickets.popleft()


def remove(queue: FairQueue, ticket: Ticket) -> bool:
    """Remove a ticket whose caller is gone or was refused."""
    workspace = queue.workspaces.get(ticket.workspace)
    cls = workspace.classes.get(ticket.priority) if workspace else None
    if workspace is None or cls is None or ticket not in cls.tickets:
        return False
    cls.tickets.remove(ticket)
    workspace.queued -= 1
    queue.queued -= 1
    return True


def put_back(queue: FairQueue, ticket: Ticket, cost: float = 1.0) -> None:
    """Undo :func:`take` for a ticket that fits no free place."""
    workspace = queue.workspaces[ticket.workspace]
    cls = workspace.classes[ticket.priority]
    workspace.tag -= cost / workspace.weight
    cls.tag -= cost / cls.weight
    cls.tickets.appendleft(ticket)
    workspace.queued += 1
    queue.queued += 1


def find_share(queue: FairQueue, ticket: Ticket) -> float:
    """Return the part of the service that a waiting ticket's class gets."""
    own = queue.workspaces[ticket.workspace]
    cls = own.classes[ticket.priority]
    waiting = sum(w.weight for w in queue.workspaces.values() if w.queued)
    classes = sum(c.weight for c in own.classes.values() if c.tickets)
    return own.weight / waiting * cls.weight / classes


def count_ahead(queue: FairQueue, ticket: Ticket) -> int:
    """Return how many tickets of its class wait, itself included."""
    workspace = queue.workspaces[ticket.workspace]
    return len(workspace.classes[ticket.priority].tickets)


def estimate_wait_s(
    ahead: float, rate_per_s: float, ramp_per_s2: float = 0.0
) -> float:
    """Return when ``ahead`` requests will have been served.

    Parameters
    ----------
    rate_per_s : float
        Requests served a second now.
    ramp_per_s2 : float
        Growth of that rate while replicas warm up.
    """
    if ahead <= 0:
        return 0.0
    if ramp_per_s2 <= 0:
        return ahead / rate_per_s if rate_per_s > 0 else math.inf
    root = math.sqrt(rate_per_s**2 + 2 * ramp_per_s2 * ahead)
    return (root - rate_per_s) / ramp_per_s2


def retry_after_s(wait_s: float, fraction: float) -> float:
    """Return the Retry-After of a refusal.

    Parameters
    ----------
    fraction : float
        A random number in 0..1; it spreads the callers by a quarter.
    """
    spread_s = wait_s * (1.0 + 0.25 * fraction)
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, spread_s))


def fill(
    capacity: float, weights: dict[str, float], demands: dict[str, float]
) -> dict[str, float]:
    """Divide a capacity by weight; what one cannot use goes to the others.

    Example
    -------
    >>> fill(10, {"a": 1, "b": 1}, {"a": 2, "b": 20})
    {'a': 2, 'b': 8.0}
    """
    result = dict.fromkeys(demands, 0.0)
    left = capacity
    hungry = {name for name, demand in demands.items() if demand > 0}
    while hungry and left > 1e-9:
        unit = left / sum(weights[name] for name in hungry)
        sated = {n for n in hungry if demands[n] <= unit * weights[n]}
        for name in sated or hungry:
            result[name] = min(demands[name], unit * weights[name])
            left -= result[name]
        hungry = hungry - sated if sated else set()
    return result


class Usage(t.NamedTuple):
    """What one entry has of one service, as it tells the others.

    Parameters
    ----------
    demands : dict
        Places in use and wanted, by workspace.
    places : float
        Places that its grants give it.
    """

    demands: dict[str, float]
    places: float


def correct_weights(
    own: Usage, others: t.Iterable[Usage], weights: dict[str, float]
) -> tuple[dict[str, float], float]:
    """Return the weights of the workspaces at one entry, and its claim.

    A workspace's due of the fleet's capacity goes to the entries in
    proportion to its demand there.  If grants follow the claims, each
    workspace gets its due however its callers are spread.

    Returns
    -------
    dict
        Weight by workspace, in places of this entry.
    float
        Their sum: the places that this entry should have.
    """
    fleet: collections.Counter[str] = collections.Counter()
    capacity = own.places
    fleet.update(own.demands)
    for usage in others:
        fleet.update(usage.demands)
        capacity += usage.places
    demands = {name: fleet[name] for name in weights}
    due = fill(capacity, weights, demands)
    local = {
        name: due[name] * demand / fleet[name]
        for name, demand in own.demands.items()
        if demand > 0 and due.get(name, 0.0) > 0
    }
    return local, sum(local.values())


def count_asked(claim: float, is_growing: bool) -> int:
    """Return the places to ask for, given a claim.

    Claims add up to the places that the fleet has, so an entry now and
    then asks for a tenth more: that finds places which nobody uses.  More
    often it would distort the shares, since an owner that cannot give all
    that is asked cuts the largest asks.
    """
    factor = CLAIM_GROWTH if is_growing else 1.0
    return max(1, math.ceil(claim * factor - CLAIM_SLACK))


def report_period_s(
    entries: int, report_bytes: int, budget_bytes_per_s: float
) -> float:
    """Return how often usage is told, so that control stays in its bound."""
    return max(1.0, entries * report_bytes / budget_bytes_per_s)
