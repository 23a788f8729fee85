"""Runs one call at backend servers, with retries, on a hosted platform.

A call is a request that was matched to its route and workspace.  It is sent
to a backend server, whose answer is relayed to the caller.  What follows a
failed attempt is decided by the table of
:mod:`sycamorespool.decisions.retries`, as it is in
:mod:`sycamorespool.dispatch`.
"""

import dataclasses
import math

import trio

from sycamorespool.backend_servers import streaming_client
from sycamorespool import backends
from sycamorespool import calls
from sycamorespool.decisions import placement
from sycamorespool.decisions import retries
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.platform import headers
from sycamorespool import relay

# When a caller whose request no server accepted may try again.
NO_SERVER_RETRY_AFTER_S = 1.0
# With less time than this until its deadline, a call makes no attempt.
MIN_TIME_LEFT_S = 0.02
# A repeatable request is cancelled and sent to another server after a silence
# of ``SILENCE_PER_OBJECTIVE`` times the route's objective, but not before
# these times, for streams and for other answers.
MIN_STREAM_SILENCE_S = 1.0
MIN_ANSWER_SILENCE_S = 0.3
SILENCE_PER_OBJECTIVE = 2.0
# How long no request goes to a server that refused one, that said it is not
# the expected server (status 421), or that could not be reached.
REFUSED_BLOCK_S = 0.15
MISDIRECTED_BLOCK_S = 2.0
UNREACHED_BLOCK_S = 1.0
# Fraction of ``bounds.retry_ratio`` that an entry spends, as the limit holds
# for the whole fleet and is counted in windows.
RETRY_RATIO_FRACTION = 0.5
# A call without a usable server waits for one at most this long, and at most
# this fraction of the time until its deadline.
MAX_SERVER_WAIT_S = 0.6
SERVER_WAIT_FRACTION = 0.1
SERVER_WAIT_PERIOD_S = 0.05

log = logs.make_logger("requests")


@dataclasses.dataclass(slots=True)
class _Tries:
    """The attempts of one call, and the servers not to be tried again."""

    state: retries.CallTries
    budget: retries.RetryBudget
    excluded: frozenset[str] = frozenset()


def _begin_tries(
    context: entry_context.EntryContext, call: calls.Call
) -> _Tries:
    budget = context.retry_budget_of(call.service)
    ratio = context.settings.bounds.retry_ratio * RETRY_RATIO_FRACTION
    retries.count_request(budget, ratio, call.arrived_s)
    state = retries.CallTries(
        call.route.is_repeatable,
        call.end_s,
        max_runs=max(1, call.route.max_runs),
    )
    return _Tries(state, budget)


def _find_silence_s(call: calls.Call, tries: _Tries) -> float:
    """Return how long a server may be silent before the attempt is given up.

    The time is infinite if no further attempt may follow, because of the
    route, the limit of runs or the retry budget.
    """
    is_last = tries.state.runs + 1 >= tries.state.max_runs
    if is_last or not call.route.is_repeatable or tries.budget.available < 1.0:
        return math.inf
    least_s = MIN_STREAM_SILENCE_S if call.is_stream else MIN_ANSWER_SILENCE_S
    return max(least_s, SILENCE_PER_OBJECTIVE * call.route.objective_s)


def _make_outgoing(
    call: calls.Call, backend: backends.Backend, caller_answer: relay.Relay
) -> streaming_client.OutgoingRequest:
    request = call.request
    last_event = request.resume_after
    if caller_answer.events.count:
        last_event = str(caller_answer.events.last_id)
    return streaming_client.OutgoingRequest(
        backend.address,
        request.method,
        request.target,
        headers.encode_request(
            request,
            backend.backend_id,
            call.workspace.name if call.workspace else "",
            call.priority if request.model else None,
            call.end_s - trio.current_time(),
            last_event,
        ),
        request.body,
        request.attempt_id,
        may_reuse=call.route.is_repeatable,
        dialect=entry_context.DIALECT,
    )


