"""Implements TCP connections for streams of many small chunks.

A read waits before its first attempt and a write makes one before it waits,
so that a chunk costs one pass of the event loop.  Neither sets a timeout::

    connection = await connect("127.0.0.1:8000")
    await connection.send(b"ping")
    data = await connection.receive()
    connection.close()
"""

import errno
import os
import socket
import struct

import trio

from sycamorespool import early_listening

READ_BYTES = 64 * 1024
MAX_PORT = 65535
# Pause of a listener after a lack of file descriptors or memory.
ACCEPT_PAUSE_S = 0.1
RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


class Connection:
    """Wraps a connected socket that never blocks the event loop."""

    __slots__ = ("_socket",)

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connected

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the next bytes, or no bytes at the end of the stream.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                return self._socket.recv(max_bytes)
            except BlockingIOError:
                continue

    async def send(self, data: bytes) -> None:
        """Send all of the data, waiting only while the send buffer is full.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        sent = self.send_now(data)
        while sent < len(data):
            await self.wait_writable()
            sent += self.send_now(memoryview(data)[sent:])

    async def wait_writable(self) -> None:
        """Wait until the send buffer has room."""
        await trio.lowlevel.wait_writable(self._socket)

    def send_now(self, data: bytes | memoryview) -> int:
        """Send what the send buffer has room for; return its length.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0

    def is_idle(self) -> bool:
        """Tell whether the connection is open and has no data to read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def shutdown_write(self) -> None:
        """Close the sending side; the peer reads the end of the stream."""
        self._socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Let closing reset it, so that its peer sees an error."""
        linger = struct.pack("ii", 1, 0)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self) -> None:
        """Close it; tasks that wait for it get a ClosedResourceError."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


def is_address(address: str) -> bool:
    """Tell whether a text is an ``IP:port`` to which one can connect."""
    try:
        family, (host, port) = early_listening.parse_address(address)
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        return False
    return 0 < port <= MAX_PORT and _format_address(host, port) == address


def _format_address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


async def connect(address: str) -> Connection:
    """Connect to an ``IP:port``.

    Raises
    ------
    OSError
        If no connection can be established.
    """
    family, target = early_listening.parse_address(address)
    connection = Connection(socket.socket(family, socket.SOCK_STREAM))
    raw_socket = connection._socket
    try:
        code = raw_socket.connect_ex(target)
        if code == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(raw_socket)
            code = raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code), address)
    except BaseException:
        connection.close()
        raise
    return connection


def lacks_resources(error: BaseException) -> bool:
    """Tell whether an error comes from this process's own limits.

    It says nothing of the peer.
    """
    return isinstance(error, OSError) and error.errno in RESOURCE_ERRNOS


async def is_refused(address: str, timeout_s: float) -> bool:
    """Tell whether no process listens at an address of a running machine."""
    with trio.move_on_after(timeout_s):
        try:
            connection = await connect(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        connection.close()
    return False


class Listener:
    """Listens on an ``IP:port`` for connections.

    Parameters
    ----------
    bound : socket.socket, optional
        A socket that listens there already.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self, address: str, bound: socket.socket | None = None
    ) -> None:
        self._socket = bound or early_listening.listen(address)

    @property
    def address(self) -> str:
        """Return the address on which it listens."""
        host, port = self._socket.getsockname()[:2]
        return _format_address(host, port)

    async def accept(self) -> Connection:
        """Wait for the next connection and return it."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                accepted, _ = self._socket.accept()
                return Connection(accepted)
            except OSError as error:
                # A connection that its peer closed too early also raises an
                # error; only a lack of resources needs a pause.
                if error.errno in RESOURCE_ERRNOS:
                    await trio.sleep(ACCEPT_PAUSE_S)

    def close(self) -> None:
        """Stop listening."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


async def is_accepting(address: str, timeout_s: float) -> bool:
    """Tell whether an ``IP:port`` accepts a new connection in time.

    One that this process has no descriptor to try is taken to accept.
    """
    try:
        with trio.fail_after(timeout_s):
            connection = await connect(address)
    except (OSError, trio.TooSlowError) as error:
        return lacks_resources(error)
    connection.close()
    return True
