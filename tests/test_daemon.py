"""Tests of starting and ending an entry in this process."""

import trio
import trio.testing

from examples import processes
from sycamorespool import daemon
from sycamorespool.entries import transport
from sycamorespool import settings


def make_entry_settings():
    listen = {
        part: processes.find_free_address()
        for part in ("callers", "operators", "peers", "platform")
    }
    text = processes.SETTINGS_TEMPLATE.format(
        name="e-1", data_centre="dc", **listen
    )
    return settings.parse(text)


def test_peer_sockets_are_closed_however_an_entry_ends(monkeypatch):
    closed = []
    monkeypatch.setattr(
        transport.Transport, "close", lambda self: closed.append(self)
    )

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run, make_entry_settings())
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(closed) == 1