class _ObservedAnswer:
    """A backend server's answer that records when its bytes arrive."""

    def __init__(
        self,
        answer: streaming_client.BackendAnswer,
        activity: placement.BackendActivity,
    ) -> None:
        self._answer = answer
        self._activity = activity
        self.first_s = 0.0
        self.status = answer.status
        self.headers = answer.headers

    async def read(self) -> bytes:
        """Return the next bytes of the body, none at the end."""
        data = await self._answer.read()
        now_s = trio.current_time()
        self.first_s = self.first_s or now_s
        placement.note_bytes(self._activity, now_s)
        return data

    async def finish(self) -> None:
        """Read the rest of the answer, if it ends soon."""
        await self._answer.finish()


async def _relay(
    call: calls.Call,
    answer: _ObservedAnswer,
    caller_answer: relay.Relay,
    tries: _Tries,
) -> None:
    is_failure = answer.status >= 500
    if is_failure and _may_repeat(call, tries):
        raise exceptions.BackendCut(f"the server answered {answer.status}")
    if call.is_stream and answer.status < 300:
        await caller_answer.copy_events(answer)
    elif caller_answer.is_started:
        raise exceptions.BackendCut(
            f"the stream was not resumed: status {answer.status}"
        )
    else:
        await caller_answer.copy_whole(answer, is_json=False)


def _may_repeat(call: calls.Call, tries: _Tries) -> bool:
    return (
        call.route.is_repeatable
        and tries.state.runs + 1 < tries.state.max_runs
        and tries.budget.available >= 1.0
    )


async def _attempt(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    caller_answer: relay.Relay,
    tries: _Tries,
) -> exceptions.BackendError | None:
    """Make one attempt; return why it failed, None if it succeeded."""
    activity = context.placement_state.activities[backend.backend_id]
    sent_s = trio.current_time()
    context.note_sent(backend, sent_s)
    silence_s = _find_silence_s(call, tries)
    scope = trio.CancelScope()
    if silence_s < math.inf:
        activity.movable.add(scope)
    try:
        with scope:
            async with streaming_client.open_request(
                context.backend_connections,
                _make_outgoing(call, backend, caller_answer),
                silence_s,
                call.end_s,
            ) as answer:
                watched = _ObservedAnswer(answer, activity)
                await _relay(call, watched, caller_answer, tries)
                if watched.first_s:
                    first_s = watched.first_s - sent_s
                    context.placement_state.note_ttfb(backend, first_s)
    except exceptions.BackendError as error:
        return error
    finally:
        activity.movable.discard(scope)
        placement.end(activity)
    if scope.cancelled_caught:
        return exceptions.BackendCut("the server stalled")
    return None


def _note_failure(
    context: entry_context.EntryContext,
    backend: backends.Backend,
    error: exceptions.BackendError,
    now_s: float,
) -> None:
    backend_id = backend.backend_id
    blocked = context.placement_state.blocked_until_s
    if isinstance(error, exceptions.BackendRefused):
        is_misdirected = error.status == headers.MISDIRECTED
        block_s = MISDIRECTED_BLOCK_S if is_misdirected else REFUSED_BLOCK_S
        blocked[backend_id] = now_s + block_s
        return
    if isinstance(error, exceptions.BackendNotReached):
        blocked[backend_id] = now_s + UNREACHED_BLOCK_S
    retries.note_result(context.breakers[backend_id], False, now_s)


def _classify_failure(
    error: exceptions.BackendError, caller_answer: relay.Relay
) -> retries.FailurePoint:
    if isinstance(error, exceptions.BackendNotReached):
        return retries.FailurePoint.NOT_REACHED
    if isinstance(error, exceptions.BackendRefused):
        return retries.FailurePoint.REFUSED
    return (
        retries.FailurePoint.PARTIAL
        if caller_answer.is_started
        else retries.FailurePoint.SENT
    )


