"""Follows the log through other entries while it cannot be read.

This sends nothing in normal operation: an entry asks others only at its
start and while its last read of the log is too old.  The answers also show
whether this entry alone is cut off from the log.
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
from sycamorespool import decoding
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import fleet
from sycamorespool import leases
from sycamorespool import logs
from sycamorespool import models
from sycamorespool import records

CHECK_PERIOD_S = 0.4
# Age of the last read of the log from which peers are asked.
ASK_AT_LOG_AGE_S = 1.2
ASK_TIMEOUT_S = 0.35
# Peers that are asked in each period.
PEERS_ASKED = 3
# Calls and answers that are older say nothing of the present.
ANSWER_MAX_AGE_S = 2.0
# Least number of entries presumed while the membership list lacks this one.
UNLISTED_MIN_ENTRIES = 2
# Two limits that keep a reply well under the greatest frame.
MAX_RECORDS_BYTES = 128 * 1024
PART_BYTES = 128 * 1024
# Greatest size of a snapshot after decompression.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024

log = logs.make_logger("peer log")
_decoder = msgspec.msgpack.Decoder(records.LogEntry)


@dataclasses.dataclass(slots=True)
class PeerLog:
    """Holds what other entries have told this one of the log.

    Parameters
    ----------
    env : environment.Environment
        The environment of this process.
    state : membership.Membership
        What is known of the other entries.
    rng : random.Random
        Chooses among peers that were asked equally long ago.
    last_calls : dict
        When each peer was last called, and whether it answered.
    followed_s : float
        Start of the newest read of the log, by any entry, whose records
        are known to be applied here.
    newest : int
        Greatest offset of the log that a peer has reported.
    missing_since_s : float
        Since when records up to that offset have been missing here, or
        infinite if none are.
    packed_state : tuple
        Offset and parts of the snapshot that was last made for a peer.
    """

    env: environment.Environment
    state: membership.Membership
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    last_calls: dict[str, tuple[float, bool]] = dataclasses.field(
        default_factory=dict
    )
    followed_s: float = -math.inf
    newest: int = -1
    missing_since_s: float = math.inf
    packed_state: tuple[int, list[bytes]] = (-1, [])


def _list_peers(peer_log: PeerLog) -> dict[str, models.Vm]:
    """Return the other entries whose region is this one or unknown."""
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


def _make_signals(peer_log: PeerLog, now_s: float) -> isolation.Signals:
    peers = _list_peers(peer_log)
    recent = [
        answered
        for name, (asked_s, answered) in peer_log.last_calls.items()
        if name in peers and now_s - asked_s < ANSWER_MAX_AGE_S
    ]
    # If the membership list lacks this entry, it may lack others as well.
    is_unlisted = peer_log.env.name not in peer_log.env.entries()
    return isolation.Signals(
        now_s - peer_log.env.log_read_s,
        now_s - peer_log.followed_s,
        max(len(peers) + 1, UNLISTED_MIN_ENTRIES if is_unlisted else 1),
        len(recent),
        sum(recent),
        max(0.0, now_s - peer_log.missing_since_s),
    )


def _update_newest(peer_log: PeerLog, newest: int) -> None:
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
        peer_log.last_calls[peer.vm] = (asked_s, False)
        return None
    peer_log.last_calls[peer.vm] = (asked_s, True)
    return reply


async def _fetch_records(peer_log: PeerLog, peer: models.Vm) -> bool:
    """Fetch newer records from a peer; return whether it may have more."""
    env = peer_log.env
    asked_s = trio.current_time()
    request = messages.RecordsRequest(env.fleet.offset)
    reply = await _call(peer_log, peer, request)
    if not isinstance(reply, messages.RecordsReply):
        return False
    _update_newest(peer_log, reply.newest)
    if reply.is_too_old:
        await _fetch_snapshot(peer_log, peer)
        return False
    if request.after <= env.fleet.offset:
        entries = tuple(_decoder.decode(data) for data in reply.entries)
        fleet.apply_entries(env, entries)
        leases.follow(env)
    _update_newest(peer_log, reply.newest)
    is_caught_up = env.fleet.offset >= reply.newest
    if is_caught_up:
        read_s = asked_s - reply.unread_s
        peer_log.followed_s = max(peer_log.followed_s, read_s)
    return not is_caught_up and bool(reply.entries)


async def _fetch_snapshot(peer_log: PeerLog, peer: models.Vm) -> None:
    """Fetch a peer's whole state and use it if it is newer."""
    env = peer_log.env
    parts: list[bytes] = []
    as_of, count = -1, 1
    while len(parts) < count:
        request = messages.SnapshotRequest(as_of, len(parts))
        reply = await _call(peer_log, peer, request)
        if not isinstance(reply, messages.SnapshotReply):
            return
        as_of, count = reply.as_of, reply.count
        parts.append(reply.data)
    try:
        received = snapshots.from_snapshot(_unpack_snapshot(b"".join(parts)))
    except (exceptions.SnapshotInvalid, exceptions.Undecodable, zlib.error):
        log.warning("could not decode the state of a peer", entry=peer.vm)
        return
    newer = snapshots.choose_newer(env.fleet, received)
    if newer is received:
        fleet.replace_state(env, received)
        leases.follow(env)
        log.info(
            "state replaced by that of a peer", entry=peer.vm, offset=as_of
        )


