"""Tests of following a topic of the platform's store."""

import pytest
import trio
import trio.testing

from sycamorespool import exceptions
from sycamorespool.platform import pages
from sycamorespool.store import topic_follower

PERIOD_S, RETRY_S = 1.0, 0.25
START = pages.Position(1, 0)
BEHIND = topic_follower.Progress(START, is_behind=True)


def follow(outcomes, duration_s=10.0):
    """Follow a topic whose reads on end as planned; return the events."""
    events = []

    async def read_all(cause):
        events.append(cause.value)
        return START

    async def read_on(position):
        outcome = outcomes.pop(0) if outcomes else None
        if isinstance(outcome, Exception):
            raise outcome
        events.append("read")
        return outcome or topic_follower.Progress(position)

    async def main():
        with trio.move_on_after(duration_s):
            await topic_follower.follow(
                topic_follower.Topic(
                    "topic",
                    read_all,
                    read_on,
                    PERIOD_S,
                    RETRY_S,
                    lambda: events.append("outage"),
                )
            )

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return events


def test_topic_is_read_whole_once_and_then_on():
    events = follow([], 3.5 * PERIOD_S)
    assert events == ["started", "read", "read", "read"]


def test_topic_is_read_whole_again_at_once():
    expired = exceptions.RecordsExpired(7)
    restored = exceptions.TimelineChanged(1, 2)
    events = follow([expired, restored], PERIOD_S + 0.1)
    assert events == ["started", "records expired"]
    events = follow([expired, restored], 2 * PERIOD_S + 0.1)
    assert events[-1] == "store restored"


def test_outage_is_noted_before_the_records_after_it_are_applied():
    unavailable = exceptions.PlatformUnavailable("down")
    events = follow([unavailable, unavailable], PERIOD_S + 3 * RETRY_S)
    assert events == ["started", "outage", "outage", "read", "outage"]


# Pages of a long log were read one a period, up to the period times the
# number of pages late.
def test_reader_that_is_behind_reads_on_at_once():
    events = follow([BEHIND, BEHIND], 1.5 * PERIOD_S)
    assert events == ["started", "read", "read", "read"]


def test_outage_lasts_until_the_reader_has_caught_up():
    unavailable = exceptions.PlatformUnavailable("down")
    outcomes = [unavailable, BEHIND, None, None]
    events = follow(outcomes, 2 * PERIOD_S + 2 * RETRY_S)
    assert events[1:] == ["outage", "read", "outage", "read", "outage", "read"]


@pytest.mark.parametrize(
    ("end", "records", "is_behind"),
    [(5, (), False), (9, (b"5",), True), (6, (b"5",), False), (9, (), False)],
)
def test_page_that_ends_early_shows_that_the_reader_is_behind(
    end, records, is_behind
):
    page = pages.Page(5, end, 0, records, timeline=1)
    progress = topic_follower.measure(page)
    assert progress.is_behind is is_behind
    assert progress.position == page.next
