"""Follows the log through other entries while it cannot be read.

In the steady state this costs nothing: an entry asks only while its last
read of the log is too old, and on its start.  The answers are also the
evidence of whether the entry alone is cut off.
"""

import dataclasses
import math
import random
import typing as t
import zlib

import msgspec
import trio

from sycamorespool.decisions import isolation
from sycamorespool.decisions import membership
from sycamorespool.decisions import snapshots
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import fleet
from sycamorespool import leases
from sycamorespool import logs
from sycamorespool import models
from sycamorespool import records

PERIOD_S = 0.4
ASK_AFTER_S = 1.2
ASK_TIMEOUT_S = 0.35
PEERS_ASKED = 3
EVIDENCE_S = 2.0
UNLISTED_SIZE = 2
MAX_PASSED_BYTES = 128 * 1024
PART_BYTES = 128 * 1024
MAX_STATE_BYTES = 64 * 1024 * 1024

log = logs.make_logger("peer log")
_decoder = msgspec.msgpack.Decoder(records.LogEntry)


@dataclasses.dataclass(slots=True)
class PeerLog:
    """What was learnt of the log from other entries.

    Parameters
    ----------
    asked : dict
        When a peer was last asked, and whether it answered.
    followed_s : float
        Begin of the newest read of the log that is known to be included.
    newest : int
        Greatest offset that a peer was seen to hold.
    missing_since_s : float
        Since when it has not been obtained.
    packed : tuple
        Offset and parts of the state that was last packed for a peer.
    """

    env: environment.Environment
    state: membership.Membership
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    asked: dict[str, tuple[float, bool]] = dataclasses.field(
        default_factory=dict
    )
    followed_s: float = -math.inf
    newest: int = -1
    missing_since_s: float = math.inf
    packed: tuple[int, list[bytes]] = (-1, [])


def _list_peers(peer_log: PeerLog) -> dict[str, models.Vm]:
    """Return the other entries of this region, as far as it is known."""
    env, state = peer_log.env, peer_log.state
    return {
        name: vm
        for name, vm in env.entries().items()
        if name != env.name
        and (
            name not in state.members
            or state.members[name].update.region in ("", state.own.region)
        )
    }


def _tell_signals(peer_log: PeerLog, now_s: float) -> isolation.Signals:
    peers = _list_peers(peer_log)
    lately = [
        answered
        for name, (asked_s, answered) in peer_log.asked.items()
        if name in peers and now_s - asked_s < EVIDENCE_S
    ]
    # An entry that the list lacks doesn't know how many others there are.
    is_unlisted = peer_log.env.name not in peer_log.env.entries()
    return isolation.Signals(
        now_s - peer_log.env.log_read_s,
        now_s - peer_log.followed_s,
        max(len(peers) + 1, UNLISTED_SIZE if is_unlisted else 1),
        len(lately),
        sum(lately),
        max(0.0, now_s - peer_log.missing_since_s),
    )


def _note_newest(peer_log: PeerLog, newest: int) -> None:
    peer_log.newest = max(peer_log.newest, newest)
    if peer_log.env.fleet.offset >= peer_log.newest:
        peer_log.missing_since_s = math.inf
    elif math.isinf(peer_log.missing_since_s):
        peer_log.missing_since_s = trio.current_time()


async def _call(
    peer_log: PeerLog, peer: models.Vm, message: messages.Message
) -> messages.Message | None:
    asked_s = trio.current_time()
    try:
        reply = await peer_log.env.transport.call(
            peer.address, message, ASK_TIMEOUT_S
        )
    except exceptions.PeerError:
        peer_log.asked[peer.vm] = (asked_s, False)
        return None
    peer_log.asked[peer.vm] = (asked_s, True)
    return reply


async def _fetch_records(peer_log: PeerLog, peer: models.Vm) -> bool:
    """Ask a peer for newer records; return whether it may have more."""
    env = peer_log.env
    asked_s = trio.current_time()
    wanted = messages.RecordsWanted(env.fleet.offset)
    reply = await _call(peer_log, peer, wanted)
    if not isinstance(reply, messages.RecordsGiven):
        return False
    _note_newest(peer_log, reply.newest)
    if reply.is_too_old:
        await _fetch_state(peer_log, peer)
        return False
    if wanted.after <= env.fleet.offset:
        entries = tuple(_decoder.decode(data) for data in reply.entries)
        fleet.take_entries(env, entries)
        leases.follow(env)
    _note_newest(peer_log, reply.newest)
    is_level = env.fleet.offset >= reply.newest
    if is_level:
        read_s = asked_s - reply.unread_s
        peer_log.followed_s = max(peer_log.followed_s, read_s)
    return not is_level and bool(reply.entries)


