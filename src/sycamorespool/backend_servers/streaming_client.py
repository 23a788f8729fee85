"""Sends HTTP requests to backend servers, with streamed answers.

It uses h11, the parser of httpcore, directly, because the layers of a
general client cause most of the cost of a stream of tokens.  A connection is
used again only after a complete answer was read from it.
"""

from collections import abc
import contextlib
import dataclasses
import typing as t

import h11
import trio

from sycamorespool import connection_pool
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import sockets

# Statuses by which a backend server says that it did not run a request.
REFUSALS = frozenset((429, 503))
ATTEMPT_HEADER = "x-attempt-id"
CONNECT_TIMEOUT_S = 0.5
# Time to read the rest of an answer for the sake of its connection.
FINISH_TIMEOUT_S = 0.2
# A body up to this length is sent together with the head.
MAX_COPIED_BYTES = 16 * 1024
# Number of times that the idle deadline is moved within its timeout, at most.
RENEWALS_PER_TIMEOUT = 8


def _is_refusal_status(status: int, headers: abc.Mapping[str, str]) -> bool:
    return status in REFUSALS


def _accept_any(status: int, headers: abc.Mapping[str, str]) -> bool:
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Says what marks requests, their answers and refusals.

    Parameters
    ----------
    attempt_header : str
        Lower-case name of the header that carries the attempt's id in the
        request and in its answer.
    is_refusal : callable
        Tells from status and headers whether the request was not run.
    is_genuine : callable
        Tells from status and headers whether an answer has all marks of one
        that the backend server gave.
    """

    attempt_header: str = ATTEMPT_HEADER
    is_refusal: abc.Callable[[int, abc.Mapping[str, str]], bool] = (
        _is_refusal_status
    )
    is_genuine: abc.Callable[[int, abc.Mapping[str, str]], bool] = _accept_any


OWN_DIALECT = Dialect()


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Holds the request of one attempt.

    Parameters
    ----------
    address : str
        ``IP:port`` of the backend server.
    attempt_id : str
        Unique id, which the answer has to carry too.
    may_reuse : bool
        Whether to use an idle connection.  The backend server may be
        closing it at that moment, and then it is unknown whether the
        request was run.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    attempt_id: str
    may_reuse: bool = True
    dialect: Dialect = OWN_DIALECT


class BackendAnswer:
    """Holds an answer whose body is still to be read.

    Parameters
    ----------
    scope : trio.CancelScope
        Scope of the exchange, whose deadline each read moves.
    idle_s : float
        Time after which the exchange is cancelled without a read or data.
    end_s : float
        Time at which the exchange is cancelled in any case.

    Attributes
    ----------
    status : int
        HTTP status, 0 before the head was read.
    headers : dict
        Headers by lower-case name; the last of those that come twice.
    joined_headers : dict
        The same with all of these, as ``http_client.join_headers`` does.
    is_whole : bool
        Whether the body was read to its end.
    is_waiting : bool
        Whether a read waits for bytes of the backend server.
    """

    def __init__(
        self,
        http_connection: connection_pool.HttpConnection,
        scope: trio.CancelScope,
        idle_s: float,
        end_s: float,
    ) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.joined_headers: dict[str, str] = {}
        self.is_whole = False
        self.is_waiting = False
        self._http_connection = http_connection
        self._scope = scope
        self._idle_s = idle_s
        self._end_s = end_s
        self._next_renewal_s = 0.0

    async def read(self) -> bytes:
        """Return the next bytes of the body, or none at its end.

        Raises
        ------
        BackendCut
            If the answer breaks off or is not valid HTTP; as BackendClosed
            if its connection was closed.
        """
        self._renew_deadline()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self.is_whole = True
                return b""

    async def finish(self) -> None:
        """Read the rest for ``FINISH_TIMEOUT_S``, to keep the connection."""
        with trio.move_on_after(FINISH_TIMEOUT_S):
            with contextlib.suppress(exceptions.BackendCut):
                while not self.is_whole:
                    await self.read()

    async def read_head(self) -> None:
        """Read status and headers.

        Raises
        ------
        BackendCut
            As for :meth:`read`.
        """
        self._renew_deadline()
        event = None
        while not isinstance(event, h11.Response):
            event = await self._next_event()
        if not http_client.is_answer(event.status_code):
            raise exceptions.BackendCut(
                f"{event.status_code} is not the status of an answer"
            )
        self.status = event.status_code
        pairs = list(event.headers)
        self.headers = http_client.decode_headers(pairs)
        self.joined_headers = http_client.join_headers(pairs)

    def _renew_deadline(self) -> None:
        # Moving the deadline costs more than reading the clock, so it is
        # moved only after an eighth of the idle time has passed.
        now_s = trio.current_time()
        if now_s >= self._next_renewal_s:
            self._scope.deadline = min(now_s + self._idle_s, self._end_s)
            self._next_renewal_s = now_s + self._idle_s / RENEWALS_PER_TIMEOUT

    async def _next_event(self) -> t.Any:
        http = self._http_connection.http
        is_closed = False
        try:
            event = http.next_event()
            while event is h11.NEED_DATA:
                self.is_waiting = True
                data = await self._http_connection.connection.receive()
                self.is_waiting = False
                is_closed = not data
                http.receive_data(data)
                event = http.next_event()
        except OSError as error:
            raise exceptions.BackendClosed(repr(error)) from error
        except h11.RemoteProtocolError as error:
            if is_closed:
                raise exceptions.BackendClosed(repr(error)) from error
            raise exceptions.BackendCut(repr(error)) from error
        if isinstance(event, h11.ConnectionClosed):
            raise exceptions.BackendClosed(
                "connection closed before the end of the answer"
            )
        return event


async def _connect(
    address: str, end_s: float
) -> connection_pool.HttpConnection:
    latest_s = trio.current_time() + CONNECT_TIMEOUT_S
    try:
        with trio.fail_at(min(latest_s, end_s)):
            return connection_pool.HttpConnection(
                await sockets.connect(address)
            )
    except OSError as error:
        if sockets.lacks_resources(error):
            raise exceptions.BackendNotReached(repr(error)) from error
        raise exceptions.BackendUnreachable(repr(error), True) from error
    except trio.TooSlowError as error:
        if end_s < latest_s:
            raise exceptions.BackendNotReached(repr(error)) from error
        raise exceptions.BackendUnreachable(repr(error), False) from error


def _encode_request(
    http: h11.Connection, outgoing: OutgoingRequest
) -> list[bytes]:
    """Return the bytes of a request in parts.

    A long body is a part of its own and the same object as that of the
    request, so that attempts beside each other hold no copies of it.
    """
    headers = {
        "host": outgoing.address,
        **outgoing.headers,
        outgoing.dialect.attempt_header: outgoing.attempt_id,
        "content-length": str(len(outgoing.body)),
    }
    request = h11.Request(
        method=outgoing.method,
        target=outgoing.path,
        headers=http_client.encode_headers(headers),
    )
    head = http.send(request) or b""
    if outgoing.body:
        http.send_with_data_passthrough(h11.Data(data=outgoing.body))
    # Nothing follows a body whose length the head tells.
    http.send(h11.EndOfMessage())
    if len(outgoing.body) > MAX_COPIED_BYTES:
        return [head, outgoing.body]
    return [head + outgoing.body]


async def _exchange_heads(
    http_connection: connection_pool.HttpConnection,
    outgoing: OutgoingRequest,
    answer: BackendAnswer,
) -> None:
    try:
        for part in _encode_request(http_connection.http, outgoing):
            await http_connection.connection.send(part)
    except OSError as error:
        raise exceptions.BackendCut(repr(error)) from error
    await answer.read_head()
    dialect = outgoing.dialect
    is_refusal = dialect.is_refusal(answer.status, answer.headers)
    named = answer.headers.get(dialect.attempt_header)
    # A refusal of a request that seemed to have no id names none; on a used
    # connection it may be that of an earlier request.
    is_unnamed = is_refusal and not named and http_connection.is_new
    if named != outgoing.attempt_id and not is_unnamed:
        raise exceptions.BackendCut("the answer has another attempt's id")
    if not dialect.is_genuine(answer.status, answer.headers):
        raise exceptions.BackendCut(
            f"the answer {answer.status} has no signature"
        )
    if is_refusal:
        raise exceptions.BackendRefused(answer.status, "", answer.headers)


@contextlib.asynccontextmanager
async def open_request(
    pool: connection_pool.ConnectionPool,
    outgoing: OutgoingRequest,
    idle_s: float,
    end_s: float,
    may_send: abc.Callable[[], bool] = lambda: True,
) -> abc.AsyncIterator[BackendAnswer]:
    """Send a request and yield the answer while its connection is open.

    The connection is closed and not used again if the context is left
    before the end of the answer or by an error.

    Parameters
    ----------
    idle_s : float
        How long the backend server may send nothing, or the reader of the
        answer may take to handle one part of it.
    end_s : float
        When the exchange has to be complete.
    may_send : callable
        Tells, once the connection is open, whether the backend server still
        wants the request.

    Raises
    ------
    BackendNotReached
        If no byte was sent.
    BackendRefused
        If the backend server says that it did not run this request.
    BackendCut
        If the exchange failed after a byte may have been sent, the answer
        has another attempt's id, or the exchange took too long.
    CallerStalled
        If the reader of the answer took too long to handle a part.
    """
    is_kept = False
    http_connection = None
    now_s = trio.current_time()
    # Without an id an answer of an earlier request could not be recognised.
    if outgoing.may_reuse and outgoing.attempt_id:
        http_connection = pool.take(
            outgoing.address, now_s, outgoing.attempt_id
        )
    if http_connection is None:
        http_connection = await _connect(outgoing.address, end_s)
        if not may_send():
            http_connection.connection.close()
            raise exceptions.BackendNotReached("it wants no more requests")
    scope = trio.CancelScope(deadline=min(now_s + idle_s, end_s))
    answer = BackendAnswer(http_connection, scope, idle_s, end_s)
    try:
        with scope:
            await _exchange_heads(http_connection, outgoing, answer)
            yield answer
            is_kept = http_connection.is_reusable()
        if scope.cancelled_caught:
            _raise_timeout(answer, end_s)
    finally:
        if is_kept:
            pool.put(
                outgoing.address,
                http_connection,
                outgoing.attempt_id,
                trio.current_time(),
            )
        else:
            http_connection.connection.close()


def _raise_timeout(answer: BackendAnswer, end_s: float) -> t.NoReturn:
    if trio.current_time() >= end_s:
        raise exceptions.BackendCut("the request took too long")
    if answer.status and not answer.is_waiting:
        raise exceptions.CallerStalled("the caller stopped reading the answer")
    raise exceptions.BackendCut("the backend server sent nothing in time")
