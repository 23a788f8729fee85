"""Send requests to other entries and answer theirs, over pynng."""

import collections
import collections.abc
import dataclasses
import typing as t

import pynng
import trio

from sycamorespool.entries import frames
from sycamorespool.entries import messages
from sycamorespool import exceptions

CALL_TIMEOUT_S = 1.0
MAX_PEER_SOCKETS = 64
# Requests of other entries that are answered at the same time.
REPLY_WORKERS = 256


Handler: t.TypeAlias = collections.abc.Callable[
    [t.Any], collections.abc.Awaitable[messages.Message]
]
Handlers: t.TypeAlias = dict[type, Handler]


@dataclasses.dataclass(slots=True)
class Traffic:
    """Count the frames sent and received since the start, and their bytes."""

    messages: int = 0
    size_bytes: int = 0

    def count(self, frame: bytes) -> None:
        """Count one frame."""
        self.messages += 1
        self.size_bytes += len(frame)


class Transport:
    """Call other entries, with a bounded number of open sockets."""

    def __init__(self, codec: frames.Codec) -> None:
        self.codec = codec
        self.traffic = Traffic()
        self._sockets: collections.OrderedDict[str, pynng.Req0] = (
            collections.OrderedDict()
        )

    def _socket(self, address: str) -> pynng.Req0:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                dial=f"tcp://{address}",
                block_on_dial=False,
                recv_max_size=frames.MAX_FRAME_BYTES,
                # The socket must not resend a request: the caller sends a
                # new one in its next period.
                resend_time=-1,
            )
            self._sockets[address] = socket
            if len(self._sockets) > MAX_PEER_SOCKETS:
                self._sockets.popitem(last=False)[1].close()
        self._sockets.move_to_end(address)
        return socket

    async def call(
        self,
        address: str,
        message: messages.Message,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> messages.Message:
        """Send a message to the entry at ``IP:port`` and await its reply.

        Raises
        ------
        PeerUnavailable
            If no reply came within ``timeout_s``.
        PeerRejected
            If the reply is malformed or not authentic.
        """
        data = frames.seal_request(self.codec, message)
        reply: bytes | None = None
        try:
            with trio.move_on_after(timeout_s):
                with self._socket(address).new_context() as context:
                    await context.asend(data)
                    self.traffic.count(data)
                    reply = await context.arecv()
                    self.traffic.count(reply)
        except pynng.NNGException as error:
            raise exceptions.PeerUnavailable(str(error)) from error
        if reply is None:
            raise exceptions.PeerUnavailable(
                f"no reply from {address} within {timeout_s} s"
            )
        return frames.open_reply(self.codec, reply, data)

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()


async def _answer(
    codec: frames.Codec, data: bytes, handlers: Handlers
) -> bytes | None:
    """Return the reply to a frame, or None if the frame is rejected."""
    try:
        request = frames.open_request(codec, data)
    except exceptions.PeerRejected:
        return None
    handle = handlers.get(type(request.message))
    if handle is None:
        name = type(request.message).__name__
        reply: messages.Message = messages.Refused(
            f"no handler for messages of type {name}"
        )
    else:
        reply = await handle(request.message)
    return frames.seal_reply(codec, reply, request)


async def _answer_calls(
    socket: pynng.Rep0, transport: Transport, handlers: Handlers
) -> None:
    with socket.new_context() as context:
        while True:
            data = await context.arecv()
            transport.traffic.count(data)
            reply = await _answer(transport.codec, data, handlers)
            if reply is not None:
                transport.traffic.count(reply)
                await context.asend(reply)


async def serve(
    address: str,
    transport: Transport,
    handlers: Handlers,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer the calls of other entries at ``IP:port`` until cancelled."""
    with pynng.Rep0(
        listen=f"tcp://{address}", recv_max_size=frames.MAX_FRAME_BYTES
    ) as socket:
        task_status.started()
        async with trio.open_nursery() as nursery:
            for _ in range(REPLY_WORKERS):
                nursery.start_soon(_answer_calls, socket, transport, handlers)
