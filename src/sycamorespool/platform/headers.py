"""Translates the HTTP headers of a hosted platform."""

from collections import abc
import dataclasses
import math
import re

from sycamorespool import backends
from sycamorespool import decoding
from sycamorespool import http_client
from sycamorespool.requests import caller_request

ATTEMPT = "sycamorespool-attempt-id"
DEADLINE = "sycamorespool-deadline-ms"
MODEL = "sycamorespool-model"
# Tokens of the prompt, and the most of the answer; and the caller's estimate
# of the latter.
TOKEN_COUNTS = "sycamorespool-token-counts"
LENGTH_HINT = "sycamorespool-length-hint"
PROMPT_PARTS = "sycamorespool-prompt-prefix"
EXPECT_SERVER = "sycamorespool-expect-replica"
WORKSPACE = "sycamorespool-tenant"
SERVER_ID = "sycamorespool-replica-id"
PRIORITY = "sycamorespool-request-priority"
NOT_RUN = "sycamorespool-not-executed"
SIGNATURE = "sycamorespool-replica-signature"
LEAVING = "server-leaving"
LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
RESUME_AFTER = "last-event-id"
# Between entries only: runs that a call may have had, and the version of the
# configuration by which it was accepted.
PASSED_ON = "x-passed-on"
# Between entries only: the server that answered a call which was passed on,
# and its start.
SERVED_BY = "x-served-by"
KEY_SCHEME = "bearer"
# Statuses below it are successes.
FIRST_REDIRECT = 300
MISDIRECTED = 421
UNAVAILABLE = 503
# Statuses by which callers take a request for one that has not run.
PROMISES = frozenset((408, MISDIRECTED, 429, UNAVAILABLE))
READY_PATH = "/api/ready"
LOWEST_PRIORITY = 9
# A longer prompt or answer counts as one of this length.
MAX_TOKENS = 10_000_000
# Parts of a prompt that are read; a longer list is cut, and its last part,
# which is the request's own, is kept.
MAX_PARTS = 32

# Ids of parts stand in the keys of records.
_PART_ID = re.compile(r"[0-9A-Fa-f]{1,64}")

# The longest pause that a server may ask for.
MAX_PAUSE_S = 60.0

# A number that is not negative and has no more digits than a float can hold.
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]*)?|\.[0-9]+")

