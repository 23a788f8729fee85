"""Relays on ports of their own, which a test can cut and mend."""

import trio

from examples import processes

CHUNK_BYTES = 65536


class Link:
    """Passes TCP connections on to a target until it is cut."""

    def __init__(self, target):
        self.target = target
        self.address = processes.find_free_address()
        self.is_cut = False
        self._open = set()

    def cut(self):
        """Break all connections and refuse new ones."""
        self.is_cut = True
        for scope in list(self._open):
            scope.cancel()

    def mend(self):
        """Pass connections on again."""
        self.is_cut = False

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until cancelled."""
        host, _, port = self.address.rpartition(":")
        await trio.serve_tcp(
            self._pass, int(port), host=host, task_status=task_status
        )

    async def _pass(self, near):
        if self.is_cut:
            return
        host, _, port = self.target.rpartition(":")
        with trio.CancelScope() as scope:
            self._open.add(scope)
            try:
                far = await trio.open_tcp_stream(host, int(port))
                async with far, trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, near, far, scope)
                    nursery.start_soon(self._copy, far, near, scope)
            finally:
                self._open.discard(scope)

    async def _copy(self, source, sink, scope):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
