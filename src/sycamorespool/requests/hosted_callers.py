"""Serves the requests of callers on a hosted platform."""

import dataclasses
import functools

import trio

from sycamorespool import asgi
from sycamorespool.decisions import stopping
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.peers import peer_calls
from sycamorespool.platform import headers
from sycamorespool import request_limits
from sycamorespool.requests import caller_request
from sycamorespool.requests import calls
from sycamorespool.requests import event_ids
from sycamorespool.requests import forwarding
from sycamorespool.requests import relay

# A process that starts reads its state in far less than this, unless the store
# is down; then other entries may serve the request.
STATE_WAIT_S = 0.5

log = logs.make_logger("requests")


class CallersApp:
    """Serves callers as an ASGI application.

    Parameters
    ----------
    serves_peers : bool
        Whether it serves the calls that other entries pass on instead.
    """

    def __init__(
        self,
        context: entry_context.EntryContext,
        serves_peers: bool = False,
    ) -> None:
        self._context = context
        self._serves_peers = serves_peers
        self._open = 0

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        self._context.requests_open += 1
        self._open += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._open -= 1
            self._context.close_request()

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        context = self._context
        arrived_s = trio.current_time()
        target = asgi.find_target(scope)
        events = event_ids.EventIdTracker()
        caller_answer = relay.Relay(
            send,
            "",
            events,
            {},
            headers.select_peer_headers
            if self._serves_peers
            else headers.select_answer_headers,
            scope["extensions"][asgi.MAY_HOLD]["may_hold"],
        )
        request = headers.decode_request(
            scope["method"], target, scope["headers"], b""
        )
        try:
            await self._wait_for_state()
            # What is refused is not read into memory.
            self._check_time(calls.match(context, request), request)
            body = await self._read_body(scope, receive)
            request = dataclasses.replace(request, body=body)
            call = calls.find_call(context, request, arrived_s)
            if self._serves_peers:
                call = self._accept_passed_on(call, scope)
            events.resume_after(request.resume_after, call.route.is_resumable)
            await self._run(call, receive, caller_answer)
            self._count_served(call, caller_answer)
        except asgi.CallerGone:
            log.info(
                "caller disconnected before the answer was complete",
                request_id=request.attempt_id,
            )
        except exceptions.CallerStalled as error:
            log.warning(
                "caller does not read its answer, connection closed",
                request_id=request.attempt_id,
            )
            raise asgi.AnswerCut from error
        except (exceptions.NotRun, exceptions.OutcomeUnknown) as error:
            await self._refuse(error, request, caller_answer, arrived_s)

    def _check_time(
        self, found: calls.Match, request: caller_request.CallerRequest
    ) -> None:
        """Check that a request can end before the entry stops.

        Raises
        ------
        NotRun
            If it is expected to take longer.
        """
        limit_s = min(request.deadline_s, found.route.timeout_s)
        now_s = trio.current_time()
        if not self._context.may_begin(found.route, limit_s, now_s):
            raise calls.make_stopping_refusal()

    async def _wait_for_state(self) -> None:
        """Wait a moment for what a process that has just started reads."""
        if not self._context.state_read.is_set():
            with trio.move_on_after(STATE_WAIT_S):
                await self._context.state_read.wait()

    async def _read_body(
        self, scope: asgi.Scope, receive: asgi.Receive
    ) -> bytes:
        limits = request_limits.find(self._context)
        limit_bytes = limits.max_body_bytes
        try:
            if asgi.find_length(scope) > limit_bytes:
                raise asgi.BodyTooLarge
            with trio.fail_after(limits.body_timeout_s):
                return await asgi.read_body(receive, limit_bytes)
        except asgi.BodyTooLarge as error:
            raise exceptions.NotRun(
                "body_too_large", f"the limit is {limit_bytes} bytes", 413
            ) from error
        except trio.TooSlowError as error:
            raise exceptions.NotRun(
                "body_timeout", "the request body did not arrive in time", 408
            ) from error

    def _accept_passed_on(
        self, call: calls.Call, scope: asgi.Scope
    ) -> calls.Call:
        """Return a call with what the entry told that passed it on.

        Raises
        ------
        NotRun
            If this entry takes no more calls of others, or has an older
            configuration than the one by which the call was accepted.
        """
        passed_on = headers.decode_passed_on(scope["headers"])
        is_full = self._open > peer_calls.MAX_OPEN
        if is_full or self._context.is_stopping:
            raise exceptions.NotRun(
                "not_ready", "the entry takes no more calls of other entries"
            )
        if passed_on.version > call.version:
            raise exceptions.NotRun(
                "config_too_old", "the other entry has a newer configuration"
            )
        return dataclasses.replace(call, passed_on=passed_on)

    async def _run(
        self,
        call: calls.Call,
        receive: asgi.Receive,
        caller_answer: relay.Relay,
    ) -> None:
        began_s = trio.current_time()
        try:
            await self._run_to_end(call, receive, caller_answer)
        except exceptions.OutcomeUnknown:
            self._note_duration(call, began_s)
            raise
        self._note_duration(call, began_s)

    def _note_duration(self, call: calls.Call, began_s: float) -> None:
        now_s = trio.current_time()
        stopping.note_duration(
            self._context.durations, call.route.name, now_s - began_s, now_s
        )

    async def _run_to_end(
        self,
        call: calls.Call,
        receive: asgi.Receive,
        caller_answer: relay.Relay,
    ) -> None:
        if not call.route.is_repeatable:
            # It runs to its end even if the caller disconnects, as giving it
            # up would leave its outcome unknown.
            await forwarding.run_call(self._context, call, caller_answer)
            return
        run = functools.partial(
            forwarding.run_call, self._context, call, caller_answer
        )
        await relay.run_while_present(run, receive, caller_answer)

    async def _refuse(
        self,
        error: exceptions.NotRun | exceptions.OutcomeUnknown,
        request: caller_request.CallerRequest,
        caller_answer: relay.Relay,
        arrived_s: float,
    ) -> None:
        is_unrun = isinstance(error, exceptions.NotRun)
        name = "requests_not_run" if is_unrun else "requests_outcome_unknown"
        if not self._serves_peers:
            self._context.metrics.count(name, error.code)
        log.warning(
            "refused or cut",
            request_id=request.attempt_id,
            outcome="not run" if is_unrun else "unknown",
            code=error.code,
            status=error.status,
            version=self._context.table.version if self._context.table else 0,
            age_s=trio.current_time() - arrived_s,
            count=caller_answer.events.count,
        )
        if caller_answer.is_started:
            raise asgi.AnswerCut from error
        retry_after_s = getattr(error, "retry_after_s", None)
        extra = {}
        if retry_after_s is not None:
            extra["retry-after"] = f"{retry_after_s:.2f}"
        if self._serves_peers:
            extra[headers.ATTEMPT] = request.attempt_id
            if is_unrun:
                extra[headers.NOT_RUN] = "1"
        await caller_answer.answer(
            asgi.Response(
                error.status,
                f"{error.code}: {error.detail}\n".encode(),
                "text/plain",
                extra,
            )
        )

    def _count_served(
        self, call: calls.Call, caller_answer: relay.Relay
    ) -> None:
        if self._serves_peers:
            # The entry that passed it on counts it.
            return
        metrics = self._context.metrics
        workspace = call.workspace.name if call.workspace else ""
        labels = (workspace, str(call.priority))
        metrics.count("requests_served", *labels)
        first_s = caller_answer.first_s - call.arrived_s
        metrics.observe("first_token_s", first_s, *labels)
        metrics.observe_stream(
            caller_answer.first_s,
            caller_answer.last_s,
            caller_answer.chunks,
            *labels,
        )
