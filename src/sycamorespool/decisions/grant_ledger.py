"""Accounts for the requests that each asker may have in flight.

The grantor of a unit keeps one ledger, with an account for each group.  A
grant counts until the asker is known to use it no longer.  A live asker
reports this with its next ask.  The requests of an asker that has stopped
asking (a lost asker) count until probes of the group's members show that
they have ended.
"""

import collections
import dataclasses
import math
import typing as t

from sycamorespool import configuration
from sycamorespool.decisions import fleet
from sycamorespool.decisions import grant_authority
from sycamorespool.decisions.groups import ramps
from sycamorespool import models

TTL_S = 2.0  # validity of a grant on the asker's clock
DRIFT_RATIO = 0.01  # greatest difference between the rates of two clocks
EXPIRY_MARGIN_S = 0.1  # a grant counts for this much longer than it is valid
ESTIMATE_COUNT = 3  # estimates of lost askers' requests before one is used
OBSERVATION_MAX_AGE_S = 2.0  # no grants for a group observed earlier
SEEN_RETENTION_S = 60.0  # how long an entry's newest ask is remembered
UNKNOWN_ASKER = ""  # stands for the askers of an earlier grantor


@dataclasses.dataclass(frozen=True, slots=True)
class GroupFacts:
    """Describes a group as its grants do, and whether it takes new work.

    Parameters
    ----------
    group_id, service, epoch : str, str, int
        The group, its service and its epoch.
    address, data_centre : str
        ``IP:port`` of the group's leader and its data centre.
    is_open : bool
        Whether the group is complete and may take new work.
    """

    group_id: str
    service: str
    epoch: int
    address: str
    data_centre: str
    is_open: bool


@dataclasses.dataclass(slots=True)
class AskerUsage:
    """Holds what one asker may have in flight at one group.

    Parameters
    ----------
    in_flight : int
        Requests in flight at the asker's last report.
    given : list of (float, int)
        The grants that the asker may have used since that report, each as
        ``asked_s`` on the asker's clock and the number of places.
    """

    in_flight: int = 0
    given: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    @property
    def max_in_flight(self) -> int:
        """Return the most requests that the asker may have in flight."""
        places = max((places for _, places in self.given), default=0)
        return max(self.in_flight, places)


@dataclasses.dataclass(slots=True)
class Account:
    """Holds the grants of one group and the requests that may be in flight.

    Parameters
    ----------
    facts : GroupFacts
        Description of the group in its grants.
    warm_limit : int
        The service's limit for a warmed-up group.
    ramp : ramps.Ramp
        The group's present limit.
    usage_by_asker, lost : dict
        What each live and each lost asker may have in flight, by entry.
    max_in_flight : int
        Sum of ``max_in_flight`` over the live askers.
    max_lost : float
        Upper bound on the requests of lost askers that are still running.
    estimates : collections.deque
        The latest estimates of the number of those requests.
    observed_s : float
        When the members were last observed.
    """

    facts: GroupFacts
    warm_limit: int
    ramp: ramps.Ramp
    usage_by_asker: dict[str, AskerUsage] = dataclasses.field(
        default_factory=dict
    )
    max_in_flight: int = 0
    lost: dict[str, AskerUsage] = dataclasses.field(default_factory=dict)
    max_lost: float = math.inf
    estimates: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=ESTIMATE_COUNT)
    )
    observed_s: float = -math.inf

    @property
    def max_lost_in_flight(self) -> int:
        """Return the most requests of lost askers that may be running."""
        held = sum(usage.max_in_flight for usage in self.lost.values())
        return int(min(held, self.max_lost))


@dataclasses.dataclass(slots=True)
class Asker:
    """Holds what a live asker wants by service, and when it counts as lost."""

    until_s: float
    wanted: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """Holds how a service's places are divided among the askers for a while.

    Parameters
    ----------
    made_s : float
        When the division was computed.
    quotas : dict
        Places by entry.
    designated : dict
        For each group with fewer places than askers, by group id: the
        entries that may use it.
    """

    made_s: float
    quotas: dict[str, int]
    designated: dict[str, frozenset[str]]


@dataclasses.dataclass(slots=True)
class Ledger:
    """Holds all grants of one unit.

    Parameters
    ----------
    unit : str
        The unit, ``domain/NAME``.
    opens_at_s : float
        When the first grant may be given.
    askers, accounts, divisions : dict
        Live askers by entry, accounts by group id and the latest divisions
        of places by service.
    seen : dict
        Incarnation, ``asked_s`` and time of receipt of each entry's newest
        ask.
    """

    unit: str
    opens_at_s: float
    askers: dict[str, Asker] = dataclasses.field(default_factory=dict)
    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    divisions: dict[str, Division] = dataclasses.field(default_factory=dict)
    seen: dict[str, tuple[int, float, float]] = dataclasses.field(
        default_factory=dict
    )


def counted_ttl_s(ttl_s: float = TTL_S) -> float:
    """Return how long a grantor counts a grant valid for ``ttl_s``."""
    return ttl_s * (1 + DRIFT_RATIO) + EXPIRY_MARGIN_S


def open_ledger(
    unit: str, stopped_s: float, has_predecessor: bool = True
) -> Ledger:
    """Return a ledger for a unit that this entry has begun to act for.

    Grants that the previous grantor gave before it stopped, at
    ``stopped_s``, may still be valid, so the ledger opens once they have
    expired.
    """
    wait_s = counted_ttl_s() if has_predecessor else 0.0
    return Ledger(unit, stopped_s + wait_s)


def can_grant(ledger: Ledger, account: Account, now_s: float) -> bool:
    """Tell whether a group's places may be granted now."""
    observed_s = account.observed_s
    return (
        account.facts.is_open
        and now_s >= ledger.opens_at_s
        and observed_s >= ledger.opens_at_s
        and now_s - observed_s <= OBSERVATION_MAX_AGE_S
    )


