"""Watches which other entries are alive, by pings between entries.

One loop pings an entry in each period; if it does not answer, other
entries (helpers) are asked to ping it before it is suspected.
"""

import dataclasses
import math
import random
import typing as t

import trio

from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import membership
from sycamorespool.decisions import pings
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import logs

PING_TIMEOUT_S = 0.3
PING_REQUEST_TIMEOUT_S = 0.6
# How many entries a leaving entry tells that it leaves.
MAX_LEAVE_PINGS = 8
SETTLE_PERIODS = 3
# Running time since the last read up to which the log counts as readable.
READABLE_LOG_MAX_AGE_S = 2.0
# A gap between two checks of more of their periods than this is a pause.
MAX_CHECK_PERIODS = 1.5
# Older reports of peers on their view of the log are left out.
LOG_VIEW_MAX_AGE_S = 1.5

log = logs.make_logger("peers")


@dataclasses.dataclass(slots=True)
class PeerWatch:
    """Holds this process's view of the membership.

    Parameters
    ----------
    env : environment.Environment
        The environment of this process.
    state : membership.Membership
        What is known of the other entries.
    rng : random.Random
        Chooses targets and helpers.
    checked_s : float
        When the age of the last read of the log was last checked.
    resumed_s : float
        When this process last went on after a pause.
    """

    env: environment.Environment
    state: membership.Membership
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    checked_s: float = math.inf
    resumed_s: float = -math.inf


def make_watch(env: environment.Environment) -> PeerWatch:
    """Return the peer watch of a process that starts now."""
    chosen = env.settings
    state = membership.join(
        env.name,
        chosen.listen.peers,
        chosen.entry.data_centre,
        chosen.entry.region,
        env.incarnation,
        chosen.peers.ping_period_s,
    )
    return PeerWatch(env, state)


def list_heard(watch: PeerWatch) -> frozenset[str]:
    """Return the entries that are considered alive, with this one."""
    return membership.alive_entries(watch.state)


def list_known(watch: PeerWatch) -> frozenset[str]:
    """Return all entries that have not left, with this one."""
    state = watch.state
    left = membership.names_with_status(state, pings.Status.LEFT)
    return frozenset(state.members) - set(left) | {state.own.entry}


def dead_for_s(watch: PeerWatch, entry: str, now_s: float) -> float:
    """Return how long an entry has been declared dead, in s, or 0."""
    member = watch.state.members.get(entry)
    if member is None or member.update.status is not pings.Status.DEAD:
        return 0.0
    return now_s - member.since_s


def presumes_outage(watch: PeerWatch, now_s: float) -> bool:
    """Tell whether half or more of the entries heard cannot read the log.

    Only entries count whose report on the log is recent.

    An entry that knows no other presumes an outage; one that knows others
    but hears none does not, because it may be the only one that is cut off.
    """
    members = watch.state.members.values()
    views = [
        member.log
        for member in members
        if member.log is not None and now_s - member.log_s < LOG_VIEW_MAX_AGE_S
    ]
    count_unreadable = sum(not view.is_readable for view in views)
    return 2 * count_unreadable >= len(views) if views else not members


def settle_s(watch: PeerWatch) -> float:
    """Return how long other grantors may go on after a partition, in s.

    Within this time a grantor on the other side of a network partition has
    noticed the change and its grants have expired.
    """
    return (
        membership.suspicion_s(watch.state)
        + SETTLE_PERIODS * watch.state.period_s
        + grant_ledger.counted_ttl_s()
    )


def find_address(watch: PeerWatch, entry: str) -> str | None:
    """Return the address of an entry, or None if it is not known."""
    member = watch.state.members.get(entry)
    return member.update.address if member else None


def _measure_unread_s(watch: PeerWatch) -> float:
    """Return for how long this process has run without reading the log.

    A process that was paused could not read meanwhile, which does not show
    that the log cannot be read.
    """
    now_s = trio.current_time()
    check_s = max(
        watch.state.period_s, PING_TIMEOUT_S + PING_REQUEST_TIMEOUT_S
    )
    if now_s - watch.checked_s > MAX_CHECK_PERIODS * check_s:
        watch.resumed_s = now_s
    watch.checked_s = now_s
    return now_s - max(watch.env.log_read_s, watch.resumed_s)


