"""Decides what follows a failed attempt of a call: the retry policy.

A table gives the action that is allowed after a failure, by the point at
which the attempt failed.  Whether it is taken depends on the retry budget,
the deadline and the number of attempts; circuit breakers decide which
backend servers are tried::

    action = decide(call, point, budget, now_s)

A call that is not idempotent, with an idempotency key or without, is sent
again only if no attempt of it can have run.
"""

import collections
import dataclasses
import enum

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.02
MAX_BACKOFF_S = 1.0
# Retries that a budget holds without any request.
BUDGET_RESERVE = 10.0
BUDGET_WINDOW_S = 60.0


class FailurePoint(enum.StrEnum):
    """Names the point at which an attempt failed.

    ``SENT`` means that the request was sent and nothing of the answer came,
    ``PARTIAL`` that a part of the answer was already passed on.
    """

    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    SENT = "sent"
    PARTIAL = "partial"


class Action(enum.StrEnum):
    """Names what follows a failed attempt."""

    RETRY = "retry"
    RESUME = "resume"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


# Points of failure at which the attempt cannot have run.
NEVER_RUN = frozenset({FailurePoint.NOT_REACHED, FailurePoint.REFUSED})
# Actions by which the call gets a further attempt.
CONTINUING = frozenset({Action.RETRY, Action.RESUME})
# The allowed action, by whether the call is idempotent and by the point of
# failure.
ACTION_TABLE: dict[tuple[bool, FailurePoint], Action] = {
    (True, FailurePoint.NOT_REACHED): Action.RETRY,
    (True, FailurePoint.REFUSED): Action.RETRY,
    (True, FailurePoint.SENT): Action.RETRY,
    (True, FailurePoint.PARTIAL): Action.RESUME,
    (False, FailurePoint.NOT_REACHED): Action.RETRY,
    (False, FailurePoint.REFUSED): Action.RETRY,
    (False, FailurePoint.SENT): Action.UNKNOWN,
    (False, FailurePoint.PARTIAL): Action.UNKNOWN,
}


@dataclasses.dataclass(slots=True)
class CallTries:
    """Holds the failed attempts of one call so far.

    Parameters
    ----------
    is_idempotent : bool
        Whether the call may run more than once.
    deadline_s : float
        When the call has to have its final answer.
    tries : int
        Attempts that have failed.
    runs : int
        Attempts that may have run.
    max_runs : int
        Upper bound of ``runs``.
    has_reserved : bool
        Whether the next retry was taken from the budget already.
    """

    is_idempotent: bool
    deadline_s: float
    tries: int = 0
    runs: int = 0
    max_runs: int = MAX_ATTEMPTS
    has_reserved: bool = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether any of its attempts may have run."""
        return self.runs > 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Limits this entry's retries for a workspace or service: a token bucket.

    Each request adds ``ratio`` of a retry.  The budget is capped in
    proportion to the requests of the last one to two windows, so that a
    busy workspace can move all its requests away from a lost data centre
    once.

    Parameters
    ----------
    available : float
        Retries that may be made now.
    reserve : float
        Retries that the budget may hold without any request.
    window_s : float
        The time over which requests are counted.
    window_began_s : float
        When the present window began.
    requests : int
        Requests in the present window.
    previous_requests : int
        Requests in the window before it.
    refill_per_s : float
        Retries added per second, up to the reserve.
    refilled_s : float
        When retries were last added for the time passed.
    """

    available: float = BUDGET_RESERVE
    reserve: float = BUDGET_RESERVE
    window_s: float = BUDGET_WINDOW_S
    window_began_s: float = 0.0
    requests: int = 0
    previous_requests: int = 0
    refill_per_s: float = 0.0
    refilled_s: float = 0.0


def refill(budget: RetryBudget, now_s: float) -> None:
    """Add the retries for the time since the last refill."""
    passed_s = max(0.0, now_s - budget.refilled_s)
    budget.refilled_s = now_s
    if budget.available < budget.reserve:
        refilled = budget.available + passed_s * budget.refill_per_s
        budget.available = min(budget.reserve, refilled)


def count_request(budget: RetryBudget, ratio: float, now_s: float) -> None:
    """Add the fraction of a retry that one request earns."""
    refill(budget, now_s)
    if now_s - budget.window_began_s >= budget.window_s:
        budget.window_began_s = now_s
        budget.previous_requests = budget.requests
        budget.requests = 0
    budget.requests += 1
    recent = max(budget.requests, budget.previous_requests)
    limit = budget.reserve + ratio * recent
    budget.available = min(limit, budget.available + ratio)


def _take_retry(budget: RetryBudget, now_s: float) -> bool:
    refill(budget, now_s)
    if budget.available < 1.0:
        return False
    budget.available -= 1.0
    return True


def choose_final_action(call: CallTries) -> Action:
    """Return the action for a call that gets no further attempt."""
    return Action.UNKNOWN if call.may_have_run else Action.NOT_RUN


def may_try_again(
    call: CallTries,
    point: FailurePoint,
    now_s: float,
    is_counted: bool = False,
) -> bool:
    """Tell whether a further attempt is allowed, apart from the budget.

    ``is_counted`` tells that the attempt which failed, or is about to be
    repeated, was counted by :func:`count_attempt` before.
    """
    tries = call.tries + (not is_counted)
    runs = call.runs + (not is_counted and point not in NEVER_RUN)
    is_left = tries < MAX_ATTEMPTS and now_s < call.deadline_s
    may_repeat = call.is_idempotent or not call.may_have_run
    may_repeat = may_repeat and runs < call.max_runs
    is_allowed = ACTION_TABLE[call.is_idempotent, point] in CONTINUING
    return is_left and may_repeat and is_allowed


