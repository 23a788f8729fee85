"""Runs a small deployment on loopback: stand-ins here, entries as processes.

The store, the model engines and the plain servers are stand-ins in the
process of the script.  They speak what the users' PROTOCOL page says.  The
entries are started with the command of ``deploy/system.toml`` and settings
that are filled in from ``deploy/entry.ini``.  Only the standard library is
used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
# Heartbeats of silence after which the store removes a server.
SILENT_HEARTBEATS = 3
DRAIN_MS = 2000
MODEL = "m0"
KEY = "k0123456789abcdef"
HOST = "shop.example"
ZONES = ("za", "zb")


def _reason(status):
    return {200: "OK", 202: "Accepted"}.get(status, "Status")


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line with the time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Request:
    """Holds one HTTP request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        # Path of the request before it on the same connection.
        self.last_path = ""
        self.headers = headers
        self.body = body


class SecondAnswer(Exception):
    """Raised by a handler to send the last answer of the connection again.

    The request itself gets no answer.
    """


class HttpServer:
    """Serves HTTP/1.1 with a handler; ``stop`` resets all connections.

    The handler returns (status, headers, body).  The body is bytes, or an
    asynchronous generator of parts, which are sent in chunks.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        # The last answer of each connection, and the path that it was to.
        self._last = {}
        self.address = ""

    async def start(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        host, bound = self._server.sockets[0].getsockname()
        self.address = f"{host}:{bound}"

    def stop_listening(self):
        if self._server is not None:
            self._server.close()
            self._server = None

    def stop(self):
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            self._last.pop(writer, None)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = Request(method, target, headers, body)
        request.last_path, last = self._last.get(writer, ("", b""))
        try:
            status, sent, content = await self._handle(request)
        except SecondAnswer:
            writer.write(last)
            await writer.drain()
            return True
        head = [f"HTTP/1.1 {status} {_reason(status)}"]
        head += [f"{name}: {value}" for name, value in sent.items()]
        if isinstance(content, bytes):
            head.append(f"content-length: {len(content)}")
            answer = "\r\n".join(head).encode() + b"\r\n\r\n" + content
            self._last[writer] = (request.path, answer)
            writer.write(answer)
            await writer.drain()
            return True
        head.append("transfer-encoding: chunked")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        async for part in content:
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
            if writer.is_closing():
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).strip().partition(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return b"".join(parts)
        parts.append(data)


def _json(value, status=200):
    body = json.dumps(value).encode()
    return status, {"content-type": "application/json"}, body


class Store:
    """Stands in for the platform's store: a log with keyed topics."""

    def __init__(self, parts=12):
        self.topics = {}
        self.members = {}
        self.generation = 0
        self._assigned = {}
        self.parts = parts
        self.server = HttpServer(self._handle)
        self._changed = asyncio.Condition()

    def _topic(self, name, part=0):
        return self.topics.setdefault((name, int(part)), [])

    def put_bytes(self, topic, key, value):
        """Write a record as the operator, a server or another writer does."""
        name = key.encode()
        self._topic(topic).append(bytes([len(name)]) + name + value)
        asyncio.get_running_loop().create_task(self._notify())

    def put(self, topic, key, value):
        """Write a JSON record; None removes the key."""
        encoded = b"" if value is None else json.dumps(value).encode()
        self.put_bytes(topic, key, encoded)

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request):
        name = request.path.rpartition("/")[2]
        handler = getattr(self, "_" + name.replace("-", "_"), None)
        if handler is None or not name.startswith("log-"):
            return 404, {}, b""
        return await handler(request)

    async def _log_append(self, request):
        if request.query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}, b""
        records = self._topic(request.query["topic"], request.query["part"])
        offset, position = len(records), 0
        while position < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, position)
            records.append(request.body[position + 4 : position + 4 + size])
            position += 4 + size
        await asyncio.sleep(0.002)
        await self._notify()
        return _json({"offset": offset, "end": len(records)})

    async def _log_read(self, request):
        records = self._topic(request.query["topic"], request.query["part"])
        start = int(request.query["from"])
        if start > len(records):
            return _json({"first": 0}, 410)
        end_s = time.monotonic() + float(request.query.get("wait_ms", 0)) / 1000
        async with self._changed:
            while start >= len(records):
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except asyncio.TimeoutError:
                    break
        found, size = [], 0
        for content in records[start:]:
            found.append(struct.pack(">I", len(content)) + content)
            size += len(content)
            if size > 1024 * 1024:
                break
        body = struct.pack(">QQ", len(records), 0) + b"".join(found)
        return 200, {"content-type": "application/octet-stream"}, body

    async def _log_newest(self, request):
        records = self._topic(request.query["topic"], request.query["part"])
        newest = {}
        for offset, content in enumerate(records):
            size = content[0]
            key = content[1 : 1 + size].decode()
            newest.pop(key, None)
            if len(content) > 1 + size:
                newest[key] = (offset, content[1 + size :])
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, (o, v) in newest.items()
        ]
        return _json({"items": items, "more": False, "end": len(records)})

    def _deal(self, topics):
        now_s = time.monotonic()
        for name in [m for m, s in self.members.items() if s < now_s]:
            del self.members[name]
        names = tuple(sorted(self.members))
        rows = [(t, p) for t in topics for p in range(self.parts)]
        if self._assigned.get("names") != names:
            self.generation += 1
            self._assigned = {"names": names}
            for number, row in enumerate(rows):
                self._assigned[row] = names[number % len(names)]
        return rows

    async def _log_join(self, request):
        call = json.loads(request.body)
        until_s = time.monotonic() + call["ttl_ms"] / 1000
        self.members[call["member"]] = until_s
        rows = self._deal(call["topics"])
        mine = [
            [t, p, 0] for t, p in rows if self._assigned[t, p] == call["member"]
        ]
        return _json({"generation": self.generation, "parts": mine})

    async def _log_leave(self, request):
        self.members.pop(json.loads(request.body)["member"], None)
        return _json({})


