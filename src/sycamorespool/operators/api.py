"""Serves the HTTP API of an entry for operators."""

import collections
from collections import abc
import dataclasses
import hmac
import typing as t

import msgspec
import trio

from sycamorespool import asgi
from sycamorespool import entry_states
from sycamorespool import environment
from sycamorespool.keys import key_owners
from sycamorespool.keys import key_resolution
from sycamorespool.operators import explain
from sycamorespool.operators import patches
from sycamorespool import owner

PendingResponse: t.TypeAlias = abc.Awaitable[asgi.Response]
NOT_FOUND = asgi.Response(404, b'{"error": "not found"}')
WRONG_KEY = asgi.Response(401, b'{"error": "wrong operator key"}')


class GroupState(msgspec.Struct, frozen=True):
    """Holds one group; ``is_whole`` is None if its owner was not asked."""

    group: str
    service: str
    unit: str
    members: tuple[str, ...]
    is_whole: bool | None


def describe_status(
    env: environment.Environment, domain_owner: owner.Owner
) -> dict[str, object]:
    """Return the state, the records and the metrics of this entry."""
    state = entry_states.describe_entry(env, domain_owner, trio.current_time())
    return {
        **msgspec.to_builtins(state),
        "owners": {
            unit: record.entry for unit, record in env.fleet.owners.items()
        },
        "entries": sorted(env.entries()),
        "peers": dataclasses.asdict(env.transport.traffic),
        "metrics": env.metrics.describe(),
    }


def describe_groups(
    env: environment.Environment, wholeness: abc.Mapping[str, bool]
) -> list[GroupState]:
    """Return the groups, each with whether it is known to be whole."""
    return [
        GroupState(
            group.group_id,
            group.service,
            group.unit,
            group.members,
            wholeness.get(group.group_id),
        )
        for group in env.fleet.groups.values()
    ]


def count_vms(env: environment.Environment) -> dict[str, dict[str, object]]:
    """Return for each data centre whether it is in service and its VMs."""
    counts = collections.Counter(vm.data_centre for vm in env.vms.values())
    config = env.fleet.config
    return {
        name: {"in_service": config.is_in_service(name), "vms": counts[name]}
        for name in sorted(counts.keys() | config.data_centres.keys())
    }


class OperatorsApi:
    """Dispatches the requests of operators by method and path."""

    def __init__(
        self,
        env: environment.Environment,
        domain_owner: owner.Owner,
        key_owner: key_owners.KeyPartitionOwner,
    ) -> None:
        self._env = env
        self._domain_owner = domain_owner
        self._key_owner = key_owner
        self._routes: dict[
            tuple[str, str], abc.Callable[[asgi.Request], PendingResponse]
        ] = {
            ("POST", "/patch"): self._submit_patch,
            ("GET", "/patch"): self._look_up_patch,
            ("GET", "/status"): self._get_status,
            ("GET", "/entries"): self._ask_entries,
            ("GET", "/groups"): self._list_groups,
            ("GET", "/configuration"): self._get_configuration,
            ("GET", "/data_centres"): self._list_data_centres,
            ("GET", "/explain"): self._explain,
            ("GET", "/keys"): self._list_keys,
            ("POST", "/keys/settle"): self._resolve_key,
        }

    async def handle(self, request: asgi.Request) -> asgi.Response:
        """Check the operator key and answer one request."""
        key = request.headers.get("x-operator-key", "").encode()
        expected = self._env.settings.operators.key.encode()
        if not hmac.compare_digest(key, expected):
            return WRONG_KEY
        route = self._routes.get((request.method, request.path))
        return await route(request) if route else NOT_FOUND

    async def _submit_patch(self, request: asgi.Request) -> asgi.Response:
        return await patches.submit(self._env, request.body)

    async def _look_up_patch(self, request: asgi.Request) -> asgi.Response:
        patch_id = request.query.get("patch_id", "")
        return asgi.answer_json(patches.look_up(self._env, patch_id))

    async def _get_status(self, request: asgi.Request) -> asgi.Response:
        return asgi.answer_json(describe_status(self._env, self._domain_owner))

    async def _ask_entries(self, request: asgi.Request) -> asgi.Response:
        states_by_entry = await entry_states.collect_states(
            self._env, self._domain_owner
        )
        return asgi.answer_json(states_by_entry)

    async def _list_groups(self, request: asgi.Request) -> asgi.Response:
        """List the groups; with ``?fleet=1``, ask their owners as well."""
        now_s = trio.current_time()
        states = [
            entry_states.describe_entry(self._env, self._domain_owner, now_s)
        ]
        if request.query.get("fleet") == "1":
            states_by_entry = await entry_states.collect_states(
                self._env, self._domain_owner
            )
            states += [state for state in states_by_entry.values() if state]
        wholeness = {k: v for state in states for k, v in state.groups.items()}
        return asgi.answer_json(describe_groups(self._env, wholeness))

    async def _get_configuration(self, request: asgi.Request) -> asgi.Response:
        fleet = self._env.fleet
        return asgi.answer_json(
            {"version": fleet.version, "document": fleet.document}
        )

    async def _list_data_centres(self, request: asgi.Request) -> asgi.Response:
        return asgi.answer_json(count_vms(self._env))

    async def _explain(self, request: asgi.Request) -> asgi.Response:
        view = explain.EntryView(
            self._env, self._domain_owner, trio.current_time()
        )
        name = request.query.get("name", "")
        return asgi.answer_json(explain.explain(view, name))

    async def _list_keys(self, request: asgi.Request) -> asgi.Response:
        return await key_resolution.list_all(self._key_owner)

    async def _resolve_key(self, request: asgi.Request) -> asgi.Response:
        return await key_resolution.resolve(self._key_owner, request.body)


def make_app(
    env: environment.Environment,
    domain_owner: owner.Owner,
    key_owner: key_owners.KeyPartitionOwner,
) -> asgi.App:
    """Return the ASGI application that serves the operators' API."""
    return asgi.make_app(OperatorsApi(env, domain_owner, key_owner).handle)
