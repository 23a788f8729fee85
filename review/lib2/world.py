"""Runs entries as the deploy file does, beside stand-ins on loopback.

The entries are separate processes, started with the command and the template
of ``deploy/system.toml``.  The store and the servers are stand-ins in the
process of the case.  Each entry reaches the store through a link of its own,
which can be cut.
"""

import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib

import trio

from sycamorespool import asgi
from sycamorespool import settings
from sycamorespool.callers import server as http_server
from sycamorespool.standins import hosted_engine
from sycamorespool.standins import hosted_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "caller-key"
# Figures of the pages' small deployments (ferreyra-giras).
BOUNDS = {
    "revoke_ms": 5000,
    "stall_ms": 4000,
    "retry_budget_ratio": 0.2,
    "budget_extra": 136,
    "budget_window_s": 10,
    "cold_over": 1.5,
    "cold_slack": 5,
    "ceiling_over": 1.1,
    "ceiling_window_s": 5,
    "grace_s": 8,
}
HEARTBEAT_S = 1.2
# What a read of the log returns at most, unless the call says otherwise.
READ_KB = 1024
NEWEST_ITEMS = 500
NEWEST_BYTES = 1_000_000
RECORD_BYTES = 262_144


def render(template, fields):
    """Fill in a template as the platform does (sections and values)."""

    def look_up(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else (
                    value[int(part)]
                    if isinstance(value, list) and part.isdigit()
                    else None
                )
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        def section(found):
            name, inner = found[1], found[2]
            value = look_up(name, scopes)
            if value is None or value is False:
                return ""
            if isinstance(value, dict):
                items = list(value.items())
                return "".join(
                    fill(
                        inner.replace("{{@}}", str(key))
                        .replace("{{.}}", str(item))
                        .replace("{{,}}", "," if n + 1 < len(items) else ""),
                        [*scopes, {}],
                    )
                    for n, (key, item) in enumerate(items)
                )
            return fill(inner.replace("{{.}}", str(value)), scopes)

        text = re.sub(
            r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S
        )

        def value_of(found):
            value = look_up(found[1], scopes)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)

    return fill(template, [fields])


class Store(hosted_store.HostedStore):
    """Stands in for the store, with the limits of a read on the pages."""

    async def _read(self, request):
        topic = self._find(request)
        start = int(request.query["from"])
        if not topic.first <= start <= len(topic.records):
            return asgi.answer_json({"first": topic.first}, 410)
        wait_s = float(request.query.get("wait_ms", "0")) / 1000
        with trio.move_on_after(wait_s):
            while start >= len(topic.records):
                await topic.appended.wait()
        left = int(request.query.get("max_kb", READ_KB)) * 1024
        parts = [
            hosted_store.OFFSET_BOUNDS.pack(len(topic.records), topic.first)
        ]
        for record in topic.records[start:]:
            if left < len(record) and len(parts) > 1:
                break
            left -= len(record)
            parts.append(hosted_store.RECORD_LENGTH.pack(len(record)))
            parts.append(record)
        return asgi.Response(200, b"".join(parts), "application/octet-stream")

    async def _newest(self, request):
        topic = self._find(request)
        newest = {}
        for offset, content in enumerate(topic.records):
            size = content[0]
            key = content[1 : 1 + size].decode()
            newest.pop(key, None)
            if len(content) > 1 + size:
                newest[key] = (offset, content[1 + size :])
        after = request.query.get("after")
        items, size, more = [], 0, False
        for key in sorted(newest):
            if after is not None and key <= after:
                continue
            offset, value = newest[key]
            if items and (
                len(items) >= NEWEST_ITEMS or size + len(value) > NEWEST_BYTES
            ):
                more = True
                break
            size += len(value)
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        return asgi.answer_json(
            {"items": items, "more": more, "end": len(topic.records)}
        )


class Link:
    """Relays connections to the store; cut, it resets them."""

    def __init__(self, target):
        self.target = target
        self.address = free_address()
        self.is_cut = False
        self._open = set()

    def cut(self):
        self.is_cut = True
        for scope in list(self._open):
            scope.cancel()

    def repair(self):
        self.is_cut = False

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        host, _, port = self.address.rpartition(":")
        await trio.serve_tcp(
            self._relay, int(port), host=host, task_status=task_status
        )

    async def _relay(self, client):
        if not self.is_cut:
            with trio.CancelScope() as scope:
                self._open.add(scope)
                try:
                    host, _, port = self.target.rpartition(":")
                    server = await trio.open_tcp_stream(host, int(port))
                    async with server, trio.open_nursery() as nursery:
                        nursery.start_soon(self._copy, client, server)
                        nursery.start_soon(self._copy, server, client)
                except* OSError:
                    pass
                finally:
                    self._open.discard(scope)
        try:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        except OSError:
            pass
        client.socket.close()

    async def _copy(self, source, sink):
        try:
            while data := await source.receive_some(65536):
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except trio.BusyResourceError:
            pass


def free_address(host="127.0.0.1"):
    """Return a free address on a loopback host."""
    with socket.socket() as bound:
        bound.bind((host, 0))
        return f"{host}:{bound.getsockname()[1]}"


def choose_hosts(count):
    """Return loopback hosts whose metrics port is free, one for an entry."""
    chosen = []
    while len(chosen) < count:
        rng = random.SystemRandom()
        host = f"127.{rng.randint(10, 250)}.{rng.randint(1, 250)}.10"
        try:
            with socket.socket() as bound:
                bound.bind((host, 9464))
        except OSError:
            continue
        if host not in chosen:
            chosen.append(host)
    return chosen