class Server:
    """Stands in for a backend server: a plain one, or a model engine.

    Parameters
    ----------
    domain : str
        Fabric domain of an engine, empty for a plain server.
    """

    def __init__(self, deployment, server_id, service, zone, domain=""):
        self.deployment = deployment
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.domain = domain
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.fence = 0
        self.staged = []
        self.group = None
        self.is_listed = True
        self.ended = False
        self.runs = 0
        self.work_s = 0.045
        self.cold_until_s = 0.0
        self.http = HttpServer(self._handle)
        # Writes the body of a stream; scripts may replace it.
        self.write_events = write_sound_events
        # Called before an order is carried out; scripts may set it.
        self.disturb_order = None
        # Called before it takes a join; scripts may set it.
        self.note_join = lambda server, order: None

    def beat(self):
        """Return the registry entry that it would write now."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": self.cold_left_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.domain:
            entry |= {
                "domain": self.domain,
                "staged": self.staged,
                "group": self.group,
                "stage": "both",
            }
        return entry

    def cold_left_ms(self):
        """Return how long it stays cold."""
        left_s = self.cold_until_s - self.deployment.record.now_s()
        return max(0, round(left_s * 1000))

    def write_beat(self):
        """Write its heartbeat into the store."""
        if self.is_listed and not self.ended:
            store = self.deployment.store
            store.put("keyed.servers", self.server_id, self.beat())

    def end(self):
        """End the process: it stops listening, its connections are reset."""
        self.ended = True
        self.http.stop()

    async def _handle(self, request):
        if request.path == "/health":
            is_good = self.state == "ready"
            headers = {
                "Sycamorespool-Replica-Id": self.server_id,
                "Sycamorespool-Cold-Ms": str(self.cold_left_ms()),
            }
            return (200 if is_good else 503), headers, b""
        if request.path == "/api/report":
            report = {
                "stage": "both",
                "models": [],
                "busy": False,
                "sequence": self.orders,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 700000,
                "handles": 0,
                "pace": 1.0,
                "staged": self.staged,
                "group": self.group,
                "born": self.born,
            }
            return _json(report)
        if request.path == "/api/order":
            order = json.loads(request.body)
            if self.disturb_order is not None:
                self.disturb_order(self, order, request)
            return self._take_order(order)
        return await self._serve(request)

    def take_late(self, order, delay_s):
        """Carry an order out later; nobody gets the answer."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._take_order, order)

    def _take_order(self, order):
        if order["fencing_token"] < self.fence:
            return 412, {}, b""
        self.fence = order["fencing_token"]
        if order.get("expect", self.orders) != self.orders:
            return 409, {}, b""
        status = getattr(self, "_order_" + order["op"])(order)
        if status == 202:
            self.orders += 1
            self.write_beat()
        return status, {}, b""

    def _order_join(self, order):
        self.note_join(self, order)
        delay_s = 0.3 if order["model"] in self.staged else 1.6
        self.staged = [order["model"]]
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": order["members"].index(self.server_id),
            "state": "joining",
        }
        self._later(delay_s, "joining", "ready", order["epoch"])
        return 202

    def _order_open(self, order):
        group = self.group
        if group is None or group["name"] != order["group"]:
            return 409
        if group["state"] == "open":
            return 200
        if group["state"] != "ready":
            return 409
        self._later(0.3, "ready", "open", order["epoch"])
        return 202

    def _order_close(self, order):
        group = self.group
        if group is None or group["name"] != order["group"]:
            return 409
        self.group = {**group, "state": "ready"}
        return 202

    def _order_leave(self, order):
        if self.group is None or self.group["name"] != order["group"]:
            return 200
        self.group = None
        return 202

    def _order_stage(self, order):
        self.staged = [order["model"]]
        return 202

    def _later(self, delay_s, before, after, epoch):
        def change():
            group = self.group
            if group and (group["state"], group["epoch"]) == (before, epoch):
                self.group = {**group, "state": after}
                self.write_beat()

        asyncio.get_running_loop().call_later(delay_s, change)

    async def _serve(self, request):
        attempt = request.headers.get("sycamorespool-attempt-id", "")
        self.deployment.note_arrival(self, attempt)
        echoed = {"Sycamorespool-Attempt-Id": attempt}
        expected = request.headers.get("sycamorespool-expect-replica")
        is_head = not self.domain or (
            self.group is not None
            and self.group["rank"] == 0
            and self.group["state"] == "open"
        )
        if expected not in (None, self.server_id) or not is_head:
            headers = {**echoed, "Sycamorespool-Replica-Id": self.server_id}
            return 421, headers, b""
        self.runs += 1
        self.deployment.note_run(self, attempt)
        echoed["Sycamorespool-Replica-Signature"] = f"{self.server_id}.{self.runs}"
        if not self.domain:
            await asyncio.sleep(self.work_s)
            self.deployment.note_run_end(self, attempt)
            return 200, {**echoed, "content-type": "text/plain"}, b"x" * 800
        after = int(request.headers.get("last-event-id") or 0)
        echoed["content-type"] = "text/event-stream"
        return 200, echoed, self.write_events(self, attempt, after)


