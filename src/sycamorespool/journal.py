"""Keep traces of the newest requests, for operators.

The trace of a request is kept until newer ones take its place.  It holds
no text of the caller.
"""

import collections
import dataclasses

import trio

MAX_TRACES = 2048


@dataclasses.dataclass(slots=True)
class Trace:
    """Hold the state of one request and the groups that it was sent to.

    Parameters
    ----------
    state : str
        ``queued``, ``sent``, ``served``, ``not_run``, ``outcome_unknown``
        or ``cut``.
    groups : list of str
        Groups that it was sent to, in order.
    code : str
        Error code that the caller got, or empty.
    opened_s, changed_s : float
        Monotonic time of its arrival and of its last change.
    """

    workspace: str
    priority: str
    service: str
    opened_s: float
    state: str = "queued"
    groups: list[str] = dataclasses.field(default_factory=list)
    code: str = ""
    changed_s: float = 0.0

    def send(self, group_id: str) -> None:
        """Record an attempt at a group."""
        self.groups.append(group_id)
        self.change("sent")

    def change(self, state: str, code: str = "") -> None:
        """Set the state and the error code."""
        self.state = state
        self.code = code
        self.changed_s = trio.current_time()


class Journal:
    """Hold the newest :data:`MAX_TRACES` traces by request id."""

    def __init__(self) -> None:
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )

    def open(
        self, request_id: str, workspace: str, priority: str, service: str
    ) -> Trace:
        """Start and return the trace of a request that has arrived."""
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
