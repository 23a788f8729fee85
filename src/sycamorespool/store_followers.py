"""Background tasks that keep an entry up to date with the platform's store.

They follow the operators' configuration, the registry of the backend servers
and the list of entries, and keep the entry a member of the store's consumer
group, which divides the fleet's work and budgets among the entries.
"""

import functools

import msgspec
import trio

from sycamorespool import backends
from sycamorespool.decisions import registry
from sycamorespool.decisions import store_readers
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool import peer_reads
from sycamorespool.platform import store
from sycamorespool.platform import wire

# ``_WAIT_S``: how long the store waits for a record; ``_PERIOD_S``: time from
# one read or join to the next; ``RETRY_S``: pause after a failed call.
CONFIG_WAIT_S = 0.8
CONFIG_PERIOD_S = 0.4
REGISTRY_PERIOD_S = 0.5
RETRY_S = 0.8
ENTRIES_WAIT_S = 20.0
ENTRIES_RETRY_S = 2.0
# Delay of the first read of the list of entries.  Entries that start together
# are all found by that read, which returns all records, and not by one read
# each.
ENTRIES_START_DELAY_S = 0.8
ENTRIES_PERIOD_S = 15.0
JOIN_PERIOD_S = 0.8
# A member that does not join again for so long loses its partitions; the
# store may demand a longer time (``platform.least_ttl_ms``).
JOIN_TTL_S = 2.4
ENTRY_GROUP = "entries"
# There are enough topics that each entry of a large fleet is assigned a
# partition.
SHARE_TOPICS = tuple(f"share-{n}" for n in range(16))

log = logs.make_logger("store")


