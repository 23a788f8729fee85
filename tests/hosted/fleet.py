"""Runs an entry of a hosted platform against stand-ins in this process."""

import contextlib

import msgspec
import trio

from examples import hosted_settings
from examples import processes
from sycamorespool import asgi_server
from sycamorespool import hosted
from sycamorespool import http_client
from sycamorespool.peers import peer_reads
from sycamorespool.standins import hosted_engine
from sycamorespool.standins import hosted_store
from tests.hosted import cut_links

KEY = "caller-key"
OTHER_KEY = "other-key"
HOST = "shop.example"
WAIT_S = 20.0
CHECK_PERIOD_S = 0.05
STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5))

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "drafts",
            "host": HOST,
            "path_prefix": "/drafts/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "slo_ms": 500,
            "gap_aim_ms": 300,
            "priority": 1,
            "service": "assistant",
            "max_attempts": 2,
            "resumable": True,
        },
        {
            "name": "orders",
            "host": HOST,
            "path_prefix": "/orders/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "slo_ms": 200,
            "service": "ledger",
        },
        {
            "name": "stock",
            "host": HOST,
            "path_prefix": "/stock/",
            "kind": "idempotent",
            "timeout_ms": 3000,
            "slo_ms": 200,
            "service": "ledger",
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": "assistant",
            "cold_s": 0,
            "cold_per_s": 0,
            "engine": {
                "slots": 4,
                "loads_per_s": 100,
                "models": [
                    {
                        "name": "m",
                        "size": 2,
                        "share": 1.0,
                        "pace": 1.0,
                        "load_s": 0.2,
                        "warm_s": 0.1,
                    }
                ],
            },
        },
        {"name": "ledger"},
    ],
    "tenants": [{"name": "w", "api_keys": [KEY, OTHER_KEY], "priority": 1}],
}


