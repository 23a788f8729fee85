"""Asks the owners of units for grants, and answers such asks.

An ask states how many places this entry could use at the groups of a unit;
the answer holds grants for places.  If the owner is not reached, the ask
goes to another entry, which may grant in its place or pass the ask on.
"""

import collections
import dataclasses

import trio

from sycamorespool.decisions import grant_book
from sycamorespool.decisions import pings
from sycamorespool.decisions.placing import routing
from sycamorespool.decisions import rendezvous
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import grantor
from sycamorespool import logs
from sycamorespool import models
from sycamorespool import peer_watch

# Time between two rounds of asks: ASK_SPACING_S for each unit asked, within
# the limits ASK_PERIOD_S and ASK_PERIOD_MAX_S.
ASK_PERIOD_S = 0.5
ASK_PERIOD_MAX_S = 1.0
ASK_SPACING_S = 0.1
# Least time between two rounds, also when places run short.
ASK_MIN_GAP_S = 0.1
ASK_TIMEOUT_S = 0.4
MAX_RELAYS = 2

log = logs.make_logger("grants")


@dataclasses.dataclass(slots=True)
class GrantUser:
    """Holds what this entry uses to ask for grants.

    Parameters
    ----------
    env : environment.Environment
        The entry.
    local_grantor : grantor.Grantor
        The grantor of this process, which is asked before other entries.
    watch : peer_watch.PeerWatch
        What is known of the other entries.
    """

    env: environment.Environment
    local_grantor: grantor.Grantor
    watch: peer_watch.PeerWatch


def _choose_units(user: GrantUser) -> dict[str, dict[str, int]]:
    """Return the number of places to ask for, by unit and service."""
    env = user.env
    running: dict[str, dict[str, str]] = collections.defaultdict(dict)
    groups: collections.Counter[str] = collections.Counter()
    for group in env.fleet.groups.values():
        leader = env.vms.get(group.members[0])
        if leader is not None:
            running[group.service][group.unit] = leader.data_centre
            groups[group.service] += 1
    wanted: dict[str, dict[str, int]] = collections.defaultdict(dict)
    for service, units in running.items():
        known = env.fleet.config.services.get(service)
        limit = known.warm_limit if known else 1
        places = env.held.count_wanted(service)
        per_unit = limit * groups[service] / len(units)
        for unit in routing.choose_units(
            env.name, units, env.held.tiers, places, per_unit
        ):
            wanted[unit][service] = places
    return wanted


def _compute_period_s(units: int) -> float:
    """Return the time between two rounds, in s, so that calls are bounded."""
    spaced_s = units * ASK_SPACING_S
    return min(max(ASK_PERIOD_S, spaced_s), ASK_PERIOD_MAX_S)


async def ask_for_grants(user: GrantUser) -> None:
    """Ask for grants each period, and soon when places run short."""
    held = user.env.held
    while True:
        units = _choose_units(user)
        async with trio.open_nursery() as nursery:
            for unit, wanted in units.items():
                nursery.start_soon(_ask_unit, user, unit, wanted)
        grant_book.drop_expired(held.book, trio.current_time())
        held.shortage = trio.Event()
        await trio.sleep(ASK_MIN_GAP_S)
        with trio.move_on_after(_compute_period_s(len(units)) - ASK_MIN_GAP_S):
            await held.shortage.wait()


async def _ask_unit(
    user: GrantUser, unit: str, wanted: dict[str, int]
) -> None:
    held = user.env.held
    now_s = trio.current_time()
    ask = grant_book.make_ask(held.book, unit, wanted, now_s)
    answer = grantor.grant(user.local_grantor, ask)
    if answer is None:
        answer = await _call_grantors(user, ask)
    if answer is not None:
        held.store_answer(answer, ask.asked_s)


def _list_grantors(user: GrantUser, unit: str) -> list[str]:
    """Return the entries to ask for a unit's grants, this one excluded.

    They are the owner and, while it is not heard from, the entry that may
    grant in its place.
    """
    record = user.env.fleet.owners.get(unit)
    if record is None:
        return []
    heard = peer_watch.list_heard(user.watch)
    names = [record.entry]
    if record.entry not in heard:
        others = rendezvous.rank(unit, heard - {record.entry})
        names += others[:1]
    return [name for name in names if name != user.env.name]


async def _call(
    user: GrantUser, entry: str, message: messages.GrantsRequest
) -> models.GrantAnswer | None:
    address = peer_watch.find_address(user.watch, entry)
    if address is None:
        return None
    timeout_s = ASK_TIMEOUT_S * (1 + message.hops)
    reply = await user.env.transport.call(address, message, timeout_s)
    if isinstance(reply, messages.GrantsReply):
        return reply.answer
    return None


async def _call_grantors(
    user: GrantUser, ask: models.GrantAsk
) -> models.GrantAnswer | None:
    for name in _list_grantors(user, ask.unit):
        try:
            answer = await _call(user, name, messages.GrantsRequest(ask))
        except exceptions.PeerError as error:
            log.info(
                "ask for grants failed",
                unit=ask.unit,
                entry=name,
                error=error,
            )
            answer = await _ask_through_relays(user, name, ask)
        if answer is not None:
            return answer
    return None


async def _ask_through_relays(
    user: GrantUser, owner: str, ask: models.GrantAsk
) -> models.GrantAnswer | None:
    """Ask an owner that this entry does not reach, through other entries."""
    member = user.watch.state.members.get(owner)
    if member is None or member.update.status is pings.Status.DEAD:
        return None
    heard = peer_watch.list_heard(user.watch) - {user.env.name, owner}
    for relay in rendezvous.rank(user.env.name, heard)[:MAX_RELAYS]:
        try:
            answer = await _call(user, relay, messages.GrantsRequest(ask, 1))
        except exceptions.PeerError:
            continue
        if answer is not None:
            return answer
    return None


async def answer_ask(
    user: GrantUser, message: messages.GrantsRequest
) -> messages.Message:
    """Answer another entry's ask, or forward it to the owner."""
    answer = grantor.grant(user.local_grantor, message.ask)
    record = user.env.fleet.owners.get(message.ask.unit)
    if answer is None and message.hops and record is not None:
        forwarded = messages.GrantsRequest(message.ask)
        try:
            answer = await _call(user, record.entry, forwarded)
        except exceptions.PeerError as error:
            return messages.Refused(str(error))
    if answer is None:
        return messages.Refused("not the grantor")
    return messages.GrantsReply(answer)
