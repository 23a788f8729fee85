"""Provides the API for callers, as an ASGI application.

It authenticates a request, finds the service that it is for, runs the call
and answers with the result or with an error in ``problem+json``.
"""

import hashlib
import hmac
import re
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.callers import problems
from sycamorespool.callers import server
from sycamorespool import configuration
from sycamorespool import dispatch
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool.keys import keyed_calls
from sycamorespool import logs
from sycamorespool.requests import relay

COMPLETIONS_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
MODELS_PATH = "/v1/models"
HEALTH_PATHS = ("/healthz", "/readyz")
DEFAULT_PRIORITY = "normal"
REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
REPEATABLE_METHODS = frozenset(("GET", "HEAD"))

log = logs.make_logger("callers")


class Completion(msgspec.Struct):
    """Holds the fields of a completion request that the system reads."""

    model: str
    messages: t.Annotated[list[dict[str, object]], msgspec.Meta(min_length=1)]
    stream: bool = False


def hash_key(key: str) -> str:
    """Return the digest of an API key, in the form of ``key_hashes``."""
    return hashlib.sha256(key.encode()).hexdigest()


def _find_workspace(
    config: configuration.Configuration, headers: dict[str, str]
) -> str:
    scheme, _, key = headers.get("authorization", "").partition(" ")
    digest = hash_key(key)
    matching = ""
    # All hashes are compared, so that the time taken does not reveal a key.
    for name, workspace in config.workspaces.items():
        for key_hash in workspace.key_hashes:
            if hmac.compare_digest(digest, key_hash):
                matching = name
    if scheme.lower() != "bearer" or not matching:
        raise exceptions.NotRun("unknown_key", "unknown API key", 401)
    return matching


def _find_priority(headers: dict[str, str]) -> str:
    priority = headers.get("x-priority", DEFAULT_PRIORITY)
    if priority not in configuration.PRIORITIES:
        raise exceptions.NotRun(
            "bad_priority",
            f"x-priority must be one of {configuration.PRIORITIES}",
            400,
        )
    return priority


def _decode_completion(body: bytes) -> Completion:
    try:
        return msgspec.json.decode(body, type=Completion)
    except msgspec.ValidationError as error:
        raise exceptions.NotRun("bad_request", str(error), 400) from error
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise exceptions.NotRun("bad_json", str(error), 400) from error


def _find_service(
    config: configuration.Configuration, name: str, kind: str
) -> configuration.Service:
    service = config.services.get(name)
    if service is None or service.kind != kind:
        raise exceptions.NotRun(
            "unknown_service", f"no {kind} service {name!r}", 404
        )
    return service


def _matches(route: configuration.Route, method: str, path: str) -> bool:
    prefix = f"{route.path.rstrip('/')}/"
    is_match = path == route.path or path.startswith(prefix)
    return is_match and method == route.method


def _is_idempotent(
    service: configuration.Service, method: str, path: str
) -> bool:
    routes = [r for r in service.routes if _matches(r, method, path)]
    if not routes:
        return method in REPEATABLE_METHODS
    return max(routes, key=lambda route: len(route.path)).idempotent


def _split_service(path: str) -> tuple[str, str]:
    service, _, rest = path[len(SERVICES_PREFIX) :].partition("/")
    if ".." in rest.split("/"):
        raise exceptions.NotRun("bad_path", "the path contains a '..'", 400)
    return service, f"/{rest}"


def find_request_id(request: asgi.Request) -> str:
    """Return the caller's request id if it is valid, or else a new one."""
    caller_id = request.headers.get(relay.REQUEST_ID_HEADER, "")
    return (
        caller_id if REQUEST_ID.fullmatch(caller_id) else environment.make_id()
    )


def make_call(
    config: configuration.Configuration,
    request: asgi.Request,
    request_id: str,
) -> dispatch.Call:
    """Validate a caller's request and return its call.

    Raises
    ------
    NotRun
        If the request is not valid; the error says why.
    """
    workspace = _find_workspace(config, request.headers)
    priority = _find_priority(request.headers)
    is_stream = False
    is_completion = request.path == COMPLETIONS_PATH
    if is_completion and request.method == "POST":
        completion = _decode_completion(request.body)
        _find_service(config, completion.model, "model")
        service, target, is_idempotent = completion.model, request.path, True
        is_stream = completion.stream
    elif request.path.startswith(SERVICES_PREFIX):
        service, path = _split_service(request.path)
        plain = _find_service(config, service, "plain")
        is_idempotent = _is_idempotent(plain, request.method, path)
        target = _split_service(request.target)[1]
    else:
        raise exceptions.NotRun(
            "not_found", f"no {request.method} {request.path}", 404
        )
    return dispatch.Call(
        request_id,
        workspace,
        priority,
        service,
        request.method,
        target,
        request.body,
        request.headers.get("content-type", asgi.JSON_TYPE),
        is_idempotent,
        is_completion,
        is_stream,
        "" if is_idempotent else keyed_calls.find_key(request.headers),
    )


def list_models(config: configuration.Configuration) -> asgi.Response:
    """Return the model services, in the form of the OpenAI models API."""
    models = [
        {"id": name, "object": "model", "owned_by": "sycamorespool"}
        for name, service in sorted(config.services.items())
        if service.kind == "model"
    ]
    return asgi.answer_json({"object": "list", "data": models})


