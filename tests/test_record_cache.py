import math

import pytest

from sycamorespool.platform import pages
from sycamorespool.store import record_cache


def make_cache():
    cache = record_cache.RecordCache()
    cache.add_page(pages.Page(5, 8, 0, (b"5", b"6", b"7")), 1.0)
    return cache


@pytest.mark.parametrize(
    ("start", "found"),
    [
        (4, None),
        (5, [b"5", b"6", b"7"]),
        (7, [b"7"]),
        (8, []),
        (99, []),
    ],
)
def test_records_from_an_offset_are_found(start, found):
    assert make_cache().find_from(pages.Position(0, start)) == found


def test_consecutive_pages_are_joined():
    cache = make_cache()
    cache.add_page(pages.Page(8, 9, 0, (b"8",)), 2.0)
    assert cache.find_from(pages.Position(0, 6)) == [b"6", b"7", b"8"]
    assert cache.as_of_s == 2.0


def test_gap_drops_the_older_records():
    cache = make_cache()
    cache.add_page(pages.Page(20, 21, 0, (b"20",)), 2.0)
    assert cache.find_from(pages.Position(0, 7)) is None
    assert cache.find_from(pages.Position(0, 20)) == [b"20"]


def test_records_of_another_timeline_are_not_found():
    cache = make_cache()
    assert cache.find_from(pages.Position(1, 6)) is None


def test_page_of_another_timeline_drops_the_older_records():
    cache = make_cache()
    cache.add_page(pages.Page(8, 9, 0, (b"new",), timeline=1), 2.0)
    assert cache.find_from(pages.Position(0, 6)) is None
    assert cache.find_from(pages.Position(1, 7)) is None
    assert cache.find_from(pages.Position(1, 8)) == [b"new"]


class TestAsOf:
    # A partial page made the cache claim that nothing newer existed.
    def test_partial_page_leaves_the_time_of_the_last_whole_one(self):
        cache = make_cache()
        cache.add_page(pages.Page(8, 30, 0, (b"8",)), -math.inf)
        assert cache.as_of_s == 1.0

    def test_time_does_not_go_back(self):
        cache = make_cache()
        cache.add_page(pages.Page(8, 8, 0, ()), 0.5)
        assert cache.as_of_s == 1.0

    def test_time_of_another_timeline_does_not_count(self):
        cache = make_cache()
        page = pages.Page(8, 30, 0, (b"8",), timeline=1)
        cache.add_page(page, -math.inf)
        assert cache.as_of_s == -math.inf

    def test_time_of_a_later_position_does_not_count_for_an_earlier_one(self):
        cache = make_cache()
        cache.add_page(pages.Page(2, 8, 0, (b"2",)), -math.inf)
        assert cache.as_of_s == -math.inf


def test_large_records_do_not_fill_the_memory():
    cache = record_cache.RecordCache()
    size = record_cache.KEPT_BYTES // 4
    for offset in range(9):
        page = pages.Page(offset, offset + 1, 0, (bytes(size),))
        cache.add_page(page, 1.0)
    assert sum(map(len, cache.records)) <= record_cache.KEPT_BYTES
    assert len(cache.find_from(pages.Position(0, 5))) == 4
    assert cache.find_from(pages.Position(0, 4)) is None
