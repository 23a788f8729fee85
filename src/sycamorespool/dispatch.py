"""The path of one request from admission to its last byte."""

import collections.abc
import contextlib
import dataclasses
import typing as t

import trio

from sycamorespool.backend_servers import stream
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import journal
from sycamorespool import models

RETRY_AFTER_S = 1.0
PLACE_POLL_S = 0.02
MAX_ATTEMPTS = 4

Answer: t.TypeAlias = stream.BackendAnswer
STREAM_END = stream.DONE


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request as the backend servers see it.

    Parameters
    ----------
    service : str
        The service that it is for.
    is_idempotent : bool
        Whether it may be run again.
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


async def _take_place(
    env: environment.Environment, call: Call, excluded: set[str]
) -> models.Grant:
    started_s = trio.current_time()
    deadline_s = started_s + env.settings.limits.queue_timeout_s
    env.held.waiting[call.service] += 1
    try:
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
            if now_s > deadline_s:
                raise exceptions.NotRun(
                    "no_capacity",
                    f"no replica of {call.service} has a free place",
                    retry_after_s=RETRY_AFTER_S,
                )
            await trio.sleep(PLACE_POLL_S)
    finally:
        env.held.waiting[call.service] -= 1


@contextlib.asynccontextmanager
async def _attempt(
    env: environment.Environment, call: Call, grant: models.Grant
) -> collections.abc.AsyncIterator[stream.BackendAnswer]:
    headers = {
        "content-type": call.content_type,
        "x-attempt-id": environment.make_id(),
        "x-request-id": call.request_id,
        "x-priority": call.priority,
    }
    env.held.in_flight[grant.group_id] += 1
    try:
        async with stream.open_request(
            env.pool,
            grant.address,
            call.method,
            call.path,
            call.body,
            headers,
            env.settings.limits.request_timeout_s,
        ) as answer:
            yield answer
    finally:
        env.held.in_flight[grant.group_id] -= 1


@contextlib.asynccontextmanager
async def open_call(
    env: environment.Environment, call: Call
) -> collections.abc.AsyncIterator[stream.BackendAnswer]:
    """Run a call on a replica and give its answer while it is open.

    Raises
    ------
    NotRun
        If no replica ran it.
    OutcomeUnknown
        If a replica may have run it.
    """
    trace = env.journal.open(
        call.request_id, call.workspace, call.priority, call.service
    )
    try:
        async with _open_attempts(env, call, trace) as answer:
            yield answer
    except exceptions.NotRun as error:
        trace.change("not_run", error.code)
        raise
    except exceptions.OutcomeUnknown as error:
        trace.change("outcome_unknown", error.code)
        raise
    except BaseException:
        trace.change("cut")
        raise
    trace.change("served")


@contextlib.asynccontextmanager
async def _open_attempts(
    env: environment.Environment, call: Call, trace: journal.Trace
) -> collections.abc.AsyncIterator[stream.BackendAnswer]:
    excluded: set[str] = set()
    async with contextlib.AsyncExitStack() as stack:
        answer = None
        while answer is None:
            grant = await _take_place(env, call, excluded)
            trace.send(grant.group_id)
            try:
                answer = await stack.enter_async_context(
                    _attempt(env, call, grant)
                )
            except (
                exceptions.BackendNotReached,
                exceptions.BackendRefused,
            ) as error:
                excluded.add(grant.group_id)
                if len(excluded) >= MAX_ATTEMPTS:
                    raise exceptions.NotRun(
                        "backends_refused",
                        "no replica took the request",
                        retry_after_s=RETRY_AFTER_S,
                    ) from error
            except exceptions.BackendCut as error:
                excluded.add(grant.group_id)
                if not call.is_idempotent or len(excluded) >= MAX_ATTEMPTS:
                    raise exceptions.OutcomeUnknown(
                        "answer_lost", "the answer of the replica was lost"
                    ) from error
        yield answer
