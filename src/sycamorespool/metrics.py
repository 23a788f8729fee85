"""Keeps the metrics of an entry and sends them to a statsd server.

:mod:`sycamorespool.metric_table` defines every counter, gauge and
histogram.  A change of a value sends nothing: :func:`export` sends one batch
per period, so that a token costs no datagram::

    metrics = Metrics()
    metrics.count("requests_served", "ferreyra", "high")
    metrics.observe("queue_wait_s", 0.012, "ferreyra", "high")
    metrics.set("log_lag_s", 0.4)
"""

import collections
from collections import abc
import dataclasses
import re
import typing as t

import statsd
import trio

from sycamorespool import exceptions
from sycamorespool import histograms
from sycamorespool import invariants
from sycamorespool import metric_table

EXPORT_PERIOD_S = 5.0
# Length of a histogram window; "recent" values cover one to two of them.
WINDOW_S = 60.0
MAX_SERIES = 4096
# Fits into one Ethernet frame, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1432

Series: t.TypeAlias = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Metrics:
    """Holds the values of one entry, by metric name and labels."""

    counters: collections.Counter[Series] = dataclasses.field(
        default_factory=collections.Counter
    )
    gauges: dict[Series, float] = dataclasses.field(default_factory=dict)
    windows: dict[Series, histograms.WindowedHistogram] = dataclasses.field(
        default_factory=dict
    )
    window_began_s: float = float("-inf")
    _sent: collections.Counter[Series] = dataclasses.field(
        default_factory=collections.Counter
    )

    def _admit(self, known: abc.Container[Series], series: Series) -> bool:
        metric = metric_table.METRICS[series[0]]
        if len(series) != 1 + len(metric.labels):
            raise ValueError(f"{series[0]} has the labels {metric.labels}")
        if series in known:
            return True
        total = len(self.counters) + len(self.gauges) + len(self.windows)
        if total < MAX_SERIES:
            return True
        self.counters[("series_dropped",)] += 1
        return False

    def count(self, name: str, *labels: str, times: int = 1) -> None:
        """Increment a counter.

        Raises
        ------
        KeyError, ValueError
            If there is no such metric, or it has another number of labels.
        """
        series = (name, *labels)
        if self._admit(self.counters, series):
            self.counters[series] += times

    def set(self, name: str, value: float, *labels: str) -> None:
        """Set a gauge; it raises the same errors as :meth:`count`."""
        series = (name, *labels)
        if self._admit(self.gauges, series):
            self.gauges[series] = value

    def observe(
        self, name: str, value_s: float, *labels: str, times: int = 1
    ) -> None:
        """Add a duration to a histogram, with the errors of :meth:`count`."""
        series = (name, *labels)
        windows = self.windows.get(series)
        if windows is None:
            if not self._admit(self.windows, series):
                return
            windows = self.windows[series] = histograms.WindowedHistogram()
        windows.current.observe(value_s, times)

    def observe_stream(
        self, first_s: float, last_s: float, chunks: int, *labels: str
    ) -> None:
        """Add the gaps between the chunks of a stream, each as their mean.

        Parameters
        ----------
        first_s, last_s : float
            Times at which its first and last chunk were forwarded.
        chunks : int
            Number of chunks; a single chunk has no gap.
        """
        if chunks > 1:
            gap_s = (last_s - first_s) / (chunks - 1)
            self.observe("between_tokens_s", gap_s, *labels, times=chunks - 1)

    def rotate(self, now_s: float) -> None:
        """Begin a new window of the histograms once the current one ends."""
        if now_s - self.window_began_s < WINDOW_S:
            return
        self.window_began_s = now_s
        for windows in self.windows.values():
            windows.rotate()

    def describe(self) -> dict[str, t.Any]:
        """Return all values in the form in which ``/status`` shows them.

        The name of a series is its parts joined by dots.  Each histogram
        is given for the last one to two minutes and since the start.
        """
        return {
            "counters": {
                _format_series(s): v for s, v in self.counters.items()
            },
            "gauges": {_format_series(s): v for s, v in self.gauges.items()},
            "histograms": {
                _format_series(series): {
                    "recent": windows.recent().summarise(),
                    "since_start": windows.since_start().summarise(),
                }
                for series, windows in self.windows.items()
            },
        }

    def send(self, client: statsd.StatsClient) -> None:
        """Send all values in as few datagrams as possible."""
        with client.pipeline() as batch:
            for series, value in self.counters.items():
                increase = value - self._sent[series]
                if increase:
                    batch.incr(_format_series(series), increase)
            for series, gauge in self.gauges.items():
                batch.gauge(_format_series(series), gauge)
            for series, windows in self.windows.items():
                _send_histogram(batch, series, windows.recent())
        self._sent = collections.Counter(self.counters)


def _format_series(series: Series) -> str:
    # A dot, colon, bar or at sign would be parsed as statsd syntax.
    return ".".join(re.sub(r"[^A-Za-z0-9_-]", "_", s) for s in series)


def _send_histogram(
    batch: statsd.client.udp.Pipeline,
    series: Series,
    recent: histograms.Histogram,
) -> None:
    for name, fraction in histograms.QUANTILES.items():
        value_s = min(recent.quantile(fraction), histograms.BOUNDS_S[-1])
        batch.gauge(f"{_format_series(series)}.{name}", value_s)
    batch.gauge(f"{_format_series(series)}.count", recent.count)


class _Client(statsd.StatsClient):
    """Sends without blocking; a datagram that would block is dropped."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(
            host,
            port,
            prefix,
            maxudpsize=MAX_DATAGRAM_BYTES,
            ipv6=":" in host,
        )
        self._sock.setblocking(False)


def make_client(address: str, prefix: str) -> statsd.StatsClient | None:
    """Return a statsd client for ``IP:port``, or None without an address.

    Raises
    ------
    SettingsError
        If the address cannot be used.
    """
    if not address:
        return None
    host, _, port = address.rpartition(":")
    try:
        return _Client(host.strip("[]"), int(port), prefix)
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            "statsd", "address", str(error)
        ) from error


def count_violations(metrics: Metrics) -> None:
    """Count every later violation of an invariant in the metrics."""
    invariants.add_listener(
        lambda name, detail: metrics.count("invariants_violated", name)
    )


async def export(
    metrics: Metrics,
    client: statsd.StatsClient | None,
    update: abc.Callable[[float], None],
    period_s: float = EXPORT_PERIOD_S,
) -> None:
    """Update the gauges and send all values once per period, endlessly.

    Parameters
    ----------
    update : callable
        Sets the gauges; it is called with the current time in seconds.
    """
    while True:
        await trio.sleep(period_s)
        now_s = trio.current_time()
        update(now_s)
        metrics.rotate(now_s)
        if client is not None:
            metrics.send(client)
