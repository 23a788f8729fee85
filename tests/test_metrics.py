"""Tests of the metrics and of the page that documents them."""

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
def statsd_server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5.0)
        yield receiver


def make_client(statsd_server):
    host, port = statsd_server.getsockname()
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
    def test_values_outside_the_range(self, values, p99):
        histogram = histograms.Histogram()
        for value_s in values:
            histogram.observe(value_s)
        assert histogram.summarise()["p99_s"] == p99
        assert len(histogram.counts) == 52

    def test_old_windows_are_dropped_but_the_total_is_kept(self):
        values = metrics.Metrics()
        values.rotate(0.0)
        for now_s in (60.0, 120.0, 180.0):
            values.observe("queue_wait_s", 0.5, "w", "high")
            values.rotate(now_s)
        shown = values.describe()["histograms"]["queue_wait_s.w.high"]
        assert shown["recent"]["count"] == 1
        assert shown["since_start"]["count"] == 3


class TestMetrics:
    def test_stream_counts_one_mean_gap_per_chunk(self):
        values = metrics.Metrics()
        values.observe_stream(10.0, 13.0, 101, "w", "low")
        values.observe_stream(10.0, 13.0, 1, "w", "low")
        shown = values.describe()["histograms"]["between_tokens_s.w.low"]
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
    def test_unknown_series_raises(self, series, error):
        with pytest.raises(error):
            metrics.Metrics().count(*series)

    def test_number_of_series_is_bounded(self, monkeypatch):
        monkeypatch.setattr(metrics, "MAX_SERIES", 2)
        values = metrics.Metrics()
        for name in ("a", "b", "c", "a"):
            values.count("attempts_retried", name)
        assert values.counters[("attempts_retried", "a")] == 2
        assert values.counters[("series_dropped",)] == 1


class TestExport:
    def test_values_are_sent_in_one_datagram(self, statsd_server):
        values = metrics.Metrics()
        for _ in range(1000):
            values.count("requests_served", "a.b", "high")
        values.set("log_lag_s", 0.25)
        values.observe("queue_wait_s", 0.002, "w", "high")
        values.send(make_client(statsd_server))
        lines = statsd_server.recv(2000).decode().splitlines()
        assert lines[:2] == [
            "pool.e1.requests_served.a_b.high:1000|c",
            "pool.e1.log_lag_s:0.25|g",
        ]
        assert lines[-1] == "pool.e1.queue_wait_s.w.high.count:1|g"

    def test_counters_are_sent_as_increments(self, statsd_server):
        values = metrics.Metrics()
        client = make_client(statsd_server)
        for times in (2, 3):
            values.count("log_reads_failed", times=times)
            values.send(client)
            data = statsd_server.recv(2000).decode()
            assert data == f"pool.e1.log_reads_failed:{times}|c"

    def test_sending_without_a_listener_does_not_fail(self, statsd_server):
        values = metrics.Metrics()
        values.count("log_reads_failed")
        client = make_client(statsd_server)
        statsd_server.close()
        values.send(client)
        values.count("log_reads_failed")
        values.send(client)

    def test_gauges_are_updated_once_per_period(self, statsd_server):
        values = metrics.Metrics()
        updates = []

        async def main():
            with trio.move_on_after(5.5):
                await metrics.export(values, None, updates.append, 1.0)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert len(updates) == 5

    def test_empty_address_gives_no_client(self):
        assert metrics.make_client("", "pool") is None


class TestPage:
    @pytest.mark.parametrize("name", metric_table.METRICS)
    def test_metric_is_used_in_the_source(self, name):
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
