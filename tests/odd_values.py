"""Makes odd records of sound ones, as other writers may leave them."""

import msgspec

DEEP = 3_000
# In JSON, as some have no value in Python that can be encoded.
ODD_VALUES = [
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b"9" * 30,
    b"9" * 6000,
    b"-" + b"9" * 30,
    b"18446744073709551615",
    b"18446744073709551616",
    b"9223372036854775808",
    b"-1",
    b"1e308",
    b"1e999",
    b"0.5",
    b"null",
    b"true",
    b'""',
    b'"x"',
    b'"\\u0000\\n"',
    b'"\\ud800"',
    b'"\xff"',
    b"[]",
    b"{}",
    b'[1,"a"]',
]
# Bytes that are no value at all.
ODD_BYTES = [b"", b"{", b"\xff\xfe", b'"' + b"a" * 70_000]
_MARK = "odd value stands here"


def _replace_each(value):
    """Yield copies of a value in which one part is marked."""
    yield _MARK
    if isinstance(value, dict):
        for name, part in value.items():
            for changed in _replace_each(part):
                yield {**value, name: changed}
        yield {**value, "another": _MARK}
    elif isinstance(value, (list, tuple)):
        for number, part in enumerate(value):
            for changed in _replace_each(part):
                yield [*value[:number], changed, *value[number + 1 :]]
        yield [*value, _MARK]


def list_records(sound):
    """Return JSON texts, each with one odd value at one place of a record."""
    marked = [msgspec.json.encode(v) for v in _replace_each(sound)]
    mark = msgspec.json.encode(_MARK)
    return ODD_BYTES + [
        text.replace(mark, odd) for text in marked for odd in ODD_VALUES
    ]
