"""Fair queueing of the requests that wait for a place at a service.

This is start-time fair queueing on two levels: workspaces by weight, and
within a workspace its priorities by weight.  The requests of one workspace
and one priority form a class.  A class that uses less than its share waits
for one place at most, however much the others queue.  The others may use
the part of its share that it leaves idle, one request at a time, so it
gets that part back at once::

    queue = FairQueue(max_queued=1000)
    shed = offer(queue, ticket, weights)     # the ticket to refuse, if any
    ticket = take(queue)                     # the ticket to serve next
"""

import collections
import dataclasses
import math
import typing as t

from sycamorespool import configuration

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0
# See count_places_to_ask.
CLAIM_GROWTH_FACTOR = 1.1
# Keeps floating-point errors from rounding a claim up to one more place.
CLAIM_ROUNDING_SLACK = 1e-6
# The most important priority has rank 0.
PRIORITY_RANKS = {name: n for n, name in enumerate(configuration.PRIORITIES)}


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Describe one waiting request."""

    ticket_id: str
    workspace: str
    priority: str
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Hold the weight of a workspace at this entry and of its priorities."""

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
    virtual_time: float = 0.0
    queued: int = 0
    classes: dict[str, _Class] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class FairQueue:
    """Hold the waiting requests of one service at one entry.

    Parameters
    ----------
    max_queued : int
        Number of requests that may wait.
    virtual_time : float
        Start tag of the request that was taken last.
    queued : int
        Number of requests that wait.
    workspaces : dict
        Queues by workspace.
    """

    max_queued: int
    virtual_time: float = 0.0
    queued: int = 0
    workspaces: dict[str, _Workspace] = dataclasses.field(default_factory=dict)


def _ensure_class(
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
    workspace, priority = _ensure_class(queue, ticket, weights)
    if not workspace.queued:
        workspace.tag = max(workspace.tag, queue.virtual_time)
    if not priority.tickets:
        priority.tag = max(priority.tag, workspace.virtual_time)
    priority.tickets.append(ticket)
    workspace.queued += 1
    queue.queued += 1
    if queue.queued <= queue.max_queued:
        return None
    return _shed(queue)


def _shed(queue: FairQueue) -> Ticket:
    # The lowest priority is shed first.  Among classes of that priority it
    # is the one with the longest queue for its workspace's weight, and of
    # that the newest ticket, which has waited least.
    candidates = [
        (
            PRIORITY_RANKS[name],
            len(cls.tickets) / workspace.weight,
            workspace,
            cls,
        )
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
    """Remove and return the next ticket to serve, or None if none waits."""
    waiting = [w for w in queue.workspaces.values() if w.queued]
    if not waiting:
        return None
    workspace = min(waiting, key=lambda w: w.tag)
    classes = [c for c in workspace.classes.values() if c.tickets]
    chosen = min(classes, key=lambda c: c.tag)
    queue.virtual_time = max(queue.virtual_time, workspace.tag)
    workspace.virtual_time = max(workspace.virtual_time, chosen.tag)
    workspace.tag += cost / workspace.weight
    chosen.tag += cost / chosen.weight
    workspace.queued -= 1
    queue.queued -= 1
    return chosen.tickets.popleft()


def remove(queue: FairQueue, ticket: Ticket) -> bool:
    """Remove a ticket whose caller has left or was refused.

    Return False if the ticket is not in the queue.
    """
    workspace = queue.workspaces.get(ticket.workspace)
    cls = workspace.classes.get(ticket.priority) if workspace else None
    if workspace is None or cls is None or ticket not in cls.tickets:
        return False
    cls.tickets.remove(ticket)
    workspace.queued -= 1
    queue.queued -= 1
    return True


def put_back(queue: FairQueue, ticket: Ticket, cost: float = 1.0) -> None:
    """Undo :func:`take` for a ticket that cannot use any free place."""
    workspace = queue.workspaces[ticket.workspace]
    cls = workspace.classes[ticket.priority]
    workspace.tag -= cost / workspace.weight
    cls.tag -= cost / cls.weight
    cls.tickets.appendleft(ticket)
    workspace.queued += 1
    queue.queued += 1


def find_share(queue: FairQueue, ticket: Ticket) -> float:
    """Return the fraction of the service that a ticket's class gets now."""
    own = queue.workspaces[ticket.workspace]
    cls = own.classes[ticket.priority]
    waiting = sum(w.weight for w in queue.workspaces.values() if w.queued)
    classes = sum(c.weight for c in own.classes.values() if c.tickets)
    return own.weight / waiting * cls.weight / classes


def count_waiting_in_class(queue: FairQueue, ticket: Ticket) -> int:
    """Return how many tickets wait in a ticket's class, itself included."""
    workspace = queue.workspaces[ticket.workspace]
    return len(workspace.classes[ticket.priority].tickets)


def estimate_wait_s(
    ahead: float, rate_per_s: float, ramp_per_s2: float = 0.0
) -> float:
    """Return the time until ``ahead`` requests have been served, in s.

    Parameters
    ----------
    ahead : float
        Requests to serve.
    rate_per_s : float
        Requests served per second at present.
    ramp_per_s2 : float
        Growth of that rate per second while replicas warm up.
    """
    if ahead <= 0:
        return 0.0
    if ramp_per_s2 <= 0:
        return ahead / rate_per_s if rate_per_s > 0 else math.inf
    root = math.sqrt(rate_per_s**2 + 2 * ramp_per_s2 * ahead)
    return (root - rate_per_s) / ramp_per_s2


def retry_after_s(wait_s: float, fraction: float) -> float:
    """Return the Retry-After of a refusal, in s.

    Parameters
    ----------
    wait_s : float
        Estimated wait of the refused request.
    fraction : float
        A random number in 0..1, which extends the wait by up to a quarter
        so that the callers do not all retry at once.
    """
    spread_s = wait_s * (1.0 + 0.25 * fraction)
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, spread_s))


