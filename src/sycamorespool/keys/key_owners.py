"""Acts as the owner in keyed calls: replays keys, batches appends, decides.

Rendezvous hashing over the live entries selects the owner of a partition.
Two owners at the same time do no harm: each decides by replaying the
partition's stream, and only the order of the log determines the result.
"""

from collections import abc
import dataclasses
import math
import time

import trio

from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import key_batches
from sycamorespool.decisions import key_snapshots
from sycamorespool.decisions import keys
from sycamorespool.decisions import rendezvous
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool.keys import key_streams
from sycamorespool import logs
from sycamorespool import records

# How often the entry checks which partitions it owns.
CHECK_PERIOD_S = 1.0
GAUGE_PERIOD_S = 10.0
# Maximum age of a replayed state before the log is read again.
CATCH_UP_PERIOD_S = 0.25
# How long a partition refuses calls after the log has failed.
REFUSE_AFTER_FAILURE_S = 0.5
RETRY_AFTER_S = 2.0
# Below the number of the transport's workers, so that requests about keys
# never block its other calls.
MAX_PEER_REQUESTS = 224
# The first attempt is in progress, or has withdrawn and freed the key.
UNDECIDED = frozenset({keys.Decision.IN_PROGRESS, keys.Decision.APPEND})
ANSWER_LOST = "log_answer_lost"

log = logs.make_logger("keys")


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStatus:
    """Holds the decision on an attempt, and the key's recorded outcome."""

    decision: keys.Decision
    outcome: records.KeyOutcome | None = None


class KeyPartitionOwner:
    """Holds the partitions of the idempotency keys at one entry.

    Parameters
    ----------
    env : environment.Environment
        Environment of the entry.
    list_alive : callable
        Returns the names of the entries that are considered alive.
    """

    def __init__(
        self,
        env: environment.Environment,
        list_alive: abc.Callable[[], abc.Collection[str]],
    ) -> None:
        section = env.settings.keys
        self.env = env
        self.peer_requests_open = 0
        self._list_alive = list_alive
        self.window_s = section.window_s
        self.retention_s = section.log_retention_s
        self.policy = key_batches.BatchPolicy(
            section.partitions, section.appends_per_s
        )
        self.partitions = {
            number: key_streams.Partition(
                number,
                key_batches.make_batcher(self.policy, 0.0),
            )
            for number in range(section.partitions)
        }

    def find(self, workspace: str, key: str) -> key_streams.Partition:
        """Return the partition that holds a key."""
        count = self.policy.partitions
        return self.partitions[keys.partition_of(workspace, key, count)]

    def rank_owners(self, partition: key_streams.Partition) -> list[str]:
        """Return the live entries, the owner of the partition first."""
        known = self.env.entries()
        alive = known.keys() & set(self._list_alive())
        return rendezvous.rank(partition.unit, alive)

    def owns(self, partition: key_streams.Partition) -> bool:
        """Tell whether this entry is the owner of a partition."""
        return self.rank_owners(partition)[:1] == [self.env.name]


def _make_refusal(code: str, detail: str) -> exceptions.NotRun:
    return exceptions.NotRun(code, detail, retry_after_s=RETRY_AFTER_S)


async def catch_up(
    owner: KeyPartitionOwner, partition: key_streams.Partition
) -> None:
    """Replay the stream of a partition to its head."""
    await key_streams.catch_up(owner.env.log, partition, owner.window_s)


async def _catch_up_if_stale(
    owner: KeyPartitionOwner, partition: key_streams.Partition
) -> None:
    age_s = trio.current_time() - partition.caught_up_s
    if partition.state is None or age_s >= CATCH_UP_PERIOD_S:
        await catch_up(owner, partition)


def _find_status(
    owner: KeyPartitionOwner,
    partition: key_streams.Partition,
    identity: keys.AttemptIdentity,
) -> AttemptStatus:
    state = partition.state or keys.PartitionState()
    decision = keys.decide(state, identity, owner.window_s)
    name = (identity.workspace, identity.key)
    key = keys.find(state, name, owner.window_s)
    return AttemptStatus(decision, key.outcome if key else None)


