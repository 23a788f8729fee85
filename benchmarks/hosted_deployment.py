"""Runs a hosted platform on loopback: its store, backend servers and entries.

The store and the backend servers are stand-ins in the process of the driver,
which can therefore inspect them; each entry is a real process.  They are
connected through links that can inject faults::

    async with trio.open_nursery() as nursery:
        deployment = HostedDeployment(nursery, folder)
        await deployment.start()
"""

from collections import abc
import contextlib
import dataclasses
import math
import os
import pathlib
import signal
import subprocess
import sys

import msgspec
import trio

from benchmarks import hosted_config
from examples import hosted_settings
from examples import links
from examples import processes
from sycamorespool import asgi
from sycamorespool import asgi_server
from sycamorespool import http_client
from sycamorespool.standins import hosted_engine
from sycamorespool.standins import hosted_store

DATA_CENTRES = ("east", "west")
DOMAINS = {"east": ("d1", "d2"), "west": ("d3",)}
VMS_PER_DOMAIN = 5
PLAIN_PER_DATA_CENTRE = 2
ENTRY_COUNT = 3
PARTITIONS = 4
# Events of a stream, and the time between two.
EVENT_COUNT = 8
EVENT_S = 0.02
HEARTBEAT_S = 0.5
# Missed heartbeats after which the registry drops a server.
SILENT_HEARTBEATS = 3
# Time until a group that lost a member breaks.
STALL_S = 1.5
STOP_S = 5.0
# Time after which a revoked key must not be accepted any more.
REVOKE_S = 5.0
POLL_PERIOD_S = 0.05
RECOVERY_LIMIT_S = 90.0


@dataclasses.dataclass(slots=True)
class Entry:
    """Holds an entry, its current process, and its links.

    Parameters
    ----------
    callers, store : links.Link
        The links from the callers and to the store.
    incarnation : int
        Number of starts of its process.
    faults : int
        Faults that affect it now.
    fault_end_s : float
        When the last of them ended.
    """

    name: str
    data_centre: str
    path: pathlib.Path
    listen: dict[str, str]
    callers: links.Link
    store: links.Link
    popen: subprocess.Popen[bytes] | None = None
    incarnation: int = 0
    faults: int = 0
    fault_end_s: float = -math.inf

    @contextlib.contextmanager
    def disturbed(self) -> abc.Iterator[None]:
        """Count a fault of the entry or its links for the duration."""
        self.faults += 1
        try:
            yield
        finally:
            self.faults -= 1
            self.fault_end_s = trio.current_time()

    def was_undisturbed_since(self, since_s: float) -> bool:
        """Tell whether no fault has affected the entry since a time."""
        return not self.faults and self.fault_end_s < since_s