def _final_error(
    call: calls.Call, tries: _Tries, now_s: float
) -> exceptions.RequestError:
    if not tries.state.may_have_run:
        return exceptions.NotRun(
            "no_server",
            "no backend server accepted the request",
            retry_after_s=NO_SERVER_RETRY_AFTER_S,
        )
    if now_s >= call.end_s - MIN_TIME_LEFT_S:
        return exceptions.OutcomeUnknown(
            "timeout", "no complete answer arrived before the deadline", 504
        )
    return exceptions.OutcomeUnknown(
        "answer_lost", "the backend server's answer was lost"
    )


def _find_wait_end_s(call: calls.Call) -> float:
    """Return until when a call may wait for a server that accepts it.

    A group that lost a member is formed again within about a second, while
    a caller that is refused may try again only once or twice.
    """
    wait_s = min(
        MAX_SERVER_WAIT_S, SERVER_WAIT_FRACTION * (call.end_s - call.arrived_s)
    )
    return call.arrived_s + wait_s


async def run_call(
    context: entry_context.EntryContext,
    call: calls.Call,
    caller_answer: relay.Relay,
) -> None:
    """Run a call at a backend server and relay the answer to the caller.

    Raises
    ------
    NotRun
        If no backend server ran it.
    OutcomeUnknown
        If a server may have run it, or ``caller_answer`` has begun and the
        rest of it cannot be obtained.
    CallerStalled
        If the caller did not read its answer.
    """
    tries = _begin_tries(context, call)
    wait_until_s = _find_wait_end_s(call)
    while True:
        now_s = trio.current_time()
        if now_s >= call.end_s - MIN_TIME_LEFT_S:
            raise _final_error(call, tries, now_s)
        placement_request = call.make_placement_request(tries.excluded)
        backend = placement.choose(
            context.placement_state,
            placement_request,
            now_s,
            context.random.random(),
            lambda found: context.may_send_to(found, trio.current_time()),
        )
        if backend is None and now_s < wait_until_s:
            await trio.sleep(SERVER_WAIT_PERIOD_S)
            continue
        if backend is None:
            log.warning(
                "no usable backend server",
                request_id=call.request.attempt_id,
                service=call.service,
                name=call.request.model,
                version=call.version,
                count=tries.state.tries,
            )
            raise _final_error(call, tries, now_s)
        error = await _attempt(context, call, backend, caller_answer, tries)
        if error is None:
            _note_success(context, call, backend, caller_answer)
            return
        _handle_failure(context, call, backend, caller_answer, tries, error)


def _note_success(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    caller_answer: relay.Relay,
) -> None:
    is_good = caller_answer.status < 500
    if is_good:
        context.breakers.pop(backend.backend_id, None)
    else:
        now_s = trio.current_time()
        breaker = context.breakers[backend.backend_id]
        retries.note_result(breaker, False, now_s)
    log.info(
        "answered",
        request_id=call.request.attempt_id,
        vm=backend.backend_id,
        status=caller_answer.status,
        version=call.version,
        age_s=trio.current_time() - call.arrived_s,
    )


def _handle_failure(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    caller_answer: relay.Relay,
    tries: _Tries,
    error: exceptions.BackendError,
) -> None:
    """Record a failed attempt; raise the final error if it was the last."""
    now_s = trio.current_time()
    failure_point = _classify_failure(error, caller_answer)
    _note_failure(context, backend, error, now_s)
    if failure_point not in retries.NEVER_RUN:
        # A server that refused or was not reached is only blocked for a
        # while and may be tried again.
        tries.excluded |= {backend.backend_id}
    action = retries.decide(tries.state, failure_point, tries.budget, now_s)
    is_over = caller_answer.is_started and not call.is_stream
    log.warning(
        "attempt at backend server failed",
        request_id=call.request.attempt_id,
        vm=backend.backend_id,
        state=failure_point.value,
        error=error,
        outcome=action.value,
        age_s=now_s - call.arrived_s,
    )
    if is_over or action not in retries.CONTINUING:
        raise _final_error(call, tries, now_s)
    workspace = call.workspace.name if call.workspace else ""
    context.metrics.count("attempts_retried", workspace)
