"""Keeps to the request rates that backend servers in need have named.

A server names how many requests a second it takes from all entries together.
The limit is divided among a few partitions of those that the store assigns
to the entries, chosen by rendezvous hashing for each server.  Each of them
has a token bucket that holds one token at most, and only the entry that holds
the partition may use it.  So the number of buckets, and with it the sum of
all bursts, depends on the limit and not on the number of entries::

    note_answer(state, "i-1", 0, Answer(2.5, sent_s), now_s)
    renew(state, {("share-0", 3)}, joined_s, 2.4, now_s)
    if find_wait_s(state, "i-1", 0, now_s) <= 0.0:
        note_sent(state, "i-1", now_s)

All times are of a clock that goes on while the process is suspended.
"""

from collections import abc
import dataclasses
import math
import typing as t

from sycamorespool.decisions.placing import share_leases
from sycamorespool.decisions import rendezvous

Partition: t.TypeAlias = tuple[str, int]

# Buckets of a limit: these, and one more for each request a second.
BASE_BUCKETS = 3
# A server that takes less gets a request so rarely nevertheless, as only its
# next answer tells when its limit ends.
MIN_PER_S = 0.1
# What this entry has seen this lately goes before reports that end or raise a
# limit, as these may be written late.
SEEN_S = 2.0
# How long the limit of a server that is not in the registry is kept.
GONE_KEEP_S = 60.0
# A limit that differs less from what all entries know is not reported again.
REPORTED_RATIO = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Holds what an answer of a server says of its limit.

    Parameters
    ----------
    per_s : float or None
        Requests a second from all entries; None if it names no limit.
    sent_s : float
        When the request was sent.
    """

    per_s: float | None
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Holds the limit that one process of a server has named.

    Parameters
    ----------
    per_s : float
        Requests a second from all entries.
    started_ms : int
        Start of the process, Unix milliseconds.
    sent_s : float
        When the request was sent whose answer named it.
    is_seen : bool
        Whether that was a request of this entry, and no report.
    """

    per_s: float
    started_ms: int
    sent_s: float = -math.inf
    is_seen: bool = False


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Holds the tokens that this entry has for one server.

    Parameters
    ----------
    chosen : frozenset
        The partitions that share the server's limit.
    tokens : float
        Requests that may be sent now; negative after others than these.
    filled_s : float
        Until when tokens were added.
    """

    chosen: frozenset[Partition]
    tokens: float
    filled_s: float


@dataclasses.dataclass(slots=True)
class ServerLimits:
    """Holds the known limits and this entry's part of them.

    Parameters
    ----------
    partitions : tuple
        All partitions that the store divides among the entries.
    limits : dict
        Limits by server id.
    reported : dict
        The limits that all entries know, by server id.
    usable_from_s : dict
        From when this entry may use the partitions that it holds.
    share : ShareLease
        How many these are, and until when they are its own.
    gone_s : dict
        Since when a limited server is not in the registry.
    """

    partitions: tuple[Partition, ...]
    limits: dict[str, Limit] = dataclasses.field(default_factory=dict)
    reported: dict[str, Limit] = dataclasses.field(default_factory=dict)
    usable_from_s: dict[Partition, float] = dataclasses.field(
        default_factory=dict
    )
    share: share_leases.ShareLease = dataclasses.field(
        default_factory=share_leases.ShareLease
    )
    gone_s: dict[str, float] = dataclasses.field(default_factory=dict)
    _buckets: dict[str, _Bucket] = dataclasses.field(default_factory=dict)


def count_buckets(per_s: float, partitions: int) -> int:
    """Return into how many token buckets a limit is divided."""
    return min(partitions, BASE_BUCKETS + math.floor(per_s))


def renew(
    state: ServerLimits,
    held: abc.Set[Partition],
    joined_s: float,
    ttl_s: float,
    now_s: float,
    is_restored: bool = False,
) -> None:
    """Renew the lease of the partitions that the store assigned.

    Parameters
    ----------
    joined_s : float
        When the call of the store began.
    ttl_s : float
        How long after it the store keeps the partitions for this entry.
    is_restored : bool
        Whether the store has come back from a copy since the last call.
    """
    _fill_all(state, now_s)
    known_s = state.usable_from_s if now_s <= state.share.end_s else {}
    handed_over_s = now_s + share_leases.HANDOVER_S
    state.usable_from_s = {
        partition: known_s.get(partition, handed_over_s) for partition in held
    }
    end_s = joined_s + ttl_s
    share_leases.renew(state.share, len(held), end_s, now_s, is_restored)


def find_usable_share(state: ServerLimits, now_s: float) -> float:
    """Return the part of all partitions that only this entry may use now."""
    usable = share_leases.count_usable(state.share, now_s)
    return usable / len(state.partitions)


def release(state: ServerLimits) -> None:
    """Give up all partitions."""
    state.usable_from_s = {}
    state.share = share_leases.ShareLease()


def note_answer(
    state: ServerLimits,
    backend_id: str,
    started_ms: int,
    answer: Answer,
    now_s: float,
) -> bool:
    """Record whether an answer names a limit; return whether that is new.

    An answer to a request that was sent before the one which the known limit
    is from changes nothing, as answers may overtake each other.
    """
    newest = state.limits.get(backend_id)
    if newest is not None and newest.started_ms > started_ms:
        return False
    known = find_limit(state, backend_id, started_ms)
    if known is not None and answer.sent_s < known.sent_s:
        return False
    if answer.per_s is None:
        state.limits.pop(backend_id, None)
        state._buckets.pop(backend_id, None)
        return known is not None
    limit = Limit(answer.per_s, started_ms, answer.sent_s, is_seen=True)
    _set_limit(state, backend_id, limit, now_s)
    return known is None or known.per_s != limit.per_s


def note_report(
    state: ServerLimits, backend_id: str, limit: Limit | None, now_s: float
) -> None:
    """Record what another entry reports of a server, None for no limit."""
    known = state.limits.get(backend_id)
    if limit is None:
        state.reported.pop(backend_id, None)
        # The report may be from before the limit, and come late.
        if known is None or not _is_seen(known, now_s):
            state.limits.pop(backend_id, None)
            state._buckets.pop(backend_id, None)
        return
    if known is not None and known.started_ms > limit.started_ms:
        return
    state.reported[backend_id] = limit
    is_seen = known is not None and _is_seen(known, now_s)
    if is_seen and limit.per_s >= known.per_s:
        return
    _set_limit(
        state, backend_id, dataclasses.replace(limit, sent_s=now_s), now_s
    )


def _is_seen(limit: Limit, now_s: float) -> bool:
    """Tell whether an answer to this entry has named a limit lately."""
    return limit.is_seen and now_s - limit.sent_s < SEEN_S


def _set_limit(
    state: ServerLimits, backend_id: str, limit: Limit, now_s: float
) -> None:
    former = state.limits.get(backend_id)
    is_same = former is not None and former.started_ms == limit.started_ms
    if is_same:
        _fill(state, backend_id, now_s)
    state.limits[backend_id] = limit
    if not is_same or former.per_s != limit.per_s:
        tokens = state._buckets[backend_id].tokens if is_same else 0.0
        chosen = _choose_partitions(state, backend_id, limit.per_s)
        state._buckets[backend_id] = _Bucket(chosen, tokens, now_s)


def _choose_partitions(
    state: ServerLimits, backend_id: str, per_s: float
) -> frozenset[Partition]:
    names = {
        f"{topic}/{part}": (topic, part) for topic, part in state.partitions
    }
    count = count_buckets(per_s, len(names))
    return frozenset(
        names[name] for name in rendezvous.rank(backend_id, names)[:count]
    )


def find_limit(
    state: ServerLimits, backend_id: str, started_ms: int
) -> Limit | None:
    """Return the limit of a server's process, None if it named none."""
    limit = state.limits.get(backend_id)
    return limit if limit and limit.started_ms == started_ms else None


