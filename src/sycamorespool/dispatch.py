"""The path of one request from admission to its last byte."""

import collections.abc
import contextlib
import dataclasses

import trio

from sycamorespool.backend_servers import stream
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import journal
from sycamorespool import models
from sycamorespool import relay

RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 4
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


async def _take_place(
    env: environment.Environment, call: Call, excluded: set[str]
) -> models.Grant:
    started_s = trio.current_time()
    env.held.waiting[call.service] += 1
    try:
        with trio.move_on_after(env.settings.limits.queue_timeout_s):
            while True:
                now_s = trio.current_time()
                grant = env.held.find(call.service, now_s, excluded)
                if grant is not None:
                    env.metrics.observe(
                        "queue_wait_s",
                        now_s - started_s,
                        call.workspace,
                        call.priority,
                    )
                    return grant
                await env.held.changed.wait()
    finally:
        env.held.waiting[call.service] -= 1
    raise exceptions.NotRun(
        "no_capacity",
        f"no replica of {call.service} has a free place",
        retry_after_s=RETRY_AFTER_S,
    )


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
    env.held.in_flight[grant.group_id] += 1
    try:
        async with stream.open_request(
            env.links, outgoing, idle_s, end_s
        ) as answer:
            yield answer
    finally:
        env.held.release(grant.group_id)


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


@dataclasses.dataclass(slots=True)
class _Tries:
    """The attempts made at one call."""

    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False

    def fail(self, error: Exception) -> exceptions.RequestError:
        """Return what the caller is told if no attempt follows."""
        if self.may_have_run:
            return exceptions.OutcomeUnknown(
                "answer_lost", "the answer of the replica was lost"
            )
        if isinstance(error, exceptions.NotRun):
            return error
        return exceptions.NotRun(
            "backends_refused",
            "no replica took the request",
            retry_after_s=RETRY_AFTER_S,
        )


def _may_go_on(call: Call, passed: relay.Relay, tries: _Tries) -> bool:
    is_resumable = call.is_stream or not passed.is_begun
    may_repeat = call.is_idempotent or not tries.may_have_run
    is_left = len(tries.excluded) < MAX_ATTEMPTS
    return is_resumable and may_repeat and is_left


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
    trace = env.journal.open(
        call.request_id, call.workspace, call.priority, call.service
    )
    try:
        await _try_replicas(env, call, passed, trace)
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
    trace: journal.Trace,
) -> None:
    limits = env.settings.limits
    end_s = trio.current_time() + limits.request_timeout_s
    tries = _Tries()
    while True:
        try:
            grant = await _take_place(env, call, tries.excluded)
        except exceptions.NotRun as error:
            raise tries.fail(error) from error
        trace.send(grant.group_id)
        from_token = passed.events.count
        try:
            async with _attempt(env, call, grant, from_token, end_s) as answer:
                await _copy(call, answer, passed)
            return
        except exceptions.BackendError as error:
            tries.excluded.add(grant.group_id)
            tries.may_have_run |= isinstance(error, exceptions.BackendCut)
            is_late = trio.current_time() >= end_s
            if is_late or not _may_go_on(call, passed, tries):
                raise tries.fail(error) from error
            env.metrics.count("attempts_retried", call.workspace)
