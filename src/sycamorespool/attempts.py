"""Makes one attempt of a call at a backend server, on a hosted platform.

The request is sent to the server and its answer relayed to the caller::

    ended = await make_attempt(context, call, backend, caller_answer, tries)

A silent attempt is not ended for the sake of another one.  The other one
begins beside it (a hedged request), and the first of them whose answer goes
on takes the lead and ends the others.  What follows a failed attempt is
decided in :mod:`sycamorespool.forwarding`.
"""

from collections import abc
import dataclasses
import math

import trio

from sycamorespool.backend_servers import streaming_client
from sycamorespool import backends
from sycamorespool import calls
from sycamorespool.decisions import fatal_traits
from sycamorespool.decisions import retries
from sycamorespool.decisions import server_activity
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.platform import headers
from sycamorespool import relay

# A repeatable request may go to another server after a silence of the longest
# of these: a multiple of the route's objective, a multiple of the mean time to
# the first byte (TTFB), and a time for streams or for other answers.
SILENCE_PER_OBJECTIVE = 2.0
SILENCE_PER_TTFB = 4.0
MIN_STREAM_SILENCE_S = 1.0
MIN_ANSWER_SILENCE_S = 0.3
# A request whose answer has gone on for this long does not end its server.
NEW_ANSWER_S = 0.5

log = logs.make_logger("requests")


@dataclasses.dataclass(slots=True)
class Tries:
    """Holds the attempts of one call and the servers not to be tried again.

    Parameters
    ----------
    running : list of MovableAttempt
        The attempts that run beside each other.
    begin_beside : callable
        Begins another attempt beside a silent one; tells whether it did.
    ended : list of Ended
        The last attempt that ended, if it ran beside another one.
    """

    state: retries.CallTries
    budget: retries.RetryBudget
    excluded: frozenset[str] = frozenset()
    running: list["MovableAttempt"] = dataclasses.field(default_factory=list)
    begin_beside: abc.Callable[["MovableAttempt", float], bool] = (
        lambda attempt, now_s: False
    )
    ended: list["Ended"] = dataclasses.field(default_factory=list)
    _has_ended: trio.Event = dataclasses.field(default_factory=trio.Event)

    def reserve(self, point: retries.FailurePoint, now_s: float) -> bool:
        """Reserve the attempt that is to follow one that still runs."""
        return retries.reserve(self.state, point, self.budget, now_s)

    def has_other(self, attempt: "MovableAttempt") -> bool:
        """Tell whether another attempt runs beside this one."""
        return any(other is not attempt for other in self.running)

    def list_unusable(self) -> frozenset[str]:
        """Return the servers that a further attempt must not be sent to."""
        return self.excluded | {a.backend.backend_id for a in self.running}

    def note_last_ended(self, ended: "Ended") -> None:
        """Record the end of the last attempt, which ran beside another."""
        self.ended.append(ended)
        self._has_ended.set()

    async def wait_for_last(self) -> "Ended":
        """Wait until no attempt runs, and return how the last one ended."""
        await self._has_ended.wait()
        self._has_ended = trio.Event()
        return self.ended.pop()


