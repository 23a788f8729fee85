"""The streams of key partitions, replayed from the platform's log."""

import dataclasses

import trio

from sycamorespool.decisions import key_batches
from sycamorespool.decisions import key_snapshots
from sycamorespool.decisions import keys
from sycamorespool import exceptions
from sycamorespool.platform import log
from sycamorespool import records


@dataclasses.dataclass(slots=True)
class Append:
    """One wait for an append; ``error`` tells how it went."""

    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    error: exceptions.PlatformError | None = None


@dataclasses.dataclass(slots=True)
class Partition:
    """One partition at one keeper.

    Parameters
    ----------
    state : keys.PartitionState, optional
        The replayed stream, None until it is read.
    appends : list
        Waits for the next append, with the id of their item's attempt.
    down_until_s : float
        Until when callers are refused without asking the log again.
    """

    number: int
    batcher: key_batches.Batcher
    state: keys.PartitionState | None = None
    appends: list[tuple[key_batches.Item, Append]] = dataclasses.field(
        default_factory=list
    )
    added: trio.Event = dataclasses.field(default_factory=trio.Event)
    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    followed_s: float = float("-inf")
    down_until_s: float = float("-inf")
    snapshot_unix_s: float = 0.0

    @property
    def unit(self) -> str:
        """Name of the partition among the units of the fleet."""
        return keys.unit_of(self.number)

    @property
    def stream(self) -> str:
        """Stream of the log that holds the partition."""
        return keys.stream_of(self.number)


async def _read_all(
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


async def _read_on(
    client: log.LogClient,
    partition: Partition,
    state: keys.PartitionState,
    window_s: float,
) -> None:
    while True:
        page = await client.read(partition.stream, state.offset + 1)
        for entry in page.entries:
            if entry.offset != state.offset + 1:
                raise exceptions.PlatformUnavailable("the log has a gap")
            keys.apply(state, entry.offset, entry.record, window_s)
        if state.offset + 1 >= page.head:
            return


async def follow(
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
                await _read_on(client, partition, partition.state, window_s)
            except exceptions.RecordsExpired:
                partition.state = None
        if partition.state is None:
            partition.state = await _read_all(client, partition, window_s)
        partition.followed_s = trio.current_time()
