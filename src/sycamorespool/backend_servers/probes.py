"""Probes of backend servers over connections that are kept open.

Probes are the most frequent thing that an idle entry does, so they go
straight from h11 to a socket stream: one deadline and no pool in between.
"""

import typing as t

import h11
import msgspec
import trio

from sycamorespool import exceptions
from sycamorespool import models

PROBE_TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 64 * 1024
READ_BYTES = 16 * 1024


class _Connection(t.NamedTuple):
    stream: trio.SocketStream
    state: h11.Connection


async def _connect(address: str) -> _Connection:
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
    return _Connection(stream, h11.Connection(h11.CLIENT))


async def _read_body(connection: _Connection) -> bytes:
    body = b""
    while True:
        event = connection.state.next_event()
        if event is h11.NEED_DATA:
            data = await connection.stream.receive_some(READ_BYTES)
            connection.state.receive_data(data)
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise exceptions.BackendCut(f"answered {event.status_code}")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_REPORT_BYTES:
                raise exceptions.BackendCut("report is too large")
        elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
            return body


async def _exchange(connection: _Connection, address: str) -> bytes:
    state = connection.state
    head = h11.Request(
        method="GET", target="/state", headers=[("host", address)]
    )
    data = (state.send(head) or b"") + (state.send(h11.EndOfMessage()) or b"")
    await connection.stream.send_all(data)
    return await _read_body(connection)


def _is_reusable(state: h11.Connection) -> bool:
    return state.our_state is h11.DONE and state.their_state is h11.DONE


class Prober:
    """Probes backend servers; keeps one connection to each.

    Example
    -------
    ::

        prober = Prober()
        report = await prober.probe("192.0.2.7:9000")
    """

    def __init__(self) -> None:
        self._idle: dict[str, _Connection] = {}

    async def probe(
        self, address: str, timeout_s: float = PROBE_TIMEOUT_S
    ) -> models.ProbeReport:
        """Ask the backend server at ``IP:port`` for its state.

        A kept connection that turns out to be closed is replaced once; a
        probe changes nothing, so that it may be repeated.

        Raises
        ------
        BackendNotReached
            If no connection could be made.
        BackendCut
            If no whole report came within ``timeout_s``.
        """
        with trio.move_on_after(timeout_s):
            kept = self._idle.pop(address, None)
            if kept is not None:
                try:
                    return await self._ask(address, kept)
                except exceptions.BackendCut:
                    pass
            return await self._ask(address, await self._open(address))
        raise exceptions.BackendCut(f"no report within {timeout_s} s")

    async def _open(self, address: str) -> _Connection:
        try:
            return await _connect(address)
        except OSError as error:
            raise exceptions.BackendNotReached(str(error)) from error

    async def _ask(
        self, address: str, connection: _Connection
    ) -> models.ProbeReport:
        is_kept = False
        try:
            body = await _exchange(connection, address)
            report = msgspec.json.decode(body, type=models.ProbeReport)
            is_kept = _is_reusable(connection.state)
        except (
            trio.BrokenResourceError,
            h11.ProtocolError,
            msgspec.DecodeError,
        ) as error:
            raise exceptions.BackendCut(str(error)) from error
        finally:
            if not is_kept:
                await trio.aclose_forcefully(connection.stream)
        connection.state.start_next_cycle()
        self._idle[address] = connection
        return report

    async def forget(self, address: str) -> None:
        """Close the connection to a backend server that is gone."""
        connection = self._idle.pop(address, None)
        if connection is not None:
            await trio.aclose_forcefully(connection.stream)
