"""Exchanges one request and its response on a caller's connection.

``receive`` and ``send`` are what an ASGI application is called with::

    exchange = Exchange(http, client, lambda: False)
    await app(scope, exchange.receive, exchange.send)
"""

from collections import abc
import contextlib
import typing as t

import h11
import trio

from sycamorespool import asgi
from sycamorespool.callers import clients
from sycamorespool.decisions import client_memory

# Bytes of following requests that are read during an answer; the cost of a
# connection covers them.
MAX_PIPELINED_BYTES = clients.CONNECTION_BYTES
# Parts of a body after which other connections get their turn, as a caller
# may send many that are small.
PARTS_PER_TURN = 64
CLOSE = (b"connection", b"close")

_Phase = client_memory.Phase


class Exchange:
    """Holds one request and its response on a connection.

    ``receive`` and ``send`` are those of ASGI.  The head of a response is
    sent together with the first part of its body, and its end together with
    the last part.

    Attributes
    ----------
    has_begun : bool
        Whether a part of the response was sent, after which no other one
        can be given.
    is_head : bool
        Whether the method is HEAD, whose response has no body.
    """

    def __init__(
        self,
        http: h11.Connection,
        client: clients.Client,
        is_leaving: abc.Callable[[], bool],
    ) -> None:
        self.has_begun = False
        self.is_head = False
        self._is_leaving = is_leaving
        self._http = http
        self._client = client
        self._head: h11.Response | None = None
        self._is_body_read = False
        self._is_chunked = False
        self._pipelined_bytes = 0

    async def receive(self) -> dict[str, t.Any]:
        """Return the next part of the body, or the caller's disconnection.

        Raises
        ------
        NotRun
            If there is no room for the body.
        """
        if self._is_body_read:
            await self._wait_for_disconnect()
            return {"type": "http.disconnect"}
        try:
            body = await self._receive_part()
        except (OSError, h11.RemoteProtocolError):
            return {"type": "http.disconnect"}
        if self._is_body_read:
            self._client.set_phase(_Phase.RUNNING)
        return {
            "type": "http.request",
            "body": body,
            "more_body": not self._is_body_read,
        }

    async def _receive_part(self) -> bytes:
        """Return what has arrived of the body; wait if that is nothing."""
        body = bytearray()
        for _ in range(PARTS_PER_TURN):
            event = self._http.next_event()
            if event is h11.NEED_DATA and not body:
                event = await next_event(self._http, self._client)
            if event is h11.NEED_DATA:
                return bytes(body)
            if not isinstance(event, h11.Data):
                self._is_body_read = True
                return bytes(body)
            body += event.data
        await trio.lowlevel.checkpoint()
        return bytes(body)

    async def _wait_for_disconnect(self) -> None:
        while True:
            left = MAX_PIPELINED_BYTES - self._pipelined_bytes
            if left <= 0:
                await trio.sleep_forever()
            try:
                data = await self._client.connection.receive(left)
            except (OSError, trio.ClosedResourceError):
                return
            self._http.receive_data(data)
            self._pipelined_bytes += len(data)
            if not data:
                return

    async def send(self, message: dict[str, t.Any]) -> None:
        """Send a part of the response.

        Raises
        ------
        CallerGone
            If the connection is broken.
        """
        if message["type"] == "http.response.start":
            headers = list(message["headers"])
            self._skip_received_body()
            if CLOSE not in headers and self._is_last():
                headers.append(CLOSE)
            self._head = h11.Response(
                status_code=message["status"], headers=headers
            )
            return
        encoded = self._encode_body(message)
        self.has_begun = True
        try:
            await self._client.send(encoded)
        except OSError as error:
            raise asgi.CallerGone from error

    def _skip_received_body(self) -> None:
        """Drop what has arrived of a body that the answer does not need.

        If that is all of it, the connection can be used again.
        """
        if self._http.their_state is not h11.SEND_BODY:
            return
        with contextlib.suppress(h11.RemoteProtocolError):
            for _ in range(PARTS_PER_TURN):
                event = self._http.next_event()
                if not isinstance(event, h11.Data):
                    return

    def _is_last(self) -> bool:
        """Tell whether the connection closes after this response."""
        if self._http.their_state is not h11.DONE:
            return True
        if not self._is_leaving():
            return False
        # Following requests that have already arrived are still served.
        is_idle = self._client.connection.is_idle()
        return not self._http.trailing_data[0] and is_idle

    def _encode_body(self, message: dict[str, t.Any]) -> bytes:
        body = b"" if self.is_head else message.get("body", b"")
        is_last = not message.get("more_body", False)
        if self._is_chunked and body and not is_last:
            # The same bytes as h11 returns for a chunk, without the cost of
            # its checks, which the first chunk has passed.
            return b"%x\r\n%b\r\n" % (len(body), body)
        parts = []
        if self._head is not None:
            parts.append(self._http.send(self._head))
            self._head = None
        if body:
            encoded = self._http.send(h11.Data(data=body))
            self._is_chunked = encoded != body
            parts.append(encoded)
        if is_last:
            parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(parts)


async def next_event(http: h11.Connection, client: clients.Client) -> t.Any:
    """Return the next event of the caller, and read as needed.

    Raises
    ------
    OSError
        If the connection is broken.
    NotRun
        If there is no room for what it sends.
    h11.RemoteProtocolError
        If the caller's bytes are no valid HTTP.
    """
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        if http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await client.send(http.send(continue_response))
        http.receive_data(await client.receive())
