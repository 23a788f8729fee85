import pytest

from sycamorespool.platform import store
from sycamorespool import record_cache


def make_cache():
    cache = record_cache.RecordCache()
    cache.add_page(store.Page(5, 8, 0, (b"5", b"6", b"7")), 1.0)
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
    assert make_cache().find_from(start) == found


def test_consecutive_pages_are_joined():
    cache = make_cache()
    cache.add_page(store.Page(8, 9, 0, (b"8",)), 2.0)
    assert cache.find_from(6) == [b"6", b"7", b"8"]
    assert cache.as_of_s == 2.0


def test_gap_drops_the_older_records():
    cache = make_cache()
    cache.add_page(store.Page(20, 21, 0, (b"20",)), 2.0)
    assert cache.find_from(7) is None
    assert cache.find_from(20) == [b"20"]
