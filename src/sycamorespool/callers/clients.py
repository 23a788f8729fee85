"""Bounds what an entry holds for its callers, over all connections.

The listeners of a process share one :class:`Clients`.  A :class:`Client`
wraps the connection of one caller, and accounts for what it has received and
cannot send::

    client = clients.open(connection)
    with client.scope:
        data = await client.receive()  # raises NotRun if there is no room
        await client.send(answer)
    clients.close(client)

Which callers give way is decided in
:mod:`sycamorespool.decisions.client_memory`.
"""

from collections import abc
import contextlib
import errno
import resource

import trio

from sycamorespool.decisions import client_memory
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool import settings
from sycamorespool import sockets

BYTES_PER_MB = 1024 * 1024
# Part of the machine's memory that may be held for callers, and how much if
# the memory is not known.  The rest is for the program itself.
MEMORY_FRACTION = 0.4
DEFAULT_HELD_MB = 64.0
# Cost of an open connection, and of a header field once it is parsed.
CONNECTION_BYTES = 16 * 1024
FIELD_BYTES = 512
# Growing buffers take more memory than the bytes that they hold.
OVERHEAD = 1.25
# Descriptors for everything but callers and their requests at servers: files,
# the store, other entries, probes.
RESERVED_DESCRIPTORS = 64
RESERVED_FRACTION = 0.1
# Where the kernel has no limit, connections still take memory.
UNLIMITED_DESCRIPTORS = 65536
# A request at a server takes a descriptor besides that of its caller.
DESCRIPTORS_PER_CLIENT = 2
FULL_RETRY_AFTER_S = 1.0
# Least time between two log lines about connections that were closed.
LOG_PERIOD_S = 1.0
HEAD_READ_BYTES = 16 * 1024

log = logs.make_logger("callers")

_Phase = client_memory.Phase
_Verdict = client_memory.Verdict


def _ignore_closed(reason: str) -> None:
    pass


def find_held_bytes(limits: settings.LimitsSection) -> int:
    """Return the most memory that may be held for callers."""
    held_mb = limits.held_mb or limits.memory_mb * MEMORY_FRACTION
    return int((held_mb or DEFAULT_HELD_MB) * BYTES_PER_MB)


