"""Authenticated frames around the messages between entries.

A frame is an HMAC-SHA256 under the key that all entries share, and the
MessagePack form of an envelope.  Size and HMAC are checked before anything
is decoded, so a stranger's bytes change nothing::

    codec = Codec(b"key", "entry-1", incarnation)
    data = seal_request(codec, message)
    request = open_request(other, data)
    reply = open_reply(codec, seal_reply(other, answer, request), data)

A reply is bound to its request.  A request that was seen before is
rejected; after a restart a replayed one may pass once, which is harmless
because asks and pings carry their own order.
"""

import collections
import dataclasses
import hashlib
import hmac
import typing as t

import msgspec

from sycamorespool.entries import messages
from sycamorespool import exceptions

MAC_BYTES = 32
MAX_FRAME_BYTES = 256 * 1024
REPLAY_WINDOW = 1024
MAX_SENDERS = 2048


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What is sealed.

    Parameters
    ----------
    sender : str
        Name of the sending entry.
    incarnation, sequence : int
        Start number of the process, and number of the frame within it.
    in_reply_to : bytes
        The HMAC of the request, empty for a request.
    message : messages.Message
        The message.
    """

    sender: str
    incarnation: int
    sequence: int
    in_reply_to: bytes
    message: messages.Message


class Request(t.NamedTuple):
    """An authentic request."""

    sender: str
    message: messages.Message
    mac: bytes


@dataclasses.dataclass(slots=True)
class _Window:
    """Which frames of a sender's process were seen.

    ``seen`` has bit n set if the frame ``highest - n`` was seen.
    """

    incarnation: int
    highest: int = -1
    seen: int = 0


@dataclasses.dataclass(slots=True)
class Codec:
    """The key and the state of one process.

    Parameters
    ----------
    key : bytes
        The key that all entries share.
    entry : str
        Name of this entry.
    incarnation : int
        Start number of this process.
    """

    key: bytes
    entry: str
    incarnation: int
    sequence: int = 0
    windows: collections.OrderedDict[str, _Window] = dataclasses.field(
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
        raise exceptions.PeerRejected(f"frame of {len(data)} bytes")
    body = data[MAC_BYTES:]
    if not hmac.compare_digest(data[:MAC_BYTES], _make_mac(codec, body)):
        raise exceptions.PeerRejected("frame is not authentic")
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.PeerRejected(str(error)) from error


def _is_fresh(codec: Codec, envelope: Envelope) -> bool:
    window = codec.windows.get(envelope.sender)
    if window is None or window.incarnation < envelope.incarnation:
        window = _Window(envelope.incarnation)
        codec.windows[envelope.sender] = window
    codec.windows.move_to_end(envelope.sender)
    if len(codec.windows) > MAX_SENDERS:
        codec.windows.popitem(last=False)
    if window.incarnation > envelope.incarnation:
        return False
    ahead = envelope.sequence - window.highest
    if ahead > 0:
        # A frame far ahead clears the window; the shift is bounded.
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
    """Return the request that a frame holds.

    Raises
    ------
    PeerRejected
        If the frame is too large, not authentic, malformed, no request, or
        was seen before.
    """
    envelope = _open(codec, data)
    if envelope.in_reply_to:
        raise exceptions.PeerRejected("a reply came as a request")
    if not _is_fresh(codec, envelope):
        raise exceptions.PeerRejected("request was seen before")
    return Request(envelope.sender, envelope.message, data[:MAC_BYTES])


def seal_reply(
    codec: Codec, message: messages.Message, request: Request
) -> bytes:
    """Return the frame of the reply to a request."""
    return _seal(codec, message, request.mac)


def open_reply(codec: Codec, data: bytes, request: bytes) -> messages.Message:
    """Return the reply that a frame holds.

    Parameters
    ----------
    codec : Codec
        The state of this process.
    data : bytes
        The frame that came.
    request : bytes
        The frame that was sent.

    Raises
    ------
    PeerRejected
        If the frame is no authentic reply to this request.
    """
    envelope = _open(codec, data)
    if envelope.in_reply_to != request[:MAC_BYTES]:
        raise exceptions.PeerRejected("reply to another request")
    return envelope.message
