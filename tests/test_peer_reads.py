import types

import msgspec
import pytest
import trio

from sycamorespool.decisions import store_readers
from sycamorespool import entry_context
from sycamorespool.peers import peer_reads
from sycamorespool.platform import pages
from sycamorespool.store import record_cache

WAIT_S = 0.8
NOW_S = 100.0


class Clock:
    """Replaces the clock of the machine."""

    def __init__(self, monkeypatch):
        self.now_s = NOW_S
        monkeypatch.setattr(entry_context, "boot_time_s", lambda: self.now_s)


def make_context(read_store, cache):
    return types.SimpleNamespace(
        entry_directory=store_readers.EntryDirectory(),
        directory_read=trio.Event(),
        directory_due_s=0.0,
        name="e",
        platform_store=types.SimpleNamespace(
            read=read_store, check_position=lambda position: None
        ),
        record_caches={"topic": cache},
        record_cache_of=lambda topic: cache,
    )


def read(monkeypatch, records, newer=0, taken_s=WAIT_S):
    """Read a store that has further records; return what the read shows."""
    clock = Clock(monkeypatch)

    async def read_store(topic, start, wait_s):
        clock.now_s += taken_s
        end = start.offset + len(records) + newer
        return pages.Page(start.offset, end, 0, records)

    cache = record_cache.RecordCache()

    async def main():
        return await peer_reads.read(
            make_context(read_store, cache),
            "topic",
            pages.Position(0, 7),
            WAIT_S,
        )

    found = trio.run(main)
    assert found.page.records == records
    assert cache.as_of_s == found.as_of_s
    return found


class TestFreshness:
    @pytest.mark.parametrize(
        ("records", "expected_s"), [((), NOW_S + WAIT_S), ((b"r",), NOW_S)]
    )
    def test_read_without_records_is_current_at_the_end_of_its_wait(
        self, monkeypatch, records, expected_s
    ):
        assert read(monkeypatch, records).as_of_s == expected_s

    # An entry took the first page of a long log for the newest state, and
    # accepted keys that a later record had taken away.
    @pytest.mark.parametrize("records", [(), (b"r",), (b"r", b"s")])
    def test_page_before_the_end_of_the_log_is_not_current(
        self, monkeypatch, records
    ):
        found = read(monkeypatch, records, newer=1)
        assert found.as_of_s == -float("inf")

    # The time at which a read was to end was taken for that of its answer.
    def test_store_that_does_not_wait_is_current_only_at_the_start(
        self, monkeypatch
    ):
        assert read(monkeypatch, (), taken_s=WAIT_S / 2).as_of_s == NOW_S


class TestServing:
    def ask(self, cache, start):
        app = peer_reads.make_app(make_context(None, cache))
        request = {
            "type": "http",
            "method": "GET",
            "path": peer_reads.PATH,
            "raw_path": peer_reads.PATH.encode(),
            "query_string": f"topic=topic&from={start}".encode(),
            "headers": [],
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message):
            sent.append(message)

        trio.run(app, request, receive, send)
        return sent[0]["status"], sent[1]["body"]

    # The age of a partial read went to the entries that follow this one.
    def test_records_carry_the_age_of_what_is_known(self, monkeypatch):
        Clock(monkeypatch)
        cache = record_cache.RecordCache()
        cache.add_page(pages.Page(7, 8, 0, (b"a",)), NOW_S - 9.0)
        cache.add_page(pages.Page(8, 20, 0, (b"b",)), -float("inf"))
        status, body = self.ask(cache, 8)
        sent = msgspec.msgpack.decode(body, type=peer_reads.PeerRecords)
        assert (status, sent.age_s, sent.records) == (200, 9.0, [b"b"])

    def test_records_of_unknown_age_are_not_served(self, monkeypatch):
        Clock(monkeypatch)
        cache = record_cache.RecordCache()
        cache.add_page(pages.Page(7, 20, 0, (b"a",)), -float("inf"))
        assert self.ask(cache, 7)[0] == 410

    # An entry far behind would have got all that this one holds, 16 MiB.
    def test_no_more_is_served_than_a_read_of_the_store_returns(
        self, monkeypatch
    ):
        Clock(monkeypatch)
        cache = record_cache.RecordCache()
        record = bytes(peer_reads.MAX_SERVED_BYTES // 2)
        cache.add_page(pages.Page(0, 3, 0, (record,) * 3), NOW_S)
        assert self.ask(cache, 1)[0] == 200
        assert self.ask(cache, 0)[0] == 410