def find_rate_per_s(
    state: ServerLimits, backend_id: str, now_s: float
) -> float:
    """Return this entry's part of the limit of a limited server."""
    bucket = state._buckets[backend_id]
    return len(_list_usable(state, bucket, now_s)) * _bucket_per_s(
        state, backend_id
    )


def _bucket_per_s(state: ServerLimits, backend_id: str) -> float:
    per_s = max(MIN_PER_S, state.limits[backend_id].per_s)
    return per_s / max(1, len(state._buckets[backend_id].chosen))


def _list_usable(
    state: ServerLimits, bucket: _Bucket, now_s: float
) -> list[Partition]:
    if now_s > state.share.end_s:
        return []
    return [
        partition
        for partition in bucket.chosen
        if state.usable_from_s.get(partition, math.inf) <= now_s
    ]


def _fill_all(state: ServerLimits, now_s: float) -> None:
    for backend_id in state._buckets:
        _fill(state, backend_id, now_s)


def _fill(state: ServerLimits, backend_id: str, now_s: float) -> None:
    """Add the tokens since the last time, and drop those of lost buckets."""
    bucket = state._buckets[backend_id]
    end_s = min(now_s, state.share.end_s)
    filling_s = sum(
        max(0.0, end_s - max(bucket.filled_s, state.usable_from_s[partition]))
        for partition in bucket.chosen & state.usable_from_s.keys()
    )
    tokens = bucket.tokens + filling_s * _bucket_per_s(state, backend_id)
    bucket.tokens = min(tokens, len(_list_usable(state, bucket, now_s)))
    bucket.filled_s = now_s


