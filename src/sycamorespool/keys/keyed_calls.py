"""Runs calls with an idempotency key at the entry that the caller reached.

The entry asks the owner of the key's partition for a decision, sends the
call to a backend server if the decision permits it, and reports the outcome
or the withdrawal to the owner, which appends it to the log.
"""

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
from sycamorespool.keys import key_owners
from sycamorespool.keys import key_streams
from sycamorespool import logs
from sycamorespool import records
from sycamorespool.requests import relay

KEY_HEADER = "idempotency-key"
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
# Time limit of a message to another entry.
TIMEOUT_S = 2.5
# How long the owner may wait for the outcome of a call in progress.
DECISION_WAIT_S = 0.5
MAX_OWNERS_TRIED = 3
REPORT_RETRY_S = 0.5
# Longer answers are not recorded for repeats.
MAX_KEPT_BODY_BYTES = 64 * 1024
# Content type of an outcome whose answer was too long to be recorded.
NOT_KEPT_TYPE = "application/x-not-kept"

log = logs.make_logger("keys")


@dataclasses.dataclass(slots=True)
class KeyedCalls:
    """Holds the dependencies of keyed calls, and counts open reports.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the reports, which outlive the answers to callers.
    reports_open : int
        Number of outcomes and withdrawals not yet appended to the log.
    """

    env: environment.Environment
    owner: key_owners.KeyPartitionOwner
    nursery: trio.Nursery
    reports_open: int = 0
    report_closed: trio.Event = dataclasses.field(default_factory=trio.Event)

    async def wait_until_reported(self) -> None:
        """Wait until all outcomes and withdrawals are in the log."""
        while self.reports_open:
            await self.report_closed.wait()


