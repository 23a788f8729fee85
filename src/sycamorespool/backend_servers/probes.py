"""Probes backend servers over connections that are kept open.

Probes are the most frequent work of an idle entry, so they use h11 directly
on a socket stream, with one deadline and without a connection pool.
"""

import typing as t

import h11
import trio

from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import models

PROBE_TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 64 * 1024
READ_BYTES = 16 * 1024


class _Connection(t.NamedTuple):
    """Holds a connection to a backend server and its state in HTTP."""

    stream: trio.SocketStream
    http: h11.Connection


async def _connect(address: str) -> _Connection:
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
    return _Connection(stream, h11.Connection(h11.CLIENT))


async def _read_body(connection: _Connection) -> bytes:
    body = b""
    while True:
        event = connection.http.next_event()
        if event is h11.NEED_DATA:
            data = await connection.stream.receive_some(READ_BYTES)
            connection.http.receive_data(data)
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise exceptions.BackendCut(
                f"answered with status {event.status_code}"
            )
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_REPORT_BYTES:
                raise exceptions.BackendCut("the report is too large")
        elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
            return body


async def _exchange(connection: _Connection, address: str) -> bytes:
    http = connection.http
    head = h11.Request(
        method="GET", target="/state", headers=[("host", address)]
    )
    data = (http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b"")
    await connection.stream.send_all(data)
    return await _read_body(connection)


def _is_reusable(http: h11.Connection) -> bool:
    return http.our_state is h11.DONE and http.their_state is h11.DONE


class Prober:
    """Probes backend servers and keeps one open connection to each.

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

        A probe that fails on a kept connection is repeated once on a new
        one, as the server may have closed it and a probe changes nothing.

        Raises
        ------
        BackendNotReached
            If no connection could be made.
        BackendCut
            If no complete report came within ``timeout_s``.
        """
        with trio.move_on_after(timeout_s):
            kept = self._idle.pop(address, None)
            if kept is not None:
                try:
                    return await self._request_report(address, kept)
                except exceptions.BackendCut:
                    pass
            return await self._request_report(
                address, await self._open(address)
            )
        raise exceptions.BackendCut(f"no report within {timeout_s} s")

    async def _open(self, address: str) -> _Connection:
        try:
            return await _connect(address)
        except OSError as error:
            raise exceptions.BackendNotReached(str(error)) from error

    async def _request_report(
        self, address: str, connection: _Connection
    ) -> models.ProbeReport:
        is_kept = False
        try:
            body = await _exchange(connection, address)
            report = decoding.decode_json(body, models.ProbeReport)
            is_kept = _is_reusable(connection.http)
        except (
            trio.BrokenResourceError,
            h11.ProtocolError,
            exceptions.Undecodable,
        ) as error:
            raise exceptions.BackendCut(str(error)) from error
        finally:
            if not is_kept:
                await trio.aclose_forcefully(connection.stream)
        connection.http.start_next_cycle()
        self._idle[address] = connection
        return report

    async def forget(self, address: str) -> None:
        """Close the connection to a backend server that was removed."""
        connection = self._idle.pop(address, None)
        if connection is not None:
            await trio.aclose_forcefully(connection.stream)
