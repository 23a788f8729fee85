"""Keeps an entry a member of the store's consumer group of all entries.

The store divides the partitions of some topics among the members.  The
partitions of an entry decide which fabric domains it owns and which part of
the fleet's budgets it may use.  The part of the budgets is held by a lease: an
entry whose joins fail uses it no longer than the store keeps it for it.
Domains are kept longer, as fencing numbers protect them.
"""

import math

import trio

from sycamorespool.decisions.placing import reachability
from sycamorespool.decisions.placing import server_limits
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.platform import store
from sycamorespool.store import topic_follower

# Time between two joins of a member that owns fabric domains or whose
# partitions have just changed, and of any other.  When the latter stops, only
# its part of the fleet's budgets is unused for a while.
JOIN_PERIOD_S = 0.8
IDLE_JOIN_PERIOD_S = 1.6
# A member that misses so many joins loses its partitions; the store may
# demand a longer time (``platform.least_ttl_ms``).
MISSED_JOINS = 3
GROUP = "entries"
# An entry that hardly reaches a server for this long leaves its partitions to
# others: it could neither form groups nor use its part of the budgets.
CUT_RELEASE_S = 2.0

log = logs.make_logger("store")


def _apply_assignment(
    context: entry_context.EntryContext, assignment: store.Assignment
) -> bool:
    """Apply an assignment; return whether it changed anything."""
    if assignment == context.assignment:
        return False
    context.assignment = assignment
    log.info(
        "partitions assigned to this entry",
        version=assignment.generation,
        count=len(assignment.partitions),
    )
    return True


def _set_share(
    context: entry_context.EntryContext, lease_end_s: float
) -> None:
    total = len(context.limits.partitions)
    share = len(context.assignment.partitions) / total
    context.set_share(share, lease_end_s)


def _find_generation(context: entry_context.EntryContext) -> int:
    """Return the generation that the store expects with the next join.

    Generations of a former timeline mean nothing to a restored store.
    """
    assignment = context.assignment
    if assignment.timeline != context.platform_store.newest_timeline:
        return 0
    return assignment.generation


async def hold(context: entry_context.EntryContext) -> None:
    """Stay a member of the consumer group until the entry stops."""
    failures = topic_follower.FailureLog(GROUP)
    least_ttl_s = context.settings.platform.least_ttl_ms / 1000
    is_busy = True
    while not context.is_stopping:
        began_s = trio.current_time()
        if reachability.has_been_cut(context.reach, CUT_RELEASE_S, began_s):
            if context.assignment.partitions:
                log.warning("no server is reached, partitions are left")
                await release(context)
            await trio.sleep(JOIN_PERIOD_S)
            continue
        joined_s = entry_context.boot_time_s()
        period_s = JOIN_PERIOD_S if is_busy else IDLE_JOIN_PERIOD_S
        ttl_s = max(least_ttl_s, MISSED_JOINS * period_s)
        try:
            assignment = await context.platform_store.join(
                GROUP,
                member_name(context),
                entry_context.SHARE_TOPICS,
                ttl_s,
                _find_generation(context),
            )
            if context.is_stopping:
                # The store may have handled the join after the leave.
                await release(context)
                return
            is_restored = assignment.timeline != context.assignment.timeline
            has_changed = _apply_assignment(context, assignment)
            _set_share(context, joined_s + ttl_s)
            server_limits.renew(
                context.limits,
                assignment.partitions,
                joined_s,
                ttl_s,
                entry_context.boot_time_s(),
                is_restored,
            )
            failures.note_success()
            is_busy = has_changed or context.owns_domains
        except exceptions.PlatformError as error:
            failures.note_failure(error)
            context.adjust_retry_budgets()
            is_busy = True
        await trio.sleep_until(began_s + period_s)


async def release(context: entry_context.EntryContext) -> None:
    """Leave the consumer group, so that other entries take over at once."""
    server_limits.release(context.limits)
    former = context.assignment
    _apply_assignment(
        context,
        store.Assignment(former.generation, frozenset(), former.timeline),
    )
    _set_share(context, -math.inf)
    try:
        await context.platform_store.leave(GROUP, member_name(context))
    except exceptions.PlatformError as error:
        log.warning("group could not be left", name=GROUP, error=error)


def member_name(context: entry_context.EntryContext) -> str:
    """Return this process's member name in the store's consumer group."""
    return f"{context.name}/{context.incarnation}"
