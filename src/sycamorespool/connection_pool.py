"""Keeps the idle connections to backend servers for their next use."""

import collections

import h11

from sycamorespool import sockets

MAX_HEAD_BYTES = 64 * 1024
IDLE_EXPIRY_S = 15.0
SWEEP_PERIOD_S = 5.0
MAX_IDLE_PER_ADDRESS = 64


class HttpConnection:
    """Holds a connection to a backend server and its state in HTTP.

    Parameters
    ----------
    max_head_bytes : int
        Length of the longest head or trailer of an answer.
    """

    __slots__ = ("connection", "http", "idle_since_s", "last_attempt_id")

    def __init__(
        self,
        connection: sockets.Connection,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        self.connection = connection
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=max_head_bytes
        )
        self.idle_since_s = 0.0
        # Id of the attempt that was answered last, None on a new connection.
        self.last_attempt_id: str | None = None

    @property
    def is_new(self) -> bool:
        """Tell whether nothing was answered on it yet."""
        return self.last_attempt_id is None

    def is_reusable(self) -> bool:
        """Tell whether an exchange is complete and another may begin.

        Bytes after the end of an answer belong to no request, so they make
        the connection unusable.
        """
        is_done = self.http.our_state is self.http.their_state is h11.DONE
        return is_done and not self.http.trailing_data[0]


class ConnectionPool:
    """Holds the idle connections to backend servers, for their next use."""

    def __init__(self) -> None:
        self._idle: collections.defaultdict[
            str, collections.deque[HttpConnection]
        ] = collections.defaultdict(collections.deque)
        self._last_sweep_s = float("-inf")

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(idle) for idle in self._idle.values())

    def take(
        self, address: str, now_s: float, attempt_id: str
    ) -> HttpConnection | None:
        """Return a usable idle connection, if any, and close unusable ones.

        One whose last answer has the id of the attempt is not usable for it,
        as that answer may come a second time.
        """
        idle = self._idle[address]
        while idle:
            http_connection = idle.pop()
            is_fresh = now_s - http_connection.idle_since_s < IDLE_EXPIRY_S
            is_other = http_connection.last_attempt_id != attempt_id
            is_usable = is_fresh and is_other
            if is_usable and http_connection.connection.is_idle():
                return http_connection
            http_connection.connection.close()
        del self._idle[address]
        return None

    def has_idle(self, address: str, now_s: float) -> bool:
        """Tell whether there is a usable idle connection to an address."""
        return any(
            now_s - idle.idle_since_s < IDLE_EXPIRY_S
            and idle.connection.is_idle()
            for idle in self._idle.get(address, ())
        )

    def put(
        self,
        address: str,
        http_connection: HttpConnection,
        attempt_id: str,
        now_s: float,
    ) -> None:
        """Keep a connection on which an exchange is complete."""
        http_connection.last_attempt_id = attempt_id
        http_connection.http.start_next_cycle()
        http_connection.idle_since_s = now_s
        idle = self._idle[address]
        idle.append(http_connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().connection.close()
        if now_s - self._last_sweep_s >= SWEEP_PERIOD_S:
            self.sweep(now_s)

    def sweep(self, now_s: float) -> None:
        """Close the connections that were idle for too long."""
        self._last_sweep_s = now_s
        for address, idle in list(self._idle.items()):
            while idle and now_s - idle[0].idle_since_s >= IDLE_EXPIRY_S:
                idle.popleft().connection.close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.sweep(float("inf"))
