"""Runs a small deployment on loopback, one process each, for demo and tests.

The system starts no processes itself; this driver does so in place of the
hosting platform.
"""

from collections import abc
import dataclasses
import hashlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import typing as t

import msgspec
import trio

from sycamorespool import http_client

SETTINGS_TEMPLATE = """\
[entry]
name = {name}
data_centre = {data_centre}

[listen]
callers = {callers}
operators = {operators}
peers = {peers}

[platform]
address = {platform}

[peers]
shared_key = demo-shared-key

[operators]
key = demo-operator-key
"""
RUN_FROM_SOURCE = (sys.executable, "-m", "sycamorespool")
OPERATOR_HEADERS = {"x-operator-key": "demo-operator-key"}
FIRST_PORT = 12000
LAST_PORT = 32000
PORTS_PER_PROCESS = 1000
RANGES = (LAST_PORT - FIRST_PORT) // PORTS_PER_PROCESS
CALLER_KEY = "demo-caller-key"
CALLER_KEY_HASH = hashlib.sha256(CALLER_KEY.encode()).hexdigest()


def _bind(port: int) -> socket.socket | None:
    """Return a socket bound to a loopback port, or None if it is taken."""
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound


def _offer_ports() -> abc.Iterator[int]:
    """Yield the ports of ranges that no other test run has.

    A run has a range for as long as it holds the range's first port.
    """
    for number in range(RANGES):
        index = (os.getpid() + number) % RANGES
        first = FIRST_PORT + index * PORTS_PER_PROCESS
        holder = _bind(first)
        if holder is None:
            continue
        _RANGE_HOLDERS.append(holder)
        yield from range(first + 1, first + PORTS_PER_PROCESS)


_RANGE_HOLDERS: list[socket.socket] = []
_PORTS = _offer_ports()


def find_free_address() -> str:
    """Return a loopback address whose port is free now.

    The ports lie below the range that the kernel uses for outgoing
    connections, and each is returned once, so that none is taken between
    this call and its use.
    """
    for port in _PORTS:
        probe = _bind(port)
        if probe is not None:
            probe.close()
            return f"127.0.0.1:{port}"
    raise OSError("no free port on loopback")


@dataclasses.dataclass(slots=True)
class Process:
    """Holds a started process and the addresses that it listens on."""

    name: str
    popen: subprocess.Popen[bytes]
    address: str
    data_centre: str
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)


