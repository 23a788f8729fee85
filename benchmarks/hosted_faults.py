"""Defines faults that the soak of the hosted platform injects from outside."""

from collections import abc
import dataclasses
import random
import signal

import trio

from benchmarks import hosted_config
from benchmarks import hosted_deployment
from examples import links
from sycamorespool.standins import hosted_engine

# Bounds of the duration of a fault.
SHORT_FAULT_S = (0.2, 1.5)
LONG_FAULT_S = (1.0, 5.0)
# How long a server that leaves still serves requests.
LINGER_S = 2.5
# Age of the copy from which the store is restored.
COPY_AGE_S = (0.2, 4.0)
# Pause that refusals ask for.
PAUSE_S = (1.0, 4.0)


@dataclasses.dataclass(slots=True)
class Run:
    """Holds the state of one run.

    Parameters
    ----------
    busy : set of str
        Names of what a fault affects now.
    failures : list of str
        Invariants that did not hold.
    revoked_s : dict
        Times at which revocations of keys were acknowledged, by key.
    evacuated : set of str
        Data centres that are evacuated now.
    """

    deployment: hosted_deployment.HostedDeployment
    rng: random.Random
    busy: set[str] = dataclasses.field(default_factory=set)
    failures: list[str] = dataclasses.field(default_factory=list)
    revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuated: set[str] = dataclasses.field(default_factory=set)

    def pick(self, names: abc.Iterable[str]) -> str:
        """Choose a name that no fault affects, empty if there is none."""
        idle = sorted(set(names) - self.busy)
        return self.rng.choice(idle) if idle else ""

    async def sleep_random(self, bounds_s: tuple[float, float]) -> None:
        """Sleep for a random time within bounds."""
        await trio.sleep(self.rng.uniform(*bounds_s))


Fault = abc.Callable[[Run, str], abc.Awaitable[None]]


async def kill_entry(run: Run, name: str) -> None:
    """Kill an entry and start it again."""
    entry = run.deployment.entries[name]
    with entry.disturbed():
        await run.deployment.end_entry(entry, signal.SIGKILL)
        await run.sleep_random(SHORT_FAULT_S)
        run.deployment.run_entry(entry)


async def stop_entry(run: Run, name: str) -> None:
    """Stop an entry by SIGTERM and start it again."""
    entry = run.deployment.entries[name]
    has_started = run.deployment.has_started(entry)
    code = await run.deployment.end_entry(entry, signal.SIGTERM)
    # Until its signal handlers are installed, SIGTERM ends it at once; it has
    # no open requests then.
    if code and (has_started or code != -signal.SIGTERM):
        run.failures.append(f"an entry stopped by SIGTERM exited with {code}")
    run.deployment.run_entry(entry)


async def kill_stopping_entry(run: Run, name: str) -> None:
    """Stop an entry by SIGTERM and kill it before it ends."""
    entry = run.deployment.entries[name]
    with entry.disturbed():
        entry.popen.send_signal(signal.SIGTERM)
        await run.sleep_random(SHORT_FAULT_S)
        await run.deployment.end_entry(entry, signal.SIGKILL)
        run.deployment.run_entry(entry)


async def freeze_entry(run: Run, name: str) -> None:
    """Pause an entry and let it continue with its stale state."""
    entry = run.deployment.entries[name]
    with entry.disturbed():
        entry.popen.send_signal(signal.SIGSTOP)
        try:
            await run.sleep_random(LONG_FAULT_S)
        finally:
            entry.popen.send_signal(signal.SIGCONT)


async def reload_entry(run: Run, name: str) -> None:
    """Change the settings of an entry twice, once with SIGHUP."""
    deployment, entry = run.deployment, run.deployment.entries[name]
    deployment.write_settings(entry, hosted_deployment.STOP_S + 1)
    entry.popen.send_signal(signal.SIGHUP)
    await run.sleep_random(SHORT_FAULT_S)
    deployment.write_settings(entry)
    if entry.popen.poll() == -signal.SIGHUP and not deployment.has_started(
        entry
    ):
        # The signal came while the interpreter started, before any code of
        # this project; the hosting platform restarts such a process.
        deployment.run_entry(entry)


