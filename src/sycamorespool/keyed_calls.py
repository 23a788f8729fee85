"""Calls with an idempotency key, at the entry that the caller reached."""

import dataclasses
import re
import time
import typing as t

import trio

from sycamorespool import asgi
from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import key_batches
from sycamorespool.decisions import keys
from sycamorespool import dispatch
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import key_keeper
from sycamorespool import key_streams
from sycamorespool import logs
from sycamorespool import records
from sycamorespool import relay

KEY_HEADER = "idempotency-key"
KEY = re.compile(r"[\x21-\x7e]{1,255}")
ASK_TIMEOUT_S = 2.5
ASK_WAIT_S = 0.5
KEEPERS_TRIED = 3
REPORT_RETRY_S = 0.5
MAX_KEPT_BODY_BYTES = 64 * 1024
NOT_KEPT = "application/x-not-kept"

log = logs.make_logger("keys")


@dataclasses.dataclass(slots=True)
class KeyedCalls:
    """What keyed calls need.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the reports, which outlive the answers to callers.
    reports_open : int
        Outcomes and withdrawals that the log has not taken yet.
    """

    env: environment.Environment
    keeper: key_keeper.KeyKeeper
    nursery: trio.Nursery
    reports_open: int = 0
    report_closed: trio.Event = dataclasses.field(default_factory=trio.Event)

    async def wait_until_reported(self) -> None:
        """Wait until the log has taken all outcomes."""
        while self.reports_open:
            await self.report_closed.wait()


