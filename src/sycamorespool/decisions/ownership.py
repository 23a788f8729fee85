"""Decides the exclusive ownership of units, protected by a read lease.

A unit is a fabric domain (``domain/NAME``) or a partition of the
idempotency keys (``keys/N``).  One lease covers all units of an entry.
The entry renews it by reading the log up to its head; the lease counts
from the start of that read, and renewing it appends nothing.  A new owner
appends a claim, waits until it reads its own claim back from the log, and
then waits until the lease of the previous owner has expired and the
orders that it sent have arrived or are lost::

    renew_lease(state, fleet_state, began_s, now_s)
    for claim in unit_assignment.claims_due(...):
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
# Two clocks may disagree by this much between readings, in addition to
# their drift, before the process counts as having been suspended.
CLOCK_GAP_TOLERANCE_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Holds the time bounds that exclusive ownership relies on.

    Parameters
    ----------
    lease_s : float
        How long an owner may act after it began a read of the log.
    drift_ratio : float
        Greatest relative difference between the rates of two clocks.
    flight_s : float
        An order has arrived or is lost this long after it was sent.
    read_lag_s : float
        A read that begins this long after an append was acknowledged
        returns the record; 0 for a log that returns it at once.
    settle_s : float
        How long an entry that starts or resumes reading the log collects
        information on its peers before it claims units.
    rebalance_s : float
        Minimum time between two units that an entry hands over.
    repeat_s : float
        After this time an append that is not seen in the log is repeated.
    """

    lease_s: float = 3.0
    drift_ratio: float = 0.01
    flight_s: float = 1.5
    read_lag_s: float = 0.0
    settle_s: float = 3.0
    rebalance_s: float = 5.0
    repeat_s: float = 2.0


@dataclasses.dataclass(slots=True)
class OwnedUnit:
    """Holds one unit that this process owns according to the log it read.

    Parameters
    ----------
    epoch : int
        Offset of the claim in the log.
    active_from_s : float
        When this process may begin to act: the lease and the orders of the
        previous owner have expired by then.
    claimed_s : float
        When this process read its own claim.  A previous owner that has
        released the unit has stopped before.
    is_releasing : bool
        Whether a release has begun; this process then never acts under
        this epoch again.
    """

    epoch: int
    active_from_s: float
    claimed_s: float
    is_releasing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """Holds three clocks that were read together, in seconds.

    ``monotonic_s`` stops while a VM is suspended, ``boot_s`` keeps
    counting, and ``wall_s`` is adjusted from outside.
    """

    monotonic_s: float
    boot_s: float
    wall_s: float


@dataclasses.dataclass(slots=True)
class LeaseState:
    """Holds the read lease of one process and the units that it owns.

    Parameters
    ----------
    entry, incarnation : str, int
        The process; a restarted process has a new incarnation and owns
        nothing.
    lease_since_s : float
        Start of the current lease, which has been renewed ever since.
    lease_until_s : float
        End of the read lease.
    ignore_reads_until_s : float
        Reads that began at or before this time do not renew the lease.
    owned_units : dict
        Owned units by name.
    clocks : ClockReading or None
        The last clock reading of the watchdog.
    last_handover_s : float
        When a unit was last handed over to even out the load.
    requested_s : dict
        When each record was last returned to be appended, by record id.
    """

    entry: str
    incarnation: int
    timing: Timing = Timing()
    lease_since_s: float = math.inf
    lease_until_s: float = -math.inf
    ignore_reads_until_s: float = -math.inf
    owned_units: dict[str, OwnedUnit] = dataclasses.field(default_factory=dict)
    clocks: ClockReading | None = None
    last_handover_s: float = -math.inf
    requested_s: dict[str, float] = dataclasses.field(default_factory=dict)


def name_domain_unit(domain: str) -> str:
    """Return the name of the unit of a fabric domain."""
    return DOMAIN_PREFIX + domain


def name_keys_unit(partition: int) -> str:
    """Return the name of the unit of a partition of the keys."""
    return f"{KEYS_PREFIX}{partition}"


