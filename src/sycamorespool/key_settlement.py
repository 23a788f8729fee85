"""Keys without outcome: operators list them and settle them."""

import time
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool.decisions import key_attempts
from sycamorespool.decisions import keys
from sycamorespool.entries import messages
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import key_keeper
from sycamorespool import models
from sycamorespool import records

MAX_LISTED = 500
CALL_TIMEOUT_S = 2.0


class Settlement(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's decision on one key."""

    workspace: str
    key: str
    attempt_id: str
    resolution: t.Literal["ran", "not_run"]
    operator: str = ""


def list_here(keeper: key_keeper.KeyKeeper) -> list[models.OpenKey]:
    """Return the open keys of the partitions that this entry keeps."""
    now_unix_s = time.time()
    found = [
        models.OpenKey(
            workspace,
            key,
            state.attempt_id,
            state.entry,
            max(0.0, now_unix_s - state.changed_unix_s),
        )
        for partition in keeper.partitions.values()
        if partition.state is not None and keeper.keeps(partition)
        for workspace, key, state in keys.list_open(partition.state)
    ]
    return sorted(found, key=lambda row: -row.age_s)[:MAX_LISTED]


def make_handlers(keeper: key_keeper.KeyKeeper) -> dict[type, t.Any]:
    """Return the handler of the other entries' question."""

    async def tell(message: messages.OpenKeysWanted) -> messages.Message:
        return messages.OpenKeysGiven(tuple(list_here(keeper)))

    return {messages.OpenKeysWanted: tell}


async def _ask(
    env: environment.Environment,
    name: str,
    address: str,
    found: dict[str, list[models.OpenKey] | None],
) -> None:
    try:
        reply = await env.transport.call(
            address, messages.OpenKeysWanted(env.name), CALL_TIMEOUT_S
        )
    except exceptions.PeerError:
        return
    if isinstance(reply, messages.OpenKeysGiven):
        found[name] = list(reply.keys)


async def list_all(keeper: key_keeper.KeyKeeper) -> asgi.Response:
    """Answer with the open keys of the fleet, the oldest first.

    ``silent`` names entries that did not answer, whose keys are missing.
    """
    env = keeper.env
    found: dict[str, list[models.OpenKey] | None] = dict.fromkeys(
        env.entries()
    )
    async with trio.open_nursery() as nursery:
        for name, vm in env.entries().items():
            if name != env.name:
                nursery.start_soon(_ask, env, name, vm.address, found)
    found[env.name] = list_here(keeper)
    rows = [row for part in found.values() if part for row in part]
    rows.sort(key=lambda row: -row.age_s)
    silent = sorted(name for name, part in found.items() if part is None)
    return asgi.answer_json({"keys": rows, "silent": silent})


def _refuse(status: str, detail: str) -> asgi.Response:
    return asgi.answer_json({"status": status, "detail": detail})


async def settle(keeper: key_keeper.KeyKeeper, body: bytes) -> asgi.Response:
    """Append an operator's decision, and answer with what it led to.

    A key is settled only when it is older than any attempt that may still
    send, so that a settlement as not run stays true.
    """
    try:
        wanted = msgspec.json.decode(body, type=Settlement)
    except msgspec.DecodeError as error:
        return _refuse("invalid", str(error))
    partition = keeper.find(wanted.workspace, wanted.key)
    name = (wanted.workspace, wanted.key)
    record = records.KeySettled(environment.make_id(), **_get_fields(wanted))
    try:
        await key_keeper.follow(keeper, partition)
        fault = _find_fault(keeper, partition.state, wanted)
        if fault:
            return _refuse("conflict", fault)
        await keeper.env.log.append(partition.stream, [record])
        await key_keeper.follow(keeper, partition)
    except exceptions.PlatformUnavailable as error:
        return _refuse("refused", str(error))
    except exceptions.PlatformError as error:
        return _refuse("unknown", str(error))
    state = partition.state or keys.PartitionState()
    phase = state.keys[name].phase.value
    return _refuse("accepted" if phase == wanted.resolution else phase, "")


def _get_fields(wanted: Settlement) -> dict[str, t.Any]:
    return {name: getattr(wanted, name) for name in wanted.__struct_fields__}


def _find_fault(
    keeper: key_keeper.KeyKeeper,
    state: keys.PartitionState | None,
    wanted: Settlement,
) -> str:
    name = (wanted.workspace, wanted.key)
    key = keys.find(state, name, keeper.window_s) if state else None
    if key is None or key.phase is not keys.Phase.OPEN:
        return "the key is not open"
    if key.attempt_id != wanted.attempt_id:
        return f"the open attempt is {key.attempt_id}"
    age_s = time.time() - key.changed_unix_s
    if age_s <= key_attempts.SEND_WITHIN_S + key_attempts.CLOCK_TOLERANCE_S:
        return f"the attempt may still send; it is {age_s:.0f} s old"
    return ""
