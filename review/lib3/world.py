"""A small deployment on loopback for the cases 11 to 15.

Entries are processes started with the command of deploy/system.toml; the
store is the project's stand-in, served by this process; replicas and clients
are small servers and clients of this module.  They speak PROTOCOL.md.
"""

import base64
import functools
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
import tempfile
import time
import tomllib
import urllib.parse

import h11
import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.standins import hosted_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ATTEMPT = "sycamorespool-attempt-id"
SIGNATURE = "sycamorespool-replica-signature"
EXPECT = "sycamorespool-expect-replica"
NOT_RUN = "sycamorespool-not-executed"
HOST = "shop.example"
KEY = "caller-key"
HEARTBEAT_S = 1.2
BOUNDS = {
    "revoke_ms": 5000, "stall_ms": 4000, "retry_budget_ratio": 0.2,
    "budget_extra": 136, "budget_window_s": 10, "cold_over": 1.5,
    "cold_slack": 5, "ceiling_over": 1.1, "ceiling_window_s": 5, "grace_s": 8,
}


# Below the ports that the system gives to outgoing connections, one of which
# could else take a port before its listener does.
PORTS = range(12000, 30000)
_given = set()


def free_port():
    """Return a port of this run's own on which nothing listens."""
    while True:
        port = random.choice(PORTS)
        if port in _given:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port


