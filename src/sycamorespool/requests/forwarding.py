"""Runs one call at backend servers, with retries, on a hosted platform.

A call is a request that was matched to its route and workspace.  It is sent
to a backend server, whose answer is relayed to the caller.  What follows a
failed attempt is decided by the table of
:mod:`sycamorespool.decisions.retries`, as it is in
:mod:`sycamorespool.dispatch`.
"""

import functools

import trio

from sycamorespool import asgi
from sycamorespool import backends
from sycamorespool.decisions.faults import end_causes
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import engine_load
from sycamorespool.decisions.placing import fleet_load
from sycamorespool.decisions.placing import placement
from sycamorespool.decisions import retries
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.peers import peer_calls
from sycamorespool.requests import attempt_results
from sycamorespool.requests import attempts
from sycamorespool.requests import call_attempts
from sycamorespool.requests import calls
from sycamorespool.requests import limited_calls
from sycamorespool.requests import relay

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
) -> call_attempts.Tries:
    budget = context.retry_budget_of(call.service)
    runs = 0
    if call.passed_on is not None:
        # The entry that passed it on has counted the request.
        runs = call.passed_on.runs
    else:
        ratio = context.settings.bounds.retry_ratio * RETRY_RATIO_FRACTION
        retries.count_request(budget, ratio, call.arrived_s)
        _note_demand(context, call)
    state = retries.CallTries(
        call.route.is_repeatable,
        call.end_s,
        max_runs=max(1, call.route.max_runs - runs),
    )
    return call_attempts.Tries(state, budget)


def _note_demand(
    context: entry_context.EntryContext, call: calls.Call
) -> None:
    """Count the work that a call asks of the servers of its model."""
    found = call.engine_work
    if found is None:
        return
    busy_s = engine_load.find_busy_s(
        found.times, found.model, found.slots, found.work
    )
    name = f"{call.service}/{found.model.name}"
    fleet_load.note_asked(context.load.meter, name, busy_s, call.arrived_s)