def count_available(account: Account, entry: str, places: int) -> int:
    """Return how many of a group's places may be granted to an entry."""
    usage = account.usage_by_asker.get(entry)
    own = usage.max_in_flight if usage else 0
    others = account.max_in_flight - own + account.max_lost_in_flight
    return max(places - others, 0)


def make_facts(
    config: configuration.Configuration,
    group: fleet.Group,
    vms: t.Mapping[str, models.Vm],
    is_whole: bool,
) -> GroupFacts:
    """Return the description of a group for its grants."""
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
    known = sum(usage.in_flight for usage in account.usage_by_asker.values())
    account.estimates.append(max(load.in_flight - known, 0))
    if len(account.estimates) < ESTIMATE_COUNT:
        return
    # An asker's report may be older than the probe, which makes a single
    # estimate too small; the largest of several is safe.
    account.max_lost = min(account.max_lost, max(account.estimates))
    if not account.max_lost:
        account.lost.clear()


def observe(
    ledger: Ledger,
    facts: GroupFacts,
    load: ramps.Load,
    service: configuration.Service,
    authority: grant_authority.GrantAuthority | None,
    now_s: float,
) -> Account:
    """Update a group's account from its state and its members' reports.

    Parameters
    ----------
    ledger : Ledger
        The ledger of the group's unit, changed in place.
    facts : GroupFacts
        The group, and whether it may take new work.
    load : ramps.Load
        Summary of the members' reports.
    service : configuration.Service
        The service with its limits.
    authority : grant_authority.GrantAuthority or None
        Says whether the limit may rise; None if it may not.
    now_s : float
        When the oldest of the reports was requested.

    Returns
    -------
    Account
        The group's account; ``account.ramp`` holds the new limit.
    """
    expire_askers(ledger, now_s)
    may_ramp = authority is not None and authority.may_ramp
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
    if before is None or now_s < ledger.opens_at_s:
        # Requests under grants of the previous grantor may still be running.
        _move_to_lost(account, UNKNOWN_ASKER, AskerUsage(load.in_flight))
    _estimate_lost(account, load)
    return account


def forget_group(ledger: Ledger, group_id: str) -> None:
    """Remove the account of a group that was dissolved."""
    ledger.accounts.pop(group_id, None)


def _move_to_lost(account: Account, entry: str, usage: AskerUsage) -> None:
    account.lost[entry] = usage
    account.max_lost = math.inf
    account.estimates.clear()


def _move_asker_to_lost(ledger: Ledger, entry: str, as_name: str) -> None:
    ledger.askers.pop(entry, None)
    for account in ledger.accounts.values():
        usage = account.usage_by_asker.pop(entry, None)
        if usage is not None and usage.max_in_flight:
            account.max_in_flight -= usage.max_in_flight
            _move_to_lost(account, as_name, usage)
        elif as_name != entry and entry in account.lost:
            account.lost[as_name] = account.lost.pop(entry)


def expire_askers(ledger: Ledger, now_s: float) -> None:
    """Treat askers that have not asked in time as lost."""
    late = [
        name for name, asker in ledger.askers.items() if asker.until_s <= now_s
    ]
    for name in late:
        _move_asker_to_lost(ledger, name, name)
    old = [
        name
        for name, seen in ledger.seen.items()
        if seen[2] + SEEN_RETENTION_S <= now_s
    ]
    for name in old:
        del ledger.seen[name]


def _drop_unused_grants(usage: AskerUsage, ask: models.GrantAsk) -> None:
    usage.given = [
        (asked_s, places)
        for asked_s, places in usage.given
        if asked_s >= ask.taken_s and asked_s + TTL_S > ask.asked_s
    ]


def _record_usage(account: Account, ask: models.GrantAsk) -> None:
    """Update an account with the requests that the asker has in flight."""
    group_id = account.facts.group_id
    usage = account.usage_by_asker.get(ask.entry)
    if usage is None:
        usage = account.lost.pop(ask.entry, None) or AskerUsage()
    else:
        account.max_in_flight -= usage.max_in_flight
    _drop_unused_grants(usage, ask)
    usage.in_flight = max(ask.in_flight.get(group_id, 0), 0)
    if usage.max_in_flight:
        account.usage_by_asker[ask.entry] = usage
        account.max_in_flight += usage.max_in_flight
    else:
        account.usage_by_asker.pop(ask.entry, None)


def register_ask(ledger: Ledger, ask: models.GrantAsk, now_s: float) -> bool:
    """Record an ask; return False if a newer one was seen before."""
    expire_askers(ledger, now_s)
    incarnation, asked_s, _ = ledger.seen.get(ask.entry, (-1, 0.0, 0.0))
    if (ask.incarnation, ask.asked_s) < (incarnation, asked_s):
        return False
    if 0 <= incarnation < ask.incarnation:
        _move_asker_to_lost(ledger, ask.entry, f"{ask.entry}/{incarnation}")
    ledger.seen[ask.entry] = (ask.incarnation, ask.asked_s, now_s)
    ledger.askers[ask.entry] = Asker(now_s + counted_ttl_s(), ask.wanted)
    for account in ledger.accounts.values():
        _record_usage(account, ask)
    return True


def issue(account: Account, ask: models.GrantAsk, places: int) -> models.Grant:
    """Record places as granted to the asker and return the grant."""
    usage = account.usage_by_asker.setdefault(ask.entry, AskerUsage())
    before = usage.max_in_flight
    usage.given.append((ask.asked_s, places))
    account.max_in_flight += usage.max_in_flight - before
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
