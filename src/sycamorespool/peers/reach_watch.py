"""Finds out which backend servers this entry reaches, without requests.

Servers to which a connection failed are tried again until one is made.  When
several of them fail one after the other and nothing comes from any, the others
are tried, too, so that a cut of all links is known soon.
"""

import itertools
import math
import typing as t

import trio

from sycamorespool import backends
from sycamorespool.decisions.placing import reachability
from sycamorespool import entry_context
from sycamorespool import logs
from sycamorespool import sockets

PERIOD_S = 0.25
# A connection takes some ms; one whose first packet was lost takes longer.
CONNECT_TIMEOUT_S = 0.5
# Tries that run at the same time.
MAX_TRIES = 16
# From so many unreached servers on, all others are tried if nothing came from
# any server for the first of these times, and none was reached for the second.
SUSPICIOUS_COUNT = 2
SILENCE_S = 0.5
UNREACHED_S = 2.0

log = logs.make_logger("requests")


async def try_server(
    context: entry_context.EntryContext, backend: backends.Backend
) -> None:
    """Try to connect to a server, and record whether that works."""
    backend_id = backend.backend_id
    state = context.reach
    error: Exception | None = None
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            connection = await sockets.connect(backend.address)
        connection.close()
    except (OSError, trio.TooSlowError) as raised:
        error = raised
    lacks_resources = error is not None and sockets.lacks_resources(error)
    if lacks_resources or backend_id not in context.registry.servers:
        return
    now_s = trio.current_time()
    if error is not None:
        is_refused = isinstance(error, OSError)
        is_new = reachability.note_failed(state, backend_id, is_refused, now_s)
    else:
        is_new = reachability.note_reached(state, backend_id, now_s)
    count = len(state.failures)
    if is_new and error is not None:
        log.info(
            "backend server is not reached",
            vm=backend_id,
            error=error,
            count=count,
        )
    elif is_new:
        log.info("backend server is reached again", vm=backend_id, count=count)


def list_needed(
    context: entry_context.EntryContext,
) -> list[backends.Backend]:
    """Return the servers to which requests may be sent."""
    known = context.registry.servers
    services = context.table.services if context.table is not None else {}
    found = []
    for name, service in services.items():
        if service.engine is None:
            found += context.registry.servers_of(name)
            continue
        heads = (group.head for group in context.registry.groups_of(name))
        found += [
            known[head]
            for head in heads
            if head
            and known[head].membership.state is backends.MemberState.OPEN
        ]
    return found


def _list_due(
    context: entry_context.EntryContext,
    needed: list[backends.Backend],
    now_s: float,
) -> list[backends.Backend]:
    """Return the servers to try now: those not reached, and suspects."""
    state = context.reach
    known = context.registry.servers
    due = [known[vm] for vm in list(state.failures) if vm in known]
    if len(due) >= SUSPICIOUS_COUNT and not hears_servers(context, now_s):
        due += [
            backend
            for backend in needed
            if reachability.is_reached(state, backend.backend_id)
        ]
    return due


def hears_servers(context: entry_context.EntryContext, now_s: float) -> bool:
    """Tell whether any server was reached or has sent something lately."""
    known = context.registry.servers
    received_s = (
        activity.received_s
        for backend_id, activity in context.placement_state.activities.items()
        if backend_id in known
    )
    newest_s = max(received_s, default=-math.inf)
    was_reached = now_s - context.reach.reached_s <= UNREACHED_S
    return now_s - newest_s <= SILENCE_S or was_reached


async def run(context: entry_context.EntryContext) -> t.NoReturn:
    """Try servers that are not reached, until cancelled."""
    turn = 0
    while True:
        await trio.sleep(PERIOD_S)
        if not context.reach.failures:
            _review(context, [])
            continue
        needed = list_needed(context)
        due = _list_due(context, needed, trio.current_time())
        first = turn % len(due) if due else 0
        turn += MAX_TRIES
        async with trio.open_nursery() as nursery:
            chosen = itertools.islice(
                itertools.chain(due[first:], due[:first]), MAX_TRIES
            )
            for backend in chosen:
                nursery.start_soon(try_server, context, backend)
        _review(context, needed)


def _review(
    context: entry_context.EntryContext, needed: list[backends.Backend]
) -> None:
    state = context.reach
    ids = {backend.backend_id for backend in needed}
    for backend_id in state.failures.keys() - context.registry.servers:
        reachability.forget(state, backend_id)
    count = len(state.failures)
    if reachability.review(state, ids, trio.current_time()):
        if reachability.is_cut_now(state):
            log.warning(
                "this entry reaches hardly any backend server", count=count
            )
        else:
            log.warning(
                "this entry reaches backend servers again", count=count
            )
    context.metrics.set("servers_unreached", len(state.failures))
