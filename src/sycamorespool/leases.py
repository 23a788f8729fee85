"""The lease of this process, checked against the clocks of the machine."""

import time

import trio

from sycamorespool.decisions import ownership
from sycamorespool import environment
from sycamorespool import logs

log = logs.make_logger("ownership")


def check(env: environment.Environment) -> float:
    """Run the clock watchdog and return the present monotonic time, in s.

    It goes before each use of the lease, so that a process that slept
    finds out before it acts.
    """
    now_s = trio.current_time()
    has_slept = ownership.check_clocks(
        env.lease,
        now_s,
        time.clock_gettime(time.CLOCK_BOOTTIME),
        time.time(),
    )
    if has_slept:
        log.warning("clocks show a gap, lease dropped", entry=env.name)
        env.metrics.count("clock_gaps")
    return now_s


def note_read(env: environment.Environment, began_s: float) -> None:
    """Renew the lease after a read that reached the head of the log."""
    now_s = check(env)
    ownership.renew_lease(env.lease, env.fleet, began_s, now_s)
    env.log_read_s = began_s


def follow(env: environment.Environment) -> None:
    """Take in records that came from a peer; they renew nothing."""
    ownership.update_owned_units(env.lease, env.fleet, check(env))


def may_act(env: environment.Environment, unit: str) -> bool:
    """Tell whether this process may act for a unit at this moment."""
    return ownership.may_act(env.lease, unit, check(env))


def may_order(env: environment.Environment, unit: str, fencing: str) -> bool:
    """Tell whether this process may send an order at this moment.

    Backend servers that refuse old epochs may be ordered on through an
    outage of the log by the owner of record.
    """
    if fencing == "checked":
        return ownership.is_owner_of_record(env.lease, unit, check(env))
    return may_act(env, unit)


def is_settled(env: environment.Environment) -> bool:
    """Tell whether the log has been read for a while without a break."""
    return ownership.is_settled(env.lease, check(env))
