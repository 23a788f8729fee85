"""Decides which requests an entry that is being stopped still takes.

When its grace ends, an entry cuts the requests that are open.  So from the
signal on it takes a request only if that is expected to end in time, by how
long the requests of its route have lasted lately::

    note_duration(durations, "orders", 0.4, now_s)
    if may_begin(stop, durations, "orders", call.end_s - now_s, now_s):
        ...

A request that is not taken has not run, and another entry can serve it.
"""

import dataclasses

# The longest duration of a route is remembered for one to two windows.
WINDOW_S = 30.0
# Until so long after the signal callers may not know of the stop: the load
# balancer still sends new connections.
LATE_S = 3.0
# What a request may last beyond the longest one seen.
MARGIN_FRACTION = 0.1
MARGIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Holds when the signal to stop came, and when open requests are cut."""

    began_s: float
    end_s: float


@dataclasses.dataclass(slots=True)
class Durations:
    """Holds how long requests have lasted lately, at most, by route.

    Parameters
    ----------
    current, former : dict
        Longest durations in s of the present window and the one before it.
    window_s : float
        When the present window began.
    """

    current: dict[str, float] = dataclasses.field(default_factory=dict)
    former: dict[str, float] = dataclasses.field(default_factory=dict)
    window_s: float = 0.0


def note_duration(
    durations: Durations, route: str, duration_s: float, now_s: float
) -> None:
    """Record how long a request of a route has lasted."""
    if now_s - durations.window_s >= WINDOW_S:
        durations.former = durations.current
        durations.current = {}
        durations.window_s = now_s
    known_s = durations.current.get(route, 0.0)
    durations.current[route] = max(known_s, duration_s)


def find_longest_s(durations: Durations, route: str) -> float | None:
    """Return the longest recent duration of a route, None if there is none."""
    found = [
        window[route]
        for window in (durations.current, durations.former)
        if route in window
    ]
    return max(found, default=None)


def may_begin(
    stop: Stop | None,
    durations: Durations,
    route: str,
    limit_s: float,
    now_s: float,
) -> bool:
    """Tell whether a request may be sent to a backend server now.

    Parameters
    ----------
    stop : Stop, optional
        The stop of the entry; None if it is not being stopped.
    limit_s : float
        Time after which the request ends in any case.
    """
    if stop is None:
        return True
    left_s = stop.end_s - now_s
    longest_s = find_longest_s(durations, route)
    if longest_s is None:
        is_late = now_s - stop.began_s >= LATE_S
        return not is_late or limit_s <= left_s
    expected_s = longest_s * (1 + MARGIN_FRACTION) + MARGIN_S
    return min(expected_s, limit_s) <= left_s
