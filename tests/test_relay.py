"""Tests of relaying streams that break off and are resumed."""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from sycamorespool import exceptions
from sycamorespool.requests import event_counts
from sycamorespool.requests import event_ids
from sycamorespool.requests import relay

EVENTS = [
    b'data: {"a": "data: x\\n\\n"}\n\n',
    b": keep-alive\n\n",
    b'event: x\ndata: {"data:": 1}\n\n',
    b'data: {"c": "[DONE]"}\n\n',
]
TOKENS = [event for event in EVENTS if event.startswith(event_counts.TOKEN)]


class Source:
    """A stream from a token on, in pieces, that ends after some bytes."""

    status = 200

    def __init__(self, start, cut, sizes):
        self.headers = self.joined_headers = {
            "content-type": relay.EVENT_STREAM,
            event_counts.RESUME_HEADER: str(start),
        }
        body = b"".join([*TOKENS[start:], event_counts.DONE])
        self._body = body[:cut]
        self._sizes = iter(sizes)

    async def read(self):
        size = next(self._sizes, 5)
        piece, self._body = self._body[:size], self._body[size:]
        return piece

    async def finish(self):
        return


def relay_stream(cuts, sizes):
    """Return what a caller gets of a stream that breaks off at ``cuts``."""
    messages = []

    async def send(message):
        messages.append(message)

    async def main():
        caller_answer = relay.Relay(send, "id")
        for cut in [*cuts, None]:
            source = Source(caller_answer.events.count, cut, sizes)
            try:
                await caller_answer.copy_events(source)
                return
            except exceptions.BackendCut:
                continue

    trio.run(main)
    return messages


class TestStreamsThatBreakOff:
    @hypothesis.given(
        cuts=st.lists(st.integers(0, 70), max_size=4),
        sizes=st.lists(st.integers(1, 60), max_size=20),
    )
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    def test_answer_is_complete(self, cuts, sizes):
        messages = relay_stream(cuts, sizes)
        assert [m["type"] for m in messages].count("http.response.start") == 1
        bodies = [m["body"] for m in messages[1:]]
        assert b"".join(bodies) == b"".join([*TOKENS, event_counts.DONE])
        assert [m["more_body"] for m in messages[1:]].count(False) == 1

    def test_kept_partial_event_corrupts_the_answer(self, monkeypatch):
        monkeypatch.setattr(
            event_counts.EventCounter,
            "drop_partial_event",
            lambda events: None,
        )
        messages = relay_stream([len(TOKENS[0]) + 9], [])
        body = b"".join(m.get("body", b"") for m in messages)
        assert body != b"".join([*TOKENS, event_counts.DONE])


class TestEventCounter:
    @pytest.mark.parametrize("size", range(1, 40))
    def test_count_does_not_depend_on_the_pieces(self, size):
        events = event_counts.EventCounter()
        stream = b"".join([*EVENTS, event_counts.DONE])
        pieces = [
            events.take(stream[at : at + size])
            for at in range(0, len(stream), size)
        ]
        assert b"".join(pieces) == stream
        assert (events.count, events.is_done) == (3, True)

    # Review 1 (ORDER): a block is checked as a whole before any of it counts.
    @pytest.mark.parametrize(
        "wrong",
        [
            b"HTTP/1.1 503 Busy\r\n\n",
            b"overloaded\n\n",
            b"data: a\ndata: b\n\n",
            b"\n\n",
        ],
    )
    def test_nothing_of_a_block_with_other_bytes_is_relayed(self, wrong):
        events = event_counts.EventCounter()
        events.take(TOKENS[0])
        with pytest.raises(exceptions.BackendCut):
            events.take(TOKENS[1] + wrong + TOKENS[0])
        assert events.count == 1
        events.drop_partial_event()
        assert events.take(TOKENS[1]) == TOKENS[1]

    def test_stream_ends_with_its_last_event(self):
        events = event_counts.EventCounter()
        block = TOKENS[0] + event_counts.DONE
        assert events.take(block + TOKENS[1]) == block
        assert (events.count, events.is_done) == (1, True)


class Answer:
    """An answer whose body comes in some parts and may break off."""

    def __init__(self, *parts, status=200, kind=relay.EVENT_STREAM):
        self.status = status
        self.headers = self.joined_headers = {"content-type": kind}
        self._parts = list(parts)

    async def read(self):
        part = self._parts.pop(0) if self._parts else b""
        if part is None:
            raise exceptions.BackendCut("broken off")
        return part

    async def finish(self):
        return


def relay_answers(*answers):
    """Relay answers until one is whole; return relay, body and errors."""
    sent = []

    async def send(message):
        sent.append(message.get("body", b""))

    caller_answer = relay.Relay(send, "id", event_ids.EventIdTracker(), {})
    errors = []

    async def main():
        for answer in answers:
            is_stream = answer.status < 300
            try:
                if is_stream:
                    await caller_answer.copy_events(answer)
                else:
                    await caller_answer.copy_whole(answer, is_json=False)
            except exceptions.BackendCut as error:
                errors.append(error)

    trio.run(main)
    return caller_answer, b"".join(sent), errors


class TestAnswersAfterAStreamHasBegun:
    # Reports (ORDER, MIXED): the text or head of a later answer stood in the
    # middle of a stream, or ended it as complete.
    FIRST = b"id: 1\ndata: a\n\n"
    LAST = b"id: 2\ndata: b\n\n"

    @pytest.mark.parametrize(
        "parts",
        [
            (),
            (b"",),
            (b"overloaded",),
            (b"overloaded\n\n",),
            (b'data: {"error": "overloaded"}\n\n',),
            (b"HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno\n\n",),
            (b": still here\n\n",),
            (b"id: 1\ndata: a\n\n",),
        ],
    )
    def test_only_its_next_event_is_relayed(self, parts):
        broken, sound = Answer(self.FIRST, None), Answer(self.LAST)
        caller_answer, body, errors = relay_answers(
            broken, Answer(*parts), sound
        )
        assert body.replace(b": still here\n\n", b"") == self.FIRST + self.LAST
        assert len(errors) == 2
        assert caller_answer.is_whole

    def test_stream_without_any_event_is_not_complete(self):
        caller_answer, body, errors = relay_answers(Answer())
        assert (body, len(errors)) == (b"", 1)
        assert caller_answer.may_go_on

    def test_failure_that_broke_off_does_not_go_on_with_a_stream(self):
        # Review, the sixth case (commit ce15eb6).
        part = b"x" * (relay.MAX_BUFFERED_BYTES + 1)
        failure = Answer(part, None, status=400, kind="text/plain")
        caller_answer, body, errors = relay_answers(failure)
        assert (body, len(errors)) == (part, 1)
        assert not caller_answer.may_go_on

    def test_stream_that_broke_off_may_go_on(self):
        caller_answer, _, _ = relay_answers(Answer(self.FIRST, None))
        assert caller_answer.may_go_on
