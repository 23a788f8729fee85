"""Checks that entries heed what backend servers say in their answers.

An entry that passed on an answer of a server that leaves sends it nothing
more after a while.  One that was refused with a wish for a pause sends
nothing during the pause.
"""

from collections import abc
import typing as t

from sycamorespool import http_client
from sycamorespool.standins import hosted_engine
from sycamorespool.standins import hosted_state

# Time within which an entry stops using a server that leaves.
DRAIN_S = 2.0
# An entry may still send this many requests from so long after a refusal.
PAUSE_SLACK_S = 0.5
PAUSE_SLACK = 2


class Process(t.NamedTuple):
    """Names one start of an entry's process."""

    entry: str
    incarnation: int


class Notices:
    """Collects what callers see, to compare it with the servers' arrivals.

    Attributes
    ----------
    senders : dict
        The process that got an attempt, and when, by attempt.
    leaving_s : dict
        When a process first passed on that a server leaves, by process and
        start of the server.
    """

    def __init__(self) -> None:
        self.senders: dict[str, tuple[Process, float]] = {}
        self.leaving_s: dict[tuple[Process, str, int], float] = {}

    def note_answer(
        self,
        attempt: str,
        process: Process,
        sent_s: float,
        answered_s: float,
        answer: http_client.Response,
    ) -> None:
        """Record an answer that a caller got."""
        self.senders[attempt] = (process, sent_s)
        if hosted_engine.LEAVING not in answer.headers:
            return
        signature = answer.headers.get(hosted_engine.SIGNATURE, "")
        if signature:
            vm_id, born_ms, _ = signature.split(".")
            key = (process, vm_id, int(born_ms))
            self.leaving_s.setdefault(key, answered_s)

    def find_failures(
        self, servers: abc.Iterable[hosted_engine.HostedEngine]
    ) -> list[str]:
        """Return what entries sent against the servers' wishes."""
        failures = []
        for server in servers:
            failures += self._find_late_arrivals(server)
            failures += self._find_unwanted_arrivals(server)
        return failures

    def _find_late_arrivals(
        self, server: hosted_engine.HostedEngine
    ) -> abc.Iterator[str]:
        for arrival in server.arrivals:
            if arrival.attempt not in self.senders:
                continue
            process, sent_s = self.senders[arrival.attempt]
            key = (process, server.vm_id, arrival.born_ms)
            passed_s = self.leaving_s.get(key, sent_s)
            if sent_s > passed_s + DRAIN_S:
                yield f"{server.vm_id} leaves and got a request"

    def _find_unwanted_arrivals(
        self, server: hosted_engine.HostedEngine
    ) -> abc.Iterator[str]:
        for pause in server.pauses:
            if pause.attempt not in self.senders:
                continue
            process, _ = self.senders[pause.attempt]
            arrivals = [
                arrival
                for arrival in server.arrivals
                if self._is_unwanted(arrival, pause, process)
            ]
            if len(arrivals) > PAUSE_SLACK:
                yield f"{server.vm_id} got requests during its pause"

    def _is_unwanted(
        self,
        arrival: hosted_state.Arrival,
        pause: hosted_state.Pause,
        process: Process,
    ) -> bool:
        begin_s = pause.at_s + PAUSE_SLACK_S
        return (
            begin_s < arrival.at_s < pause.at_s + pause.pause_s
            and arrival.born_ms == pause.born_ms
            and arrival.attempt in self.senders
            and self.senders[arrival.attempt][0] == process
        )
