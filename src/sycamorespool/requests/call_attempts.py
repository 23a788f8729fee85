"""Holds the attempts of one call, which may run beside each other."""

from collections import abc
import dataclasses

import trio

from sycamorespool import backends
from sycamorespool.decisions.faults import fatal_traits
from sycamorespool.decisions import retries
from sycamorespool import exceptions

# Times the mean time to the first byte (TTFB): the least silence after which
# another attempt may begin.
SILENCE_PER_TTFB = 4.0


@dataclasses.dataclass(slots=True)
class Tries:
    """Holds the attempts of one call and the servers not to be tried again.

    Parameters
    ----------
    running : list of MovableAttempt
        The attempts that run beside each other.
    begin_beside : callable
        Begins another attempt beside a silent one; tells whether it did.
    ended : list of Ended
        The last attempt that ended, if it ran beside another one.
    """

    state: retries.CallTries
    budget: retries.RetryBudget
    excluded: frozenset[str] = frozenset()
    running: list["MovableAttempt"] = dataclasses.field(default_factory=list)
    begin_beside: abc.Callable[["MovableAttempt", float], bool] = (
        lambda attempt, now_s: False
    )
    ended: list["Ended"] = dataclasses.field(default_factory=list)
    _has_ended: trio.Event = dataclasses.field(default_factory=trio.Event)

    def reserve(self, point: retries.FailurePoint, now_s: float) -> bool:
        """Reserve the attempt that is to follow one that still runs."""
        return retries.reserve(self.state, point, self.budget, now_s)

    def has_newer(self, attempt: "MovableAttempt") -> bool:
        """Tell whether another attempt runs that nothing has replaced."""
        return any(
            other is not attempt and not other.is_replaced
            for other in self.running
        )

    def has_other(self, attempt: "MovableAttempt") -> bool:
        """Tell whether another attempt runs beside this one."""
        return any(other is not attempt for other in self.running)

    def list_unusable(self) -> frozenset[str]:
        """Return the servers that a further attempt must not be sent to."""
        return self.excluded | {a.backend.backend_id for a in self.running}

    def note_last_ended(self, ended: "Ended") -> None:
        """Record the end of the last attempt, which ran beside another."""
        self.ended.append(ended)
        self._has_ended.set()

    async def wait_for_last(self) -> "Ended":
        """Wait until no attempt runs, and return how the last one ended."""
        await self._has_ended.wait()
        self._has_ended = trio.Event()
        return self.ended.pop()


@dataclasses.dataclass(slots=True, eq=False)
class MovableAttempt:
    """Holds a running attempt beside which another one may begin.

    Parameters
    ----------
    scope : trio.CancelScope
        Scope of the attempt.
    silence_s : float
        Least silence after which another one may begin, apart from the TTFB.
    silent_since_s : float
        When the last byte for it came, or when it was sent.
    traits : tuple of str
        The parts of its prompt, and its identity.
    prompt_tokens : int
        Tokens of its prompt, 0 if they are not known.
    rank : int
        Its rank at a model engine, 0 for the first.
    is_postponed : bool
        Whether it goes behind those of its priority there.
    is_waiting : bool
        Whether it waits for the server.  While it waits for the caller to
        read, part of an event may be on its way, so it cannot be moved.
    has_begun : bool
        Whether a byte of its answer has come.
    is_replaced : bool
        Whether another attempt has begun beside it and still runs.
    is_counted : bool
        Whether it counts among the attempts of its call already.
    is_overtaken : bool
        Whether it was ended as the answer of an attempt beside it went on.
    """

    backend: backends.Backend
    scope: trio.CancelScope
    tries: Tries
    silence_s: float
    silent_since_s: float
    traits: fatal_traits.Traits = ()
    prompt_tokens: int = 0
    rank: int = 0
    is_postponed: bool = False
    is_waiting: bool = True
    has_begun: bool = False
    is_replaced: bool = False
    is_counted: bool = False
    is_overtaken: bool = False

    def is_overdue(self, mean_ttfb_s: float, now_s: float) -> bool:
        """Tell whether nothing came for longer than a server needs."""
        limit_s = max(self.silence_s, SILENCE_PER_TTFB * mean_ttfb_s)
        return now_s - self.silent_since_s > limit_s

    def try_move(self, now_s: float) -> bool:
        """Begin another attempt beside this one; tell whether it began."""
        if not self.is_waiting or self.is_replaced:
            return False
        if self.tries.has_newer(self):
            return False
        self.is_replaced = self.tries.begin_beside(self, now_s)
        return self.is_replaced

    def take_lead(self) -> bool:
        """End the attempts beside this one, as its own answer goes on.

        Return whether this one is still to go on itself.
        """
        others = [a for a in self.tries.running if a is not self]
        if self.is_overtaken or not all(a.is_waiting for a in others):
            return False
        self.is_replaced = False
        for other in others:
            other.is_overtaken = True
            other.scope.cancel()
        return True

    def give_up(self) -> None:
        """Cancel the attempt, as its server will not answer any more.

        Without another attempt beside it, the caller gets its final answer
        at once and may come back.
        """
        if self.is_waiting:
            self.scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Holds how an attempt ended.

    Parameters
    ----------
    error : BackendError or None
        Why it failed, None if it was answered.
    """

    attempt: MovableAttempt
    error: exceptions.BackendError | None
