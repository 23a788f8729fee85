"""Tests of the client of a hosted platform's store after a restore."""

import msgspec
import pytest
import trio

from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool.platform import pages
from sycamorespool.platform import store

BEFORE = pages.Position(1, 5)


@pytest.fixture
def answer(monkeypatch):
    """Return a function that makes the store answer the next calls."""
    planned = []

    async def exchange(pool, method, url, *more):
        timeline, status, body = planned.pop(0)
        headers = {} if timeline is None else {"store-era": str(timeline)}
        return http_client.Response(status, headers, body)

    monkeypatch.setattr(http_client, "exchange", exchange)

    def plan(timeline, value=b"", status=200):
        body = value if isinstance(value, bytes) else encode(value)
        planned.append((timeline, status, body))

    return plan


def encode(value):
    return msgspec.json.encode(value)


def make_store(timeline=1):
    made = store.Store(None, "10.0.0.1:1")
    made.timeline = timeline
    return made


def make_page(*contents):
    body = pages.BOUNDS.pack(9, 0)
    return body + b"".join(pages.LENGTH.pack(len(c)) + c for c in contents)


class TestRead:
    def test_page_names_the_timeline_of_its_records(self, answer):
        answer(1, make_page(b"a"))
        page = trio.run(make_store().read, "topic", BEFORE)
        assert page.next == pages.Position(1, 6)

    @pytest.mark.parametrize("status", [200, 410])
    def test_answer_after_a_restore_gives_no_records(self, answer, status):
        answer(2, make_page(b"other"), status)
        client = make_store()
        with pytest.raises(exceptions.TimelineChanged):
            trio.run(client.read, "topic", BEFORE)
        assert client.timeline == 2

    def test_position_before_a_restore_is_not_read_from(self):
        with pytest.raises(exceptions.TimelineChanged):
            trio.run(make_store(2).read, "topic", BEFORE)

    def test_late_answer_from_before_a_restore_is_not_used(self, answer):
        answer(1, make_page(b"a"))
        client = make_store(2)
        with pytest.raises(exceptions.OutcomeLost):
            trio.run(client.read, "topic", pages.Position(2, 5))
        assert client.timeline == 2

    def test_410_without_a_body_means_expired_records(self, answer):
        answer(1, {}, 410)
        with pytest.raises(exceptions.RecordsExpired):
            trio.run(make_store().read, "topic", BEFORE)

    def test_store_without_timelines_is_read(self, answer):
        answer(None, make_page(b"a"))
        client = make_store(None)
        page = trio.run(client.read, "topic", pages.Position(0, 5))
        assert page.next == pages.Position(0, 6)

    # A list that was given up after a page was taken for the whole topic.
    def test_list_of_newest_records_without_an_end_is_not_used(self, answer):
        answer(1, {"items": [], "more": True, "end": 9})
        with pytest.raises(exceptions.PlatformUnavailable):
            trio.run(make_store().read_newest, "topic")

    def test_newest_records_are_of_one_timeline(self, answer):
        item = {"key": "a", "value": "", "offset": 1}
        answer(1, {"items": [item], "end": 7, "more": True})
        answer(2, {"items": [item], "end": 3, "more": False})
        with pytest.raises(exceptions.TimelineChanged):
            trio.run(make_store().read_newest, "topic")


class TestAppend:
    def test_append_returns_its_position(self, answer):
        answer(1, {"offset": 5, "end": 6})
        assert trio.run(make_store().append, "topic", [b"a"]) == BEFORE

    def test_append_that_crosses_a_restore_is_uncertain(self, answer):
        answer(2, {"offset": 5, "end": 6})
        with pytest.raises(exceptions.OutcomeLost):
            trio.run(make_store().append, "topic", [b"a"])

    def test_first_answer_names_the_timeline(self, answer):
        answer(4, {"offset": 5, "end": 6})
        found = trio.run(make_store(None).append, "topic", [b"a"])
        assert found == pages.Position(4, 5)
