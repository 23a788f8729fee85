"""A stand-in for the platform: log, membership list and weight store.

A POST of a JSON object to ``/faults`` sets the faults to inject; its keys
are the fields of :class:`Faults`.
"""

import dataclasses

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import asgi_server

UNAVAILABLE = asgi.Response(503, b'{"error": "unavailable"}')
NOT_FOUND = asgi.Response(404, b'{"error": "not found"}')


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in injects.

    Parameters
    ----------
    log_down, membership_down, store_down : bool
        The service refuses every call.
    append_answer_lost : bool
        Appends take effect, but are answered with an error.
    slow_s : float
        Seconds by which each log call is delayed.
    membership_frozen : bool
        The membership list is served as it was when the fault began.
    """

    log_down: bool = False
    membership_down: bool = False
    store_down: bool = False
    append_answer_lost: bool = False
    slow_s: float = 0.0
    membership_frozen: bool = False


@dataclasses.dataclass(slots=True)
class _Stream:
    """The records of one log stream; ``first`` is the oldest offset kept."""

    first: int = 0
    records: list[msgspec.Raw] = dataclasses.field(default_factory=list)

    @property
    def head(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)


class Platform:
    """The log streams, the membership list and the weight store.

    Parameters
    ----------
    load_s : float
        Seconds that the store takes to serve one weight load.
    parallel_loads : int
        Loads that the store serves concurrently; further ones queue.
    max_records : int
        Number of newest records of a stream that the log keeps.
    """

    def __init__(
        self,
        load_s: float = 0.5,
        parallel_loads: int = 8,
        max_records: int = 100000,
    ) -> None:
        self.faults = Faults()
        self.appends = 0
        self._streams: dict[str, _Stream] = {}
        self._vms: dict[str, object] = {}
        self._last_list: bytes = b"[]"
        self._changed = trio.Event()
        self._load_s = load_s
        self._loads = trio.CapacityLimiter(parallel_loads)
        self._max_records = max_records

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    async def append(self, name: str, body: bytes) -> asgi.Response:
        """Append the records of a JSON list and return their offsets."""
        if self.faults.log_down:
            return UNAVAILABLE
        await trio.sleep(self.faults.slow_s)
        batch = msgspec.json.decode(body, type=list[msgspec.Raw])
        stream = self._stream(name)
        offsets = list(range(stream.head, stream.head + len(batch)))
        # msgspec.Raw refers to the body: copy, so that the body can be freed.
        stream.records += [msgspec.Raw(bytes(raw)) for raw in batch]
        self.appends += 1
        surplus = len(stream.records) - self._max_records
        if surplus > 0:
            del stream.records[:surplus]
            stream.first += surplus
        self._changed.set()
        self._changed = trio.Event()
        if self.faults.append_answer_lost:
            return asgi.Response(500, b"answer lost")
        return asgi.answer_json({"offsets": offsets})

    async def read(self, name: str, query: dict[str, str]) -> asgi.Response:
        """Return a page of records, waiting if there is none yet."""
        if self.faults.log_down:
            return UNAVAILABLE
        await trio.sleep(self.faults.slow_s)
        start = int(query.get("start", "0"))
        stream = self._stream(name)
        with trio.move_on_after(float(query.get("wait_s", "0"))):
            while stream.head <= start:
                await self._changed.wait()
        if self.faults.log_down:
            return UNAVAILABLE
        begin = max(start, stream.first)
        index = begin - stream.first
        records = stream.records[
            index : index + int(query.get("limit", "1000"))
        ]
        entries = [
            {"offset": begin + i, "record": record}
            for i, record in enumerate(records)
        ]
        page = {"first": stream.first, "head": stream.head, "entries": entries}
        return asgi.answer_json(page)

    def list_vms(self) -> asgi.Response:
        """Return the membership list."""
        if self.faults.membership_down:
            return UNAVAILABLE
        current = msgspec.json.encode(list(self._vms.values()))
        if not self.faults.membership_frozen:
            self._last_list = current
        return asgi.Response(200, b'{"vms":' + self._last_list + b"}")

    def put_vm(self, name: str, body: bytes) -> asgi.Response:
        """Add or replace one VM of the membership list."""
        self._vms[name] = msgspec.json.decode(body)
        return asgi.Response(204)

    def remove_vm(self, name: str) -> asgi.Response:
        """Remove one VM from the membership list."""
        self._vms.pop(name, None)
        return asgi.Response(204)

    async def load(self) -> asgi.Response:
        """Serve one weight load, with limited concurrency."""
        async with self._loads:
            await trio.sleep(self._load_s)
        return UNAVAILABLE if self.faults.store_down else asgi.Response(200)

    def set_faults(self, body: bytes) -> asgi.Response:
        """Replace the faults to inject, and wake the waiting reads."""
        self.faults = msgspec.json.decode(body, type=Faults)
        self._changed.set()
        self._changed = trio.Event()
        return asgi.Response(204)

    async def handle(self, request: asgi.Request) -> asgi.Response:
        """Answer one request."""
        _, resource, *rest = request.path.split("/")
        name = "/".join(rest)
        match request.method, resource:
            case "POST", "log":
                return await self.append(name, request.body)
            case "GET", "log":
                return await self.read(name, request.query)
            case "GET", "membership":
                return self.list_vms()
            case "PUT", "membership":
                return self.put_vm(name, request.body)
            case "DELETE", "membership":
                return self.remove_vm(name)
            case "POST", "store":
                return await self.load()
            case "POST", "faults":
                return self.set_faults(request.body)
            case "GET", "counts":
                return asgi.answer_json({"appends": self.appends})
        return NOT_FOUND


async def serve(
    listen: str, load_s: float, parallel_loads: int, stop: trio.Event
) -> None:
    """Serve the stand-in platform until ``stop`` is set."""
    platform = Platform(load_s, parallel_loads)
    await asgi_server.serve(asgi.make_app(platform.handle), listen, stop, 0.1)
