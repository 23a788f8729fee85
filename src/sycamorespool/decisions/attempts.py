"""One caller's stream over several attempts.

Each try of a request has an id.  Only the current attempt may add to the
stream, and only from the token at which the caller's stream stands::

    stream = TokenStream()
    start = begin(stream, "a1")          # 0: from the first token
    accept(stream, "a1", 0, 3)           # pass three tokens on
    start = begin(stream, "a2")          # 3: the first attempt was cut
    accept(stream, "a1", 3, 1)           # late: nothing is passed on
"""

import dataclasses
import enum


class Verdict(enum.StrEnum):
    """What is done with tokens that arrive."""

    DELIVER = "deliver"
    DROP = "drop"
    CUT = "cut"


@dataclasses.dataclass(slots=True)
class TokenStream:
    """What the caller has got.

    Parameters
    ----------
    delivered : int
        Tokens passed on to the caller.
    dropped : int
        Arrivals of attempts that were given up, or after the end.
    """

    attempt_id: str = ""
    delivered: int = 0
    is_ended: bool = False
    dropped: int = 0


def begin(stream: TokenStream, attempt_id: str) -> int:
    """Make an attempt the current one; return the token it starts at."""
    stream.attempt_id = attempt_id
    return stream.delivered


def accept(
    stream: TokenStream, attempt_id: str, offset: int, count: int
) -> tuple[Verdict, int]:
    """Decide on ``count`` tokens that begin at ``offset``.

    Returns
    -------
    Verdict
        ``CUT`` if tokens are missing before them: the attempt is useless.
    int
        How many of the first tokens the caller has already.
    """
    if attempt_id != stream.attempt_id or stream.is_ended:
        stream.dropped += 1
        return Verdict.DROP, count
    if offset > stream.delivered:
        return Verdict.CUT, 0
    known = min(count, stream.delivered - offset)
    stream.delivered += count - known
    return Verdict.DELIVER, known


def finish(stream: TokenStream, attempt_id: str) -> Verdict:
    """Decide on the end of stream that an attempt gives."""
    if attempt_id != stream.attempt_id or stream.is_ended:
        stream.dropped += 1
        return Verdict.DROP
    stream.is_ended = True
    return Verdict.DELIVER


def split_events(held: bytes, chunk: bytes) -> tuple[bytes, bytes, int]:
    """Split what has arrived after its last whole event.

    A caller gets whole events only, so that a stream that is cut within
    one can be resumed at a token.

    Returns
    -------
    bytes
        Whole events.
    bytes
        The begun event, to be held.
    int
        Number of whole events.
    """
    data = held + chunk if held else chunk
    if data.endswith(b"\n\n"):
        return data, b"", data.count(b"\n\n")
    whole, separator, rest = data.rpartition(b"\n\n")
    whole += separator
    return whole, rest, whole.count(b"\n\n")
