"""Request and reply between entries over pynng."""

import collections
import collections.abc
import typing as t

import msgspec
import pynng
import trio

from sycamorespool import exceptions
from sycamorespool import models

CALL_TIMEOUT_S = 1.0
MAX_MESSAGE_BYTES = 256 * 1024
MAX_PEER_SOCKETS = 64
REPLY_WORKERS = 16


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Ask whether an entry is alive."""

    entry: str


class Pong(msgspec.Struct, frozen=True, tag="pong"):
    """Say that the entry is alive."""

    entry: str


class GrantsWanted(msgspec.Struct, frozen=True, tag="grants_wanted"):
    """Ask the owner of a unit for grants."""

    ask: models.GrantAsk


class GrantsGiven(msgspec.Struct, frozen=True, tag="grants_given"):
    """The owner's answer."""

    answer: models.GrantAnswer


class StateWanted(msgspec.Struct, frozen=True, tag="state_wanted"):
    """Ask an entry for its state, on behalf of an operator."""

    entry: str


class StateGiven(msgspec.Struct, frozen=True, tag="state_given"):
    """The state of the entry that was asked."""

    state: models.EntryState


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The entry cannot answer the call."""

    reason: str


Message: t.TypeAlias = (
    Ping
    | Pong
    | GrantsWanted
    | GrantsGiven
    | StateWanted
    | StateGiven
    | Refused
)
Handler: t.TypeAlias = collections.abc.Callable[
    [t.Any], collections.abc.Awaitable[Message]
]
Handlers: t.TypeAlias = dict[type, Handler]


def _decode(data: bytes) -> Message:
    try:
        return msgspec.msgpack.decode(data, type=Message)
    except msgspec.DecodeError as error:
        raise exceptions.PeerRejected(str(error)) from error


class Transport:
    """Calls other entries; keeps a bounded number of sockets open."""

    def __init__(self) -> None:
        self._sockets: collections.OrderedDict[str, pynng.Req0] = (
            collections.OrderedDict()
        )

    def _socket(self, address: str) -> pynng.Req0:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                dial=f"tcp://{address}",
                block_on_dial=False,
                recv_max_size=MAX_MESSAGE_BYTES,
                # A call is repeated by the caller's next period, never by
                # the socket.
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
        message: Message,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Message:
        """Send a message to the entry at ``IP:port`` and await its reply.

        Raises
        ------
        PeerUnavailable
            If no reply came within ``timeout_s``.
        PeerRejected
            If the reply is malformed.
        """
        data = msgspec.msgpack.encode(message)
        reply: bytes | None = None
        try:
            with trio.move_on_after(timeout_s):
                with self._socket(address).new_context() as context:
                    await context.asend(data)
                    reply = await context.arecv()
        except pynng.NNGException as error:
            raise exceptions.PeerUnavailable(str(error)) from error
        if reply is None:
            raise exceptions.PeerUnavailable(
                f"no reply from {address} within {timeout_s} s"
            )
        return _decode(reply)

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()


async def _answer(data: bytes, handlers: Handlers) -> Message:
    try:
        message = _decode(data)
    except exceptions.PeerRejected as error:
        return Refused(str(error))
    handle = handlers.get(type(message))
    if handle is None:
        return Refused(f"no handler of {type(message).__name__}")
    return await handle(message)


async def _answer_calls(socket: pynng.Rep0, handlers: Handlers) -> None:
    context = socket.new_context()
    try:
        while True:
            data = await context.arecv()
            reply = await _answer(data, handlers)
            await context.asend(msgspec.msgpack.encode(reply))
    finally:
        context.close()


async def serve(
    address: str,
    handlers: Handlers,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer the calls of other entries at ``IP:port`` until cancelled."""
    with pynng.Rep0(
        listen=f"tcp://{address}", recv_max_size=MAX_MESSAGE_BYTES
    ) as socket:
        task_status.started()
        async with trio.open_nursery() as nursery:
            for _ in range(REPLY_WORKERS):
                nursery.start_soon(_answer_calls, socket, handlers)
