"""Runs one call at backend servers, with retries, on a hosted platform.

A call is a request that was matched to its route and workspace.  It is sent
to a backend server, whose answer is relayed to the caller.  What follows a
failed attempt is decided by the table of
:mod:`sycamorespool.decisions.retries`, as it is in
:mod:`sycamorespool.dispatch`.
"""

import trio

from sycamorespool import attempts
from sycamorespool import backends
from sycamorespool import calls
from sycamorespool.decisions import fatal_parts
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
# How long no request goes to a server that said it is not the expected one
# (status 421), or that could not be reached.
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


def _begin_tries(
    context: entry_context.EntryContext, call: calls.Call
) -> attempts.Tries:
    budget = context.retry_budget_of(call.service)
    ratio = context.settings.bounds.retry_ratio * RETRY_RATIO_FRACTION
    retries.count_request(budget, ratio, call.arrived_s)
    state = retries.CallTries(
        call.route.is_repeatable,
        call.end_s,
        max_runs=max(1, call.route.max_runs),
    )
    return attempts.Tries(state, budget)


def _note_failure(
    context: entry_context.EntryContext,
    backend: backends.Backend,
    error: exceptions.BackendError,
    now_s: float,
) -> None:
    backend_id = backend.backend_id
    blocked = context.placement_state.blocked_until_s
    if isinstance(error, exceptions.BackendRefused):
        attempts.note_notice(context, backend, error.status, error.headers)
        if error.status == headers.MISDIRECTED:
            blocked[backend_id] = now_s + MISDIRECTED_BLOCK_S
        else:
            context.placement_state.note_refusal(backend_id, now_s)
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
    call: calls.Call,
    tries: attempts.Tries,
    now_s: float,
    retry_after_s: float = NO_SERVER_RETRY_AFTER_S,
) -> exceptions.RequestError:
    if not tries.state.may_have_run:
        return exceptions.NotRun(
            "no_server",
            "no backend server accepted the request",
            retry_after_s=retry_after_s,
        )
    if now_s >= call.end_s - MIN_TIME_LEFT_S:
        return exceptions.OutcomeUnknown(
            "timeout", "no complete answer arrived before the deadline", 504
        )
    return exceptions.OutcomeUnknown(
        "answer_lost", "the backend server's answer was lost"
    )


def _check_prompt(
    context: entry_context.EntryContext,
    call: calls.Call,
    tries: attempts.Tries,
    now_s: float,
) -> None:
    """Check that no server may end on a part of the prompt.

    Raises
    ------
    NotRun, OutcomeUnknown
        If a part is held or blocked.
    """
    prompt = call.request.prompt_parts
    end_s = context.prompt_blocks.find_block_end_s(prompt, now_s)
    if end_s is None:
        return
    if tries.state.may_have_run:
        raise _final_error(call, tries, now_s)
    raise exceptions.NotRun(
        "prompt_blocked",
        "backend servers ended on a part of this prompt",
        retry_after_s=end_s - now_s,
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


async def _wait_for_server(
    context: entry_context.EntryContext,
    call: calls.Call,
    tries: attempts.Tries,
    until_s: float,
) -> None:
    """Wait a moment for a usable server, as long as one may come in time.

    Raises
    ------
    NotRun, OutcomeUnknown
        If the call has waited until ``until_s``, or if all servers want
        requests again only later than that.
    """
    now_s = trio.current_time()
    backoff_end_s = placement.find_backoff_end_s(
        context.placement_state,
        call.make_placement_request(tries.excluded),
        now_s,
    )
    is_too_late = backoff_end_s is not None and backoff_end_s > until_s
    if now_s < until_s and not is_too_late:
        await trio.sleep(SERVER_WAIT_PERIOD_S)
        return
    log.warning(
        "no usable backend server",
        request_id=call.request.attempt_id,
        service=call.service,
        name=call.request.model,
        version=call.version,
        count=tries.state.tries,
    )
    retry_after_s = NO_SERVER_RETRY_AFTER_S
    if backoff_end_s is not None:
        retry_after_s = backoff_end_s - now_s
    raise _final_error(call, tries, now_s, retry_after_s)


async def run_call(
    context: entry_context.EntryContext,
    call: calls.Call,
    caller_answer: relay.Relay,
) -> None:
    """Run a call at a backend server and relay the answer to the caller.

    Raises
    ------
    NotRun
        If no backend server ran it, or a part of its prompt is blocked.
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
        _check_prompt(context, call, tries, now_s)
        placement_request = call.make_placement_request(tries.excluded)
        backend = placement.choose(
            context.placement_state,
            placement_request,
            now_s,
            context.random.random(),
            lambda found: context.may_send_to(found, trio.current_time()),
        )
        if backend is None:
            await _wait_for_server(context, call, tries, wait_until_s)
            continue
        error = await attempts.make_attempt(
            context, call, backend, caller_answer, tries
        )
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
    if caller_answer.status < 300:
        fatal_parts.note_served(
            context.prompt_blocks,
            call.request.prompt_parts,
            trio.current_time(),
        )
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
    tries: attempts.Tries,
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
        count=caller_answer.events.count,
        parts=",".join(call.request.prompt_parts),
    )
    if is_over or action not in retries.CONTINUING:
        raise _final_error(call, tries, now_s)
    workspace = call.workspace.name if call.workspace else ""
    context.metrics.count("attempts_retried", workspace)
