"""The keeper of key partitions: batches appends, indexes keys, rules.

Rendezvous hashing over the live entries names the keeper of a partition.
Two keepers at once do no harm: whoever asks gets its ruling from a replay
of the partition's stream, and the order of the log alone decides.
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
from sycamorespool import key_streams
from sycamorespool import logs
from sycamorespool import records

CHECK_PERIOD_S = 1.0
GAUGE_PERIOD_S = 10.0
FOLLOW_PERIOD_S = 0.25
REFUSE_AFTER_FAILURE_S = 0.5
RETRY_AFTER_S = 2.0
# Under the transport's workers, so that keys never hold up its other calls.
MAX_ASKS = 224
# The first attempt is at work, or withdrew and left the key free.
UNDECIDED = frozenset({keys.Ruling.IN_PROGRESS, keys.Ruling.APPEND})
ANSWER_LOST = "log_answer_lost"

log = logs.make_logger("keys")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the stream says of an attempt."""

    ruling: keys.Ruling
    outcome: records.KeyOutcome | None = None


class KeyKeeper:
    """The partitions that this entry keeps.

    Parameters
    ----------
    env : environment.Environment
        The entry.
    list_heard : callable
        Returns the entries that are held alive.
    """

    def __init__(
        self,
        env: environment.Environment,
        list_heard: abc.Callable[[], abc.Collection[str]],
    ) -> None:
        section = env.settings.keys
        self.env = env
        self.asks_open = 0
        self._list_heard = list_heard
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
        """Return the partition of a key."""
        count = self.policy.partitions
        return self.partitions[keys.partition_of(workspace, key, count)]

    def rank_keepers(self, partition: key_streams.Partition) -> list[str]:
        """Return the entries that may keep a partition, the best first."""
        known = self.env.entries()
        heard = known.keys() & set(self._list_heard())
        return rendezvous.rank(partition.unit, heard)

    def keeps(self, partition: key_streams.Partition) -> bool:
        """Tell whether this entry is the keeper of a partition."""
        return self.rank_keepers(partition)[:1] == [self.env.name]


def _refuse(code: str, detail: str) -> exceptions.NotRun:
    return exceptions.NotRun(code, detail, retry_after_s=RETRY_AFTER_S)


async def follow(keeper: KeyKeeper, partition: key_streams.Partition) -> None:
    """Replay the stream of a partition to its head."""
    await key_streams.follow(keeper.env.log, partition, keeper.window_s)


async def _follow_lately(
    keeper: KeyKeeper, partition: key_streams.Partition
) -> None:
    age_s = trio.current_time() - partition.followed_s
    if partition.state is None or age_s >= FOLLOW_PERIOD_S:
        await follow(keeper, partition)


def _answer(
    keeper: KeyKeeper, partition: key_streams.Partition, call: keys.Call
) -> Answer:
    state = partition.state or keys.PartitionState()
    ruling = keys.rule(state, call, keeper.window_s)
    name = (call.workspace, call.key)
    key = keys.find(state, name, keeper.window_s)
    return Answer(ruling, key.outcome if key else None)


async def append(
    keeper: KeyKeeper, partition: key_streams.Partition, item: key_batches.Item
) -> None:
    """Have an item appended with the next batch.

    Raises
    ------
    NotRun
        If too many items wait.
    PlatformUnavailable
        If the log did not take it.
    OutcomeLost
        If it may stand in the log, or land there later.
    """
    now_s = trio.current_time()
    if not key_batches.add(keeper.policy, partition.batcher, item, now_s):
        raise _refuse("key_backlog", "too many keyed calls wait for the log")
    wait = key_streams.Append()
    partition.appends.append((item, wait))
    partition.added.set()
    await wait.event.wait()
    if wait.error is not None:
        raise wait.error


async def ask(
    keeper: KeyKeeper, intent: records.KeyIntent, wait_s: float
) -> Answer:
    """Rule on an attempt; append its intent if the stream must decide.

    A repeat of a call that is in progress waits up to ``wait_s`` for its
    outcome.

    Raises
    ------
    NotRun
        If the log cannot be used, or the asker's clock differs.
    """
    partition = keeper.find(intent.workspace, intent.key)
    if trio.current_time() < partition.down_until_s:
        raise _refuse("log_unavailable", "the log did not answer lately")
    if not key_attempts.is_clock_trusted(intent.at_unix_s, time.time()):
        raise _refuse("clock_differs", "the clocks of two entries differ")
    call = keys.Call(
        intent.workspace, intent.key, intent.digest, intent.attempt_id
    )
    try:
        if partition.state is None:
            await follow(keeper, partition)
        return await _decide(keeper, partition, call, intent, wait_s)
    except exceptions.KeyHistoryLost as error:
        raise _refuse("key_history_lost", str(error)) from error
    except exceptions.OutcomeLost as error:
        raise _refuse(ANSWER_LOST, str(error)) from error
    except exceptions.PlatformError as error:
        _note_failure(partition)
        raise _refuse("log_unavailable", str(error)) from error


async def ask_for_peer(
    keeper: KeyKeeper, intent: records.KeyIntent, wait_s: float
) -> Answer:
    """Rule for another entry, as :func:`ask`; bounded in number."""
    if keeper.asks_open >= MAX_ASKS:
        raise _refuse("key_backlog", "too many keyed calls wait")
    keeper.asks_open += 1
    try:
        return await ask(keeper, intent, wait_s)
    finally:
        keeper.asks_open -= 1


