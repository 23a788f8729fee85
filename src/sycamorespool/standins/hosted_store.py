"""Stands in for the store of a hosted platform.

It keeps topics of records in memory and serves over HTTP what the tests
need of the platform's store: appends, reads that wait for records, the
newest record of each key, and a group that assigns partitions to members.
It can be restored from a copy of its state some seconds ago.
"""

import base64
import bisect
import collections
import dataclasses
import itertools
import math
import struct

import msgspec
import trio

from sycamorespool import asgi

# Length in bytes before each record of an append or a read.
RECORD_LENGTH = struct.Struct(">I")
# End offset and oldest offset kept, before the records of a read.
OFFSET_BOUNDS = struct.Struct(">QQ")
TIMELINE = "store-era"
# Topics that only the operator and the backend servers write.
READ_ONLY_TOPICS = frozenset({"keyed.op", "keyed.servers"})


@dataclasses.dataclass(slots=True)
class Topic:
    """Holds one partition of a topic; ``first`` is the oldest offset kept."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0
    appended: trio.Event = dataclasses.field(default_factory=trio.Event)
    appended_s: list[float] = dataclasses.field(default_factory=list)

    def append(self, content: bytes) -> int:
        """Add a record and return its offset."""
        self.records.append(content)
        self.appended_s.append(trio.current_time())
        self.appended.set()
        self.appended = trio.Event()
        return len(self.records) - 1

    def restore(self, as_of_s: float) -> None:
        """Drop the records that were appended after a time."""
        kept = bisect.bisect_right(self.appended_s, as_of_s)
        del self.records[kept:], self.appended_s[kept:]
        self.first = min(self.first, kept)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState:
    """Holds the members and the generation of the group at a time."""

    changed_s: float
    members: frozenset[str]
    generation: int


def _encode_keyed(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


@dataclasses.dataclass(slots=True)
class HostedStore:
    """Holds the topics, the members of the group, and the faults to inject.

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
    refused : int
        Calls refused while it was down.
    timeline : int
        Number that all answers name and that each restore increases.
    group_states : list
        Each state of the group so far.
    read_from : dict
        The position from which each topic was last read.
    page_bytes : int
        Length of the records that a read returns at most, but for the first.
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
    refused: int = 0
    timeline: int = 1
    group_states: list[GroupState] = dataclasses.field(default_factory=list)
    read_from: dict[str, int] = dataclasses.field(default_factory=dict)
    page_bytes: int = 1024 * 1024

    def restore(self, age_s: float) -> None:
        """Go back to the state that was true ``age_s`` ago."""
        now_s = trio.current_time()
        self.timeline += 1
        for topic in self.topics.values():
            topic.restore(now_s - age_s)
        while self.group_states and (
            self.group_states[-1].changed_s > now_s - age_s
        ):
            self.group_states.pop()
        if not self.group_states:
            self.members, self.generation = {}, 0
            return
        copied = self.group_states[-1]
        self.generation = copied.generation
        until_s = max(self.members.values(), default=now_s)
        self.members = dict.fromkeys(copied.members, until_s)

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
        response = await self._answer(request)
        response.headers[TIMELINE] = str(self.timeline)
        return response

    async def _answer(self, request: asgi.Request) -> asgi.Response:
        if self.is_down:
            self.refused += 1
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
        self.read_from[request.query["topic"]] = start
        if not topic.first <= start <= len(topic.records):
            return asgi.answer_json({"first": topic.first}, 410)
        wait_s = float(request.query.get("wait_ms", "0")) / 1000
        with trio.move_on_after(wait_s):
            while start >= len(topic.records):
                await topic.appended.wait()
        if self.is_down:
            return asgi.Response(503)
        # The store may have been restored while the read waited.
        found = self._cut_page(topic.records[start:])
        body = OFFSET_BOUNDS.pack(len(topic.records), topic.first)
        body += b"".join(RECORD_LENGTH.pack(len(r)) + r for r in found)
        return asgi.Response(200, body, "application/octet-stream")

    def _cut_page(self, records: list[bytes]) -> list[bytes]:
        """Return the first records, as many as a read returns."""
        sizes = itertools.accumulate(map(len, records))
        fitting = sum(size <= self.page_bytes for size in sizes)
        return records[: max(1, fitting)]

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
        has_changed = expired or member not in self.members
        self.members[member] = now_s + call["ttl_ms"] / 1000
        if has_changed:
            self._note_group_change()
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
            self._note_group_change()
        return asgi.answer_json({})

    def _note_group_change(self) -> None:
        self.generation += 1
        state = GroupState(
            trio.current_time(), frozenset(self.members), self.generation
        )
        self.group_states.append(state)