class Deployment:
    """Runs a platform, engines, services and entries, each in its own process.

    Use it as an asynchronous context manager, which kills every process that
    it started at its end.

    Parameters
    ----------
    load_s : float
        Seconds that the platform takes to serve the weights to an engine.
    token_s : float
        Seconds between the tokens of an engine.
    ping_period_s : float
        Seconds between two pings of an entry.
    program : tuple of str
        First words of the command line of each process.
    variables : mapping, optional
        Environment variables, in place of those of this process.
    """

    def __init__(
        self,
        load_s: float = 0.3,
        token_s: float = 0.01,
        ping_period_s: float = 1.0,
        program: tuple[str, ...] = RUN_FROM_SOURCE,
        variables: abc.Mapping[str, str] | None = None,
    ) -> None:
        self.processes: dict[str, Process] = {}
        self.pool: http_client.Pool = http_client.make_pool()
        self._folder = tempfile.TemporaryDirectory()
        self._platform = find_free_address()
        self._load_s = load_s
        self._token_s = token_s
        self._ping_period_s = ping_period_s
        self._program = program
        python_path = {"PYTHONPATH": os.pathsep.join(sys.path)}
        self._variables = variables or {**os.environ, **python_path}

    async def __aenter__(self) -> t.Self:
        """Start the platform."""
        self._start(
            "platform",
            "-",
            self._platform,
            "standin",
            "platform",
            f"--listen={self._platform}",
            f"--load_s={self._load_s}",
        )
        await self.wait_for(lambda: self.get(f"{self._platform}/membership"))
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Kill every process."""
        for process in self.processes.values():
            process.popen.kill()
            process.popen.wait()
        with trio.CancelScope(shield=True):
            await self.pool.aclose()
        self._folder.cleanup()

    def _start(
        self, name: str, data_centre: str, address: str, *arguments: str
    ) -> Process:
        log_path = pathlib.Path(self._folder.name, f"{name}.log")
        with log_path.open("ab") as log_file:
            popen = subprocess.Popen(
                [*self._program, *arguments],
                stdout=log_file,
                stderr=log_file,
                env=self._variables,
            )
        process = Process(name, popen, address, data_centre)
        self.processes[name] = process
        return process

    def _write_settings(self, name: str, text: str) -> str:
        path = pathlib.Path(self._folder.name, f"{name}.ini")
        path.write_text(text)
        return str(path)

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        path = pathlib.Path(self._folder.name, f"{name}.log")
        return path.read_text(errors="replace")

    async def put_vm(
        self,
        name: str,
        role: str,
        address: str,
        data_centre: str,
        domain: str,
        state: str = "live",
    ) -> None:
        """Add or replace a VM in the platform's membership list."""
        vm = {
            "vm": name,
            "role": role,
            "address": address,
            "data_centre": data_centre,
            "domain": domain,
            "state": state,
        }
        await self.call(
            "PUT", f"{self._platform}/membership/{name}", vm, ok=(204,)
        )

    async def start_engine(
        self, name: str, data_centre: str, domain: str
    ) -> Process:
        """Start a model engine on a VM of its own."""
        address = find_free_address()
        process = self._start(
            name,
            data_centre,
            address,
            "standin",
            "engine",
            f"--vm={name}",
            f"--listen={address}",
            f"--platform_address={self._platform}",
            f"--token_s={self._token_s}",
        )
        await self.put_vm(name, "engine", address, data_centre, domain)
        return process

    async def start_engines(
        self, name: str, vms: list[str], data_centre: str, domain: str
    ) -> Process:
        """Start one process that serves the engines of several VMs."""
        addresses = [find_free_address() for _ in vms]
        process = self._start(
            name,
            data_centre,
            addresses[0],
            "standin",
            "engines",
            f"--vms={','.join(vms)}",
            f"--listen={','.join(addresses)}",
            f"--platform_address={self._platform}",
        )
        for vm, address in zip(vms, addresses, strict=True):
            await self.put_vm(vm, "engine", address, data_centre, domain)
        return process

    async def start_service(
        self, name: str, service: str, data_centre: str, domain: str
    ) -> Process:
        """Start an instance of a plain service on a VM of its own."""
        address = find_free_address()
        process = self._start(
            name,
            data_centre,
            address,
            "standin",
            "service",
            f"--vm={name}",
            f"--listen={address}",
        )
        role = f"service/{service}"
        await self.put_vm(name, role, address, data_centre, domain)
        return process

    @property
    def platform(self) -> str:
        """Return the address of the platform."""
        return self._platform

    async def start_entry(
        self, name: str, data_centre: str, platform: str = ""
    ) -> Process:
        """Start an entry.

        ``platform`` is the address of a relay to the platform, if it uses
        one.
        """
        listen = {
            part: find_free_address()
            for part in ("callers", "operators", "peers")
        }
        text = SETTINGS_TEMPLATE.format(
            name=name,
            data_centre=data_centre,
            platform=platform or self._platform,
            **listen,
        )
        ping_section = f"[peers]\nping_period_s = {self._ping_period_s}"
        text = text.replace("[peers]", ping_section)
        path = self._write_settings(name, text)
        process = self._start(
            name, data_centre, listen["callers"], "entry", path
        )
        process.addresses = listen
        await self.put_vm(
            name, "entry", listen["peers"], data_centre, data_centre
        )
        return process

    async def remove(self, name: str) -> None:
        """Remove a VM from the membership list."""
        await self.call(
            "DELETE", f"{self._platform}/membership/{name}", ok=(204,)
        )

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self.processes[name]
        process.popen.kill()
        process.popen.wait()

    async def stop(self, name: str) -> int:
        """Ask a process to stop and return its exit code."""
        process = self.processes[name]
        process.popen.send_signal(signal.SIGTERM)
        return await trio.to_thread.run_sync(process.popen.wait)

    async def call(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        ok: tuple[int, ...] = (200,),
        timeout_s: float = 20.0,
    ) -> t.Any:
        """Call an HTTP API and return its decoded answer.

        Raises
        ------
        RuntimeError
            If the status is not one of ``ok``.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        answer = await http_client.exchange(
            self.pool, method, f"http://{url}", data, timeout_s, headers
        )
        if answer.status not in ok:
            raise RuntimeError(f"{method} {url}: {answer}")
        return msgspec.json.decode(answer.body) if answer.body else None

    async def get(
        self, url: str, headers: dict[str, str] | None = None
    ) -> t.Any:
        """Return a JSON document, or None if the call fails."""
        try:
            return await self.call("GET", url, headers=headers)
        except (http_client.NotReached, http_client.ExchangeFailed):
            return None
        except RuntimeError:
            return None

    async def operate(
        self, entry: str, method: str, path: str, body: object = None
    ) -> t.Any:
        """Call the operators' API of an entry."""
        address = self.processes[entry].addresses["operators"]
        return await self.call(
            method, f"{address}{path}", body, OPERATOR_HEADERS
        )

    async def set_faults(self, name: str, **faults: object) -> None:
        """Set the faults of a stand-in and clear all others."""
        address = self.processes[name].address
        await self.call("POST", f"{address}/faults", faults, ok=(204,))

    async def wait_for(
        self,
        condition: t.Callable[[], t.Awaitable[t.Any]],
        limit_s: float = 30.0,
    ) -> t.Any:
        """Poll a condition until it holds and return its value.

        Raises
        ------
        TimeoutError
            If it does not hold within ``limit_s``.
        """
        value: t.Any = None
        with trio.move_on_after(limit_s):
            while not value:
                await trio.sleep(0.05)
                value = await condition()
        if not value:
            raise TimeoutError("condition not true within the time limit")
        return value
