"""A long randomised run of faults against real processes.

Faults are drawn from a table with a fixed seed and overlap.  While callers
keep streams and charges with idempotency keys in flight, every answer is
checked.  At the end the runs of each charge, the crashes of the engines and
the violated invariants that entries counted are checked::

    python -m benchmarks.process_soak --seed 7 --steps 30
"""

import argparse
import collections
import dataclasses
import itertools
import random
import signal
import sys
import typing as t

import trio

from examples import demo
from examples import processes
from examples import run_results
from sycamorespool import http_client

# Bounds of the time between two faults and of the duration of a fault.
PAUSE_S = (0.3, 2.0)
FREEZE_S = (0.5, 6.0)
OUTAGE_S = (0.5, 8.0)
DRAIN_S = (6.0, 9.0)
RECOVERY_LIMIT_S = 60.0


@dataclasses.dataclass(slots=True)
class Soak:
    """State of one run.

    Parameters
    ----------
    entries : list of str
        Entries that callers use now.
    down : set of str
        Engine VMs that are down.
    busy : set of str
        Names of what a fault affects now.
    expected_crashes : counter
        Crashes that the run itself caused, by engine.
    """

    deployment: processes.Deployment
    rng: random.Random
    entries: list[str]
    results: run_results.RunResults = dataclasses.field(
        default_factory=run_results.RunResults
    )
    down: set[str] = dataclasses.field(default_factory=set)
    busy: set[str] = dataclasses.field(default_factory=set)
    expected_crashes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    unanswered_charges: int = 0

    def pick_engine(self) -> str:
        """Choose an engine VM that runs and that no fault affects."""
        names = sorted(
            name
            for name, process in self.deployment.processes.items()
            if name.split("-")[0] in run_results.DATA_CENTRES
            and process.popen.poll() is None
            and name not in self.busy
        )
        return self.rng.choice(names)

    def pick_entry(self) -> str | None:
        """Choose an entry that no fault affects, if another one is left."""
        idle = sorted(set(self.entries) - self.busy)
        return self.rng.choice(idle) if len(idle) > 1 else None


async def kill_vm(soak: Soak) -> str:
    """Kill a VM and start it again later."""
    name = soak.pick_engine()
    soak.busy.add(name)
    soak.deployment.kill(name)
    await trio.sleep(soak.rng.uniform(*OUTAGE_S))
    data_centre = soak.deployment.processes[name].data_centre
    await soak.deployment.start_engine(name, data_centre, f"{data_centre}-f1")
    soak.busy.discard(name)
    return name


async def turn_cold(soak: Soak) -> str:
    """Make an engine lose its weights without notice."""
    name = soak.pick_engine()
    soak.expected_crashes[name] += 1
    address = soak.deployment.processes[name].address
    await soak.deployment.call("POST", f"{address}/cold", ok=(204,))
    return name


async def _freeze(soak: Soak, name: str) -> str:
    soak.busy.add(name)
    popen = soak.deployment.processes[name].popen
    popen.send_signal(signal.SIGSTOP)
    try:
        await trio.sleep(soak.rng.uniform(*FREEZE_S))
    finally:
        popen.send_signal(signal.SIGCONT)
    soak.busy.discard(name)
    return name


async def freeze_vm(soak: Soak) -> str:
    """Pause an engine and let it continue."""
    return await _freeze(soak, soak.pick_engine())


async def freeze_entry(soak: Soak) -> str:
    """Pause an entry, possibly beyond its lease, and let it continue."""
    name = soak.pick_entry()
    if name is None:
        return "no entry to spare"
    soak.entries.remove(name)
    try:
        return await _freeze(soak, name)
    finally:
        soak.entries.append(name)


async def kill_entry(soak: Soak) -> str:
    """Kill an entry and start another one in its place."""
    name = soak.pick_entry()
    if name is None:
        return "no entry to spare"
    soak.busy.add(name)
    soak.entries.remove(name)
    data_centre = soak.deployment.processes[name].data_centre
    soak.deployment.kill(name)
    await trio.sleep(soak.rng.uniform(0.0, 2.0))
    await soak.deployment.remove(name)
    new = await soak.deployment.start_entry(f"{name}x", data_centre)
    await soak.deployment.wait_for(
        lambda: demo.is_ready(soak.deployment, new.address), RECOVERY_LIMIT_S
    )
    soak.entries.append(new.name)
    return f"{name} -> {new.name}"


def _platform_fault(**faults: object) -> "Fault":
    async def apply(soak: Soak) -> str:
        if "platform" in soak.busy:
            return "platform has a fault already"
        soak.busy.add("platform")
        await soak.deployment.set_faults("platform", **faults)
        await trio.sleep(soak.rng.uniform(*OUTAGE_S))
        await soak.deployment.set_faults("platform")
        soak.busy.discard("platform")
        return str(faults)

    return apply


def _engine_fault(**faults: object) -> "Fault":
    async def apply(soak: Soak) -> str:
        name = soak.pick_engine()
        soak.busy.add(name)
        await soak.deployment.set_faults(name, **faults)
        await trio.sleep(soak.rng.uniform(*OUTAGE_S))
        await soak.deployment.set_faults(name)
        soak.busy.discard(name)
        return f"{name} {faults}"

    return apply