async def _fetch_state(peer_log: PeerLog, peer: models.Vm) -> None:
    """Take a peer's whole state, if it is newer than the own one."""
    env = peer_log.env
    parts: list[bytes] = []
    as_of, count = -1, 1
    while len(parts) < count:
        wanted = messages.SnapshotWanted(as_of, len(parts))
        reply = await _call(peer_log, peer, wanted)
        if not isinstance(reply, messages.SnapshotGiven):
            return
        as_of, count = reply.as_of, reply.count
        parts.append(reply.data)
    try:
        found = snapshots.from_snapshot(_unpack(b"".join(parts)))
    except (exceptions.SnapshotInvalid, msgspec.DecodeError, zlib.error):
        log.warning("state of a peer is not usable", entry=peer.vm)
        return
    newer = snapshots.choose_newer(env.fleet, found)
    if newer is found:
        fleet.replace_state(env, found)
        leases.follow(env)
        log.info("took the state of a peer", entry=peer.vm, offset=as_of)


def _pack(peer_log: PeerLog) -> tuple[int, list[bytes]]:
    state = peer_log.env.fleet
    if peer_log.packed[0] != state.offset:
        plain = msgspec.msgpack.encode(snapshots.to_snapshot(state))
        data = zlib.compress(plain, 1)
        cuts = range(0, len(data), PART_BYTES)
        parts = [data[cut : cut + PART_BYTES] for cut in cuts]
        peer_log.packed = (state.offset, parts)
    return peer_log.packed


def _unpack(data: bytes) -> dict[str, t.Any]:
    plain = zlib.decompressobj().decompress(data, MAX_STATE_BYTES)
    return msgspec.msgpack.decode(plain, type=dict[str, t.Any])


async def _follow_peer(peer_log: PeerLog, peer: models.Vm) -> None:
    while await _fetch_records(peer_log, peer):
        pass


async def ask_peers(peer_log: PeerLog) -> None:
    """Ask a few peers, those asked longest ago first."""
    peers = list(_list_peers(peer_log).values())
    peer_log.rng.shuffle(peers)
    peers.sort(key=lambda vm: peer_log.asked.get(vm.vm, (-math.inf, False))[0])
    async with trio.open_nursery() as nursery:
        for peer in peers[:PEERS_ASKED]:
            nursery.start_soon(_follow_peer, peer_log, peer)


async def run(peer_log: PeerLog) -> None:
    """Ask peers while the log is not read, and set the mode, for ever."""
    env = peer_log.env
    while True:
        if trio.current_time() - env.log_read_s >= ASK_AFTER_S:
            await ask_peers(peer_log)
        signals = _tell_signals(peer_log, trio.current_time())
        fleet.set_mode(env, isolation.decide(signals))
        await trio.sleep(PERIOD_S)


def _list_after(
    env: environment.Environment, after: int
) -> list[records.LogEntry] | None:
    """Return the kept records after an offset, or None if some are not."""
    if after >= env.fleet.offset:
        return []
    if not env.recent or after + 1 < env.recent[0].offset:
        return None
    return [entry for entry in env.recent if entry.offset > after]


def _encode_some(entries: list[records.LogEntry]) -> tuple[bytes, ...]:
    found: list[bytes] = []
    size_bytes = 0
    for entry in entries:
        data = msgspec.msgpack.encode(entry)
        size_bytes += len(data)
        if found and size_bytes > MAX_PASSED_BYTES:
            break
        found.append(data)
    return tuple(found)


def make_handlers(peer_log: PeerLog) -> dict[type, t.Any]:
    """Return the handlers of the messages of this module."""
    env = peer_log.env

    async def give_records(
        message: messages.RecordsWanted,
    ) -> messages.Message:
        entries = _list_after(env, message.after)
        unread_s = trio.current_time() - env.log_read_s
        if entries is None:
            return messages.RecordsGiven(env.fleet.offset, unread_s, True)
        return messages.RecordsGiven(
            env.fleet.offset, unread_s, False, _encode_some(entries)
        )

    async def give_snapshot(
        message: messages.SnapshotWanted,
    ) -> messages.Message:
        as_of, parts = peer_log.packed
        if message.part == 0:
            as_of, parts = _pack(peer_log)
        elif as_of != message.as_of or message.part >= len(parts):
            return messages.Refused("the state has changed")
        data = parts[message.part]
        return messages.SnapshotGiven(as_of, len(parts), data)

    return {
        messages.RecordsWanted: give_records,
        messages.SnapshotWanted: give_snapshot,
    }
