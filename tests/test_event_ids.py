import pytest

from sycamorespool import event_ids
from sycamorespool import exceptions


def make_event(number):
    return b"id: %d\ndata: t\n\n" % number


class TestTake:
    def test_partial_event_is_held_until_it_is_complete(self):
        events = event_ids.EventIdTracker()
        assert events.take(make_event(1) + b"id: 2\nda") == make_event(1)
        assert events.take(b"ta: t\n\n") == make_event(2)
        assert events.last_id == 2

    @pytest.mark.parametrize("number", [1, 2, 4])
    def test_event_out_of_sequence_is_refused(self, number):
        events = event_ids.EventIdTracker()
        events.take(make_event(1) + make_event(2))
        with pytest.raises(exceptions.BackendCut):
            events.take(make_event(number))

    def test_partial_event_of_a_cut_stream_is_dropped(self):
        events = event_ids.EventIdTracker()
        events.take(make_event(1) + b"id: 2\nda")
        events.drop_partial_event()
        assert events.take(make_event(2)) == make_event(2)


class TestEnd:
    def test_stream_that_ends_between_events_is_complete(self):
        events = event_ids.EventIdTracker()
        events.take(make_event(1))
        events.end()
        assert events.is_done

    def test_stream_that_ends_within_an_event_is_refused(self):
        events = event_ids.EventIdTracker()
        events.take(make_event(1) + b"id: 2\n")
        with pytest.raises(exceptions.BackendCut):
            events.end()
