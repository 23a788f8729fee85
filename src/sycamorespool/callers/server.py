"""Serves ASGI over HTTP/1.1 on h11, with a low cost for each chunk.

An application that runs here also runs under hypercorn.  This server
differs in the cost of a chunk, and in that it answers an invalid request
head with a ``problem+json`` that names the cause.
"""

from collections import abc
import contextlib
import dataclasses
import math
import re
import socket
import urllib.parse

from absl import logging
import h11
import trio

from sycamorespool import asgi
from sycamorespool.callers import clients
from sycamorespool.callers import exchange
from sycamorespool.callers import problems
from sycamorespool.decisions import client_memory
from sycamorespool import exceptions
from sycamorespool import settings
from sycamorespool import sockets

# Time to accept the connections that are waiting when the server stops.
LAST_ACCEPTS_S = 0.05
# Limits of reading what a caller still sends after its answer.
LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024
HEAD_ERRORS = {
    431: ("head_too_large", "the request head is too long"),
    501: ("bad_http", "the transfer encoding is not supported"),
}
# Blank line at the end of a head, as h11 finds it.
HEAD_END = re.compile(rb"\n\r?\n")
HEAD_END_BYTES = 3
NO_TUNNELS = ("bad_http", "the method CONNECT is not supported", 501)
BAD_HTTP = ("bad_http", "the request is not valid HTTP/1.1")
INTERNAL_ERROR = ("internal_error", "the entry failed to serve the request")
STOPPING = ("stopping", "the entry stopped before the request was answered")
# States of a connection in which a response may begin.
ANSWERABLE = (h11.IDLE, h11.SEND_RESPONSE)
# Time for the answers to requests that are still open when the grace ends.
LAST_ANSWERS_S = 0.2


@dataclasses.dataclass(slots=True)
class _Server:
    """Holds the state that the connections share.

    ``idle`` holds the cancel scopes of the connections without a request,
    and ``open`` those of the requests that are being served.  They may last
    until ``end_s``.  Once ``is_leaving``, callers are told to open new
    connections, which reach other processes.
    """

    app: asgi.App
    find_limits: abc.Callable[[], settings.LimitsSection]
    clients: clients.Clients
    idle: set[trio.CancelScope] = dataclasses.field(default_factory=set)
    open: set[trio.CancelScope] = dataclasses.field(default_factory=set)
    end_s: float = math.inf
    is_leaving: abc.Callable[[], bool] = lambda: False
    is_stopping: bool = False

    def is_closing(self) -> bool:
        """Tell whether connections close after their next answer."""
        return self.is_stopping or self.is_leaving()


def _make_scope(request: h11.Request, client: clients.Client) -> asgi.Scope:
    path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": request.http_version.decode(),
        "method": request.method.decode(),
        "scheme": "http",
        "path": urllib.parse.unquote(path.decode("ascii")),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": list(request.headers),
        "extensions": {
            asgi.RAW_TARGET: {"target": request.target},
            asgi.MAY_HOLD: {"may_hold": client.may_hold},
        },
    }


def _check_size(request: h11.Request, limit_bytes: int) -> None:
    size = len(request.target) + sum(
        len(name) + len(value) for name, value in request.headers
    )
    if size > limit_bytes:
        raise exceptions.NotRun(*HEAD_ERRORS[431], 431)


async def _wait_for_request(
    server: _Server, http: h11.Connection, client: clients.Client
) -> bool:
    """Wait for the first bytes of a request; tell whether any came."""
    limits = server.find_limits()
    wait_s = 0.0 if server.is_stopping else limits.keep_alive_timeout_s
    with trio.move_on_after(wait_s) as idle:
        server.idle.add(idle)
        try:
            if not http.trailing_data[0]:
                data = await client.receive(clients.HEAD_READ_BYTES)
                http.receive_data(data)
        finally:
            server.idle.discard(idle)
    return not (idle.cancelled_caught and client.connection.is_idle())


async def _receive_head(
    http: h11.Connection, client: clients.Client, max_bytes: int
) -> None:
    """Receive until there is a whole head, and account for its fields.

    A parsed field takes far more memory than its bytes.
    """
    received = bytearray(http.trailing_data[0])
    searched = 0
    while (end := HEAD_END.search(received, searched)) is None:
        searched = max(0, len(received) - HEAD_END_BYTES)
        if len(received) > max_bytes:
            return
        data = await client.receive(clients.HEAD_READ_BYTES)
        http.receive_data(data)
        if not data:
            return
        received += data
    await client.hold(
        received.count(b"\n", 0, end.start()) * clients.FIELD_BYTES
    )


async def _read_head(
    server: _Server, http: h11.Connection, client: clients.Client
) -> h11.Request | None:
    if not await _wait_for_request(server, http, client):
        return None
    client.set_phase(client_memory.Phase.READING)
    limits = server.find_limits()
    event = None
    try:
        with trio.move_on_after(limits.head_timeout_s):
            await _receive_head(http, client, limits.max_head_bytes)
            event = await exchange.next_event(http, client)
    except h11.RemoteProtocolError as error:
        status = error.error_status_hint
        raise exceptions.NotRun(
            *HEAD_ERRORS.get(status, BAD_HTTP), status
        ) from error
    if event is None:
        detail = (
            f"the head was not complete within {limits.head_timeout_s:g} s"
        )
        raise exceptions.NotRun("head_timeout", detail, 408)
    if not isinstance(event, h11.Request):
        return None
    if event.method == b"CONNECT":
        raise exceptions.NotRun(*NO_TUNNELS)
    _check_size(event, limits.max_head_bytes)
    return event


