"""Runs a call by attempts at replicas until the caller has its answer.

Each attempt waits for a place, sends the request to the group of the place
and relays the answer to the caller.  After a failed attempt the retry rules
decide whether another one follows.
"""

import collections.abc
import contextlib
import dataclasses
import random

import trio

from sycamorespool import admission
from sycamorespool.backend_servers import streaming_client
from sycamorespool import checks
from sycamorespool.decisions import isolation
from sycamorespool.decisions.placing import routing
from sycamorespool.decisions import retries
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import invariants
from sycamorespool import models
from sycamorespool import request_history
from sycamorespool.requests import event_counts
from sycamorespool.requests import relay

RETRY_AFTER_S = 1.0
TIMEOUT_HEADER = "x-timeout-s"
# Lowest status of a server's error.
SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Holds a caller's authenticated request to one service.

    Parameters
    ----------
    service : str
        Name of the service.
    is_idempotent : bool
        Whether the call may be run more than once.
    is_completion, is_stream : bool
        Whether the call is a completion request to a model, and whether
        its answer is a stream of events.
    key : str
        Idempotency key of a call that is not idempotent, or empty.
    """

    request_id: str
    workspace: str
    priority: str
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    is_idempotent: bool
    is_completion: bool = False
    is_stream: bool = False
    key: str = ""

    @property
    def prefix(self) -> int | None:
        """Return the routing key of the prompt's beginning.

        It is None without a prompt.
        """
        if not self.is_completion:
            return None
        text = self.body[: routing.PREFIX_CHARACTERS].decode("latin-1")
        return routing.make_prefix_key(self.workspace, text)


@contextlib.asynccontextmanager
async def _open_attempt(
    env: environment.Environment,
    call: Call,
    grant: models.Grant,
    from_token: int,
    end_s: float,
) -> collections.abc.AsyncIterator[streaming_client.BackendAnswer]:
    headers = {
        "content-type": call.content_type,
        "x-request-id": call.request_id,
        "x-priority": call.priority,
        TIMEOUT_HEADER: f"{end_s - trio.current_time():.3f}",
    }
    if from_token:
        headers[event_counts.RESUME_HEADER] = str(from_token)
    outgoing = streaming_client.OutgoingRequest(
        grant.address,
        call.method,
        call.path,
        headers,
        call.body,
        environment.make_id(),
        may_reuse=call.is_idempotent,
    )
    limits = env.settings.limits
    # An engine sends nothing before a completion that is not streamed is
    # complete, so the idle timeout does not apply to it.
    is_silent = call.is_completion and not call.is_stream
    idle_s = limits.request_timeout_s if is_silent else limits.idle_timeout_s
    async with streaming_client.open_request(
        env.backend_connections, outgoing, idle_s, end_s
    ) as answer:
        yield answer


async def _relay_answer(
    call: Call,
    answer: streaming_client.BackendAnswer,
    caller_answer: relay.Relay,
) -> None:
    if call.is_completion and answer.status >= SERVER_ERROR:
        raise exceptions.BackendCut(
            f"the engine failed with status {answer.status}"
        )
    if call.is_stream and answer.status < 300:
        await caller_answer.copy_events(answer)
    elif caller_answer.is_started:
        raise exceptions.BackendCut(
            f"the stream was not resumed: status {answer.status}"
        )
    else:
        await caller_answer.copy_whole(answer, call.is_completion)


def _find_failure_point(
    error: exceptions.BackendError, call: Call, caller_answer: relay.Relay
) -> retries.FailurePoint:
    """Return the point at which an attempt failed."""
    if isinstance(error, exceptions.BackendNotReached):
        return retries.FailurePoint.NOT_REACHED
    if isinstance(error, exceptions.BackendRefused):
        return retries.FailurePoint.REFUSED
    return (
        retries.FailurePoint.PARTIAL
        if caller_answer.is_started
        else retries.FailurePoint.SENT
    )


@dataclasses.dataclass(slots=True)
class _Attempts:
    """Holds the attempts made at one call.

    ``error`` says why the last one was not sent to a replica.
    """

    state: retries.CallTries
    place_request: admission.PlaceRequest
    trace: request_history.Trace
    error: exceptions.RequestError | None = None
    failure_points: list[retries.FailurePoint] = dataclasses.field(
        default_factory=list
    )

    def fail(self) -> exceptions.RequestError:
        """Return the error for the caller if no further attempt is made.

        It says that the call was not run only if no attempt may have run.
        """
        was_not_run = not self.state.may_have_run and checks.check_not_run(
            self.failure_points, self.place_request.request_id
        )
        if not was_not_run:
            return exceptions.OutcomeUnknown(
                "answer_lost", "the replica's answer was lost"
            )
        return self.error or exceptions.NotRun(
            "backends_refused",
            "no replica accepted the request",
            retry_after_s=RETRY_AFTER_S,
        )


def _begin_attempts(env: environment.Environment, call: Call) -> _Attempts:
    limits = env.settings.limits
    now_s = trio.current_time()
    config = env.fleet.config
    workspace = config.workspaces.get(call.workspace)
    ratio = workspace.retry_ratio if workspace else 0.0
    env.admission.config = config
    retries.count_request(env.admission.budgets[call.workspace], ratio, now_s)
    return _Attempts(
        retries.CallTries(
            call.is_idempotent, now_s + limits.request_timeout_s
        ),
        admission.PlaceRequest(
            call.request_id,
            call.workspace,
            call.priority,
            call.service,
            limits.queue_timeout_s,
            call.prefix,
        ),
        env.request_history.open(
            call.request_id, call.workspace, call.priority, call.service
        ),
    )


async def _await_next_attempt(
    env: environment.Environment,
    call: Call,
    attempts: _Attempts,
    failure_point: retries.FailurePoint,
) -> None:
    """Return when the next attempt is due, or raise the call's error."""
    now_s = trio.current_time()
    budget = env.admission.budgets[call.workspace]
    was_allowed = retries.may_try_again(attempts.state, failure_point, now_s)
    action = retries.decide(attempts.state, failure_point, budget, now_s)
    if action not in retries.CONTINUING:
        if was_allowed:
            env.metrics.count("retries_denied", call.workspace)
        raise attempts.fail()
    env.metrics.count("attempts_retried", call.workspace)
    if action is retries.Action.RETRY:
        number = attempts.state.tries - 1
        await trio.sleep(retries.backoff_s(number, random.random()))


