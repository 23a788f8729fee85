"""The one answer to a caller, whichever attempts it is read from.

A streamed completion is passed on in whole events, which are counted, so
that another attempt can go on where a cut one ended::

    relay = Relay(send, request_id)
    await relay.copy_events(answer)  # raises BackendCut after 17 tokens
    relay.events.count  # 17
    await relay.copy_events(answer_from_token_17)
"""

from collections import abc
import dataclasses
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import exceptions

EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"
TOKEN = b"data:"
NEXT_TOKEN = b"\n" + TOKEN
DONE = b"data: [DONE]\n\n"
NEXT_DONE = EVENT_END + DONE
FIELDS = (b"data:", b":", b"event:", b"id:", b"retry:")
MAX_EVENT_BYTES = 256 * 1024
MAX_HELD_BYTES = 1024 * 1024
RESUME_HEADER = "x-resume-from-token"
REQUEST_ID_HEADER = "x-request-id"


class Source(t.Protocol):
    """An answer of a backend server that is being read."""

    status: int
    headers: dict[str, str]

    async def read(self) -> bytes:
        """Return the next bytes of the body, none at the end."""

    async def finish(self) -> None:
        """Read on to the end, if it comes soon."""


class EventLog(t.Protocol):
    """What is known of the events of a stream that were passed on."""

    count: int
    is_done: bool

    def check_start(self, answer: Source) -> None:
        """Raise BackendCut if an answer does not go on where it has to."""

    def take(self, chunk: bytes) -> bytes:
        """Take in a chunk and return the whole events to pass on."""

    def end(self) -> None:
        """Note that the answer is whole; raise BackendCut if it lacks."""

    def forget_half(self) -> None:
        """Drop half an event, which was not passed on."""


@dataclasses.dataclass(slots=True)
class Events:
    """The events of a streamed completion, as far as they were passed on.

    Parameters
    ----------
    count : int
        Whole events with data so far, which are one token each.
    is_done : bool
        Whether the last event, ``[DONE]``, was among them.
    """

    count: int = 0
    is_done: bool = False
    _held: bytes = b""

    def take(self, chunk: bytes) -> bytes:
        """Count a chunk and return the whole events to pass on.

        Half an event is held until its other half comes.

        Raises
        ------
        BackendCut
            If the bytes are no server-sent events.
        """
        if self._held:
            chunk = self._held + chunk
        if chunk.endswith(EVENT_END):
            block, self._held = chunk, b""
        else:
            end = chunk.rfind(EVENT_END)
            cut = end + len(EVENT_END) if end >= 0 else 0
            block, self._held = chunk[:cut], chunk[cut:]
            if len(self._held) > MAX_EVENT_BYTES:
                raise exceptions.BackendCut("an event has no end")
            if not block:
                return b""
        if not block.startswith(FIELDS):
            raise exceptions.BackendCut("the stream has no events")
        # A line break inside of an event's JSON is escaped, so that this
        # counts lines with data only; a token's event has one.
        self.count += block.count(NEXT_TOKEN) + block.startswith(TOKEN)
        if block == DONE or block.endswith(NEXT_DONE):
            self.count -= 1
            self.is_done = True
        return block

    def check_start(self, answer: Source) -> None:
        """Check that a stream begins at the token that is next.

        Raises
        ------
        BackendCut
            If it begins at another one.
        """
        start = answer.headers.get(RESUME_HEADER, "0")
        if start != str(self.count):
            raise exceptions.BackendCut(f"the stream begins at token {start}")

    def end(self) -> None:
        """Note that the answer ended.

        Raises
        ------
        BackendCut
            If the last event has not come.
        """
        raise exceptions.BackendCut("the stream has no last event")

    def forget_half(self) -> None:
        """Drop half an event, which was not passed on."""
        self._held = b""


def _carry_nothing(headers: abc.Mapping[str, str]) -> dict[str, str]:
    return {}


