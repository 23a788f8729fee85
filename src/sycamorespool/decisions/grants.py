"""How a grantor divides what its groups can bear over the askers.

An entry sends new work to a group only under a grant.  It notes its clock,
asks, and the grant holds for ``ttl_s`` from that moment::

    ledger = grant_ledger.open_ledger("domain/d1", now_s)
    grant_ledger.observe(ledger, facts, load, service, mandate, now_s)
    answer(ledger, ask, mandate, config_offset, now_s)
"""

import typing as t

from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import mandates
from sycamorespool.decisions import rendezvous
from sycamorespool import models

QUOTA_REFRESH_S = 0.25
TURN_S = 2.0
DESIGNATED = 2


def fill_evenly(wanted: t.Mapping[str, int], places: int) -> tuple[int, int]:
    """Return the level of a max-min fair division and what is left over.

    Each asker receives ``min(wanted, level)``; the rest is less than the
    number of askers that want more.

    >>> fill_evenly({"a": 1, "b": 9, "c": 9}, 8)
    (3, 1)
    """
    level = 0
    rest = places
    waiting = sorted(want for want in wanted.values() if want > 0)
    for index, want in enumerate(waiting):
        hungry = len(waiting) - index
        step = min(want - level, rest // hungry)
        level += step
        rest -= step * hungry
        if level < want:
            return level, rest
    return level, rest


def _turn(ledger: grant_ledger.Ledger, now_s: float) -> str:
    return f"{ledger.unit}/{int(now_s // TURN_S)}"


def _divide(
    ledger: grant_ledger.Ledger,
    service: str,
    capacity: t.Mapping[str, int],
    now_s: float,
) -> grant_ledger.Division:
    wanted = {
        name: asker.wanted.get(service, 0)
        for name, asker in ledger.askers.items()
    }
    hungry = [name for name, want in wanted.items() if want > 0]
    turn = _turn(ledger, now_s)
    scarce = [
        group_id
        for group_id, places in capacity.items()
        if places < len(hungry)
        and places < ledger.accounts[group_id].warm_limit
    ]
    designated = {
        group_id: frozenset(
            rendezvous.rank(f"{turn}/{group_id}", hungry)[
                : min(DESIGNATED, capacity[group_id])
            ]
        )
        for group_id in scarce
    }
    level, rest = fill_evenly(wanted, sum(capacity.values()))
    quotas = {name: min(want, level) for name, want in wanted.items()}
    more = [name for name in hungry if wanted[name] > level]
    for name in rendezvous.rank(f"{turn}/{service}", more)[:rest]:
        quotas[name] += 1
    for names in designated.values():
        for name in names:
            quotas[name] = max(quotas[name], 1)
    return grant_ledger.Division(now_s, quotas, designated)


def _find_division(
    ledger: grant_ledger.Ledger,
    service: str,
    entry: str,
    capacity: t.Mapping[str, int],
    now_s: float,
) -> grant_ledger.Division:
    division = ledger.divisions.get(service)
    if (
        division is None
        or now_s - division.made_s >= QUOTA_REFRESH_S
        or entry not in division.quotas
    ):
        division = _divide(ledger, service, capacity, now_s)
        ledger.divisions[service] = division
    return division


def _spread(
    entry: str,
    quota: int,
    capacity: t.Mapping[str, int],
    room: t.Mapping[str, int],
    division: grant_ledger.Division,
) -> dict[str, int]:
    """Spread an asker's quota over the groups by their size."""
    total = sum(capacity.values())
    usable = {
        group_id: free
        for group_id, free in room.items()
        if entry in division.designated.get(group_id, (entry,))
    }
    first = sorted(
        usable,
        key=lambda group_id: (
            group_id not in division.designated,
            -rendezvous.weigh(group_id, entry),
        ),
    )
    spread = {
        group_id: min(quota * capacity[group_id] // total, free)
        for group_id, free in usable.items()
    }
    rest = quota - sum(spread.values())
    while rest > 0:
        open_groups = [g for g in first if spread[g] < usable[g]]
        for group_id in open_groups[:rest]:
            spread[group_id] += 1
        rest -= len(open_groups[:rest])
        if not open_groups:
            break
    return spread


def _grant_service(
    ledger: grant_ledger.Ledger,
    ask: models.GrantAsk,
    service: str,
    mandate: mandates.Mandate,
    now_s: float,
) -> t.Iterator[models.Grant]:
    capacity = {
        group_id: mandate.part_of(account.ramp.limit)
        for group_id, account in ledger.accounts.items()
        if account.facts.service == service
        and grant_ledger.can_grant(ledger, account, now_s)
    }
    if not sum(capacity.values()):
        return
    room = {
        group_id: grant_ledger.count_room(
            ledger.accounts[group_id], ask.entry, places
        )
        for group_id, places in capacity.items()
    }
    division = _find_division(ledger, service, ask.entry, capacity, now_s)
    quota = min(ask.wanted[service], division.quotas[ask.entry])
    spread = _spread(ask.entry, quota, capacity, room, division)
    for group_id, places in spread.items():
        if places:
            yield grant_ledger.give(ledger.accounts[group_id], ask, places)


def answer(
    ledger: grant_ledger.Ledger,
    ask: models.GrantAsk,
    mandate: mandates.Mandate | None,
    config_offset: int,
    now_s: float,
) -> models.GrantAnswer:
    """Answer an entry's ask and count what is given.

    An ask that is older than one seen before gets no grant.  A repeated ask
    is answered again and counted once.

    Parameters
    ----------
    ledger : grant_ledger.Ledger
        The ledger of the unit, changed in place.
    ask : models.GrantAsk
        The ask.
    mandate : mandates.Mandate or None
        What this entry may hand out; None for nothing.
    config_offset : int
        Offset of the configuration that the grants rest on.
    now_s : float
        When the ask was received.
    """
    grants: list[models.Grant] = []
    is_new = grant_ledger.register(ledger, ask, now_s)
    if is_new and mandate is not None:
        for service in sorted(ask.wanted):
            grants += _grant_service(ledger, ask, service, mandate, now_s)
    return models.GrantAnswer(ledger.unit, config_offset, tuple(grants))
