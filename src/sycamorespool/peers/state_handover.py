"""Asks other entries, at a start or after a restore, what the store lacks.

Followers of the store call :func:`learn` before they apply a first read of a
timeline; the others are asked once for all of them::

    known = await state_handover.learn(context)
    gone = handed_state.find_gone(known, listed)
    registry.apply_removed(context.registry, gone, now_s)

What wins and how long it holds is described in
docs/design/state-handover.md.
"""

from collections import abc
import math
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.decisions import handed_state
from sycamorespool.decisions import registry
from sycamorespool.decisions import store_readers
from sycamorespool import decoding
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import logs
from sycamorespool.store import entry_announcements

PATH = "/state"
# Entries that are asked at the same time, and how long they may take.  One
# that has just started accepts connections long before it answers.
ASKED = 3
ROUND_S = 0.12
STARTING = 503
MAX_DATA_CENTRES = 1000

log = logs.make_logger("state")


class LastSeenMessage(msgspec.Struct, array_like=True):
    """Holds the last registry entry of a server, and its removal's age."""

    backend_id: str
    started_ms: decoding.UnixMs
    sequence: decoding.Count
    age_s: decoding.Amount


Servers: t.TypeAlias = t.Annotated[
    list[LastSeenMessage], msgspec.Meta(max_length=handed_state.MAX_SERVERS)
]


class StateMessage(msgspec.Struct):
    """Holds what an entry tells another that starts.

    Entries of other builds may leave out fields, or have more of them.
    """

    version: decoding.Count = 0
    config: bytes = b""
    removed: Servers = []
    known: Servers = []
    evacuated: t.Annotated[
        list[str], msgspec.Meta(max_length=MAX_DATA_CENTRES)
    ] = []
    hold_s: decoding.Amount = 0.0


def _encode_servers(
    servers: abc.Iterable[registry.LastSeen],
) -> list[LastSeenMessage]:
    return [
        LastSeenMessage(server.backend_id, *server.last, server.age_s)
        for server in servers
    ]


def _decode_servers(
    messages: abc.Iterable[LastSeenMessage],
) -> tuple[registry.LastSeen, ...]:
    return tuple(
        registry.LastSeen(
            message.backend_id,
            registry.Instant(message.started_ms, message.sequence),
            message.age_s,
        )
        for message in messages
    )


def _make_message(
    context: entry_context.EntryContext, known_version: int, now_s: float
) -> StateMessage:
    handover = context.handover
    version = context.table.version
    hold_s = handover.hold_end_s - now_s
    is_held = 0.0 < hold_s < math.inf
    return StateMessage(
        version,
        handover.config if version > known_version else b"",
        _encode_servers(handed_state.list_removed(context.registry, now_s)),
        _encode_servers(handed_state.list_known(context.registry)),
        sorted(context.placement_state.evacuated) if is_held else [],
        hold_s if is_held else 0.0,
    )


def _make_state(message: StateMessage) -> handed_state.HandedState:
    return handed_state.HandedState(
        message.version,
        message.config or None,
        _decode_servers(message.removed),
        _decode_servers(message.known),
        frozenset(message.evacuated),
        message.hold_s,
    )


def make_app(context: entry_context.EntryContext) -> asgi.App:
    """Return the application that tells other entries what this one knows."""

    async def handle(request: asgi.Request) -> asgi.Response:
        version = decoding.read_count(request.query.get("version", ""))
        if version is None:
            return asgi.Response(400)
        if not context.state_read.is_set():
            # It knows no more than the store has.
            return asgi.Response(STARTING)
        message = _make_message(context, version, trio.current_time())
        body = msgspec.msgpack.encode(message)
        return asgi.Response(200, body, "application/msgpack")

    return asgi.make_app(handle)


async def learn(
    context: entry_context.EntryContext,
) -> handed_state.HandedState:
    """Return what other entries know, for the timeline of the last read.

    They are asked once for each timeline.
    """
    async with context.handover_lock:
        timeline = context.platform_store.newest_timeline
        learnt = context.handover.learnt
        if timeline not in learnt:
            found = await _ask_others(context)
            learnt.clear()
            learnt[timeline] = found
        return learnt[timeline]


async def _ask_others(
    context: entry_context.EntryContext,
) -> handed_state.HandedState:
    began_s = trio.current_time()
    answers: list[handed_state.HandedState] = []
    for addresses in await _list_rounds(context):
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + ROUND_S
            for address in addresses:
                nursery.start_soon(_ask, context, address, answers)
        if answers:
            break
    found = handed_state.combine(answers)
    age_s = trio.current_time() - began_s
    if not found.version:
        context.metrics.count("state_handovers", "alone")
        log.info("no other entry told its state", age_s=age_s)
        return found
    context.metrics.count("state_handovers", "answered")
    log.info(
        "other entries told their state",
        count=len(answers),
        version=found.version,
        state=f"{len(found.removed)} servers have left",
        age_s=age_s,
    )
    return found


async def _list_rounds(
    context: entry_context.EntryContext,
) -> list[list[str]]:
    """Return the addresses to ask: near ones first, then others."""
    entries = dict(context.entry_directory.entries)
    if not context.directory_read.is_set():
        entries |= await _read_announced(context)
    entries.pop(context.name, None)
    own = context.settings.entry.data_centre
    names = sorted(entries)
    context.random.shuffle(names)
    names.sort(key=lambda name: entries[name].data_centre != own)
    addresses = [entries[name].address for name in names[: 2 * ASKED]]
    rounds = [addresses[:ASKED], addresses[ASKED:]]
    return [chosen for chosen in rounds if chosen]


async def _read_announced(
    context: entry_context.EntryContext,
) -> dict[str, store_readers.Entry]:
    try:
        return await entry_announcements.read_announced(context.platform_store)
    except exceptions.PlatformError as error:
        log.warning("other entries could not be found", error=error)
        return {}


async def _ask(
    context: entry_context.EntryContext,
    address: str,
    answers: list[handed_state.HandedState],
) -> None:
    version = context.table.version if context.table is not None else 0
    url = f"http://{address}{PATH}?version={version}"
    try:
        answer = await http_client.exchange(
            context.peer_pool, "GET", url, timeout_s=ROUND_S
        )
        if answer.status == 200:
            message = decoding.decode_msgpack(answer.body, StateMessage)
            answers.append(_make_state(message))
        elif answer.status == STARTING:
            answers.append(handed_state.HandedState())
    except (
        http_client.NotReached,
        http_client.ExchangeFailed,
        exceptions.Undecodable,
    ) as error:
        log.info("entry did not tell its state", address=address, error=error)
