"""Who may hand out grants at a unit, and what part of the limit.

The owner with a valid lease grants the whole limit.  While the log cannot
be read, an owner that is alive and one or more entries that believe it lost
may act at once, none knowing of the other.  Each therefore halves its part
once more than the one before it in rendezvous order::

    owner that cannot read the log           1/2, rounded up
    first entry after it                     1/4, rounded down
    second, if the first is lost as well     1/8, rounded down

For every limit the sum stays within the limit, also when two entries of
differing views take the first place after the owner.
"""

import dataclasses

from sycamorespool.decisions import rendezvous

SETTLE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mandate:
    """Leave to hand out grants at a unit.

    Parameters
    ----------
    halvings : int
        The part of each limit is ``2 ** -halvings``.
    rounds_up : bool
        Whether an odd place belongs to this grantor.
    may_ramp : bool
        Whether limits may rise on evidence.
    """

    halvings: int
    rounds_up: bool = False
    may_ramp: bool = False

    def part_of(self, limit: int) -> int:
        """Return the places of a limit that the grantor may hand out.

        >>> [OWNER_WITHOUT_LOG.part_of(5), Mandate(2).part_of(5)]
        [3, 1]
        """
        part = limit >> self.halvings
        remainder = limit - (part << self.halvings)
        return part + (1 if self.rounds_up and remainder else 0)


FULL = Mandate(0, may_ramp=True)
SETTLING_OWNER = Mandate(1, rounds_up=True, may_ramp=True)
OWNER_WITHOUT_LOG = Mandate(1, rounds_up=True)
UNSETTLED_OWNER = Mandate(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What an entry knows of itself and of its peers.

    Parameters
    ----------
    entry, owner : str
        This entry, and the owner of record of the unit.
    may_act : bool
        Whether this entry's lease on the unit is valid.
    log_unread_s : float
        Time since the log was last read to its head, in s.
    sound_s : float
        How long this entry has read the log and heard at least half of the
        entries without a break, in s.
    is_predecessor_settled : bool
        Whether the owner before this one is known to have stopped: it has
        released the unit, has ended, or has been heard since the claim.
    presumes_outage : bool
        Whether most of the entries heard cannot read the log either.
    owner_lost_s : float
        How long the owner has been declared dead, in s; 0 if it is not.
    known, heard : frozenset of str
        Entries of the platform's list and of the membership, dead ones
        included, and those heard lately; both with this entry.
    confirmed_dead : frozenset of str
        Entries whose process is known to have ended.
    """

    entry: str
    owner: str
    may_act: bool = False
    log_unread_s: float = 0.0
    sound_s: float = 0.0
    is_predecessor_settled: bool = True
    presumes_outage: bool = False
    owner_lost_s: float = 0.0
    known: frozenset[str] = frozenset()
    heard: frozenset[str] = frozenset()
    confirmed_dead: frozenset[str] = frozenset()


def hears_half(standing: Standing) -> bool:
    """Tell whether at least half of the entries are heard."""
    return 2 * len(standing.heard) >= len(standing.known)


def hears_majority(standing: Standing) -> bool:
    """Tell whether more than half of the entries are heard."""
    return 2 * len(standing.heard) > len(standing.known)


def find_predecessors(unit: str, standing: Standing) -> list[str] | None:
    """Return the possible grantors before this entry, or None.

    None means that an entry before this one is heard, so this one does not
    act.  Entries whose process is known to have ended are passed over.
    """
    order = [standing.owner]
    order += [
        name
        for name in rendezvous.rank(unit, standing.known)
        if name != standing.owner
    ]
    before = order[: order.index(standing.entry)]
    if any(name in standing.heard for name in before):
        return None
    return [name for name in before if name not in standing.confirmed_dead]


def _decide_leased(standing: Standing, settle_s: float) -> Mandate:
    # An acting grantor hears a majority, so an owner that has heard half of
    # the entries for a while was seen alive by it, and the grantor stopped.
    if standing.sound_s < settle_s:
        return SETTLING_OWNER
    if standing.is_predecessor_settled or hears_majority(standing):
        return FULL
    return UNSETTLED_OWNER


def _decide_unleased(standing: Standing, lease_s: float) -> Mandate | None:
    # An owner that reads the log and has no lease was superseded or has
    # only just begun.  One that alone cannot read the log will be.
    if (
        standing.log_unread_s < lease_s
        or not standing.presumes_outage
        or not hears_half(standing)
    ):
        return None
    return OWNER_WITHOUT_LOG


def _decide_acting(
    unit: str, standing: Standing, settle_s: float
) -> Mandate | None:
    if (
        standing.log_unread_s < settle_s
        or standing.owner_lost_s < settle_s
        or not hears_majority(standing)
    ):
        return None
    predecessors = find_predecessors(unit, standing)
    if predecessors is None:
        return None
    # The owner's part is kept free also if its process has ended, because
    # a restarted owner may be on its way back.
    return Mandate(max(len(predecessors), 1) + 1)


def decide(
    unit: str,
    standing: Standing,
    lease_s: float,
    settle_s: float = SETTLE_S,
) -> Mandate | None:
    """Return what this entry may hand out at a unit, or None.

    Parameters
    ----------
    unit : str
        The unit, ``domain/NAME``.
    standing : Standing
        What this entry knows.
    lease_s : float
        Length of a read lease, in s.
    settle_s : float
        Time after which a grantor of the other side must have noticed and
        its grants must have lapsed, in s.
    """
    if standing.entry != standing.owner:
        return _decide_acting(unit, standing, settle_s)
    if standing.may_act:
        return _decide_leased(standing, settle_s)
    return _decide_unleased(standing, lease_s)
