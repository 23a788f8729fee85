"""A stand-in for the store of a hosted platform.

It keeps topics of records in memory and serves over HTTP what the tests
need of the platform's store: appends, reads that wait for records, the
newest record of each key, and a group that assigns partitions to members.
"""

import base64
import collections
import dataclasses
import math
import struct

import msgspec
import trio

from sycamorespool import asgi

# Length in bytes before each record of an append or a read.
RECORD_LENGTH = struct.Struct(">I")
# End offset and oldest offset kept, before the records of a read.
OFFSET_BOUNDS = struct.Struct(">QQ")
# Topics that only the operator and the backend servers write.
READ_ONLY_TOPICS = frozenset({"keyed.op", "keyed.servers"})


@dataclasses.dataclass(slots=True)
class Topic:
    """One partition of a topic; ``first`` is the oldest offset kept."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0
    appended: trio.Event = dataclasses.field(default_factory=trio.Event)

    def append(self, content: bytes) -> int:
        """Add a record and return its offset."""
        self.records.append(content)
        self.appended.set()
        self.appended = trio.Event()
        return len(self.records) - 1


def _encode_keyed(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


@dataclasses.dataclass(slots=True)
class HostedStore:
    """The topics, the members of the group, and the faults to inject.

    Parameters
    ----------
    partitions : int
        Partitions of each topic that are assigned to members.
    topics : dict
        Records by topic and partition.
    members : dict
        Time at which each member's membership expires, in s.
    generation : int
        Number of changes of the members.
    is_down : bool
        Whether every call is refused.
    slow_s : float
        How long each call takes.
    does_lose_answers : bool
        Whether appends take effect but are not answered.
    """

    partitions: int = 2
    topics: collections.defaultdict[tuple[str, int], Topic] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(Topic)
        )
    )
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    generation: int = 0
    is_down: bool = False
    slow_s: float = 0.0
    does_lose_answers: bool = False

    def put(self, topic: str, key: str, value: object | None) -> int:
        """Write a record as the operator or a backend server does.

        The value None deletes the key.
        """
        content = b"" if value is None else msgspec.json.encode(value)
        record = _encode_keyed(key, content)
        return self.topics[topic, 0].append(record)

    def expire_records(self, topic: str) -> None:
        """Expire the records of a topic."""
        found = self.topics[topic, 0]
        found.first = len(found.records)

    async def handle(self, request: asgi.Request) -> asgi.Response:
        """Answer one call."""
        if self.is_down:
            return asgi.Response(503)
        await trio.sleep(self.slow_s)
        name = request.path.rpartition("/")[2].removeprefix("log-")
        handler = {
            "append": self._append,
            "read": self._read,
            "newest": self._newest,
            "join": self._join,
            "leave": self._leave,
        }.get(name)
        if handler is None:
            return asgi.Response(404)
        return await handler(request)

    def _find(self, request: asgi.Request) -> Topic:
        part = int(request.query.get("part", "0"))
        return self.topics[request.query["topic"], part]

    async def _append(self, request: asgi.Request) -> asgi.Response:
        if request.query["topic"] in READ_ONLY_TOPICS:
            return asgi.Response(403)
        topic = self._find(request)
        offset = len(topic.records)
        position = 0
        while position < len(request.body):
            (size,) = RECORD_LENGTH.unpack_from(request.body, position)
            position += RECORD_LENGTH.size
            topic.append(request.body[position : position + size])
            position += size
        if self.does_lose_answers:
            await trio.sleep_forever()
        return asgi.answer_json({"offset": offset, "end": len(topic.records)})

    async def _read(self, request: asgi.Request) -> asgi.Response:
        topic = self._find(request)
        start = int(request.query["from"])
        if start < topic.first:
            return asgi.answer_json({"first": topic.first}, 410)
        wait_s = float(request.query.get("wait_ms", "0")) / 1000
        with trio.move_on_after(wait_s):
            while start >= len(topic.records):
                await topic.appended.wait()
        found = topic.records[start:]
        body = OFFSET_BOUNDS.pack(len(topic.records), topic.first)
        body += b"".join(RECORD_LENGTH.pack(len(r)) + r for r in found)
        return asgi.Response(200, body, "application/octet-stream")

    async def _newest(self, request: asgi.Request) -> asgi.Response:
        topic = self._find(request)
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(topic.records):
            size = content[0]
            key = content[1 : 1 + size].decode()
            newest.pop(key, None)
            if len(content) > 1 + size:
                newest[key] = (offset, content[1 + size :])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
        ]
        return asgi.answer_json(
            {"items": items, "more": False, "end": len(topic.records)}
        )

    async def _join(self, request: asgi.Request) -> asgi.Response:
        call = msgspec.json.decode(request.body)
        member = call["member"]
        now_s = trio.current_time()
        expired = [m for m, until_s in self.members.items() if until_s < now_s]
        for name in expired:
            del self.members[name]
        if expired or member not in self.members:
            self.generation += 1
        self.members[member] = now_s + call["ttl_ms"] / 1000
        names = sorted(self.members)
        assignments = [
            [topic, part, 0]
            for topic in call["topics"]
            for part in range(self.partitions)
        ]
        share = math.ceil(len(assignments) / len(names))
        first = names.index(member) * share
        return asgi.answer_json(
            {
                "generation": self.generation,
                "parts": assignments[first : first + share],
            }
        )

    async def _leave(self, request: asgi.Request) -> asgi.Response:
        member = msgspec.json.decode(request.body)["member"]
        if self.members.pop(member, None) is not None:
            self.generation += 1
        return asgi.answer_json({})
