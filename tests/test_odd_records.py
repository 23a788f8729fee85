"""Tests that odd bytes from outside are refused and end no task.

Review 2 (DRAIN): a record that nested too deeply ended the follower of the
registry for good.
"""

import base64
import functools
import math
import random
import types

import msgspec
import pytest
import trio
import trio.testing

from sycamorespool import backends
from sycamorespool.decisions.faults import fatal_traits
from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions import registry
from sycamorespool.decisions import store_readers
from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import hosted
from sycamorespool import http_client
from sycamorespool import metrics
from sycamorespool.peers import peer_reads
from sycamorespool.platform import headers
from sycamorespool.platform import pages
from sycamorespool.platform import store
from sycamorespool.platform import wire
from sycamorespool.store import end_reports
from sycamorespool.store import entry_announcements
from sycamorespool.store import limit_reports
from tests.hosted import fleet
from tests import odd_values

GROUP = {"name": "m@1", "epoch": 1, "rank": 0, "state": "open"}
BACKEND = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "state": "ready",
    "slots": 13,
    "cold_left_ms": 1500,
    "born": 7,
    "sequence": 3,
    "domain": "d",
    "staged": ["m"],
    "group": GROUP,
}
REPORT = {
    "sequence": 4,
    "busy": False,
    "queued": 1,
    "running": 2,
    "pace": 1.0,
    "staged": ["m"],
    "group": GROUP,
    "born": 7,
}
CLOCKS = end_reports.Clocks(1_000.0, 50.0)
LIST_CALLS = [
    ("append", {"offset": 1, "end": 2}),
    ("newest", {"items": [{"key": "a", "offset": 1, "value": "YQ=="}]}),
    ("join", {"generation": 2, "parts": [["t", 0, 0]]}),
    ("read", {"first": 3}),
]


def _use_backend(backend):
    """Do with a registry entry what the entry does with it."""
    state = registry.Registry()
    registry.apply_entry(state, backend.backend_id, backend, 5.0)
    registry.list_members(state, backend)
    _encode_orders(backend.membership)
    limit = server_limits.Limit(1.0, backend.started_ms)
    limit_reports.encode(backend.backend_id, limit)
    end = fatal_traits.ServerEnd(
        backend.backend_id, backend.started_ms, frozenset({("a",)})
    )
    end_reports.encode_end("e", 1, end, 5.0, CLOCKS)


def _encode_orders(member):
    if member is None:
        return
    order = backends.Order(
        "i-1", backends.OrderKind.LEAVE, member.group, member.epoch + 1
    )
    wire.encode_order(order, 2**50, member.rank)


class TestWire:
    @pytest.mark.parametrize("number", range(10))
    def test_registry_entry(self, number):
        for value in odd_values.list_records(BACKEND)[number::10]:
            backend = wire.decode_backend("i-1", value)
            if backend is not None:
                _use_backend(backend)

    @pytest.mark.parametrize(
        "key", ["", "a\r\nb: c", "a b", "\x00", "ü", "a" * 250]
    )
    def test_id_that_cannot_be_sent_names_no_server(self, key):
        value = msgspec.json.encode(BACKEND)
        assert wire.decode_backend("i-1", value) is not None
        assert wire.decode_backend(key, value) is None

    @pytest.mark.parametrize(
        "address",
        ["10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999"]
        + ["10.0.0.1", "10.0.0.1:", ":80", "host:80", "10.0.0.1:8x"]
        + ["10.0.0.1:" + "9" * 6000, "10.0.0.1:٣", " 10.0.0.1:80"],
    )
    def test_address_without_a_usable_port_names_no_server(self, address):
        value = msgspec.json.encode({**BACKEND, "address": address})
        assert wire.decode_backend("i-1", value) is None

    def test_report(self):
        for value in odd_values.list_records(REPORT):
            try:
                report = wire.decode_report(value)
            except exceptions.BackendCut:
                continue
            _encode_orders(report.membership)
            msgspec.json.encode([report.orders + 1, report.started_ms])

    @pytest.mark.parametrize("number", range(10))
    def test_configuration(self, number):
        for value in odd_values.list_records(fleet.CONFIG)[number::10]:
            try:
                table = wire.decode_config(value)
            except exceptions.ConfigurationError:
                continue
            passed_on = headers.PassedOn(0, table.version)
            assert passed_on.version <= decoding.MAX_COUNT


