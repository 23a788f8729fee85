"""A long randomised run of faults against real processes.

Faults are drawn from a table with a fixed seed and overlap.  While callers
keep streams and keyed charges in flight, every answer is checked; at the
end the runs of each charge, the falls of the engines and the invariants
that entries counted are compared with what must hold::

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
from examples import verdicts
from sycamorespool import http_client

CALM_S = (0.3, 2.0)
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
        Engine VMs that are dead.
    expected_falls : int
        Falls of engines that the run itself ordered.
    """

    deployment: processes.Deployment
    rng: random.Random
    entries: list[str]
    tally: verdicts.Tally = dataclasses.field(default_factory=verdicts.Tally)
    down: set[str] = dataclasses.field(default_factory=set)
    busy: set[str] = dataclasses.field(default_factory=set)
    expected_falls: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    cancelled_charges: int = 0

    def pick_engine(self) -> str:
        """Choose an engine VM that runs and that no fault uses."""
        names = sorted(
            name
            for name, process in self.deployment.processes.items()
            if name.split("-")[0] in verdicts.DATA_CENTRES
            and process.popen.poll() is None
            and name not in self.busy
        )
        return self.rng.choice(names)

    def pick_entry(self) -> str | None:
        """Choose an entry that no fault uses, if another one is left."""
        idle = sorted(set(self.entries) - self.busy)
        return self.rng.choice(idle) if len(idle) > 1 else None


async def kill_vm(soak: Soak) -> str:
    """End a VM at once and start it again later."""
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
    soak.expected_falls[name] += 1
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
    """Pause an engine and let it go on."""
    return await _freeze(soak, soak.pick_engine())


async def freeze_entry(soak: Soak) -> str:
    """Pause an entry beyond its lease and let it go on."""
    name = soak.pick_entry()
    if name is None:
        return "no entry to spare"
    soak.entries.remove(name)
    try:
        return await _freeze(soak, name)
    finally:
        soak.entries.append(name)


async def kill_entry(soak: Soak) -> str:
    """End an entry at once and start another in its place."""
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
    async def order(soak: Soak) -> str:
        if "platform" in soak.busy:
            return "platform has a fault already"
        soak.busy.add("platform")
        await soak.deployment.set_faults("platform", **faults)
        await trio.sleep(soak.rng.uniform(*OUTAGE_S))
        await soak.deployment.set_faults("platform")
        soak.busy.discard("platform")
        return str(faults)

    return order


def _engine_fault(**faults: object) -> "Fault":
    async def order(soak: Soak) -> str:
        name = soak.pick_engine()
        soak.busy.add(name)
        await soak.deployment.set_faults(name, **faults)
        await trio.sleep(soak.rng.uniform(*OUTAGE_S))
        await soak.deployment.set_faults(name)
        soak.busy.discard(name)
        return f"{name} {faults}"

    return order


async def drain(soak: Soak) -> str:
    """Take a data centre out, check that it gets no work, bring it back."""
    name = soak.rng.choice(verdicts.DATA_CENTRES)
    if "drain" in soak.busy or "platform" in soak.busy:
        return "another drain or an outage goes on"
    soak.busy.add("drain")
    entry = next(n for n in soak.entries if n not in soak.busy)
    change = {"data_centres": {name: {"in_service": False}}}
    said = await demo.patch(soak.deployment, entry, change)
    if said.startswith("accepted"):
        await trio.sleep(demo.DRAIN_LIMIT_S)
        before = await demo.count_served(soak.deployment, name)
        await trio.sleep(soak.rng.uniform(*CALM_S))
        after = await demo.count_served(soak.deployment, name)
        # A killed VM takes its count with it, so only growth is a fault.
        if after > before:
            soak.tally.faults.append(f"{name} got work after its drain")
        change = {"data_centres": {name: {"in_service": True}}}
        said = await demo.patch(soak.deployment, entry, change)
    soak.busy.discard("drain")
    return f"{name} {said}"


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
                soak.deployment, soak.tally, entry, f"charge-{number}"
            )
        except (http_client.NotReached, http_client.ExchangeFailed):
            soak.cancelled_charges += 1
        await trio.sleep(0.05)


