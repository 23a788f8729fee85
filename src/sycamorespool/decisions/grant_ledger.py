"""The grantor's ledger: what every asker may have in flight.

The ledger counts a grant until the asker is known to use it no more.  An
asker that is heard tells so by its next ask; the requests of one that is
heard no longer count until probes show that they have ended.
"""

import collections
import dataclasses
import math
import typing as t

from sycamorespool import configuration
from sycamorespool.decisions import fleet
from sycamorespool.decisions import mandates
from sycamorespool.decisions import ramps
from sycamorespool import models

TTL_S = 2.0
DRIFT_RATIO = 0.01
MARGIN_S = 0.1
ESTIMATES = 3
FRESH_S = 2.0
SEEN_KEPT_S = 60.0
UNKNOWN_ASKER = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupFacts:
    """What a grant says of a group.

    Parameters
    ----------
    group_id, service : str
        The group and its service.
    epoch : int
        Epoch of the group.
    address : str
        ``IP:port`` of the leader.
    data_centre : str
        Where the group runs.
    is_open : bool
        Whether the group is whole and may take new work.
    """

    group_id: str
    service: str
    epoch: int
    address: str
    data_centre: str
    is_open: bool


@dataclasses.dataclass(slots=True)
class Holding:
    """What one asker may have in flight at one group.

    Parameters
    ----------
    in_flight : int
        Requests at the asker's last report.
    given : list of (float, int)
        ``asked_s`` on the asker's clock and places of the grants that the
        asker may have used since that report.
    """

    in_flight: int = 0
    given: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    @property
    def counted(self) -> int:
        """Requests that the asker may have in flight."""
        places = max((places for _, places in self.given), default=0)
        return max(self.in_flight, places)


@dataclasses.dataclass(slots=True)
class Account:
    """The grants of one group.

    Parameters
    ----------
    facts : GroupFacts
        What grants say of the group.
    warm_limit : int
        The service's limit for a warmed group.
    ramp : ramps.Ramp
        What the group can bear.
    holdings : dict
        Live askers' holdings, by entry.
    counted : int
        Sum over the holdings.
    lost : dict
        Holdings of askers that no longer ask, by entry.
    lost_cap : float
        Upper bound of the lost askers' requests that still run.
    estimates : collections.deque
        The last estimates of those requests.
    observed_s : float
        When the members were last observed.
    """

    facts: GroupFacts
    warm_limit: int
    ramp: ramps.Ramp
    holdings: dict[str, Holding] = dataclasses.field(default_factory=dict)
    counted: int = 0
    lost: dict[str, Holding] = dataclasses.field(default_factory=dict)
    lost_cap: float = math.inf
    estimates: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=ESTIMATES)
    )
    observed_s: float = -math.inf

    @property
    def lost_counted(self) -> int:
        """Requests of lost askers that may still run."""
        held = sum(holding.counted for holding in self.lost.values())
        return int(min(held, self.lost_cap))


@dataclasses.dataclass(slots=True)
class Asker:
    """One entry that asks for grants."""

    until_s: float
    wanted: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """How a service's places are divided over the askers for a moment.

    Parameters
    ----------
    made_s : float
        When the division was made.
    quotas : dict
        Places by entry.
    designated : dict
        Entries that may use a group with fewer places than askers, by
        group id.
    """

    made_s: float
    quotas: dict[str, int]
    designated: dict[str, frozenset[str]]


@dataclasses.dataclass(slots=True)
class Ledger:
    """All grants of one unit.

    Parameters
    ----------
    unit : str
        The unit, ``domain/NAME``.
    opens_s : float
        When the first grant may be given.
    seen : dict
        Incarnation, ``asked_s`` and time of each entry's newest ask.
    """

    unit: str
    opens_s: float
    askers: dict[str, Asker] = dataclasses.field(default_factory=dict)
    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    divisions: dict[str, Division] = dataclasses.field(default_factory=dict)
    seen: dict[str, tuple[int, float, float]] = dataclasses.field(
        default_factory=dict
    )


def counted_ttl_s(ttl_s: float = TTL_S) -> float:
    """Return how long a grantor counts a grant that holds for ``ttl_s``."""
    return ttl_s * (1 + DRIFT_RATIO) + MARGIN_S


def open_ledger(
    unit: str, now_s: float, has_predecessor: bool = True
) -> Ledger:
    """Return a ledger for a unit that this entry has begun to act for.

    Grants of a grantor before this one may still be live, so the ledger
    opens when they have lapsed.
    """
    wait_s = counted_ttl_s() if has_predecessor else 0.0
    return Ledger(unit, now_s + wait_s)


def can_grant(ledger: Ledger, account: Account, now_s: float) -> bool:
    """Tell whether a group's places may be given now."""
    observed_s = account.observed_s
    return (
        account.facts.is_open
        and now_s >= ledger.opens_s
        and observed_s >= ledger.opens_s
        and now_s - observed_s <= FRESH_S
    )


def count_room(account: Account, entry: str, places: int) -> int:
    """Return how many of a group's places may be given to an entry."""
    holding = account.holdings.get(entry)
    own = holding.counted if holding else 0
    others = account.counted - own + account.lost_counted
    return max(places - others, 0)


def make_facts(
    config: configuration.Configuration,
    group: fleet.Group,
    vms: t.Mapping[str, models.Vm],
    is_whole: bool,
) -> GroupFacts:
    """Return what grants say of a group, and whether any may be given."""
    members = [vms.get(name) for name in group.members]
    leader = members[0]
    is_open = is_whole and all(
        vm is not None
        and vm.state is models.VmState.LIVE
        and config.is_in_service(vm.data_centre, vm.vm)
        for vm in members
    )
    return GroupFacts(
        group.group_id,
        group.service,
        group.epoch,
        leader.address if leader else "",
        leader.data_centre if leader else "",
        is_open,
    )


