"""The API that callers use."""

import hashlib
import hmac

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import configuration
from sycamorespool import dispatch
from sycamorespool import environment
from sycamorespool import exceptions

COMPLETIONS_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
DEFAULT_PRIORITY = "normal"


class Completion(msgspec.Struct):
    """What the system reads of a completion request."""

    model: str
    messages: list[dict[str, object]]
    stream: bool = False


class Problem(msgspec.Struct, omit_defaults=True):
    """Body of an error answer (RFC 9457)."""

    type: str
    title: str
    status: int
    code: str
    outcome: str
    detail: str = ""


def make_problem(
    error: exceptions.NotRun | exceptions.OutcomeUnknown,
) -> asgi.Response:
    """Return the error answer that tells whether the request was run."""
    is_run_excluded = isinstance(error, exceptions.NotRun)
    outcome = "not run" if is_run_excluded else "outcome unknown"
    problem = Problem(
        f"urn:sycamorespool:{error.code}",
        error.code.replace("_", " "),
        error.status,
        error.code,
        outcome,
        error.detail,
    )
    headers = {}
    retry_after_s = getattr(error, "retry_after_s", None)
    if retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(retry_after_s)))
    return asgi.Response(
        error.status,
        msgspec.json.encode(problem),
        asgi.PROBLEM_TYPE,
        headers,
    )


def hash_key(key: str) -> str:
    """Return the digest of an API key that the configuration holds."""
    return hashlib.sha256(key.encode()).hexdigest()


def _find_workspace(
    config: configuration.Configuration, headers: dict[str, str]
) -> str:
    scheme, _, key = headers.get("authorization", "").partition(" ")
    digest = hash_key(key)
    found = ""
    # All hashes are compared, so that the time taken tells nothing.
    for name, workspace in config.workspaces.items():
        for key_hash in workspace.key_hashes:
            if hmac.compare_digest(digest, key_hash):
                found = name
    if scheme.lower() != "bearer" or not found:
        raise exceptions.NotRun("unknown_key", "unknown API key", 401)
    return found


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
    except msgspec.DecodeError as error:
        raise exceptions.NotRun("bad_request", str(error), 400) from error


def _find_service(
    config: configuration.Configuration, name: str, kind: str
) -> configuration.Service:
    service = config.services.get(name)
    if service is None or service.kind != kind:
        raise exceptions.NotRun(
            "unknown_service", f"no {kind} service {name!r}", 404
        )
    return service


def _is_idempotent(
    service: configuration.Service, method: str, path: str
) -> bool:
    for route in service.routes:
        if route.method == method and path.startswith(route.path):
            return route.idempotent
    return method == "GET"


def make_call(
    config: configuration.Configuration, request: asgi.Request
) -> dispatch.Call:
    """Turn a caller's request into a call.

    Raises
    ------
    NotRun
        If the request is not acceptable; the error says why.
    """
    workspace = _find_workspace(config, request.headers)
    priority = _find_priority(request.headers)
    request_id = request.headers.get("x-request-id", environment.make_id())
    if request.path == COMPLETIONS_PATH and request.method == "POST":
        completion = _decode_completion(request.body)
        _find_service(config, completion.model, "model")
        service, path, is_idempotent = completion.model, request.path, True
    elif request.path.startswith(SERVICES_PREFIX):
        service, _, rest = request.path[len(SERVICES_PREFIX) :].partition("/")
        path = f"/{rest}"
        plain = _find_service(config, service, "plain")
        is_idempotent = _is_idempotent(plain, request.method, path)
    else:
        raise exceptions.NotRun("not_found", f"no {request.path}", 404)
    return dispatch.Call(
        request_id,
        workspace,
        priority,
        service,
        request.method,
        path,
        request.body,
        request.headers.get("content-type", asgi.JSON_TYPE),
        is_idempotent,
    )


async def _relay(answer: dispatch.Answer, send: asgi.Send) -> None:
    content_type = answer.headers.get("content-type", asgi.JSON_TYPE)
    is_stream = content_type == "text/event-stream"
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": asgi.encode_headers(content_type, {}),
        }
    )
    tail = b""
    async for chunk in answer.chunks:
        tail = (tail + chunk)[-64:]
        await send(
            {
                "type": "http.response.body",
                "body": chunk,
                "more_body": True,
            }
        )
    if is_stream and dispatch.STREAM_END not in tail:
        raise exceptions.BackendCut("the stream has no last event")
    await send({"type": "http.response.body", "body": b""})


class CallersApp:
    """The ASGI application towards callers."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await asgi.handle_lifespan(receive, send)
            return
        if scope["path"] == "/readyz":
            status = 200 if self._env.is_ready else 503
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
        limit_bytes = self._env.settings.limits.max_body_bytes
        try:
            if not self._env.is_ready:
                raise exceptions.NotRun(
                    "not_ready", "entry is not ready", retry_after_s=1.0
                )
            body = await asgi.read_body(receive, limit_bytes)
            request = asgi.read_head(scope, body)
            call = make_call(self._env.fleet.config, request)
            async with dispatch.open_call(self._env, call) as answer:
                await _relay(answer, send)
        except asgi.CallerGone:
            return
        except asgi.BodyTooLarge:
            error = exceptions.NotRun(
                "body_too_large", f"the limit is {limit_bytes} bytes", 413
            )
            await asgi.send_response(send, make_problem(error))
        except (exceptions.NotRun, exceptions.OutcomeUnknown) as error:
            await asgi.send_response(send, make_problem(error))


async def serve(env: environment.Environment, stop: trio.Event) -> None:
    """Serve callers until ``stop`` is set."""
    await asgi.serve(CallersApp(env), env.settings.listen.callers, stop)