def _disturb_link(
    part: str, disturb: abc.Callable[[links.Link], None]
) -> Fault:
    async def apply(run: Run, name: str) -> None:
        entry = run.deployment.entries[name]
        link = getattr(entry, part)
        with entry.disturbed():
            disturb(link)
            await run.sleep_random(LONG_FAULT_S)
            link.repair()

    return apply


def _delay(link: links.Link) -> None:
    link.delay_s = 0.15


def _hold_answers(link: links.Link) -> None:
    link.hold(to_target=False, from_target=True)


def _hold_requests(link: links.Link) -> None:
    link.hold(to_target=True, from_target=False)


def _disturb_store(**faults: object) -> Fault:
    async def apply(run: Run, name: str) -> None:
        store = run.deployment.store
        for field, value in faults.items():
            setattr(store, field, value)
        await run.sleep_random(LONG_FAULT_S)
        for field in faults:
            setattr(store, field, type(faults[field])())

    return apply


async def expire_history(run: Run, name: str) -> None:
    """Expire the records of the operators and of the registry."""
    run.deployment.store.expire_records("keyed.op")
    run.deployment.store.expire_records("keyed.servers")


async def restore_store(run: Run, name: str) -> None:
    """Take the store down and restore it from a copy some seconds old.

    The operators write again what the copy may lack.
    """
    deployment = run.deployment
    deployment.store.is_down = True
    await run.sleep_random(SHORT_FAULT_S)
    for _ in range(run.rng.randint(1, 2)):
        deployment.restore_store(run.rng.uniform(*COPY_AGE_S))
    deployment.store.is_down = False
    await run.sleep_random((0.0, 0.5))
    deployment.put_config(deployment.version, run.revoked_s.keys())
    for data_centre in hosted_deployment.DATA_CENTRES:
        value = {} if data_centre in run.evacuated else None
        deployment.store.put("keyed.op", f"evacuate/{data_centre}", value)


async def announce_leaving(run: Run, name: str) -> None:
    """Have a server say only in its answers that it leaves, then restart."""
    server = _find_server(run, name)
    server.is_leaving = True
    await trio.sleep(LINGER_S)
    server.crash()
    run.deployment.server_links[name].reset()
    await run.sleep_random(SHORT_FAULT_S)
    server.restart()


async def ask_for_pause(run: Run, name: str) -> None:
    """Have a server refuse requests and ask for a pause."""
    server = _find_server(run, name)
    server.pause_s = run.rng.uniform(*PAUSE_S)
    server.faults.extend(["refuse"] * 3)
    await trio.sleep(server.pause_s)
    server.pause_s = 0.0


async def crash_server(run: Run, name: str) -> None:
    """Crash a server and start it again, cold if it is an engine."""
    server = _find_server(run, name)
    link = run.deployment.server_links[name]
    is_held = run.rng.random() < 0.5
    server.crash()
    link.hold() if is_held else link.cut()
    await run.sleep_random(LONG_FAULT_S)
    link.reset()
    link.repair()
    if server.domain:
        server.cold_until_s = trio.current_time() + hosted_config.COLD_S
    server.restart()


async def cut_server_off_registry(run: Run, name: str) -> None:
    """Stop a server's heartbeats while requests still reach it."""
    run.deployment.registered.discard(name)
    await run.sleep_random(LONG_FAULT_S)
    run.deployment.registered.add(name)


async def drain_server(run: Run, name: str) -> None:
    """Have a server drain and leave, and start it again."""
    server = _find_server(run, name)
    run.deployment.registered.discard(name)
    server.is_healthy = False
    server.write_record("draining")
    await trio.sleep(LINGER_S)
    server.remove_record()
    server.crash()
    run.deployment.server_links[name].reset()
    await run.sleep_random(SHORT_FAULT_S)
    server.is_healthy = True
    run.deployment.registered.add(name)
    server.restart()


def _fail_requests(kind: str) -> Fault:
    async def apply(run: Run, name: str) -> None:
        _find_server(run, name).faults.extend([kind] * 3)

    return apply


async def delay_orders(run: Run, name: str) -> None:
    """Have an engine carry out its next orders late, after the timeout."""
    _find_server(run, name).late_orders += 2


