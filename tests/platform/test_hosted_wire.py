import msgspec
import pytest

from sycamorespool import backends
from sycamorespool import exceptions
from sycamorespool.platform import headers
from sycamorespool.platform import pages
from sycamorespool.platform import wire
from sycamorespool import routing_table
from tests.hosted import fleet

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "state": "ready",
    "slots": 13,
    "cold_left_ms": 1500,
    "born": 7,
    "domain": "d",
    "staged": ["m"],
    "group": {"name": "m@1", "epoch": 1, "rank": 0, "state": "open"},
}


class TestConfig:
    def test_configuration_is_decoded(self):
        table = wire.decode_config(msgspec.json.encode(fleet.CONFIG))
        route = table.find_route(fleet.HOST, "/drafts/9")
        assert route.kind is routing_table.RequestKind.STREAM
        assert (route.timeout_s, route.objective_s) == (8.0, 0.5)
        assert route.is_repeatable and route.max_runs == 2
        assert table.find_workspace(fleet.KEY).name == "w"
        (model,) = table.services["assistant"].engine.models
        assert (model.name, model.size) == ("m", 2)

    def test_longest_prefix_wins(self):
        routes = [
            {**fleet.CONFIG["routes"][1], "path_prefix": prefix}
            for prefix in ("/a/", "/a/b/")
        ]
        changed = {**fleet.CONFIG, "routes": routes}
        table = wire.decode_config(msgspec.json.encode(changed))
        assert table.find_route(fleet.HOST, "/a/b/c").prefix == "/a/b/"
        assert table.find_route(fleet.HOST, "/a/c").prefix == "/a/"
        assert table.find_route(fleet.HOST, "/b/") is None

    @pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version":"x"}'])
    def test_invalid_configuration_is_refused(self, value):
        with pytest.raises(exceptions.ConfigurationError):
            wire.decode_config(value)

    def test_service_is_chosen_by_the_weights_of_a_split(self):
        split = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        route = {**fleet.CONFIG["routes"][1], "split": split}
        changed = {**fleet.CONFIG, "routes": [route]}
        table = wire.decode_config(msgspec.json.encode(changed))
        found = table.find_route(fleet.HOST, "/orders/")
        assert found.choose_service(0.89) == "a"
        assert found.choose_service(0.91) == "b"


class TestRegistry:
    def test_entry_is_decoded(self):
        found = wire.decode_backend("i", msgspec.json.encode(ENTRY))
        assert found.cold_left_s == 1.5
        assert found.membership.state is backends.MemberState.OPEN

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": 7},
            {"address": None},
            {"address": "127.0.0.1"},
            {"address": "127.0.0.1:99999"},
            {"address": "127.0.0.1:-1"},
            {"address": "x:y"},
            {"address": "[::1:1"},
            {"address": "\xe9:1"},
            {"state": "odd"},
            {"slots": "many"},
            {"group": {"name": "g"}},
            {"group": {**ENTRY["group"], "state": "odd"}},
        ],
    )
    def test_entry_with_an_invalid_field_is_no_server(self, changes):
        value = msgspec.json.encode({**ENTRY, **changes})
        assert wire.decode_backend("i", value) is None

    @pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"7", b"{}"])
    def test_bytes_that_are_no_entry_are_no_server(self, value):
        assert wire.decode_backend("i", value) is None