def _check_length(request: asgi.Request, limit_bytes: int) -> None:
    length = request.headers.get("content-length", "0")
    if int(length) > limit_bytes:
        raise asgi.BodyTooLarge


class CallersApp:
    """Serves callers, as an ASGI application.

    ``keyed`` runs calls with an idempotency key; without it they are
    refused.
    """

    def __init__(
        self,
        env: environment.Environment,
        keyed: keyed_calls.KeyedCalls | None = None,
    ) -> None:
        self._env = env
        self._keyed = keyed

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request, or the events of the application's lifespan."""
        if scope["type"] == "lifespan":
            await asgi.handle_lifespan(receive, send)
            return
        if scope["path"] in HEALTH_PATHS:
            is_healthy = scope["path"] == "/healthz" or self._env.is_ready
            status = 200 if is_healthy else 503
            await asgi.send_response(send, asgi.Response(status))
            return
        self._env.requests_open += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._env.close_request()

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        head = asgi.make_request(scope)
        caller_answer = relay.Relay(send, find_request_id(head))
        started_s = trio.current_time()
        try:
            if not self._env.accepts():
                raise exceptions.NotRun(
                    "not_ready", "the entry is not ready", retry_after_s=1.0
                )
            body = await self._read_body(head, receive)
            request = asgi.make_request(scope, body)
            if (request.method, request.path) == ("GET", MODELS_PATH):
                config = self._env.fleet.config
                _find_workspace(config, request.headers)
                await caller_answer.answer(list_models(config))
                return
            call = make_call(
                self._env.fleet.config, request, caller_answer.request_id
            )
            await self._run(call, receive, caller_answer)
            self._count_served(call, started_s, caller_answer)
        except asgi.CallerGone:
            return
        except exceptions.CallerStalled as error:
            raise asgi.AnswerCut from error
        except (exceptions.NotRun, exceptions.OutcomeUnknown) as error:
            await self._refuse(error, caller_answer)

    async def _read_body(
        self, head: asgi.Request, receive: asgi.Receive
    ) -> bytes:
        limits = self._env.settings.limits
        try:
            _check_length(head, limits.max_body_bytes)
            with trio.fail_after(limits.body_timeout_s):
                return await asgi.read_body(receive, limits.max_body_bytes)
        except asgi.BodyTooLarge as error:
            detail = f"the limit is {limits.max_body_bytes} bytes"
            raise exceptions.NotRun("body_too_large", detail, 413) from error
        except trio.TooSlowError as error:
            detail = (
                f"the body was not complete within {limits.body_timeout_s:g} s"
            )
            raise exceptions.NotRun("body_timeout", detail, 408) from error

    async def _run(
        self,
        call: dispatch.Call,
        receive: asgi.Receive,
        caller_answer: relay.Relay,
    ) -> None:
        if call.key:
            await self._run_keyed(call, caller_answer)
            return
        if not call.is_idempotent:
            # It runs to its end even if the caller disconnects, as giving it
            # up would leave its outcome unknown.
            await dispatch.run_call(self._env, call, caller_answer)
            return

        async def run(nursery: trio.Nursery) -> None:
            await dispatch.run_call(self._env, call, caller_answer)

        await relay.run_while_present(run, receive, caller_answer)

    async def _run_keyed(
        self, call: dispatch.Call, caller_answer: relay.Relay
    ) -> None:
        if self._keyed is None:
            raise exceptions.NotRun(
                "no_keys", "this entry does not keep idempotency keys"
            )
        answer = await keyed_calls.run_keyed_call(self._keyed, call)
        await caller_answer.answer(answer)

    async def _refuse(
        self,
        error: exceptions.NotRun | exceptions.OutcomeUnknown,
        caller_answer: relay.Relay,
    ) -> None:
        self._count_failed(error)
        if not caller_answer.is_started:
            await caller_answer.answer(problems.make_problem(error))
            return
        log.warning(
            "answer broke off",
            request_id=caller_answer.request_id,
            code=error.code,
            count=caller_answer.events.count,
        )
        problem = msgspec.json.encode(problems.describe(error))
        await caller_answer.send_last_error(problem)
        raise asgi.AnswerCut from error

    def _count_served(
        self, call: dispatch.Call, started_s: float, caller_answer: relay.Relay
    ) -> None:
        metrics = self._env.metrics
        labels = (call.workspace, call.priority)
        metrics.count("requests_served", *labels)
        first_token_s = caller_answer.first_s - started_s
        metrics.observe("first_token_s", first_token_s, *labels)
        metrics.observe_stream(
            caller_answer.first_s,
            caller_answer.last_s,
            caller_answer.chunks,
            *labels,
        )

    def _count_failed(
        self, error: exceptions.NotRun | exceptions.OutcomeUnknown
    ) -> None:
        was_not_run = isinstance(error, exceptions.NotRun)
        name = (
            "requests_not_run" if was_not_run else "requests_outcome_unknown"
        )
        self._env.metrics.count(name, error.code)


async def serve(
    env: environment.Environment,
    stop: trio.Event,
    keyed: keyed_calls.KeyedCalls | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the API for callers until ``stop`` is set.

    The task status is the address that was bound.
    """
    settings = env.settings
    await server.serve(
        CallersApp(env, keyed),
        settings.listen.callers,
        settings.limits,
        stop,
        task_status=task_status,
    )