async def change_config(run: Run, name: str) -> None:
    """Write configurations in quick succession."""
    for _ in range(run.rng.randint(1, 3)):
        run.deployment.put_config(
            run.deployment.version + 1, run.revoked_s.keys()
        )
        await run.sleep_random((0.05, 0.5))


async def revoke_key(run: Run, name: str) -> None:
    """Revoke the newest key by another configuration."""
    deployment = run.deployment
    key = f"key-{deployment.version}"
    deployment.put_config(deployment.version + 1, {*run.revoked_s, key})
    run.revoked_s[key] = trio.current_time()


async def evacuate(run: Run, name: str) -> None:
    """Evacuate a data centre and restore it."""
    run.evacuated.add(name)
    run.deployment.store.put("keyed.op", f"evacuate/{name}", {})
    await run.sleep_random(LONG_FAULT_S)
    run.evacuated.discard(name)
    run.deployment.store.put("keyed.op", f"evacuate/{name}", None)


def _find_server(run: Run, name: str) -> hosted_engine.HostedEngine:
    return (run.deployment.engines | run.deployment.servers)[name]


def list_faults(
    deployment: hosted_deployment.HostedDeployment,
) -> dict[str, tuple]:
    """Return the faults by name, each with the names of possible targets."""
    entries, engines = tuple(deployment.entries), tuple(deployment.engines)
    plain, store, operator = (
        tuple(deployment.servers),
        ("store",),
        ("operator",),
    )
    return {
        "kill entry": (kill_entry, entries),
        "stop entry": (stop_entry, entries),
        "kill stopping entry": (kill_stopping_entry, entries),
        "freeze entry": (freeze_entry, entries),
        "reload entry": (reload_entry, entries),
        "store cut": (_disturb_link("store", links.Link.cut), entries),
        "store silent": (_disturb_link("store", links.Link.hold), entries),
        "store deaf": (_disturb_link("store", _hold_requests), entries),
        "store mute": (_disturb_link("store", _hold_answers), entries),
        "store link reset": (
            _disturb_link("store", links.Link.reset),
            entries,
        ),
        "store far": (_disturb_link("store", _delay), entries),
        "callers far": (_disturb_link("callers", _delay), entries),
        "callers cut": (_disturb_link("callers", links.Link.cut), entries),
        "callers mute": (_disturb_link("callers", _hold_answers), entries),
        "store down": (_disturb_store(is_down=True), store),
        "store slow": (_disturb_store(slow_s=0.3), store),
        "store loses answers": (
            _disturb_store(does_lose_answers=True),
            store,
        ),
        "store forgets": (expire_history, store),
        "store restored": (restore_store, store),
        "crash engine": (crash_server, engines),
        "crash server": (crash_server, plain),
        "registry cut": (cut_server_off_registry, engines),
        "drain": (drain_server, engines),
        "says it leaves": (announce_leaving, engines + plain),
        "asks for a pause": (ask_for_pause, engines + plain),
        "refusals": (_fail_requests("refuse"), engines + plain),
        "cut answers": (_fail_requests("cut"), engines),
        "failures": (_fail_requests("fail"), engines + plain),
        "late orders": (delay_orders, engines),
        "configuration": (change_config, operator),
        "revoked key": (revoke_key, operator),
        "evacuation": (evacuate, hosted_deployment.DATA_CENTRES),
    }


async def inject(run: Run, steps: int) -> None:
    """Start faults drawn from the table, without waiting for their end."""
    table = list_faults(run.deployment)
    async with trio.open_nursery() as nursery:
        for step in range(steps):
            name = run.rng.choice(sorted(table))
            fault, subjects = table[name]
            subject = run.pick(subjects)
            if subject:
                run.busy.add(subject)
                nursery.start_soon(
                    _apply_fault, run, step, name, fault, subject
                )
            await run.sleep_random((0.1, 1.2))


async def _apply_fault(
    run: Run, step: int, name: str, fault: Fault, subject: str
) -> None:
    print(f"soak: step {step} {name}: {subject}", flush=True)
    await fault(run, subject)
    run.busy.discard(subject)
