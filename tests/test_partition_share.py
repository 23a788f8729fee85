"""Tests of the membership in the store's consumer group."""

import types

import pytest
import trio
import trio.testing

from sycamorespool import partition_share
from sycamorespool.platform import store


class FakeStore:
    """A store that records the generations with which members join."""

    def __init__(self, timeline):
        self.newest_timeline = timeline
        self.generations = []

    async def join(self, group, member, topics, ttl_s, generation):
        self.generations.append(generation)
        parts = frozenset({(topics[0], 0)})
        return store.Assignment(3, parts, self.newest_timeline)


def make_context(platform_store, assignment):
    return types.SimpleNamespace(
        name="e",
        incarnation=1,
        is_stopping=False,
        assignment=assignment,
        platform_store=platform_store,
        set_share=lambda share: None,
        settings=types.SimpleNamespace(
            platform=types.SimpleNamespace(least_ttl_ms=0, partitions=1)
        ),
    )


@pytest.mark.parametrize(("timeline", "first"), [(1, 9), (2, 0)])
def test_generation_of_a_former_timeline_is_not_used(timeline, first):
    platform_store = FakeStore(timeline)
    known = store.Assignment(9, frozenset(), 1)
    context = make_context(platform_store, known)

    async def main():
        with trio.move_on_after(1.5 * partition_share.JOIN_PERIOD_S):
            await partition_share.hold(context)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert platform_store.generations == [first, 3]
