"""Ownership of units by a read lease.

A unit is a fabric domain (``domain/NAME``) or a partition of the
idempotency keys (``keys/N``).  One lease covers all units of an entry: it
begins when a read of the log to its head began, and nothing is appended
to renew it.  A successor appends a claim, waits until it sees its own
record, then waits until every lease and order of its predecessor has run
out::

    note_read(state, fleet_state, began_s, now_s)
    for claim in claimants.claims_due(...):
        append(claim)
    ...
    if may_act(state, unit, now_s):
        send(order)
"""

import dataclasses
import math

from sycamorespool.decisions import fleet

DOMAIN_PREFIX = "domain/"
KEYS_PREFIX = "keys/"
CLOCK_GAP_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """The bounds that ownership relies on.

    Parameters
    ----------
    lease_s : float
        How long a read of the log lets an owner act.
    drift_ratio : float
        Greatest relative difference between the rates of two clocks.
    flight_s : float
        Within this time an order that was sent has landed or is lost.
    read_lag_s : float
        A read that begins this long after an append was acknowledged
        returns it; 0 for a log that returns it at once.
    settle_s : float
        How long an entry that begins or resumes to read the log learns of
        its peers before it claims.
    rebalance_s : float
        Least time between two units that an entry hands over.
    repeat_s : float
        After this time an append that the log doesn't show is repeated.
    """

    lease_s: float = 3.0
    drift_ratio: float = 0.01
    flight_s: float = 1.5
    read_lag_s: float = 0.0
    settle_s: float = 3.0
    rebalance_s: float = 5.0
    repeat_s: float = 2.0


@dataclasses.dataclass(slots=True)
class Tenure:
    """A unit that this process owns, by the log as it has read it.

    Parameters
    ----------
    epoch : int
        Offset of the claim.
    acts_from_s : float
        When no lease or order of the predecessor is left.
    is_releasing : bool
        Whether a release was begun; the epoch then never acts again.
    """

    epoch: int
    acts_from_s: float
    is_releasing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """Three clocks read together, in seconds.

    ``monotonic_s`` stops while a VM is suspended, ``boot_s`` goes on, and
    ``wall_s`` is corrected from outside.
    """

    monotonic_s: float
    boot_s: float
    wall_s: float


@dataclasses.dataclass(slots=True)
class LeaseState:
    """What one process knows of its own ownership.

    Parameters
    ----------
    entry, incarnation : str, int
        The process; a restart has a new incarnation and owns nothing.
    lease_since_s : float
        When the lease began that has been renewed without a break.
    lease_until_s : float
        End of the read lease.
    reads_from_s : float
        Reads that began until then renew nothing.
    tenures : dict
        Units owned.
    clocks : ClockReading or None
        The last reading of the watchdog.
    last_handover_s : float
        When a unit was last handed over to even out the load.
    asked_s : dict
        When a record was last returned for appending, by its id.
    """

    entry: str
    incarnation: int
    timing: Timing = Timing()
    lease_since_s: float = math.inf
    lease_until_s: float = -math.inf
    reads_from_s: float = -math.inf
    tenures: dict[str, Tenure] = dataclasses.field(default_factory=dict)
    clocks: ClockReading | None = None
    last_handover_s: float = -math.inf
    asked_s: dict[str, float] = dataclasses.field(default_factory=dict)


def name_domain_unit(domain: str) -> str:
    """Return the unit of a fabric domain."""
    return DOMAIN_PREFIX + domain


def name_keys_unit(partition: int) -> str:
    """Return the unit of a partition of the idempotency keys."""
    return f"{KEYS_PREFIX}{partition}"


def tell_wait_s(timing: Timing, predecessor: fleet.Predecessor) -> float:
    """Return how long a successor waits after it saw its own claim."""
    lease_s = timing.lease_s * (1 + timing.drift_ratio)
    waits_s = {
        fleet.Predecessor.NONE: 0.0,
        fleet.Predecessor.RELEASED: timing.flight_s,
        fleet.Predecessor.ACTIVE: lease_s
        + timing.flight_s
        + timing.read_lag_s,
    }
    return waits_s[predecessor] * (1 + timing.drift_ratio)


