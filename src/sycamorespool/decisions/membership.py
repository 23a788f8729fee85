"""Membership between entries: who is alive, after SWIM.

Every period an entry pings one other.  If no acknowledgement comes, it asks
a few helpers to ping the target before it suspects it.  A suspicion that is
not refuted in time becomes a declaration of death.  News rides on the pings
and acknowledgements, a bounded number on each::

    target = begin_period(state, now_s, rng)
    ping = make_ping(state, target)
    # ... no answer
    helpers = choose_helpers(state, target, rng)
    # ... no helper reached it either
    suspect(state, target, now_s)

Das, Gupta and Motivala: SWIM, Scalable Weakly-consistent Infection-style
Process Group Membership Protocol, DSN 2002.
"""

import dataclasses
import math
import random
import typing as t

import msgspec

from sycamorespool.decisions import pings

PERIOD_S = 1.0
HELPERS = 3
MAX_UPDATES = 16
SENDS_PER_DOUBLING = 3
SUSPICION_PERIODS = 4.0
PAUSE_PERIODS = 3.0
DEAD_PING_PERIODS = 5
FORGET_S = 120.0
UNHEARD = -1


@dataclasses.dataclass(slots=True)
class Member:
    """What is held of one other entry.

    Parameters
    ----------
    update : pings.Update
        The newest statement.
    since_s : float
        When its status was taken in.
    log : pings.LogView or None
        How far it has read the log, as it said itself.
    log_s : float
        When it said so.
    """

    update: pings.Update
    since_s: float
    log: pings.LogView | None = None
    log_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Membership:
    """The membership as one entry sees it.

    Parameters
    ----------
    own : pings.Update
        This entry's statement about itself.
    members : dict
        The other entries by name.
    listed : frozenset of str
        Entries in the platform's membership list.
    unsent : dict
        How often the newest update of an entry was sent.
    queue : list of str
        Entries to ping, last one first.
    periods : int
        Periods begun.
    began_s : float
        When the last period began, or -inf.
    period_s : float
        Time between two periods, in s.
    """

    own: pings.Update
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    listed: frozenset[str] = frozenset()
    unsent: dict[str, int] = dataclasses.field(default_factory=dict)
    queue: list[str] = dataclasses.field(default_factory=list)
    periods: int = 0
    began_s: float = -math.inf
    period_s: float = PERIOD_S


def join(
    entry: str,
    address: str,
    data_centre: str,
    region: str,
    incarnation: int,
    period_s: float = PERIOD_S,
) -> Membership:
    """Return the membership of an entry that has just started."""
    own = pings.Update(
        entry, address, data_centre, incarnation, 0, pings.Status.ALIVE, region
    )
    return Membership(own, unsent={entry: 0}, period_s=period_s)


def suspicion_s(state: Membership) -> float:
    """Return how long a suspicion may be refuted, in s."""
    stretch = max(1.0, math.log10(size_of(state) + 1))
    return SUSPICION_PERIODS * state.period_s * stretch


def names_of(state: Membership, *statuses: pings.Status) -> list[str]:
    """Return the other entries that are held to be in one of the statuses."""
    return [
        name
        for name, member in state.members.items()
        if member.update.status in statuses
    ]


def hears(state: Membership) -> frozenset[str]:
    """Return the entries that are held alive, this one included."""
    return frozenset((state.own.entry, *names_of(state, pings.Status.ALIVE)))


def size_of(state: Membership) -> int:
    """Return the number of entries not known to be gone."""
    return 1 + len(names_of(state, pings.Status.ALIVE, pings.Status.SUSPECT))


def set_listed(
    state: Membership, listed: t.Mapping[str, tuple[str, str]], now_s: float
) -> None:
    """Take in the platform's list: address and data centre by entry."""
    state.listed = frozenset(listed)
    for name, (address, data_centre) in listed.items():
        if name != state.own.entry and name not in state.members:
            update = pings.Update(
                name, address, data_centre, UNHEARD, 0, pings.Status.ALIVE
            )
            state.members[name] = Member(update, now_s)


def _refute(state: Membership, update: pings.Update) -> None:
    if update.incarnation > state.own.incarnation:
        return
    if (
        state.own.status is pings.Status.LEFT
        or update.status is pings.Status.ALIVE
    ):
        return
    # An older accusation was refuted before; its sender has missed that.
    state.unsent[state.own.entry] = 0
    if update.order > state.own.order:
        refutation = update.refutation + 1
        state.own = msgspec.structs.replace(state.own, refutation=refutation)


def _take(state: Membership, update: pings.Update, now_s: float) -> None:
    if update.entry == state.own.entry:
        _refute(state, update)
        return
    member = state.members.get(update.entry)
    if member is not None and update.order <= member.update.order:
        return
    if member is None:
        if update.status in (pings.Status.DEAD, pings.Status.LEFT):
            return
        state.members[update.entry] = Member(update, now_s)
    else:
        member.update = update
        member.since_s = now_s
    # The newest news comes last in the dictionary.
    state.unsent.pop(update.entry, None)
    state.unsent[update.entry] = 0


def receive(
    state: Membership,
    message: pings.Ping | pings.PingRequest | pings.Ack,
    now_s: float,
) -> None:
    """Take in the news that a message carries."""
    for update in message.updates:
        _take(state, update, now_s)
    member = state.members.get(message.sender)
    if member is not None:
        member.log = message.log
        member.log_s = now_s


