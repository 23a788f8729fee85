"""Tests of what keeps a request from a server."""

import pytest

from sycamorespool import backends
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions import registry

Obstacle = candidates.Obstacle
NOW_S = 10.0


def make_state():
    """Return a group of two members, and a plain server."""
    known = registry.Registry()
    for vm_id, rank in (("head", 0), ("member", 1)):
        state = backends.MemberState.READY if rank else "open"
        membership = backends.Membership(
            "m@1", 1, rank, backends.MemberState(state)
        )
        server = backends.Backend(
            vm_id,
            "models",
            "10.0.0.1:80",
            "dc1",
            4,
            False,
            domain="d",
            membership=membership,
        )
        registry.apply_entry(known, vm_id, server, 0.0)
    plain = backends.Backend("plain", "shop", "10.0.0.2:80", "dc1", 4, False)
    registry.apply_entry(known, "plain", plain, 0.0)
    return placement_state.PlacementState(known, {"dc1": "r1"})


def block(state):
    state.blocked_until_s["head"] = NOW_S + 1.0


def pause(state):
    state.backoff_until_s["head"] = NOW_S + 1.0


def evacuate(state):
    state.evacuated.add("dc1")


def leave(state):
    state.leaving_ms["head"] = 0


def lose_member(state):
    state.leaving_ms["member"] = 0


REQUEST = candidates.PlacementRequest("models", "m")
TRIED = candidates.PlacementRequest("models", "m", None, frozenset({"head"}))
FAR = candidates.PlacementRequest("models", "m", frozenset({"r2"}))


@pytest.mark.parametrize(
    ("change", "request_", "obstacle"),
    [
        (None, REQUEST, None),
        (block, REQUEST, Obstacle.BLOCKED),
        (pause, REQUEST, Obstacle.PAUSED),
        (evacuate, REQUEST, Obstacle.OUT_OF_SERVICE),
        (leave, REQUEST, Obstacle.MEMBER_LEAVES),
        (lose_member, REQUEST, Obstacle.MEMBER_LEAVES),
        (None, TRIED, Obstacle.TRIED),
        (None, FAR, Obstacle.OTHER_REGION),
    ],
)
def test_obstacle_keeps_the_request_away(change, request_, obstacle):
    # An explanation must name what placement acts on.
    state = make_state()
    if change is not None:
        change(state)
    [found] = candidates.examine(state, request_, NOW_S)
    assert (found.backend.backend_id, found.obstacle) == ("head", obstacle)
    usable = candidates.list_usable(state, request_, NOW_S)
    assert bool(usable) == (obstacle is None)
    eligible = candidates.list_eligible(state, request_, NOW_S)
    may_end = obstacle is None or obstacle in candidates.TEMPORARY
    assert bool(eligible) == may_end


def test_plain_server_needs_no_group():
    state = make_state()
    [found] = candidates.examine(
        state, candidates.PlacementRequest("shop"), NOW_S
    )
    assert (found.backend.backend_id, found.obstacle) == ("plain", None)
