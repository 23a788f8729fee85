"""Relays the answers of backend servers to the caller as a single answer.

A streamed completion is relayed in complete events, which are counted, so
that another attempt can resume the stream where the last one broke off::

    relay = Relay(send, request_id)
    await relay.copy_events(answer)  # raises BackendCut after 17 tokens
    relay.events.count  # 17
    await relay.copy_events(answer_from_token_17)
"""

from collections import abc
import dataclasses
import re
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import exceptions

EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"
TOKEN = b"data:"
LATER_TOKEN = b"\n" + TOKEN
DONE = b"data: [DONE]\n\n"
LATER_DONE = EVENT_END + DONE
_FIELD = rb"(?:event|id|retry)?:[^\n]*\n"
_DATA = rb"data:[^\n]*\n"
# Server-sent events with at most one line of data each.
_EVENTS = re.compile(
    rb"(?:(?:(?:%(field)b)+(?:%(data)b(?:%(field)b)*)?"
    rb"|%(data)b(?:%(field)b)*)\n)+" % {b"field": _FIELD, b"data": _DATA}
)
MAX_EVENT_BYTES = 256 * 1024
# Size up to which an answer that is no stream is buffered as a whole.
MAX_BUFFERED_BYTES = 1024 * 1024
RESUME_HEADER = "x-resume-from-token"
REQUEST_ID_HEADER = "x-request-id"


class Source(t.Protocol):
    """Holds an answer of a backend server that is being read."""

    status: int
    headers: dict[str, str]

    async def read(self) -> bytes:
        """Return the next bytes of the body, or none at its end."""

    async def finish(self) -> None:
        """Read the rest of the body, if its end comes soon."""


class EventTracker(t.Protocol):
    """Tracks the events of a stream that were relayed to the caller."""

    count: int
    is_done: bool

    def check_start(self, answer: Source) -> None:
        """Raise BackendCut if an answer does not begin at the next event."""

    def take(self, chunk: bytes) -> bytes:
        """Take a chunk of the stream and return the complete events."""

    def end(self) -> None:
        """Handle the end of the body; raise BackendCut if it is early."""

    def drop_partial_event(self) -> None:
        """Drop the beginning of an event, which was not relayed."""


@dataclasses.dataclass(slots=True)
class EventCounter:
    """Counts the events of a streamed completion.

    Parameters
    ----------
    count : int
        Complete events with data so far, each of which is one token.
    is_done : bool
        Whether the last event, ``[DONE]``, was among them.
    """

    count: int = 0
    is_done: bool = False
    _partial_event: bytes = b""

    def take(self, chunk: bytes) -> bytes:
        """Take a chunk of the stream and return the complete events.

        The beginning of an event is held back until its end comes.

        Raises
        ------
        BackendCut
            If the bytes are not server-sent events, or an event is longer
            than ``MAX_EVENT_BYTES``.
        """
        if self._partial_event:
            chunk = self._partial_event + chunk
        if chunk.endswith(EVENT_END):
            block, self._partial_event = chunk, b""
        else:
            end = chunk.rfind(EVENT_END)
            cut = end + len(EVENT_END) if end >= 0 else 0
            block, self._partial_event = chunk[:cut], chunk[cut:]
            if len(self._partial_event) > MAX_EVENT_BYTES:
                raise exceptions.BackendCut("an event is too long")
            if not block:
                return b""
        block, is_done = _cut_behind_done(block)
        # No event counts as relayed before all that are sent with it.
        if not _EVENTS.fullmatch(block):
            raise exceptions.BackendCut("the body is not server-sent events")
        # Line breaks inside an event's JSON are escaped, so only the
        # beginnings of data lines are counted.  A token's event has one.
        self.count += block.count(LATER_TOKEN) + block.startswith(TOKEN)
        if is_done:
            self.count -= 1
            self.is_done = True
        return block

    def check_start(self, answer: Source) -> None:
        """Check that a stream begins at the next token.

        Raises
        ------
        BackendCut
            If it begins at another token.
        """
        start = answer.headers.get(RESUME_HEADER, "0")
        if start != str(self.count):
            raise exceptions.BackendCut(f"the stream begins at token {start}")

    def end(self) -> None:
        """Handle the end of a body that had no ``[DONE]`` event.

        Raises
        ------
        BackendCut
            Always, as the last event is missing.
        """
        raise exceptions.BackendCut("the stream ended without its last event")

    def drop_partial_event(self) -> None:
        """Drop the beginning of an event, which was not relayed."""
        self._partial_event = b""


def _cut_behind_done(block: bytes) -> tuple[bytes, bool]:
    """Drop what follows the last event; tell whether the block holds it."""
    if block.startswith(DONE):
        return DONE, True
    found = block.find(LATER_DONE)
    if found < 0:
        return block, False
    return block[: found + len(LATER_DONE)], True


def _select_no_headers(headers: abc.Mapping[str, str]) -> dict[str, str]:
    return {}


