import pytest

from sycamorespool import exceptions
from sycamorespool.requests import event_counts
from sycamorespool.requests import event_ids


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


class TestBlockWithAWrongEvent:
    # Review 1 (ORDER): events that were dropped with a wrong one behind them
    # counted as relayed, so that the stream went on after them.
    @pytest.mark.parametrize("sound", [0, 1, 3])
    @pytest.mark.parametrize(
        "wrong",
        [
            make_event(7041),
            b"id: x\ndata: t\n\n",
            b"id: %b\ndata: t\n\n" % (b"9" * 6000),
            b"id: -4\ndata: t\n\n",
            b"data: t\n\n",
            b"id: 4\n\n",
            b"id: 4\nid: 5\ndata: t\n\n",
            b"HTTP/1.1 503 Busy\nid: 4\ndata: t\n\n",
            b"error: overloaded\n\n",
            b"\n\n",
        ],
    )
    def test_nothing_of_it_counts_as_relayed(self, sound, wrong):
        events = event_ids.EventIdTracker()
        events.take(make_event(1))
        block = b"".join(make_event(n) for n in range(2, 2 + sound))
        with pytest.raises(exceptions.BackendCut):
            events.take(block + wrong)
        assert (events.last_id, events.count) == (1, 1)
        events.drop_partial_event()
        assert events.take(make_event(2)) == make_event(2)

    def test_first_block_is_no_exception(self):
        events = event_ids.EventIdTracker()
        with pytest.raises(exceptions.BackendCut):
            events.take(make_event(1) + make_event(2) + make_event(9))
        assert (events.last_id, events.count) == (None, 0)
        assert events.take(make_event(1)) == make_event(1)

    def test_event_that_is_too_long_does_not_hide_those_before_it(self):
        events = event_ids.EventIdTracker()
        start = b"id: 2\ndata: " + b"t" * event_counts.MAX_EVENT_BYTES
        with pytest.raises(exceptions.BackendCut):
            events.take(make_event(1) + start)
        assert (events.last_id, events.count) == (None, 0)


class TestFirstEvent:
    # Review 1 (ORDER): any id was taken for that of the first event, so that
    # a stream began in its middle.
    @pytest.mark.parametrize("number", [2, 12, 7041])
    def test_stream_does_not_begin_in_its_middle(self, number):
        events = event_ids.EventIdTracker()
        with pytest.raises(exceptions.BackendCut):
            events.take(make_event(number))

    @pytest.mark.parametrize("number", [0, 1])
    def test_first_id_is_zero_or_one(self, number):
        events = event_ids.EventIdTracker()
        assert events.take(make_event(number)) == make_event(number)

    @pytest.mark.parametrize("number", [1, 12, 14])
    def test_resumed_stream_begins_at_the_next_event(self, number):
        events = event_ids.EventIdTracker()
        events.resume_after("12", is_resumable=True)
        with pytest.raises(exceptions.BackendCut):
            events.take(make_event(number))
        assert events.take(make_event(13)) == make_event(13)

    @pytest.mark.parametrize("number", [1, 13])
    def test_stream_that_cannot_be_resumed_may_begin_anew(self, number):
        events = event_ids.EventIdTracker()
        events.resume_after("12", is_resumable=False)
        assert events.take(make_event(number)) == make_event(number)

    @pytest.mark.parametrize("value", ["", "x", "-1", "9" * 30, "²"])
    def test_id_that_is_no_number_says_nothing(self, value):
        events = event_ids.EventIdTracker()
        events.resume_after(value, is_resumable=True)
        assert events.take(make_event(1)) == make_event(1)


class TestOtherFields:
    @pytest.mark.parametrize(
        "event",
        [
            b"sycamorespool-weight-versions: 7\nid: 1\ndata: t\n\n",
            b"data: t\ndata: u\nid:1\n\n",
            b": a comment\n\n" + make_event(1),
            b"event: token\nid: 1\ndata: {}\nretry: 5\n\n",
        ],
    )
    def test_they_are_passed_on(self, event):
        events = event_ids.EventIdTracker()
        assert events.take(event) == event
        assert (events.last_id, events.count) == (1, 1)
