"""Renew and use the lease of this process, after a check of the clocks.

The check compares the machine's clocks, so that a process that was
suspended does not act on a lease that has run out meanwhile.
"""

import time

import trio

from sycamorespool.decisions import ownership
from sycamorespool import environment
from sycamorespool import logs

log = logs.make_logger("ownership")


def check(env: environment.Environment) -> float:
    """Drop the lease if the clocks show a gap; return the time, in s.

    This runs before each use of the lease, so that a process that was
    suspended finds out before it acts.  The time returned is that of the
    monotonic clock.
    """
    now_s = trio.current_time()
    was_suspended = ownership.check_clocks(
        env.lease,
        now_s,
        time.clock_gettime(time.CLOCK_BOOTTIME),
        time.time(),
    )
    if was_suspended:
        log.warning(
            "clocks show that the process was suspended; lease dropped",
            entry=env.name,
        )
        env.metrics.count("clock_gaps")
    return now_s


def renew_after_read(
    env: environment.Environment, read_began_s: float
) -> None:
    """Renew the lease after a read that reached the head of the log.

    ``read_began_s`` is when that read began.
    """
    now_s = check(env)
    ownership.renew_lease(env.lease, env.fleet, read_began_s, now_s)
    env.log_read_s = read_began_s


def follow(env: environment.Environment) -> None:
    """Update the owned units after records that came from a peer.

    Such records do not renew the lease.
    """
    ownership.update_owned_units(env.lease, env.fleet, check(env))


def may_act(env: environment.Environment, unit: str) -> bool:
    """Tell whether this process may act as a unit's owner now."""
    return ownership.may_act(env.lease, unit, check(env))


def may_order(env: environment.Environment, unit: str, fencing: str) -> bool:
    """Tell whether this process may order a unit's backend servers now.

    If the backend servers refuse orders of old epochs (``fencing`` is
    ``checked``), the owner of record may go on sending orders through an
    outage of the log.
    """
    if fencing == "checked":
        return ownership.is_owner_of_record(env.lease, unit, check(env))
    return may_act(env, unit)


def is_settled(env: environment.Environment) -> bool:
    """Tell whether the log has been read for a while without a gap."""
    return ownership.is_settled(env.lease, check(env))
