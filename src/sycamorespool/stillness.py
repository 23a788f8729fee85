"""Detects stalled backend servers and moves requests away from them.

Watched is each backend server that holds requests of this entry which may
be sent again elsewhere.  The head of a group sends no more bytes once a
member of its group is lost, nor does a server that has failed itself; but
an overloaded one falls silent for a while too.

- A server that is silent for longer than its usual time to the first byte
  explains is doubtful.  Every member of its group is asked for a report.
  If one does not answer, the server counts as stalled; if all do, the wait
  for the server's next byte goes on.
- After a longer silence the server counts as stalled whatever its members
  answer.  :mod:`sycamorespool.decisions.placing` has both limits.

The attempts at a stalled server that may be repeated are cancelled, so that
they are made at another server, and new requests avoid it for a while::

    nursery.start_soon(stillness.watch, router)
"""

import functools

import trio

from sycamorespool import backends
from sycamorespool.decisions import placing
from sycamorespool.decisions import registry
from sycamorespool import logs
from sycamorespool.platform import engines
from sycamorespool import router as routers

CHECK_PERIOD_S = 0.05
# A report takes a few ms; a member that needs longer is taken as dead.
PROBE_TIMEOUT_S = 0.2
# If a check comes later than this, the entry itself was paused and cannot
# tell how long the servers were silent.
PAUSE_THRESHOLD_S = 0.4

log = logs.make_logger("requests")


async def watch(router: routers.Router) -> None:
    """Move requests away from stalled servers until cancelled."""
    probing: set[str] = set()
    checked_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            now_s, previous_s = trio.current_time(), checked_s
            checked_s = now_s
            if now_s - previous_s > PAUSE_THRESHOLD_S:
                _restart_silence_clocks(router, now_s)
            for backend_id, pulse in list(
                router.placement_state.pulses.items()
            ):
                if backend_id in probing or not pulse.movable:
                    continue
                backend = router.registry.servers.get(backend_id)
                usual_s = router.placement_state.find_usual_s(backend)
                verdict = placing.judge_silence(pulse, usual_s, now_s)
                if verdict is placing.Silence.DOUBTFUL and backend is not None:
                    probing.add(backend_id)
                    nursery.start_soon(_probe_group, router, backend, probing)
                elif verdict is not placing.Silence.USUAL:
                    _move_requests_away(
                        router, backend_id, "silent for too long"
                    )


def _restart_silence_clocks(router: routers.Router, now_s: float) -> None:
    """Measure silences from now on, as this entry itself was paused."""
    log.warning(
        "entry was paused, measures silences of servers anew",
        count=len(router.placement_state.pulses),
    )
    for pulse in router.placement_state.pulses.values():
        if pulse.in_flight:
            pulse.waiting_since_s = now_s


def _move_requests_away(
    router: routers.Router, backend_id: str, reason: str
) -> None:
    """Cancel the repeatable attempts at a server and avoid it from now on."""
    now_s = trio.current_time()
    pulse = router.placement_state.pulses[backend_id]
    log.info(
        "backend server stalled, its requests move to another one",
        vm=backend_id,
        age_s=now_s - pulse.waiting_since_s,
        count=len(pulse.movable),
        state=reason,
    )
    placing.note_still(pulse, now_s)
    for scope in pulse.movable:
        scope.cancel()


async def _probe_group(
    router: routers.Router, head: backends.Backend, probing: set[str]
) -> None:
    """Ask the members of a silent group whether they still answer."""
    pulse = router.placement_state.pulses[head.backend_id]
    unresponsive: list[str] = []
    try:
        async with trio.open_nursery() as nursery:
            for member in registry.list_members(router.registry, head):
                nursery.start_soon(
                    functools.partial(
                        _probe_member, router, member, unresponsive
                    )
                )
    finally:
        probing.discard(head.backend_id)
    now_s = trio.current_time()
    if unresponsive and placing.is_silent(pulse, PROBE_TIMEOUT_S, now_s):
        _move_requests_away(
            router, head.backend_id, f"no answer from {unresponsive[0]}"
        )
    else:
        pulse.signs_s = now_s


async def _probe_member(
    router: routers.Router, member: backends.Backend, unresponsive: list[str]
) -> None:
    if not await engines.is_responding(
        router.engine_pool, member.address, PROBE_TIMEOUT_S
    ):
        unresponsive.append(member.backend_id)