def make_announcer(directory):
    context = types.SimpleNamespace(entry_directory=directory, name="own")
    return entry_announcements._Announcer(context, 5)


class TestReportsOfEntries:
    @pytest.mark.parametrize(
        ("key", "sound"),
        [
            (
                "end/e/1",
                {
                    "vm": "i-1",
                    "started_ms": 7,
                    "prompts": [["a", "b"]],
                    "at_ms": 1_000_000,
                },
            ),
            ("served/e", {"served_ms": {"a": 1_000_000}}),
            ("block/a", {"until_ms": 1_010_000}),
            ("limit/i-1", {"per_s": 2.0, "started_ms": 7}),
        ],
    )
    def test_odd_report_is_skipped(self, key, sound):
        for value in odd_values.list_records(sound):
            state = fatal_traits.FatalTraits()
            limits = server_limits.ServerLimits(())
            record = pages.KeyedRecord(1, key, value)
            try:
                end_reports.apply(state, record, CLOCKS)
                limit_reports.apply(limits, record, 50.0)
            except exceptions.Undecodable:
                continue
            fatal_traits.review(state, 50.0)

    def test_odd_announcement_is_skipped(self):
        sound = {
            "address": "10.0.0.1:80",
            "data_centre": "dc",
            "link_mbps": 100.0,
        }
        directory = store_readers.EntryDirectory()
        announcer = make_announcer(directory)
        for value in odd_values.list_records(sound):
            record = pages.KeyedRecord(1, "e", value)
            announcer.apply_record(record)
            for entry in directory.entries.values():
                assert entry.address == "10.0.0.1:80"
            store_readers.choose(directory, "e", 5.0)

    @pytest.mark.parametrize("port", ["0", "65536", "99999", "x"])
    def test_entry_with_an_odd_port_is_never_called(self, port):
        directory = store_readers.EntryDirectory()
        announcer = make_announcer(directory)
        value = msgspec.json.encode(
            {"address": f"10.0.0.1:{port}", "data_centre": "dc"}
        )
        record = pages.KeyedRecord(1, "e", value)
        announcer.apply_record(record)
        assert not directory.entries


class TestPeers:
    @pytest.mark.parametrize(
        "value",
        [
            b"\x91" * 100_000,
            b"",
            b"\xc1",
            msgspec.msgpack.encode([math.nan, [], 0]),
            msgspec.msgpack.encode([-1.0, [], 0]),
            msgspec.msgpack.encode([math.inf, [], 0]),
            msgspec.msgpack.encode([1.0, [], -1]),
            msgspec.msgpack.encode([1.0, [], 2**63]),
            msgspec.msgpack.encode([1.0, ["text"], 0]),
        ],
    )
    def test_odd_records_are_refused(self, value):
        with pytest.raises(exceptions.Undecodable):
            decoding.decode_msgpack(value, peer_reads.PeerRecords)

    @pytest.mark.parametrize(
        "value", [b"9" * 6000 + b",1", b"1," + b"9" * 6000, b"-1,2", b"\xb2,1"]
    )
    def test_odd_word_of_a_call_that_is_passed_on(self, value):
        pairs = [(headers.PASSED_ON.encode(), value)]
        assert headers.decode_passed_on(pairs) == headers.PassedOn(0, 0)

    @pytest.mark.parametrize("port", ["65536", "99999999", "x", "-1"])
    def test_odd_port_is_not_reached(self, port):
        async def main():
            pool = http_client.make_pool()
            with pytest.raises(http_client.NotReached):
                await http_client.exchange(
                    pool, "GET", f"http://127.0.0.1:{port}/"
                )

        trio.run(main)