def divide_by_weight(
    capacity: float, weights: dict[str, float], demands: dict[str, float]
) -> dict[str, float]:
    """Divide a capacity by weight, each share limited to its demand.

    What one demand leaves unused goes to the others.

    Example
    -------
    >>> divide_by_weight(10, {"a": 1, "b": 1}, {"a": 2, "b": 20})
    {'a': 2, 'b': 8.0}
    """
    result = dict.fromkeys(demands, 0.0)
    left = capacity
    unsatisfied = {name for name, demand in demands.items() if demand > 0}
    while unsatisfied and left > 1e-9:
        unit = left / sum(weights[name] for name in unsatisfied)
        satisfied = {n for n in unsatisfied if demands[n] <= unit * weights[n]}
        for name in satisfied or unsatisfied:
            result[name] = min(demands[name], unit * weights[name])
            left -= result[name]
        unsatisfied = unsatisfied - satisfied if satisfied else set()
    return result


class Usage(t.NamedTuple):
    """Hold one entry's usage of one service, as it reports to the others.

    Parameters
    ----------
    demands : dict
        Places in use and wanted, by workspace.
    places : float
        Places that the entry has by its grants.
    """

    demands: dict[str, float]
    places: float


def compute_local_weights(
    own: Usage, others: t.Iterable[Usage], weights: dict[str, float]
) -> tuple[dict[str, float], float]:
    """Return the weights of the workspaces at one entry, and its claim.

    A workspace's fair share of the fleet's capacity is divided among the
    entries in proportion to its demand at each.  If the grants follow the
    claims, each workspace gets its fair share however its callers are
    distributed over the entries.

    Parameters
    ----------
    own : Usage
        The usage of this entry.
    others : iterable of Usage
        The usage that the other entries reported.
    weights : dict
        Weight of each workspace in the whole fleet.

    Returns
    -------
    dict
        Weight by workspace, in places of this entry.
    float
        The claim: the sum of the weights, which is the number of places
        that this entry should have.
    """
    fleet: collections.Counter[str] = collections.Counter()
    capacity = own.places
    fleet.update(own.demands)
    for usage in others:
        fleet.update(usage.demands)
        capacity += usage.places
    demands = {name: fleet[name] for name in weights}
    due = divide_by_weight(capacity, weights, demands)
    local = {
        name: due[name] * demand / fleet[name]
        for name, demand in own.demands.items()
        if demand > 0 and due.get(name, 0.0) > 0
    }
    return local, sum(local.values())


def count_places_to_ask(claim: float, is_growing: bool) -> int:
    """Return the number of places to ask for, given a claim.

    The claims of all entries add up to the places that the fleet has, so
    an entry occasionally asks for a tenth more to find places that nobody
    uses.  Doing so more often would distort the shares, since an owner
    that cannot grant everything asked for cuts the largest asks.
    """
    factor = CLAIM_GROWTH_FACTOR if is_growing else 1.0
    return max(1, math.ceil(claim * factor - CLAIM_ROUNDING_SLACK))


def report_period_s(
    entries: int, report_bytes: int, budget_bytes_per_s: float
) -> float:
    """Return the time between two usage reports, in s.

    It grows with the number of entries, so that the traffic of the reports
    stays within ``budget_bytes_per_s``.
    """
    return max(1.0, entries * report_bytes / budget_bytes_per_s)