def _pack_snapshot(peer_log: PeerLog) -> tuple[int, list[bytes]]:
    state = peer_log.env.fleet
    if peer_log.packed_state[0] != state.offset:
        unpacked = msgspec.msgpack.encode(snapshots.to_snapshot(state))
        data = zlib.compress(unpacked, 1)
        cuts = range(0, len(data), PART_BYTES)
        parts = [data[cut : cut + PART_BYTES] for cut in cuts]
        peer_log.packed_state = (state.offset, parts)
    return peer_log.packed_state


def _unpack_snapshot(data: bytes) -> dict[str, t.Any]:
    unpacked = zlib.decompressobj().decompress(data, MAX_UNPACKED_BYTES)
    return decoding.decode_msgpack(unpacked, dict[str, t.Any])


async def _follow_peer(peer_log: PeerLog, peer: models.Vm) -> None:
    while await _fetch_records(peer_log, peer):
        pass


async def ask_peers(peer_log: PeerLog) -> None:
    """Fetch records from a few peers, those asked longest ago first."""
    peers = list(_list_peers(peer_log).values())
    peer_log.rng.shuffle(peers)
    peers.sort(
        key=lambda vm: peer_log.last_calls.get(vm.vm, (-math.inf, False))[0]
    )
    async with trio.open_nursery() as nursery:
        for peer in peers[:PEERS_ASKED]:
            nursery.start_soon(_follow_peer, peer_log, peer)


async def run(peer_log: PeerLog) -> None:
    """Follow peers while the log cannot be read, and set the mode."""
    env = peer_log.env
    while True:
        if trio.current_time() - env.log_read_s >= ASK_AT_LOG_AGE_S:
            await ask_peers(peer_log)
        signals = _make_signals(peer_log, trio.current_time())
        fleet.set_mode(env, isolation.decide(signals))
        await trio.sleep(CHECK_PERIOD_S)


def _list_recent_after(
    env: environment.Environment, after: int
) -> list[records.LogEntry] | None:
    """Return the recent records after an offset.

    Return None if some of them are not kept any more.
    """
    if after >= env.fleet.offset:
        return []
    if not env.recent or after + 1 < env.recent[0].offset:
        return None
    return [entry for entry in env.recent if entry.offset > after]


def _encode_first(entries: list[records.LogEntry]) -> tuple[bytes, ...]:
    encoded: list[bytes] = []
    size_bytes = 0
    for entry in entries:
        data = msgspec.msgpack.encode(entry)
        size_bytes += len(data)
        if encoded and size_bytes > MAX_RECORDS_BYTES:
            break
        encoded.append(data)
    return tuple(encoded)


def make_handlers(peer_log: PeerLog) -> dict[type, t.Any]:
    """Return the handlers of requests for records and snapshots."""
    env = peer_log.env

    async def send_records(
        message: messages.RecordsRequest,
    ) -> messages.Message:
        entries = _list_recent_after(env, message.after)
        unread_s = trio.current_time() - env.log_read_s
        if entries is None:
            return messages.RecordsReply(env.fleet.offset, unread_s, True)
        return messages.RecordsReply(
            env.fleet.offset, unread_s, False, _encode_first(entries)
        )

    async def send_snapshot(
        message: messages.SnapshotRequest,
    ) -> messages.Message:
        as_of, parts = peer_log.packed_state
        if message.part == 0:
            as_of, parts = _pack_snapshot(peer_log)
        elif as_of != message.as_of or message.part >= len(parts):
            return messages.Refused(
                "the snapshot has been replaced by another"
            )
        data = parts[message.part]
        return messages.SnapshotReply(as_of, len(parts), data)

    return {
        messages.RecordsRequest: send_records,
        messages.SnapshotRequest: send_snapshot,
    }
