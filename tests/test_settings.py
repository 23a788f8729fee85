"""Tests of the settings and of the files in the examples folder."""

import pathlib

import msgspec
import pytest

from sycamorespool import configuration
from sycamorespool import exceptions
from sycamorespool import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
VALID = (EXAMPLES / "ferreyra.ini").read_text(encoding="utf-8")

FAULTS = [
    (
        "queue_timeout_s = 5",
        "queue_timeout_s = 500ms",
        "[limits] queue_timeout_s: '500ms' is not accepted; "
        "wanted a number of seconds, as 2.5",
    ),
    ("queue_timeout_s = 5", "queue_timeout_s = nan", "a number of seconds"),
    ("queue_timeout_s = 5", "queue_timeout_s = -1", "a number of seconds"),
    (
        "queue_timeout_s = 5",
        "queue_timeout_ms = 500",
        "[limits] queue_timeout_ms: unknown key; "
        "did you mean queue_timeout_s? accepted: queue_timeout_s,",
    ),
    (
        "max_body_bytes = 1048576",
        "max_body_bytes = 1M",
        "[limits] max_body_bytes: '1M' is not accepted; "
        "wanted a whole number of bytes",
    ),
    (
        "address = 10.20.0.5:9000",
        "address = platform.example:9000",
        "[platform] address: 'platform.example:9000' is not accepted; "
        "wanted an IP number and port",
    ),
    (
        "address = 10.20.0.5:9000",
        "address = 10.20.0.5",
        "wanted an IP number and port",
    ),
    (
        "address = 10.20.0.5:9000",
        "address = ::1:9000",
        "wanted an IP number and port",
    ),
    (
        "address = 10.20.0.9:8125",
        "address = 10.20.0.9:99999",
        "[statsd] address: '10.20.0.9:99999' is not accepted",
    ),
    ("[statsd]", "[statd]", "[statd] section: unknown section; did you mean"),
    ("[entry]", "[DEFAULT]\nname = x\n[entry]", "[DEFAULT] section: unknown"),
    (
        "data_centre = barracas",
        "",
        "[entry] data_centre: missing; wanted letters",
    ),
    (
        "[peers]\n; The same at every entry: replace it.\n"
        "shared_key = replace-this-shared-key",
        "",
        "[peers] section: missing; it has the keys shared_key",
    ),
    (
        "operators = 10.20.1.11:8001",
        "operators = 10.20.1.11:8000",
        "[listen] operators: '10.20.1.11:8000' is the address of callers too",
    ),
    ("[listen]", "[entry]", "[file] syntax: DuplicateSectionError in line"),
    ("name = entry", "= entry", "[file] syntax: ParsingError in line"),
]


class TestFaults:
    @pytest.mark.parametrize(("old", "new", "message"), FAULTS)
    def test_fault_gives_its_place_and_the_accepted_values(
        self, old, new, message
    ):
        assert old in VALID
        with pytest.raises(exceptions.SettingsError) as raised:
            settings.parse(VALID.replace(old, new, 1))
        assert message in str(raised.value)

    def test_all_faults_are_reported_at_once(self):
        text = VALID.replace("= 10.20.0.5:9000", "= x").replace("= 600", "= y")
        with pytest.raises(exceptions.SettingsFaults) as raised:
            settings.parse(text)
        assert [(f.section, f.key) for f in raised.value.faults] == [
            ("platform", "address"),
            ("limits", "request_timeout_s"),
        ]

    def test_secret_is_left_out_of_the_message(self):
        text = VALID.replace("replace-this-shared-key", "s3cret")
        with pytest.raises(exceptions.SettingsError) as raised:
            settings.parse(text)
        assert "s3cret" not in str(raised.value)

    @pytest.mark.parametrize("content", [None, b"\xff\xfe[entry]"])
    def test_unreadable_file_raises(self, tmp_path, content):
        path = tmp_path / "entry.ini"
        if content is not None:
            path.write_bytes(content)
        with pytest.raises(exceptions.SettingsError):
            settings.load(str(path))


class TestExamples:
    @pytest.mark.parametrize(
        ("name", "data_centre"),
        [("ferreyra", "barracas"), ("cadeau", "dakar-a")],
    )
    def test_settings_are_accepted(self, name, data_centre):
        loaded = settings.load(str(EXAMPLES / f"{name}.ini"))
        assert loaded.entry.data_centre == data_centre

    def test_annotated_example_names_every_key(self):
        loaded = msgspec.to_builtins(settings.parse(VALID))
        wanted = {f"{key} = " for part in loaded.values() for key in part}
        assert [key for key in wanted if f"\n{key}" not in VALID] == []

    @pytest.mark.parametrize(
        ("name", "replicas"),
        [
            ("ferreyra", {"assistant": 48, "orders": 3}),
            ("cadeau", {"drafting": 48, "ledger": 3}),
        ],
    )
    def test_configuration_is_valid(self, name, replicas):
        patch = msgspec.json.decode((EXAMPLES / f"{name}.json").read_bytes())
        document = configuration.apply_merge_patch({}, patch)
        config = configuration.validate(document)
        assert {n: s.replicas for n, s in config.services.items()} == replicas
        assert len(config.data_centres) == 3
        assert len(config.workspaces) == 10