@dataclasses.dataclass(slots=True, eq=False)
class MovableAttempt:
    """Holds a running attempt beside which another one may begin.

    Parameters
    ----------
    scope : trio.CancelScope
        Scope of the attempt.
    silence_s : float
        Least silence after which another one may begin, apart from the TTFB.
    silent_since_s : float
        When the last byte for it came, or when it was sent.
    traits : tuple of str
        The parts of its prompt, and its identity.
    is_waiting : bool
        Whether it waits for the server.  While it waits for the caller to
        read, part of an event may be on its way, so it cannot be moved.
    has_begun : bool
        Whether a byte of its answer has come.
    is_replaced : bool
        Whether another attempt has begun beside it and still runs.
    is_counted : bool
        Whether it counts among the attempts of its call already.
    is_overtaken : bool
        Whether it was ended as the answer of an attempt beside it went on.
    """

    backend: backends.Backend
    scope: trio.CancelScope
    tries: Tries
    silence_s: float
    silent_since_s: float
    traits: fatal_traits.Traits = ()
    is_waiting: bool = True
    has_begun: bool = False
    is_replaced: bool = False
    is_counted: bool = False
    is_overtaken: bool = False

    def is_overdue(self, mean_ttfb_s: float, now_s: float) -> bool:
        """Tell whether nothing came for longer than a server needs."""
        limit_s = max(self.silence_s, SILENCE_PER_TTFB * mean_ttfb_s)
        return now_s - self.silent_since_s > limit_s

    def try_move(self, now_s: float) -> bool:
        """Begin another attempt beside this one; tell whether it began."""
        if not self.is_waiting or self.is_replaced:
            return False
        self.is_replaced = self.tries.begin_beside(self, now_s)
        return self.is_replaced

    def take_lead(self) -> bool:
        """End the attempts beside this one, as its own answer goes on.

        Return whether this one is still to go on itself.
        """
        if self.is_overtaken:
            return False
        self.is_replaced = False
        for other in self.tries.running:
            if other is not self:
                other.is_overtaken = True
                other.scope.cancel()
        return True

    def give_up(self) -> None:
        """Cancel the attempt, as its server will not answer any more.

        Without another attempt beside it, the caller gets its final answer
        at once and may come back.
        """
        if self.is_waiting:
            self.scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Holds how an attempt ended.

    Parameters
    ----------
    error : BackendError or None
        Why it failed, None if it was answered.
    """

    attempt: MovableAttempt
    error: exceptions.BackendError | None


def _make_movable(
    call: calls.Call, backend: backends.Backend, tries: Tries, now_s: float
) -> MovableAttempt:
    least_s = MIN_STREAM_SILENCE_S if call.is_stream else MIN_ANSWER_SILENCE_S
    silence_s = max(least_s, SILENCE_PER_OBJECTIVE * call.route.objective_s)
    return MovableAttempt(
        backend, trio.CancelScope(), tries, silence_s, now_s, call.traits
    )


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
        activity: server_activity.BackendActivity,
        movable: MovableAttempt,
    ) -> None:
        self._answer = answer
        self._activity = activity
        self._movable = movable
        self._first: bytes | None = None
        self.first_s = 0.0
        self.status = answer.status
        self.headers = answer.headers

    async def wait_for_first(self) -> None:
        """Wait for the first bytes of the body and take the lead."""
        self._first = await self.read()

    async def read(self) -> bytes:
        """Return the next bytes of the body, none at the end."""
        if self._first is not None:
            first, self._first = self._first, None
            return first
        self._movable.is_waiting = True
        data = await self._answer.read()
        self._movable.is_waiting = False
        now_s = trio.current_time()
        self.first_s = self.first_s or now_s
        self._movable.silent_since_s = now_s
        self._movable.has_begun = True
        server_activity.note_bytes(self._activity, now_s)
        if not self._movable.take_lead():
            await trio.sleep_forever()
        return data

    async def finish(self) -> None:
        """Read the rest of the answer, if it ends soon."""
        await self._answer.finish()


async def _relay(
    call: calls.Call,
    answer: _ObservedAnswer,
    caller_answer: relay.Relay,
    movable: MovableAttempt,
) -> None:
    tries, point = movable.tries, retries.FailurePoint.SENT
    if answer.status >= 500 and (
        tries.has_other(movable) or tries.reserve(point, trio.current_time())
    ):
        raise exceptions.BackendCut(f"the server answered {answer.status}")
    if call.is_stream and answer.status < 300:
        caller_answer.check_start(answer)
        await answer.wait_for_first()
        await caller_answer.copy_events(answer)
    elif caller_answer.is_started:
        raise exceptions.BackendCut(
            f"the stream was not resumed: status {answer.status}"
        )
    else:
        await answer.wait_for_first()
        await caller_answer.copy_whole(answer, is_json=False)


async def make_attempt(
    context: entry_context.EntryContext,
    call: calls.Call,
    backend: backends.Backend,
    caller_answer: relay.Relay,
    tries: Tries,
) -> Ended:
    """Make one attempt and return how it ended."""
    activity = context.placement_state.activities[backend.backend_id]
    sent_s = trio.current_time()
    context.note_sent(backend, sent_s)
    movable = _make_movable(call, backend, tries, sent_s)
    tries.running.append(movable)
    activity.running.add(movable)
    if call.route.is_repeatable:
        activity.movable.add(movable)
    watched: _ObservedAnswer | None = None
    try:
        with movable.scope:
            async with streaming_client.open_request(
                context.backend_connections,
                _make_outgoing(call, backend, caller_answer),
                math.inf,
                call.end_s,
                lambda: context.placement_state.may_send(
                    backend, trio.current_time()
                ),
            ) as answer:
                note_notice(context, backend, answer.status, answer.headers)
                activity.refusals = 0
                movable.is_waiting = False
                watched = _ObservedAnswer(answer, activity, movable)
                await _relay(call, watched, caller_answer, movable)
                first_s = watched.first_s - sent_s
                context.placement_state.note_ttfb(backend, first_s)
    except exceptions.BackendError as error:
        first_s = watched.first_s if watched else 0.0
        _note_closed(context, call, backend, error, first_s)
        return Ended(movable, error)
    finally:
        tries.running.remove(movable)
        activity.running.discard(movable)
        activity.movable.discard(movable)
        server_activity.end(activity)
    if movable.scope.cancelled_caught:
        given_up = exceptions.BackendCut("the attempt was given up")
        return Ended(movable, given_up)
    return Ended(movable, None)


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
    if is_closed and is_new:
        context.cut_requests.add(backend, call.traits)


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
