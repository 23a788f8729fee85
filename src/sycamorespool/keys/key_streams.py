"""Replays the streams of key partitions from the platform's log."""

import dataclasses

import trio

from sycamorespool.decisions import key_batches
from sycamorespool.decisions import key_snapshots
from sycamorespool.decisions import keys
from sycamorespool import exceptions
from sycamorespool.platform import log
from sycamorespool import records


@dataclasses.dataclass(slots=True)
class PendingAppend:
    """Signals the end of an append; ``error`` is None if it succeeded."""

    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    error: exceptions.PlatformError | None = None


@dataclasses.dataclass(slots=True)
class Partition:
    """Holds one partition in the memory of an entry.

    Parameters
    ----------
    state : keys.PartitionState, optional
        State after replay of the stream, or None until it is read.
    pending_appends : list
        Items that wait for an append, each with the signal of its end.
    item_added : trio.Event
        Set when an item is added to ``batcher``.
    caught_up_s : float
        When the stream was last replayed to its head.
    unavailable_until_s : float
        Until when callers are refused without another call to the log.
    snapshot_unix_s : float
        When this entry last wrote a snapshot.
    """

    number: int
    batcher: key_batches.Batcher
    state: keys.PartitionState | None = None
    pending_appends: list[tuple[key_batches.Item, PendingAppend]] = (
        dataclasses.field(default_factory=list)
    )
    item_added: trio.Event = dataclasses.field(default_factory=trio.Event)
    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    caught_up_s: float = float("-inf")
    unavailable_until_s: float = float("-inf")
    snapshot_unix_s: float = 0.0

    @property
    def unit(self) -> str:
        """Return the name of the partition's unit."""
        return keys.unit_of(self.number)

    @property
    def stream(self) -> str:
        """Return the name of the partition's log stream."""
        return keys.stream_of(self.number)


async def _replay_from_start(
    client: log.LogClient, partition: Partition, window_s: float
) -> keys.PartitionState:
    entries: list[records.LogEntry] = []
    try:
        page = await client.read(partition.stream, 0)
    except exceptions.RecordsExpired as error:
        page = await client.read(partition.stream, error.first_offset)
    first = page.first
    while page.entries:
        entries += page.entries
        page = await client.read(partition.stream, entries[-1].offset + 1)
    return key_snapshots.restore(entries, first, window_s)


async def _replay_new_records(
    client: log.LogClient,
    partition: Partition,
    state: keys.PartitionState,
    window_s: float,
) -> None:
    while True:
        page = await client.read(partition.stream, state.offset + 1)
        for entry in page.entries:
            if entry.offset != state.offset + 1:
                raise exceptions.PlatformUnavailable(
                    "the log returned entries with a gap in their offsets"
                )
            keys.apply(state, entry.offset, entry.record, window_s)
        if state.offset + 1 >= page.head:
            return


async def catch_up(
    client: log.LogClient, partition: Partition, window_s: float
) -> None:
    """Replay the stream of a partition to its head.

    Raises
    ------
    PlatformError
        If the log cannot be read, or has lost records that were needed.
    """
    async with partition.lock:
        if partition.state is not None:
            try:
                await _replay_new_records(
                    client, partition, partition.state, window_s
                )
            except exceptions.RecordsExpired:
                partition.state = None
        if partition.state is None:
            partition.state = await _replay_from_start(
                client, partition, window_s
            )
        partition.caught_up_s = trio.current_time()