def claim_wait_s(timing: Timing, predecessor: fleet.Predecessor) -> float:
    """Return how long a new owner waits after it read its own claim."""
    lease_s = timing.lease_s * (1 + timing.drift_ratio)
    waits_s = {
        fleet.Predecessor.NONE: 0.0,
        fleet.Predecessor.RELEASED: timing.flight_s,
        fleet.Predecessor.ACTIVE: lease_s
        + timing.flight_s
        + timing.read_lag_s,
    }
    return waits_s[predecessor] * (1 + timing.drift_ratio)


def update_owned_units(
    state: LeaseState, replayed: fleet.FleetState, now_s: float
) -> None:
    """Update the owned units from a newer replayed state.

    The records may come from the log or from a peer; records from a peer
    do not renew the lease.  Units that the state assigns to other entries
    are given up at once.
    """
    owned = {
        unit: owner
        for unit, owner in replayed.owners.items()
        if owner.entry == state.entry
        and owner.incarnation == state.incarnation
        and not owner.is_released
    }
    for unit in state.owned_units.keys() - owned.keys():
        del state.owned_units[unit]
    for unit, owner in owned.items():
        owned_unit = state.owned_units.get(unit)
        if owned_unit is None or owned_unit.epoch != owner.epoch:
            wait_s = claim_wait_s(state.timing, owner.predecessor)
            state.owned_units[unit] = OwnedUnit(
                owner.epoch, now_s + wait_s, now_s
            )


def renew_lease(
    state: LeaseState,
    replayed: fleet.FleetState,
    began_s: float,
    now_s: float,
) -> None:
    """Renew the lease after a read up to the head of the log.

    Parameters
    ----------
    replayed : FleetState
        The state after all records of the read were applied.
    began_s : float
        When the read request began, also if it was a long poll.
    """
    update_owned_units(state, replayed, now_s)
    if began_s <= state.ignore_reads_until_s:
        return
    if not has_lease(state, now_s):
        state.lease_since_s = now_s
    until_s = began_s + state.timing.lease_s
    state.lease_until_s = max(state.lease_until_s, until_s)


def has_lease(state: LeaseState, now_s: float) -> bool:
    """Tell whether the read lease is valid at this moment."""
    return now_s < state.lease_until_s


def is_settled(state: LeaseState, now_s: float) -> bool:
    """Tell whether the lease has been held for at least ``settle_s``.

    After an outage of the log the entries resume reading it one by one.
    Without this wait the first one would take the others for cut off.
    """
    settled_s = state.lease_since_s + state.timing.settle_s
    return has_lease(state, now_s) and now_s >= settled_s


def is_owner_of_record(state: LeaseState, unit: str, now_s: float) -> bool:
    """Tell whether the log names this process and its wait is over.

    This does not check the lease, so it suffices only for orders to
    backend servers, which refuse an old epoch themselves.
    """
    owned_unit = state.owned_units.get(unit)
    return (
        owned_unit is not None
        and not owned_unit.is_releasing
        and now_s >= owned_unit.active_from_s
    )


def may_act(state: LeaseState, unit: str, now_s: float) -> bool:
    """Tell whether this process may act for a unit at this moment.

    Call it right before each message is sent, with a clock that was read
    after all data of the message.
    """
    return has_lease(state, now_s) and is_owner_of_record(state, unit, now_s)


def epoch_to_act(state: LeaseState, unit: str, now_s: float) -> int | None:
    """Return the epoch under which this process may act, or None."""
    return (
        state.owned_units[unit].epoch if may_act(state, unit, now_s) else None
    )


def end_lease(state: LeaseState, now_s: float) -> None:
    """End the lease; only a read that begins later can renew it."""
    state.lease_until_s = -math.inf
    state.ignore_reads_until_s = now_s


def check_clocks(
    state: LeaseState, monotonic_s: float, boot_s: float, wall_s: float
) -> bool:
    """End the lease if the clocks show that the process was suspended.

    Returns
    -------
    bool
        Whether the clocks differ by more than the tolerance.
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
    allowed_s = (
        CLOCK_GAP_TOLERANCE_S + abs(passed_s) * state.timing.drift_ratio
    )
    if all(abs(gap_s) <= allowed_s for gap_s in gaps_s):
        return False
    end_lease(state, monotonic_s)
    return True
