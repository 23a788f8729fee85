"""The loop that watches the other entries, and its peer handlers."""

import dataclasses
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
HELPER_TIMEOUT_S = 0.6
LAST_PINGS = 8
SETTLE_PERIODS = 3
READABLE_LOG_S = 2.0
VIEW_AGE_S = 1.5

log = logs.make_logger("peers")


@dataclasses.dataclass(slots=True)
class PeerWatch:
    """The membership of this process and the means to keep it.

    Parameters
    ----------
    env : environment.Environment
        The entry.
    state : membership.Membership
        What is held of the other entries.
    rng : random.Random
        Chooses targets and helpers.
    """

    env: environment.Environment
    state: membership.Membership
    rng: random.Random = dataclasses.field(default_factory=random.Random)


def make_watch(env: environment.Environment) -> PeerWatch:
    """Return the watch of a process that starts now."""
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
    """Return the entries that are held alive, this one included."""
    return membership.alive_entries(watch.state)


def list_known(watch: PeerWatch) -> frozenset[str]:
    """Return all entries that may live, this one included."""
    state = watch.state
    left = membership.names_with_status(state, pings.Status.LEFT)
    return frozenset(state.members) - set(left) | {state.own.entry}


def lost_for_s(watch: PeerWatch, entry: str, now_s: float) -> float:
    """Return how long an entry has been held dead, in s; 0 if it is not."""
    member = watch.state.members.get(entry)
    if member is None or member.update.status is not pings.Status.DEAD:
        return 0.0
    return now_s - member.since_s


def presumes_outage(watch: PeerWatch, now_s: float) -> bool:
    """Tell whether most entries heard just now cannot read the log.

    An entry that has no other presumes so; one that hears no other does
    not, because it may be cut off alone.
    """
    members = watch.state.members.values()
    views = [
        member.log
        for member in members
        if member.log is not None and now_s - member.log_s < VIEW_AGE_S
    ]
    cut = sum(not view.is_readable for view in views)
    return 2 * cut >= len(views) if views else not members


def settle_s(watch: PeerWatch) -> float:
    """Return when a grantor of the other side must have stopped, in s."""
    return (
        membership.suspicion_s(watch.state)
        + SETTLE_PERIODS * watch.state.period_s
        + grant_ledger.counted_ttl_s()
    )


def find_address(watch: PeerWatch, entry: str) -> str | None:
    """Return where an entry is reached, or None if it is not known."""
    member = watch.state.members.get(entry)
    return member.update.address if member else None


def _view_log(watch: PeerWatch) -> pings.LogView:
    env = watch.env
    age_s = trio.current_time() - env.log_read_s
    return pings.LogView(
        env.fleet.offset, env.fleet.version, age_s < READABLE_LOG_S
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
    ping = membership.make_ping(watch.state, target, _view_log(watch))
    return await _call(watch, target, ping, PING_TIMEOUT_S)


async def _ask_helpers(watch: PeerWatch, target: str) -> bool:
    helpers = membership.choose_helpers(watch.state, target, watch.rng)
    reached = False

    async def ask(helper: str) -> None:
        nonlocal reached
        request = membership.make_ping_request(
            watch.state, helper, target, _view_log(watch)
        )
        reached |= await _call(watch, helper, request, HELPER_TIMEOUT_S)

    async with trio.open_nursery() as nursery:
        for helper in helpers:
            nursery.start_soon(ask, helper)
    return reached


async def _run_period(watch: PeerWatch) -> None:
    env, state = watch.env, watch.state
    now_s = trio.current_time()
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
    log.info("no answer, also through others", entry=target)
    membership.suspect(state, target, trio.current_time())


async def run(watch: PeerWatch) -> None:
    """Watch the other entries, for ever."""
    while True:
        started_s = trio.current_time()
        await _run_period(watch)
        set_tiers(watch)
        await trio.sleep_until(started_s + watch.state.period_s)


def set_tiers(watch: PeerWatch) -> None:
    """Put the data centres of this region into the nearest class."""
    state = watch.state
    updates = [state.own, *(m.update for m in state.members.values())]
    watch.env.held.tiers = {
        update.data_centre: int(update.region != state.own.region)
        for update in updates
        if update.region
    }


async def leave(watch: PeerWatch) -> None:
    """Tell the other entries that this one goes."""
    membership.leave(watch.state)
    names = membership.names_with_status(watch.state, pings.Status.ALIVE)
    async with trio.open_nursery() as nursery:
        for name in names[:LAST_PINGS]:
            nursery.start_soon(_ping, watch, name)


def make_handlers(watch: PeerWatch) -> dict[type, t.Any]:
    """Return the handlers of the membership's messages."""

    async def answer_ping(message: pings.Ping) -> messages.Message:
        membership.receive(watch.state, message, trio.current_time())
        return membership.make_ack(
            watch.state, message.sender, log=_view_log(watch)
        )

    async def ping_for(message: pings.PingRequest) -> messages.Message:
        membership.receive(watch.state, message, trio.current_time())
        is_reached = await _ping(watch, message.target)
        return membership.make_ack(
            watch.state, message.sender, is_reached, _view_log(watch)
        )

    return {pings.Ping: answer_ping, pings.PingRequest: ping_for}
