"""Requests towards backend servers and their answers.

They run on h11, the parser beneath httpcore, as a stream of tokens spends
most of its cost between the layers of a general client.  A connection is
used again only after a whole answer was read from it.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import typing as t

import h11
import trio

from sycamorespool import exceptions
from sycamorespool import sockets

REFUSALS = frozenset((429, 503))
ATTEMPT_HEADER = "x-attempt-id"
CONNECT_TIMEOUT_S = 1.0
FINISH_TIMEOUT_S = 0.2
MAX_HEAD_BYTES = 64 * 1024
IDLE_EXPIRY_S = 15.0
SWEEP_PERIOD_S = 5.0
MAX_IDLE_PER_ADDRESS = 64
RENEWALS_PER_TIMEOUT = 8


def _is_own_refusal(status: int, headers: abc.Mapping[str, str]) -> bool:
    return status in REFUSALS


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """How backend servers name an attempt and refuse one.

    Parameters
    ----------
    attempt_header : str
        Lower-case name of the header that carries the attempt's id, which
        the answer repeats.
    is_refusal : callable
        Whether status and headers say that the request was not run.
    """

    attempt_header: str = ATTEMPT_HEADER
    is_refusal: abc.Callable[[int, abc.Mapping[str, str]], bool] = (
        _is_own_refusal
    )


OWN_DIALECT = Dialect()


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """One attempt at a request.

    Parameters
    ----------
    address : str
        ``IP:port`` of the backend server.
    attempt_id : str
        Unique id, which the answer has to carry.
    may_reuse : bool
        Whether a connection that was used before may serve, which the
        backend server might be closing just now.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    attempt_id: str
    may_reuse: bool = True
    dialect: Dialect = OWN_DIALECT


class _Link:
    """A connection to a backend server and the state of HTTP on it."""

    __slots__ = ("connection", "http", "idle_since_s")

    def __init__(self, connection: sockets.Connection) -> None:
        self.connection = connection
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.idle_since_s = 0.0

    def is_reusable(self) -> bool:
        """Tell whether a whole exchange ended and another may begin.

        Bytes after the end of an answer belong to no request.
        """
        is_done = self.http.our_state is self.http.their_state is h11.DONE
        return is_done and not self.http.trailing_data[0]


class Links:
    """The connections to backend servers that wait for their next use."""

    def __init__(self) -> None:
        self._idle: collections.defaultdict[str, collections.deque[_Link]] = (
            collections.defaultdict(collections.deque)
        )
        self._swept_s = float("-inf")

    def count_idle(self) -> int:
        """Return how many connections wait."""
        return sum(len(links) for links in self._idle.values())

    def take(self, address: str, now_s: float) -> _Link | None:
        """Return a usable connection; the others found are closed."""
        links = self._idle[address]
        while links:
            link = links.pop()
            is_fresh = now_s - link.idle_since_s < IDLE_EXPIRY_S
            if is_fresh and link.connection.is_quiet():
                return link
            link.connection.close()
        del self._idle[address]
        return None

    def put(self, address: str, link: _Link, now_s: float) -> None:
        """Keep a connection on which a whole exchange ended."""
        link.http.start_next_cycle()
        link.idle_since_s = now_s
        links = self._idle[address]
        links.append(link)
        if len(links) > MAX_IDLE_PER_ADDRESS:
            links.popleft().connection.close()
        if now_s - self._swept_s >= SWEEP_PERIOD_S:
            self.sweep(now_s)

    def sweep(self, now_s: float) -> None:
        """Close the connections that waited too long."""
        self._swept_s = now_s
        for address, links in list(self._idle.items()):
            while links and now_s - links[0].idle_since_s >= IDLE_EXPIRY_S:
                links.popleft().connection.close()
            if not links:
                del self._idle[address]

    def close(self) -> None:
        """Close all of them."""
        self.sweep(float("inf"))


