"""Tests of the membership in the store's consumer group."""

import math
import types

import pytest
import trio
import trio.testing

from sycamorespool.decisions.placing import reachability
from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions import retries
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import partition_share
from sycamorespool.platform import store

JOIN_S = 0.1


class FakeStore:
    """A store that records the generations with which members join."""

    def __init__(self, timeline):
        self.newest_timeline = timeline
        self.generations = []
        self.joins_s = []
        self.ttls_s = []

    async def join(self, group, member, topics, ttl_s, generation):
        self.generations.append(generation)
        self.joins_s.append(trio.current_time())
        self.ttls_s.append(ttl_s)
        parts = frozenset({(topics[0], 0)})
        return store.Assignment(3, parts, self.newest_timeline)


def hold(context, duration_s):
    async def main():
        with trio.move_on_after(duration_s):
            await partition_share.hold(context)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def make_context(platform_store, assignment):
    shares = []
    return types.SimpleNamespace(
        name="e",
        incarnation=1,
        is_stopping=False,
        owns_domains=False,
        assignment=assignment,
        platform_store=platform_store,
        set_share=lambda share, lease_end_s: shares.append(
            (share, lease_end_s)
        ),
        adjust_retry_budgets=lambda: None,
        shares=shares,
        reach=reachability.Reachability(),
        limits=server_limits.ServerLimits((("share-0", 0),)),
        settings=types.SimpleNamespace(
            platform=types.SimpleNamespace(least_ttl_ms=0, partitions=1)
        ),
    )


@pytest.mark.parametrize(("timeline", "first"), [(1, 9), (2, 0)])
def test_generation_of_a_former_timeline_is_not_used(timeline, first):
    platform_store = FakeStore(timeline)
    known = store.Assignment(9, frozenset(), 1)
    context = make_context(platform_store, known)

    hold(context, 1.5 * partition_share.JOIN_PERIOD_S)
    assert platform_store.generations == [first, 3]


@pytest.mark.parametrize(
    ("owns_domains", "period_s"),
    [
        (True, partition_share.JOIN_PERIOD_S),
        (False, partition_share.IDLE_JOIN_PERIOD_S),
    ],
)
def test_owner_of_domains_joins_more_often(owns_domains, period_s):
    platform_store = FakeStore(1)
    known = store.Assignment(9, frozenset(), 1)
    context = make_context(platform_store, known)
    context.owns_domains = owns_domains
    hold(context, 20.0)
    times_s = platform_store.joins_s
    # The first join changes the assignment, so the second follows soon.
    assert times_s[1] - times_s[0] == pytest.approx(
        partition_share.JOIN_PERIOD_S
    )
    assert times_s[-1] - times_s[-2] == pytest.approx(period_s)
    assert platform_store.ttls_s[-1] == 3 * period_s


class SlowStore(FakeStore):
    """A store at which a join takes effect only after a later leave."""

    def __init__(self, timeline):
        super().__init__(timeline)
        self.members = set()

    async def join(self, group, member, topics, ttl_s, generation):
        await trio.sleep(JOIN_S)
        self.members.add(member)
        return await super().join(group, member, topics, ttl_s, generation)

    async def leave(self, group, member):
        self.members.discard(member)


def test_join_under_way_at_the_stop_does_not_keep_the_partitions():
    platform_store = SlowStore(1)
    context = make_context(platform_store, store.Assignment(9, frozenset(), 1))

    async def stop():
        await trio.sleep(JOIN_S / 2)
        context.is_stopping = True
        await partition_share.release(context)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            nursery.start_soon(partition_share.hold, context)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not platform_store.members
    assert not context.assignment.partitions


class LosingStore(FakeStore):
    """A store that answers the first join only."""

    async def join(self, group, member, topics, ttl_s, generation):
        if self.generations:
            raise exceptions.PlatformUnavailable("cut off")
        return await super().join(group, member, topics, ttl_s, generation)


# Review 4 (FAILBACK): an entry that was cut off from the store went on with a
# share that the store had given to another one.
def test_share_is_held_as_long_as_the_store_keeps_it(monkeypatch):
    now_s = [500.0]
    monkeypatch.setattr(entry_context, "boot_time_s", lambda: now_s[0])
    platform_store = LosingStore(1)
    context = make_context(platform_store, store.Assignment(9, frozenset(), 1))
    hold(context, 20.0)
    ((share, lease_end_s),) = context.shares
    assert share == 1.0
    assert lease_end_s == 500.0 + platform_store.ttls_s[0]


def test_share_ends_with_its_lease(monkeypatch):
    now_s = [500.0]
    monkeypatch.setattr(entry_context, "boot_time_s", lambda: now_s[0])
    bounds = types.SimpleNamespace(retry_extra=1000.0, retry_window_s=10.0)
    context = entry_context.EntryContext(
        types.SimpleNamespace(bounds=bounds), 1, *[None] * 6
    )
    context.retry_budgets["s"] = retries.RetryBudget()
    context.set_share(0.5, 502.0)
    assert context.find_share() == 0.5
    budget = context.retry_budgets["s"]
    assert budget.reserve > 1.0
    now_s[0] = 502.1
    context.adjust_retry_budgets()
    assert context.find_share() == 0.0
    assert (budget.reserve, budget.refill_per_s) == (1.0, 0.0)


def test_entry_that_leaves_has_no_share():
    platform_store = SlowStore(1)
    context = make_context(platform_store, store.Assignment(9, frozenset(), 1))
    trio.run(partition_share.release, context)
    assert context.shares == [(0.0, -math.inf)]


class RestoringStore(FakeStore):
    """A store that comes back from a copy before its third join."""

    async def join(self, group, member, topics, ttl_s, generation):
        if len(self.generations) == 2:
            self.newest_timeline += 1
        return await super().join(group, member, topics, ttl_s, generation)


def test_join_tells_whether_the_store_was_restored(monkeypatch):
    told = []
    monkeypatch.setattr(
        server_limits, "renew", lambda *args: told.append(args[-1])
    )
    context = make_context(
        RestoringStore(1), store.Assignment(9, frozenset(), 1)
    )
    hold(context, 4.5 * partition_share.JOIN_PERIOD_S)
    assert told == [False, False, True, False]
