"""A stand-in of the platform: log, membership list and weight store.

Faults are ordered by a POST of a JSON object to ``/faults``; the keys are
the fields of :class:`Faults`.
"""

import dataclasses

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import asgi_server

UNAVAILABLE = asgi.Response(503, b'{"error": "unavailable"}')
NOT_FOUND = asgi.Response(404, b'{"error": "not found"}')


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in plays.

    Parameters
    ----------
    log_down, membership_down, store_down : bool
        The service refuses every call.
    append_answer_lost : bool
        Appends take effect, but are answered with an error.
    slow_s : float
        Seconds by which each log call is late.
    membership_frozen : bool
        The list stays as it was when the fault began.
    """

    log_down: bool = False
    membership_down: bool = False
    store_down: bool = False
    append_answer_lost: bool = False
    slow_s: float = 0.0
    membership_frozen: bool = False


@dataclasses.dataclass(slots=True)
class _Stream:
    first: int = 0
    lines: list[msgspec.Raw] = dataclasses.field(default_factory=list)

    @property
    def head(self) -> int:
        return self.first + len(self.lines)


class Platform:
    """State of the stand-in platform.

    Parameters
    ----------
    load_s : float
        Seconds that one weight load takes with the store's rate to itself.
    parallel_loads : int
        Loads that the store serves at once; more have to wait.
    keep : int
        Records of a stream that the log keeps.
    """

    def __init__(
        self, load_s: float = 0.5, parallel_loads: int = 8, keep: int = 100000
    ) -> None:
        self.faults = Faults()
        self.appends = 0
        self._streams: dict[str, _Stream] = {}
        self._vms: dict[str, object] = {}
        self._frozen: bytes = b"[]"
        self._grown = trio.Event()
        self._load_s = load_s
        self._loads = trio.CapacityLimiter(parallel_loads)
        self._keep = keep

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    async def append(self, name: str, body: bytes) -> asgi.Response:
        """Append records to a stream."""
        if self.faults.log_down:
            return UNAVAILABLE
        await trio.sleep(self.faults.slow_s)
        batch = msgspec.json.decode(body, type=list[msgspec.Raw])
        stream = self._stream(name)
        offsets = list(range(stream.head, stream.head + len(batch)))
        # Raw points into the body: copy, so that the body can be freed.
        stream.lines += [msgspec.Raw(bytes(raw)) for raw in batch]
        self.appends += 1
        surplus = len(stream.lines) - self._keep
        if surplus > 0:
            del stream.lines[:surplus]
            stream.first += surplus
        self._grown.set()
        self._grown = trio.Event()
        if self.faults.append_answer_lost:
            return asgi.Response(500, b"answer lost")
        return asgi.answer_json({"offsets": offsets})

    async def read(self, name: str, query: dict[str, str]) -> asgi.Response:
        """Read a stream, waiting for a record if it has none."""
        if self.faults.log_down:
            return UNAVAILABLE
        await trio.sleep(self.faults.slow_s)
        start = int(query.get("start", "0"))
        stream = self._stream(name)
        with trio.move_on_after(float(query.get("wait_s", "0"))):
            while stream.head <= start:
                await self._grown.wait()
        if self.faults.log_down:
            return UNAVAILABLE
        begin = max(start, stream.first)
        index = begin - stream.first
        lines = stream.lines[index : index + int(query.get("limit", "1000"))]
        entries = [
            {"offset": begin + i, "record": line}
            for i, line in enumerate(lines)
        ]
        page = {"first": stream.first, "head": stream.head, "entries": entries}
        return asgi.answer_json(page)

    def list_vms(self) -> asgi.Response:
        """Answer with the membership list."""
        if self.faults.membership_down:
            return UNAVAILABLE
        current = msgspec.json.encode(list(self._vms.values()))
        if not self.faults.membership_frozen:
            self._frozen = current
        return asgi.Response(200, b'{"vms":' + self._frozen + b"}")

    def put_vm(self, name: str, body: bytes) -> asgi.Response:
        """Add or change one VM of the membership list."""
        self._vms[name] = msgspec.json.decode(body)
        return asgi.Response(204)

    def remove_vm(self, name: str) -> asgi.Response:
        """Remove one VM from the membership list."""
        self._vms.pop(name, None)
        return asgi.Response(204)

    async def load(self) -> asgi.Response:
        """Serve one weight load at the store's limited rate."""
        async with self._loads:
            await trio.sleep(self._load_s)
        return UNAVAILABLE if self.faults.store_down else asgi.Response(200)

    def set_faults(self, body: bytes) -> asgi.Response:
        """Order faults."""
        self.faults = msgspec.json.decode(body, type=Faults)
        self._grown.set()
        self._grown = trio.Event()
        return asgi.Response(204)

    async def handle(self, request: asgi.Request) -> asgi.Response:
        """Answer one request."""
        _, room, *rest = request.path.split("/")
        name = "/".join(rest)
        match request.method, room:
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
