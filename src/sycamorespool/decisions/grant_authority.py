"""Decides which entry may grant places at a unit, and what share of them.

The grantor of a unit hands out grants for the places of its groups; a
place is room for one request in flight.  The owner of the unit with a
valid lease grants the whole limit of each group.  While the log cannot be
read, a live owner and one or more entries that have declared it dead may
grant at the same time without knowing of each other.  Each of these
grantors therefore gets half the share of the one before it in rendezvous
order::

    owner that cannot read the log           1/2, rounded up
    first entry after it                     1/4, rounded down
    second, if the first is lost as well     1/8, rounded down

The sum never exceeds the limit, also when two entries with different views
of the fleet both take the first position after the owner.
"""

import dataclasses

from sycamorespool.decisions import rendezvous

# Default for settle_s of decide(), in s.
SETTLE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAuthority:
    """Says what share of each group's limit a grantor may hand out.

    Parameters
    ----------
    halvings : int
        The share of each limit is ``2 ** -halvings``.
    rounds_up : bool
        Whether the share is rounded up to whole places, not down.
    may_ramp : bool
        Whether this grantor may raise the limits of warming groups.
    """

    halvings: int
    rounds_up: bool = False
    may_ramp: bool = False

    def places_of(self, limit: int) -> int:
        """Return how many places of a limit the grantor may hand out.

        >>> [OWNER_WITHOUT_LOG.places_of(5), GrantAuthority(2).places_of(5)]
        [3, 1]
        """
        places = limit >> self.halvings
        remainder = limit - (places << self.halvings)
        return places + (1 if self.rounds_up and remainder else 0)


FULL = GrantAuthority(0, may_ramp=True)
# The owner has a lease, but a substitute grantor may still be active.
SETTLING_OWNER = GrantAuthority(1, rounds_up=True, may_ramp=True)
OWNER_WITHOUT_LOG = GrantAuthority(1, rounds_up=True)
# The previous owner may still hold OWNER_WITHOUT_LOG, rounded up.
UNSETTLED_OWNER = GrantAuthority(1)


@dataclasses.dataclass(frozen=True, slots=True)
class GrantorSignals:
    """Holds what an entry knows of itself, of the owner and of its peers.

    Parameters
    ----------
    entry, owner : str
        This entry, and the owner of the unit according to the log.
    may_act : bool
        Whether this entry's lease on the unit is valid.
    log_unread_s : float
        Time since the log was last read up to its head, in s.
    healthy_s : float
        For how long without interruption this entry has been able to read
        the log and has heard from at least half of the entries, in s.
    has_predecessor_stopped : bool
        Whether the previous owner is known to have stopped granting: it
        has released the unit, has ended, or has been heard from since the
        claim.
    presumes_outage : bool
        Whether most of the entries heard from cannot read the log either.
    owner_lost_s : float
        How long ago the owner was declared dead, in s; 0 if it is alive.
    known, heard : frozenset of str
        All entries of the platform's list and of the membership, dead ones
        included, and the entries that were heard from recently; both sets
        include this entry.
    confirmed_dead : frozenset of str
        Entries whose process is known to have ended.
    """

    entry: str
    owner: str
    may_act: bool = False
    log_unread_s: float = 0.0
    healthy_s: float = 0.0
    has_predecessor_stopped: bool = True
    presumes_outage: bool = False
    owner_lost_s: float = 0.0
    known: frozenset[str] = frozenset()
    heard: frozenset[str] = frozenset()
    confirmed_dead: frozenset[str] = frozenset()


def hears_half(signals: GrantorSignals) -> bool:
    """Tell whether at least half of the entries were heard recently."""
    return 2 * len(signals.heard) >= len(signals.known)


def hears_majority(signals: GrantorSignals) -> bool:
    """Tell whether more than half of the entries were heard recently."""
    return 2 * len(signals.heard) > len(signals.known)


def find_earlier_grantors(
    unit: str, signals: GrantorSignals
) -> list[str] | None:
    """Return the entries before this one that may be granting, or None.

    The order is the owner first and then the rendezvous order of the unit.
    None means that an entry before this one was heard recently, so this
    one must not grant.  Entries whose process is known to have ended are
    left out.
    """
    order = [signals.owner]
    order += [
        name
        for name in rendezvous.rank(unit, signals.known)
        if name != signals.owner
    ]
    before = order[: order.index(signals.entry)]
    if any(name in signals.heard for name in before):
        return None
    return [name for name in before if name not in signals.confirmed_dead]


def _decide_with_lease(
    signals: GrantorSignals, settle_s: float
) -> GrantAuthority:
    # A substitute grantor must hear a majority.  Once the owner has heard
    # half of the entries for settle_s, the substitute has seen it alive as
    # well and has stopped.
    if signals.healthy_s < settle_s:
        return SETTLING_OWNER
    if signals.has_predecessor_stopped or hears_majority(signals):
        return FULL
    return UNSETTLED_OWNER


def _decide_without_lease(
    signals: GrantorSignals, lease_s: float
) -> GrantAuthority | None:
    # An owner that can read the log but has no lease has been replaced or
    # has only just started.  An owner that is the only one unable to read
    # the log will be replaced.
    if (
        signals.log_unread_s < lease_s
        or not signals.presumes_outage
        or not hears_half(signals)
    ):
        return None
    return OWNER_WITHOUT_LOG


def _decide_substitute(
    unit: str, signals: GrantorSignals, settle_s: float
) -> GrantAuthority | None:
    if (
        signals.log_unread_s < settle_s
        or signals.owner_lost_s < settle_s
        or not hears_majority(signals)
    ):
        return None
    earlier = find_earlier_grantors(unit, signals)
    if earlier is None:
        return None
    # The owner's share is kept free even if its process has ended, because
    # the owner may be restarting.
    return GrantAuthority(max(len(earlier), 1) + 1)


def decide(
    unit: str,
    signals: GrantorSignals,
    lease_s: float,
    settle_s: float = SETTLE_S,
) -> GrantAuthority | None:
    """Return what this entry may grant at a unit, or None for nothing.

    Parameters
    ----------
    unit : str
        The unit, ``domain/NAME``.
    signals : GrantorSignals
        What this entry knows of itself and of its peers.
    lease_s : float
        Length of a read lease, in s.
    settle_s : float
        Time by which a grantor on the other side of a partition must have
        noticed the change and its grants must have expired, in s.
    """
    if signals.entry != signals.owner:
        return _decide_substitute(unit, signals, settle_s)
    if signals.may_act:
        return _decide_with_lease(signals, settle_s)
    return _decide_without_lease(signals, lease_s)