def follow(
    state: LeaseState, replayed: fleet.FleetState, now_s: float
) -> None:
    """Take in the owners of a newer replayed state.

    The records may come from the log or from a peer; a peer's renew no
    lease.  Units that the state gives to others are given up at once.
    """
    owned = {
        unit: owner
        for unit, owner in replayed.owners.items()
        if owner.entry == state.entry
        and owner.incarnation == state.incarnation
        and not owner.is_released
    }
    for unit in state.tenures.keys() - owned.keys():
        del state.tenures[unit]
    for unit, owner in owned.items():
        tenure = state.tenures.get(unit)
        if tenure is None or tenure.epoch != owner.epoch:
            wait_s = tell_wait_s(state.timing, owner.predecessor)
            state.tenures[unit] = Tenure(owner.epoch, now_s + wait_s)


def note_read(
    state: LeaseState,
    replayed: fleet.FleetState,
    began_s: float,
    now_s: float,
) -> None:
    """Renew the lease after a read that reached the head of the log.

    Parameters
    ----------
    replayed : FleetState
        The state with all records of the read applied.
    began_s : float
        When the request began; a long poll counts from there too.
    """
    follow(state, replayed, now_s)
    if began_s <= state.reads_from_s:
        return
    if not has_lease(state, now_s):
        state.lease_since_s = now_s
    until_s = began_s + state.timing.lease_s
    state.lease_until_s = max(state.lease_until_s, until_s)


def has_lease(state: LeaseState, now_s: float) -> bool:
    """Tell whether a recent read of the log covers this moment."""
    return now_s < state.lease_until_s


def is_settled(state: LeaseState, now_s: float) -> bool:
    """Tell whether the lease has held long enough to judge the peers.

    After an outage of the log the entries return to it one by one; the
    first one is not to take the others for cut off.
    """
    settled_s = state.lease_since_s + state.timing.settle_s
    return has_lease(state, now_s) and now_s >= settled_s


def is_owner_of_record(state: LeaseState, unit: str, now_s: float) -> bool:
    """Tell whether the log names this process, whose wait is over.

    This holds without a lease: it is enough only for orders to backend
    servers that refuse an old epoch.
    """
    tenure = state.tenures.get(unit)
    return (
        tenure is not None
        and not tenure.is_releasing
        and now_s >= tenure.acts_from_s
    )


def may_act(state: LeaseState, unit: str, now_s: float) -> bool:
    """Tell whether this process may act for a unit at this moment.

    It is to be asked just before each send, with a clock read after all
    that the message was made of.
    """
    return has_lease(state, now_s) and is_owner_of_record(state, unit, now_s)


def epoch_to_act(state: LeaseState, unit: str, now_s: float) -> int | None:
    """Return the epoch under which this process may act, or None."""
    return state.tenures[unit].epoch if may_act(state, unit, now_s) else None


def drop_leases(state: LeaseState, now_s: float) -> None:
    """End the lease; only a read that begins later renews it."""
    state.lease_until_s = -math.inf
    state.reads_from_s = now_s


def check_clocks(
    state: LeaseState, monotonic_s: float, boot_s: float, wall_s: float
) -> bool:
    """Drop all leases if the clocks show that the process was suspended.

    Returns
    -------
    bool
        Whether a gap was found.
    """
    last = state.clocks
    state.clocks = ClockReading(monotonic_s, boot_s, wall_s)
    if last is None:
        return False
    passed_s = monotonic_s - last.monotonic_s
    gaps_s = (
        boot_s - last.boot_s - passed_s,
        wall_s - last.wall_s - passed_s,
    )
    allowed_s = CLOCK_GAP_S + abs(passed_s) * state.timing.drift_ratio
    if all(abs(gap_s) <= allowed_s for gap_s in gaps_s):
        return False
    drop_leases(state, monotonic_s)
    return True
