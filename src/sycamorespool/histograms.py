"""Implements histograms of durations with fixed, log-spaced buckets."""

import array
import bisect
import dataclasses

BUCKETS_PER_DECADE = 10
LOWEST_BOUND_S = 0.001
DECADES = 5
BOUNDS_S: tuple[float, ...] = tuple(
    LOWEST_BOUND_S * 10 ** (i / BUCKETS_PER_DECADE)
    for i in range(DECADES * BUCKETS_PER_DECADE + 1)
)
QUANTILES = {"p50": 0.50, "p95": 0.95, "p99": 0.99}


def _make_counts() -> "array.array[int]":
    return array.array("Q", bytes(8 * (len(BOUNDS_S) + 1)))


@dataclasses.dataclass(slots=True)
class Histogram:
    """Counts durations in ten buckets per decade, from 1 ms to 100 s.

    Parameters
    ----------
    counts : array of int, shape (52,)
        Bucket ``i`` counts values up to ``BOUNDS_S[i]``; the last bucket
        counts values above the highest bound.
    sum_s : float
        Sum of all values.
    """

    counts: "array.array[int]" = dataclasses.field(
        default_factory=_make_counts
    )
    sum_s: float = 0.0

    @property
    def count(self) -> int:
        """Return the number of values."""
        return sum(self.counts)

    def observe(self, value_s: float, times: int = 1) -> None:
        """Add a value ``times`` times."""
        self.counts[bisect.bisect_left(BOUNDS_S, value_s)] += times
        self.sum_s += value_s * times

    def add(self, other: "Histogram") -> None:
        """Add the counts of another histogram."""
        for i, count in enumerate(other.counts):
            self.counts[i] += count
        self.sum_s += other.sum_s

    def quantile(self, fraction: float) -> float:
        """Return an upper bound of a quantile, in seconds.

        The bound is at most 26 % above the true value.  It is 0 without
        values and infinity if the quantile is above the highest bound.
        """
        rank = fraction * self.count
        if not rank:
            return 0.0
        below = 0
        for bound_s, count in zip(BOUNDS_S, self.counts, strict=False):
            below += count
            if below >= rank:
                return bound_s
        return float("inf")

    def summarise(self) -> dict[str, float | int | None]:
        """Return the count, the mean and the quantiles.

        A quantile above the highest bound is None, as JSON has no infinity.
        """
        count = self.count
        summary: dict[str, float | int | None] = {
            "count": count,
            "mean_s": self.sum_s / count if count else 0.0,
        }
        for name, fraction in QUANTILES.items():
            value_s = self.quantile(fraction)
            summary[f"{name}_s"] = None if value_s == float("inf") else value_s
        return summary


@dataclasses.dataclass(slots=True)
class WindowedHistogram:
    """Holds one histogram in total and one for each of two windows.

    ``total`` has the values up to the current window.
    """

    total: Histogram = dataclasses.field(default_factory=Histogram)
    current: Histogram = dataclasses.field(default_factory=Histogram)
    previous: Histogram = dataclasses.field(default_factory=Histogram)

    def rotate(self) -> None:
        """Move the current window into the past and begin a new one."""
        self.total.add(self.current)
        self.previous = self.current
        self.current = Histogram()

    def since_start(self) -> Histogram:
        """Return the histogram of all values since the start."""
        merged = Histogram()
        merged.add(self.total)
        merged.add(self.current)
        return merged

    def recent(self) -> Histogram:
        """Return the histogram of the current and the previous window."""
        merged = Histogram()
        merged.add(self.previous)
        merged.add(self.current)
        return merged
