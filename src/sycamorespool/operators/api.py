"""The operators' API of an entry."""

import hmac

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import owner
from sycamorespool import records

VERDICT_WAIT_S = 3.0


class PatchRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A patch that an operator submits."""

    base_version: int
    patch: dict[str, object]
    patch_id: str = ""
    author: str = ""


async def submit_patch(
    env: environment.Environment, body: bytes
) -> asgi.Response:
    """Append a patch and answer with what replay decides about it."""
    try:
        wanted = msgspec.json.decode(body, type=PatchRequest)
    except msgspec.DecodeError as error:
        return asgi.answer_json({"status": "invalid", "detail": str(error)})
    record = records.ConfigPatch(
        wanted.patch_id or environment.make_id(),
        wanted.base_version,
        wanted.patch,
        wanted.author,
    )
    try:
        await env.log.append(records.FLEET_STREAM, [record])
    except exceptions.PlatformUnavailable as error:
        return asgi.answer_json({"status": "refused", "detail": str(error)})
    except exceptions.OutcomeLost:
        pass
    with trio.move_on_after(VERDICT_WAIT_S):
        while record.record_id not in env.fleet.verdicts:
            await env.fleet_changed.wait()
    verdict = env.fleet.verdicts.get(record.record_id)
    if verdict is None:
        return asgi.answer_json(
            {"status": "unknown", "patch_id": record.record_id}
        )
    return asgi.answer_json(
        {
            "status": verdict.status,
            "detail": verdict.detail,
            "version": verdict.version,
            "patch_id": record.record_id,
        }
    )


def describe_status(env: environment.Environment) -> dict[str, object]:
    """Return the state of this entry."""
    return {
        "entry": env.name,
        "is_ready": env.is_ready,
        "version": env.fleet.version,
        "offset": env.fleet.offset,
        "requests_open": env.requests_open,
        "owners": {
            unit: record.entry for unit, record in env.fleet.owners.items()
        },
        "entries": sorted(env.entries()),
        "metrics": env.metrics.describe(),
    }


def describe_groups(
    env: environment.Environment, own: owner.Owner
) -> list[dict[str, object]]:
    """Return the groups, with what this entry knows of their state."""
    now_s = trio.current_time()
    return [
        {
            "group": group.group_id,
            "service": group.service,
            "unit": group.unit,
            "members": group.members,
            "is_whole": own.is_whole(group.group_id, now_s)
            if own.owns(group.unit)
            else None,
        }
        for group in env.fleet.groups.values()
    ]


def make_app(env: environment.Environment, own: owner.Owner) -> asgi.App:
    """Make the ASGI application towards operators."""

    async def handle(request: asgi.Request) -> asgi.Response:
        key = request.headers.get("x-operator-key", "")
        if not hmac.compare_digest(
            key.encode(), env.settings.operators.key.encode()
        ):
            return asgi.answer_json({"error": "wrong operator key"}, 401)
        match request.method, request.path:
            case "POST", "/patch":
                return await submit_patch(env, request.body)
            case "GET", "/status":
                return asgi.answer_json(describe_status(env))
            case "GET", "/groups":
                return asgi.answer_json(describe_groups(env, own))
            case "GET", "/configuration":
                return asgi.answer_json(
                    {
                        "version": env.fleet.version,
                        "document": env.fleet.document,
                    }
                )
        return asgi.answer_json({"error": "not found"}, 404)

    return asgi.make_app(handle)
