"""Tests of the page that shows the results of the benchmarks."""

import base64
import re
import sys

import msgspec
import pytest

from sycamorespool import cli
from sycamorespool import exceptions
from sycamorespool import report

POLICY = {
    f"ferreyra/{rate}/{policy}": {"down_min_per_day": 3.5, "hits": 2}
    for rate in ("realistic", "harsher")
    for policy in ("policy", "replace only")
}
RELAY = {
    f"{streams} streams": {
        way: {"tokens_per_cpu_s": 9000.0, "added_p95_ms": 0.4}
        for way in ("direct", "bare", "entry")
    }
    for streams in (10, 400)
}
RESULTS = {
    "group_policy": POLICY,
    "relay": {**RELAY, "requests": {"entry": {"requests_per_cpu_s": 700.0}}},
    "shares": {
        "even": {"weights": {"share_error": 0.1}},
        "ramp": {"even": {"exchanges_until_all_granted": 17}},
    },
    "replay": {"<b>": [1, 2]},
}
PNG = b"\x89PNG"


class TestPage:
    def test_page_is_complete_and_self_contained(self, tmp_path, capsys):
        results, page = tmp_path / "results.json", tmp_path / "page.html"
        results.write_bytes(msgspec.json.encode(RESULTS))
        assert cli.run(["report", str(results), str(page)]) == 0
        text = page.read_text()
        images = re.findall(r'src="data:image/png;base64,([^"]+)"', text)
        assert len(images) == 3
        assert all(base64.b64decode(i).startswith(PNG) for i in images)
        assert "http" not in text
        assert "&lt;b&gt;</td><td>[1, 2]" in text
        assert "requests_per_cpu_s</td><td>700" in text

    @pytest.mark.parametrize(
        "content", [None, b"[", b"[]", b'{"group_policy": {"a": {}}}']
    )
    def test_invalid_results_file_prints_one_line(
        self, content, tmp_path, capsys
    ):
        results, page = tmp_path / "results.json", tmp_path / "page.html"
        if content is not None:
            results.write_bytes(content)
        code = cli.run(["report", str(results), str(page)])
        assert code == 2
        assert capsys.readouterr().err.count("\n") == 1

    def test_missing_matplotlib_is_reported(self, monkeypatch):
        monkeypatch.setitem(sys.modules, "matplotlib", None)
        with pytest.raises(exceptions.SettingsError) as raised:
            report.make_page({"relay": RELAY})
        assert "needs matplotlib" in str(raised.value)