class _Sink:
    """Takes the answer to a keyed call whole, before the caller gets it."""

    def __init__(self) -> None:
        self.status = 0
        self.content_type = asgi.JSON_TYPE
        self.parts: list[bytes] = []

    async def send(self, message: dict[str, t.Any]) -> None:
        """Take one ASGI message."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            headers = dict(message["headers"])
            self.content_type = headers[b"content-type"].decode()
        else:
            self.parts.append(message.get("body", b""))


def find_key(headers: dict[str, str]) -> str:
    """Return the idempotency key that a caller gives, or nothing.

    Raises
    ------
    NotRun
        If it is no key.
    """
    key = headers.get(KEY_HEADER)
    if key is None:
        return ""
    if not KEY.fullmatch(key):
        raise exceptions.NotRun(
            "bad_key", f"{KEY_HEADER} must be 1 to 255 visible letters", 400
        )
    return key


def _read_boot_clock_s() -> float:
    # This clock goes on while the VM is suspended.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _make_intent(
    calls: KeyedCalls, attempt: key_attempts.KeyedAttempt
) -> records.KeyIntent:
    call = attempt.call
    return records.KeyIntent(
        call.workspace,
        call.key,
        call.digest,
        call.attempt_id,
        calls.env.name,
        time.time(),
    )


async def _call(
    calls: KeyedCalls, name: str, message: messages.Message
) -> messages.Message:
    peer = calls.env.entries().get(name)
    if peer is None:
        raise exceptions.PeerUnavailable(f"{name} is gone")
    return await calls.env.transport.call(peer.address, message, ASK_TIMEOUT_S)


async def _ask_peer(
    calls: KeyedCalls, name: str, intent: records.KeyIntent
) -> key_keeper.Answer:
    message = messages.KeyAsked(intent, ASK_WAIT_S)
    reply = await _call(calls, name, message)
    if isinstance(reply, messages.KeyRuled):
        return key_keeper.Answer(keys.Ruling(reply.ruling), reply.outcome)
    if isinstance(reply, messages.KeyRefused):
        raise exceptions.NotRun(
            reply.code, reply.detail, retry_after_s=reply.retry_after_s
        )
    raise exceptions.PeerRejected(f"{name} rules on no keys")


async def _ask(
    calls: KeyedCalls, attempt: key_attempts.KeyedAttempt
) -> key_keeper.Answer:
    """Ask the keeper, or the next that answers, for a ruling."""
    keeper = calls.keeper
    partition = keeper.find(attempt.call.workspace, attempt.call.key)
    intent = _make_intent(calls, attempt)
    for name in keeper.rank_keepers(partition)[:KEEPERS_TRIED]:
        try:
            if name == calls.env.name:
                return await key_keeper.ask(keeper, intent, ASK_WAIT_S)
            return await _ask_peer(calls, name, intent)
        except exceptions.PeerError as error:
            attempt.is_loose = True
            log.warning("ask failed", entry=name, error=error)
        except exceptions.NotRun as error:
            attempt.is_loose |= error.code == key_keeper.ANSWER_LOST
            raise
    raise exceptions.NotRun(
        "key_keeper_unavailable",
        "no entry that keeps the key answers",
        retry_after_s=key_keeper.RETRY_AFTER_S,
    )


async def _append_here(
    keeper: key_keeper.KeyKeeper,
    partition: key_streams.Partition,
    item: key_batches.Item,
) -> bool:
    try:
        await key_keeper.append(keeper, partition, item)
    except exceptions.PlatformError:
        return False
    return True


def _make_report(item: key_batches.Item) -> messages.KeyReported:
    if isinstance(item, records.KeyOutcome):
        return messages.KeyReported(outcome=item)
    assert isinstance(item, records.KeyWithdrawal)
    return messages.KeyReported(withdrawal=item)


async def _report_once(calls: KeyedCalls, item: key_batches.Item) -> bool:
    keeper = calls.keeper
    partition = keeper.find(item.workspace, item.key)
    for name in keeper.rank_keepers(partition)[:KEEPERS_TRIED]:
        if name == calls.env.name:
            return await _append_here(keeper, partition, item)
        try:
            reply = await _call(calls, name, _make_report(item))
        except exceptions.PeerError:
            continue
        if isinstance(reply, messages.Done):
            return True
    return False


async def _report(calls: KeyedCalls, item: key_batches.Item) -> None:
    """Have an item appended, however long that takes."""
    try:
        while True:
            if await _report_once(calls, item):
                return
            await trio.sleep(REPORT_RETRY_S)
    finally:
        calls.reports_open -= 1
        calls.report_closed.set()
        calls.report_closed = trio.Event()


def _start_report(calls: KeyedCalls, item: key_batches.Item) -> None:
    calls.reports_open += 1
    calls.nursery.start_soon(_report, calls, item)


def _give_up(calls: KeyedCalls, attempt: key_attempts.KeyedAttempt) -> None:
    is_needed = key_attempts.needs_withdrawal(attempt)
    key_attempts.advance(attempt, key_attempts.Event.GIVE_UP)
    call = attempt.call
    if is_needed:
        _start_report(
            calls,
            records.KeyWithdrawal(call.workspace, call.key, call.attempt_id),
        )


def _answer_repeat(outcome: records.KeyOutcome | None) -> asgi.Response:
    if outcome is None or outcome.content_type == NOT_KEPT:
        raise exceptions.OutcomeUnknown(
            "key_answer_not_kept", "the call ran; its answer was not kept"
        )
    return asgi.Response(outcome.status, outcome.body, outcome.content_type)


def _make_outcome(
    attempt: key_attempts.KeyedAttempt, answer: asgi.Response
) -> records.KeyOutcome:
    call = attempt.call
    is_kept = len(answer.body) <= MAX_KEPT_BODY_BYTES
    return records.KeyOutcome(
        call.workspace,
        call.key,
        call.attempt_id,
        answer.status,
        answer.content_type if is_kept else NOT_KEPT,
        answer.body if is_kept else b"",
    )


async def _send(
    calls: KeyedCalls,
    attempt: key_attempts.KeyedAttempt,
    call: dispatch.Call,
) -> asgi.Response:
    """Run the call, which this attempt alone may do."""
    key_attempts.advance(attempt, key_attempts.Event.CLEAR)
    if not key_attempts.is_in_time(attempt, _read_boot_clock_s()):
        raise exceptions.NotRun("key_too_late", "the entry was paused")
    key_attempts.advance(attempt, key_attempts.Event.SEND)
    sink = _Sink()
    passed = relay.Relay(sink.send, call.request_id)
    try:
        await dispatch.run_call(calls.env, call, passed)
    except exceptions.NotRun:
        key_attempts.advance(attempt, key_attempts.Event.REFUSED)
        raise
    except exceptions.OutcomeUnknown:
        key_attempts.advance(attempt, key_attempts.Event.CUT)
        raise
    key_attempts.advance(attempt, key_attempts.Event.ANSWER)
    answer = asgi.Response(
        sink.status, b"".join(sink.parts), sink.content_type
    )
    _start_report(calls, _make_outcome(attempt, answer))
    return answer


_REFUSALS: dict[keys.Ruling, tuple[type[exceptions.RequestError], t.Any]] = {
    keys.Ruling.MISMATCH: (
        exceptions.NotRun,
        ("key_mismatch", "the key was used with another request", 422),
    ),
    keys.Ruling.APPEND: (
        exceptions.NotRun,
        ("key_undecided", "the log did not decide in time"),
    ),
    keys.Ruling.WITHDRAWN: (
        exceptions.NotRun,
        ("key_withdrawn", "the attempt was given up"),
    ),
    keys.Ruling.SETTLED_NOT_RUN: (
        exceptions.NotRun,
        ("key_settled_not_run", "an operator settled it as not run", 409),
    ),
    keys.Ruling.SETTLED_RAN: (
        exceptions.OutcomeUnknown,
        ("key_settled_ran", "an operator settled that it ran"),
    ),
    keys.Ruling.IN_PROGRESS: (
        exceptions.OutcomeUnknown,
        ("key_without_outcome", "it was begun; its outcome is unknown"),
    ),
}


def _refuse(ruling: keys.Ruling) -> exceptions.RequestError:
    kind, arguments = _REFUSALS[ruling]
    return kind(*arguments)


async def run_keyed_call(
    calls: KeyedCalls, call: dispatch.Call
) -> asgi.Response:
    """Run a call at most once for its key, and return its answer.

    Raises
    ------
    NotRun
        If this request was not run; a later one may be.
    OutcomeUnknown
        If the call may have run and no outcome is known.
    """
    path = f"/{call.service}{call.path}"
    digest = keys.digest_of(call.method, path, call.body)
    attempt = key_attempts.KeyedAttempt(
        keys.Call(call.workspace, call.key, digest, environment.make_id()),
        _read_boot_clock_s(),
    )
    try:
        return await _follow_ruling(calls, attempt, call)
    finally:
        if key_attempts.can(attempt, key_attempts.Event.GIVE_UP):
            _give_up(calls, attempt)


async def _follow_ruling(
    calls: KeyedCalls,
    attempt: key_attempts.KeyedAttempt,
    call: dispatch.Call,
) -> asgi.Response:
    deadline_s = trio.current_time() + calls.env.settings.keys.repeat_wait_s
    answer = await _ask(calls, attempt)
    while answer.ruling in key_keeper.UNDECIDED:
        if trio.current_time() >= deadline_s:
            break
        answer = await _ask(calls, attempt)
    if answer.ruling is keys.Ruling.SEND:
        return await _send(calls, attempt, call)
    if answer.ruling is keys.Ruling.REPEAT:
        return _answer_repeat(answer.outcome)
    attempt.is_loose |= answer.ruling is keys.Ruling.APPEND
    raise _refuse(answer.ruling)


def make_handlers(keeper: key_keeper.KeyKeeper) -> dict[type, t.Any]:
    """Return the handlers of what other entries send to the keeper."""

    async def rule(message: messages.KeyAsked) -> messages.Message:
        try:
            answer = await key_keeper.ask_for_peer(
                keeper, message.intent, min(ASK_WAIT_S, message.wait_s)
            )
        except exceptions.NotRun as error:
            return messages.KeyRefused(
                error.code, error.detail, error.retry_after_s or 1.0
            )
        return messages.KeyRuled(answer.ruling.value, answer.outcome)

    async def take_report(message: messages.KeyReported) -> messages.Message:
        item = message.outcome or message.withdrawal
        if item is None:
            return messages.Refused("the report is empty")
        partition = keeper.find(item.workspace, item.key)
        if await _append_here(keeper, partition, item):
            return messages.Done()
        return messages.Refused("not appended")

    return {messages.KeyAsked: rule, messages.KeyReported: take_report}