async def append(
    owner: KeyPartitionOwner,
    partition: key_streams.Partition,
    item: key_batches.Item,
) -> None:
    """Append an item to the log with the next batch.

    Raises
    ------
    NotRun
        If too many items wait.
    PlatformUnavailable
        If the log did not accept the item.
    OutcomeLost
        If the item may be in the log, or reach it later.
    """
    now_s = trio.current_time()
    if not key_batches.add(owner.policy, partition.batcher, item, now_s):
        raise _make_refusal(
            "key_backlog", "too many keyed calls wait for the log"
        )
    pending = key_streams.PendingAppend()
    partition.pending_appends.append((item, pending))
    partition.item_added.set()
    await pending.event.wait()
    if pending.error is not None:
        raise pending.error


async def decide(
    owner: KeyPartitionOwner, intent: records.KeyIntent, wait_s: float
) -> AttemptStatus:
    """Decide on an attempt; append its intent if log order must decide.

    A repeat of a call that is in progress waits up to ``wait_s`` for its
    outcome.

    Raises
    ------
    NotRun
        If the log cannot be used, or if the clock of the requesting entry
        differs too much from this one's.
    """
    partition = owner.find(intent.workspace, intent.key)
    if trio.current_time() < partition.unavailable_until_s:
        raise _make_refusal(
            "log_unavailable",
            "a recent call to the platform's log failed",
        )
    if not key_attempts.is_clock_trusted(intent.at_unix_s, time.time()):
        raise _make_refusal(
            "clock_differs",
            "the clocks of two entries differ too much",
        )
    identity = keys.AttemptIdentity(
        intent.workspace, intent.key, intent.digest, intent.attempt_id
    )
    try:
        if partition.state is None:
            await catch_up(owner, partition)
        return await _append_and_decide(
            owner, partition, identity, intent, wait_s
        )
    except exceptions.KeyHistoryLost as error:
        raise _make_refusal("key_history_lost", str(error)) from error
    except exceptions.OutcomeLost as error:
        raise _make_refusal(ANSWER_LOST, str(error)) from error
    except exceptions.PlatformError as error:
        _start_backoff(partition)
        raise _make_refusal("log_unavailable", str(error)) from error


async def decide_for_peer(
    owner: KeyPartitionOwner, intent: records.KeyIntent, wait_s: float
) -> AttemptStatus:
    """Call :func:`decide` for another entry, with a limit on such calls."""
    if owner.peer_requests_open >= MAX_PEER_REQUESTS:
        raise _make_refusal("key_backlog", "too many keyed calls wait")
    owner.peer_requests_open += 1
    try:
        return await decide(owner, intent, wait_s)
    finally:
        owner.peer_requests_open -= 1


def _start_backoff(partition: key_streams.Partition) -> None:
    partition.unavailable_until_s = (
        trio.current_time() + REFUSE_AFTER_FAILURE_S
    )


async def _append_and_decide(
    owner: KeyPartitionOwner,
    partition: key_streams.Partition,
    identity: keys.AttemptIdentity,
    intent: records.KeyIntent,
    wait_s: float,
) -> AttemptStatus:
    deadline_s = trio.current_time() + wait_s
    while True:
        status = _find_status(owner, partition, identity)
        if status.decision is keys.Decision.APPEND:
            await append(owner, partition, intent)
            status = _find_status(owner, partition, identity)
        is_undecided = status.decision in UNDECIDED
        if not is_undecided or trio.current_time() >= deadline_s:
            return status
        await trio.sleep(CATCH_UP_PERIOD_S / 2)
        await _catch_up_if_stale(owner, partition)


async def _apply_batch(
    owner: KeyPartitionOwner,
    partition: key_streams.Partition,
    batch: records.KeyBatch,
    offset: int,
) -> None:
    """Apply the batch at ``offset``, and all records before it."""
    async with partition.lock:
        state = partition.state
        if state is not None and offset <= state.offset + 1:
            keys.apply(state, offset, batch, owner.window_s)
            return
    await catch_up(owner, partition)