# Headers that concern one connection only or are computed for each message.
_CONNECTION_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
# Headers of which only the last line counts, here as at who gets it.
_SINGLE = frozenset(
    [
        "authorization",
        "content-type",
        "host",
        ATTEMPT,
        DEADLINE,
        EXPECT_SERVER,
        LEAVING,
        LIMIT,
        MODEL,
        NOT_RUN,
        PRIORITY,
        PROMPT_PARTS,
        RESUME_AFTER,
        RETRY_AFTER,
        SERVED_BY,
        SERVER_ID,
        SIGNATURE,
        WORKSPACE,
    ]
)
_NOT_RETURNED = _CONNECTION_HEADERS | {"content-type", SERVED_BY}
_NOT_PASSED_ON = _CONNECTION_HEADERS | {
    "authorization",
    WORKSPACE,
    PRIORITY,
    EXPECT_SERVER,
    ATTEMPT,
    DEADLINE,
    PASSED_ON,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PassedOn:
    """Holds what an entry tells of a call that it passes on.

    Parameters
    ----------
    runs : int
        Number of servers at which it may have run.
    version : int
        Version of the configuration by which it was accepted.
    """

    runs: int
    version: int


def _read_key(value: str) -> str:
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def _read_deadline_s(value: str) -> float:
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return math.inf


def _read_parts(value: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts in one spelling, none if invalid."""
    ids = [e.partition(":")[0].strip() for e in value.split(",") if e]
    if not all(map(_PART_ID.fullmatch, ids)):
        return ()
    parts = [f"{int(part_id, 16):x}" for part_id in ids]
    if len(parts) > MAX_PARTS:
        parts = [*parts[: MAX_PARTS - 1], parts[-1]]
    return tuple(parts)


def _read_tokens(headers: abc.Mapping[str, str]) -> tuple[int, int]:
    """Return the tokens of prompt and answer, 0 for what is not known."""
    prompt, _, most = headers.get(TOKEN_COUNTS, "").partition(",")
    hint = _read_length(headers.get(LENGTH_HINT, ""))
    limit = _read_length(most)
    answer = min(hint, limit) if hint and limit else hint or limit
    return _read_length(prompt), answer


def _read_length(value: str) -> int:
    return min(decoding.read_count(value.strip()) or 0, MAX_TOKENS)


def decode_request(
    method: str,
    target: str,
    pairs: abc.Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> caller_request.CallerRequest:
    """Decode a caller's request."""
    pairs = list(pairs)
    headers = http_client.decode_headers(pairs)
    prompt_tokens, answer_tokens = _read_tokens(headers)
    return caller_request.CallerRequest(
        attempt_id=headers.get(ATTEMPT, ""),
        method=method,
        host=headers.get("host", ""),
        path=target.partition("?")[0],
        target=target,
        key=_read_key(headers.get("authorization", "")),
        model=headers.get(MODEL, ""),
        deadline_s=_read_deadline_s(headers.get(DEADLINE, "")),
        resume_after=headers.get(RESUME_AFTER, ""),
        prompt_parts=_read_parts(headers.get(PROMPT_PARTS, "")),
        headers=_select(http_client.join_headers(pairs), _NOT_PASSED_ON),
        body=body,
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
    )


def encode_request(
    request: caller_request.CallerRequest,
    backend_id: str,
    workspace: str,
    priority: int | None,
    left_s: float,
    last_event: str,
) -> dict[str, str]:
    """Return the headers of a request to a backend server.

    Parameters
    ----------
    workspace : str
        Name of the workspace, empty on a public route.
    priority : int, optional
        Rank at a model engine, 0 first.
    left_s : float
        Time until the deadline of the answer.
    last_event : str
        Id of the last event that the caller has received, or empty.
    """
    headers = dict(request.headers)
    headers[DEADLINE] = str(max(1, int(left_s * 1000)))
    headers[EXPECT_SERVER] = backend_id
    if workspace:
        headers[WORKSPACE] = workspace
    if priority is not None:
        headers[PRIORITY] = str(min(max(0, priority), LOWEST_PRIORITY))
    if last_event:
        headers[RESUME_AFTER] = last_event
    return headers


def encode_passed_on(
    request: caller_request.CallerRequest,
    passed_on: PassedOn,
    left_s: float,
    last_event: str,
) -> dict[str, str]:
    """Return the headers of a request to another entry.

    Parameters
    ----------
    left_s : float
        Time until the deadline of the answer.
    last_event : str
        Id of the last event that the caller has received, or empty.
    """
    headers = dict(request.headers)
    headers[PASSED_ON] = f"{passed_on.runs},{passed_on.version}"
    headers[DEADLINE] = str(max(1, int(left_s * 1000)))
    if request.key:
        headers["authorization"] = f"Bearer {request.key}"
    if last_event:
        headers[RESUME_AFTER] = last_event
    return headers


def is_passed_on(pairs: abc.Iterable[tuple[bytes, bytes]]) -> bool:
    """Tell whether a request's headers say that an entry passed it on."""
    return any(name == PASSED_ON.encode() for name, _ in pairs)


def decode_passed_on(pairs: abc.Iterable[tuple[bytes, bytes]]) -> PassedOn:
    """Decode what another entry tells of a call; zeros if it is invalid."""
    value = dict(pairs).get(PASSED_ON.encode(), b"").decode("latin-1")
    runs, _, version = value.partition(",")
    counts = decoding.read_count(runs), decoding.read_count(version)
    if None in counts:
        return PassedOn(0, 0)
    return PassedOn(*counts)


def select_answer_headers(headers: abc.Mapping[str, str]) -> dict[str, str]:
    """Return those of an answer's headers that the caller gets."""
    return _select(headers, _NOT_RETURNED)


def select_peer_headers(headers: abc.Mapping[str, str]) -> dict[str, str]:
    """Return those of an answer's headers that another entry gets."""
    return _select(headers, _NOT_RETURNED - {SERVED_BY})


def _select(
    headers: abc.Mapping[str, str], excluded: frozenset[str]
) -> dict[str, str]:
    """Return joined headers without some, and one line of single ones."""
    return {
        name: value.rpartition("\n")[2] if name in _SINGLE else value
        for name, value in headers.items()
        if name not in excluded
    }


def encode_served_by(backend: backends.Backend) -> dict[str, str]:
    """Return the header that names the server of a call passed on."""
    return {SERVED_BY: f"{backend.backend_id},{backend.started_ms}"}


def decode_served_by(
    headers: abc.Mapping[str, str],
) -> tuple[str, int] | None:
    """Return the id and start of the server that answered, if named."""
    backend_id, _, text = headers.get(SERVED_BY, "").rpartition(",")
    started_ms = decoding.read_count(text)
    return None if started_ms is None else (backend_id, started_ms)


def is_refusal(status: int, headers: abc.Mapping[str, str]) -> bool:
    """Tell whether an answer promises that the request was not run."""
    return status == MISDIRECTED or NOT_RUN in headers


def is_genuine(status: int, headers: abc.Mapping[str, str]) -> bool:
    """Tell whether an answer is that of a server, as far as its head shows.

    Callers take a success only with the server's signature.
    """
    is_success = status < FIRST_REDIRECT
    return not is_success or bool(headers.get(SIGNATURE, "").strip())


def decode_notice(
    status: int, headers: abc.Mapping[str, str]
) -> backends.Notice:
    """Decode what an answer says of requests that may follow it."""
    retry_after_s = 0.0
    if status == UNAVAILABLE:
        retry_after_s = _read_retry_after_s(headers.get(RETRY_AFTER, ""))
    return backends.Notice(
        is_leaving(headers),
        retry_after_s,
        LIMIT in headers,
        _read_limit_per_s(headers.get(LIMIT, "")),
    )


def is_leaving(headers: abc.Mapping[str, str]) -> bool:
    """Tell whether the server that sent an answer is about to leave."""
    return headers.get(LEAVING, "").strip() == "1"


def _read_limit_per_s(value: str) -> float | None:
    return float(value) if _DECIMAL.fullmatch(value.strip()) else None


def _read_retry_after_s(value: str) -> float:
    if not _DECIMAL.fullmatch(value.strip()):
        return 0.0
    return min(float(value), MAX_PAUSE_S)
