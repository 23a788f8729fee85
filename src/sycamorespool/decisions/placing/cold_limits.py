"""Limits the rate of requests to cold backend servers.

The request rate that a cold server bears is divided among the entries in
proportion to the partitions of the fleet that each holds, so that their sum
keeps the limit with any number of entries.  An entry whose part is less
than one request a second may send only in short time slots of its own::

    if may_send(limits, "i-1", 28.0, 0.11, phase, now_s):
        note_sent(limits, "i-1", now_s)
"""

import collections
import dataclasses
import math

WINDOW_S = 1.0
# Part of the rate that is used: requests that were sent in different
# seconds may arrive in the same one.
RATE_FRACTION = 0.8
# The same for time slots: those of many entries may coincide, and not all
# of them are used.
SLOT_FRACTION = 0.5
SLOT_S = 0.25


@dataclasses.dataclass(slots=True)
class ColdLimits:
    """Holds when this entry sent requests to cold servers, by server id."""

    sent_s: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )


def may_send(
    limits: ColdLimits,
    backend_id: str,
    requests_per_s: float,
    share: float,
    phase: float,
    now_s: float,
) -> bool:
    """Tell whether this entry may send one more request to a cold server.

    Parameters
    ----------
    requests_per_s : float
        Request rate that the server bears from all entries.
    share : float
        This entry's part of that rate, 0..1.
    phase : float
        Offset of this entry's time slots within their period, 0..1.
    """
    sent = limits.sent_s.get(backend_id, collections.deque())
    while sent and now_s - sent[0] >= WINDOW_S:
        sent.popleft()
    allowed = math.floor(requests_per_s * share * RATE_FRACTION)
    if allowed:
        return len(sent) < allowed
    slots_per_s = requests_per_s * share * SLOT_FRACTION
    if not slots_per_s:
        return False
    since_slot_s = (now_s * slots_per_s + phase) % 1.0 / slots_per_s
    return not sent and since_slot_s < SLOT_S


def note_sent(limits: ColdLimits, backend_id: str, now_s: float) -> None:
    """Record that a request is sent to a cold server."""
    limits.sent_s.setdefault(backend_id, collections.deque()).append(now_s)


def forget(limits: ColdLimits, backend_id: str) -> None:
    """Drop the state of a server that is warm or left the registry."""
    limits.sent_s.pop(backend_id, None)