def suspect(state: Membership, target: str, now_s: float) -> None:
    """Note that neither this entry nor its helpers reached the target."""
    member = state.members.get(target)
    if member is not None and member.update.status is pings.Status.ALIVE:
        accusation = msgspec.structs.replace(
            member.update, status=pings.Status.SUSPECT
        )
        _take(state, accusation, now_s)


def leave(state: Membership) -> None:
    """State that this entry goes; to be followed by a few last pings."""
    state.own = msgspec.structs.replace(state.own, status=pings.Status.LEFT)
    state.unsent[state.own.entry] = 0


def _view_of(state: Membership, name: str) -> pings.Update | None:
    if name == state.own.entry:
        return state.own
    member = state.members.get(name)
    return member.update if member else None


def _rank_news(state: Membership, name: str) -> tuple[bool, int]:
    # That entries live is the news of a fleet's start and can wait.
    update = _view_of(state, name)
    is_alive = update is not None and update.status is pings.Status.ALIVE
    return (is_alive, state.unsent[name])


def _take_updates(
    state: Membership, receiver: str
) -> tuple[pings.Update, ...]:
    """Return the news for one message, the most urgent first."""
    # The sender's own statement and an accusation of the receiver always
    # ride along: they make an entry known and let it refute.
    first = [state.own]
    view = _view_of(state, receiver)
    if view is not None and view.status is not pings.Status.ALIVE:
        first.append(view)
    taken = {update.entry for update in first}
    waiting = sorted(
        (name for name in reversed(state.unsent) if name not in taken),
        key=lambda name: _rank_news(state, name),
    )
    limit = SENDS_PER_DOUBLING * math.ceil(math.log2(size_of(state) + 1))
    for name in waiting[: MAX_UPDATES - len(first)]:
        update = _view_of(state, name)
        if update is not None:
            first.append(update)
        state.unsent[name] += 1
        if update is None or state.unsent[name] >= limit:
            del state.unsent[name]
    return tuple(first)


def make_ping(
    state: Membership, target: str, log: pings.LogView = pings.UNREAD
) -> pings.Ping:
    """Return a ping for the target."""
    return pings.Ping(state.own.entry, _take_updates(state, target), log)


def make_ping_request(
    state: Membership,
    helper: str,
    target: str,
    log: pings.LogView = pings.UNREAD,
) -> pings.PingRequest:
    """Return the request that a helper should ping the target."""
    updates = _take_updates(state, helper)
    return pings.PingRequest(state.own.entry, target, updates, log)


def make_ack(
    state: Membership,
    receiver: str,
    is_reached: bool = True,
    log: pings.LogView = pings.UNREAD,
) -> pings.Ack:
    """Return the answer to a ping, or to a request to ping."""
    updates = _take_updates(state, receiver)
    return pings.Ack(state.own.entry, updates, log, is_reached)


def _shift_for_pause(state: Membership, now_s: float) -> None:
    """Give suspects the time back that this entry was paused."""
    gap_s = now_s - state.began_s - state.period_s
    if math.isinf(gap_s) or gap_s < PAUSE_PERIODS * state.period_s:
        return
    for name in names_of(state, pings.Status.SUSPECT):
        state.members[name].since_s = now_s


def _declare_dead(state: Membership, now_s: float) -> None:
    limit_s = suspicion_s(state)
    for name in names_of(state, pings.Status.SUSPECT):
        member = state.members[name]
        if now_s - member.since_s >= limit_s:
            verdict = msgspec.structs.replace(
                member.update, status=pings.Status.DEAD
            )
            _take(state, verdict, now_s)


def _forget_gone(state: Membership, now_s: float) -> None:
    for name in names_of(state, pings.Status.DEAD, pings.Status.LEFT):
        member = state.members[name]
        is_old = now_s - member.since_s >= FORGET_S
        if is_old and name not in state.listed:
            del state.members[name]
            state.unsent.pop(name, None)


def _choose_target(state: Membership, rng: random.Random) -> str | None:
    # Dead entries that the platform still lists are tried now and then, so
    # that the sides of a healed partition find each other again.
    dead = [n for n in names_of(state, pings.Status.DEAD) if n in state.listed]
    if dead and state.periods % DEAD_PING_PERIODS == 0:
        return rng.choice(sorted(dead))
    pinged = set(names_of(state, pings.Status.ALIVE, pings.Status.SUSPECT))
    while state.queue:
        name = state.queue.pop()
        if name in pinged:
            return name
    state.queue = sorted(pinged)
    rng.shuffle(state.queue)
    if state.queue:
        return state.queue.pop()
    return rng.choice(sorted(dead)) if dead else None


def begin_period(
    state: Membership, now_s: float, rng: random.Random
) -> str | None:
    """Begin a period and return the entry to ping, if there is one."""
    _shift_for_pause(state, now_s)
    state.began_s = now_s
    state.periods += 1
    _declare_dead(state, now_s)
    _forget_gone(state, now_s)
    return _choose_target(state, rng)


def choose_helpers(
    state: Membership, target: str, rng: random.Random
) -> list[str]:
    """Return a few live entries that may reach the target."""
    names = sorted(set(names_of(state, pings.Status.ALIVE)) - {target})
    return rng.sample(names, min(HELPERS, len(names)))
