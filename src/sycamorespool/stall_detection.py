"""Detects stalled backend servers and moves requests away from them.

A server is watched while it holds attempts of this entry that may be
repeated at another server.  It counts as silent from the last byte that it
sent, or from its first unanswered request on.  The head of a group sends
nothing more once a member of its group is lost, and neither does a server
that has failed itself; an overloaded server is silent for a while, too.  So
there are two limits, which depend on the service's usual time to the first
byte (see :mod:`sycamorespool.decisions.placing.server_activity`):

- After the shorter one, the members of the server's group are asked for a
  report.  If a member does not answer, the server counts as stalled; if all
  answer, it is given more time.
- After the longer one, the server counts as stalled whatever its members
  answer.

Beside the repeatable attempts at a stalled server others begin at other
servers, and new requests avoid it for some seconds.  The same holds for a
single attempt that gets nothing for long, while its server serves others.  As
a sound server may be silent for a second, an attempt goes on until one beside
it is answered, or a member of its group is known to be lost: its process has
ended, or it has answered no probe for ``server_activity.LOSS_SILENCE_S``::

    nursery.start_soon(stall_detection.watch, context)
"""

import functools

import trio

from sycamorespool import backends
from sycamorespool.decisions.placing import reachability
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions import registry
from sycamorespool import entry_context
from sycamorespool import logs
from sycamorespool.peers import peer_calls
from sycamorespool.peers import reach_watch
from sycamorespool.platform import engines

CHECK_PERIOD_S = 0.05
# A report takes a few ms; a member that needs longer is taken as dead.
PROBE_TIMEOUT_S = 0.2
# If a check comes later than this, the entry itself was paused and cannot
# tell how long the servers were silent.
PAUSE_THRESHOLD_S = 0.4

log = logs.make_logger("requests")


async def watch(context: entry_context.EntryContext) -> None:
    """Move requests away from stalled servers until cancelled."""
    probing: set[str] = set()
    checked_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            now_s, previous_s = trio.current_time(), checked_s
            checked_s = now_s
            if now_s - previous_s > PAUSE_THRESHOLD_S:
                _restart_silence_clocks(context, now_s)
            for backend_id, activity in list(
                context.placement_state.activities.items()
            ):
                if not activity.movable:
                    continue
                if backend_id.startswith(peer_calls.ID_PREFIX):
                    _move_overdue(activity, 0.0, now_s)
                    continue
                backend = context.registry.servers.get(backend_id)
                mean_ttfb_s = context.placement_state.find_mean_ttfb_s(backend)
                _move_overdue(activity, mean_ttfb_s, now_s)
                if backend_id in probing:
                    continue
                verdict = server_activity.detect_stall(
                    activity, mean_ttfb_s, now_s
                )
                if verdict is server_activity.StallStatus.STALLED:
                    _move_requests_away(context, backend_id)
                if (
                    backend is not None
                    and server_activity.is_probe_due(
                        activity, mean_ttfb_s, now_s
                    )
                    and not all(a.is_replaced for a in activity.movable)
                ):
                    probing.add(backend_id)
                    nursery.start_soon(_probe_group, context, backend, probing)


def _restart_silence_clocks(
    context: entry_context.EntryContext, now_s: float
) -> None:
    """Measure silences from now on, as this entry itself was paused."""
    log.warning(
        "entry was paused, silences of servers are measured from now on",
        count=len(context.placement_state.activities),
    )
    for activity in context.placement_state.activities.values():
        if activity.in_flight:
            activity.silent_since_s = now_s
        for attempt in activity.movable:
            attempt.silent_since_s = now_s


def _move_overdue(
    activity: server_activity.BackendActivity, mean_ttfb_s: float, now_s: float
) -> None:
    """Move single attempts that got nothing for long to other servers."""
    for attempt in activity.movable:
        if attempt.is_overdue(mean_ttfb_s, now_s):
            attempt.try_move(now_s)


def _move_requests_away(
    context: entry_context.EntryContext, backend_id: str, lost_id: str = ""
) -> None:
    """Begin others beside the attempts at a server, as far as possible.

    ``lost_id`` is the member of its group that does not answer, if known.
    """
    now_s = trio.current_time()
    activity = context.placement_state.activities[backend_id]
    moved = sum(attempt.try_move(now_s) for attempt in activity.movable)
    if moved or now_s >= activity.suspect_until_s:
        log.info(
            "backend server stalled, its requests move to another one",
            vm=backend_id,
            age_s=now_s - activity.silent_since_s,
            count=moved,
            open=len(activity.movable),
            state=f"no answer from {lost_id}" if lost_id else "silent",
        )
    server_activity.note_stall(activity, now_s)


def _give_up_requests(
    context: entry_context.EntryContext, backend_id: str, lost_id: str
) -> None:
    """Cancel the attempts at a server that will get nothing more."""
    activity = context.placement_state.activities[backend_id]
    log.warning(
        "member of a group is lost, its requests are given up",
        vm=backend_id,
        name=lost_id,
        count=len(activity.movable),
    )
    for attempt in activity.movable:
        attempt.give_up()


async def _probe_group(
    context: entry_context.EntryContext,
    head: backends.Backend,
    probing: set[str],
) -> None:
    """Ask the members of a silent group for reports; act if one is missing."""
    activity = context.placement_state.activities[head.backend_id]
    asked_s = trio.current_time()
    silent: list[str] = []
    ended: list[str] = []
    try:
        async with trio.open_nursery() as nursery:
            for member in registry.list_members(context.registry, head):
                # If the head's process had ended, its connections would
                # have closed.
                lost = silent if member is head else ended
                nursery.start_soon(
                    functools.partial(
                        _probe_member, context, member, silent, lost
                    )
                )
    finally:
        probing.discard(head.backend_id)
    now_s = trio.current_time()
    missing = ended + silent
    if not missing:
        server_activity.note_probe_answered(activity, now_s)
    elif server_activity.is_silent(activity, PROBE_TIMEOUT_S, now_s):
        server_activity.note_probe_unanswered(activity, asked_s)
        _move_requests_away(context, head.backend_id, missing[0])
        if ended or server_activity.is_lost(activity, now_s):
            _give_up_requests(context, head.backend_id, missing[0])
        # The head may be sound, and the link to it lost.
        await reach_watch.try_server(context, head)


async def _probe_member(
    context: entry_context.EntryContext,
    member: backends.Backend,
    silent: list[str],
    refused: list[str],
) -> None:
    """Probe a member; add it to ``silent``, or to ``refused`` if it ended."""
    status = await engines.probe(
        context.server_caller, member.address, PROBE_TIMEOUT_S
    )
    if status is engines.ProbeStatus.SILENT:
        silent.append(member.backend_id)
    elif status is engines.ProbeStatus.REFUSED:
        # A server that leaves stops listening before it has answered all, and
        # one that this entry cannot reach may be sound.
        is_unsure = context.placement_state.is_leaving(
            member
        ) or reachability.is_doubtful(context.reach)
        (silent if is_unsure else refused).append(member.backend_id)
