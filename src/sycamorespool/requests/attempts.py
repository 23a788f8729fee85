"""Makes one attempt of a call at a backend server, on a hosted platform.

The request is sent to the server and its answer relayed to the caller::

    attempt = begin_attempt(context, call, backend, tries)
    ended = await run_attempt(context, call, attempt, caller_answer)

A silent attempt is not ended for the sake of another one.  The other one
begins beside it (a hedged request), and the first of them whose answer goes
on takes the lead and ends the others: the silent one with its next bytes,
one beside it with a whole event or a whole answer.  What follows a failed
attempt is decided in :mod:`sycamorespool.requests.attempt_results`.
"""

from collections import abc
import math

import trio

from sycamorespool.backend_servers import streaming_client
from sycamorespool import backends
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions import retries
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.peers import peer_calls
from sycamorespool.platform import headers
from sycamorespool.requests import call_attempts
from sycamorespool.requests import calls
from sycamorespool.requests import relay

# A repeatable request may go to another server after a silence of the longest
# of these, of a multiple of the mean time to the first byte, and of a time for
# streams or for other answers.
SILENCE_PER_OBJECTIVE = 2.0
MIN_STREAM_SILENCE_S = 1.0
MIN_ANSWER_SILENCE_S = 0.3
PEER_SILENCE_FACTOR = 2.5
# A request whose answer has gone on for this long does not end its server.
NEW_ANSWER_S = 0.5

log = logs.make_logger("requests")


def _make_movable(
    call: calls.Call,
    backend: backends.Backend,
    tries: call_attempts.Tries,
    rank: int,
    now_s: float,
) -> call_attempts.MovableAttempt:
    least_s = MIN_STREAM_SILENCE_S if call.is_stream else MIN_ANSWER_SILENCE_S
    silence_s = max(least_s, SILENCE_PER_OBJECTIVE * call.route.objective_s)
    if peer_calls.is_peer(backend):
        # The other entry begins attempts beside silent ones itself.
        silence_s *= PEER_SILENCE_FACTOR
    return call_attempts.MovableAttempt(
        backend,
        trio.CancelScope(),
        tries,
        silence_s,
        now_s,
        call.traits,
        call.prompt_tokens,
        rank,
        rank > call.priority,
    )


def _make_outgoing(
    call: calls.Call,
    movable: call_attempts.MovableAttempt,
    caller_answer: relay.Relay,
) -> streaming_client.OutgoingRequest:
    request, backend, tries = call.request, movable.backend, movable.tries
    last_event = request.resume_after
    if caller_answer.events.count:
        last_event = str(caller_answer.events.last_id)
    left_s = call.end_s - trio.current_time()
    if peer_calls.is_peer(backend):
        passed_on = headers.PassedOn(tries.state.runs, call.version)
        encoded = headers.encode_passed_on(
            request, passed_on, left_s, last_event
        )
    else:
        encoded = headers.encode_request(
            request,
            backend.backend_id,
            call.workspace.name if call.workspace else "",
            movable.rank if request.model else None,
            left_s,
            last_event,
        )
    return streaming_client.OutgoingRequest(
        backend.address,
        request.method,
        request.target,
        encoded,
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
        activity: server_activity.BackendActivity,
        movable: call_attempts.MovableAttempt,
    ) -> None:
        self._answer = answer
        self._activity = activity
        self._movable = movable
        self._held = b""
        self._is_read = False
        self.first_s = 0.0
        self.status = answer.status
        self.headers = answer.headers
        self.joined_headers = answer.joined_headers

    async def read_event(self, is_whole: abc.Callable[[bytes], bool]) -> None:
        """Read ahead until there is a whole event, or to the end.

        Raises
        ------
        BackendCut
            If the stream breaks off or ends within an event.
        """
        while data := await self._read_bytes():
            self._held += data
            if is_whole(self._held):
                return
        if self._held:
            raise exceptions.BackendCut("the stream ends within an event")
        self._is_read = True

    async def read_whole(self, may_hold: abc.Callable[[float], bool]) -> None:
        """Read ahead to the end, or as much as may be held.

        Parameters
        ----------
        may_hold : callable
            Accounts for so many more bytes, if there is room for them.

        Raises
        ------
        BackendCut
            If the answer breaks off before that.
        """
        parts: list[bytes] = []
        size = 0
        has_room = True
        while has_room and size <= relay.MAX_BUFFERED_BYTES:
            data = await self._read_bytes()
            if not data:
                self._is_read = True
                break
            parts.append(data)
            size += len(data)
            has_room = may_hold(len(data))
        self._held = b"".join(parts)

    async def read(self) -> bytes:
        """Return the next bytes of the body, none at the end."""
        if self._held:
            data, self._held = self._held, b""
        else:
            data = b"" if self._is_read else await self._read_bytes()
        if not self._movable.take_lead():
            await trio.sleep_forever()
        return data

    async def _read_bytes(self) -> bytes:
        self._movable.is_waiting = True
        data = await self._answer.read()
        self._movable.is_waiting = False
        now_s = trio.current_time()
        self.first_s = self.first_s or now_s
        self._movable.silent_since_s = now_s
        self._movable.has_begun = True
        server_activity.note_bytes(self._activity, now_s)
        return data

    async def finish(self) -> None:
        """Read the rest of the answer, if it ends soon."""
        await self._answer.finish()