def find_max_connections(limits: settings.LimitsSection) -> int:
    """Return how many connections of callers may be open."""
    if limits.max_connections:
        return limits.max_connections
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = UNLIMITED_DESCRIPTORS
    if limits.max_descriptors:
        descriptors = min(descriptors, limits.max_descriptors)
    reserved = max(RESERVED_DESCRIPTORS, RESERVED_FRACTION * descriptors)
    return max(1, int(descriptors - reserved) // DESCRIPTORS_PER_CLIENT)


class Clients:
    """Holds the connections of callers of all listeners of a process.

    Parameters
    ----------
    limits : LimitsSection
        Gives the memory and the connections that callers may take.
    count_closed : callable
        Counts a connection that was closed to make room; it gets the reason.

    Attributes
    ----------
    closed : trio.Event
        Set when the next connection is closed.
    """

    def __init__(
        self,
        limits: settings.LimitsSection,
        count_closed: abc.Callable[[str], None] = _ignore_closed,
    ) -> None:
        self.memory = client_memory.ClientMemory(
            find_held_bytes(limits), find_max_connections(limits)
        )
        self.stall_s = limits.idle_timeout_s
        self.closed = trio.Event()
        self._count_closed = count_closed
        self._scopes: dict[client_memory.Holding, trio.CancelScope] = {}
        self._closed = 0
        self._logged_s = float("-inf")

    def open(self, connection: sockets.Connection) -> "Client":
        """Return the client of a new connection; close another if needed."""
        now_s = trio.current_time()
        holding = client_memory.add(self.memory, now_s)
        client = Client(self, connection, holding)
        self._scopes[holding] = client.scope
        surplus = client_memory.end_surplus(self.memory, now_s)
        if surplus is not None:
            self._end(surplus, "connections")
        return client

    def close(self, client: "Client") -> None:
        """Forget a client whose connection was closed."""
        client_memory.remove(self.memory, client.holding)
        self._scopes.pop(client.holding, None)
        self.closed.set()
        self.closed = trio.Event()

    def reserve(
        self, holding: client_memory.Holding, size_bytes: int
    ) -> client_memory.Verdict:
        """Let a client hold more, and close others if that makes room."""
        now_s = trio.current_time()
        found = client_memory.reserve(self.memory, holding, size_bytes, now_s)
        for other in found.ended:
            self._end(other, "memory")
        return found.verdict

    def _end(self, holding: client_memory.Holding, reason: str) -> None:
        self._scopes[holding].cancel()
        self._count_closed(reason)
        self._closed += 1
        now_s = trio.current_time()
        if now_s - self._logged_s < LOG_PERIOD_S:
            return
        log.warning(
            "connections of callers closed to make room",
            reason=reason,
            count=self._closed,
            open=len(self.memory.holdings),
            bytes=self.memory.used_bytes,
        )
        self._logged_s = now_s
        self._closed = 0


class Client:
    """Wraps the connection of one caller.

    Attributes
    ----------
    scope : trio.CancelScope
        Scope of its task, cancelled when the connection has to be closed.
    """

    def __init__(
        self,
        clients: Clients,
        connection: sockets.Connection,
        holding: client_memory.Holding,
    ) -> None:
        self.connection = connection
        self.holding = holding
        self.scope = trio.CancelScope()
        self._clients = clients

    async def hold(self, size_bytes: float) -> None:
        """Account for more memory, once others are closed if need be.

        Raises
        ------
        NotRun
            If there is no room for it.
        """
        verdict = self._reserve(size_bytes)
        while verdict is _Verdict.WAIT:
            await self._clients.closed.wait()
            verdict = self._reserve(size_bytes)
        if verdict is _Verdict.REFUSED:
            raise exceptions.NotRun(
                "entry_full",
                "the entry holds as much for callers as it may",
                retry_after_s=FULL_RETRY_AFTER_S,
            )

    def may_hold(self, size_bytes: float) -> bool:
        """Account for more memory if there is room; tell whether there is."""
        return self._reserve(size_bytes) is _Verdict.GRANTED

    def _reserve(self, size_bytes: float) -> client_memory.Verdict:
        return self._clients.reserve(self.holding, int(size_bytes * OVERHEAD))

    def note_answered(self) -> None:
        """Record that a request was answered."""
        self.holding.is_answered = True

    async def begin_exchange(self, received_bytes: int) -> None:
        """Release what the last exchange held.

        ``received_bytes`` of the next request have already arrived.
        """
        self.holding.phase = _Phase.IDLE
        kept = CONNECTION_BYTES + int(received_bytes * OVERHEAD)
        surplus = self.holding.size_bytes - kept
        if surplus < 0:
            await self.hold(-surplus / OVERHEAD)
        else:
            client_memory.release(self._clients.memory, self.holding, surplus)

    def set_phase(self, phase: client_memory.Phase) -> None:
        """Record what the connection waits for."""
        self.holding.phase = phase

    async def receive(self, max_bytes: int = sockets.READ_BYTES) -> bytes:
        """Return the next bytes, or none at the end of the stream.

        Raises
        ------
        OSError
            If the connection is broken.
        NotRun
            If there is no room for them.
        """
        data = await self.connection.receive(max_bytes)
        self.holding.progressed_s = trio.current_time()
        await self.hold(len(data))
        return data

    async def send(self, data: bytes) -> None:
        """Send all of the data.

        Raises
        ------
        OSError
            If the connection is broken, the caller reads nothing for the idle
            timeout, or there is no room for data that it does not read.
        """
        view = memoryview(data)[self.connection.send_now(data) :]
        self.holding.progressed_s = trio.current_time()
        if view:
            async with self._writing(len(view)):
                await self._send_rest(view)

    @contextlib.asynccontextmanager
    async def _writing(self, size_bytes: int) -> abc.AsyncIterator[None]:
        """Account for data that the caller does not read at once."""
        phase = self.holding.phase
        self.holding.phase = _Phase.WRITING
        before_bytes = self.holding.size_bytes
        try:
            await self.hold(size_bytes)
            yield
        except exceptions.NotRun as error:
            raise OSError(
                errno.ENOBUFS, "no room for an unread answer"
            ) from error
        finally:
            self.holding.phase = phase
            client_memory.release(
                self._clients.memory,
                self.holding,
                self.holding.size_bytes - before_bytes,
            )

    async def _send_rest(self, view: memoryview) -> None:
        while view:
            with trio.move_on_after(self._clients.stall_s) as stalled:
                await self.connection.wait_writable()
            if stalled.cancelled_caught:
                raise TimeoutError("the caller does not read its answer")
            view = view[self.connection.send_now(view) :]
            self.holding.progressed_s = trio.current_time()
