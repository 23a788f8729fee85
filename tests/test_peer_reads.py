import types

import pytest
import trio

from sycamorespool.decisions import store_readers
from sycamorespool import entry_context
from sycamorespool.peers import peer_reads
from sycamorespool.platform import pages
from sycamorespool.store import record_cache

WAIT_S = 0.8


def read(monkeypatch, records):
    """Read a store once; return the page and the time it was current at."""
    monkeypatch.setattr(entry_context, "boot_time_s", lambda: 100.0)

    async def read_store(topic, start, wait_s):
        end = start.offset + len(records)
        return pages.Page(start.offset, end, 0, records)

    cache = record_cache.RecordCache()
    context = types.SimpleNamespace(
        entry_directory=store_readers.EntryDirectory(),
        directory_read=trio.Event(),
        directory_due_s=0.0,
        name="e",
        platform_store=types.SimpleNamespace(
            read=read_store, check_position=lambda position: None
        ),
        record_cache_of=lambda topic: cache,
    )

    async def main():
        return await peer_reads.read(
            context, "topic", pages.Position(0, 7), WAIT_S
        )

    page, as_of_s = trio.run(main)
    assert cache.as_of_s == as_of_s
    return page, as_of_s


class TestFreshness:
    @pytest.mark.parametrize(
        ("records", "expected_s"), [((), 100.0 + WAIT_S), ((b"r",), 100.0)]
    )
    def test_read_without_records_is_current_at_the_end_of_its_wait(
        self, monkeypatch, records, expected_s
    ):
        page, as_of_s = read(monkeypatch, records)
        assert page.records == records
        assert as_of_s == expected_s
