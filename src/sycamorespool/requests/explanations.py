"""Explains where a request would go now, without sending it.

The functions that place requests decide here, too, so that an explanation
cannot differ from what happens::

    explained = explain(context, Question("shop.example", "/drafts/1"))
    explained.chosen  # "i-7"
"""

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import backends
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import engine_load
from sycamorespool.decisions.placing import placement
from sycamorespool import decoding
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool.requests import caller_request
from sycamorespool.requests import calls
from sycamorespool.requests import forwarding
from sycamorespool.requests import limited_calls

PATH = "/explain"
DEADLINE_S = 10.0


class Question(msgspec.Struct, frozen=True):
    """Describes a request that is not to be sent.

    Parameters
    ----------
    key : str
        API key of the caller, empty on a public route.
    prompt_parts : tuple of str
        Ids of the parts of the prompt in order.
    deadline_s : float
        How long the caller would wait.
    """

    host: str
    path: str
    method: str = "POST"
    key: str = ""
    model: str = ""
    prompt_tokens: decoding.Count = 0
    answer_tokens: decoding.Count = 0
    prompt_parts: tuple[str, ...] = ()
    deadline_s: decoding.Amount = DEADLINE_S


class CandidateView(msgspec.Struct, frozen=True):
    """Describes a server of the request's service and model.

    Parameters
    ----------
    requests : float
        Requests of all entries there, as far as they are known.
    first_token_s : float or None
        Predicted time until the answer begins; None without times.
    obstacle : str
        What keeps the request from it now, empty if nothing does.
    """

    server: str
    data_centre: str
    group: str
    requests: float
    first_token_s: float | None
    obstacle: str


class Explanation(msgspec.Struct, frozen=True):
    """Holds where a request would go, and why.

    Parameters
    ----------
    outcome : str
        What would happen: sent to a server, or refused or waiting, and why.
    chosen : str
        The server, empty if there is none now.  Of servers that are equal, a
        request takes one at random.
    version : int
        Version of the configuration that decides, 0 without one.
    rank : int
        Rank of the request at the chosen server, or its priority.
    """

    outcome: str
    chosen: str = ""
    version: int = 0
    route: str = ""
    workspace: str = ""
    service: str = ""
    rank: int = 0
    candidates: tuple[CandidateView, ...] = ()


def _make_request(question: Question) -> caller_request.CallerRequest:
    return caller_request.CallerRequest(
        attempt_id="",
        method=question.method,
        host=question.host,
        path=question.path,
        target=question.path,
        key=question.key,
        model=question.model,
        deadline_s=question.deadline_s,
        resume_after="",
        prompt_parts=question.prompt_parts,
        headers={},
        body=b"",
        prompt_tokens=question.prompt_tokens,
        answer_tokens=question.answer_tokens,
    )


def _view(
    context: entry_context.EntryContext,
    call: calls.Call,
    candidate: candidates.Candidate,
    now_s: float,
) -> CandidateView:
    backend = candidate.backend
    load = context.placement_state.find_load(backend.backend_id)
    obstacle = candidate.obstacle or forwarding.find_obstacle(
        context,
        call,
        limited_calls.LimitedCall(context, call),
        backend,
        now_s,
    )
    found, first_s = call.engine_work, None
    if found is not None:
        first_s = engine_load.predict_first_token_s(
            found.times, found.model, found.slots, load, found.work
        )
    member = backend.membership
    return CandidateView(
        backend.backend_id,
        backend.data_centre,
        member.group if member else "",
        load.requests,
        first_s,
        str(obstacle),
    )


def explain(
    context: entry_context.EntryContext, question: Question
) -> Explanation:
    """Explain where a request would go now."""
    now_s = trio.current_time()
    try:
        call = calls.find_call(context, _make_request(question), now_s)
    except exceptions.NotRun as error:
        return Explanation(
            f"refused with {error.status} {error.code}: {error.detail}"
        )
    state = context.placement_state
    request = call.make_placement_request(frozenset())
    limited = limited_calls.LimitedCall(context, call)

    def may_take(backend: backends.Backend) -> bool:
        return not forwarding.find_obstacle(
            context, call, limited, backend, now_s
        )

    chosen = placement.choose(state, request, now_s, 0.0, may_take)
    block = context.trait_blocks.find_block(question.prompt_parts, now_s)
    rank = call.priority
    outcome = "waits for a server, and is refused if none comes in time"
    if block is not None:
        chosen = None
        outcome = "refused with 503 prompt_blocked: servers ended on a part"
    elif chosen is not None:
        load = state.find_load(chosen.backend_id)
        rank = call.choose_rank(load, now_s)
        outcome = "sent"
    found = candidates.examine(state, request, now_s)
    return Explanation(
        outcome,
        chosen.backend_id if chosen else "",
        call.version,
        call.route.name,
        call.workspace.name if call.workspace else "",
        call.service,
        rank,
        tuple(_view(context, call, c, now_s) for c in found),
    )


def make_app(context: entry_context.EntryContext) -> asgi.App:
    """Return the application that explains requests to operators."""

    async def handle(request: asgi.Request) -> asgi.Response:
        try:
            question = decoding.decode_json(request.body, Question)
        except exceptions.Undecodable as error:
            body = f"the question is not valid: {error}\n".encode()
            return asgi.Response(400, body, "text/plain")
        return asgi.answer_json(
            msgspec.to_builtins(explain(context, question))
        )

    return asgi.make_app(handle)
