"""How many requests an entry may send to a cold backend server.

What a cold server bears in a second is shared among the entries by the
part of the fleet's partitions that each holds, so that the sum keeps the
bound however many entries there are.  Where a part is less than one request
a second, each entry has short turns at times of its own::

    if may_send(limits, "i-1", 28.0, 0.11, phase, now_s):
        note_sent(limits, "i-1", now_s)
"""

import collections
import dataclasses
import math

WINDOW_S = 1.0
# Requests sent close together may arrive in the same second.
RATE_FRACTION = 0.8
# Turns of many entries may fall together, and not all are used.
SLOT_FRACTION = 0.5
SLOT_S = 0.25


@dataclasses.dataclass(slots=True)
class ColdLimits:
    """When this entry last sent to cold servers, by id."""

    sent_s: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )


def may_send(
    limits: ColdLimits,
    backend_id: str,
    per_s: float,
    share: float,
    phase: float,
    now_s: float,
) -> bool:
    """Tell whether a cold server may get one more request from here.

    Parameters
    ----------
    per_s : float
        Requests that the server bears in a second.
    share : float
        Part of them that is this entry's, 0..1.
    phase : float
        Where among the turns of all entries those of this one lie, 0..1.
    """
    sent = limits.sent_s.get(backend_id, collections.deque())
    while sent and now_s - sent[0] >= WINDOW_S:
        sent.popleft()
    allowed = math.floor(per_s * share * RATE_FRACTION)
    if allowed:
        return len(sent) < allowed
    turns_per_s = per_s * share * SLOT_FRACTION
    if not turns_per_s:
        return False
    since_turn_s = (now_s * turns_per_s + phase) % 1.0 / turns_per_s
    return not sent and since_turn_s < SLOT_S


def note_sent(limits: ColdLimits, backend_id: str, now_s: float) -> None:
    """Note that a request goes to a cold server."""
    limits.sent_s.setdefault(backend_id, collections.deque()).append(now_s)


def forget(limits: ColdLimits, backend_id: str) -> None:
    """Drop what is known of a server that is warm or gone."""
    limits.sent_s.pop(backend_id, None)
