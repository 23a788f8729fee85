import types

import pytest

from sycamorespool import backends
from sycamorespool.peers import peer_calls
from sycamorespool.platform import headers

SERVER = backends.Backend(
    "i-1", "s", "10.0.0.1:80", "dc", 1, False, started_ms=7
)
PEER = backends.Backend("entry/e-2", "s", "10.0.0.2:80", "dc", 1, False)
CONTEXT = types.SimpleNamespace(
    registry=types.SimpleNamespace(servers={"i-1": SERVER})
)


@pytest.mark.parametrize(
    ("backend", "served_by", "found"),
    [
        (SERVER, "", SERVER),
        (SERVER, "i-9,7", SERVER),
        (PEER, "i-1,7", SERVER),
        (PEER, "i-1,6", None),
        (PEER, "i-9,7", None),
        # Builds before this one name no server.
        (PEER, "", None),
        (PEER, "i-1,x", None),
        (PEER, "i-1," + "9" * 6000, None),
    ],
)
def test_server_that_answered_is_found(backend, served_by, found):
    named = {headers.SERVED_BY: served_by} if served_by else {}
    assert peer_calls.find_server(CONTEXT, backend, named) is found


def test_callers_are_not_told_of_it():
    named = headers.encode_served_by(SERVER)
    assert headers.select_answer_headers({**named, "a": "b"}) == {"a": "b"}
    assert headers.select_peer_headers(named) == named