async def _append_batch(
    owner: KeyPartitionOwner,
    partition: key_streams.Partition,
    batch: records.KeyBatch,
) -> exceptions.PlatformError | None:
    """Append a batch and apply it; return the error if there was one.

    If the answer of the log was lost, the append counts as lost even if
    the batch is found in the log, because a second copy may follow.  The
    intents of such a batch are withdrawn.
    """
    try:
        offsets = await owner.env.log.append(partition.stream, [batch])
    except exceptions.PlatformError as error:
        return error
    try:
        await _apply_batch(owner, partition, batch, offsets[0])
    except exceptions.PlatformError as error:
        return exceptions.OutcomeLost(str(error))
    return None


def _notify_waiters(
    partition: key_streams.Partition,
    batch: records.KeyBatch,
    error: exceptions.PlatformError | None,
) -> None:
    items = {*batch.intents, *batch.outcomes, *batch.withdrawals}
    waiters = [row for row in partition.pending_appends if row[0] in items]
    partition.pending_appends = [
        r for r in partition.pending_appends if r[0] not in items
    ]
    for _, pending in waiters:
        pending.error = error
        pending.event.set()


async def _append_batches(
    owner: KeyPartitionOwner, partition: key_streams.Partition
) -> None:
    policy, batcher = owner.policy, partition.batcher
    while True:
        now_s = trio.current_time()
        due_s = key_batches.find_append_time(policy, batcher, now_s)
        due_s = math.inf if due_s is None else due_s
        due_s = max(due_s, partition.unavailable_until_s)
        if due_s > now_s:
            partition.item_added = trio.Event()
            with trio.move_on_at(due_s):
                await partition.item_added.wait()
            continue
        batch = key_batches.take(
            policy, batcher, environment.make_id(), trio.current_time()
        )
        error = await _append_batch(owner, partition, batch)
        if error is not None:
            _start_backoff(partition)
            owner.env.metrics.count("log_appends_failed")
            log.warning(
                "could not append a batch of key records",
                unit=partition.unit,
                error=error,
            )
        key_batches.finish(batcher)
        _notify_waiters(partition, batch, error)


async def _write_snapshot(
    owner: KeyPartitionOwner, partition: key_streams.Partition
) -> None:
    await _catch_up_if_stale(owner, partition)
    state = partition.state
    now_unix_s = time.time()
    is_due = key_snapshots.is_due(
        now_unix_s, partition.snapshot_unix_s, owner.retention_s
    )
    if state is None or state.offset < 0 or not is_due:
        return
    record = key_snapshots.make_record(
        state, environment.make_id(), owner.window_s
    )
    await owner.env.log.append(partition.stream, [record])
    partition.snapshot_unix_s = now_unix_s


def _set_gauges(owner: KeyPartitionOwner) -> None:
    began_unix_s = [
        key.changed_unix_s
        for partition in owner.partitions.values()
        if partition.state is not None
        for _, _, key in keys.list_open(partition.state)
    ]
    metrics = owner.env.metrics
    metrics.set("keys_without_outcome", len(began_unix_s))
    age_s = time.time() - min(began_unix_s, default=time.time())
    metrics.set("key_without_outcome_age_max_s", max(0.0, age_s))


async def _maintain_partitions(owner: KeyPartitionOwner) -> None:
    """Keep the owned partitions in memory, and drop all others from it.

    Write snapshots of the owned partitions when they are due.
    """
    gauges_set_s = float("-inf")
    while True:
        for partition in owner.partitions.values():
            if owner.owns(partition) and not owner.env.is_stopping:
                try:
                    await _write_snapshot(owner, partition)
                except exceptions.PlatformError as error:
                    log.warning(
                        "could not replay or snapshot a key partition",
                        unit=partition.unit,
                        error=error,
                    )
            elif not partition.pending_appends and not partition.lock.locked():
                partition.state = None
        if trio.current_time() - gauges_set_s >= GAUGE_PERIOD_S:
            gauges_set_s = trio.current_time()
            _set_gauges(owner)
        await trio.sleep(CHECK_PERIOD_S)


async def run(owner: KeyPartitionOwner) -> None:
    """Run the tasks that maintain and append to partitions, without end."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_maintain_partitions, owner)
        for partition in owner.partitions.values():
            nursery.start_soon(_append_batches, owner, partition)
