"""The path of one request from admission to its last byte."""

import collections.abc
import contextlib
import dataclasses
import random

import trio

from sycamorespool import admission
from sycamorespool.backend_servers import stream
from sycamorespool import checks
from sycamorespool.decisions import isolation
from sycamorespool.decisions import retries
from sycamorespool.decisions import routing
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import invariants
from sycamorespool import journal
from sycamorespool import models
from sycamorespool import relay

RETRY_AFTER_S = 1.0
TIMEOUT_HEADER = "x-timeout-s"
SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request as the backend servers see it.

    Parameters
    ----------
    service : str
        The service that it is for.
    is_idempotent : bool
        Whether it may be run again.
    is_completion, is_stream : bool
        Whether a model's completion is wanted, and as a stream of events.
    key : str
        Idempotency key of a call that may not be repeated, or empty.
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
        """Key of the prompt's beginning, None if there is no prompt."""
        if not self.is_completion:
            return None
        text = self.body[: routing.PREFIX_CHARACTERS].decode("latin-1")
        return routing.make_prefix_key(self.workspace, text)


@contextlib.asynccontextmanager
async def _attempt(
    env: environment.Environment,
    call: Call,
    grant: models.Grant,
    from_token: int,
    end_s: float,
) -> collections.abc.AsyncIterator[stream.BackendAnswer]:
    headers = {
        "content-type": call.content_type,
        "x-request-id": call.request_id,
        "x-priority": call.priority,
        TIMEOUT_HEADER: f"{end_s - trio.current_time():.3f}",
    }
    if from_token:
        headers[relay.RESUME_HEADER] = str(from_token)
    outgoing = stream.Outgoing(
        grant.address,
        call.method,
        call.path,
        headers,
        call.body,
        environment.make_id(),
        may_reuse=call.is_idempotent,
    )
    limits = env.settings.limits
    # An engine is silent until a completion that is not streamed is whole.
    is_silent = call.is_completion and not call.is_stream
    idle_s = limits.request_timeout_s if is_silent else limits.idle_timeout_s
    async with stream.open_request(
        env.links, outgoing, idle_s, end_s
    ) as answer:
        yield answer


async def _copy(
    call: Call, answer: stream.BackendAnswer, passed: relay.Relay
) -> None:
    if call.is_completion and answer.status >= SERVER_ERROR:
        raise exceptions.BackendCut(f"the engine failed: {answer.status}")
    if call.is_stream and answer.status < 300:
        await passed.copy_events(answer)
    elif passed.is_begun:
        raise exceptions.BackendCut(f"not resumed: {answer.status}")
    else:
        await passed.copy_whole(answer, call.is_completion)


def _find_cut(
    error: exceptions.BackendError, call: Call, passed: relay.Relay
) -> retries.FailurePoint:
    """Return where an attempt was cut."""
    if isinstance(error, exceptions.BackendNotReached):
        return retries.FailurePoint.NOT_REACHED
    if isinstance(error, exceptions.BackendRefused):
        return retries.FailurePoint.REFUSED
    return (
        retries.FailurePoint.PARTIAL
        if passed.is_begun
        else retries.FailurePoint.SENT
    )


@dataclasses.dataclass(slots=True)
class _Tries:
    """The attempts made at one call, and why the last one failed."""

    state: retries.CallTries
    wish: admission.Wish
    trace: journal.Trace
    error: exceptions.RequestError | None = None
    cuts: list[retries.FailurePoint] = dataclasses.field(default_factory=list)

    def fail(self) -> exceptions.RequestError:
        """Return the true answer if no attempt follows."""
        is_unrun = not self.state.may_have_run and checks.check_not_run(
            self.cuts, self.wish.request_id
        )
        if not is_unrun:
            return exceptions.OutcomeUnknown(
                "answer_lost", "the answer of the replica was lost"
            )
        return self.error or exceptions.NotRun(
            "backends_refused",
            "no replica took the request",
            retry_after_s=RETRY_AFTER_S,
        )


def _begin_tries(env: environment.Environment, call: Call) -> _Tries:
    limits = env.settings.limits
    now_s = trio.current_time()
    config = env.fleet.config
    workspace = config.workspaces.get(call.workspace)
    ratio = workspace.retry_ratio if workspace else 0.0
    env.admission.config = config
    retries.count_request(env.admission.budgets[call.workspace], ratio, now_s)
    return _Tries(
        retries.CallTries(
            call.is_idempotent, now_s + limits.request_timeout_s
        ),
        admission.Wish(
            call.request_id,
            call.workspace,
            call.priority,
            call.service,
            limits.queue_timeout_s,
            call.prefix,
        ),
        env.journal.open(
            call.request_id, call.workspace, call.priority, call.service
        ),
    )


