"""Tests of a caller's stream over several attempts."""

import hypothesis
from hypothesis import strategies as st

from sycamorespool.decisions import attempts

RUN = hypothesis.settings(derandomize=True, database=None, deadline=None)
TOKENS = [b"t%d" % number for number in range(6)]


def encode(tokens):
    return b"".join(b"data: " + token + b"\n\n" for token in tokens)


def relay(cuts, steps, is_bound=True, is_offset_kept=True):
    """Relay a stream that is cut at byte offsets; return what is got.

    The bytes of a given-up attempt come back after the next one began.
    """
    stream = attempts.TokenStream()
    got = b""
    late = None
    for number, cut in enumerate([*cuts, None]):
        name = f"a{number}"
        offset = attempts.begin(stream, name)
        offset = offset if is_offset_kept else 0
        sent = encode(TOKENS[offset:])
        data, held = sent[:cut], b""
        if late is not None:
            got += pass_on(
                stream, late if is_bound else name, offset, b"late\n\n"
            )
        for begin in range(0, len(data), steps):
            piece = data[begin : begin + steps]
            whole, held, count = attempts.split_events(held, piece)
            got += pass_on(stream, name, offset, whole)
            offset += count
        late = name
    assert attempts.finish(stream, name) == "deliver"
    assert attempts.finish(stream, name) == "drop"
    return got


def pass_on(stream, name, offset, whole):
    count = whole.count(b"\n\n")
    verdict, known = attempts.accept(stream, name, offset, count)
    if verdict != "deliver":
        return b""
    events = whole.split(b"\n\n")[known:]
    return b"\n\n".join(events)


class TestStream:
    @RUN
    @hypothesis.given(
        st.lists(st.integers(0, 80), max_size=3),
        st.integers(1, 40),
    )
    def test_no_token_is_lost_doubled_or_mixed(self, cuts, steps):
        assert relay(cuts, steps) == encode(TOKENS)

    @RUN
    @hypothesis.given(
        st.lists(st.integers(0, 80), max_size=3), st.integers(1, 40)
    )
    def test_engine_that_ignores_the_offset_is_borne(self, cuts, steps):
        whole = relay(cuts, steps, is_offset_kept=False)
        assert whole == encode(TOKENS)

    def test_late_tokens_mix_in_without_the_binding(self):
        assert relay([30], 9) == encode(TOKENS)
        assert relay([30], 9, is_bound=False) != encode(TOKENS)

    def test_gap_cuts_the_attempt(self):
        stream = attempts.TokenStream("a", 3)
        assert attempts.accept(stream, "a", 4, 1) == ("cut", 0)
        assert attempts.accept(stream, "b", 3, 1) == ("drop", 1)
        assert (stream.delivered, stream.dropped) == (3, 1)