class Relay:
    """The state of one answer towards a caller.

    Parameters
    ----------
    send : asgi.Send
        Takes the answer.
    request_id : str
        Id of the request.
    events : EventLog, optional
        Follows the events of a stream.
    headers : dict, optional
        Headers of every answer; by default one with the request's id.
    carry : callable
        Returns the headers of a backend server's answer that are passed on.

    Attributes
    ----------
    events : EventLog
        What the caller has got of a stream.
    status : int
        Status that the caller got, 0 before it.
    is_begun, is_whole : bool
        Whether anything was sent, after which no other answer can be
        given, and whether all was.
    first_s, last_s : float
        When the first and the last part were passed on.
    chunks : int
        How many parts there were.
    """

    def __init__(
        self,
        send: asgi.Send,
        request_id: str,
        events: EventLog | None = None,
        headers: dict[str, str] | None = None,
        carry: abc.Callable[
            [abc.Mapping[str, str]], dict[str, str]
        ] = _carry_nothing,
    ) -> None:
        self.events: EventLog = Events() if events is None else events
        self.status = 0
        self.is_begun = False
        self.is_whole = False
        self.first_s = 0.0
        self.last_s = 0.0
        self.chunks = 0
        self.request_id = request_id
        self._send = send
        self._carry = carry
        self._headers = (
            {REQUEST_ID_HEADER: request_id} if headers is None else headers
        )

    async def answer(self, response: asgi.Response) -> None:
        """Send an answer of the entry itself."""
        headers = {**response.headers, **self._headers}
        self.is_begun = True
        self.status = response.status
        self.first_s = trio.current_time()
        await asgi.send_response(
            self._send, dataclasses.replace(response, headers=headers)
        )
        self.is_whole = True
        self.last_s = trio.current_time()

    async def copy_events(self, answer: Source) -> None:
        """Pass on a stream of events, from where it was reached before.

        Raises
        ------
        BackendCut
            If the stream breaks off, is no event stream or begins at
            another token; ``events`` tells how far it was passed on.
        """
        self._check_start(answer)
        events = self.events
        events.forget_half()
        while not events.is_done:
            chunk = await answer.read()
            if not chunk:
                events.end()
            block = events.take(chunk) if chunk else b""
            if block or events.is_done:
                await self._pass_on(
                    answer, EVENT_STREAM, block, not events.is_done
                )
        await answer.finish()

    def _check_start(self, answer: Source) -> None:
        content_type = answer.headers.get("content-type", "")
        if not content_type.startswith(EVENT_STREAM):
            raise exceptions.BackendCut(f"{content_type!r} is no stream")
        self.events.check_start(answer)

    async def copy_whole(self, answer: Source, is_json: bool) -> None:
        """Pass on an answer that is no stream, whole or not at all.

        Only one over ``MAX_HELD_BYTES`` is passed on while it comes.

        Raises
        ------
        BackendCut
            If it breaks off, or has to be JSON and is not.
        """
        content_type = answer.headers.get("content-type", asgi.JSON_TYPE)
        parts: list[bytes] = []
        size = 0
        while chunk := await answer.read():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_HELD_BYTES:
                held = b"".join(parts)
                await self._pass_on(answer, content_type, held, True)
                parts.clear()
        body = b"".join(parts)
        if is_json and not self.is_begun:
            _check_json(body)
        await self._pass_on(answer, content_type, body, False)

    async def _pass_on(
        self, answer: Source, content_type: str, body: bytes, is_more: bool
    ) -> None:
        if not self.is_begun:
            carried = {**self._carry(answer.headers), **self._headers}
            headers = asgi.encode_headers(content_type, carried)
            if not is_more:
                length = str(len(body)).encode()
                headers.append((b"content-length", length))
            self.is_begun = True
            self.status = answer.status
            self.first_s = trio.current_time()
            await self._send(
                {
                    "type": "http.response.start",
                    "status": answer.status,
                    "headers": headers,
                }
            )
        self.chunks += 1
        await self._send(
            {
                "type": "http.response.body",
                "body": body,
                "more_body": is_more,
            }
        )
        if not is_more:
            self.is_whole = True
            self.last_s = trio.current_time()

    async def send_last_error(self, problem: bytes) -> None:
        """Send an error as the last event of a stream that breaks off."""
        if self.events.count:
            event = b'data: {"error":%b}\n\n' % problem
            await self._send(
                {
                    "type": "http.response.body",
                    "body": event,
                    "more_body": True,
                }
            )


def _check_json(body: bytes) -> None:
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise exceptions.BackendCut("the answer is no JSON") from error


async def _cancel_when_gone(
    receive: asgi.Receive, scope: trio.CancelScope
) -> None:
    await receive()
    scope.cancel()


async def run_while_present(
    run: abc.Callable[[], abc.Awaitable[None]],
    receive: asgi.Receive,
    passed: Relay,
) -> None:
    """Run a call, and give it up as soon as its caller leaves.

    Raises
    ------
    CallerGone
        If the caller left before its whole answer.
    RequestError
        As ``run`` raised it.
    """
    failure: exceptions.RequestError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_when_gone, receive, nursery.cancel_scope)
        try:
            await run()
        except exceptions.RequestError as error:
            failure = error
        except asgi.CallerGone:
            pass
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if not passed.is_whole:
        raise asgi.CallerGone
