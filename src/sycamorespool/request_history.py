"""Keeps the history of the newest requests, for queries by operators.

A request that has ended is kept until newer ones replace it.  No text of a
caller is kept.
"""

import collections
import dataclasses

import trio

MAX_TRACES = 2048


@dataclasses.dataclass(slots=True)
class Trace:
    """Records the progress of one request through this entry.

    Parameters
    ----------
    state : str
        ``queued``, ``sent``, ``served``, ``not_run``, ``outcome_unknown``
        or ``cut``.
    groups : list of str
        Groups to which it was sent, in order.
    code : str
        Stable error code, or empty.
    opened_s, changed_s : float
        Monotonic times of its arrival and of its last change of state.
    """

    workspace: str
    priority: str
    service: str
    opened_s: float
    state: str = "queued"
    groups: list[str] = dataclasses.field(default_factory=list)
    code: str = ""
    changed_s: float = 0.0

    def record_attempt(self, group_id: str) -> None:
        """Record an attempt at a group."""
        self.groups.append(group_id)
        self.set_state("sent")

    def set_state(self, state: str, code: str = "") -> None:
        """Record a change of state."""
        self.state = state
        self.code = code
        self.changed_s = trio.current_time()


class RequestHistory:
    """Holds the newest :data:`MAX_TRACES` traces by request id."""

    def __init__(self) -> None:
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )

    def open(
        self, request_id: str, workspace: str, priority: str, service: str
    ) -> Trace:
        """Begin and return the trace of a request that has arrived."""
        now_s = trio.current_time()
        trace = Trace(workspace, priority, service, now_s, changed_s=now_s)
        self._traces[request_id] = trace
        self._traces.move_to_end(request_id)
        if len(self._traces) > MAX_TRACES:
            self._traces.popitem(last=False)
        return trace

    def get(self, request_id: str) -> Trace | None:
        """Return the trace of a request, or None if it is not kept."""
        return self._traces.get(request_id)
