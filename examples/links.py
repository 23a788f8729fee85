"""TCP relays on their own ports that inject network faults.

A link relays TCP connections to a target.  Its faults apply to open
connections and to new ones::

    link = Link("127.0.0.1:12001")
    nursery.start_soon(link.serve)
    link.delay_s = 0.2
    link.hold(to_target=True, from_target=False)
    link.repair()
"""

import contextlib
import socket
import struct

import trio

from examples import processes

CHUNK_BYTES = 65536
# Closing with a linger time of zero resets the connection.
RESET = struct.pack("ii", 1, 0)


class Link:
    """A relay of TCP connections to a target, with faults.

    Attributes
    ----------
    delay_s : float
        Delay of bytes in each direction.
    """

    def __init__(self, target):
        self.target = target
        self.address = processes.find_free_address()
        self.is_cut = False
        self.delay_s = 0.0
        self._held = {True: False, False: False}
        self._changed = trio.Event()
        self._open = set()

    def reset(self):
        """Reset all open connections; new ones are relayed."""
        for scope in list(self._open):
            scope.cancel()

    def cut(self):
        """Reset all connections, open and new."""
        self.is_cut = True
        self.reset()

    def hold(self, to_target=True, from_target=True):
        """Hold back bytes to the target, from it, or both."""
        self._held = {True: to_target, False: from_target}

    def repair(self):
        """Clear all faults and relay the bytes that were held back."""
        self.is_cut = False
        self.delay_s = 0.0
        self._held = {True: False, False: False}
        self._changed.set()
        self._changed = trio.Event()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until cancelled."""
        host, _, port = self.address.rpartition(":")
        await trio.serve_tcp(
            self._relay, int(port), host=host, task_status=task_status
        )

    async def _relay(self, client):
        if self.is_cut:
            _reset(client)
            return
        host, _, port = self.target.rpartition(":")
        with trio.CancelScope() as scope:
            self._open.add(scope)
            try:
                server = await trio.open_tcp_stream(host, int(port))
                async with server, trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, client, server, True)
                    nursery.start_soon(self._copy, server, client, False)
            except* OSError:
                # Nothing listens at the target, for instance after a kill.
                pass
            finally:
                self._open.discard(scope)
        _reset(client)

    async def _copy(self, source, sink, to_target):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await trio.sleep(self.delay_s)
                while self._held[to_target]:
                    await self._changed.wait()
                await sink.send_all(data)
            with contextlib.suppress(trio.BusyResourceError):
                await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(source)
            _reset(sink)


def _reset(stream):
    with contextlib.suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stream.socket.close()
