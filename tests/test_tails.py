import pytest

from sycamorespool.platform import store
from sycamorespool import tails


def make_tail():
    tail = tails.Tail()
    tail.take(store.Page(5, 8, 0, (b"5", b"6", b"7")), 1.0)
    return tail


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
def test_records_after_an_offset(start, found):
    assert make_tail().find_after(start) == found


def test_pages_that_follow_are_joined():
    tail = make_tail()
    tail.take(store.Page(8, 9, 0, (b"8",)), 2.0)
    assert tail.find_after(6) == [b"6", b"7", b"8"]
    assert tail.read_s == 2.0


def test_a_gap_starts_anew():
    tail = make_tail()
    tail.take(store.Page(20, 21, 0, (b"20",)), 2.0)
    assert tail.find_after(7) is None
    assert tail.find_after(20) == [b"20"]