def _note_failure(partition: key_streams.Partition) -> None:
    partition.down_until_s = trio.current_time() + REFUSE_AFTER_FAILURE_S


async def _decide(
    keeper: KeyKeeper,
    partition: key_streams.Partition,
    call: keys.Call,
    intent: records.KeyIntent,
    wait_s: float,
) -> Answer:
    deadline_s = trio.current_time() + wait_s
    while True:
        answer = _answer(keeper, partition, call)
        if answer.ruling is keys.Ruling.APPEND:
            await append(keeper, partition, intent)
            answer = _answer(keeper, partition, call)
        is_open = answer.ruling in UNDECIDED
        if not is_open or trio.current_time() >= deadline_s:
            return answer
        await trio.sleep(FOLLOW_PERIOD_S / 2)
        await _follow_lately(keeper, partition)


async def _take_in(
    keeper: KeyKeeper,
    partition: key_streams.Partition,
    batch: records.KeyBatch,
    offset: int,
) -> None:
    """Replay a batch that stands at ``offset``, and all before it."""
    async with partition.lock:
        state = partition.state
        if state is not None and offset <= state.offset + 1:
            keys.apply(state, offset, batch, keeper.window_s)
            return
    await follow(keeper, partition)


async def _append_batch(
    keeper: KeyKeeper,
    partition: key_streams.Partition,
    batch: records.KeyBatch,
) -> exceptions.PlatformError | None:
    """Append a batch and replay it; return what went wrong.

    A batch whose answer was lost counts as lost even if it is found: it
    may be the copy that lands twice.  Its intents are withdrawn.
    """
    try:
        offsets = await keeper.env.log.append(partition.stream, [batch])
    except exceptions.PlatformError as error:
        return error
    try:
        await _take_in(keeper, partition, batch, offsets[0])
    except exceptions.PlatformError as error:
        return exceptions.OutcomeLost(str(error))
    return None


def _end_waits(
    partition: key_streams.Partition,
    batch: records.KeyBatch,
    error: exceptions.PlatformError | None,
) -> None:
    items = {*batch.intents, *batch.outcomes, *batch.withdrawals}
    ended = [row for row in partition.appends if row[0] in items]
    partition.appends = [r for r in partition.appends if r[0] not in items]
    for _, wait in ended:
        wait.error = error
        wait.event.set()


async def _append_batches(
    keeper: KeyKeeper, partition: key_streams.Partition
) -> None:
    policy, batcher = keeper.policy, partition.batcher
    while True:
        now_s = trio.current_time()
        due_s = key_batches.find_append_time(policy, batcher, now_s)
        due_s = math.inf if due_s is None else due_s
        due_s = max(due_s, partition.down_until_s)
        if due_s > now_s:
            partition.added = trio.Event()
            with trio.move_on_at(due_s):
                await partition.added.wait()
            continue
        batch = key_batches.take(
            policy, batcher, environment.make_id(), trio.current_time()
        )
        error = await _append_batch(keeper, partition, batch)
        if error is not None:
            _note_failure(partition)
            keeper.env.metrics.count("log_appends_failed")
            log.warning("append failed", unit=partition.unit, error=error)
        key_batches.finish(batcher)
        _end_waits(partition, batch, error)


async def _write_snapshot(
    keeper: KeyKeeper, partition: key_streams.Partition
) -> None:
    await _follow_lately(keeper, partition)
    state = partition.state
    now_unix_s = time.time()
    is_due = key_snapshots.is_due(
        now_unix_s, partition.snapshot_unix_s, keeper.retention_s
    )
    if state is None or state.offset < 0 or not is_due:
        return
    record = key_snapshots.make_record(
        state, environment.make_id(), keeper.window_s
    )
    await keeper.env.log.append(partition.stream, [record])
    partition.snapshot_unix_s = now_unix_s


def _set_gauges(keeper: KeyKeeper) -> None:
    began_unix_s = [
        key.changed_unix_s
        for partition in keeper.partitions.values()
        if partition.state is not None
        for _, _, key in keys.list_open(partition.state)
    ]
    metrics = keeper.env.metrics
    metrics.set("keys_without_outcome", len(began_unix_s))
    age_s = time.time() - min(began_unix_s, default=time.time())
    metrics.set("key_without_outcome_age_max_s", max(0.0, age_s))


async def _keep(keeper: KeyKeeper) -> None:
    """Hold the partitions of this entry, and no others, in memory."""
    counted_s = float("-inf")
    while True:
        for partition in keeper.partitions.values():
            if keeper.keeps(partition) and not keeper.env.is_stopping:
                try:
                    await _write_snapshot(keeper, partition)
                except exceptions.PlatformError as error:
                    log.warning("not kept", unit=partition.unit, error=error)
            elif not partition.appends and not partition.lock.locked():
                partition.state = None
        if trio.current_time() - counted_s >= GAUGE_PERIOD_S:
            counted_s = trio.current_time()
            _set_gauges(keeper)
        await trio.sleep(CHECK_PERIOD_S)


async def run(keeper: KeyKeeper) -> None:
    """Keep the partitions of this entry, for ever."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep, keeper)
        for partition in keeper.partitions.values():
            nursery.start_soon(_append_batches, keeper, partition)