EVENTS = 24
# An engine makes several steps in one pass, so several events come together.
EVENTS_PER_PASS = 4
PASS_S = 0.03


def make_event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def write_sound_events(server, attempt, after):
    """Write the events of a stream after a given one, some at a time."""
    number = after + 1
    while number <= EVENTS:
        last = min(EVENTS, number + EVENTS_PER_PASS - 1)
        await asyncio.sleep(PASS_S)
        yield b"".join(make_event(n) for n in range(number, last + 1))
        number = last + 1
    server.deployment.note_run_end(server, attempt)


class Answer:
    """Holds what a client got: status 0 stands for no answer at all."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False


async def send_request(address, method, path, headers, body=b"", timeout_s=10.0):
    """Send one request on a connection of its own; return the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{n}: {v}" for n, v in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            await _read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") != "chunked":
        size = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(size)
        answer.is_whole = True
        return
    while True:
        size = int((await reader.readline()).strip(), 16)
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            answer.is_whole = True
            return


def render(template, fields):
    """Fill in a template of settings as the platform does."""

    def look_up(name, current):
        if name == ".":
            return current.get(".")
        value = current
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is None and current is not fields:
            return look_up(name, fields)
        return value

    def fill(text, current):
        def section(match):
            value = look_up(match.group(1), current)
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            elif value is None or value is False:
                entries = []
            else:
                entries = [("", value)]
            parts = []
            for number, (key, entry) in enumerate(entries):
                inner = match.group(2).replace("{{@}}", str(key))
                is_last = number == len(entries) - 1
                inner = inner.replace("{{,}}", "" if is_last else ",")
                parts.append(fill(inner, {".": entry}))
            return "".join(parts)

        pattern = r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}"
        text = re.sub(pattern, section, text, flags=re.DOTALL)
        return re.sub(
            r"\{\{([\w.]+)\}\}",
            lambda m: str(look_up(m.group(1), current)),
            text,
        )

    return fill(template, fields)


