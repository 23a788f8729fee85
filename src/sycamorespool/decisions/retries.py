"""What may be done after an attempt failed.

The table says what a cut allows; the budget, the deadline and the circuits
say whether it is done::

    action = decide(call, cut, budget, now_s)

A call that is not idempotent, keyed or not, is sent again only if nothing
of it can have run.
"""

import collections
import dataclasses
import enum

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.02
MAX_BACKOFF_S = 1.0
BUDGET_RESERVE = 10.0
BUDGET_WINDOW_S = 60.0


class Cut(enum.StrEnum):
    """Where an attempt was cut."""

    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    SENT = "sent"
    PARTIAL = "partial"


class Action(enum.StrEnum):
    """What follows."""

    RETRY = "retry"
    RESUME = "resume"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


# A cut after which nothing of the attempt can have run.
HARMLESS = frozenset({Cut.NOT_REACHED, Cut.REFUSED})
GOING_ON = frozenset({Action.RETRY, Action.RESUME})
ALLOWED: dict[tuple[bool, Cut], Action] = {
    (True, Cut.NOT_REACHED): Action.RETRY,
    (True, Cut.REFUSED): Action.RETRY,
    (True, Cut.SENT): Action.RETRY,
    (True, Cut.PARTIAL): Action.RESUME,
    (False, Cut.NOT_REACHED): Action.RETRY,
    (False, Cut.REFUSED): Action.RETRY,
    (False, Cut.SENT): Action.UNKNOWN,
    (False, Cut.PARTIAL): Action.UNKNOWN,
}


@dataclasses.dataclass(slots=True)
class CallTries:
    """The tries of one call so far.

    Parameters
    ----------
    deadline_s : float
        When the call has to have its final answer.
    runs : int
        Tries that may have run.
    max_runs : int
        How many of its tries may run at most.
    """

    is_idempotent: bool
    deadline_s: float
    tries: int = 0
    runs: int = 0
    max_runs: int = MAX_ATTEMPTS

    @property
    def may_have_run(self) -> bool:
        """Whether any of its tries may have run."""
        return self.runs > 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Retries that a workspace may still make at this entry.

    Each request adds ``ratio`` of a retry.  What is saved is bounded by
    the requests of the last one to two windows, so that a busy workspace
    can move all it had in a lost data centre, once.

    Parameters
    ----------
    saved : float
        Retries that may be made now.
    reserve : float
        Retries that may be saved without any request.
    window_s : float
        The time over which requests are counted.
    refill_per_s : float
        Retries that are saved by time alone, up to the reserve.
    refilled_s : float
        When that was last done.
    """

    saved: float = BUDGET_RESERVE
    reserve: float = BUDGET_RESERVE
    window_s: float = BUDGET_WINDOW_S
    window_began_s: float = 0.0
    requests: int = 0
    previous_requests: int = 0
    refill_per_s: float = 0.0
    refilled_s: float = 0.0


def refill(budget: RetryBudget, now_s: float) -> None:
    """Add the retries that the time since the last refill brings."""
    passed_s = max(0.0, now_s - budget.refilled_s)
    budget.refilled_s = now_s
    if budget.saved < budget.reserve:
        refilled = budget.saved + passed_s * budget.refill_per_s
        budget.saved = min(budget.reserve, refilled)


def count_request(budget: RetryBudget, ratio: float, now_s: float) -> None:
    """Add the part of a retry that one request brings."""
    refill(budget, now_s)
    if now_s - budget.window_began_s >= budget.window_s:
        budget.window_began_s = now_s
        budget.previous_requests = budget.requests
        budget.requests = 0
    budget.requests += 1
    recent = max(budget.requests, budget.previous_requests)
    limit = budget.reserve + ratio * recent
    budget.saved = min(limit, budget.saved + ratio)


def _take_retry(budget: RetryBudget, now_s: float) -> bool:
    refill(budget, now_s)
    if budget.saved < 1.0:
        return False
    budget.saved -= 1.0
    return True


def choose_final_action(call: CallTries) -> Action:
    """Return the true final answer of a call that gets no further try."""
    return Action.UNKNOWN if call.may_have_run else Action.NOT_RUN


def can_go_on(call: CallTries, cut: Cut, now_s: float) -> bool:
    """Tell whether a further try is allowed, budget aside."""
    is_left = call.tries + 1 < MAX_ATTEMPTS and now_s < call.deadline_s
    runs = call.runs + (cut not in HARMLESS)
    may_repeat = call.is_idempotent or not call.may_have_run
    may_repeat = may_repeat and runs < call.max_runs
    is_allowed = ALLOWED[call.is_idempotent, cut] in GOING_ON
    return is_left and may_repeat and is_allowed


def decide(
    call: CallTries, cut: Cut, budget: RetryBudget, now_s: float
) -> Action:
    """Note a cut and return what follows."""
    goes_on = can_go_on(call, cut, now_s)
    call.tries += 1
    call.runs += cut not in HARMLESS
    if goes_on and _take_retry(budget, now_s):
        return ALLOWED[call.is_idempotent, cut]
    return choose_final_action(call)


def backoff_s(tries: int, fraction: float) -> float:
    """Return how long to wait before the next try, with full jitter.

    Parameters
    ----------
    fraction : float
        A random number in 0..1.
    """
    longest_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0**tries)
    return longest_s * fraction


class CircuitState(enum.StrEnum):
    """Whether a backend server is tried."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitEvent(enum.StrEnum):
    """What bears on a circuit."""

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
FAILURE_THRESHOLD = 3
OPEN_S = 1.0
MAX_OPEN_S = 8.0


@dataclasses.dataclass(slots=True)
class CircuitBreaker:
    """The circuit of one backend server at this entry."""

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_until_s: float = 0.0


Breakers = collections.defaultdict[str, CircuitBreaker]


def make_breakers() -> Breakers:
    """Return closed circuits for all backend servers."""
    return collections.defaultdict(CircuitBreaker)


def _transition(breaker: CircuitBreaker, sign: CircuitEvent) -> None:
    breaker.state = CIRCUIT_TRANSITIONS.get(
        (breaker.state, sign), breaker.state
    )


def note_result(
    breaker: CircuitBreaker, is_success: bool, now_s: float
) -> None:
    """Note how an attempt ended; a refusal for want of room is none."""
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
    """Tell whether a new attempt may go to the backend server.

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
