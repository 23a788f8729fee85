"""Raw servers that share a list of what is done with requests.

What a server does with a request is taken from the list by the order in
which requests arrive at any of them.
"""

import trio

from tests.hosted import raw_server

SERVICE = "ledger"
STREAM_KIND = b"text/event-stream"
BODY = b"whole"
# Longer than any silence after which another attempt begins.
SILENCE_S = 1.2
# Time after the deadline by which a caller has an answer.
LATE_S = 0.25
MAX_ATTEMPTS = 2


def make_event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def make_whole(request, body=BODY, length=None, status=b"200 OK"):
    """Return a whole answer, or the beginning of one with this length."""
    head = raw_server.make_head(request, b"text/plain")
    head = head.replace(b"200 OK", status)
    length = len(body) if length is None else length
    return head + b"content-length: %d\r\n\r\n%b" % (length, body)


def answer(wait_s=0.0, body=BODY, status=b"200 OK"):
    async def act(server, stream, request):
        await trio.sleep(wait_s)
        await stream.send_all(make_whole(request, body, status=status))

    return act


def cut(wait_s=0.0):
    """Return an act that closes its connection within the answer."""

    async def act(server, stream, request):
        await trio.sleep(wait_s)
        await stream.send_all(make_whole(request, b"who", length=5))

    return act


async def dribble(server, stream, request):
    """Send a byte now and then, for longer than any of these tests."""
    await stream.send_all(make_whole(request, b"", length=40))
    for _ in range(40):
        await trio.sleep(0.1)
        await stream.send_all(b"x")


async def mute(server, stream, request):
    await trio.sleep_forever()


class Servers:
    """Raw servers that share the list of what is done with requests."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.acts = []
        self.reached = []
        self.closed = []
        self.servers = {}
        self.silent_reports = set()

    async def start(self, names):
        """Put raw servers in place of the others, known to all entries."""
        for engine in list(self.fleet.servers):
            engine.remove_record()
        others = len(self.fleet.engines)
        await self.fleet.wait_for(self.fleet.count_known_is(others))
        for name in names:
            await self.add(name)
        known = self.fleet.count_known_is(others + len(names))
        await self.fleet.wait_for(known)

    async def add(self, name, cold_ms=0):
        server = raw_server.RawServer(self.fleet.nursery, [])
        server.name = name
        server.scope = trio.CancelScope()

        async def script(stream, request):
            await self.serve(server, stream, request)

        server._scripts = [script]
        server.listeners = await trio.open_tcp_listeners(
            int(server.address.rpartition(":")[2]), host="127.0.0.1"
        )

        async def run():
            with server.scope:
                await trio.serve_listeners(
                    server._serve,
                    server.listeners,
                    handler_nursery=self.fleet.nursery,
                )

        self.fleet.nursery.start_soon(run)
        server.write_record(self.fleet.store, name, SERVICE)
        if cold_ms:
            record = {
                "service": SERVICE,
                "address": server.address,
                "zone": "dc",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "sequence": 2,
                "cold_left_ms": cold_ms,
                "born": 1,
            }
            self.fleet.store.put("keyed.servers", name, record)
        self.servers[name] = server
        return server

    async def stop_listening(self, name):
        """Take no new connections; those that are open go on."""
        server = self.servers[name]
        server.scope.cancel()
        for listener in server.listeners:
            await listener.aclose()

    async def serve(self, server, stream, request):
        if b" /api/report " in request.split(b"\r\n", 1)[0] + b" ":
            if server.name in self.silent_reports:
                await stream.receive_some()
                return
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
            )
            return
        self.reached.append((server.name, trio.current_time()))
        act = self.acts.pop(0) if self.acts else answer()
        async with trio.open_nursery() as nursery:

            async def run_act():
                await act(server, stream, request)
                nursery.cancel_scope.cancel()

            async def watch():
                while await stream.receive_some():
                    pass
                self.closed.append((server.name, trio.current_time()))
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            nursery.start_soon(run_act)

    async def wait_for(self, count):
        """Wait until so many requests have reached servers."""

        async def have_arrived():
            return len(self.reached) >= count

        await self.fleet.wait_for(have_arrived)

    def names(self):
        return [name for name, _ in self.reached]


async def ask_lookup(fleet, number=1, deadline_ms=5000):
    return await fleet.ask(
        "/stock/1",
        "GET",
        number=number,
        sycamorespool_deadline_ms=str(deadline_ms),
    )