class HostedDeployment:
    """Holds the processes and stand-ins of one run.

    Attributes
    ----------
    engines, servers : dict
        Model engines and plain servers by id.
    violations : list of str
        Violations of invariants that the stand-ins recorded.
    registered : set of str
        Servers whose heartbeats reach the store.
    version : int
        Version of the newest configuration.
    acked_s : dict
        When each version was acknowledged.
    """

    def __init__(self, nursery: trio.Nursery, folder: str) -> None:
        self.nursery = nursery
        self.folder = pathlib.Path(folder)
        self.store = hosted_store.HostedStore(PARTITIONS)
        self.store_address = processes.find_free_address()
        self.engines: dict[str, hosted_engine.HostedEngine] = {}
        self.servers: dict[str, hosted_engine.HostedEngine] = {}
        self.server_links: dict[str, links.Link] = {}
        self.entries: dict[str, Entry] = {}
        self.violations: list[str] = []
        self.registered: set[str] = set()
        self._missed_heartbeats: dict[str, int] = {}
        self.version = 1
        self.acked_s: dict[int, float] = {}
        self.pool = http_client.make_pool()
        self._stop = trio.Event()

    async def start(self) -> None:
        """Start everything and wait until the entries serve."""
        app = asgi.make_app(self.store.handle)
        await self._serve(app, self.store_address)
        self.put_config(self.version)
        for data_centre in DATA_CENTRES:
            for domain in DOMAINS[data_centre]:
                for number in range(VMS_PER_DOMAIN):
                    await self._add_server(
                        f"{domain}-{number}", data_centre, domain
                    )
            for number in range(PLAIN_PER_DATA_CENTRE):
                await self._add_server(
                    f"{data_centre}-{number}", data_centre, ""
                )
        self.nursery.start_soon(self._write_heartbeats)
        for number in range(ENTRY_COUNT):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            await self._add_entry(f"entry-{number}", data_centre)
        await self.wait_for(self.is_serving)

    async def _serve(self, app: asgi.App, address: str) -> None:
        await self.nursery.start(
            asgi_server.serve, app, address, self._stop, 0.1
        )

    async def _add_server(
        self, vm_id: str, data_centre: str, domain: str
    ) -> None:
        address = processes.find_free_address()
        link = links.Link(address)
        await self.nursery.start(link.serve)
        engine = hosted_engine.HostedEngine(
            self.store,
            vm_id,
            "assistant" if domain else "ledger",
            link.address,
            domain,
            data_centre,
            event_count=EVENT_COUNT,
            event_s=EVENT_S,
            text="{attempt}/{number}",
            stall_s=STALL_S,
            violations=self.violations,
        )
        if domain:
            engine.all_engines = self.engines
            engine.join_s, engine.form_s = (
                hosted_config.JOIN_S,
                hosted_config.FORM_S,
            )
            engine.cold_per_s = hosted_config.COLD_PER_S
            self.engines[vm_id] = engine
        else:
            self.servers[vm_id] = engine
        self.server_links[vm_id] = link
        self.registered.add(vm_id)
        await self._serve(engine.app, address)
        engine.write_record()

    async def _write_heartbeats(self) -> None:
        """Write the servers' heartbeats; remove the records of silent ones."""
        missed = self._missed_heartbeats
        while True:
            await trio.sleep(HEARTBEAT_S)
            for vm_id, engine in (self.engines | self.servers).items():
                engine.apply_due_changes()
                if vm_id in self.registered and not engine.is_silent:
                    missed[vm_id] = 0
                    engine.write_record()
                    continue
                missed[vm_id] = missed.get(vm_id, 0) + 1
                if missed[vm_id] == SILENT_HEARTBEATS:
                    engine.remove_record()

    def restore_store(self, age_s: float) -> None:
        """Restore the store from a copy of its state ``age_s`` ago.

        Servers that are silent expire again in the restored registry.
        """
        self.store.restore(age_s)
        self._missed_heartbeats.clear()

    async def _add_entry(self, name: str, data_centre: str) -> None:
        listen = {
            part: processes.find_free_address()
            for part in ("callers", "readiness", "metrics", "peers")
        }
        entry = Entry(
            name,
            data_centre,
            self.folder / f"{name}.ini",
            listen,
            links.Link(listen["callers"]),
            links.Link(self.store_address),
        )
        for link in (entry.callers, entry.store):
            await self.nursery.start(link.serve)
        self.entries[name] = entry
        self.write_settings(entry)
        self.run_entry(entry)

    def write_settings(self, entry: Entry, stop_s: float = STOP_S) -> None:
        """Write the settings file of an entry."""
        text = hosted_settings.render(
            name=entry.name,
            data_centre=entry.data_centre,
            regions="east:r,west:r",
            partitions=PARTITIONS,
            least_ttl_ms=1000,
            retry_extra=200,
            store=entry.store.address,
            heartbeat_ms=HEARTBEAT_S * 1000,
            revoke_ms=REVOKE_S * 1000,
            stall_ms=STALL_S * 1000,
            stop_s=stop_s,
            **entry.listen,
        )
        entry.path.write_text(text)

    def run_entry(self, entry: Entry) -> None:
        """Start the process of an entry."""
        entry.incarnation += 1
        variables = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        command = [*processes.RUN_FROM_SOURCE, "hosted", str(entry.path)]
        with (self.folder / f"{entry.name}.log").open("ab") as log_file:
            entry.popen = subprocess.Popen(
                command, stdout=log_file, stderr=log_file, env=variables
            )

    def has_started(self, entry: Entry) -> bool:
        """Tell whether the newest process of an entry has started up."""
        log = (self.folder / f"{entry.name}.log").read_text(errors="replace")
        return log.count("entry: started") >= entry.incarnation

    async def end_entry(self, entry: Entry, number: signal.Signals) -> int:
        """Signal an entry, wait until it exits and return its exit code."""
        entry.popen.send_signal(number)
        return await trio.to_thread.run_sync(entry.popen.wait)

    def put_config(
        self, version: int, revoked: abc.Collection[str] = ()
    ) -> None:
        """Write a configuration as the operator does."""
        self.version = version
        config = hosted_config.make(version, revoked)
        self.store.put("keyed.op", "config", config)
        self.acked_s[version] = trio.current_time()

    async def is_ready(self, entry: Entry) -> bool:
        """Tell whether an entry reports itself ready."""
        url = f"http://{entry.listen['readiness']}/api/ready"
        try:
            answer = await http_client.exchange(self.pool, "GET", url)
        except (http_client.NotReached, http_client.ExchangeFailed):
            return False
        return answer.status == 200

    async def is_serving(self) -> bool:
        """Tell whether entries are ready and each model has an open group."""
        for entry in self.entries.values():
            if not await self.is_ready(entry):
                return False
        open_models = {
            engine.group["name"].partition("@")[0]
            for engine in self.engines.values()
            if engine.group and engine.group["state"] == "open"
        }
        return open_models == set(hosted_config.MODELS)

    async def wait_for(
        self, condition: abc.Callable[[], abc.Awaitable[bool]]
    ) -> None:
        """Poll a condition until it holds.

        Raises
        ------
        trio.TooSlowError
            If it does not hold within ``RECOVERY_LIMIT_S``.
        """
        with trio.fail_after(RECOVERY_LIMIT_S):
            while not await condition():
                await trio.lowlevel.checkpoint()
                await trio.sleep(POLL_PERIOD_S)

    def close(self) -> None:
        """Kill the processes of the entries."""
        for entry in self.entries.values():
            if entry.popen is not None and entry.popen.poll() is None:
                entry.popen.kill()
                entry.popen.wait()


def encode_body(number: int) -> bytes:
    """Return the body of a caller's request."""
    return msgspec.json.encode({"n": number})