async def _relay(
    call: calls.Call,
    answer: _ObservedAnswer,
    caller_answer: relay.Relay,
    movable: call_attempts.MovableAttempt,
) -> None:
    tries, point = movable.tries, retries.FailurePoint.SENT
    # Another entry has made all attempts that were allowed.
    may_repeat = not peer_calls.is_peer(movable.backend)
    if answer.status >= 500 and (
        tries.has_other(movable)
        or (may_repeat and tries.reserve(point, trio.current_time()))
    ):
        raise exceptions.BackendCut(f"the server answered {answer.status}")
    if answer.status in headers.PROMISES:
        # It says nothing of whether the request was run, but the status would.
        raise exceptions.BackendCut(
            f"status {answer.status} does not say that nothing was run"
        )
    if call.is_stream and answer.status < 300:
        caller_answer.check_start(answer)
        if tries.has_other(movable):
            await answer.read_event(caller_answer.has_next_event)
        await caller_answer.copy_events(answer)
    elif caller_answer.is_started:
        raise exceptions.BackendCut(
            f"the stream was not resumed: status {answer.status}"
        )
    else:
        if tries.has_other(movable):
            await answer.read_whole(caller_answer.may_hold)
        await caller_answer.copy_whole(answer, is_json=False)


def begin_attempt(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    tries: call_attempts.Tries,
) -> call_attempts.MovableAttempt:
    """Return an attempt that is to run now, and count it at its server."""
    activity = context.placement_state.activities[backend.backend_id]
    now_s = trio.current_time()
    load = context.placement_state.find_load(backend.backend_id)
    rank = call.choose_rank(load, now_s)
    context.note_sent(backend, now_s)
    if peer_calls.is_peer(backend):
        context.metrics.count("calls_passed_on")
        log.info(
            "call is passed on",
            request_id=call.request.attempt_id,
            entry=backend.backend_id,
            count=tries.state.tries,
        )
    movable = _make_movable(call, backend, tries, rank, now_s)
    tries.running.append(movable)
    activity.running.add(movable)
    if call.route.is_repeatable:
        activity.movable.add(movable)
    return movable


