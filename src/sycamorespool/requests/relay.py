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

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool.requests import event_counts

EVENT_STREAM = "text/event-stream"
# Size up to which an answer that is no stream is buffered as a whole.
MAX_BUFFERED_BYTES = 1024 * 1024
REQUEST_ID_HEADER = "x-request-id"


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
    events : event_counts.EventTracker, optional
        Tracks the events of a stream; by default their number.
    headers : dict, optional
        Headers of every answer; by default one with the request's id.
    select_headers : callable
        Returns those headers of a backend server's answer that the caller
        gets; by default none.
    may_hold : callable
        Accounts for a part of an answer that is held before any of it is
        sent; tells whether there is room.

    Attributes
    ----------
    events : event_counts.EventTracker
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
        events: event_counts.EventTracker | None = None,
        headers: dict[str, str] | None = None,
        select_headers: abc.Callable[
            [abc.Mapping[str, str]], dict[str, str]
        ] = _select_no_headers,
        may_hold: abc.Callable[[float], bool] = lambda size_bytes: True,
    ) -> None:
        self.events: event_counts.EventTracker = (
            event_counts.EventCounter() if events is None else events
        )
        self.status = 0
        self.is_started = False
        self.is_whole = False
        self._is_event_stream = False
        self.first_s = 0.0
        self.last_s = 0.0
        self.chunks = 0
        self.request_id = request_id
        self._send = send
        self._select_headers = select_headers
        self.may_hold = may_hold
        self._headers = (
            {REQUEST_ID_HEADER: request_id} if headers is None else headers
        )

    @property
    def may_go_on(self) -> bool:
        """Tell whether a further answer of a server can be relayed.

        Only a stream of events that has begun can go on with another one.
        """
        return self._is_event_stream or not self.is_started

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

    async def copy_events(self, answer: event_counts.Source) -> None:
        """Relay a stream of events, from the first that was not yet sent.

        Raises
        ------
        BackendCut
            If the answer breaks off, is not an event stream, has no event
            or begins at another token; ``events`` tells how much of it was
            relayed.
        """
        self.check_start(answer)
        events = self.events
        events.drop_partial_event()
        count_before = events.count
        while not events.is_done:
            chunk = await answer.read()
            if not chunk:
                if events.count == count_before:
                    raise exceptions.BackendCut("the stream has no event")
                events.end()
            block = events.take(chunk) if chunk else b""
            if block or events.is_done:
                self._is_event_stream = True
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
        events.take(data)
        return events.count > self.events.count

    def check_start(self, answer: event_counts.Source) -> None:
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

    async def copy_whole(
        self, answer: event_counts.Source, is_json: bool
    ) -> None:
        """Relay an answer that is not a stream, as a whole or not at all.

        Only an answer over ``MAX_BUFFERED_BYTES``, or one for which there is
        no room, is relayed while it arrives.

        Raises
        ------
        BackendCut
            If the answer breaks off, or has to be JSON and is not.
        """
        content_type = answer.headers.get("content-type", asgi.JSON_TYPE)
        held = bytearray()
        is_held = True
        while chunk := await answer.read():
            held += chunk
            is_held = is_held and self.may_hold(len(chunk))
            if not is_held or len(held) > MAX_BUFFERED_BYTES:
                is_held = False
                body, held = bytes(held), bytearray()
                await self._send_part(answer, content_type, body, True)
        body, held = bytes(held), bytearray()
        if is_json and not self.is_started:
            _check_json(body)
        await self._send_part(answer, content_type, body, False)

    async def _send_part(
        self,
        answer: event_counts.Source,
        content_type: str,
        body: bytes,
        has_more: bool,
    ) -> None:
        if not self.is_started:
            selected = {
                **self._select_headers(answer.joined_headers),
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
        decoding.decode(msgspec.json.decode, body)
    except exceptions.Undecodable as error:
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