class Entry:
    """Holds one entry's settings and its process."""

    def __init__(self, name, host, zone, zones, store_address, folder):
        self.name = name
        self.zone = zone
        self.link = Link(store_address)
        self.folder = folder
        self.path = folder / f"{name}.ini"
        self.callers = free_address(host)
        self.ready = free_address(host)
        peers = int(free_address(host).rpartition(":")[2])
        self.fields = {
            "node_name": name,
            "zone": zone,
            "zones": {z: "region-1" for z in zones},
            "ip": host,
            "listen": {"front": self.callers, "ready": self.ready},
            "internal_ports": [peers, peers],
            "limits": {
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {
                "address": self.link.address,
                "parts": 12,
                "ttl_min_ms": 1000,
            },
        }
        self.process = None
        self.starts = 0

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        self.path.write_text(render(template, self.fields))
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SYCAMORESPOOL_NODE_FILE": str(self.path),
        }
        self.starts += 1
        with (self.folder / f"{self.name}.log").open("ab") as log_file:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )

    def kill(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w")
        self.began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.began_s

    def write(self, text):
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()


async def read_request(stream, buffer):
    """Read one request of a connection; None at its end.

    ``buffer`` holds what was read beyond it.
    """
    while b"\r\n\r\n" not in buffer:
        data = await stream.receive_some(65536)
        if not data:
            return None
        buffer += data
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = bytearray(rest)
    while len(body) < length:
        data = await stream.receive_some(65536)
        if not data:
            return None
        body += data
    buffer[:] = body[length:]
    method, target, _ = first.split(" ")
    return method, target, headers, bytes(body[:length])


async def request(address, method, path, headers, body=b"", timeout_s=8.0):
    """Send one request on a new connection; return status, headers, body.

    The status is 0 if there was no whole answer.
    """
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}", "connection: close", "", ""]
    data = b""
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all("\r\n".join(lines).encode() + body)
                while part := await stream.receive_some(65536):
                    data += part
        except OSError:
            return 0, {}, b""
        except trio.BrokenResourceError:
            pass
    head, _, content = data.partition(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    found = {}
    for line in rest:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    length = found.get("content-length")
    is_whole = length is not None and len(content) == int(length)
    if not first.startswith("HTTP/1.1 ") or not is_whole:
        return 0, found, content
    return int(first.split()[1]), found, content


class World:
    """Holds the stand-ins and the entries of one case."""

    def __init__(self, nursery, folder, record):
        self.nursery = nursery
        self.folder = folder
        self.record = record
        self.store = Store(12)
        self.store_address = free_address()
        self.stop = trio.Event()
        self.entries = []
        self.servers = {}

    async def serve(self, app, address):
        limits = settings.LimitsSection(max_connections=10_000)
        await self.nursery.start(
            http_server.serve, app, address, limits, self.stop, 0.1
        )

    async def start_store(self):
        await self.serve(asgi.make_app(self.store.handle), self.store_address)

    def put_config(self, config):
        """Write a configuration as the operator does; return its ack."""
        content = json.dumps(config, separators=(",", ":")).encode()
        assert len(content) + 7 <= RECORD_BYTES, len(content)
        record = bytes([6]) + b"config" + content
        self.store.topics["keyed.op", 0].append(record)
        return self.record.now_s(), len(content)

    async def add_server(self, vm_id, service, zone, raw=None):
        """Add a plain server; ``raw`` serves its connections itself."""
        address = free_address()
        server = hosted_engine.HostedEngine(
            self.store,
            vm_id,
            service,
            address,
            "",
            zone,
            born_ms=int(time.time() * 1000),
            text="{attempt}",
        )
        if raw is None:
            await self.serve(server.app, address)
        else:
            host, _, port = address.rpartition(":")

            async def handle(stream):
                try:
                    async with stream:
                        await raw(server, stream)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass

            await self.nursery.start(
                lambda task_status: trio.serve_tcp(
                    handle, int(port), host=host, task_status=task_status
                )
            )
        server.write_record()
        self.servers[vm_id] = server
        self.nursery.start_soon(self._beat, server)
        return server

    async def _beat(self, server):
        while True:
            await trio.sleep(HEARTBEAT_S)
            server.write_record()

    async def add_entry(self, name, host, zone, zones):
        entry = Entry(name, host, zone, zones, self.store_address, self.folder)
        await self.nursery.start(entry.link.serve)
        self.entries.append(entry)
        entry.start()
        return entry

    async def is_ready(self, entry):
        status, _, _ = await request(
            entry.ready, "GET", "/api/ready", {"host": entry.ready}, b"", 1.0
        )
        return status == 200

    async def wait_ready(self, limit_s=25.0):
        """Wait until all entries are ready; tell whether they are."""
        with trio.move_on_after(limit_s):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    await trio.sleep(0.1)
            return True
        return False

    def close(self):
        for entry in self.entries:
            entry.kill()


def main(case, folder):
    """Run a case; return 0 if the rule held, 1 if not, 2 if it did not run."""
    import tempfile

    record = Record(pathlib.Path(folder) / "record.txt")

    async def run():
        with trio.move_on_after(110.0):
            with tempfile.TemporaryDirectory() as scratch:
                async with trio.open_nursery() as nursery:
                    world = World(nursery, pathlib.Path(scratch), record)
                    try:
                        code = await case(world)
                    finally:
                        world.close()
                    nursery.cancel_scope.cancel()
                return code
        return 2

    try:
        code = trio.run(run)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    verdict = {0: "the rule held", 1: "the rule was broken"}
    record.write(f"result {code}: {verdict.get(code, 'the case did not run')}")
    print(f"result {code}: {verdict.get(code, 'the case did not run')}")
    return code


IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
