"""Detect which entries are alive, with the SWIM membership protocol.

Every period an entry pings one other.  If no acknowledgement comes, it asks
a few helpers to ping the target before it suspects it.  A suspect that
does not refute the suspicion in time is declared dead.  Updates on other
entries are piggybacked on the pings and acknowledgements, a bounded number
on each::

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
# Entries that are asked to ping a target that did not answer.
HELPERS = 3
# Updates on one message.
MAX_UPDATES = 16
# An update is sent this many times for each doubling of the entries.
SENDS_PER_DOUBLING = 3
# Least time for refuting a suspicion, in periods.
SUSPICION_PERIODS = 4.0
# A period that is late by this many periods shows that this entry paused.
PAUSE_PERIODS = 3.0
# A listed dead entry is pinged once in this many periods.
DEAD_PING_PERIODS = 5
# Entries that are gone and not listed are removed after this time.
FORGET_S = 120.0
# Incarnation of a listed entry that has not been heard from yet.
UNKNOWN_INCARNATION = -1


@dataclasses.dataclass(slots=True)
class Member:
    """Hold what is known of one other entry.

    Parameters
    ----------
    update : pings.Update
        The newest update on the entry.
    since_s : float
        When that update was received.
    log : pings.LogView or None
        How far it has read the log, as it last reported itself.
    log_s : float
        When it reported this.
    """

    update: pings.Update
    since_s: float
    log: pings.LogView | None = None
    log_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Membership:
    """Hold the membership as one entry sees it.

    Parameters
    ----------
    own : pings.Update
        This entry's update on itself.
    members : dict
        The other entries by name.
    listed : frozenset of str
        Entries in the platform's membership list.
    send_counts : dict
        How often an update was sent, by entry; only updates that have to
        be sent again are included.
    queue : list of str
        Entries to ping, last one first.
    periods : int
        Number of periods begun.
    began_s : float
        When the last period began, or -inf.
    period_s : float
        Time between two periods, in s.
    """

    own: pings.Update
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    listed: frozenset[str] = frozenset()
    send_counts: dict[str, int] = dataclasses.field(default_factory=dict)
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
    return Membership(own, send_counts={entry: 0}, period_s=period_s)


def suspicion_s(state: Membership) -> float:
    """Return how long a suspicion may be refuted, in s."""
    factor = max(1.0, math.log10(count_members(state) + 1))
    return SUSPICION_PERIODS * state.period_s * factor


def names_with_status(state: Membership, *statuses: pings.Status) -> list[str]:
    """Return the other entries that have one of the statuses."""
    return [
        name
        for name, member in state.members.items()
        if member.update.status in statuses
    ]


def alive_entries(state: Membership) -> frozenset[str]:
    """Return the entries that are considered alive, this one included."""
    return frozenset(
        (state.own.entry, *names_with_status(state, pings.Status.ALIVE))
    )


def count_members(state: Membership) -> int:
    """Return the number of live and suspected entries, this one included."""
    return 1 + len(
        names_with_status(state, pings.Status.ALIVE, pings.Status.SUSPECT)
    )


def set_listed(
    state: Membership, listed: t.Mapping[str, tuple[str, str]], now_s: float
) -> None:
    """Set the platform's list: address and data centre by entry."""
    state.listed = frozenset(listed)
    for name, (address, data_centre) in listed.items():
        if name != state.own.entry and name not in state.members:
            update = pings.Update(
                name,
                address,
                data_centre,
                UNKNOWN_INCARNATION,
                0,
                pings.Status.ALIVE,
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
    # A suspicion that is older than this entry's own update was refuted
    # already, and its sender has missed that: the own update is then only
    # sent again.
    state.send_counts[state.own.entry] = 0
    if update.order > state.own.order:
        refutation = update.refutation + 1
        state.own = msgspec.structs.replace(state.own, refutation=refutation)


def _apply_update(
    state: Membership, update: pings.Update, now_s: float
) -> None:
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
    # The newest update comes last in the dictionary.
    state.send_counts.pop(update.entry, None)
    state.send_counts[update.entry] = 0


def receive(
    state: Membership,
    message: pings.Ping | pings.PingRequest | pings.Ack,
    now_s: float,
) -> None:
    """Apply the updates that a message carries."""
    for update in message.updates:
        _apply_update(state, update, now_s)
    member = state.members.get(message.sender)
    if member is not None:
        member.log = message.log
        member.log_s = now_s


def suspect(state: Membership, target: str, now_s: float) -> None:
    """Suspect a target that neither this entry nor its helpers reached."""
    member = state.members.get(target)
    if member is not None and member.update.status is pings.Status.ALIVE:
        suspicion = msgspec.structs.replace(
            member.update, status=pings.Status.SUSPECT
        )
        _apply_update(state, suspicion, now_s)


def leave(state: Membership) -> None:
    """Set this entry's status to left.

    A few last pings should follow, which tell the other entries.
    """
    state.own = msgspec.structs.replace(state.own, status=pings.Status.LEFT)
    state.send_counts[state.own.entry] = 0


def _find_update(state: Membership, name: str) -> pings.Update | None:
    if name == state.own.entry:
        return state.own
    member = state.members.get(name)
    return member.update if member else None


def _rank_update(state: Membership, name: str) -> tuple[bool, int]:
    # Updates on live entries are many when a fleet starts and can wait.
    update = _find_update(state, name)
    is_alive = update is not None and update.status is pings.Status.ALIVE
    return (is_alive, state.send_counts[name])


def _select_updates(
    state: Membership, receiver: str
) -> tuple[pings.Update, ...]:
    """Return the updates for one message, the most urgent first."""
    # The sender's own update is always included, which makes the sender
    # known, and so is a suspicion of the receiver, which can refute it.
    first = [state.own]
    known = _find_update(state, receiver)
    if known is not None and known.status is not pings.Status.ALIVE:
        first.append(known)
    taken = {update.entry for update in first}
    waiting = sorted(
        (name for name in reversed(state.send_counts) if name not in taken),
        key=lambda name: _rank_update(state, name),
    )
    limit = SENDS_PER_DOUBLING * math.ceil(math.log2(count_members(state) + 1))
    for name in waiting[: MAX_UPDATES - len(first)]:
        update = _find_update(state, name)
        if update is not None:
            first.append(update)
        state.send_counts[name] += 1
        if update is None or state.send_counts[name] >= limit:
            del state.send_counts[name]
    return tuple(first)


def make_ping(
    state: Membership, target: str, log: pings.LogView = pings.UNREAD
) -> pings.Ping:
    """Return a ping for the target."""
    return pings.Ping(state.own.entry, _select_updates(state, target), log)


def make_ping_request(
    state: Membership,
    helper: str,
    target: str,
    log: pings.LogView = pings.UNREAD,
) -> pings.PingRequest:
    """Return a request to a helper to ping the target."""
    updates = _select_updates(state, helper)
    return pings.PingRequest(state.own.entry, target, updates, log)


def make_ack(
    state: Membership,
    receiver: str,
    is_reached: bool = True,
    log: pings.LogView = pings.UNREAD,
) -> pings.Ack:
    """Return the acknowledgement of a ping or of a request to ping."""
    updates = _select_updates(state, receiver)
    return pings.Ack(state.own.entry, updates, log, is_reached)


def _extend_suspicions_after_pause(state: Membership, now_s: float) -> None:
    """Restart the suspicions if this entry was paused."""
    gap_s = now_s - state.began_s - state.period_s
    if math.isinf(gap_s) or gap_s < PAUSE_PERIODS * state.period_s:
        return
    for name in names_with_status(state, pings.Status.SUSPECT):
        state.members[name].since_s = now_s


def _declare_dead(state: Membership, now_s: float) -> None:
    limit_s = suspicion_s(state)
    for name in names_with_status(state, pings.Status.SUSPECT):
        member = state.members[name]
        if now_s - member.since_s >= limit_s:
            death = msgspec.structs.replace(
                member.update, status=pings.Status.DEAD
            )
            _apply_update(state, death, now_s)


def _forget_gone(state: Membership, now_s: float) -> None:
    for name in names_with_status(state, pings.Status.DEAD, pings.Status.LEFT):
        member = state.members[name]
        is_old = now_s - member.since_s >= FORGET_S
        if is_old and name not in state.listed:
            del state.members[name]
            state.send_counts.pop(name, None)


def _choose_target(state: Membership, rng: random.Random) -> str | None:
    # Dead entries that the platform still lists are pinged occasionally, so
    # that both sides of a healed partition find each other again.
    dead = [
        n
        for n in names_with_status(state, pings.Status.DEAD)
        if n in state.listed
    ]
    if dead and state.periods % DEAD_PING_PERIODS == 0:
        return rng.choice(sorted(dead))
    pinged = set(
        names_with_status(state, pings.Status.ALIVE, pings.Status.SUSPECT)
    )
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
    _extend_suspicions_after_pause(state, now_s)
    state.began_s = now_s
    state.periods += 1
    _declare_dead(state, now_s)
    _forget_gone(state, now_s)
    return _choose_target(state, rng)


def choose_helpers(
    state: Membership, target: str, rng: random.Random
) -> list[str]:
    """Return a few live entries that are to ping the target."""
    names = sorted(
        set(names_with_status(state, pings.Status.ALIVE)) - {target}
    )
    return rng.sample(names, min(HELPERS, len(names)))
