"""Holds the backend servers known to an entry, from the platform's registry.

Registry entries are applied in the order of the platform's log, but for those
that are older than what is known of their server: a heartbeat without an
answer may be written seconds later, after newer ones and after the server has
left.  A server whose registry entry is removed right after an outage of the
registry is kept for a short time, since a server that is alive registers
again by itself::

    apply_entry(registry, "i-1", backend, now_s)
    groups = registry.groups_of("drafts")
"""

import collections
from collections import abc
import dataclasses
import math
import typing as t

from sycamorespool import backends

# A server that is alive is registered again about 2 s after an outage.
REMOVAL_HOLD_S = 2.2
# A removal this soon after an outage may be an effect of the outage.
POST_OUTAGE_S = 5.0
# No record is written later than this after it was sent.
LATE_WRITE_S = 10.0
# How long a removed server is remembered.  A copy from which the platform's
# store is restored is not older than this, and no entry is written later.
REMOVED_KEEP_S = 60.0


class Instant(t.NamedTuple):
    """Orders the registry entries of one server.

    Parameters
    ----------
    started_ms : int
        Start of the server, Unix milliseconds.
    sequence : int
        Number of its heartbeats since then.
    """

    started_ms: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """Holds the last registry entry's place and when it was dropped."""

    last: Instant
    removed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LastSeen:
    """Holds what another entry tells of a server.

    Parameters
    ----------
    last : Instant
        The last registry entry that was known of it.
    age_s : float
        Time since it was dropped; 0 if it is still known.
    """

    backend_id: str
    last: Instant
    age_s: float


@dataclasses.dataclass(slots=True)
class Group:
    """Holds the backend servers that report the same group and epoch.

    Parameters
    ----------
    members : dict
        Ids of the backend servers by rank.
    """

    name: str
    epoch: int
    members: dict[int, str] = dataclasses.field(default_factory=dict)

    @property
    def head(self) -> str | None:
        """Return the id of the head, None if no server reports rank 0."""
        return self.members.get(0)


@dataclasses.dataclass(slots=True)
class Registry:
    """Holds the newest registry entry of each backend server.

    Parameters
    ----------
    servers : dict
        The backend servers by id.
    last_heartbeat_s : dict
        When the newest registry entry of a server was read, by id.
    cold_until_s : dict
        When a server has warmed up and bears its full load, by id.
    removal_due_s : dict
        When a server whose registry entry was removed is dropped, by id.
    removed : dict
        The servers that were dropped lately, by id.
    outage_end_s : float
        Until when the registry could not be read, at the last outage.
    generation : int
        Incremented by each change except a heartbeat; the indexes of
        groups and services are rebuilt when it differs.
    """

    servers: dict[str, backends.Backend] = dataclasses.field(
        default_factory=dict
    )
    last_heartbeat_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    cold_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    removal_due_s: dict[str, float] = dataclasses.field(default_factory=dict)
    removed: dict[str, Removed] = dataclasses.field(default_factory=dict)
    outage_end_s: float = -math.inf
    generation: int = 0
    _groups_by_service: dict[str, list[Group]] = dataclasses.field(
        default_factory=dict
    )
    _servers_by_service: dict[str, list[backends.Backend]] = dataclasses.field(
        default_factory=dict
    )
    _indexed_generation: int = -1

    def groups_of(self, service: str) -> list[Group]:
        """Return the groups that servers of a service report."""
        self._refresh()
        return self._groups_by_service.get(service, [])

    def servers_of(self, service: str) -> list[backends.Backend]:
        """Return the backend servers of a service."""
        self._refresh()
        return self._servers_by_service.get(service, [])

    def _refresh(self) -> None:
        if self._indexed_generation == self.generation:
            return
        self._indexed_generation = self.generation
        self._groups_by_service.clear()
        self._servers_by_service.clear()
        found: dict[tuple[str, str, int], Group] = {}
        for backend in self.servers.values():
            self._servers_by_service.setdefault(backend.service, []).append(
                backend
            )
            member = backend.membership
            if member is None:
                continue
            key = (backend.service, member.group, member.epoch)
            group = found.get(key)
            if group is None:
                group = found[key] = Group(member.group, member.epoch)
                self._groups_by_service.setdefault(backend.service, []).append(
                    group
                )
            group.members[member.rank] = backend.backend_id


def note_outage_end(registry: Registry, now_s: float) -> None:
    """Record that the registry could not be read until now."""
    registry.outage_end_s = now_s


def apply_entry(
    registry: Registry,
    backend_id: str,
    backend: backends.Backend | None,
    now_s: float,
) -> bool:
    """Apply a new registry entry, or its removal if ``backend`` is None.

    Return False for an entry that is older than what is known of the server,
    which changes nothing.
    """
    if backend is None:
        _remove(registry, backend_id, now_s)
        return True
    is_outdated = _is_outdated(registry, backend)
    if is_outdated and not _is_known_ahead(registry, backend_id, now_s):
        return False
    before = registry.servers.get(backend_id)
    registry.last_heartbeat_s[backend_id] = now_s
    registry.removal_due_s.pop(backend_id, None)
    if backend.cold_left_s > 0:
        registry.cold_until_s[backend_id] = now_s + backend.cold_left_s
    registry.servers[backend_id] = backend
    if before is None or not _is_heartbeat(before, backend):
        registry.generation += 1
    return True


