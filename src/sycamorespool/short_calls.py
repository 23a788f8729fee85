"""Makes an entry's own calls to backend servers: reports, orders, probes.

A server at fault may answer such a call without end, and an entry calls
hundreds of servers at the same time.  So each call says how long its answer
may be, and nothing beyond that is read::

    caller = Caller()
    answer = await caller.call(
        Call("10.0.0.7:8000", "GET", "/report", max_body_bytes=32 * 1024)
    )

It uses h11 directly, as :mod:`sycamorespool.backend_servers.streaming_client`
does, and keeps connections in a pool of the same kind.
"""

from collections import abc
import dataclasses
import itertools

import h11
import trio

from sycamorespool import connection_pool
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import sockets

# Bounds of an answer's head.  Its fields take many times their bytes once
# they are parsed.
MAX_HEAD_BYTES = 16 * 1024
MAX_FIELDS = 100
# Interim answers and parts of a body in one answer.  Each takes its time to
# parse, however short it is.
MAX_EVENTS = 256
READ_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Holds one call to a backend server.

    Parameters
    ----------
    address : str
        ``IP:port`` of the backend server.
    max_body_bytes : int
        Length of a longer answer than this kind of call can have.
    timeout_s : float
        Time to connect, and time to send the call and read its answer.
    may_reuse : bool
        Whether it may use a connection on which another call was answered.
    is_last : bool
        Whether no other call may follow on its connection.
    """

    address: str
    method: str
    path: str
    max_body_bytes: int
    timeout_s: float
    body: bytes = b""
    may_reuse: bool = True
    is_last: bool = False


class Caller:
    """Makes calls and keeps their connections for the next ones."""

    def __init__(self) -> None:
        self.connections = connection_pool.ConnectionPool()
        self._numbers = itertools.count(1)

    async def call(self, call: Call) -> http_client.Response:
        """Make a call and return its whole answer.

        Raises
        ------
        BackendNotReached
            If no connection could be established.
        BackendCut
            If the exchange failed after a byte may have been sent, took
            longer than ``timeout_s``, or its answer is too long or none.
        """
        number = str(next(self._numbers))
        used = await self._open(call, number)
        is_kept = False
        try:
            with trio.fail_after(call.timeout_s):
                answer = await _exchange(used, call)
            is_kept = used.is_reusable() and not call.is_last
        except (OSError, h11.ProtocolError, trio.TooSlowError) as error:
            raise exceptions.BackendCut(
                f"{call.method} {call.path}: {error!r}"
            ) from error
        finally:
            if not is_kept:
                used.connection.close()
        if is_kept:
            now_s = trio.current_time()
            self.connections.put(call.address, used, number, now_s)
        return answer

    async def _open(
        self, call: Call, number: str
    ) -> connection_pool.HttpConnection:
        if call.may_reuse:
            now_s = trio.current_time()
            kept = self.connections.take(call.address, now_s, number)
            if kept is not None:
                return kept
        try:
            with trio.fail_after(call.timeout_s):
                connection = await sockets.connect(call.address)
        except (OSError, trio.TooSlowError) as error:
            raise exceptions.BackendNotReached(
                f"{call.method} {call.path}: {error!r}"
            ) from error
        return connection_pool.HttpConnection(connection, MAX_HEAD_BYTES)


@dataclasses.dataclass(slots=True)
class _PartialAnswer:
    """Holds what was read of an answer."""

    max_body_bytes: int
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    # One buffer: a list of parts would take many times their bytes.
    body: bytearray = dataclasses.field(default_factory=bytearray)

    def add(self, event: h11.Event) -> None:
        """Add what was read next.

        Raises
        ------
        h11.RemoteProtocolError
            If the answer is none, or exceeds a limit.
        """
        if isinstance(event, h11.Response):
            self._add_head(event)
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > self.max_body_bytes:
                raise h11.RemoteProtocolError("the answer is too long")
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("closed within the answer")

    def _add_head(self, head: h11.Response) -> None:
        fields = list(head.headers)
        if not http_client.is_answer(head.status_code):
            raise h11.RemoteProtocolError(
                f"{head.status_code} is not the status of an answer"
            )
        if len(fields) > MAX_FIELDS:
            raise h11.RemoteProtocolError("the answer has too many fields")
        self.status = head.status_code
        self.headers = http_client.decode_headers(fields)


async def _exchange(
    used: connection_pool.HttpConnection, call: Call
) -> http_client.Response:
    await used.connection.send(_encode(used.http, call))
    answer = _PartialAnswer(call.max_body_bytes)
    for _ in range(MAX_EVENTS):
        event = await _read_event(used)
        answer.add(event)
        if isinstance(event, h11.EndOfMessage):
            return http_client.Response(
                answer.status, answer.headers, bytes(answer.body)
            )
    raise h11.RemoteProtocolError("the answer has too many parts")


def _encode(http: h11.Connection, call: Call) -> bytes:
    fields = {
        "host": call.address,
        "content-type": "application/json",
        "content-length": str(len(call.body)),
    }
    if call.is_last:
        fields.update(http_client.LAST_REQUEST)
    request = h11.Request(
        method=call.method,
        target=call.path,
        headers=http_client.encode_headers(fields),
    )
    events: abc.Iterable[h11.Event] = (
        request,
        h11.Data(data=call.body),
        h11.EndOfMessage(),
    )
    return b"".join(http.send(event) or b"" for event in events)


async def _read_event(used: connection_pool.HttpConnection) -> h11.Event:
    event = used.http.next_event()
    while event is h11.NEED_DATA:
        used.http.receive_data(await used.connection.receive(READ_BYTES))
        event = used.http.next_event()
    return event
