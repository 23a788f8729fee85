"""Divides the capacity of a grantor's groups among the entries that ask.

An entry (the asker) sends new work to a group only under a grant from the
grantor.  It reads its clock and then asks; the grant is valid for
``ttl_s`` from that reading::

    ledger = grant_ledger.open_ledger("domain/d1", now_s)
    grant_ledger.observe(ledger, facts, load, service, authority, now_s)
    answer(ledger, ask, authority, config_offset, now_s)
"""

import typing as t

from sycamorespool.decisions import grant_authority
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import rendezvous
from sycamorespool import models

# A division of places is reused for this long before it is recomputed.
QUOTA_REFRESH_S = 0.25
# After this time other askers are designated and get the rest of a division.
ROTATION_S = 2.0
# At most this many askers share a group that has fewer places than askers.
MAX_DESIGNATED = 2


def find_fair_level(
    wanted: t.Mapping[str, int], places: int
) -> tuple[int, int]:
    """Return the level of a max-min fair division and the rest.

    Each asker receives ``min(wanted, level)``.  The rest is smaller than
    the number of askers that want more.

    >>> find_fair_level({"a": 1, "b": 9, "c": 9}, 8)
    (3, 1)
    """
    level = 0
    rest = places
    waiting = sorted(want for want in wanted.values() if want > 0)
    for index, want in enumerate(waiting):
        unsatisfied = len(waiting) - index
        step = min(want - level, rest // unsatisfied)
        level += step
        rest -= step * unsatisfied
        if level < want:
            return level, rest
    return level, rest


def _find_rotation(ledger: grant_ledger.Ledger, now_s: float) -> str:
    return f"{ledger.unit}/{int(now_s // ROTATION_S)}"


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
    unsatisfied = [name for name, want in wanted.items() if want > 0]
    rotation = _find_rotation(ledger, now_s)
    scarce = [
        group_id
        for group_id, places in capacity.items()
        if places < len(unsatisfied)
        and places < ledger.accounts[group_id].warm_limit
    ]
    designated = {
        group_id: frozenset(
            rendezvous.rank(f"{rotation}/{group_id}", unsatisfied)[
                : min(MAX_DESIGNATED, capacity[group_id])
            ]
        )
        for group_id in scarce
    }
    level, rest = find_fair_level(wanted, sum(capacity.values()))
    quotas = {name: min(want, level) for name, want in wanted.items()}
    more = [name for name in unsatisfied if wanted[name] > level]
    for name in rendezvous.rank(f"{rotation}/{service}", more)[:rest]:
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


def _allocate(
    entry: str,
    quota: int,
    capacity: t.Mapping[str, int],
    available: t.Mapping[str, int],
    division: grant_ledger.Division,
) -> dict[str, int]:
    """Return an asker's quota divided over the groups by capacity."""
    total = sum(capacity.values())
    usable = {
        group_id: places_left
        for group_id, places_left in available.items()
        if entry in division.designated.get(group_id, (entry,))
    }
    ordered = sorted(
        usable,
        key=lambda group_id: (
            group_id not in division.designated,
            -rendezvous.weigh(group_id, entry),
        ),
    )
    allocated = {
        group_id: min(quota * capacity[group_id] // total, places_left)
        for group_id, places_left in usable.items()
    }
    rest = quota - sum(allocated.values())
    while rest > 0:
        open_groups = [g for g in ordered if allocated[g] < usable[g]]
        for group_id in open_groups[:rest]:
            allocated[group_id] += 1
        rest -= len(open_groups[:rest])
        if not open_groups:
            break
    return allocated


def _grant_service(
    ledger: grant_ledger.Ledger,
    ask: models.GrantAsk,
    service: str,
    authority: grant_authority.GrantAuthority,
    now_s: float,
) -> t.Iterator[models.Grant]:
    capacity = {
        group_id: authority.places_of(account.ramp.limit)
        for group_id, account in ledger.accounts.items()
        if account.facts.service == service
        and grant_ledger.can_grant(ledger, account, now_s)
    }
    if not sum(capacity.values()):
        return
    available = {
        group_id: grant_ledger.count_available(
            ledger.accounts[group_id], ask.entry, places
        )
        for group_id, places in capacity.items()
    }
    division = _find_division(ledger, service, ask.entry, capacity, now_s)
    quota = min(ask.wanted[service], division.quotas[ask.entry])
    allocated = _allocate(ask.entry, quota, capacity, available, division)
    for group_id, places in allocated.items():
        if places:
            yield grant_ledger.issue(ledger.accounts[group_id], ask, places)


def answer(
    ledger: grant_ledger.Ledger,
    ask: models.GrantAsk,
    authority: grant_authority.GrantAuthority | None,
    config_offset: int,
    now_s: float,
) -> models.GrantAnswer:
    """Answer an ask and record the grants of the answer in the ledger.

    An ask that is older than one seen before gets no grant.  A repeated ask
    is answered again, but its grants are counted once.

    Parameters
    ----------
    ledger : grant_ledger.Ledger
        The ledger of the unit, changed in place.
    ask : models.GrantAsk
        The ask.
    authority : grant_authority.GrantAuthority or None
        The share of the limits that this entry may grant; None for none.
    config_offset : int
        Log offset of the configuration that the grants are based on.
    now_s : float
        When the ask was received.
    """
    grants: list[models.Grant] = []
    is_new = grant_ledger.register_ask(ledger, ask, now_s)
    if is_new and authority is not None:
        for service in sorted(ask.wanted):
            grants += _grant_service(ledger, ask, service, authority, now_s)
    return models.GrantAnswer(ledger.unit, config_offset, tuple(grants))
