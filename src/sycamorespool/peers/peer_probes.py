"""Asks other entries whether they find that a server has ended, too.

A server that refuses connections may have ended, or the link to it is lost.
An entry that reaches other servers can tell one from the other::

    if await has_ended(context, backend):
        ...
"""

import enum
import typing as t
import urllib.parse

import trio

from sycamorespool import asgi
from sycamorespool import backends
from sycamorespool import entry_context
from sycamorespool import http_client
from sycamorespool.peers import reach_watch
from sycamorespool import sockets

PATH = "/server"
CONNECT_TIMEOUT_S = 0.3
PEER_TIMEOUT_S = 0.5
# Entries that are asked, one after the other, until one can tell.
MAX_ASKED = 3
# Other servers that are tried to find out whether the own links work.
MAX_TRIED = 8


class Finding(enum.StrEnum):
    """Names what an entry finds out about a server's process."""

    ENDED = "ended"
    RUNNING = "running"
    UNKNOWN = "unknown"


async def _find(
    context: entry_context.EntryContext, backend: backends.Backend
) -> Finding:
    """Find out by a new connection whether a server's process has ended."""
    if not await sockets.is_refused(backend.address, CONNECT_TIMEOUT_S):
        return Finding.RUNNING
    # Many servers that end do not put the own links in doubt.
    is_sure = reach_watch.hears_servers(context, trio.current_time())
    if not is_sure:
        is_sure = await _reaches_another(context, backend)
    return Finding.ENDED if is_sure else Finding.UNKNOWN


async def _reaches_another(
    context: entry_context.EntryContext, backend: backends.Backend
) -> bool:
    """Tell whether one of a few other servers accepts a connection."""
    others = [
        other
        for other in context.registry.servers.values()
        if other.backend_id != backend.backend_id
    ]
    context.random.shuffle(others)
    accepted: list[backends.Backend] = []

    async def try_one(other: backends.Backend) -> None:
        if await sockets.is_accepting(other.address, CONNECT_TIMEOUT_S):
            accepted.append(other)

    async with trio.open_nursery() as nursery:
        for other in others[:MAX_TRIED]:
            nursery.start_soon(try_one, other)
    return bool(accepted)


def make_app(context: entry_context.EntryContext) -> asgi.App:
    """Return the application that answers other entries."""

    async def handle(request: asgi.Request) -> asgi.Response:
        vm_id = request.query.get("vm", "")
        backend = context.registry.servers.get(vm_id)
        found = Finding.UNKNOWN
        if backend is not None:
            found = await _find(context, backend)
        return asgi.Response(200, found.value.encode(), "text/plain")

    return asgi.make_app(handle)


async def _ask(
    context: entry_context.EntryContext,
    address: str,
    backend: backends.Backend,
) -> Finding:
    vm_id = urllib.parse.quote(backend.backend_id, safe="")
    url = f"http://{address}{PATH}?vm={vm_id}"
    try:
        answer = await http_client.exchange(
            context.peer_pool, "GET", url, timeout_s=PEER_TIMEOUT_S
        )
        return Finding(answer.body.decode("latin-1"))
    except (http_client.NotReached, http_client.ExchangeFailed, ValueError):
        return Finding.UNKNOWN


def _list_peers(context: entry_context.EntryContext) -> t.Iterator[str]:
    entries = context.entry_directory.entries
    names = [name for name in entries if name != context.name]
    context.random.shuffle(names)
    for name in names[:MAX_ASKED]:
        yield entries[name].address


async def has_ended(
    context: entry_context.EntryContext, backend: backends.Backend
) -> bool:
    """Tell whether a server's process has ended.

    The first other entry that can tell decides.  If none can, this entry
    trusts what it sees if it reaches other servers.
    """
    own = await _find(context, backend)
    if own is Finding.RUNNING:
        return False
    for address in _list_peers(context):
        found = await _ask(context, address, backend)
        if found is not Finding.UNKNOWN:
            return found is Finding.ENDED
    return own is Finding.ENDED