async def drain(soak: Soak) -> str:
    """Drain a data centre, check that it gets no work, and restore it."""
    name = soak.rng.choice(run_results.DATA_CENTRES)
    if "drain" in soak.busy or "platform" in soak.busy:
        return "another drain or an outage is in progress"
    soak.busy.add("drain")
    entry = next(n for n in soak.entries if n not in soak.busy)
    change = {"data_centres": {name: {"in_service": False}}}
    result = await demo.patch(soak.deployment, entry, change)
    if result.startswith("accepted"):
        await trio.sleep(demo.DRAIN_LIMIT_S)
        before = await demo.count_served(soak.deployment, name)
        await trio.sleep(soak.rng.uniform(*PAUSE_S))
        after = await demo.count_served(soak.deployment, name)
        # The count of a killed VM is lost, so only growth is a failure.
        if after > before:
            soak.results.failures.append(f"{name} got work after its drain")
        change = {"data_centres": {name: {"in_service": True}}}
        result = await demo.patch(soak.deployment, entry, change)
    soak.busy.discard("drain")
    return f"{name} {result}"


Fault = t.Callable[[Soak], t.Awaitable[str]]
FAULTS: dict[str, Fault] = {
    "kill VM": kill_vm,
    "cold VM": turn_cold,
    "freeze VM": freeze_vm,
    "freeze entry": freeze_entry,
    "kill entry": kill_entry,
    "log down": _platform_fault(log_down=True),
    "append answers lost": _platform_fault(append_answer_lost=True),
    "log slow": _platform_fault(slow_s=0.5),
    "membership frozen": _platform_fault(membership_frozen=True),
    "streams cut": _engine_fault(cut_after_tokens=5),
    "answers crossed": _engine_fault(answer_crossed=True),
    "order answers lost": _engine_fault(order_answer_lost=True),
    "drain": drain,
}


async def _keep_charging(soak: Soak, stop: trio.Event) -> None:
    for number in itertools.count():
        if stop.is_set():
            return
        entry = soak.rng.choice(soak.entries)
        try:
            await demo.charge(
                soak.deployment, soak.results, entry, f"charge-{number}"
            )
        except (http_client.NotReached, http_client.ExchangeFailed):
            soak.unanswered_charges += 1
        await trio.sleep(0.05)


async def _keep_completing(soak: Soak, worker: int, stop: trio.Event) -> None:
    for number in itertools.count():
        if stop.is_set():
            return
        entry = soak.rng.choice(soak.entries)
        before = len(soak.results.failures)
        await demo.complete(
            soak.deployment, soak.results, entry, f"{worker}/{number}"
        )
        is_entry_gone = entry not in soak.entries or entry in soak.busy
        if is_entry_gone:
            # The caller's entry was killed or frozen meanwhile, so its
            # connection broke.  The caller sees that, which is allowed.
            soak.results.failures[before:] = [
                failure
                for failure in soak.results.failures[before:]
                if not failure.startswith("completion cut")
            ]
        await trio.sleep(0.01)


async def _inject(soak: Soak, steps: int) -> None:
    async with trio.open_nursery() as nursery:
        for step in range(steps):
            name = soak.rng.choice(sorted(FAULTS))
            nursery.start_soon(_run_fault, soak, step, name)
            await trio.sleep(soak.rng.uniform(*PAUSE_S))


async def _run_fault(soak: Soak, step: int, name: str) -> None:
    try:
        result = await FAULTS[name](soak)
    except (
        http_client.NotReached,
        http_client.ExchangeFailed,
        RuntimeError,
    ) as error:
        result = f"not injected: {error}"
    print(f"soak: step {step} {name}: {result}", flush=True)


async def _check_end(soak: Soak) -> None:
    deployment, results = soak.deployment, soak.results
    runs: collections.Counter[str] = collections.Counter()
    for name, process in deployment.processes.items():
        if process.popen.poll() is not None:
            continue
        counts = await deployment.get(f"{process.address}/counts")
        if name.startswith("orders-"):
            runs.update(counts["runs"])
        elif name.split("-")[0] in run_results.DATA_CENTRES:
            crashes = counts["falls"] - soak.expected_crashes[name]
            if crashes > 0:
                results.failures.append(f"{name} crashed {crashes} times")
    await run_results.check_invariants(deployment, results, soak.entries)
    run_results.check_charges(results, runs)


async def run_soak(seed: int, steps: int) -> run_results.RunResults:
    """Run the faults of one seed and return the results."""
    async with (
        processes.Deployment() as deployment,
        trio.open_nursery() as nursery,
    ):
        entries = await demo.start(deployment)
        soak = Soak(deployment, random.Random(seed), entries)
        await demo.patch(deployment, entries[0], demo.DOCUMENT)
        nursery.start_soon(
            demo.sample_groups, deployment, soak.results, soak.entries
        )
        await demo.wait_for_groups(
            deployment, soak.results, run_results.GROUPS
        )
        stop = trio.Event()
        async with trio.open_nursery() as callers:
            callers.start_soon(_keep_charging, soak, stop)
            for worker in range(6):
                callers.start_soon(_keep_completing, soak, worker, stop)
            await _inject(soak, steps)
            try:
                await deployment.wait_for(
                    lambda: _has_recovered(soak), RECOVERY_LIMIT_S
                )
            except TimeoutError:
                soak.results.failures.append("the groups did not recover")
            stop.set()
        await _check_end(soak)
        nursery.cancel_scope.cancel()
    return soak.results


async def _has_recovered(soak: Soak) -> bool:
    samples = soak.results.samples
    return bool(samples) and samples[-1][1] >= run_results.GROUPS


def main() -> int:
    """Run one seed and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=30)
    options = parser.parse_args()
    results = trio.run(run_soak, options.seed, options.steps)
    run_results.report(results)
    for failure, count in collections.Counter(results.failures).items():
        print(f"soak: fault: {failure} ({count} times)")
    print(
        f"soak: seed {options.seed} {'failed' if results.failures else 'ok'}"
    )
    return 1 if results.failures else 0


if __name__ == "__main__":
    sys.exit(main())