def _estimate_lost(account: Account, load: ramps.Load) -> None:
    if not account.lost:
        return
    known = sum(holding.in_flight for holding in account.holdings.values())
    account.estimates.append(max(load.in_flight - known, 0))
    if len(account.estimates) < ESTIMATES:
        return
    # A report may be older than the probe; the largest of several
    # estimates bridges the difference.
    account.lost_cap = min(account.lost_cap, max(account.estimates))
    if not account.lost_cap:
        account.lost.clear()


def observe(
    ledger: Ledger,
    facts: GroupFacts,
    load: ramps.Load,
    service: configuration.Service,
    mandate: mandates.Mandate | None,
    now_s: float,
) -> Account:
    """Take in a group's facts and what its members reported.

    Parameters
    ----------
    ledger : Ledger
        The ledger of the group's unit, changed in place.
    facts : GroupFacts
        The group, and whether it may take new work.
    load : ramps.Load
        What its members reported.
    service : configuration.Service
        Gives the limits.
    mandate : mandates.Mandate or None
        Tells whether the limit may rise.
    now_s : float
        When the oldest of the reports was asked for.

    Returns
    -------
    Account
        The group's account; ``account.ramp`` is the new limit.
    """
    expire(ledger, now_s)
    may_ramp = mandate is not None and mandate.may_ramp
    account = ledger.accounts.get(facts.group_id)
    before = account.ramp if account else None
    ramp = ramps.observe(before, service, load, may_ramp)
    if account is None:
        account = Account(facts, service.warm_limit, ramp)
        ledger.accounts[facts.group_id] = account
    account.facts = facts
    account.warm_limit = service.warm_limit
    account.ramp = ramp
    account.observed_s = now_s
    if before is None or now_s < ledger.opens_s:
        # Requests under the grants of an earlier grantor still run.
        _lose(account, UNKNOWN_ASKER, Holding(load.in_flight))
    _estimate_lost(account, load)
    return account


def forget_group(ledger: Ledger, group_id: str) -> None:
    """Drop the account of a group that was dissolved."""
    ledger.accounts.pop(group_id, None)


def _lose(account: Account, entry: str, holding: Holding) -> None:
    account.lost[entry] = holding
    account.lost_cap = math.inf
    account.estimates.clear()


def _lose_asker(ledger: Ledger, entry: str, as_name: str) -> None:
    ledger.askers.pop(entry, None)
    for account in ledger.accounts.values():
        holding = account.holdings.pop(entry, None)
        if holding is not None and holding.counted:
            account.counted -= holding.counted
            _lose(account, as_name, holding)
        elif as_name != entry and entry in account.lost:
            account.lost[as_name] = account.lost.pop(entry)


def expire(ledger: Ledger, now_s: float) -> None:
    """Move the holdings of askers that ask no more to the lost ones."""
    late = [
        name for name, asker in ledger.askers.items() if asker.until_s <= now_s
    ]
    for name in late:
        _lose_asker(ledger, name, name)
    old = [
        name
        for name, seen in ledger.seen.items()
        if seen[2] + SEEN_KEPT_S <= now_s
    ]
    for name in old:
        del ledger.seen[name]


def _prune(holding: Holding, ask: models.GrantAsk) -> None:
    holding.given = [
        (asked_s, places)
        for asked_s, places in holding.given
        if asked_s >= ask.taken_s and asked_s + TTL_S > ask.asked_s
    ]


def _report(account: Account, ask: models.GrantAsk) -> None:
    """Take in what the asker says it has in flight."""
    group_id = account.facts.group_id
    holding = account.holdings.get(ask.entry)
    if holding is None:
        holding = account.lost.pop(ask.entry, None) or Holding()
    else:
        account.counted -= holding.counted
    _prune(holding, ask)
    holding.in_flight = max(ask.in_flight.get(group_id, 0), 0)
    if holding.counted:
        account.holdings[ask.entry] = holding
        account.counted += holding.counted
    else:
        account.holdings.pop(ask.entry, None)


def register(ledger: Ledger, ask: models.GrantAsk, now_s: float) -> bool:
    """Note an ask; return False if a newer one was seen."""
    expire(ledger, now_s)
    incarnation, asked_s, _ = ledger.seen.get(ask.entry, (-1, 0.0, 0.0))
    if (ask.incarnation, ask.asked_s) < (incarnation, asked_s):
        return False
    if 0 <= incarnation < ask.incarnation:
        _lose_asker(ledger, ask.entry, f"{ask.entry}/{incarnation}")
    ledger.seen[ask.entry] = (ask.incarnation, ask.asked_s, now_s)
    ledger.askers[ask.entry] = Asker(now_s + counted_ttl_s(), ask.wanted)
    for account in ledger.accounts.values():
        _report(account, ask)
    return True


def give(account: Account, ask: models.GrantAsk, places: int) -> models.Grant:
    """Count places as given to the asker and return the grant."""
    holding = account.holdings.setdefault(ask.entry, Holding())
    before = holding.counted
    holding.given.append((ask.asked_s, places))
    account.counted += holding.counted - before
    facts = account.facts
    return models.Grant(
        facts.group_id,
        facts.service,
        facts.epoch,
        places,
        TTL_S,
        facts.address,
        facts.data_centre,
        account.ramp.load.incarnations[0],
        account.ramp.limit >= account.warm_limit,
    )