async def _follow_failure(
    env: environment.Environment,
    call: Call,
    tries: _Tries,
    cut: retries.FailurePoint,
) -> None:
    """Wait until the next attempt, or raise the final answer."""
    now_s = trio.current_time()
    budget = env.admission.budgets[call.workspace]
    could_go_on = retries.may_try_again(tries.state, cut, now_s)
    action = retries.decide(tries.state, cut, budget, now_s)
    if action not in retries.CONTINUING:
        if could_go_on:
            env.metrics.count("retries_denied", call.workspace)
        raise tries.fail()
    env.metrics.count("attempts_retried", call.workspace)
    if action is retries.Action.RETRY:
        number = tries.state.tries - 1
        await trio.sleep(retries.backoff_s(number, random.random()))


async def run_call(
    env: environment.Environment, call: Call, passed: relay.Relay
) -> None:
    """Run a call on a replica and pass its answer on.

    A stream that is cut goes on at another replica, from the token that
    was reached.

    Raises
    ------
    NotRun
        If no replica ran it.
    OutcomeUnknown
        If a replica may have run it, or ``passed`` is begun and its rest
        cannot be had.
    CallerStalled
        If the caller did not take its answer.
    """
    tries = _begin_tries(env, call)
    trace = tries.trace
    try:
        await _try_replicas(env, call, passed, tries)
    except exceptions.NotRun as error:
        trace.change("not_run", error.code)
        raise
    except exceptions.OutcomeUnknown as error:
        trace.change("outcome_unknown", error.code)
        if passed.is_begun:
            env.metrics.count("requests_cut", call.workspace, call.priority)
        raise
    except BaseException:
        trace.change("cut")
        raise
    trace.change("served")


async def _try_replicas(
    env: environment.Environment,
    call: Call,
    passed: relay.Relay,
    tries: _Tries,
) -> None:
    while True:
        cut = await _try_once(env, call, tries, passed)
        if cut is None:
            return
        if passed.is_begun and not call.is_stream:
            raise tries.fail()
        await _follow_failure(env, call, tries, cut)


def _check_isolation(env: environment.Environment) -> None:
    # A call may have waited for its place while the entry was cut off.
    if not isolation.ALLOWANCES[env.mode].takes_work:
        raise exceptions.NotRun(
            "isolated",
            "the entry is cut off and takes no work",
            retry_after_s=RETRY_AFTER_S,
        )


async def _try_once(
    env: environment.Environment,
    call: Call,
    tries: _Tries,
    passed: relay.Relay,
) -> retries.FailurePoint | None:
    """Make one attempt; return where it was cut, or None."""
    gate = env.admission
    began_s = trio.current_time()
    try:
        async with gate.place(env.held, tries.wish) as grant:
            _check_isolation(env)
            wait_s = trio.current_time() - began_s
            env.metrics.observe(
                "queue_wait_s", wait_s, call.workspace, call.priority
            )
            return await _attempt_at(env, call, tries, passed, grant)
    except exceptions.NotRun as error:
        tries.error = error
        raise tries.fail() from error


async def _attempt_at(
    env: environment.Environment,
    call: Call,
    tries: _Tries,
    passed: relay.Relay,
    grant: models.Grant,
) -> retries.FailurePoint | None:
    tries.trace.send(grant.group_id)
    end_s = tries.state.deadline_s
    from_token = passed.events.count
    try:
        async with _attempt(env, call, grant, from_token, end_s) as answer:
            await _copy(call, answer, passed)
    except exceptions.BackendError as error:
        tries.wish.excluded.add(grant.group_id)
        cut = _find_cut(error, call, passed)
        tries.cuts.append(cut)
        if cut is not retries.FailurePoint.REFUSED:
            env.admission.note_result(grant.group_id, False)
        return cut
    env.admission.note_result(grant.group_id, True)
    invariants.check(
        "answer_whole",
        passed.events.is_done or not passed.events.count,
        f"request={call.request_id} events={passed.events.count}",
    )
    return None
