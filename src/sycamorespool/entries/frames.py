"""Puts the messages between entries into authenticated frames.

A frame is an HMAC-SHA256 under the key that all entries share, followed by
an envelope in MessagePack.  Size and HMAC are checked before anything is
decoded, so bytes from a sender without the key change nothing::

    codec = Codec(b"key", "entry-1", incarnation)
    data = seal_request(codec, message)
    request = open_request(other, data)
    reply = open_reply(codec, seal_reply(other, answer, request), data)

A reply holds the HMAC of its request.  A request that was received before
is rejected.  After a restart a replayed request may be accepted once, which
is harmless because asks and pings carry their own order.
"""

import collections
import dataclasses
import hashlib
import hmac
import typing as t

import msgspec

from sycamorespool import decoding
from sycamorespool.entries import messages
from sycamorespool import exceptions

MAC_BYTES = 32
MAX_FRAME_BYTES = 256 * 1024
# How far a frame's number may be behind the highest one received from its
# sender; a frame further behind is rejected.
REPLAY_WINDOW = 1024
# Senders whose frames are tracked; the least recent ones are forgotten.
MAX_SENDERS = 2048


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Holds a message and what binds it to its sender and request.

    Parameters
    ----------
    sender : str
        Name of the sending entry.
    incarnation, sequence : int
        Incarnation of the sending process, and the number of the frame
        among those it has sent.
    in_reply_to : bytes
        The HMAC of the request that this replies to; empty in a request.
    message : messages.Message
        The message.
    """

    sender: str
    incarnation: int
    sequence: int
    in_reply_to: bytes
    message: messages.Message


class Request(t.NamedTuple):
    """Holds an authentic request; ``mac`` is the HMAC of its frame."""

    sender: str
    message: messages.Message
    mac: bytes


@dataclasses.dataclass(slots=True)
class _ReplayWindow:
    """Records which frames of a sender's process were received.

    ``highest`` is the highest number received.  Bit n of ``seen`` is set if
    the frame with number ``highest - n`` was received.
    """

    incarnation: int
    highest: int = -1
    seen: int = 0


@dataclasses.dataclass(slots=True)
class Codec:
    """Holds the shared key and the state of one process's frames.

    Parameters
    ----------
    key : bytes
        The key that all entries share.
    entry : str
        Name of this entry.
    incarnation : int
        Incarnation of this process.
    sequence : int
        Number of the frame that was sent last.
    windows : collections.OrderedDict
        Which frames were received, by sender.
    """

    key: bytes
    entry: str
    incarnation: int
    sequence: int = 0
    windows: collections.OrderedDict[str, _ReplayWindow] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def _make_mac(codec: Codec, body: bytes | memoryview) -> bytes:
    return hmac.digest(codec.key, body, hashlib.sha256)


def _seal(
    codec: Codec, message: messages.Message, in_reply_to: bytes
) -> bytes:
    codec.sequence += 1
    body = _encoder.encode(
        Envelope(
            codec.entry,
            codec.incarnation,
            codec.sequence,
            in_reply_to,
            message,
        )
    )
    return _make_mac(codec, body) + body


def _open(codec: Codec, data: bytes) -> Envelope:
    if not MAC_BYTES < len(data) <= MAX_FRAME_BYTES:
        raise exceptions.PeerRejected(
            f"frame size is invalid: {len(data)} bytes"
        )
    body = data[MAC_BYTES:]
    if not hmac.compare_digest(data[:MAC_BYTES], _make_mac(codec, body)):
        raise exceptions.PeerRejected("frame is not authentic")
    try:
        return decoding.decode(_decoder.decode, body)
    except exceptions.Undecodable as error:
        raise exceptions.PeerRejected(str(error)) from error


def _is_first_receipt(codec: Codec, envelope: Envelope) -> bool:
    window = codec.windows.get(envelope.sender)
    if window is None or window.incarnation < envelope.incarnation:
        window = _ReplayWindow(envelope.incarnation)
        codec.windows[envelope.sender] = window
    codec.windows.move_to_end(envelope.sender)
    if len(codec.windows) > MAX_SENDERS:
        codec.windows.popitem(last=False)
    if window.incarnation > envelope.incarnation:
        return False
    ahead = envelope.sequence - window.highest
    if ahead > 0:
        # A frame far ahead clears the window; min() bounds the integer.
        shifted = window.seen << min(ahead, REPLAY_WINDOW)
        window.seen = (shifted | 1) & ((1 << REPLAY_WINDOW) - 1)
        window.highest = envelope.sequence
        return True
    bit = 1 << -ahead if -ahead < REPLAY_WINDOW else 0
    if not bit or window.seen & bit:
        return False
    window.seen |= bit
    return True


def seal_request(codec: Codec, message: messages.Message) -> bytes:
    """Return the frame of a request."""
    return _seal(codec, message, b"")


def open_request(codec: Codec, data: bytes) -> Request:
    """Check a frame and return the request in it.

    Raises
    ------
    PeerRejected
        If the frame is too large, not authentic, malformed, not a request,
        or was received before.
    """
    envelope = _open(codec, data)
    if envelope.in_reply_to:
        raise exceptions.PeerRejected("frame holds a reply, not a request")
    if not _is_first_receipt(codec, envelope):
        raise exceptions.PeerRejected("request was received before")
    return Request(envelope.sender, envelope.message, data[:MAC_BYTES])


def seal_reply(
    codec: Codec, message: messages.Message, request: Request
) -> bytes:
    """Return the frame of the reply to a request."""
    return _seal(codec, message, request.mac)


def open_reply(codec: Codec, data: bytes, request: bytes) -> messages.Message:
    """Check a frame and return the reply in it.

    Parameters
    ----------
    codec : Codec
        The state of this process.
    data : bytes
        The frame that was received.
    request : bytes
        The frame of the request that was sent.

    Raises
    ------
    PeerRejected
        If the frame is not an authentic reply to this request.
    """
    envelope = _open(codec, data)
    if envelope.in_reply_to != request[:MAC_BYTES]:
        raise exceptions.PeerRejected("frame is a reply to another request")
    return envelope.message