async def run_call(
    env: environment.Environment, call: Call, caller_answer: relay.Relay
) -> None:
    """Run a call on a replica and relay the answer to the caller.

    A stream that breaks off is resumed at another replica, from the first
    token that the caller does not have.

    Raises
    ------
    NotRun
        If no replica ran the call.
    OutcomeUnknown
        If a replica may have run the call, or the caller has a part of the
        answer and the rest cannot be obtained.
    CallerStalled
        If the caller did not read its answer.
    """
    attempts = _begin_attempts(env, call)
    trace = attempts.trace
    try:
        await _run_attempts(env, call, caller_answer, attempts)
    except exceptions.NotRun as error:
        trace.set_state("not_run", error.code)
        raise
    except exceptions.OutcomeUnknown as error:
        trace.set_state("outcome_unknown", error.code)
        if caller_answer.is_started:
            env.metrics.count("requests_cut", call.workspace, call.priority)
        raise
    except BaseException:
        trace.set_state("cut")
        raise
    trace.set_state("served")


async def _run_attempts(
    env: environment.Environment,
    call: Call,
    caller_answer: relay.Relay,
    attempts: _Attempts,
) -> None:
    while True:
        failure_point = await _make_attempt(env, call, attempts, caller_answer)
        if failure_point is None:
            return
        if not caller_answer.may_go_on:
            raise attempts.fail()
        await _await_next_attempt(env, call, attempts, failure_point)


def _check_isolation(env: environment.Environment) -> None:
    # The entry may have become isolated while the call waited for its place.
    if not isolation.ALLOWANCES[env.mode].takes_work:
        raise exceptions.NotRun(
            "isolated",
            "the entry is isolated and accepts no work",
            retry_after_s=RETRY_AFTER_S,
        )


async def _make_attempt(
    env: environment.Environment,
    call: Call,
    attempts: _Attempts,
    caller_answer: relay.Relay,
) -> retries.FailurePoint | None:
    """Make one attempt and return the point at which it failed, if it did."""
    admissions = env.admission
    began_s = trio.current_time()
    try:
        async with admissions.hold_place(
            env.held, attempts.place_request
        ) as grant:
            _check_isolation(env)
            wait_s = trio.current_time() - began_s
            env.metrics.observe(
                "queue_wait_s", wait_s, call.workspace, call.priority
            )
            return await _attempt_at_replica(
                env, call, attempts, caller_answer, grant
            )
    except exceptions.NotRun as error:
        attempts.error = error
        raise attempts.fail() from error


async def _attempt_at_replica(
    env: environment.Environment,
    call: Call,
    attempts: _Attempts,
    caller_answer: relay.Relay,
    grant: models.Grant,
) -> retries.FailurePoint | None:
    attempts.trace.record_attempt(grant.group_id)
    end_s = attempts.state.deadline_s
    from_token = caller_answer.events.count
    try:
        async with _open_attempt(
            env, call, grant, from_token, end_s
        ) as answer:
            await _relay_answer(call, answer, caller_answer)
    except exceptions.BackendError as error:
        attempts.place_request.excluded.add(grant.group_id)
        failure_point = _find_failure_point(error, call, caller_answer)
        attempts.failure_points.append(failure_point)
        if failure_point is not retries.FailurePoint.REFUSED:
            env.admission.note_result(grant.group_id, False)
        return failure_point
    env.admission.note_result(grant.group_id, True)
    invariants.check(
        "answer_whole",
        caller_answer.events.is_done or not caller_answer.events.count,
        f"request={call.request_id} events={caller_answer.events.count}",
    )
    return None