class HostedFleet:
    """The stand-ins of the store and the backend servers, and one entry.

    ``entries`` are the names of further entries, which start before it.
    """

    def __init__(self, nursery, tmp_path, revoke_ms=5000, entries=()):
        self.nursery = nursery
        self.folder = tmp_path
        self.further = entries
        self.began_s = self.serving_s = trio.current_time()
        self.store = hosted_store.HostedStore()
        self.engines = []
        self.servers = []
        self.fatal_parts = set()
        self.fatal_bodies = set()
        self.restart_s = 0.0
        self.ends = self.asked = 0
        self.stop = trio.Event()
        self.entry_scope = None
        self.entry_ended = trio.Event()
        self.callers = processes.find_free_address()
        self.readiness = processes.find_free_address()
        self.metrics = processes.find_free_address()
        self.metrics_pages = [self.metrics]
        self.peers = processes.find_free_address()
        self.store_address = processes.find_free_address()
        self.path = tmp_path / "entry.ini"
        self.path.write_text(
            hosted_settings.render(
                callers=self.callers,
                readiness=self.readiness,
                metrics=self.metrics,
                peers=self.peers,
                store=self.store_address,
                revoke_ms=revoke_ms,
            )
        )
        self.pool = http_client.make_pool()

    async def serve(self, app, address):
        await self.nursery.start(
            asgi_server.serve, app, address, self.stop, 0.1
        )

    async def add(self, vm_id, service, domain=""):
        address = processes.find_free_address()
        engine = hosted_engine.HostedEngine(
            self.store,
            vm_id,
            service,
            address,
            domain,
            fatal_parts=self.fatal_parts,
            fatal_bodies=self.fatal_bodies,
        )
        await self.nursery.start(self.run_server, engine)
        engine.write_record()
        (self.engines if domain else self.servers).append(engine)
        return engine

    async def run_server(self, engine, task_status):
        """Serve an engine until its process ends, and then start another."""
        await asgi_server.serve(
            engine.app, engine.address, engine.ended, 0.0, task_status
        )
        self.ends += 1
        engine.remove_record()
        (self.engines if engine.domain else self.servers).remove(engine)
        await trio.sleep(self.restart_s)
        vm_id = f"{engine.vm_id}-{self.ends}"
        await self.add(vm_id, engine.service, engine.domain)

    async def start(self):
        await self.serve(
            asgi_server.asgi.make_app(self.store.handle), self.store_address
        )
        self.store.put("keyed.op", "config", CONFIG)
        for number in range(4):
            await self.add(f"i-{number}", "assistant", "d")
        for number in range(2):
            await self.add(f"p-{number}", "ledger")
        for name in self.further:
            await self.add_entry(name)
        self.nursery.start_soon(self.run_entry)
        await self.wait_for(self.is_ready)
        await self.wait_for(self.count_open_is(2))
        await self.wait_for(self.serves_both_groups)
        self.serving_s = trio.current_time()
        for engine in self.engines:
            engine.runs.clear()

    async def run_entry(self):
        cut_links.ENTRY.set("entry-1")
        with trio.CancelScope() as self.entry_scope:
            await hosted.run(str(self.path))
        self.entry_ended.set()

    async def add_entry(self, name):
        """Run a further entry, and wait until it has announced itself."""
        path = self.folder / f"{name}.ini"
        metrics = processes.find_free_address()
        self.metrics_pages.append(metrics)
        path.write_text(
            hosted_settings.render(
                name=name,
                callers=processes.find_free_address(),
                readiness=processes.find_free_address(),
                metrics=metrics,
                peers=processes.find_free_address(),
                store=self.store_address,
            )
        )

        async def run():
            cut_links.ENTRY.set(name)
            await hosted.run(str(path))

        self.nursery.start_soon(run)
        topic = self.store.topics["keyed.entries", 0]

        async def is_announced():
            return any(name.encode() in record for record in topic.records)

        await self.wait_for(is_announced)

    async def restart_entry(self):
        """End the entry at once, and wait until it serves again."""
        self.entry_scope.cancel()
        await self.entry_ended.wait()
        self.entry_ended = trio.Event()
        self.nursery.start_soon(self.run_entry)
        await self.wait_for(self.is_ready)

    async def read_metric(self, name):
        """Return the value of a metric without labels of the entry, or 0."""
        return await self._read_metric(self.metrics, name)

    async def _read_metric(self, address, name):
        url = f"http://{address}/metrics"
        page = await http_client.exchange(self.pool, "GET", url)
        values = dict(
            line.rsplit(" ", 1) for line in page.body.decode().splitlines()
        )
        return float(values.get(name, 0))

    def count_known_is(self, count):
        """Return a condition: all entries know so many backend servers."""

        async def condition():
            known = [
                await self._read_metric(page, "servers_known")
                for page in self.metrics_pages
            ]
            return known == [count] * len(known)

        return condition

    async def knows_open_group(self):
        """Tell whether the entry, and not only the engines, know a group."""
        name = 'groups_open{l0="assistant"}'
        return await self.read_metric(name) >= 1

    def knows_config(self, name, version):
        """Return a condition: a further entry has a configuration."""
        page = self.metrics_pages[1 + self.further.index(name)]

        async def condition():
            return await self._read_metric(page, "config_version") == version

        return condition

    async def serves_both_groups(self):
        await self.ask_stream()
        return all(engine.runs for engine in self.open_heads())

    async def wait_for(self, condition):
        """Wait until a condition holds; it may be a coroutine function."""
        with trio.fail_after(WAIT_S):
            while not await condition():
                await trio.lowlevel.checkpoint()
                await trio.sleep(CHECK_PERIOD_S)

    async def is_ready(self):
        with contextlib.suppress(http_client.NotReached):
            url = f"http://{self.readiness}/api/ready"
            answer = await http_client.exchange(self.pool, "GET", url)
            return answer.status == 200
        return False

    def count_open_is(self, count):
        async def condition():
            return len(self.open_heads()) == count

        return condition

    def find_member(self, head):
        """Return another member of a head's group."""
        return next(
            engine
            for engine in self.engines
            if engine.group["name"] == head.group["name"]
            and engine is not head
        )

    async def has_open_heads(self):
        return bool(self.open_heads())

    async def has_servers(self):
        return bool(self.servers)

    def open_heads(self):
        return [
            engine
            for engine in self.engines
            if engine.group and engine.group["state"] == "open"
        ]

    async def ask(
        self, path, method="POST", key=KEY, number=1, body=None, **headers
    ):
        """Send a caller's request and return the whole answer."""
        if body is None:
            body = msgspec.json.encode({"n": number})
        named = {
            "host": HOST,
            "authorization": f"Bearer {key}",
            "sycamorespool-attempt-id": f"a{number}",
            "sycamorespool-deadline-ms": "5000",
            **{name.replace("_", "-"): v for name, v in headers.items()},
        }
        return await http_client.exchange(
            self.pool,
            method,
            f"http://{self.callers}{path}",
            body,
            10.0,
            named,
        )

    async def ask_peer(self, topic, start):
        """Fetch records from the entry as another entry does."""
        url = (
            f"http://{self.peers}{peer_reads.PATH}?topic={topic}&from={start}"
            f"&timeline={self.store.timeline}"
        )
        return await http_client.exchange(self.pool, "GET", url)

    @staticmethod
    def decode_peer_records(answer):
        return msgspec.msgpack.decode(answer.body, type=peer_reads.PeerRecords)

    async def ask_stream(self, number=1, **headers):
        return await self.ask(
            "/drafts/1",
            number=number,
            **{"sycamorespool-model": "m", **headers},
        )

    async def ask_prompt(self, *parts, body=None):
        """Ask for a stream on a prompt with these parts, its own last."""
        self.asked += 1
        listed = ",".join(f"{part}:100" for part in parts)
        return await self.ask_stream(
            f"p{self.asked}",
            body=body,
            **{"sycamorespool-prompt-prefix": listed},
        )
