"""How many requests an entry may send to a cold backend server.

What a cold server bears in a second is shared among the entries by the
part of the fleet's partitions that each holds, so that the sum keeps the
bound however many entries there are::

    if may_send(limits, "i-1", per_s=28.0, share=0.11, now_s=now_s):
        note_sent(limits, "i-1", now_s)
"""

import collections
import dataclasses
import math

WINDOW_S = 1.0
# Requests sent close together may arrive in the same second.
MARGIN = 0.8


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
    now_s: float,
) -> bool:
    """Tell whether a cold server may get one more request from here.

    Parameters
    ----------
    per_s : float
        Requests that the server bears in a second.
    share : float
        Part of them that is this entry's, 0..1.
    """
    sent = limits.sent_s.get(backend_id)
    if not sent:
        return True
    while sent and now_s - sent[0] >= WINDOW_S:
        sent.popleft()
    allowed = math.floor(per_s * share * MARGIN)
    return len(sent) < max(1, allowed)


def note_sent(limits: ColdLimits, backend_id: str, now_s: float) -> None:
    """Note that a request goes to a cold server."""
    limits.sent_s.setdefault(backend_id, collections.deque()).append(now_s)


def forget(limits: ColdLimits, backend_id: str) -> None:
    """Drop what is known of a server that is warm or gone."""
    limits.sent_s.pop(backend_id, None)