class TestHeaders:
    def decode(self, *pairs):
        return headers.decode_request("POST", "/a/b?c=d", pairs, b"x")

    def test_request_is_decoded(self):
        found = self.decode(
            (b"host", b"h"),
            (b"authorization", b"Bearer k1"),
            (b"sycamorespool-attempt-id", b"a1"),
            (b"sycamorespool-deadline-ms", b"1500"),
            (b"connection", b"close"),
            (b"x-own", b"1"),
        )
        assert (found.path, found.target) == ("/a/b", "/a/b?c=d")
        assert (found.key, found.deadline_s) == ("k1", 1.5)
        assert found.headers == {"host": "h", "x-own": "1"}

    @pytest.mark.parametrize("value", [b"", b"soon", b"Basic k1"])
    def test_invalid_values_are_taken_as_absent(self, value):
        found = self.decode(
            (b"authorization", value), (b"sycamorespool-deadline-ms", value)
        )
        assert found.key == ""
        assert found.deadline_s == float("inf")

    @pytest.mark.parametrize(
        ("value", "parts"),
        [
            (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", 3),
            (b"5C1E07A2:800,0091bd3f06:410,e4402b7d", 3),
            (b"", 0),
            (b",", 0),
            (b"5c1e07a2:800,not hexadecimal:3", 0),
        ],
    )
    def test_parts_of_the_prompt_are_decoded(self, value, parts):
        found = self.decode((b"sycamorespool-prompt-prefix", value))
        wanted = ("5c1e07a2", "91bd3f06", "e4402b7d")
        assert found.prompt_parts == wanted[:parts]

    def test_long_list_of_parts_keeps_its_last_one(self):
        value = ",".join(f"{n:x}:5" for n in range(1, 90)).encode()
        found = self.decode((b"sycamorespool-prompt-prefix", value))
        assert len(found.prompt_parts) == headers.MAX_PARTS
        assert found.prompt_parts[0] == "1"
        assert found.prompt_parts[-1] == f"{89:x}"

    def test_workspace_header_of_the_caller_is_replaced(self):
        found = self.decode((b"sycamorespool-tenant", b"forged"))
        sent = headers.encode_request(found, "i-1", "w", 3, 0.5, "12")
        assert sent["sycamorespool-tenant"] == "w"
        assert sent["sycamorespool-expect-replica"] == "i-1"
        assert sent["sycamorespool-request-priority"] == "3"
        assert sent["sycamorespool-deadline-ms"] == "500"
        assert sent["last-event-id"] == "12"

    @pytest.mark.parametrize(
        ("status", "names", "is_refusal"),
        [
            (503, {}, False),
            (503, {"sycamorespool-not-executed": "1"}, True),
            (400, {"sycamorespool-not-executed": "1"}, True),
            (421, {}, True),
            (500, {}, False),
        ],
    )
    def test_only_a_promise_not_to_have_run_is_a_refusal(
        self, status, names, is_refusal
    ):
        assert headers.is_refusal(status, names) is is_refusal


class TestStorePages:
    def test_keyed_records_are_decoded(self):
        contents = [
            pages.encode_keyed("a", b"1"),
            pages.encode_keyed("a", b""),
            b"\x02\xff\xff1",
        ]
        body = pages.BOUNDS.pack(9, 2)
        body += b"".join(pages.LENGTH.pack(len(c)) + c for c in contents)
        page = pages.parse(6, body)
        assert (page.end, page.first) == (9, 2)
        assert page.next == pages.Position(0, 9)
        found = pages.decode_keyed(page)
        assert [(r.offset, r.key, r.value) for r in found] == [
            (6, "a", b"1"),
            (7, "a", None),
        ]


class TestNotices:
    @pytest.mark.parametrize(
        ("status", "found", "notice"),
        [
            (200, {}, backends.Notice()),
            (200, {"server-leaving": "1"}, backends.Notice(True)),
            (421, {"server-leaving": " 1 "}, backends.Notice(True)),
            (200, {"server-leaving": "0"}, backends.Notice()),
            (503, {"retry-after": "1.5"}, backends.Notice(False, 1.5)),
            (429, {"retry-after": "1.5"}, backends.Notice()),
            (503, {"retry-after": "soon"}, backends.Notice()),
            (503, {"retry-after": "-3"}, backends.Notice()),
            (503, {"retry-after": "inf"}, backends.Notice()),
            (503, {"retry-after": "nan"}, backends.Notice()),
        ],
    )
    def test_notice_is_decoded(self, status, found, notice):
        assert headers.decode_notice(status, found) == notice
