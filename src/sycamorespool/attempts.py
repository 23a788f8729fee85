"""Makes one attempt of a call at a backend server, on a hosted platform.

The request is sent to the server and its answer relayed to the caller::

    error = await make_attempt(context, call, backend, caller_answer, tries)

What follows a failed attempt is decided in
:mod:`sycamorespool.forwarding`.
"""

from collections import abc
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

# A repeatable request is cancelled and sent to another server after a silence
# of ``SILENCE_PER_OBJECTIVE`` times the route's objective, but not before
# these times, for streams and for other answers.
MIN_STREAM_SILENCE_S = 1.0
MIN_ANSWER_SILENCE_S = 0.3
SILENCE_PER_OBJECTIVE = 2.0

log = logs.make_logger("requests")


@dataclasses.dataclass(slots=True)
class Tries:
    """Holds the attempts of one call and the servers not to be tried again."""

    state: retries.CallTries
    budget: retries.RetryBudget
    excluded: frozenset[str] = frozenset()


def _find_silence_s(call: calls.Call, tries: Tries) -> float:
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
    """Holds a backend server's answer and records when its bytes arrive."""

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
    tries: Tries,
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


def _may_repeat(call: calls.Call, tries: Tries) -> bool:
    return (
        call.route.is_repeatable
        and tries.state.runs + 1 < tries.state.max_runs
        and tries.budget.available >= 1.0
    )


async def make_attempt(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    caller_answer: relay.Relay,
    tries: Tries,
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
                lambda: context.placement_state.may_send(
                    backend, trio.current_time()
                ),
            ) as answer:
                note_notice(context, backend, answer.status, answer.headers)
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


def note_notice(
    context: entry_context.EntryContext,
    backend: backends.Backend,
    status: int,
    answer_headers: abc.Mapping[str, str],
) -> None:
    """Record what an answer says of requests that may follow it."""
    notice = headers.decode_notice(status, answer_headers)
    if notice == backends.Notice():
        return
    state = context.placement_state
    if notice.retry_after_s or not state.is_leaving(backend):
        log.info(
            "backend server wants no more requests",
            vm=backend.backend_id,
            reason="leaving" if notice.is_leaving else "pause",
            age_s=notice.retry_after_s,
        )
    state.note_notice(backend, notice, trio.current_time())