def count_attempt(call: CallTries, point: FailurePoint) -> None:
    """Count an attempt that failed, or beside which another one begins."""
    call.tries += 1
    call.runs += point not in NEVER_RUN


def reserve(
    call: CallTries, point: FailurePoint, budget: RetryBudget, now_s: float
) -> bool:
    """Take the retry that is to follow an attempt which still runs.

    Return whether it is granted.  If not, the attempt is the last chance of
    the call and should go on.
    """
    if not may_try_again(call, point, now_s):
        return False
    call.has_reserved = call.has_reserved or _take_retry(budget, now_s)
    return call.has_reserved


def may_begin_beside(
    call: CallTries, budget: RetryBudget, now_s: float, is_counted: bool
) -> bool:
    """Tell whether a retry may run beside an attempt that still runs."""
    refill(budget, now_s)
    has_retry = call.has_reserved or budget.available >= 1.0
    point = FailurePoint.SENT
    return has_retry and may_try_again(call, point, now_s, is_counted)


def begin_beside(
    call: CallTries, budget: RetryBudget, now_s: float, is_counted: bool
) -> bool:
    """Take the retry that runs beside an attempt, and count that attempt.

    Return whether it is granted.
    """
    point = FailurePoint.SENT
    if not may_begin_beside(call, budget, now_s, is_counted):
        return False
    if not call.has_reserved:
        _take_retry(budget, now_s)
    call.has_reserved = False
    if not is_counted:
        count_attempt(call, point)
    return True


def decide(
    call: CallTries,
    point: FailurePoint,
    budget: RetryBudget,
    now_s: float,
    is_counted: bool = False,
) -> Action:
    """Record a failed attempt and return the action that follows."""
    may_continue = may_try_again(call, point, now_s, is_counted)
    if not is_counted:
        count_attempt(call, point)
    # What reached no server is no load that the budget has to bound.
    is_free = point is FailurePoint.NOT_REACHED
    is_granted = may_continue and (
        is_free or call.has_reserved or _take_retry(budget, now_s)
    )
    call.has_reserved = call.has_reserved and is_free
    if is_granted:
        return ACTION_TABLE[call.is_idempotent, point]
    return choose_final_action(call)


def backoff_s(tries: int, fraction: float) -> float:
    """Return how long to wait before the next attempt, with full jitter.

    Parameters
    ----------
    tries : int
        Failed attempts before the last one.
    fraction : float
        A random number in 0..1.
    """
    longest_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0**tries)
    return longest_s * fraction


class CircuitState(enum.StrEnum):
    """Names the state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitEvent(enum.StrEnum):
    """Names an event that may change the state of a circuit breaker."""

    SUCCESS = "success"
    FAILURE = "failure"
    REPEATED_FAILURES = "failures"
    TIMEOUT = "timeout"


CIRCUIT_TRANSITIONS: dict[tuple[CircuitState, CircuitEvent], CircuitState] = {
    (CircuitState.CLOSED, CircuitEvent.REPEATED_FAILURES): CircuitState.OPEN,
    (CircuitState.OPEN, CircuitEvent.TIMEOUT): CircuitState.HALF_OPEN,
    (CircuitState.HALF_OPEN, CircuitEvent.SUCCESS): CircuitState.CLOSED,
    (CircuitState.HALF_OPEN, CircuitEvent.FAILURE): CircuitState.OPEN,
    (
        CircuitState.HALF_OPEN,
        CircuitEvent.REPEATED_FAILURES,
    ): CircuitState.OPEN,
}
# Failures in a row that open a circuit.
FAILURE_THRESHOLD = 3
# How long a circuit stays open; doubled by each further failure, up to the
# maximum.
OPEN_S = 1.0
MAX_OPEN_S = 8.0


@dataclasses.dataclass(slots=True)
class CircuitBreaker:
    """Holds the circuit breaker of one backend server at this entry."""

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_until_s: float = 0.0


Breakers = collections.defaultdict[str, CircuitBreaker]


def make_breakers() -> Breakers:
    """Return circuit breakers by server, each closed at first."""
    return collections.defaultdict(CircuitBreaker)


def _transition(breaker: CircuitBreaker, event: CircuitEvent) -> None:
    breaker.state = CIRCUIT_TRANSITIONS.get(
        (breaker.state, event), breaker.state
    )


def note_result(
    breaker: CircuitBreaker, is_success: bool, now_s: float
) -> None:
    """Record how an attempt ended.

    A refusal for lack of capacity is not a failure.
    """
    if is_success:
        breaker.failures = 0
        _transition(breaker, CircuitEvent.SUCCESS)
        return
    breaker.failures += 1
    enough = breaker.failures >= FAILURE_THRESHOLD
    _transition(
        breaker,
        CircuitEvent.REPEATED_FAILURES if enough else CircuitEvent.FAILURE,
    )
    if breaker.state is CircuitState.OPEN:
        extra = max(0, breaker.failures - FAILURE_THRESHOLD)
        open_s = min(MAX_OPEN_S, OPEN_S * 2.0 ** min(extra, 8))
        breaker.open_until_s = now_s + open_s


def allows(breaker: CircuitBreaker, in_flight: int, now_s: float) -> bool:
    """Tell whether a new attempt may be sent to the backend server.

    A half-open circuit lets one attempt through at a time.
    """
    if breaker.state is CircuitState.OPEN and now_s >= breaker.open_until_s:
        _transition(breaker, CircuitEvent.TIMEOUT)
    limits = {
        CircuitState.CLOSED: True,
        CircuitState.OPEN: False,
        CircuitState.HALF_OPEN: in_flight == 0,
    }
    return limits[breaker.state]