def _check_traits(
    context: entry_context.EntryContext,
    call: calls.Call,
    tries: call_attempts.Tries,
    now_s: float,
) -> None:
    """Check that no server may end on a trait of the request.

    Raises
    ------
    NotRun, OutcomeUnknown
        If the request itself or a part of its prompt is held or blocked.
    """
    block = context.trait_blocks.find_block(call.traits, now_s)
    if block is None:
        return
    if tries.state.may_have_run:
        raise attempt_results.final_error(call, tries, now_s)
    code, subject = (
        ("request_blocked", "this request")
        if end_causes.is_identity(block.trait)
        else ("prompt_blocked", "a part of this prompt")
    )
    raise exceptions.NotRun(
        code,
        f"backend servers ended on {subject}",
        retry_after_s=block.end_s - now_s,
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
    tries: call_attempts.Tries,
    limited: limited_calls.LimitedCall,
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
    request = call.make_placement_request(tries.excluded)
    if not tries.state.tries:
        usable = [
            backend
            for backend in candidates.list_usable(
                context.placement_state, request, now_s
            )
            if context.may_reach(backend, call.route.is_repeatable)
        ]
        if usable and all(map(limited.is_limited, usable)):
            await limited.wait_for_turn(usable, until_s)
            return
    backoff_end_s = candidates.find_backoff_end_s(
        context.placement_state, request, now_s
    )
    is_passed_on = call.passed_on is not None
    if is_passed_on and peer_calls.lacks_servers(context, call, tries):
        # Another entry may reach them, and is asked next.
        until_s = now_s
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
    retry_after_s = attempt_results.NO_SERVER_RETRY_AFTER_S
    if backoff_end_s is not None:
        retry_after_s = backoff_end_s - now_s
    raise attempt_results.final_error(call, tries, now_s, retry_after_s)


async def run_call(
    context: entry_context.EntryContext,
    call: calls.Call,
    caller_answer: relay.Relay,
    nursery: trio.Nursery | None = None,
) -> None:
    """Run a call at a backend server and relay the answer to the caller.

    Parameters
    ----------
    nursery : trio.Nursery, optional
        Runs attempts beside silent ones; without it there are none.

    Raises
    ------
    NotRun
        If no backend server ran it, or the request or a part of its prompt
        is blocked.
    OutcomeUnknown
        If a server may have run it, or ``caller_answer`` has begun and the
        rest of it cannot be obtained.
    CallerStalled
        If the caller did not read its answer.
    """
    limited = limited_calls.LimitedCall(context, call)
    try:
        await _run_attempts(context, call, caller_answer, nursery, limited)
    finally:
        limited.leave()


async def _run_attempts(
    context: entry_context.EntryContext,
    call: calls.Call,
    caller_answer: relay.Relay,
    nursery: trio.Nursery | None,
    limited: limited_calls.LimitedCall,
) -> None:
    tries = _begin_tries(context, call)
    if nursery is not None:
        tries.begin_beside = functools.partial(
            _begin_beside,
            context,
            call,
            caller_answer,
            tries,
            limited,
            nursery,
        )
    wait_until_s = _find_wait_end_s(call)
    while True:
        backend = _find_backend(context, call, tries, limited)
        if backend is None:
            await _wait_for_server(context, call, tries, limited, wait_until_s)
            continue
        limited.note_chosen(backend)
        attempt = attempts.begin_attempt(context, call, backend, tries)
        ended = await attempts.run_attempt(
            context, call, attempt, caller_answer
        )
        while ended.error and (tries.running or tries.ended):
            attempt_results.note_ended_beside(
                context, call, caller_answer, tries, ended
            )
            ended = await tries.wait_for_last()
        if ended.error is None:
            attempt_results.note_success(
                context, call, ended.attempt.backend, caller_answer
            )
            return
        attempt_results.handle_failure(
            context, call, caller_answer, tries, ended
        )


def _find_backend(
    context: entry_context.EntryContext,
    call: calls.Call,
    tries: call_attempts.Tries,
    limited: limited_calls.LimitedCall,
) -> backends.Backend | None:
    """Return the server for the next attempt, None if there is none now.

    Raises
    ------
    NotRun, OutcomeUnknown
        If the call may make no further attempt.
    """
    now_s = trio.current_time()
    if now_s >= call.end_s - attempt_results.MIN_TIME_LEFT_S:
        raise attempt_results.final_error(call, tries, now_s)
    if not context.may_begin(call.route, call.end_s - now_s, now_s):
        raise attempt_results.stopping_error(tries)
    _check_traits(context, call, tries, now_s)
    found = placement.choose(
        context.placement_state,
        call.make_placement_request(tries.list_unusable()),
        now_s,
        context.random.random(),
        lambda backend: (
            not find_obstacle(context, call, limited, backend, now_s)
        ),
    )
    return found or peer_calls.find_peer(context, call, tries)


def find_obstacle(
    context: entry_context.EntryContext,
    call: calls.Call,
    limited: limited_calls.LimitedCall,
    backend: backends.Backend,
    now_s: float,
) -> str:
    """Return what keeps a call from a usable server now, empty if nothing."""
    if not context.may_reach(backend, call.route.is_repeatable):
        return "this entry does not reach it"
    if obstacle := context.find_send_obstacle(backend, now_s):
        return obstacle
    return "" if limited.may_take(backend) else "other calls come first there"


def _begin_beside(
    context: entry_context.EntryContext,
    call: calls.Call,
    caller_answer: relay.Relay,
    tries: call_attempts.Tries,
    limited: limited_calls.LimitedCall,
    nursery: trio.Nursery,
    silent: call_attempts.MovableAttempt,
    now_s: float,
) -> bool:
    """Begin an attempt beside a silent one, if a server and a retry allow."""
    is_counted = silent.is_counted
    if not caller_answer.may_go_on or not retries.may_begin_beside(
        tries.state, tries.budget, now_s, is_counted
    ):
        return False
    try:
        backend = _find_backend(context, call, tries, limited)
    except exceptions.RequestError:
        return False
    if backend is None:
        return False
    retries.begin_beside(tries.state, tries.budget, now_s, is_counted)
    silent.is_counted = True
    limited.note_chosen(backend)
    attempt = attempts.begin_attempt(context, call, backend, tries)
    log.info(
        "attempt begins beside a silent one",
        request_id=call.request.attempt_id,
        vm=backend.backend_id,
        age_s=now_s - silent.silent_since_s,
        count=caller_answer.events.count,
    )
    attempt_results.count_retry(context, call)

    async def run() -> None:
        try:
            ended = await attempts.run_attempt(
                context, call, attempt, caller_answer
            )
        except asgi.CallerGone:
            nursery.cancel_scope.cancel()
            return
        if ended.error is None or not tries.running:
            tries.note_last_ended(ended)
            return
        attempt_results.note_ended_beside(
            context, call, caller_answer, tries, ended
        )
        silent.is_replaced = False

    nursery.start_soon(run)
    return True
