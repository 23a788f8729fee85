"""Cuts the links between entries in this process and backend servers."""

import contextvars
import enum
import urllib.parse

import trio

from sycamorespool import http_client
from sycamorespool import sockets

# Name of the entry to which the running task belongs.
ENTRY = contextvars.ContextVar("entry", default="")
REPORT_TIMEOUT_S = 0.4


class Cut(enum.StrEnum):
    """Names how links are cut.

    With ``REFUSE``, open connections go on and only new ones are refused.
    """

    NONE = "none"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class ServerLinks:
    """Holds how the links of some entries to some addresses are cut."""

    def __init__(self, entry):
        self.entries = {entry}
        self.how = Cut.NONE
        self.addresses = set()
        self.changed = trio.Event()

    def cut(self, how, addresses):
        """Cut the links to some addresses."""
        self.how = how
        self.addresses = set(addresses)
        self.changed.set()
        self.changed = trio.Event()

    def repair(self):
        """Let new connections through again."""
        self.how = Cut.NONE

    def is_cut(self, address):
        """Tell whether a link of the running task's entry is cut."""
        is_own = ENTRY.get() in self.entries and address in self.addresses
        return is_own and self.how is not Cut.NONE

    async def block(self, address, error):
        """Refuse a new connection, or hang forever."""
        if self.is_cut(address):
            if self.how is Cut.HANG:
                await trio.sleep_forever()
            raise error


class _Connection(sockets.Connection):
    """Wraps a connection that falls silent or breaks with its link."""

    __slots__ = ("_address", "_links")

    async def _check(self):
        if self._links.is_cut(self._address):
            if self._links.how is Cut.HANG:
                await trio.sleep_forever()
            if self._links.how is Cut.RESET:
                raise ConnectionResetError

    def is_idle(self):
        links = self._links
        is_reset = links.is_cut(self._address) and links.how is Cut.RESET
        return not is_reset and super().is_idle()

    async def receive(self, max_bytes=sockets.READ_BYTES):
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, scope)
                data = await super().receive(max_bytes)
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise ConnectionResetError
        await self._check()
        return data

    async def _watch(self, scope):
        links = self._links
        while not (links.is_cut(self._address) and links.how is Cut.RESET):
            await links.changed.wait()
        scope.cancel()

    async def send(self, data):
        await self._check()
        await super().send(data)


def install(monkeypatch, links):
    """Let the links of an entry be cut from now on."""
    connect, exchange = sockets.connect, http_client.exchange

    async def connect_over_link(address):
        await links.block(address, ConnectionRefusedError())
        connection = await connect(address)
        if ENTRY.get():
            wrapped = _Connection.__new__(_Connection)
            wrapped._socket = connection._socket
            wrapped._address, wrapped._links = address, links
            return wrapped
        return connection

    async def exchange_over_link(pool, method, url, *args, **kwargs):
        address = urllib.parse.urlsplit(url).netloc
        with trio.move_on_after(REPORT_TIMEOUT_S) as scope:
            await links.block(address, http_client.NotReached(url))
        if scope.cancelled_caught:
            raise http_client.NotReached(url)
        return await exchange(pool, method, url, *args, **kwargs)

    monkeypatch.setattr(sockets, "connect", connect_over_link)
    monkeypatch.setattr(http_client, "exchange", exchange_over_link)