def _is_heartbeat(before: backends.Backend, after: backends.Backend) -> bool:
    return (
        dataclasses.replace(
            after,
            sequence=before.sequence,
            cold_left_s=before.cold_left_s,
        )
        == before
    )


def _remove(registry: Registry, backend_id: str, now_s: float) -> None:
    if backend_id not in registry.servers:
        return
    if now_s - registry.outage_end_s <= POST_OUTAGE_S:
        until_s = max(now_s, registry.outage_end_s + REMOVAL_HOLD_S)
        registry.removal_due_s.setdefault(backend_id, until_s)
    else:
        registry.removal_due_s[backend_id] = now_s
    forget_removed(registry, now_s)


def forget_removed(registry: Registry, now_s: float) -> list[str]:
    """Drop the servers whose removal is due and return their ids."""
    due = [i for i, s in registry.removal_due_s.items() if s <= now_s]
    for backend_id in due:
        del registry.removal_due_s[backend_id]
        backend = registry.servers.pop(backend_id, None)
        if backend is not None:
            registry.removed[backend_id] = Removed(_instant(backend), now_s)
        registry.last_heartbeat_s.pop(backend_id, None)
        registry.cold_until_s.pop(backend_id, None)
        registry.generation += 1
    if due:
        _prune_removed(registry, now_s)
    return due


def _prune_removed(registry: Registry, now_s: float) -> None:
    registry.removed = {
        backend_id: removed
        for backend_id, removed in registry.removed.items()
        if now_s - removed.removed_s <= REMOVED_KEEP_S
    }


def _instant(backend: backends.Backend) -> Instant:
    return Instant(backend.started_ms, backend.sequence)


def _is_known_ahead(registry: Registry, backend_id: str, now_s: float) -> bool:
    """Tell whether what is known of a server must be of another writer.

    Its own entries come, but none was newer for ``LATE_WRITE_S``.
    """
    if backend_id not in registry.servers:
        return False
    known_s = registry.last_heartbeat_s[backend_id]
    return now_s - max(known_s, registry.outage_end_s) > LATE_WRITE_S


def _is_outdated(registry: Registry, backend: backends.Backend) -> bool:
    """Tell whether an entry is older than what is known of its server.

    That of a server that was dropped has to be newer than its last one.
    """
    known = registry.servers.get(backend.backend_id)
    if known is not None:
        # Servers write a repeated heartbeat unchanged, but no process that
        # drains becomes ready again.
        if known.is_draining:
            return _instant(backend) <= _instant(known)
        return _instant(backend) < _instant(known)
    removed = registry.removed.get(backend.backend_id)
    return removed is not None and _instant(backend) <= removed.last


def apply_restored(
    registry: Registry,
    entries: abc.Mapping[str, backends.Backend | None],
    now_s: float,
) -> None:
    """Apply a full listing of a registry that was restored from a copy.

    The copy shows the servers as they were some seconds ago.  What is known
    to be newer stays in force: a server that drains or is gone does not come
    back by its old entry, and one that the copy lacks is kept for as long as
    after an outage.
    """
    note_outage_end(registry, now_s)
    for backend_id in list(registry.servers):
        if backend_id not in entries:
            _remove(registry, backend_id, now_s)
    _apply_newer(registry, entries, now_s)


def replace_all(
    registry: Registry,
    entries: abc.Mapping[str, backends.Backend | None],
    now_s: float,
) -> None:
    """Apply a full listing of the registry, after its log expired.

    Parameters
    ----------
    entries : mapping
        The newest entry by id, None for one that cannot be read and changes
        nothing.
    """
    for backend_id in list(registry.servers):
        if backend_id not in entries:
            _remove(registry, backend_id, now_s)
    _apply_newer(registry, entries, now_s)


def _apply_newer(
    registry: Registry,
    entries: abc.Mapping[str, backends.Backend | None],
    now_s: float,
) -> None:
    for backend_id, backend in entries.items():
        if backend is not None and not _is_outdated(registry, backend):
            apply_entry(registry, backend_id, backend, now_s)


def apply_removed(
    registry: Registry, removed: abc.Iterable[LastSeen], now_s: float
) -> None:
    """Apply what other entries know of servers that have left.

    A server whose registry entry is newer than that stays; one that is not,
    came back by a late record and is dropped.
    """
    for server in removed:
        removed_s = now_s - server.age_s
        known = registry.servers.get(server.backend_id)
        before = registry.removed.get(server.backend_id)
        is_newer = known is not None and _instant(known) > server.last
        is_known = before is not None and before.last >= server.last
        if is_newer or is_known or server.age_s > REMOVED_KEEP_S:
            continue
        if known is not None:
            registry.removal_due_s[server.backend_id] = now_s
            forget_removed(registry, now_s)
        registry.removed[server.backend_id] = Removed(server.last, removed_s)


def list_members(
    registry: Registry, head: backends.Backend
) -> list[backends.Backend]:
    """Return the members of a head's group, including the head."""
    own = head.membership
    if own is None:
        return [head]
    return [
        backend
        for backend in registry.servers_of(head.service)
        if (member := backend.membership)
        and (member.group, member.epoch) == (own.group, own.epoch)
    ]


def group_by_domain(
    registry: Registry, service: str
) -> dict[str, list[backends.Backend]]:
    """Return a service's backend servers by fabric domain."""
    domains: dict[str, list[backends.Backend]] = collections.defaultdict(list)
    for backend in registry.servers_of(service):
        if backend.domain:
            domains[backend.domain].append(backend)
    return dict(domains)
