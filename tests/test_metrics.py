"""Tests of the metrics and their page."""

import pathlib
import re
import socket

import pytest
import trio
import trio.testing

from sycamorespool import histograms
from sycamorespool import metric_table
from sycamorespool import metrics

SOURCE = pathlib.Path(metrics.__file__).parent
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "metrics.md"


@pytest.fixture
def sink():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5.0)
        yield receiver


def make_client(sink):
    host, port = sink.getsockname()
    return metrics.make_client(f"{host}:{port}", "pool.e1")


class TestHistogram:
    @pytest.mark.parametrize("value_s", [0.0011, 0.033, 0.33, 7.0, 99.0])
    def test_quantile_is_a_close_upper_bound(self, value_s):
        histogram = histograms.Histogram()
        histogram.observe(value_s, times=3)
        found_s = histogram.quantile(0.95)
        assert value_s <= found_s <= value_s * 1.26

    def test_quantile_of_a_mixture(self):
        histogram = histograms.Histogram()
        histogram.observe(0.010, times=94)
        histogram.observe(1.0, times=6)
        assert histogram.quantile(0.5) == pytest.approx(0.010)
        assert histogram.quantile(0.95) == pytest.approx(1.0)

    @pytest.mark.parametrize(
        ("values", "p99"), [((), 0.0), ((1e4,), None), ((1e-9,), 0.001)]
    )
    def test_ends_of_the_range(self, values, p99):
        histogram = histograms.Histogram()
        for value_s in values:
            histogram.observe(value_s)
        assert histogram.summarise()["p99_s"] == p99
        assert len(histogram.counts) == 52

    def test_windows_forget_and_the_total_does_not(self):
        kept = metrics.Metrics()
        kept.rotate(0.0)
        for now_s in (60.0, 120.0, 180.0):
            kept.observe("queue_wait_s", 0.5, "w", "high")
            kept.rotate(now_s)
        shown = kept.describe()["histograms"]["queue_wait_s.w.high"]
        assert shown["recent"]["count"] == 1
        assert shown["since_start"]["count"] == 3


class TestMetrics:
    def test_a_stream_is_one_call(self):
        kept = metrics.Metrics()
        kept.observe_stream(10.0, 13.0, 101, "w", "low")
        kept.observe_stream(10.0, 13.0, 1, "w", "low")
        shown = kept.describe()["histograms"]["between_tokens_s.w.low"]
        assert shown["recent"]["count"] == 100
        assert shown["recent"]["mean_s"] == pytest.approx(0.03)

    @pytest.mark.parametrize(
        ("series", "error"),
        [
            (("no_such_metric",), KeyError),
            (("requests_served",), ValueError),
            (("requests_served", "w", "high", "more"), ValueError),
        ],
    )
    def test_unknown_series_is_refused(self, series, error):
        with pytest.raises(error):
            metrics.Metrics().count(*series)

    def test_number_of_series_is_bounded(self, monkeypatch):
        monkeypatch.setattr(metrics, "MAX_SERIES", 2)
        kept = metrics.Metrics()
        for name in ("a", "b", "c", "a"):
            kept.count("attempts_retried", name)
        assert kept.counters[("attempts_retried", "a")] == 2
        assert kept.counters[("series_dropped",)] == 1


class TestExport:
    def test_values_go_in_one_datagram(self, sink):
        kept = metrics.Metrics()
        for _ in range(1000):
            kept.count("requests_served", "a.b", "high")
        kept.set("log_lag_s", 0.25)
        kept.observe("queue_wait_s", 0.002, "w", "high")
        kept.send(make_client(sink))
        lines = sink.recv(2000).decode().splitlines()
        assert lines[:2] == [
            "pool.e1.requests_served.a_b.high:1000|c",
            "pool.e1.log_lag_s:0.25|g",
        ]
        assert lines[-1] == "pool.e1.queue_wait_s.w.high.count:1|g"

    def test_counters_are_sent_as_growth(self, sink):
        kept = metrics.Metrics()
        client = make_client(sink)
        for times in (2, 3):
            kept.count("log_reads_failed", times=times)
            kept.send(client)
            data = sink.recv(2000).decode()
            assert data == f"pool.e1.log_reads_failed:{times}|c"

    def test_nobody_listening_costs_nothing(self, sink):
        kept = metrics.Metrics()
        kept.count("log_reads_failed")
        client = make_client(sink)
        sink.close()
        kept.send(client)
        kept.count("log_reads_failed")
        kept.send(client)

    def test_one_batch_a_period(self, sink):
        kept = metrics.Metrics()
        updates = []

        async def main():
            with trio.move_on_after(5.5):
                await metrics.export(kept, None, updates.append, 1.0)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert len(updates) == 5

    def test_no_address_is_no_client(self):
        assert metrics.make_client("", "pool") is None


class TestPage:
    @pytest.mark.parametrize("name", metric_table.METRICS)
    def test_metric_is_kept_somewhere(self, name):
        users = [
            path.name
            for path in SOURCE.rglob("*.py")
            if path.name != "metric_table.py"
            and f'"{name}"' in path.read_text()
        ]
        assert users

    def test_page_and_table_agree(self):
        rows = re.findall(
            r"^\| `(\w+)` \| (\w+) \| (\w+) \| ([\w, ]*) \| (.+?) \|",
            PAGE.read_text(),
            re.MULTILINE,
        )
        assert [row[:5] for row in rows] == [
            (
                name,
                metric.kind,
                metric.unit,
                ", ".join(metric.labels),
                metric.meaning,
            )
            for name, metric in metric_table.METRICS.items()
        ]
