"""Records how the attempts of a call ended, and decides what follows.

What follows the failure of a call's last attempt is decided by the table of
:mod:`sycamorespool.decisions.retries`; an attempt that fails while another
one of its call runs is only counted.
"""

import trio

from sycamorespool import backends
from sycamorespool.decisions.faults import fatal_traits
from sycamorespool.decisions.placing import reachability
from sycamorespool.decisions import retries
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.peers import peer_calls
from sycamorespool.platform import headers
from sycamorespool.requests import attempts
from sycamorespool.requests import call_attempts
from sycamorespool.requests import calls
from sycamorespool.requests import relay

# When a caller whose request no server accepted may try again.
NO_SERVER_RETRY_AFTER_S = 1.0
# With less time than this until its deadline, a call makes no attempt.
MIN_TIME_LEFT_S = 0.02
# How long no request goes to a server that said it is not the expected one
# (status 421), and no call to an entry that failed or did not run one.
MISDIRECTED_BLOCK_S = 2.0
PEER_BLOCK_S = 1.0

log = logs.make_logger("requests")


def note_success(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    caller_answer: relay.Relay,
) -> None:
    """Record a call that was answered, also if with a failure."""
    is_good = caller_answer.status < 500
    if caller_answer.status < 300:
        fatal_traits.note_served(
            context.trait_blocks,
            call.traits,
            trio.current_time(),
        )
    if is_good:
        context.breakers.pop(backend.backend_id, None)
    elif not peer_calls.is_peer(backend):
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


def note_ended_beside(
    context: entry_context.EntryContext,
    call: calls.Call,
    caller_answer: relay.Relay,
    tries: call_attempts.Tries,
    ended: call_attempts.Ended,
) -> None:
    """Record an attempt that ended while another one goes on."""
    point = _note_failed(context, caller_answer, tries, ended)
    if not ended.attempt.is_counted:
        ended.attempt.is_counted = True
        retries.count_attempt(tries.state, point)
    _log_failed(call, caller_answer, ended, point, "other attempt goes on")


def handle_failure(
    context: entry_context.EntryContext,
    call: calls.Call,
    caller_answer: relay.Relay,
    tries: call_attempts.Tries,
    ended: call_attempts.Ended,
) -> None:
    """Record the failure of the last attempt that ran, and decide.

    Raises
    ------
    NotRun, OutcomeUnknown
        If no other attempt may follow.
    """
    now_s = trio.current_time()
    point = _note_failed(context, caller_answer, tries, ended)
    action = retries.decide(
        tries.state, point, tries.budget, now_s, ended.attempt.is_counted
    )
    _log_failed(call, caller_answer, ended, point, action.value)
    if not caller_answer.may_go_on or action not in retries.CONTINUING:
        raise final_error(call, tries, now_s)
    count_retry(context, call)


def _note_failed(
    context: entry_context.EntryContext,
    caller_answer: relay.Relay,
    tries: call_attempts.Tries,
    ended: call_attempts.Ended,
) -> retries.FailurePoint:
    """Record a failed attempt's server; return the point of the failure."""
    backend = ended.attempt.backend
    point = _classify_failure(ended, caller_answer)
    if not ended.attempt.is_overtaken:
        _note_failure(context, ended, trio.current_time())
    elif not ended.attempt.is_replaced:
        # It had no time to show whether its server answers.
        return point
    if point not in retries.NEVER_RUN:
        # A server that refused or was not reached is only blocked for a
        # while and may be tried again.
        tries.excluded |= {backend.backend_id}
    return point


def _log_failed(
    call: calls.Call,
    caller_answer: relay.Relay,
    ended: call_attempts.Ended,
    point: retries.FailurePoint,
    outcome: str,
) -> None:
    log.warning(
        "attempt at backend server failed",
        request_id=call.request.attempt_id,
        vm=ended.attempt.backend.backend_id,
        state=point.value,
        error=ended.error,
        outcome=outcome,
        age_s=trio.current_time() - call.arrived_s,
        count=caller_answer.events.count,
        parts=",".join(call.traits),
    )


def _note_failure(
    context: entry_context.EntryContext,
    ended: call_attempts.Ended,
    now_s: float,
) -> None:
    backend, error = ended.attempt.backend, ended.error
    backend_id = backend.backend_id
    blocked = context.placement_state.blocked_until_s
    if peer_calls.is_peer(backend):
        blocked[backend_id] = now_s + PEER_BLOCK_S
        return
    if isinstance(error, exceptions.BackendRefused):
        attempts.note_notice(
            context,
            backend,
            error.status,
            error.headers,
            ended.attempt.silent_since_s,
        )
        if error.status == headers.MISDIRECTED:
            blocked[backend_id] = now_s + MISDIRECTED_BLOCK_S
        else:
            context.placement_state.note_refusal(backend_id, now_s)
        return
    if isinstance(error, exceptions.BackendNotReached):
        # That says nothing of how the server fares.
        if isinstance(error, exceptions.BackendUnreachable):
            reachability.note_failed(
                context.reach, backend_id, error.is_refused, now_s
            )
        return
    retries.note_result(context.breakers[backend_id], False, now_s)


def _classify_failure(
    ended: call_attempts.Ended, caller_answer: relay.Relay
) -> retries.FailurePoint:
    error = ended.error
    if isinstance(error, exceptions.BackendNotReached):
        return retries.FailurePoint.NOT_REACHED
    if isinstance(error, exceptions.BackendRefused):
        if peer_calls.is_peer(ended.attempt.backend):
            return retries.FailurePoint.NOT_REACHED
        return retries.FailurePoint.REFUSED
    return (
        retries.FailurePoint.PARTIAL
        if caller_answer.is_started
        else retries.FailurePoint.SENT
    )


def final_error(
    call: calls.Call,
    tries: call_attempts.Tries,
    now_s: float,
    retry_after_s: float = NO_SERVER_RETRY_AFTER_S,
) -> exceptions.RequestError:
    """Return the error that ends a call without an answer.

    It says that the call has not run only if none of its attempts may have.
    """
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


def stopping_error(tries: call_attempts.Tries) -> exceptions.RequestError:
    """Return the error of a call that would not end before the entry does."""
    if tries.state.may_have_run:
        return exceptions.OutcomeUnknown(
            "answer_lost", "the entry stops, and the answer was lost"
        )
    return calls.make_stopping_refusal()


def count_retry(context: entry_context.EntryContext, call: calls.Call) -> None:
    """Count an attempt that follows another one or runs beside it."""
    workspace = call.workspace.name if call.workspace else ""
    context.metrics.count("attempts_retried", workspace)