class _ResponseBuffer:
    """Buffers the whole answer to a keyed call before the caller gets it."""

    def __init__(self) -> None:
        self.status = 0
        self.content_type = asgi.JSON_TYPE
        self.parts: list[bytes] = []

    async def send(self, message: dict[str, t.Any]) -> None:
        """Store the content of one ASGI message."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            headers = dict(message["headers"])
            self.content_type = headers[b"content-type"].decode()
        else:
            self.parts.append(message.get("body", b""))


def find_key(headers: dict[str, str]) -> str:
    """Return the idempotency key of a request, or an empty string.

    Raises
    ------
    NotRun
        If the header is not a valid key.
    """
    key = headers.get(KEY_HEADER)
    if key is None:
        return ""
    if not KEY_PATTERN.fullmatch(key):
        raise exceptions.NotRun(
            "bad_key",
            f"{KEY_HEADER} must be 1 to 255 visible ASCII characters",
            400,
        )
    return key


def _read_boot_clock_s() -> float:
    # This clock continues while the VM is suspended.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _make_intent(
    calls: KeyedCalls, attempt: key_attempts.KeyedAttempt
) -> records.KeyIntent:
    identity = attempt.identity
    return records.KeyIntent(
        identity.workspace,
        identity.key,
        identity.digest,
        identity.attempt_id,
        calls.env.name,
        time.time(),
    )


async def _call_peer(
    calls: KeyedCalls, name: str, message: messages.Message
) -> messages.Message:
    peer = calls.env.entries().get(name)
    if peer is None:
        raise exceptions.PeerUnavailable(f"entry {name} is not known")
    return await calls.env.transport.call(peer.address, message, TIMEOUT_S)


async def _request_from_peer(
    calls: KeyedCalls, name: str, intent: records.KeyIntent
) -> key_owners.AttemptStatus:
    message = messages.KeyDecisionRequest(intent, DECISION_WAIT_S)
    reply = await _call_peer(calls, name, message)
    if isinstance(reply, messages.KeyDecisionReply):
        return key_owners.AttemptStatus(
            keys.Decision(reply.ruling), reply.outcome
        )
    if isinstance(reply, messages.KeyRefused):
        raise exceptions.NotRun(
            reply.code, reply.detail, retry_after_s=reply.retry_after_s
        )
    raise exceptions.PeerRejected(f"{name} gave no decision on a key")


async def _request_decision(
    calls: KeyedCalls, attempt: key_attempts.KeyedAttempt
) -> key_owners.AttemptStatus:
    """Request a decision from the owner, or the next entry that answers."""
    owner = calls.owner
    partition = owner.find(attempt.identity.workspace, attempt.identity.key)
    intent = _make_intent(calls, attempt)
    for name in owner.rank_owners(partition)[:MAX_OWNERS_TRIED]:
        try:
            if name == calls.env.name:
                return await key_owners.decide(owner, intent, DECISION_WAIT_S)
            return await _request_from_peer(calls, name, intent)
        except exceptions.PeerError as error:
            attempt.has_stray_intent = True
            log.warning("entry gave no key decision", entry=name, error=error)
        except exceptions.NotRun as error:
            attempt.has_stray_intent |= error.code == key_owners.ANSWER_LOST
            raise
    raise exceptions.NotRun(
        "key_keeper_unavailable",
        "no owner of the key's partition answers",
        retry_after_s=key_owners.RETRY_AFTER_S,
    )


async def _append_locally(
    owner: key_owners.KeyPartitionOwner,
    partition: key_streams.Partition,
    item: key_batches.Item,
) -> bool:
    try:
        await key_owners.append(owner, partition, item)
    except exceptions.PlatformError:
        return False
    return True


def _make_report(item: key_batches.Item) -> messages.KeyReport:
    if isinstance(item, records.KeyOutcome):
        return messages.KeyReport(outcome=item)
    assert isinstance(item, records.KeyWithdrawal)
    return messages.KeyReport(withdrawal=item)


async def _report_once(calls: KeyedCalls, item: key_batches.Item) -> bool:
    owner = calls.owner
    partition = owner.find(item.workspace, item.key)
    for name in owner.rank_owners(partition)[:MAX_OWNERS_TRIED]:
        if name == calls.env.name:
            return await _append_locally(owner, partition, item)
        try:
            reply = await _call_peer(calls, name, _make_report(item))
        except exceptions.PeerError:
            continue
        if isinstance(reply, messages.Done):
            return True
    return False


async def _report(calls: KeyedCalls, item: key_batches.Item) -> None:
    """Report an item to the owner until it is appended to the log."""
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
    is_withdrawal_needed = key_attempts.needs_withdrawal(attempt)
    key_attempts.advance(attempt, key_attempts.Event.GIVE_UP)
    identity = attempt.identity
    if is_withdrawal_needed:
        _start_report(
            calls,
            records.KeyWithdrawal(
                identity.workspace, identity.key, identity.attempt_id
            ),
        )


def _repeat_answer(outcome: records.KeyOutcome | None) -> asgi.Response:
    if outcome is None or outcome.content_type == NOT_KEPT_TYPE:
        raise exceptions.OutcomeUnknown(
            "key_answer_not_kept", "the call ran; its answer was not kept"
        )
    return asgi.Response(outcome.status, outcome.body, outcome.content_type)


def _make_outcome(
    attempt: key_attempts.KeyedAttempt, answer: asgi.Response
) -> records.KeyOutcome:
    identity = attempt.identity
    is_kept = len(answer.body) <= MAX_KEPT_BODY_BYTES
    return records.KeyOutcome(
        identity.workspace,
        identity.key,
        identity.attempt_id,
        answer.status,
        answer.content_type if is_kept else NOT_KEPT_TYPE,
        answer.body if is_kept else b"",
    )


async def _send(
    calls: KeyedCalls,
    attempt: key_attempts.KeyedAttempt,
    call: dispatch.Call,
) -> asgi.Response:
    """Send the call, after a decision that only this attempt may send it."""
    key_attempts.advance(attempt, key_attempts.Event.CLEAR)
    if not key_attempts.may_still_send(attempt, _read_boot_clock_s()):
        raise exceptions.NotRun(
            "key_too_late", "the attempt is too old; the entry was paused"
        )
    key_attempts.advance(attempt, key_attempts.Event.SEND)
    buffer = _ResponseBuffer()
    response_relay = relay.Relay(buffer.send, call.request_id)
    try:
        await dispatch.run_call(calls.env, call, response_relay)
    except exceptions.NotRun:
        key_attempts.advance(attempt, key_attempts.Event.REFUSED)
        raise
    except exceptions.OutcomeUnknown:
        key_attempts.advance(attempt, key_attempts.Event.CUT)
        raise
    key_attempts.advance(attempt, key_attempts.Event.ANSWER)
    answer = asgi.Response(
        buffer.status, b"".join(buffer.parts), buffer.content_type
    )
    _start_report(calls, _make_outcome(attempt, answer))
    return answer


_REFUSALS: dict[keys.Decision, tuple[type[exceptions.RequestError], t.Any]] = {
    keys.Decision.MISMATCH: (
        exceptions.NotRun,
        ("key_mismatch", "the key was used with another request", 422),
    ),
    keys.Decision.APPEND: (
        exceptions.NotRun,
        ("key_undecided", "the log did not decide on the attempt in time"),
    ),
    keys.Decision.WITHDRAWN: (
        exceptions.NotRun,
        ("key_withdrawn", "the attempt was withdrawn before it was sent"),
    ),
    keys.Decision.RESOLVED_NOT_RUN: (
        exceptions.NotRun,
        ("key_settled_not_run", "an operator resolved it as not run", 409),
    ),
    keys.Decision.RESOLVED_RAN: (
        exceptions.OutcomeUnknown,
        ("key_settled_ran", "an operator resolved the call as run"),
    ),
    keys.Decision.IN_PROGRESS: (
        exceptions.OutcomeUnknown,
        ("key_without_outcome", "the call was begun; its outcome is unknown"),
    ),
}


def _make_refusal(decision: keys.Decision) -> exceptions.RequestError:
    kind, arguments = _REFUSALS[decision]
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
        If the call may have run but its answer is not available.
    """
    path = f"/{call.service}{call.path}"
    digest = keys.digest_of(call.method, path, call.body)
    attempt = key_attempts.KeyedAttempt(
        keys.AttemptIdentity(
            call.workspace, call.key, digest, environment.make_id()
        ),
        _read_boot_clock_s(),
    )
    try:
        return await _run_by_decision(calls, attempt, call)
    finally:
        if key_attempts.is_allowed(attempt, key_attempts.Event.GIVE_UP):
            _give_up(calls, attempt)


