"""Lets operators list and resolve keys that have no outcome."""

import time
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import keys
from sycamorespool import decoding
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool.keys import key_owners
from sycamorespool import models
from sycamorespool import records

# Number of open keys that one entry lists, the oldest first.
MAX_LISTED = 500
PEER_TIMEOUT_S = 2.0


class KeyResolution(msgspec.Struct, forbid_unknown_fields=True):
    """Holds an operator's request to resolve one key."""

    workspace: str
    key: str
    attempt_id: str
    resolution: t.Literal["ran", "not_run"]
    operator: str = ""


def list_local(owner: key_owners.KeyPartitionOwner) -> list[models.OpenKey]:
    """Return the open keys of the partitions that this entry owns."""
    now_unix_s = time.time()
    found = [
        models.OpenKey(
            workspace,
            key,
            state.attempt_id,
            state.entry,
            max(0.0, now_unix_s - state.changed_unix_s),
        )
        for partition in owner.partitions.values()
        if partition.state is not None and owner.owns(partition)
        for workspace, key, state in keys.list_open(partition.state)
    ]
    return sorted(found, key=lambda row: -row.age_s)[:MAX_LISTED]


def make_handlers(owner: key_owners.KeyPartitionOwner) -> dict[type, t.Any]:
    """Return the handler of other entries' requests for open keys."""

    async def list_open_keys(
        message: messages.OpenKeysRequest,
    ) -> messages.Message:
        return messages.OpenKeysReply(tuple(list_local(owner)))

    return {messages.OpenKeysRequest: list_open_keys}


async def _request_open_keys(
    env: environment.Environment,
    name: str,
    address: str,
    found: dict[str, list[models.OpenKey] | None],
) -> None:
    try:
        reply = await env.transport.call(
            address, messages.OpenKeysRequest(env.name), PEER_TIMEOUT_S
        )
    except exceptions.PeerError:
        return
    if isinstance(reply, messages.OpenKeysReply):
        found[name] = list(reply.keys)


async def list_all(owner: key_owners.KeyPartitionOwner) -> asgi.Response:
    """Return a response with the open keys of the fleet, oldest first.

    ``silent`` in the response names the entries that did not answer; their
    keys are missing from it.
    """
    env = owner.env
    found: dict[str, list[models.OpenKey] | None] = dict.fromkeys(
        env.entries()
    )
    async with trio.open_nursery() as nursery:
        for name, vm in env.entries().items():
            if name != env.name:
                nursery.start_soon(
                    _request_open_keys, env, name, vm.address, found
                )
    found[env.name] = list_local(owner)
    rows = [
        row
        for rows_of_entry in found.values()
        if rows_of_entry
        for row in rows_of_entry
    ]
    rows.sort(key=lambda row: -row.age_s)
    silent = sorted(
        name for name, rows_of_entry in found.items() if rows_of_entry is None
    )
    return asgi.answer_json({"keys": rows, "silent": silent})


def _make_answer(status: str, detail: str) -> asgi.Response:
    return asgi.answer_json({"status": status, "detail": detail})


async def resolve(
    owner: key_owners.KeyPartitionOwner, body: bytes
) -> asgi.Response:
    """Append an operator's resolution, and return a response on the result.

    A key is resolved only when it is older than any attempt that may still
    send, so that a resolution as not run stays true.
    """
    try:
        requested = decoding.decode_json(body, KeyResolution)
    except exceptions.Undecodable as error:
        return _make_answer("invalid", str(error))
    partition = owner.find(requested.workspace, requested.key)
    name = (requested.workspace, requested.key)
    record = records.KeyResolved(
        environment.make_id(), **_get_fields(requested)
    )
    try:
        await key_owners.catch_up(owner, partition)
        conflict = _find_conflict(owner, partition.state, requested)
        if conflict:
            return _make_answer("conflict", conflict)
        await owner.env.log.append(partition.stream, [record])
        await key_owners.catch_up(owner, partition)
    except exceptions.PlatformUnavailable as error:
        return _make_answer("refused", str(error))
    except exceptions.PlatformError as error:
        return _make_answer("unknown", str(error))
    state = partition.state or keys.PartitionState()
    phase = state.keys[name].phase.value
    return _make_answer(
        "accepted" if phase == requested.resolution else phase, ""
    )


def _get_fields(requested: KeyResolution) -> dict[str, t.Any]:
    return {
        name: getattr(requested, name) for name in requested.__struct_fields__
    }


def _find_conflict(
    owner: key_owners.KeyPartitionOwner,
    state: keys.PartitionState | None,
    requested: KeyResolution,
) -> str:
    name = (requested.workspace, requested.key)
    key = keys.find(state, name, owner.window_s) if state else None
    if key is None or key.phase is not keys.Phase.OPEN:
        return "the key is not open"
    if key.attempt_id != requested.attempt_id:
        return f"the open attempt is {key.attempt_id}"
    age_s = time.time() - key.changed_unix_s
    if age_s <= key_attempts.SEND_WITHIN_S + key_attempts.CLOCK_TOLERANCE_S:
        return f"the attempt may still send; it is {age_s:.0f} s old"
    return ""