class Relay:
    """Holds the answer to one caller, and how much of it was sent.

    Parameters
    ----------
    send : asgi.Send
        Sends a part of the answer to the caller.
    request_id : str
        Id of the request.
    events : EventTracker, optional
        Tracks the events of a stream; by default their number.
    headers : dict, optional
        Headers of every answer; by default one with the request's id.
    select_headers : callable
        Returns those headers of a backend server's answer that the caller
        gets; by default none.

    Attributes
    ----------
    events : EventTracker
        What was relayed of a stream.
    status : int
        Status that was sent to the caller, 0 before that.
    is_started, is_whole : bool
        Whether a part of the answer was sent, after which no other answer
        can be given, and whether all of it was.
    first_s, last_s : float
        When the first and the last part were sent.
    chunks : int
        Number of parts relayed.
    """

    def __init__(
        self,
        send: asgi.Send,
        request_id: str,
        events: EventTracker | None = None,
        headers: dict[str, str] | None = None,
        select_headers: abc.Callable[
            [abc.Mapping[str, str]], dict[str, str]
        ] = _select_no_headers,
    ) -> None:
        self.events: EventTracker = (
            EventCounter() if events is None else events
        )
        self.status = 0
        self.is_started = False
        self.is_whole = False
        self.first_s = 0.0
        self.last_s = 0.0
        self.chunks = 0
        self.request_id = request_id
        self._send = send
        self._select_headers = select_headers
        self._headers = (
            {REQUEST_ID_HEADER: request_id} if headers is None else headers
        )

    async def answer(self, response: asgi.Response) -> None:
        """Send an answer that the entry itself gives."""
        headers = {**response.headers, **self._headers}
        self.is_started = True
        self.status = response.status
        self.first_s = trio.current_time()
        await asgi.send_response(
            self._send, dataclasses.replace(response, headers=headers)
        )
        self.is_whole = True
        self.last_s = trio.current_time()

    async def copy_events(self, answer: Source) -> None:
        """Relay a stream of events, from the first that was not yet sent.

        Raises
        ------
        BackendCut
            If the answer breaks off, is not an event stream or begins at
            another token; ``events`` tells how much of it was relayed.
        """
        self.check_start(answer)
        events = self.events
        events.drop_partial_event()
        while not events.is_done:
            chunk = await answer.read()
            if not chunk:
                events.end()
            block = events.take(chunk) if chunk else b""
            if block or events.is_done:
                await self._send_part(
                    answer, EVENT_STREAM, block, not events.is_done
                )
        await answer.finish()

    def has_next_event(self, data: bytes) -> bool:
        """Tell whether a body that begins so holds the next whole event.

        Raises
        ------
        BackendCut
            If it holds another event.
        """
        events = dataclasses.replace(self.events)
        events.drop_partial_event()
        return bool(events.take(data))

    def check_start(self, answer: Source) -> None:
        """Check that an answer is a stream that begins at the next event.

        Raises
        ------
        BackendCut
            If it is not.
        """
        content_type = answer.headers.get("content-type", "")
        if not content_type.startswith(EVENT_STREAM):
            raise exceptions.BackendCut(
                f"{content_type!r} is not an event stream"
            )
        self.events.check_start(answer)

    async def copy_whole(self, answer: Source, is_json: bool) -> None:
        """Relay an answer that is not a stream, as a whole or not at all.

        Only an answer over ``MAX_BUFFERED_BYTES`` is relayed while it arrives.

        Raises
        ------
        BackendCut
            If the answer breaks off, or has to be JSON and is not.
        """
        content_type = answer.headers.get("content-type", asgi.JSON_TYPE)
        parts: list[bytes] = []
        size = 0
        while chunk := await answer.read():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                held = b"".join(parts)
                await self._send_part(answer, content_type, held, True)
                parts.clear()
        body = b"".join(parts)
        if is_json and not self.is_started:
            _check_json(body)
        await self._send_part(answer, content_type, body, False)

    async def _send_part(
        self, answer: Source, content_type: str, body: bytes, has_more: bool
    ) -> None:
        if not self.is_started:
            selected = {
                **self._select_headers(answer.headers),
                **self._headers,
            }
            headers = asgi.encode_headers(content_type, selected)
            if not has_more:
                length = str(len(body)).encode()
                headers.append((b"content-length", length))
            self.is_started = True
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
                "more_body": has_more,
            }
        )
        if not has_more:
            self.is_whole = True
            self.last_s = trio.current_time()

    async def send_last_error(self, encoded_problem: bytes) -> None:
        """Send an error as the last event of a stream that has begun."""
        if self.events.count:
            event = b'data: {"error":%b}\n\n' % encoded_problem
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
        raise exceptions.BackendCut("the answer is not JSON") from error


async def _cancel_on_disconnect(
    receive: asgi.Receive, scope: trio.CancelScope
) -> None:
    await receive()
    scope.cancel()


async def run_while_present(
    run: abc.Callable[[trio.Nursery], abc.Awaitable[None]],
    receive: asgi.Receive,
    caller_answer: Relay,
) -> None:
    """Run a call, and cancel it as soon as its caller disconnects.

    Tasks that ``run`` starts in the nursery end with the call.

    Raises
    ------
    CallerGone
        If the caller disconnected before it had the whole answer.
    RequestError
        If ``run`` raised it.
    """
    request_error: exceptions.RequestError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_on_disconnect, receive, nursery.cancel_scope
        )
        try:
            await run(nursery)
        except exceptions.RequestError as error:
            request_error = error
        except asgi.CallerGone:
            pass
        nursery.cancel_scope.cancel()
    if request_error is not None:
        raise request_error
    if not caller_answer.is_whole:
        raise asgi.CallerGone
