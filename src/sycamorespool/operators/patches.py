"""Appends operators' patches to the log and reports their verdicts."""

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import decoding
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import records

# Longest wait until the replay of the log has decided on a patch.
VERDICT_WAIT_S = 3.0


class PatchRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Holds a patch that an operator submits."""

    base_version: int
    patch: dict[str, object]
    patch_id: str = ""
    author: str = ""


class PatchAnswer(msgspec.Struct, omit_defaults=True):
    """Holds the outcome of a patch.

    Parameters
    ----------
    status : str
        ``accepted``, ``conflict``, ``invalid``, ``refused`` (the log did
        not accept it) or ``unknown`` (look up its id later).
    version : int
        Version of the configuration after the patch.
    """

    status: str
    patch_id: str
    detail: str = ""
    version: int = 0


def look_up(env: environment.Environment, patch_id: str) -> PatchAnswer:
    """Return the outcome of a patch as far as this entry knows it."""
    verdict = env.fleet.verdicts.get(patch_id)
    if verdict is None:
        return PatchAnswer("unknown", patch_id)
    return PatchAnswer(
        verdict.status, patch_id, verdict.detail, verdict.version
    )


async def submit(env: environment.Environment, body: bytes) -> asgi.Response:
    """Append a patch to the log and answer with its verdict."""
    try:
        request = decoding.decode_json(body, PatchRequest)
    except exceptions.Undecodable as error:
        return asgi.answer_json(PatchAnswer("invalid", "", str(error)))
    record = records.ConfigPatch(
        request.patch_id or environment.make_id(),
        request.base_version,
        request.patch,
        request.author,
    )
    # A client that lost the first answer may send its patch again.
    if record.record_id not in env.fleet.verdicts:
        try:
            await env.log.append(records.FLEET_STREAM, [record])
        except exceptions.PlatformUnavailable as error:
            answer = PatchAnswer("refused", record.record_id, str(error))
            return asgi.answer_json(answer)
        except exceptions.OutcomeLost:
            pass
    with trio.move_on_after(VERDICT_WAIT_S):
        while record.record_id not in env.fleet.verdicts:
            await env.fleet_changed.wait()
    return asgi.answer_json(look_up(env, record.record_id))
