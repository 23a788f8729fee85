import types

import pytest
import trio

from sycamorespool.decisions import readers
from sycamorespool import peer_reads
from sycamorespool.platform import store
from sycamorespool import router as routers
from sycamorespool import tails

WAIT_S = 0.8


def read(monkeypatch, records):
    """Read once from a store; return what was read and when it was true."""
    monkeypatch.setattr(routers, "boot_time_s", lambda: 100.0)

    async def read_store(topic, start, wait_s):
        return store.Page(start, start + len(records), 0, records)

    cache = tails.RecordCache()
    router = types.SimpleNamespace(
        entry_directory=readers.ReaderBook(),
        name="e",
        platform_store=types.SimpleNamespace(read=read_store),
        record_cache_of=lambda topic: cache,
    )

    async def main():
        return await peer_reads.read(router, "topic", 7, WAIT_S)

    page, as_of_s = trio.run(main)
    assert cache.as_of_s == as_of_s
    return page, as_of_s


class TestFreshness:
    @pytest.mark.parametrize(
        ("records", "true_s"), [((), 100.0 + WAIT_S), ((b"r",), 100.0)]
    )
    def test_store_that_waited_in_vain_had_nothing_newer_until_then(
        self, monkeypatch, records, true_s
    ):
        page, as_of_s = read(monkeypatch, records)
        assert page.records == records
        assert as_of_s == true_s