class StoreLink:
    """Relays an entry's connections to the store, until it is cut.

    While it is cut no byte passes, and new connections get no answer.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._whole = asyncio.Event()
        self._whole.set()
        self.address = ""

    async def start(self, ip):
        self._server = await asyncio.start_server(self._relay, ip, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def cut(self):
        self._whole.clear()

    def repair(self):
        self._whole.set()

    def stop(self):
        if self._server is not None:
            self._server.close()

    async def _relay(self, reader, writer):
        await self._whole.wait()
        host, _, port = self._target.rpartition(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, other_writer), self._copy(other_reader, writer)
        )

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Entry:
    """Holds one entry of the project, a real process."""

    def __init__(self, deployment, name, zone, ip, link):
        self.deployment = deployment
        self.name = name
        self.link = link
        self.fields = {
            "node_name": name,
            "ip": ip,
            "zone": zone,
            "zones": dict.fromkeys(ZONES, "ra"),
            "listen": {"front": f"{ip}:8227", "ready": f"{ip}:8220"},
            "internal_ports": [7340, 7355],
            "limits": {"link_mbps": 1000.0},
            "heartbeat_ms": 1200,
            "bounds": {
                "drain_ms": DRAIN_MS,
                "grace_s": 8,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_extra": 136,
                "cold_over": 1.5,
                "cold_slack": 5,
                "revoke_ms": 5000,
                "stall_ms": 4000,
                "ceiling_window_s": 5,
                "ceiling_over": 1.1,
            },
            "platform": {
                "address": link.address,
                "parts": deployment.store.parts,
                "ttl_min_ms": 1000,
            },
        }
        self.process = None

    @property
    def front(self):
        return self.fields["listen"]["front"]

    def start(self):
        """Start its process as the deploy file says."""
        path = self.deployment.folder / f"{self.name}.ini"
        template = (ROOT / "deploy" / "entry.ini").read_text()
        path.write_text(render(template, self.fields))
        kept = ("PATH", "HOME", "LANG")
        variables = {k: os.environ[k] for k in kept if k in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["SYCAMORESPOOL_NODE_FILE"] = str(path)
        log_path = self.deployment.folder / f"{self.name}.log"
        with log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                ["python3", "-m", "sycamorespool.platform.start"],
                cwd=ROOT,
                env=variables,
                stdout=log_file,
                stderr=log_file,
            )

    async def is_ready(self):
        """Ask as the platform does whether it takes new connections."""
        answer = await send_request(
            self.fields["listen"]["ready"], "GET", "/api/ready", {}, b"", 1.0
        )
        return answer.status == 200

    def kill(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """Raised when the deployment does not come up."""


class Deployment:
    """Holds the store, the servers and the entries of one run."""

    def __init__(self, folder):
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.servers = {}
        self.entries = []
        self.arrivals = []
        self.runs = []
        self.ended_runs = set()
        self.version = 0
        self.cold_s = 0.0
        self.cold_per_s = 0.0
        self.model_size = 2
        self._attempts = 0
        self._tasks = set()
        # A range of loopback addresses that another run hardly has.
        self.net = f"127.{random.randrange(2, 250)}.{random.randrange(2, 250)}"

    def spawn(self, awaitable):
        """Run a task until the end of the script."""
        task = asyncio.get_running_loop().create_task(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def note_arrival(self, server, attempt):
        now_s = self.record.now_s()
        self.arrivals.append((now_s, server.server_id, attempt))

    def note_run(self, server, attempt):
        self.runs.append((self.record.now_s(), server.server_id, attempt))
        self.record.write(f"run {attempt} begins at {server.server_id}")

    def note_run_end(self, server, attempt):
        self.ended_runs.add(attempt)

    def put_config(self):
        """Write the configuration as the operator does."""
        cold = {"cold_s": self.cold_s, "cold_per_s": self.cold_per_s}
        self.version += 3
        routes = [
            _route("orders", "non_idempotent", "ledger", 1500, 1),
            _route("stock", "idempotent", "ledger", 1500, 2),
            _route("draft", "streaming", "drafts", 8000, 2)
            | {"resumable": True, "gap_aim_ms": 300, "sticky": True},
        ]
        engine = {
            "slots": 13,
            "kv_capacity": 700000,
            "models": [
                {
                    "name": MODEL,
                    "size": self.model_size,
                    "share": 1.0,
                    "pace": 1.0,
                    "load_s": 1.6,
                    "warm_s": 0.3,
                }
            ],
            "loads_per_s": 4.0,
            "form_ms": 300.0,
        }
        services = [
            {"name": "ledger", "health_path": "/health", "max_conns": 110}
            | cold,
            {
                "name": "drafts",
                "health_path": "/health",
                "max_conns": 354,
                "engine": engine,
            },
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "t1", "api_keys": [KEY], "priority": 1}],
        }
        self.store.put("keyed.op", "config", config)

    async def add_server(self, server_id, service, zone, domain=""):
        server = Server(self, server_id, service, zone, domain)
        await server.http.start(f"{self.net}.{100 + len(self.servers)}")
        self.servers[server_id] = server
        server.write_beat()
        return server

    async def start(
        self, entries=2, plain=3, engines=4, domain_size=4, entry_zones=ZONES
    ):
        """Start all, and wait until the entries are ready to serve."""
        await self.store.server.start(f"{self.net}.99")
        self.put_config()
        for number in range(plain):
            await self.add_server(f"p-{number}", "ledger", ZONES[number % 2])
        for number in range(engines):
            domain = f"za-d{number // domain_size}"
            await self.add_server(f"e-{number}", "drafts", "za", domain)
        self.spawn(self._beat())
        for number in range(entries):
            link = StoreLink(self.store.server.address)
            await link.start(f"{self.net}.{60 + number}")
            entry = Entry(
                self,
                f"front-{number}",
                entry_zones[number % len(entry_zones)],
                f"{self.net}.{10 + number}",
                link,
            )
            self.entries.append(entry)
            entry.start()
        for _ in range(300):
            await asyncio.sleep(0.1)
            if await self._is_up(engines // self.model_size):
                self.record.write("the deployment is up")
                return
        raise CannotRun("the deployment did not come up")

    async def _is_up(self, groups):
        for entry in self.entries:
            if entry.process.poll() is not None:
                raise CannotRun(f"{entry.name} has ended")
            if not await entry.is_ready():
                return False
        heads = sum(
            bool(s.group) and s.group["state"] == "open"
            for s in self.servers.values()
        )
        return heads == groups

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S / max(1, len(self.servers)))
            for server in list(self.servers.values()):
                server.write_beat()
                await asyncio.sleep(HEARTBEAT_S / max(1, len(self.servers)))

    async def call(self, entry, method, path, deadline_ms, extra=None, body=b""):
        """Send a client's request; return its id and the answer."""
        self._attempts += 1
        attempt = f"a{self._attempts:05d}"
        headers = {
            "Sycamorespool-Attempt-Id": attempt,
            "Sycamorespool-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(extra or {}),
        }
        sent_s = self.record.now_s()
        self.record.write(f"sent {attempt} {method} {path} to {entry.name}")
        answer = await send_request(
            entry.front, method, path, headers, body, deadline_ms / 1000 + 2
        )
        whole = "whole" if answer.is_whole else "not whole"
        self.record.write(f"answered {attempt} {answer.status} {whole}")
        return attempt, sent_s, answer

    def close(self):
        """End all processes and tasks."""
        for entry in self.entries:
            entry.kill()
            entry.link.stop()
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers.values():
            server.http.stop()
        self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def _route(name, kind, service, timeout_ms, attempts):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": False,
    }


def main(file, run, limit_s=110.0):
    """Run a case; exit with 1 if the rule broke, 0 if it held, 2 otherwise."""
    folder = pathlib.Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run_all():
        deployment = Deployment(folder)
        loop = asyncio.get_running_loop()
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await run(deployment, trouble)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            deployment.record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            deployment.close()

    try:
        code = asyncio.run(run_all())
    except (asyncio.CancelledError, KeyboardInterrupt):
        code = 2
    raise SystemExit(code)
