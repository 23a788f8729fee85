"""Tests of the socket that takes callers while the program is loaded."""

import socket

import pytest

from examples import hosted_settings
from examples import processes
from sycamorespool import early_listening

NAMES = ("callers", "readiness", "metrics", "peers", "store")


def test_callers_can_connect_before_the_program_is_loaded(tmp_path):
    # Refused by all entries that start at once, they would give up.
    addresses = {name: processes.find_free_address() for name in NAMES}
    path = tmp_path / "entry.ini"
    path.write_text(hosted_settings.render(**addresses))
    listening = early_listening.listen_for_callers(str(path))
    assert set(listening) == {addresses["callers"]}
    _, target = early_listening.parse_address(addresses["callers"])
    with socket.create_connection(target, timeout=5.0) as caller:
        caller.sendall(b"GET")
        accepted, _ = listening[addresses["callers"]].accept()
        assert accepted.recv(3) == b"GET"
        accepted.close()
    listening[addresses["callers"]].close()


@pytest.mark.parametrize(
    "text",
    ["", "no section", "[listen]\ncallers = nowhere\n", "[listen]\nx = 1\n"],
)
def test_settings_that_are_not_valid_are_left_to_the_program(tmp_path, text):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    assert early_listening.listen_for_callers(str(path)) == {}
    assert early_listening.listen_for_callers("") == {}
