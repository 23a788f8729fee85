"""Shares with the other entries which limits backend servers have named.

An entry of a large fleet seldom sends a request to a given server, so it
would learn of a limit late, or not at all while it has no part of it.  The
entries report what they see in the topic of
:mod:`sycamorespool.store.server_ends`; the record ``limit/SERVER`` holds the
limit of a server, and is deleted when the limit ends.
"""

from collections import abc
import typing as t

import msgspec
import trio

from sycamorespool.decisions.placing import server_limits
from sycamorespool import decoding
from sycamorespool import entry_context
from sycamorespool import logs
from sycamorespool.platform import pages

KEY_PREFIX = "limit/"
# Entries report what several of them see at random times, the later the more
# entries there are, so that most of them learn that another one has done so.
LEAST_DELAY_S = 0.4
SPREAD_PER_ENTRY_S = 0.01

log = logs.make_logger("requests")


class _Report(msgspec.Struct):
    per_s: decoding.Amount
    started_ms: decoding.UnixMs


def encode(backend_id: str, limit: server_limits.Limit | None) -> bytes:
    """Return the record of a server's limit, None for one that has ended."""
    value = b""
    if limit is not None:
        value = msgspec.json.encode(_Report(limit.per_s, limit.started_ms))
    return pages.encode_keyed(KEY_PREFIX + backend_id, value)


def apply(
    state: server_limits.ServerLimits, record: pages.KeyedRecord, now_s: float
) -> None:
    """Apply the report of any entry; ignore records of another kind.

    Raises
    ------
    Undecodable
        If the report is not valid.
    """
    if not record.key.startswith(KEY_PREFIX):
        return
    limit = None
    if record.value is not None:
        report = decoding.decode_json(record.value, _Report)
        limit = server_limits.Limit(report.per_s, report.started_ms)
    backend_id = record.key.removeprefix(KEY_PREFIX)
    log.info(
        "limit of backend server reported",
        vm=backend_id,
        places=limit.per_s if limit else None,
        state="limited" if limit else "not limited",
    )
    server_limits.note_report(state, backend_id, limit, now_s)


async def report(
    context: entry_context.EntryContext,
    append: abc.Callable[[bytes], None],
) -> t.NoReturn:
    """Report limits that the other entries do not know, until cancelled.

    Parameters
    ----------
    append : callable
        Appends a record to the topic soon.
    """
    while True:
        entries = len(context.entry_directory.entries)
        spread_s = SPREAD_PER_ENTRY_S * entries
        delay_s = LEAST_DELAY_S + context.random.uniform(0.0, spread_s)
        await trio.sleep(delay_s)
        server_limits.forget_gone(
            context.limits,
            context.registry.servers,
            entry_context.boot_time_s(),
        )
        found = server_limits.list_unreported(context.limits)
        for backend_id, limit in found.items():
            append(encode(backend_id, limit))
        server_limits.note_reported(context.limits, found)