async def _keep_completing(soak: Soak, lane: int, stop: trio.Event) -> None:
    for number in itertools.count():
        if stop.is_set():
            return
        entry = soak.rng.choice(soak.entries)
        before = len(soak.tally.faults)
        await demo.complete(
            soak.deployment, soak.tally, entry, f"{lane}/{number}"
        )
        is_entry_gone = entry not in soak.entries or entry in soak.busy
        if is_entry_gone:
            # The caller's own entry was killed or frozen meanwhile: its
            # connection broke, which is a visible failure and allowed.
            soak.tally.faults[before:] = [
                fault
                for fault in soak.tally.faults[before:]
                if not fault.startswith("completion cut")
            ]
        await trio.sleep(0.01)


async def _inject(soak: Soak, steps: int) -> None:
    async with trio.open_nursery() as nursery:
        for step in range(steps):
            name = soak.rng.choice(sorted(FAULTS))
            nursery.start_soon(_run_fault, soak, step, name)
            await trio.sleep(soak.rng.uniform(*CALM_S))


async def _run_fault(soak: Soak, step: int, name: str) -> None:
    try:
        said = await FAULTS[name](soak)
    except (
        http_client.NotReached,
        http_client.ExchangeFailed,
        RuntimeError,
    ) as error:
        said = f"not ordered: {error}"
    print(f"soak: step {step} {name}: {said}", flush=True)


async def _check_end(soak: Soak) -> None:
    deployment, tally = soak.deployment, soak.tally
    runs: collections.Counter[str] = collections.Counter()
    for name, process in deployment.processes.items():
        if process.popen.poll() is not None:
            continue
        counts = await deployment.get(f"{process.address}/counts")
        if name.startswith("orders-"):
            runs.update(counts["runs"])
        elif name.split("-")[0] in verdicts.DATA_CENTRES:
            falls = counts["falls"] - soak.expected_falls[name]
            if falls > 0:
                tally.faults.append(f"{name} fell over {falls} times")
    await verdicts.check_invariants(deployment, tally, soak.entries)
    verdicts.check_charges(tally, runs)


async def run_soak(seed: int, steps: int) -> verdicts.Tally:
    """Run the faults of one seed and return what was seen."""
    async with (
        processes.Deployment() as deployment,
        trio.open_nursery() as nursery,
    ):
        entries = await demo.start(deployment)
        soak = Soak(deployment, random.Random(seed), entries)
        await demo.patch(deployment, entries[0], demo.DOCUMENT)
        nursery.start_soon(
            demo.sample_groups, deployment, soak.tally, soak.entries
        )
        await demo.wait_for_groups(deployment, soak.tally, verdicts.GROUPS)
        stop = trio.Event()
        async with trio.open_nursery() as callers:
            callers.start_soon(_keep_charging, soak, stop)
            for lane in range(6):
                callers.start_soon(_keep_completing, soak, lane, stop)
            await _inject(soak, steps)
            try:
                await deployment.wait_for(
                    lambda: _recovered(soak), RECOVERY_LIMIT_S
                )
            except TimeoutError:
                soak.tally.faults.append("the groups did not recover")
            stop.set()
        await _check_end(soak)
        nursery.cancel_scope.cancel()
    return soak.tally


async def _recovered(soak: Soak) -> bool:
    samples = soak.tally.samples
    return bool(samples) and samples[-1][1] >= verdicts.GROUPS


def main() -> int:
    """Run one seed and return an exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=30)
    chosen = parser.parse_args()
    tally = trio.run(run_soak, chosen.seed, chosen.steps)
    verdicts.report(tally)
    for fault, count in collections.Counter(tally.faults).items():
        print(f"soak: fault: {fault} ({count} times)")
    print(f"soak: seed {chosen.seed} {'failed' if tally.faults else 'ok'}")
    return 1 if tally.faults else 0


if __name__ == "__main__":
    sys.exit(main())
