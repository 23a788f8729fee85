"""Listens for callers while the program is still being loaded.

An entry takes most of its start to import libraries.  When all entries start
at once, as after a loss of power, callers would be refused everywhere; the
connections of those that come meanwhile wait here instead.  This module
imports the standard library only, so that it is there first::

    listening = listen_for_callers("/etc/entry.ini")
"""

import configparser
import contextlib
import socket

BACKLOG = 1024


def parse_address(
    address: str,
) -> tuple[socket.AddressFamily, tuple[str, int]]:
    """Return the family, and what to bind or connect to, of an ``IP:port``."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return family, (host, int(port))


def listen(address: str) -> socket.socket:
    """Return a socket that listens on an ``IP:port`` and never blocks.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    family, target = parse_address(address)
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind(target)
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening


def listen_for_callers(path: str) -> dict[str, socket.socket]:
    """Listen on the callers' address of a settings file, by that address.

    Nothing listens if the file or the address is not valid: the program
    itself reports that once it is loaded.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    with contextlib.suppress(
        configparser.Error, OSError, UnicodeDecodeError, ValueError
    ):
        with open(path, encoding="utf-8") as settings_file:
            parser.read_file(settings_file)
        address = parser.get("listen", "callers")
        return {address: listen(address)}
    return {}
