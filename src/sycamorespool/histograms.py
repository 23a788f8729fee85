"""Histograms of durations with fixed, log-spaced buckets."""

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
    """Counts of durations in fixed buckets, ten a decade from 1 ms to 100 s.

    Parameters
    ----------
    counts : array of int, shape (52,)
        Bucket ``i`` counts values up to ``BOUNDS_S[i]``; the last one
        counts those over the highest bound.
    sum_s : float
        Sum of all values.
    """

    counts: "array.array[int]" = dataclasses.field(
        default_factory=_make_counts
    )
    sum_s: float = 0.0

    @property
    def count(self) -> int:
        """Number of values."""
        return sum(self.counts)

    def observe(self, value_s: float, times: int = 1) -> None:
        """Count a value ``times`` times."""
        self.counts[bisect.bisect_left(BOUNDS_S, value_s)] += times
        self.sum_s += value_s * times

    def add(self, other: "Histogram") -> None:
        """Add the counts of another histogram."""
        for i, count in enumerate(other.counts):
            self.counts[i] += count
        self.sum_s += other.sum_s

    def quantile(self, fraction: float) -> float:
        """Return the bound that a fraction of the values is under, in s.

        It is at most 26 % over the true value; 0 if there are no values,
        infinity if it is over the highest bound.
        """
        wanted = fraction * self.count
        if not wanted:
            return 0.0
        below = 0
        for bound_s, count in zip(BOUNDS_S, self.counts, strict=False):
            below += count
            if below >= wanted:
                return bound_s
        return float("inf")

    def summarise(self) -> dict[str, float | int | None]:
        """Return count, mean and quantiles; a quantile without bound is None.

        JSON has no infinity.
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
class Windows:
    """A histogram since the start, and of this and the last window."""

    total: Histogram = dataclasses.field(default_factory=Histogram)
    current: Histogram = dataclasses.field(default_factory=Histogram)
    previous: Histogram = dataclasses.field(default_factory=Histogram)

    def rotate(self) -> None:
        """Begin a new window."""
        self.total.add(self.current)
        self.previous = self.current
        self.current = Histogram()

    def since_start(self) -> Histogram:
        """Return the counts since the start."""
        whole = Histogram()
        whole.add(self.total)
        whole.add(self.current)
        return whole

    def recent(self) -> Histogram:
        """Return the counts of this and the last window."""
        whole = Histogram()
        whole.add(self.previous)
        whole.add(self.current)
        return whole
