"""Results of a run of the demo or the process soak, and their checks."""

import collections
import dataclasses

from examples import processes

DATA_CENTRES = ("barracas", "palermo", "avellaneda")
GROUPS = 6


@dataclasses.dataclass(slots=True)
class RunResults:
    """What a run observed.

    Parameters
    ----------
    served : counter
        Complete answers by entry.
    refused : counter
        Refused requests by status.
    failures : list of str
        Checks that failed.
    charges : counter
        Successful answers by charge.
    not_run : set of str
        Charges that were refused as not run.
    samples : list of tuple
        Time in s, number of groups that serve, number of stranded VMs.
    """

    served: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    failures: list[str] = dataclasses.field(default_factory=list)
    charges: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    not_run: set[str] = dataclasses.field(default_factory=set)
    samples: list[tuple[float, int, int]] = dataclasses.field(
        default_factory=list
    )


def check_charges(results: RunResults, runs: collections.Counter[str]) -> None:
    """Check the runs of the services against the answers to callers."""
    for name, count in runs.items():
        if count != 1:
            results.failures.append(f"charge {name} ran {count} times")
    for name in results.charges:
        if name not in runs:
            results.failures.append(f"charge {name} was answered, but not run")
    for name in results.not_run & set(runs):
        results.failures.append(
            f"charge {name} ran, but was refused as not run"
        )


async def check_crashes(
    deployment: processes.Deployment, results: RunResults
) -> None:
    """Check that no engine crashed because it got too much load."""
    for process in deployment.processes.values():
        is_engine = process.name.split("-")[0] in DATA_CENTRES
        if is_engine and process.popen.poll() is None:
            counts = await deployment.get(f"{process.address}/counts")
            if counts["falls"]:
                results.failures.append(f"{process.name} crashed under load")


async def check_invariants(
    deployment: processes.Deployment, results: RunResults, entries: list[str]
) -> None:
    """Check that the entries counted no violated invariant."""
    for name in entries:
        status = await deployment.operate(name, "GET", "/status")
        results.failures += [
            f"{name} counted {series} {times} times"
            for series, times in status["metrics"]["counters"].items()
            if series.startswith("invariants_violated")
        ]


def report(results: RunResults) -> None:
    """Print what was served and refused, group downtime and stranded time."""
    print(f"demo: served {dict(results.served)}")
    print(f"demo: refused {dict(results.refused)}")
    downtime_s = 0.0
    stranded_s = 0.0
    for (then_s, whole, stranded), (now_s, _, _) in zip(
        results.samples, results.samples[1:], strict=False
    ):
        downtime_s += (GROUPS - whole) * (now_s - then_s)
        stranded_s += stranded * (now_s - then_s)
    print(f"demo: group downtime {downtime_s:.1f} group-seconds")
    print(f"demo: stranded {stranded_s:.1f} VM-seconds")
