"""Lets calls wait, or refuses them, when the limits of servers are used up.

It matters only while each server that may serve a call has named a limit;
otherwise the others take what these do not.  What may still be sent is
divided fairly among the workspaces::

    waiting = LimitedCall(context, call)
    await waiting.wait_for_turn(backends, until_s)  # raises when refused
    waiting.note_chosen(backend)
    waiting.leave()
"""

from collections import abc

import trio

from sycamorespool import backends
from sycamorespool.decisions.placing import limited_turns
from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions import shares
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool.requests import calls

CHECK_PERIOD_S = 0.05
LEAST_PER_S = server_limits.MIN_PER_S


class LimitedCall:
    """Holds the turn of one call among those that wait for the same servers.

    Parameters
    ----------
    call : Call
        The call; it waits only from :meth:`wait_for_turn` on.
    """

    def __init__(
        self, context: entry_context.EntryContext, call: calls.Call
    ) -> None:
        self._context = context
        self._workspace = call.workspace.name if call.workspace else ""
        self._priority = call.priority
        request = call.make_placement_request(frozenset())
        self._key = limited_turns.QueueKey(
            request.service, request.model, request.allowed_regions
        )
        self._turn: limited_turns.Turn | None = None

    def is_limited(self, backend: backends.Backend) -> bool:
        """Tell whether a server has named a limit."""
        limit = server_limits.find_limit(
            self._context.limits, backend.backend_id, backend.started_ms
        )
        return limit is not None

    def may_take(self, backend: backends.Backend) -> bool:
        """Tell whether other calls do not come first at a limited server."""
        return not self.is_limited(backend) or limited_turns.may_take(
            self._context.turns, self._key, self._turn
        )

    def note_chosen(self, backend: backends.Backend) -> None:
        """Record that the call is sent to a server now."""
        if self.is_limited(backend):
            limited_turns.take(
                self._context.turns,
                self._key,
                self._turn,
                self._workspace,
                self._priority,
                trio.current_time(),
            )
        self.leave()

    def leave(self) -> None:
        """Wait no longer."""
        if self._turn is not None:
            limited_turns.leave(self._context.turns, self._key, self._turn)
            self._turn = None

    async def wait_for_turn(
        self, eligible: abc.Sequence[backends.Backend], until_s: float
    ) -> None:
        """Wait a moment for the call's turn at one of some limited servers.

        Raises
        ------
        NotRun
            If other calls take what these servers may get until ``until_s``.
        """
        now_s = trio.current_time()
        if self._turn is None:
            self._turn = limited_turns.join(
                self._context.turns,
                self._key,
                self._workspace,
                self._priority,
                self._count_sendable(eligible, until_s - now_s),
                now_s,
            )
        if self._turn.is_shed or now_s >= until_s:
            raise exceptions.NotRun(
                "servers_limited",
                "the backend servers take no more requests now",
                retry_after_s=self._find_retry_after_s(eligible),
            )
        await trio.sleep(CHECK_PERIOD_S)

    def _count_sendable(
        self, eligible: abc.Sequence[backends.Backend], wait_s: float
    ) -> int:
        now_s = entry_context.boot_time_s()
        return sum(
            server_limits.count_sendable(
                self._context.limits, backend.backend_id, now_s, wait_s
            )
            for backend in eligible
        )

    def _find_retry_after_s(
        self, eligible: abc.Sequence[backends.Backend]
    ) -> float:
        """Return after which time these servers take one more request."""
        now_s = entry_context.boot_time_s()
        limits = self._context.limits
        ids = [backend.backend_id for backend in eligible]
        wait_s = limited_turns.estimate_turn_s(
            min(map(self._context.find_limit_wait_s, eligible)),
            limited_turns.count_waiting(self._context.turns, self._key),
            sum(server_limits.find_rate_per_s(limits, i, now_s) for i in ids),
            sum(max(LEAST_PER_S, limits.limits[i].per_s) for i in ids),
        )
        return shares.retry_after_s(wait_s, self._context.random.random())
