import types

import pytest

from sycamorespool import asgi
from sycamorespool.requests import calls


# HOME: homes of a route and of a workspace with nothing in common were taken
# for none at all.
@pytest.mark.parametrize(
    ("route", "workspace", "allowed"),
    [
        ((), (), None),
        (("a", "b"), (), {"a", "b"}),
        ((), ("b",), {"b"}),
        (("a", "b"), ("b", "c"), {"b"}),
        (("a",), ("c",), set()),
    ],
)
def test_homes_of_route_and_workspace_both_bind(route, workspace, allowed):
    call = calls.Call(
        types.SimpleNamespace(model="m"),
        types.SimpleNamespace(regions=frozenset(route)),
        types.SimpleNamespace(regions=frozenset(workspace)),
        "s",
        1,
        0.0,
        9.0,
    )
    request = call.make_placement_request(frozenset())
    assert request.allowed_regions == allowed


# UNASKED: the mark of an empty query was dropped.
@pytest.mark.parametrize("target", [b"/a", b"/a?", b"/a?b=1", b"/%41?c"])
def test_target_is_passed_on_as_it_was_received(target):
    path, _, query = target.partition(b"?")
    scope = {
        "method": "GET",
        "path": path.decode(),
        "raw_path": path,
        "query_string": query,
        "headers": [],
        "extensions": {asgi.RAW_TARGET: {"target": target}},
    }
    assert asgi.make_request(scope).target == target.decode()