class _FailureLog:
    """Logs when calls for a topic or group begin to fail and work again."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._failed = 0

    def note_failure(self, error: exceptions.PlatformError) -> None:
        """Record a failed call."""
        self._failed += 1
        if self._failed == 1:
            log.warning("calls fail", name=self._name, error=error)

    def note_success(self) -> bool:
        """Record a call that worked; return whether the ones before failed."""
        failed, self._failed = self._failed, 0
        if failed:
            log.info("calls work again", name=self._name, count=failed)
        return failed > 0


def _apply_config(
    context: entry_context.EntryContext, record: store.KeyedRecord
) -> None:
    if record.value is None:
        return
    try:
        table = wire.decode_config(record.value)
    except exceptions.ConfigurationError as error:
        log.error(
            "configuration is not valid, record skipped",
            offset=record.offset,
            error=error,
        )
        return
    if context.table is not None and table.version <= context.table.version:
        return
    context.table = table
    log.info(
        "new configuration in force",
        version=table.version,
        offset=record.offset,
        count=len(table.workspaces),
    )


def _apply_evacuation(
    context: entry_context.EntryContext, record: store.KeyedRecord
) -> None:
    data_centre = record.key.removeprefix(wire.EVACUATION_PREFIX)
    evacuated = context.placement_state.evacuated
    if record.value is None:
        evacuated.discard(data_centre)
    else:
        evacuated.add(data_centre)
    log.info(
        "evacuation changed",
        data_centre=data_centre,
        state="in force" if record.value else "ended",
        offset=record.offset,
    )


def _apply_operators_record(
    context: entry_context.EntryContext, record: store.KeyedRecord
) -> None:
    if record.key == wire.CONFIG_KEY:
        _apply_config(context, record)
    elif record.key.startswith(wire.EVACUATION_PREFIX):
        _apply_evacuation(context, record)


async def _read_all_config(context: entry_context.EntryContext) -> int:
    newest = await context.platform_store.read_newest(wire.CONFIG_TOPIC)
    keys = {record.key for record in newest.records}
    for data_centre in list(context.placement_state.evacuated):
        if wire.EVACUATION_PREFIX + data_centre not in keys:
            context.placement_state.evacuated.discard(data_centre)
            log.info(
                "evacuation changed", data_centre=data_centre, state="ended"
            )
    for record in newest.records:
        _apply_operators_record(context, record)
    return newest.end


async def follow_config(context: entry_context.EntryContext) -> None:
    """Follow the configuration and evacuations until cancelled."""
    position: int | None = None
    wait_s = 0.0
    failures = _FailureLog(wire.CONFIG_TOPIC)
    while True:
        began_s = entry_context.boot_time_s()
        started_s = trio.current_time()
        try:
            if position is None:
                position = await _read_all_config(context)
            else:
                page, began_s = await peer_reads.read(
                    context, wire.CONFIG_TOPIC, position, wait_s
                )
                # A read that returned records shows only that they were the
                # newest when it began, which is as long ago as it waited, so
                # the next read does not wait.
                wait_s = 0.0 if page.records else CONFIG_WAIT_S
                for record in store.decode_keyed(page):
                    _apply_operators_record(context, record)
                position = page.next
        except exceptions.RecordsExpired:
            log.info("records expired, all read anew", name=wire.CONFIG_TOPIC)
            position = None
            continue
        except exceptions.PlatformError as error:
            failures.note_failure(error)
            await trio.sleep(RETRY_S)
            continue
        failures.note_success()
        context.config_read_s = max(context.config_read_s, began_s)
        # A read that waited in the store for records took that long already.
        await trio.sleep_until(started_s + CONFIG_PERIOD_S)


def _apply_registry_record(
    context: entry_context.EntryContext,
    record: store.KeyedRecord,
    now_s: float,
) -> None:
    backend = None
    if record.value is not None:
        backend = wire.decode_backend(record.key, record.value)
        if backend is None:
            log.warning(
                "registry entry is not valid, record skipped",
                vm=record.key,
                offset=record.offset,
            )
            return
    before = context.registry.servers.get(record.key)
    registry.apply_entry(context.registry, record.key, backend, now_s)
    if backend is not None:
        context.placement_state.clear_stale_suspicion(before, backend)
    _log_change(record, before, backend)


def _describe(backend: backends.Backend | None) -> str:
    if backend is None:
        return "gone"
    if backend.is_draining:
        return "draining"
    member = backend.membership
    return f"{member.group}/{member.state}" if member else "ready"


def _log_change(
    record: store.KeyedRecord,
    before: backends.Backend | None,
    after: backends.Backend | None,
) -> None:
    was, now = _describe(before), _describe(after)
    if was != now:
        log.info(
            "backend server changed",
            vm=record.key,
            state=now,
            offset=record.offset,
        )


async def _read_registry(
    context: entry_context.EntryContext, position: int | None
) -> int:
    """Read the registry from a position on; return where to read next."""
    now_s = trio.current_time()
    if position is None:
        newest = await context.platform_store.read_newest(wire.REGISTRY_TOPIC)
        entries = {
            record.key: backend
            for record in newest.records
            if record.value is not None
            and (backend := wire.decode_backend(record.key, record.value))
        }
        registry.replace_all(context.registry, entries, now_s)
        context.has_registry = True
        log.info("whole registry read", count=len(entries), offset=newest.end)
        return newest.end
    page, _ = await peer_reads.read(
        context, wire.REGISTRY_TOPIC, position, 0.0
    )
    for record in store.decode_keyed(page):
        _apply_registry_record(context, record, now_s)
    return page.next


async def follow_registry(context: entry_context.EntryContext) -> None:
    """Follow the registry of the backend servers until cancelled."""
    position: int | None = None
    failures = _FailureLog(wire.REGISTRY_TOPIC)
    while True:
        began_s = trio.current_time()
        try:
            position = await _read_registry(context, position)
        except exceptions.RecordsExpired:
            log.info(
                "records expired, all read anew", name=wire.REGISTRY_TOPIC
            )
            position = None
            continue
        except exceptions.PlatformError as error:
            failures.note_failure(error)
            await trio.sleep(RETRY_S)
            continue
        if failures.note_success():
            registry.note_outage_end(context.registry, trio.current_time())
        gone = registry.forget_removed(context.registry, trio.current_time())
        context.forget_servers(gone)
        await trio.sleep_until(began_s + REGISTRY_PERIOD_S)


def _apply_entry_record(
    context: entry_context.EntryContext, record: store.KeyedRecord
) -> None:
    entries = context.entry_directory.entries
    if record.value is None:
        entries.pop(record.key, None)
        return
    try:
        found = msgspec.json.decode(record.value, type=store_readers.Entry)
    except (msgspec.MsgspecError, UnicodeError) as error:
        log.warning(
            "announcement of an entry is not valid, record skipped",
            entry=record.key,
            error=error,
        )
        return
    entries[record.key] = found


async def announce(context: entry_context.EntryContext) -> None:
    """Announce this entry's address in the store; retry until it works."""
    own = store_readers.Entry(
        context.settings.listen.peers,
        context.settings.entry.data_centre,
        context.settings.entry.link_mbps,
    )
    content = store.encode_keyed(context.name, msgspec.json.encode(own))
    while True:
        try:
            await context.platform_store.append(wire.ENTRIES_TOPIC, [content])
        except exceptions.PlatformError as error:
            log.warning("this entry could not be announced", error=error)
            await trio.sleep(RETRY_S)
            continue
        return