class TestHeaders:
    @pytest.mark.parametrize(
        "value", ["1e300", "inf", "nan", "9" * 6000, "-1"]
    )
    def test_server_cannot_ask_for_an_endless_pause(self, value):
        notice = headers.decode_notice(503, {"retry-after": value})
        assert notice.retry_after_s <= headers.MAX_PAUSE_S

    @pytest.mark.parametrize("part", ["f" * 300, "-5", "1_0", "", "0x1"])
    def test_part_that_fits_no_key_is_none(self, part):
        pairs = [(headers.PROMPT_PARTS.encode(), f"{part}:9,ab:1".encode())]
        request = headers.decode_request("POST", "/a", pairs, b"")
        for name in request.prompt_parts:
            end_reports.encode_block(name, 9.0, CLOCKS)


class TestStore:
    def _call(self, monkeypatch, name, answer):
        async def exchange(*args, **kwargs):
            return answer

        monkeypatch.setattr(http_client, "exchange", exchange)
        platform_store = store.Store(None, "10.0.0.1:80")
        start = pages.Position(0, 0)
        call = {
            "append": functools.partial(platform_store.append, "t", [b"a"]),
            "newest": functools.partial(platform_store.read_newest, "t"),
            "join": functools.partial(
                platform_store.join, "g", "m", ["t"], 1.0, 0
            ),
            "read": functools.partial(platform_store.read, "t", start),
        }[name]
        return trio.run(call)

    @pytest.mark.parametrize(("name", "sound"), LIST_CALLS)
    def test_odd_answer_is_a_failed_call(self, monkeypatch, name, sound):
        status = 410 if name == "read" else 200
        for body in odd_values.list_records(sound):
            answer = http_client.Response(status, {}, body)
            try:
                found = self._call(monkeypatch, name, answer)
            except exceptions.PlatformError:
                continue
            if name == "join":
                msgspec.json.encode(found.generation)

    @pytest.mark.parametrize("cut", range(1, 30))
    def test_page_that_is_cut_short_is_a_failed_read(self, monkeypatch, cut):
        body = pages.BOUNDS.pack(1, 0) + pages.LENGTH.pack(10) + b"0123456789"
        answer = http_client.Response(200, {}, body[:-cut])
        if cut == pages.LENGTH.size + 10:
            assert not self._call(monkeypatch, "read", answer).records
            return
        with pytest.raises(exceptions.PlatformError):
            self._call(monkeypatch, "read", answer)

    @pytest.mark.parametrize("timeline", ["9" * 6000, "9" * 16, "-1", "x"])
    def test_odd_timeline_is_not_believed(self, monkeypatch, timeline):
        body = pages.BOUNDS.pack(0, 0)
        named = {store.TIMELINE_HEADER: timeline}
        answer = http_client.Response(200, named, body)
        assert self._call(monkeypatch, "read", answer).timeline == 0

    def test_value_that_is_not_in_base_64_is_a_failed_read(self, monkeypatch):
        item = {"key": "a", "offset": 1, "value": "?"}
        body = msgspec.json.encode({"items": [item], "end": 2})
        answer = http_client.Response(200, {}, body)
        with pytest.raises(exceptions.PlatformError):
            self._call(monkeypatch, "newest", answer)


class TestKeepRunning:
    def test_task_that_fails_is_counted_and_run_again(self):
        runs = []

        async def fail_twice(context):
            runs.append(context)
            if len(runs) < 3:
                raise RecursionError

        context = types.SimpleNamespace(metrics=metrics.Metrics())
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(hosted._keep_running, fail_twice, context, clock=clock)
        assert len(runs) == 3
        (count,) = context.metrics.counters.values()
        assert count == 2


def test_keyed_record_with_an_odd_key_is_skipped():
    contents = [b"", b"\x05ab", b"\x02\xff\xfeab", b"\x01k" + b"v"]
    page = pages.Page(4, 8, 0, tuple(contents))
    found = pages.decode_keyed(page)
    assert pages.KeyedRecord(7, "k", b"v") in found


def test_random_bytes_are_no_value():
    source = random.Random(5)
    for _ in range(500):
        value = source.randbytes(source.randrange(40))
        assert wire.decode_backend("i-1", value) is None
        with pytest.raises(exceptions.BackendCut):
            wire.decode_report(value)
        text = base64.b64encode(value)
        assert wire.decode_backend("i-1", text) is None