def _make_log_view(watch: PeerWatch) -> pings.LogView:
    env = watch.env
    age_s = _measure_unread_s(watch)
    return pings.LogView(
        env.fleet.offset, env.fleet.version, age_s < READABLE_LOG_MAX_AGE_S
    )


async def _call(
    watch: PeerWatch, entry: str, message: messages.Message, timeout_s: float
) -> bool:
    """Send a membership message; return whether the target was reached."""
    address = find_address(watch, entry)
    if address is None:
        return False
    try:
        reply = await watch.env.transport.call(address, message, timeout_s)
    except exceptions.PeerError:
        return False
    if not isinstance(reply, pings.Ack):
        return False
    membership.receive(watch.state, reply, trio.current_time())
    return reply.is_reached


async def _ping(watch: PeerWatch, target: str) -> bool:
    ping = membership.make_ping(watch.state, target, _make_log_view(watch))
    return await _call(watch, target, ping, PING_TIMEOUT_S)


async def _ask_helpers(watch: PeerWatch, target: str) -> bool:
    helpers = membership.choose_helpers(watch.state, target, watch.rng)
    reached = False

    async def ask(helper: str) -> None:
        nonlocal reached
        request = membership.make_ping_request(
            watch.state, helper, target, _make_log_view(watch)
        )
        reached |= await _call(watch, helper, request, PING_REQUEST_TIMEOUT_S)

    async with trio.open_nursery() as nursery:
        for helper in helpers:
            nursery.start_soon(ask, helper)
    return reached


async def _run_period(watch: PeerWatch) -> None:
    env, state = watch.env, watch.state
    now_s = trio.current_time()
    _measure_unread_s(watch)
    listed = {
        name: (vm.address, vm.data_centre)
        for name, vm in env.entries().items()
    }
    membership.set_listed(state, listed, now_s)
    target = membership.begin_period(state, now_s, watch.rng)
    if target is None or await _ping(watch, target):
        return
    if await _ask_helpers(watch, target):
        return
    log.info(
        "entry answered neither a ping nor the pings of helpers",
        entry=target,
    )
    membership.suspect(state, target, trio.current_time())


async def run(watch: PeerWatch) -> None:
    """Ping other entries, one in each period, until cancelled."""
    while True:
        started_s = trio.current_time()
        await _run_period(watch)
        set_distance_tiers(watch)
        await trio.sleep_until(started_s + watch.state.period_s)


def set_distance_tiers(watch: PeerWatch) -> None:
    """Set the distance of each data centre: 0 in this region, 1 elsewhere."""
    state = watch.state
    updates = [state.own, *(m.update for m in state.members.values())]
    watch.env.held.tiers = {
        update.data_centre: int(update.region != state.own.region)
        for update in updates
        if update.region
    }


async def leave(watch: PeerWatch) -> None:
    """Tell other entries that this one leaves."""
    membership.leave(watch.state)
    names = membership.names_with_status(watch.state, pings.Status.ALIVE)
    async with trio.open_nursery() as nursery:
        for name in names[:MAX_LEAVE_PINGS]:
            nursery.start_soon(_ping, watch, name)


def make_handlers(watch: PeerWatch) -> dict[type, t.Any]:
    """Return the handlers of pings and of requests to ping an entry."""

    async def answer_ping(message: pings.Ping) -> messages.Message:
        membership.receive(watch.state, message, trio.current_time())
        return membership.make_ack(
            watch.state, message.sender, log=_make_log_view(watch)
        )

    async def ping_for_sender(message: pings.PingRequest) -> messages.Message:
        membership.receive(watch.state, message, trio.current_time())
        is_reached = await _ping(watch, message.target)
        return membership.make_ack(
            watch.state, message.sender, is_reached, _make_log_view(watch)
        )

    return {pings.Ping: answer_ping, pings.PingRequest: ping_for_sender}