async def follow_entries(context: entry_context.EntryContext) -> None:
    """Announce this entry and follow the list of entries until cancelled."""
    await announce(context)
    await trio.sleep(ENTRIES_START_DELAY_S)
    position: int | None = None
    failures = _FailureLog(wire.ENTRIES_TOPIC)
    while True:
        try:
            if position is None:
                newest = await context.platform_store.read_newest(
                    wire.ENTRIES_TOPIC
                )
                found, position = newest.records, newest.end
            else:
                page = await context.platform_store.read(
                    wire.ENTRIES_TOPIC, position, wait_s=ENTRIES_WAIT_S
                )
                found, position = store.decode_keyed(page), page.next
        except exceptions.RecordsExpired:
            position = None
            continue
        except exceptions.PlatformError as error:
            failures.note_failure(error)
            await trio.sleep(ENTRIES_RETRY_S)
            continue
        failures.note_success()
        for record in found:
            _apply_entry_record(context, record)
        await trio.sleep(ENTRIES_PERIOD_S)


def _apply_assignment(
    context: entry_context.EntryContext, assignment: store.Assignment
) -> None:
    if assignment == context.assignment:
        return
    total = len(SHARE_TOPICS) * context.settings.platform.partitions
    context.assignment = assignment
    context.set_share(len(assignment.partitions) / total)
    log.info(
        "partitions assigned to this entry",
        version=assignment.generation,
        count=len(assignment.partitions),
    )


async def hold_share(context: entry_context.EntryContext) -> None:
    """Stay a member of the store's consumer group until the entry stops."""
    failures = _FailureLog(ENTRY_GROUP)
    ttl_s = max(JOIN_TTL_S, context.settings.platform.least_ttl_ms / 1000)
    join = functools.partial(
        context.platform_store.join,
        ENTRY_GROUP,
        member_name(context),
        SHARE_TOPICS,
        ttl_s,
    )
    while not context.is_stopping:
        began_s = trio.current_time()
        try:
            _apply_assignment(
                context, await join(context.assignment.generation)
            )
            failures.note_success()
        except exceptions.PlatformError as error:
            failures.note_failure(error)
        await trio.sleep_until(began_s + JOIN_PERIOD_S)


async def release_share(context: entry_context.EntryContext) -> None:
    """Leave the consumer group, so that other entries take over at once."""
    _apply_assignment(
        context, store.Assignment(context.assignment.generation, frozenset())
    )
    try:
        await context.platform_store.leave(ENTRY_GROUP, member_name(context))
    except exceptions.PlatformError as error:
        log.warning(
            "group could not be left",
            name=ENTRY_GROUP,
            error=error,
        )


def member_name(context: entry_context.EntryContext) -> str:
    """Return this process's member name in the store's consumer group."""
    return f"{context.name}/{context.incarnation}"
