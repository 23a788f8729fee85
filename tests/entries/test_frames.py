"""Tests of the authenticated frames between entries."""

import copy

import hypothesis
from hypothesis import strategies as st
import pytest

from sycamorespool.decisions import pings
from sycamorespool.entries import frames
from sycamorespool.entries import messages
from sycamorespool import exceptions
from sycamorespool import models

KEY = b"key"
FIXED = hypothesis.settings(derandomize=True, database=None, deadline=None)
UPDATE = pings.Update("e1", "a", "dc", 1, 0, pings.Status.ALIVE)
ASK = models.GrantAsk("e1", "domain/d", {"g": 1}, {"a": 2}, 1, 2.5, 2.0)
GRANT = models.Grant("g", "a", 1, 2, 2.0, "addr", "dc")
MESSAGES = [
    pings.Ping("e1", (UPDATE,)),
    pings.PingRequest("e1", "e2", (UPDATE,), pings.LogView(3, 1, False)),
    pings.Ack("e1", (), is_reached=False),
    messages.GrantsRequest(ASK, 1),
    messages.GrantsReply(models.GrantAnswer("domain/d", 4, (GRANT,))),
    messages.Done(),
    messages.Refused("why"),
]


def make_codecs():
    return frames.Codec(KEY, "e1", 1), frames.Codec(KEY, "e2", 1)


def sign(body):
    return frames._make_mac(frames.Codec(KEY, "e1", 1), body) + body


class TestFrames:
    @pytest.mark.parametrize("message", MESSAGES)
    def test_request_and_reply_are_decoded_unchanged(self, message):
        one, two = make_codecs()
        data = frames.seal_request(one, message)
        request = frames.open_request(two, data)
        assert (request.sender, request.message) == ("e1", message)
        reply = frames.seal_reply(two, message, request)
        assert frames.open_reply(one, reply, data) == message

    def test_replayed_requests_and_replies_to_others_are_rejected(self):
        one, two = make_codecs()
        first = frames.seal_request(one, MESSAGES[0])
        second = frames.seal_request(one, MESSAGES[0])
        # Requests may arrive out of order; each is accepted once.
        request = frames.open_request(two, second)
        frames.open_request(two, first)
        reply = frames.seal_reply(two, messages.Done(), request)
        for data in (first, second, reply):
            with pytest.raises(exceptions.PeerRejected):
                frames.open_request(two, data)
        with pytest.raises(exceptions.PeerRejected):
            frames.open_reply(one, reply, first)
        assert frames.open_reply(one, reply, second) == messages.Done()

    def test_earlier_incarnation_and_late_frames_are_rejected(self):
        one, two = make_codecs()
        late = frames.seal_request(one, MESSAGES[0])
        one.sequence += frames.REPLAY_WINDOW
        frames.open_request(two, frames.seal_request(one, MESSAGES[0]))
        with pytest.raises(exceptions.PeerRejected):
            frames.open_request(two, late)
        one.incarnation += 1
        frames.open_request(two, frames.seal_request(one, MESSAGES[0]))
        one.incarnation -= 1
        with pytest.raises(exceptions.PeerRejected):
            frames.open_request(two, frames.seal_request(one, MESSAGES[0]))

    def test_frame_that_is_too_large_is_rejected(self):
        _, two = make_codecs()
        with pytest.raises(exceptions.PeerRejected):
            frames.open_request(two, bytes(frames.MAX_FRAME_BYTES + 1))


class TestInvalidFrames:
    @FIXED
    @hypothesis.given(data=st.binary(max_size=300), is_signed=st.booleans())
    def test_arbitrary_bytes_are_rejected_and_change_nothing(
        self, data, is_signed
    ):
        _, two = make_codecs()
        before = copy.deepcopy(two)
        frame = sign(data) if is_signed else data
        with pytest.raises(exceptions.PeerRejected):
            frames.open_request(two, frame)
        with pytest.raises(exceptions.PeerRejected):
            frames.open_reply(two, frame, bytes(40))
        assert two == before

    @FIXED
    @hypothesis.given(data=st.data(), message=st.sampled_from(MESSAGES))
    def test_frame_with_a_changed_byte_is_rejected(self, data, message):
        one, two = make_codecs()
        frame = bytearray(frames.seal_request(one, message))
        index = data.draw(st.integers(0, len(frame) - 1))
        frame[index] ^= data.draw(st.integers(1, 255))
        with pytest.raises(exceptions.PeerRejected):
            frames.open_request(two, bytes(frame))

    @FIXED
    @hypothesis.given(data=st.data(), message=st.sampled_from(MESSAGES))
    def test_authentic_but_damaged_body_is_decoded_or_rejected(
        self, data, message
    ):
        one, two = make_codecs()
        body = bytearray(frames.seal_request(one, message)[frames.MAC_BYTES :])
        for _ in range(data.draw(st.integers(1, 4))):
            index = data.draw(st.integers(0, len(body) - 1))
            body[index] = data.draw(st.integers(0, 255))
        try:
            request = frames.open_request(two, sign(bytes(body)))
        except exceptions.PeerRejected:
            return
        assert isinstance(request.message, messages.Message)
