"""The application that callers reach on a hosted platform."""

import dataclasses
import functools

import trio

from sycamorespool import asgi
from sycamorespool import calls
from sycamorespool import event_ids
from sycamorespool import exceptions
from sycamorespool import forwarding
from sycamorespool import inbound
from sycamorespool import logs
from sycamorespool.platform import headers
from sycamorespool import relay
from sycamorespool import router as routers

MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_S = 10.0

log = logs.make_logger("requests")


class CallersApp:
    """The ASGI application that callers reach."""

    def __init__(self, router: routers.Router) -> None:
        self._router = router

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        self._router.requests_open += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._router.close_request()

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        router = self._router
        arrived_s = trio.current_time()
        target = asgi.read_head(scope).target
        own = {"connection": "close"} if router.is_stopping else {}
        passed = relay.Relay(
            send, "", event_ids.EventIds(), own, headers.carry_answer
        )
        request = headers.decode_request(
            scope["method"], target, scope["headers"], b""
        )
        try:
            body = await _read_body(receive)
            request = dataclasses.replace(request, body=body)
            call = calls.find_call(router, request, arrived_s)
            await self._run(call, receive, passed)
            self._count_served(call, passed)
        except asgi.CallerGone:
            log.info("caller left", request_id=request.attempt_id)
        except exceptions.CallerStalled as error:
            log.warning("caller stalled", request_id=request.attempt_id)
            raise asgi.AnswerCut from error
        except (exceptions.NotRun, exceptions.OutcomeUnknown) as error:
            await self._refuse(error, request, passed, arrived_s)

    async def _run(
        self, call: calls.Call, receive: asgi.Receive, passed: relay.Relay
    ) -> None:
        if not call.route.is_repeatable:
            # It runs to its end even if the caller leaves, so that its
            # outcome does not become unknown by that.
            await forwarding.run_call(self._router, call, passed)
            return
        run = functools.partial(
            forwarding.run_call, self._router, call, passed
        )
        await relay.run_while_present(run, receive, passed)

    async def _refuse(
        self,
        error: exceptions.NotRun | exceptions.OutcomeUnknown,
        request: inbound.Inbound,
        passed: relay.Relay,
        arrived_s: float,
    ) -> None:
        is_unrun = isinstance(error, exceptions.NotRun)
        name = "requests_not_run" if is_unrun else "requests_outcome_unknown"
        self._router.metrics.count(name, error.code)
        log.warning(
            "not answered",
            request_id=request.attempt_id,
            outcome="not run" if is_unrun else "unknown",
            code=error.code,
            status=error.status,
            version=self._router.table.version if self._router.table else 0,
            age_s=trio.current_time() - arrived_s,
            count=passed.events.count,
        )
        if passed.is_begun:
            raise asgi.AnswerCut from error
        retry_after_s = getattr(error, "retry_after_s", None)
        extra = {}
        if retry_after_s is not None:
            extra["retry-after"] = f"{retry_after_s:.2f}"
        await passed.answer(
            asgi.Response(
                error.status,
                f"{error.code}: {error.detail}\n".encode(),
                "text/plain",
                extra,
            )
        )

    def _count_served(self, call: calls.Call, passed: relay.Relay) -> None:
        metrics = self._router.metrics
        workspace = call.workspace.name if call.workspace else ""
        labels = (workspace, str(call.priority))
        metrics.count("requests_served", *labels)
        first_s = passed.first_s - call.arrived_s
        metrics.observe("first_token_s", first_s, *labels)
        metrics.observe_stream(
            passed.first_s, passed.last_s, passed.chunks, *labels
        )


async def _read_body(receive: asgi.Receive) -> bytes:
    try:
        with trio.fail_after(BODY_TIMEOUT_S):
            return await asgi.read_body(receive, MAX_BODY_BYTES)
    except asgi.BodyTooLarge as error:
        raise exceptions.NotRun(
            "body_too_large", "the body is too long", 413
        ) from error
    except trio.TooSlowError as error:
        raise exceptions.NotRun(
            "body_timeout", "the body did not come in time", 408
        ) from error