async def run_attempt(
    context: entry_context.EntryContext,
    call: calls.Call,
    movable: call_attempts.MovableAttempt,
    caller_answer: relay.Relay,
) -> call_attempts.Ended:
    """Run an attempt that was begun and return how it ended."""
    backend, tries = movable.backend, movable.tries
    activity = context.placement_state.activities[backend.backend_id]
    sent_s = movable.silent_since_s
    watched: _ObservedAnswer | None = None
    try:
        with movable.scope:
            async with streaming_client.open_request(
                context.backend_connections,
                _make_outgoing(call, movable, caller_answer),
                math.inf,
                call.end_s,
                lambda: context.placement_state.may_send(
                    backend, trio.current_time()
                ),
            ) as answer:
                server = peer_calls.find_server(
                    context, backend, answer.headers
                )
                if server is not None:
                    note_notice(
                        context, server, answer.status, answer.headers, sent_s
                    )
                activity.refusals = 0
                movable.is_waiting = False
                watched = _ObservedAnswer(answer, activity, movable)
                if call.passed_on is not None:
                    watched.joined_headers = {
                        **answer.joined_headers,
                        **headers.encode_served_by(backend),
                    }
                await _relay(call, watched, caller_answer, movable)
                if not peer_calls.is_peer(backend):
                    first_s = watched.first_s - sent_s
                    context.placement_state.note_ttfb(backend, first_s)
    except exceptions.BackendError as error:
        first_s = watched.first_s if watched else 0.0
        _note_closed(context, call, backend, error, first_s)
        return call_attempts.Ended(movable, error)
    finally:
        tries.running.remove(movable)
        activity.running.discard(movable)
        activity.movable.discard(movable)
        server_activity.end(activity)
    if movable.scope.cancelled_caught:
        given_up = exceptions.BackendCut("the attempt was given up")
        return call_attempts.Ended(movable, given_up)
    return call_attempts.Ended(movable, None)


def give_up_blocked(
    context: entry_context.EntryContext, traits: abc.Set[str]
) -> int:
    """Give up the attempts whose request has one of these traits.

    Their servers have not begun to answer and would end as soon as they do.
    Return their number.
    """
    given_up = 0
    for activity in context.placement_state.activities.values():
        for attempt in activity.running:
            if not attempt.has_begun and not traits.isdisjoint(attempt.traits):
                attempt.give_up()
                given_up += 1
    return given_up


def _note_closed(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    error: exceptions.BackendError,
    first_s: float,
) -> None:
    """Record a request whose server may have ended because of it.

    ``first_s`` is when its answer began, 0 if it did not.
    """
    is_new = not first_s or trio.current_time() - first_s < NEW_ANSWER_S
    is_closed = isinstance(error, exceptions.BackendClosed)
    if is_closed and is_new and not peer_calls.is_peer(backend):
        context.cut_requests.add(backend, call.traits)


def _note_limit(
    context: entry_context.EntryContext,
    backend: backends.Backend,
    notice: backends.Notice,
    sent_s: float,
) -> None:
    if notice.names_limit and notice.limit_per_s is None:
        log.warning(
            "backend server names a limit that is not valid",
            vm=backend.backend_id,
        )
        return
    now_s = entry_context.boot_time_s()
    age_s = trio.current_time() - sent_s
    answer = server_limits.Answer(notice.limit_per_s, now_s - age_s)
    is_new = server_limits.note_answer(
        context.limits, backend.backend_id, backend.started_ms, answer, now_s
    )
    if is_new:
        log.info(
            "limit of backend server changed",
            vm=backend.backend_id,
            places=notice.limit_per_s,
            state="limited" if notice.names_limit else "not limited",
        )


def note_notice(
    context: entry_context.EntryContext,
    backend: backends.Backend,
    status: int,
    answer_headers: abc.Mapping[str, str],
    sent_s: float,
) -> None:
    """Record what an answer says of requests that may follow it.

    ``sent_s`` is when its request was sent.
    """
    notice = headers.decode_notice(status, answer_headers)
    _note_limit(context, backend, notice, sent_s)
    if not (notice.is_leaving or notice.retry_after_s):
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