def find_wait_s(
    state: ServerLimits, backend_id: str, started_ms: int, now_s: float
) -> float:
    """Return how long until this entry may send a request to a server.

    It is 0 for a server without a limit, and infinite if this entry has no
    part of the limit.
    """
    if find_limit(state, backend_id, started_ms) is None:
        return 0.0
    _fill(state, backend_id, now_s)
    missing = 1.0 - state._buckets[backend_id].tokens
    if missing <= 0.0:
        return 0.0
    per_s = find_rate_per_s(state, backend_id, now_s)
    return missing / per_s if per_s else math.inf


def count_sendable(
    state: ServerLimits, backend_id: str, now_s: float, wait_s: float
) -> int:
    """Return how many requests this entry may send to a limited server.

    Parameters
    ----------
    wait_s : float
        Until how long from now.
    """
    _fill(state, backend_id, now_s)
    tokens = state._buckets[backend_id].tokens
    per_s = find_rate_per_s(state, backend_id, now_s)
    return max(0, math.floor(tokens + wait_s * per_s))


def note_sent(state: ServerLimits, backend_id: str, now_s: float) -> None:
    """Record that a request or an order is sent to a server."""
    if backend_id in state._buckets:
        _fill(state, backend_id, now_s)
        state._buckets[backend_id].tokens -= 1.0


def forget_gone(
    state: ServerLimits, known: abc.Container[str], now_s: float
) -> None:
    """Drop the limits of servers that left the registry for good.

    The registry entry of a live server may expire and come back.
    """
    gone = [i for i in state.limits if i not in known]
    state.gone_s = {i: state.gone_s.get(i, now_s) for i in gone}
    for backend_id, at_s in list(state.gone_s.items()):
        if now_s - at_s >= GONE_KEEP_S:
            state.limits.pop(backend_id, None)
            state._buckets.pop(backend_id, None)


def list_unreported(state: ServerLimits) -> dict[str, Limit | None]:
    """Return the limits that the other entries do not know as they are.

    None stands for a limit that has ended.
    """
    found: dict[str, Limit | None] = dict.fromkeys(
        state.reported.keys() - state.limits
    )
    for backend_id, limit in state.limits.items():
        known = state.reported.get(backend_id)
        if known is None or not _is_alike(known, limit):
            found[backend_id] = limit
    return found


def note_reported(
    state: ServerLimits, limits: abc.Mapping[str, Limit | None]
) -> None:
    """Record what this entry itself has reported."""
    for backend_id, limit in limits.items():
        if limit is None:
            state.reported.pop(backend_id, None)
        else:
            state.reported[backend_id] = limit


def _is_alike(known: Limit, limit: Limit) -> bool:
    if known.started_ms != limit.started_ms:
        return False
    low, high = sorted(max(MIN_PER_S, x.per_s) for x in (known, limit))
    return high <= low * REPORTED_RATIO
