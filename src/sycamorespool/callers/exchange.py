"""Exchanges one request and its response on a caller's connection.

``receive`` and ``send`` are what an ASGI application is called with::

    exchange = Exchange(http, connection, lambda: False)
    await app(scope, exchange.receive, exchange.send)
"""

from collections import abc
import typing as t

import h11
import trio

from sycamorespool import asgi
from sycamorespool import sockets

# Bytes of following requests that are read during an answer.
MAX_PIPELINED_BYTES = 16 * 1024
CLOSE = (b"connection", b"close")


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
        connection: sockets.Connection,
        is_leaving: abc.Callable[[], bool],
    ) -> None:
        self.has_begun = False
        self.is_head = False
        self._is_leaving = is_leaving
        self._http = http
        self._connection = connection
        self._head: h11.Response | None = None
        self._is_body_read = False
        self._is_chunked = False
        self._pipelined_bytes = 0

    async def receive(self) -> dict[str, t.Any]:
        """Return the next part of the body, or the caller's disconnection."""
        if self._is_body_read:
            await self._wait_for_disconnect()
            return {"type": "http.disconnect"}
        try:
            event = await next_event(self._http, self._connection)
        except (OSError, h11.RemoteProtocolError):
            return {"type": "http.disconnect"}
        if isinstance(event, h11.Data):
            return {
                "type": "http.request",
                "body": bytes(event.data),
                "more_body": True,
            }
        self._is_body_read = True
        return {"type": "http.request", "body": b"", "more_body": False}

    async def _wait_for_disconnect(self) -> None:
        while True:
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                await trio.sleep_forever()
            try:
                data = await self._connection.receive()
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
            if CLOSE not in headers and self._is_last():
                headers.append(CLOSE)
            self._head = h11.Response(
                status_code=message["status"], headers=headers
            )
            return
        encoded = self._encode_body(message)
        self.has_begun = True
        try:
            await self._connection.send(encoded)
        except OSError as error:
            raise asgi.CallerGone from error

    def _is_last(self) -> bool:
        """Tell whether the connection closes after this response."""
        if self._http.their_state is not h11.DONE:
            return True
        if not self._is_leaving():
            return False
        # Following requests that have already arrived are still served.
        return not self._http.trailing_data[0] and self._connection.is_idle()

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


async def next_event(
    http: h11.Connection, connection: sockets.Connection
) -> t.Any:
    """Return the next event of the caller, and read as needed.

    Raises
    ------
    OSError
        If the connection is broken.
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
            await connection.send(http.send(continue_response))
        http.receive_data(await connection.receive())