async def _run_by_decision(
    calls: KeyedCalls,
    attempt: key_attempts.KeyedAttempt,
    call: dispatch.Call,
) -> asgi.Response:
    deadline_s = trio.current_time() + calls.env.settings.keys.repeat_wait_s
    status = await _request_decision(calls, attempt)
    while status.decision in key_owners.UNDECIDED:
        if trio.current_time() >= deadline_s:
            break
        status = await _request_decision(calls, attempt)
    if status.decision is keys.Decision.SEND:
        return await _send(calls, attempt, call)
    if status.decision is keys.Decision.REPEAT:
        return _repeat_answer(status.outcome)
    attempt.has_stray_intent |= status.decision is keys.Decision.APPEND
    raise _make_refusal(status.decision)


def make_handlers(owner: key_owners.KeyPartitionOwner) -> dict[type, t.Any]:
    """Return the handlers of messages from other entries to the owner."""

    async def decide(message: messages.KeyDecisionRequest) -> messages.Message:
        try:
            status = await key_owners.decide_for_peer(
                owner, message.intent, min(DECISION_WAIT_S, message.wait_s)
            )
        except exceptions.NotRun as error:
            return messages.KeyRefused(
                error.code, error.detail, error.retry_after_s or 1.0
            )
        return messages.KeyDecisionReply(status.decision.value, status.outcome)

    async def append_report(message: messages.KeyReport) -> messages.Message:
        item = message.outcome or message.withdrawal
        if item is None:
            return messages.Refused("the report holds no record")
        partition = owner.find(item.workspace, item.key)
        if await _append_locally(owner, partition, item):
            return messages.Done()
        return messages.Refused("the reported record was not appended")

    return {
        messages.KeyDecisionRequest: decide,
        messages.KeyReport: append_report,
    }
