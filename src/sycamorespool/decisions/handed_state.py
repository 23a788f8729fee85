"""Combines what other entries know beyond a read of the store.

The store may have been restored from a copy that lacks the newest records, or
may have carried out a write late.  An entry that starts asks a few others::

    found = combine(answers)
    if found.version > known_version:
        ...  # apply found.config
    gone = find_gone(found, listed)
    registry.apply_removed(servers, gone, now_s)
"""

from collections import abc
import dataclasses
import itertools
import math

from sycamorespool.decisions import registry

# The most servers that are handed over of either kind; of the removed ones
# the last.
MAX_SERVERS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class HandedState:
    """Holds what one entry, or several together, hand over.

    Parameters
    ----------
    version : int
        Version of the newest configuration that they have; 0 if none.
    config : bytes or None
        The record of that configuration; None if it is not newer than the
        one of the entry that asked.
    removed, known : tuple of LastSeen
        Servers that left lately, and those that are in the registry.
    evacuated : frozenset of str
        Data centres whose evacuation a restored store lacks.
    hold_s : float
        How long these evacuations stay in force without the store.
    """

    version: int = 0
    config: bytes | None = None
    removed: tuple[registry.LastSeen, ...] = ()
    known: tuple[registry.LastSeen, ...] = ()
    evacuated: frozenset[str] = frozenset()
    hold_s: float = 0.0


def combine(answers: abc.Iterable[HandedState]) -> HandedState:
    """Return what several entries know together.

    Of two configurations the higher version counts, and of two statements of
    a server that with the later heartbeat.
    """
    answers = list(answers)
    newest = max(
        answers, key=lambda answer: answer.version, default=HandedState()
    )
    return HandedState(
        newest.version,
        newest.config,
        _keep_last(server for a in answers for server in a.removed),
        _keep_last(server for a in answers for server in a.known),
        frozenset[str]().union(*(answer.evacuated for answer in answers)),
        max((answer.hold_s for answer in answers), default=0.0),
    )


def _keep_last(
    servers: abc.Iterable[registry.LastSeen],
) -> tuple[registry.LastSeen, ...]:
    found: dict[str, registry.LastSeen] = {}
    for server in servers:
        before = found.get(server.backend_id)
        if before is None or server.last > before.last:
            found[server.backend_id] = server
    return tuple(found.values())


def find_gone(
    state: HandedState, listed: abc.Container[str]
) -> tuple[registry.LastSeen, ...]:
    """Return the servers that have left, for an entry that starts.

    Parameters
    ----------
    listed : container of str
        The servers that the store lists.  One that others know and the store
        no longer lists has left, though they may not have read that yet.
    """
    left = [s for s in state.known if s.backend_id not in listed]
    return (*state.removed, *left)


def list_removed(
    servers: registry.Registry, now_s: float
) -> tuple[registry.LastSeen, ...]:
    """Return the servers that left lately, the last ones first."""
    found = [
        registry.LastSeen(backend_id, removed.last, now_s - removed.removed_s)
        for backend_id, removed in servers.removed.items()
        if now_s - removed.removed_s <= registry.REMOVED_KEEP_S
    ]
    found.sort(key=lambda server: server.age_s)
    return tuple(found[:MAX_SERVERS])


def list_known(
    servers: registry.Registry,
) -> tuple[registry.LastSeen, ...]:
    """Return the servers in the registry with their last entries."""
    found = itertools.islice(servers.servers.items(), MAX_SERVERS)
    return tuple(
        registry.LastSeen(
            backend_id,
            registry.Instant(backend.started_ms, backend.sequence),
            0.0,
        )
        for backend_id, backend in found
    )


@dataclasses.dataclass(slots=True)
class Handover:
    """Holds what this entry has learnt, and what it would hand over.

    Parameters
    ----------
    learnt : dict
        What others told after the first read of a timeline, by timeline.
    config : bytes
        The record of the configuration in force; empty if there is none.
    hold_end_s : float
        Until when evacuations that a restored store lacks stay in force;
        infinite if none is held.
    """

    learnt: dict[int, HandedState] = dataclasses.field(default_factory=dict)
    config: bytes = b""
    hold_end_s: float = math.inf