def render(template, fields):
    """Fill in a template as DEPLOY.md says, as far as ours needs it."""

    def find(name, scopes):
        if name == ".":
            return scopes[-1]["."]
        if name == "@":
            return scopes[-1]["@"]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list):
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        out = ""
        while (found := re.search(r"\{\{#(.+?)\}\}", text)):
            name = found[1]
            end = text.index("{{/%s}}" % name, found.end())
            inner = text[found.end():end]
            out += plain(text[:found.start()], scopes)
            value = find(name, scopes)
            if isinstance(value, dict):
                items = list(value.items())
            elif isinstance(value, list):
                items = list(enumerate(value))
            else:
                items = [(0, value)] if value not in (None, False) else []
            for number, (key, item) in enumerate(items):
                comma = "," if number < len(items) - 1 else ""
                out += fill(
                    inner.replace("{{,}}", comma),
                    [*scopes, {".": item, "@": key}],
                )
            text = text[end + len("{{/%s}}" % name):]
        return out + plain(text, scopes)

    def plain(text, scopes):
        def put(found):
            value = find(found[1], scopes)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([^#/^}]+)\}\}", put, text)

    return fill(template, [fields])


class World:
    """Holds the store, the replicas and the entries of one run."""

    def __init__(self, record_path, partitions=4):
        self.store = hosted_store.HostedStore(partitions)
        self.partitions = partitions
        self.store_port = free_port()
        self.entries = []
        self.replicas = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.record_file = open(record_path, "w")
        self.began_s = time.monotonic()
        self.nursery = None
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]

    def now(self):
        return time.monotonic() - self.began_s

    def record(self, *words):
        self.record_file.write(f"{self.now():9.3f} " + " ".join(map(str, words)) + "\n")
        self.record_file.flush()

    async def start(self, nursery, config, entries=1, zones=("a",), has_links=False):
        self.nursery = nursery
        await nursery.start(serve_http, self.store_port, self._answer_store)
        self.put_config(config)
        for replica in self.replicas:
            await nursery.start(replica.serve)
        nursery.start_soon(self._heartbeats)
        for number in range(entries):
            entry = Entry(self, f"front-{number}", zones[number % len(zones)], zones)
            self.entries.append(entry)
            if has_links:
                await entry.add_links(nursery)
            entry.start()
        with trio.fail_after(40):
            for entry in self.entries:
                while not await entry.is_ready():
                    await trio.sleep(0.1)

    def put_config(self, config):
        self.config = config
        self.store.put("keyed.op", "config", config)
        self.record("config", config["version"], "acknowledged")

    async def _answer_store(self, request, body, links=None):
        path, _, text = request.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        found = await self.store.handle(asgi.Request(
            request.method.decode(), path, query, {}, body))
        content = found.body
        if links and query.get("topic") == "keyed.servers" and found.status == 200:
            content = translate(path, content, links)
        return found.status, {**found.headers}, content

    async def _heartbeats(self):
        while True:
            for replica in self.replicas:
                if replica.is_registered:
                    replica.write_record()
            await trio.sleep(HEARTBEAT_S)

    def close(self):
        for entry in self.entries:
            entry.kill()
        self.record_file.close()


def translate(path, content, links):
    """Return an answer of the store with an entry's own links to the replicas."""

    def change(record):
        for address, link in links.items():
            record = record.replace(f'"{address}"'.encode(), f'"{link}"'.encode())
        return record

    if path.endswith("newest"):
        page = json.loads(content)
        for item in page["items"]:
            value = change(base64.b64decode(item["value"]))
            item["value"] = base64.b64encode(value).decode()
        return json.dumps(page).encode()
    out, position = content[:16], 16
    while position < len(content):
        (size,) = struct.unpack_from(">I", content, position)
        record = change(content[position + 4:position + 4 + size])
        out += struct.pack(">I", len(record)) + record
        position += 4 + size
    return out


class Link:
    """Relays connections to a replica; cut, it refuses and resets them."""

    def __init__(self, target_port):
        self.target_port, self.port = target_port, free_port()
        self.scopes = set()
        self.is_cut = self.hangs = False
        self.target_is_up = trio.Event()
        self.target_is_up.set()

    def cut(self, hangs=False):
        """Reset the open connections, and refuse new ones or let them hang."""
        self.is_cut, self.hangs = True, hangs
        self.is_repaired = trio.Event()
        self.waiting, self.blocking = [], None
        self.target_is_up.set()
        self.listening.cancel()
        for scope in list(self.scopes):
            scope.cancel()

    def repair(self):
        """Relay connections again."""
        self.is_cut = False
        self.is_repaired.set()

    def block(self):
        """Let new connections hang, as a full queue drops their first packets."""
        self.blocking = socket.socket()
        self.blocking.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.blocking.bind(("127.0.0.1", self.port))
        self.blocking.listen(0)
        self.waiting = []
        for _ in range(3):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(("127.0.0.1", self.port))
            self.waiting.append(waiting)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen while the replica does and the link is not cut."""
        while True:
            with trio.CancelScope() as self.listening:
                listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
                async with trio.open_nursery() as nursery:
                    task_status.started()
                    task_status = trio.TASK_STATUS_IGNORED
                    try:
                        await trio.serve_listeners(self._run, listeners, handler_nursery=nursery)
                    finally:
                        for listener in listeners:
                            listener.socket.close()
            if self.is_cut:
                if self.hangs:
                    self.block()
                await self.is_repaired.wait()
                for blocking in (*self.waiting, self.blocking):
                    if blocking is not None:
                        blocking.close()
            await self.target_is_up.wait()

    def note_target(self, is_up):
        """Refuse connections while nothing listens at the replica."""
        if is_up:
            self.target_is_up.set()
        elif not self.is_cut:
            self.target_is_up = trio.Event()
            self.listening.cancel()

    async def _run(self, stream):
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                other = await trio.open_tcp_stream("127.0.0.1", self.target_port)
                async with other, trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, stream, other, nursery)
                    nursery.start_soon(self._copy, other, stream, nursery)
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self.scopes.discard(scope)
        reset(stream)

    async def _copy(self, source, sink, nursery):
        while data := await source.receive_some(65536):
            await sink.send_all(data)
        # Replicas and entries of these cases close both directions at once.
        nursery.cancel_scope.cancel()


def reset(stream):
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    stream.socket.close()


class Entry:
    """Holds an entry's process and its settings."""

    async def add_links(self, nursery):
        """Give the entry links of its own to the replicas, and its view of the store."""
        self.links = {}
        for replica in self.world.replicas:
            link = Link(replica.port)
            await nursery.start(link.serve)
            self.links[f"127.0.0.1:{replica.port}"] = link
            replica.links.append(link)
        self.store_port = free_port()
        view = {address: f"127.0.0.1:{link.port}" for address, link in self.links.items()}
        answer = functools.partial(self.world._answer_store, links=view)
        await nursery.start(serve_http, self.store_port, answer)

    def cut_links(self, hangs=False):
        """Partition the entry from all replicas."""
        self.world.record("entry", self.name, "is partitioned from all replicas")
        for link in self.links.values():
            link.cut(hangs)

    def repair_links(self):
        """End the partition."""
        self.world.record("entry", self.name, "reaches the replicas again")
        for link in self.links.values():
            link.repair()

    def __init__(self, world, name, zone, zones):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.ready, self.peers = free_port(), free_port(), free_port()
        self.metrics = free_port()
        self.store_port = world.store_port
        self.zones = zones
        self.popen = None
        self.log_path = world.folder / f"{name}.log"

    def write_settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": "127.0.0.1",
            "zones": {zone: "r" for zone in self.zones},
            "limits": {"link_mbps": 1000.0, "memory_mb": 300, "max_fds": 4100},
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "internal_ports": [self.peers, self.peers],
            "platform": {"address": f"127.0.0.1:{self.store_port}",
                         "parts": self.world.partitions, "ttl_min_ms": 1000},
            "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
        }
        text = render((ROOT / self.world.role["template"]).read_text(), fields)
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{self.metrics}")
        path = self.world.folder / f"{self.name}.ini"
        path.write_text(text)
        return path

    def start(self):
        path = self.write_settings()
        command = self.world.role["run"].split()
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
               "PYTHONPATH": str(ROOT / "target/deps"), "SYCAMORESPOOL_NODE_FILE": str(path)}
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.world.record("entry", self.name, "starts")

    def signal(self, number):
        self.world.record("entry", self.name, "gets", signal.Signals(number).name)
        self.popen.send_signal(number)

    def kill(self):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    async def is_ready(self):
        try:
            with trio.fail_after(1):
                stream = await trio.open_tcp_stream("127.0.0.1", self.ready)
                async with stream:
                    await stream.send_all(b"GET /api/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                    data = await stream.receive_some(100)
        except (OSError, trio.TooSlowError):
            return False
        return b" 200 " in data[:20]


async def serve_http(port, handle, task_status=trio.TASK_STATUS_IGNORED):
    """Serve whole requests: handle(request, body) -> status, headers, body."""

    async def run(stream):
        http = h11.Connection(h11.SERVER)
        try:
            async with stream:
                while True:
                    request, body = await read_request(http, stream)
                    if request is None:
                        return
                    status, headers, content = await handle(request, body)
                    pairs = [(k, v) for k, v in headers.items()]
                    pairs.append(("content-length", str(len(content))))
                    data = http.send(h11.Response(status_code=status, headers=pairs))
                    if content:
                        data += http.send(h11.Data(data=content))
                    data += http.send(h11.EndOfMessage())
                    await stream.send_all(data)
                    if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                        return
                    http.start_next_cycle()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass

    await trio.serve_tcp(run, port, host="127.0.0.1", task_status=task_status)


async def read_request(http, stream):
    request, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b""


class Replica:
    """A replica of a plain service.

    ``answer(replica, request, body, stream)`` may take over a request and
    returns whether it did; otherwise the request is run and answered.
    """

    def __init__(self, world, replica_id, service, zone="a", work_s=0.03, answer=None):
        self.world, self.id, self.service, self.zone = world, replica_id, service, zone
        self.port = free_port()
        self.work_s, self.answer = work_s, answer
        self.is_registered = True
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.silent_until_s = 0.0
        self.links = []

    async def wait_while_silent(self):
        """Send nothing while the replica stands still."""
        while self.world.now() < self.silent_until_s:
            await trio.sleep(0.02)

    def headers_of(self, request):
        return {k.decode(): v.decode("latin-1") for k, v in request.headers}

    def write_record(self):
        self.sequence += 1
        self.world.store.put("keyed.servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 6, "state": self.state,
            "cold_left_ms": 0, "sequence": self.sequence, "born": self.born_ms})

    def sign(self, attempt):
        return f"{self.id}.{len(self.runs)}.{attempt}"

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        await trio.serve_tcp(self._run, self.port, host="127.0.0.1", task_status=task_status)

    async def _run(self, stream):
        http = h11.Connection(h11.SERVER)
        try:
            async with stream:
                while True:
                    request, body = await read_request(http, stream)
                    if request is None:
                        return
                    await self._serve(http, stream, request, body)
                    if http.our_state is not h11.DONE:
                        return
                    http.start_next_cycle()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass

    async def _serve(self, http, stream, request, body):
        headers = self.headers_of(request)
        attempt = headers.get(ATTEMPT, "")
        if request.target == b"/api/report":
            await self.wait_while_silent()
            await self.send(http, stream, 200, {}, json.dumps(
                {"busy": False, "sequence": 0, "queued": 0, "running": 0,
                 "born": self.born_ms}).encode())
            return
        if request.target == b"/health":
            await self.wait_while_silent()
            await self.send(http, stream, 200, {"sycamorespool-replica-id": self.id}, b"ok")
            return
        if headers.get(EXPECT, self.id) != self.id:
            await self.send(http, stream, 421, {ATTEMPT: attempt}, b"")
            return
        self.world.record("replica", self.id, "runs", attempt)
        self.runs.append(attempt)
        if self.answer is not None and await self.answer(self, request, body, stream, http):
            return
        await trio.sleep(self.work_s)
        await self.wait_while_silent()
        await self.send(http, stream, 200, {ATTEMPT: attempt, SIGNATURE: self.sign(attempt)},
                        f"{self.id}/{attempt}".encode())

    async def send(self, http, stream, status, headers, content):
        pairs = [*headers.items(), ("content-length", str(len(content)))]
        data = http.send(h11.Response(status_code=status, headers=pairs))
        if content:
            data += http.send(h11.Data(data=content))
        await stream.send_all(data + http.send(h11.EndOfMessage()))


