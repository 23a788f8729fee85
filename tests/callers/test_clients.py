"""Tests of the bounds that an entry's settings give its callers."""

import resource

import pytest

from sycamorespool.callers import clients
from sycamorespool import settings


@pytest.mark.parametrize(
    ("kernel", "given", "connections"),
    [
        (1024, 0, 460),
        (65536, 4100, 1845),
        (256, 4100, 96),
        (resource.RLIM_INFINITY, 4100, 1845),
        (resource.RLIM_INFINITY, 0, 29491),
        (32, 0, 1),
    ],
)
def test_connections_leave_descriptors_for_requests(
    monkeypatch, kernel, given, connections
):
    # Without one for its request at a server, a caller cannot be served.
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (kernel, kernel))
    limits = settings.LimitsSection(max_descriptors=given)
    assert clients.find_max_connections(limits) == connections


@pytest.mark.parametrize(
    ("values", "held_mb"),
    [({}, 64), ({"memory_mb": 200.0}, 80), ({"held_mb": 10.0}, 10)],
)
def test_memory_of_callers_is_a_part_of_the_machine(values, held_mb):
    limits = settings.LimitsSection(**values)
    assert clients.find_held_bytes(limits) == held_mb * 1024 * 1024
