"""What the demo and the randomised run saw, and the checks of it."""

import collections
import dataclasses

from examples import processes

DATA_CENTRES = ("barracas", "palermo", "avellaneda")
GROUPS = 6


@dataclasses.dataclass(slots=True)
class Tally:
    """What the demo saw."""

    served: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: list[str] = dataclasses.field(default_factory=list)
    charges: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    not_run: set[str] = dataclasses.field(default_factory=set)
    samples: list[tuple[float, int, int]] = dataclasses.field(
        default_factory=list
    )


def check_charges(tally: Tally, runs: collections.Counter[str]) -> None:
    """Compare what the services ran with what callers were told."""
    for name, count in runs.items():
        if count != 1:
            tally.faults.append(f"charge {name} ran {count} times")
    for name in tally.charges:
        if name not in runs:
            tally.faults.append(f"charge {name} was answered, but not run")
    for name in tally.not_run & set(runs):
        tally.faults.append(f"charge {name} ran, but was called not run")


async def check_falls(deployment: processes.Deployment, tally: Tally) -> None:
    """Check that no engine got more load than it could bear."""
    for process in deployment.processes.values():
        is_engine = process.name.split("-")[0] in DATA_CENTRES
        if is_engine and process.popen.poll() is None:
            counts = await deployment.get(f"{process.address}/counts")
            if counts["falls"]:
                tally.faults.append(f"{process.name} fell over under load")


async def check_invariants(
    deployment: processes.Deployment, tally: Tally, entries: list[str]
) -> None:
    """Check that the entries counted no promise that did not hold."""
    for name in entries:
        status = await deployment.operate(name, "GET", "/status")
        tally.faults += [
            f"{name} counted {series} {times} times"
            for series, times in status["metrics"]["counters"].items()
            if series.startswith("invariants_violated")
        ]


def report(tally: Tally) -> None:
    """Print what was served, refused, down and stranded over the run."""
    print(f"demo: served {dict(tally.served)}")
    print(f"demo: refused {dict(tally.refused)}")
    downtime_s = 0.0
    stranded_s = 0.0
    for (then_s, whole, stranded), (now_s, _, _) in zip(
        tally.samples, tally.samples[1:], strict=False
    ):
        downtime_s += (GROUPS - whole) * (now_s - then_s)
        stranded_s += stranded * (now_s - then_s)
    print(f"demo: group downtime {downtime_s:.1f} group-seconds")
    print(f"demo: stranded {stranded_s:.1f} VM-seconds")