class Answer:
    """Holds what a client got: status, headers, body, times, and its end."""

    def __init__(self, attempt, sent_s):
        self.attempt, self.sent_s = attempt, sent_s
        self.status, self.headers, self.body = 0, {}, b""
        self.is_whole, self.error, self.end_s = False, "", 0.0


async def ask(world, port, attempt, path, method="GET", body=b"", deadline_s=1.5,
              key=KEY, more=(), leave_s=None):
    """Send one request on a new connection and return what came back."""
    found = Answer(attempt, world.now())
    http = h11.Connection(h11.CLIENT)
    pairs = [("host", HOST), ("authorization", f"Bearer {key}"), (ATTEMPT, attempt),
             ("sycamorespool-deadline-ms", str(int(deadline_s * 1000))),
             ("content-length", str(len(body))), *more]
    with trio.move_on_after(leave_s if leave_s is not None else deadline_s) as scope:
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                data = http.send(h11.Request(method=method, target=path, headers=pairs))
                if body:
                    data += http.send(h11.Data(data=body))
                await stream.send_all(data + http.send(h11.EndOfMessage()))
                while True:
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(await stream.receive_some(65536))
                    elif isinstance(event, h11.Response):
                        found.status = event.status_code
                        found.headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
                    elif isinstance(event, h11.Data):
                        found.body += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        found.is_whole = True
                        break
                    else:
                        break
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            found.error = repr(error)
    if scope.cancelled_caught:
        found.error = "client left" if leave_s is not None else "deadline"
    found.end_s = world.now()
    world.record("client", attempt, "sent", f"{found.sent_s:.3f}", "got", found.status,
                 "whole" if found.is_whole else "not whole", found.headers.get(SIGNATURE, "-"),
                 found.error or "-", f"after {found.end_s - found.sent_s:.3f}")
    return found


def make_config(version=1, routes=(), services=(), tenants=None):
    return {"version": version, "routes": list(routes), "services": list(services),
            "tenants": tenants if tenants is not None else [{"name": "t", "api_keys": [KEY]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 20000}}


def make_route(name, kind="idempotent", service="orders", timeout_ms=1500, slo_ms=200, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": service,
            "kind": kind, "timeout_ms": timeout_ms, "slo_ms": slo_ms, "max_attempts": 2,
            "priority": 1, "sticky": False, "public": False, **more}