async def _serve_one(
    server: _Server, http: h11.Connection, client: clients.Client
) -> bool:
    """Serve one request; return whether another one may follow."""
    try:
        await client.begin_exchange(len(http.trailing_data[0]))
    except exceptions.NotRun:
        return False
    current = exchange.Exchange(http, client, server.is_closing)
    try:
        request = await _read_head(server, http, client)
    except exceptions.NotRun as error:
        await _answer(http, current, error)
        return await _end_exchange(http, client.connection)
    if request is None:
        return False
    current.is_head = request.method == b"HEAD"
    try:
        with _limit_time(server) as time_limit:
            await server.app(
                _make_scope(request, client), current.receive, current.send
            )
        if time_limit.cancelled_caught:
            await _answer(http, current, exceptions.OutcomeUnknown(*STOPPING))
        elif http.their_state is h11.ERROR:
            await _answer(http, current, exceptions.NotRun(*BAD_HTTP, 400))
    except asgi.CallerGone:
        raise
    except exceptions.NotRun as error:
        await _answer(http, current, error)
    except Exception as error:
        if not isinstance(error, asgi.AnswerCut):
            logging.exception("callers: serving a request failed")
        failure = exceptions.OutcomeUnknown(*INTERNAL_ERROR)
        await _answer(http, current, failure)
    return await _end_exchange(http, client.connection)


@contextlib.contextmanager
def _limit_time(server: _Server) -> abc.Iterator[trio.CancelScope]:
    """Cancel a request that is still open when the server has to end."""
    with trio.CancelScope(deadline=server.end_s) as scope:
        server.open.add(scope)
        try:
            yield scope
        finally:
            server.open.discard(scope)


async def _end_exchange(
    http: h11.Connection, connection: sockets.Connection
) -> bool:
    """End an exchange; return whether another one may follow."""
    if http.our_state is h11.DONE and http.their_state is h11.DONE:
        http.start_next_cycle()
        return True
    if http.our_state in (h11.DONE, h11.MUST_CLOSE):
        await _linger(connection)
    return False


async def _answer(
    http: h11.Connection,
    current: exchange.Exchange,
    error: exceptions.NotRun | exceptions.OutcomeUnknown,
) -> None:
    """Answer with an error and close, if there is no answer yet."""
    if current.has_begun or http.our_state not in ANSWERABLE:
        return
    response = problems.make_problem(error)
    response.headers["connection"] = "close"
    await asgi.send_response(current.send, response)


async def _linger(connection: sockets.Connection) -> None:
    # Closing a connection with unread bytes resets it, and the caller could
    # lose the answer, so the rest is read and dropped.
    connection.shutdown_write()
    read_bytes = 0
    with trio.move_on_after(LINGER_S):
        while read_bytes < LINGER_BYTES:
            data = await connection.receive()
            if not data:
                return
            read_bytes += len(data)


async def _serve_connection(server: _Server, client: clients.Client) -> None:
    max_head_bytes = server.find_limits().max_head_bytes
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
    try:
        with client.scope:
            while await _serve_one(server, http, client):
                client.note_answered()
                # Requests that were sent ahead must not keep others waiting.
                await trio.lowlevel.checkpoint()
    except (OSError, asgi.AnswerCut, asgi.CallerGone):
        pass
    except Exception:
        logging.exception("callers: serving a request failed")
    finally:
        if client.scope.cancelled_caught or _ends_by_closing(http):
            client.connection.reset()
        client.connection.close()
        server.clients.close(client)


def _ends_by_closing(http: h11.Connection) -> bool:
    """Tell whether closing would make an answer that is cut look complete."""
    return http.our_state is h11.SEND_BODY and (
        http.their_http_version == b"1.0"
    )


async def serve(
    app: asgi.App,
    address: str,
    limits: settings.LimitsSection,
    stop: trio.Event,
    grace_s: float = 3.0,
    is_leaving: abc.Callable[[], bool] = lambda: False,
    find_limits: abc.Callable[[], settings.LimitsSection] | None = None,
    shared: clients.Clients | None = None,
    listening: abc.Mapping[str, socket.socket] | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application at ``IP:port`` until ``stop`` is set.

    After that, open requests have ``grace_s`` seconds to end.  Those that
    have no answer by then get a 502.  From when ``is_leaving`` returns true,
    also before the stop, each connection closes after its next answer, which
    says so.  The task status is the address that was bound.

    Parameters
    ----------
    find_limits : callable, optional
        Returns the limits of requests that are in force, if they change; by
        default ``limits``.
    shared : Clients, optional
        The connections of all listeners that share one bound; by default
        those of this listener.
    listening : mapping, optional
        Sockets that listen already, by address.
    """
    server = _Server(
        app,
        find_limits or (lambda: limits),
        shared or clients.Clients(limits),
        is_leaving=is_leaving,
    )
    listener = sockets.Listener(address, (listening or {}).get(address))
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(_accept, server, listener, nursery)
            task_status.started(listener.address)
            await stop.wait()
            server.end_s = trio.current_time() + grace_s
            # Closing the listener resets the connections that wait for it.
            await trio.sleep(LAST_ACCEPTS_S)
            accepting.cancel_scope.cancel()
        listener.close()
        server.is_stopping = True
        for idle in server.idle:
            idle.cancel()
        for scope in server.open:
            scope.deadline = server.end_s
        nursery.cancel_scope.deadline = server.end_s + LAST_ANSWERS_S


async def _accept(
    server: _Server, listener: sockets.Listener, nursery: trio.Nursery
) -> None:
    while True:
        connection = await listener.accept()
        client = server.clients.open(connection)
        nursery.start_soon(_serve_connection, server, client)