class BackendAnswer:
    """An answer whose body is still to be read.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict
        Headers by lower-case name.
    """

    def __init__(
        self,
        link: _Link,
        scope: trio.CancelScope,
        idle_s: float,
        end_s: float,
    ) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.is_whole = False
        self.is_waiting = False
        self._link = link
        self._scope = scope
        self._idle_s = idle_s
        self._end_s = end_s
        self._renew_s = 0.0

    async def read(self) -> bytes:
        """Return the bytes of the body that come next, none at the end.

        Raises
        ------
        BackendCut
            If the answer breaks off or is no HTTP.
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
        """Read on to the end, for a short time, to keep the connection."""
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
        self.status = event.status_code
        self.headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in event.headers
        }

    def _renew_deadline(self) -> None:
        # Moving the deadline costs more than reading the clock, so it is
        # moved only after an eighth of the time has gone.
        now_s = trio.current_time()
        if now_s >= self._renew_s:
            self._scope.deadline = min(now_s + self._idle_s, self._end_s)
            self._renew_s = now_s + self._idle_s / RENEWALS_PER_TIMEOUT

    async def _next_event(self) -> t.Any:
        http = self._link.http
        try:
            event = http.next_event()
            while event is h11.NEED_DATA:
                self.is_waiting = True
                data = await self._link.connection.receive()
                self.is_waiting = False
                http.receive_data(data)
                event = http.next_event()
        except (OSError, h11.RemoteProtocolError) as error:
            raise exceptions.BackendCut(repr(error)) from error
        if isinstance(event, h11.ConnectionClosed):
            raise exceptions.BackendCut("closed before its answer")
        return event


async def _connect(address: str) -> _Link:
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            return _Link(await sockets.connect(address))
    except (OSError, trio.TooSlowError) as error:
        raise exceptions.BackendNotReached(repr(error)) from error


def _encode_request(http: h11.Connection, outgoing: Outgoing) -> bytes:
    headers = {
        "host": outgoing.address,
        **outgoing.headers,
        outgoing.dialect.attempt_header: outgoing.attempt_id,
        "content-length": str(len(outgoing.body)),
    }
    request = h11.Request(
        method=outgoing.method,
        target=outgoing.path,
        headers=list(headers.items()),
    )
    parts = [http.send(request)]
    if outgoing.body:
        parts.append(http.send(h11.Data(data=outgoing.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(parts)


async def _begin(
    link: _Link, outgoing: Outgoing, answer: BackendAnswer
) -> None:
    try:
        await link.connection.send(_encode_request(link.http, outgoing))
    except OSError as error:
        raise exceptions.BackendCut(repr(error)) from error
    await answer.read_head()
    dialect = outgoing.dialect
    if dialect.is_refusal(answer.status, answer.headers):
        raise exceptions.BackendRefused(answer.status)
    if answer.headers.get(dialect.attempt_header) != outgoing.attempt_id:
        raise exceptions.BackendCut("answer of another attempt")


@contextlib.asynccontextmanager
async def open_request(
    links: Links, outgoing: Outgoing, idle_s: float, end_s: float
) -> abc.AsyncIterator[BackendAnswer]:
    """Send a request and give the answer while its connection is open.

    The connection is closed, never used again, if the answer is left
    before its end or whoever reads it raises an error.

    Parameters
    ----------
    idle_s : float
        How long the backend server may be silent, or whoever reads the
        answer may take over one piece of it.
    end_s : float
        When the exchange has to be over.

    Raises
    ------
    BackendNotReached
        If no byte was sent.
    BackendRefused
        If the backend server says that it did not run the request.
    BackendCut
        If the exchange broke after a byte may have been sent, the answer
        belongs to another attempt, or it took too long.
    CallerStalled
        If the answer was not read on in time.
    """
    may_keep = False
    link = None
    now_s = trio.current_time()
    if outgoing.may_reuse:
        link = links.take(outgoing.address, now_s)
    if link is None:
        link = await _connect(outgoing.address)
    scope = trio.CancelScope(deadline=min(now_s + idle_s, end_s))
    answer = BackendAnswer(link, scope, idle_s, end_s)
    try:
        with scope:
            await _begin(link, outgoing, answer)
            yield answer
            may_keep = link.is_reusable()
        if scope.cancelled_caught:
            _raise_timeout(answer, end_s)
    finally:
        if may_keep:
            links.put(outgoing.address, link, trio.current_time())
        else:
            link.connection.close()


def _raise_timeout(answer: BackendAnswer, end_s: float) -> t.NoReturn:
    if trio.current_time() >= end_s:
        raise exceptions.BackendCut("the request took too long")
    if answer.status and not answer.is_waiting:
        raise exceptions.CallerStalled("the caller takes no bytes")
    raise exceptions.BackendCut("the backend server is silent")
