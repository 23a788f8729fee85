"""Batches the records of a key partition into rate-limited log appends.

The log accepts a few hundred appends a second from the whole fleet, so each
partition has a token bucket with its share of ``appends_per_s``.  An idle
partition appends at once; a busy one fills batches while it waits::

    wake_at_s = find_append_time(policy, batcher, now_s)
    batch = take(policy, batcher, record_id, now_s)
"""

import collections
import dataclasses
import typing as t

from sycamorespool import records

# Approximate size of an item in the log, without its key and body.
RECORD_OVERHEAD_BYTES = 160

Item: t.TypeAlias = (
    records.KeyIntent | records.KeyOutcome | records.KeyWithdrawal
)


@dataclasses.dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Holds the limits on the log appends for idempotency keys.

    Parameters
    ----------
    appends_per_s : float
        Append rate for the keys of the whole fleet.
    burst : float
        Capacity of a partition's token bucket, in appends.
    linger_s : float
        How long outcomes and withdrawals wait for an intent, to share its
        append.  An append of their own would delay the next intent.
    max_items, max_bytes : int
        Maximum size of one append.
    max_pending : int
        Number of waiting items at which further intents are refused.
    """

    partitions: int = 16
    appends_per_s: float = 150.0
    burst: float = 4.0
    linger_s: float = 0.5
    max_items: int = 512
    max_bytes: int = 512 * 1024
    max_pending: int = 4096

    @property
    def rate_per_s(self) -> float:
        """Return the append rate of one partition."""
        return self.appends_per_s / self.partitions


@dataclasses.dataclass(slots=True)
class Batcher:
    """Holds the items of one partition that wait for an append.

    Parameters
    ----------
    intent_count : int
        Number of intents among the waiting items.
    waiting_since_s : float
        When the first waiting item was added, or when the last batch was
        taken, whichever is later.
    """

    tokens: float = 0.0
    refilled_s: float = 0.0
    is_appending: bool = False
    intent_count: int = 0
    waiting_since_s: float = 0.0
    pending: collections.deque[Item] = dataclasses.field(
        default_factory=collections.deque
    )


def make_batcher(policy: BatchPolicy, now_s: float) -> Batcher:
    """Return an empty batcher with a full token bucket."""
    return Batcher(policy.burst, now_s)


def size_of(item: Item) -> int:
    """Return the approximate size of an item in the log, in bytes."""
    body = getattr(item, "body", b"")
    return RECORD_OVERHEAD_BYTES + len(item.key) + len(body)


def add(
    policy: BatchPolicy, batcher: Batcher, item: Item, now_s: float
) -> bool:
    """Queue an item, or return False for an intent if the queue is full.

    Outcomes and withdrawals are always accepted, because they complete
    attempts that have begun.
    """
    is_full = len(batcher.pending) >= policy.max_pending
    is_intent = isinstance(item, records.KeyIntent)
    if is_full and is_intent:
        return False
    if not batcher.pending:
        batcher.waiting_since_s = now_s
    batcher.intent_count += is_intent
    batcher.pending.append(item)
    return True


def _refill(policy: BatchPolicy, batcher: Batcher, now_s: float) -> None:
    gained = max(0.0, now_s - batcher.refilled_s) * policy.rate_per_s
    batcher.tokens = min(policy.burst, batcher.tokens + gained)
    batcher.refilled_s = now_s


def find_append_time(
    policy: BatchPolicy, batcher: Batcher, now_s: float
) -> float | None:
    """Return when to append next, or None if no append can start.

    A partition has one append in flight at a time, so that items that
    arrive during an append share the next one.
    """
    if batcher.is_appending or not batcher.pending:
        return None
    _refill(policy, batcher, now_s)
    missing = max(0.0, 1.0 - batcher.tokens)
    due_s = now_s + missing / policy.rate_per_s
    if batcher.intent_count or len(batcher.pending) >= policy.max_items:
        return due_s
    return max(due_s, batcher.waiting_since_s + policy.linger_s)


def _pop_items(policy: BatchPolicy, batcher: Batcher) -> list[Item]:
    items: list[Item] = []
    size_bytes = 0
    while batcher.pending and len(items) < policy.max_items:
        size_bytes += size_of(batcher.pending[0])
        if items and size_bytes > policy.max_bytes:
            break
        items.append(batcher.pending.popleft())
    return items


def _select(items: t.Iterable[Item], kind: type) -> tuple[t.Any, ...]:
    return tuple(item for item in items if isinstance(item, kind))


def take(
    policy: BatchPolicy, batcher: Batcher, record_id: str, now_s: float
) -> records.KeyBatch:
    """Remove the next batch from the queue and mark it as in flight."""
    _refill(policy, batcher, now_s)
    batcher.tokens -= 1.0
    batcher.is_appending = True
    items = _pop_items(policy, batcher)
    batcher.waiting_since_s = now_s
    batcher.intent_count -= len(_select(items, records.KeyIntent))
    return records.KeyBatch(
        record_id,
        _select(items, records.KeyIntent),
        _select(items, records.KeyOutcome),
        _select(items, records.KeyWithdrawal),
    )


def finish(batcher: Batcher) -> None:
    """Mark the append in flight as finished.

    The items of a failed append are not queued again: the sender of an
    outcome or a withdrawal sends it again, and an intent is refused.
    """
    batcher.is_appending = False
