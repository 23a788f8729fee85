"""Decodes a hosted platform's configuration, registry and reports.

This module translates only and decides nothing.  The names of the platform's
fields are used here and nowhere else; those that mislead have a comment.
"""

from collections import abc
import re
import typing as t

import msgspec

from sycamorespool import backends
from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import routing_table
from sycamorespool import sockets

CONFIG_TOPIC = "keyed.op"
REGISTRY_TOPIC = "keyed.servers"
CLAIM_TOPIC = "keyed.claims"
ENTRIES_TOPIC = "keyed.entries"
SERVER_ENDS_TOPIC = "keyed.server-ends"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

REQUEST_KINDS = {
    "idempotent": routing_table.RequestKind.IDEMPOTENT,
    "non_idempotent": routing_table.RequestKind.NON_IDEMPOTENT,
    "streaming": routing_table.RequestKind.STREAM,
}


# A server is cold for seconds; more than an hour is no valid time.
_ColdMs = t.Annotated[float, msgspec.Meta(ge=-3.6e6, le=3.6e6)]
# Ids are sent in headers and stand in the keys of records.
_ID = re.compile(r"[!-~]{1,128}")


class _Split(msgspec.Struct):
    service: str
    weight: decoding.Amount


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: decoding.Amount
    # The objective for the answer or, of a stream, for its first event.
    slo_ms: decoding.Amount = 0.0
    gap_aim_ms: decoding.Amount = 0.0
    priority: decoding.Integer = 0
    # Servers at which one request may run, not consecutive attempts.
    max_attempts: decoding.Count = 1
    public: bool = False
    resumable: bool = False
    service: str = ""
    split: tuple[_Split, ...] = ()
    allowed_regions: tuple[str, ...] = ()


class _Model(msgspec.Struct):
    name: str
    size: decoding.Count
    pace: decoding.Amount = 1.0
    share: decoding.Amount = 0.0
    load_s: decoding.Amount = 0.0
    warm_s: decoding.Amount = 0.0


class _Usual(msgspec.Struct, frozen=True):
    prompt: decoding.Amount = 0.0
    answer: decoding.Amount = 0.0


class _Engine(msgspec.Struct):
    slots: decoding.Count
    models: tuple[_Model, ...] = ()
    loads_per_s: decoding.Amount = 0.0
    form_ms: decoding.Amount = 0.0
    step_ms: decoding.Amount = 0.0
    per_seq_ms: decoding.Amount = 0.0
    read_per_s: decoding.Amount = 0.0
    # Per million pairs of a token and an earlier one.
    pairs_per_m: decoding.Amount = 0.0
    chunk: decoding.Amount = 0.0
    stride: decoding.Amount = 1.0
    usual: _Usual = _Usual()


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    cold_s: decoding.Amount = 0.0
    cold_per_s: decoding.Amount = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: decoding.Integer | None = None
    allowed_regions: tuple[str, ...] = ()


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: decoding.Count = 0
    max_body_bytes: decoding.Count = 0
    header_timeout_ms: decoding.Amount = 0.0


class _Config(msgspec.Struct):
    version: decoding.Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    tenants: tuple[_Tenant, ...] | None = None
    limits: _Limits = _Limits()


class _Member(msgspec.Struct):
    # Absent or empty if the server belongs to no group.
    name: str
    epoch: decoding.Count
    rank: decoding.Count
    state: t.Literal["joining", "ready", "open", "closing", "broken"]


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: t.Literal["ready", "draining"]
    slots: decoding.Count = 1
    cold_left_ms: _ColdMs = 0.0
    # A count of heartbeats here, but of orders in a report.
    sequence: decoding.Steps = 0
    domain: str | decoding.Integer | None = None
    staged: tuple[str, ...] = ()
    group: _Member | None = None
    born: decoding.UnixMs = 0


class _Report(msgspec.Struct):
    sequence: decoding.Steps = 0
    busy: bool = False
    queued: decoding.Count = 0
    running: decoding.Count = 0
    pace: decoding.Amount = 1.0
    staged: tuple[str, ...] = ()
    group: _Member | None = None
    born: decoding.UnixMs = 0


def _decode_route(route: _Route) -> routing_table.Route:
    targets = tuple((s.service, s.weight) for s in route.split)
    return routing_table.Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=REQUEST_KINDS[route.kind],
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.slo_ms / 1000,
        gap_objective_s=route.gap_aim_ms / 1000,
        priority=route.priority,
        max_runs=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        targets=targets or ((route.service, 1.0),),
        regions=frozenset(route.allowed_regions),
    )


def _decode_times(engine: _Engine) -> routing_table.EngineTimes | None:
    """Return the times of an engine, None if they are not published."""
    if not (engine.step_ms and engine.read_per_s and engine.chunk):
        return None
    return routing_table.EngineTimes(
        engine.step_ms / 1000,
        engine.per_seq_ms / 1000,
        engine.read_per_s,
        engine.pairs_per_m / 1e9,
        max(1, int(engine.chunk)),
        max(1, int(engine.stride)),
        max(1, int(engine.usual.prompt)),
        max(1, int(engine.usual.answer)),
    )


def _decode_service(service: _Service) -> routing_table.Service:
    engine = service.engine
    return routing_table.Service(
        service.name,
        service.cold_s,
        service.cold_per_s,
        engine
        and routing_table.Engine(
            engine.slots,
            tuple(
                routing_table.Model(
                    m.name, m.size, m.pace, m.share, m.load_s, m.warm_s
                )
                for m in engine.models
            ),
            engine.loads_per_s,
            engine.form_ms / 1000,
            _decode_times(engine),
        ),
        service.health_path,
    )


def decode_config(value: bytes) -> routing_table.RoutingTable:
    """Decode the operators' configuration.

    Raises
    ------
    ConfigurationError
        If the value is no valid configuration.
    """
    try:
        config = decoding.decode_json(value, _Config)
        routes = [_decode_route(route) for route in config.routes]
    except (exceptions.Undecodable, KeyError) as error:
        raise exceptions.ConfigurationError(str(error)) from error
    by_host: dict[str, list[routing_table.Route]] = {}
    for route in sorted(routes, key=lambda r: -len(r.prefix)):
        by_host.setdefault(route.host, []).append(route)
    tenants = config.tenants
    return routing_table.RoutingTable(
        config.version,
        {host: tuple(found) for host, found in by_host.items()},
        {s.name: _decode_service(s) for s in config.services},
        {
            key: routing_table.Workspace(
                tenant.name,
                tenant.priority,
                frozenset(tenant.allowed_regions),
            )
            for tenant in tenants or ()
            for key in tenant.api_keys
        },
        has_workspaces=tenants is not None,
        limits=routing_table.RequestLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / 1000,
        ),
    )


def _decode_member(group: _Member | None) -> backends.Membership | None:
    if group is None:
        return None
    state = backends.MemberState(group.state)
    return backends.Membership(group.name, group.epoch, group.rank, state)


def decode_backend(backend_id: str, value: bytes) -> backends.Backend | None:
    """Decode a registry entry; return None if it is not valid."""
    try:
        entry = decoding.decode_json(value, _Entry)
    except exceptions.Undecodable:
        return None
    is_id = _ID.fullmatch(backend_id) is not None
    if not is_id or not sockets.is_address(entry.address):
        return None
    domain = "" if entry.domain is None else str(entry.domain)
    return backends.Backend(
        backend_id,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state == "draining",
        entry.cold_left_ms / 1000,
        domain,
        frozenset(entry.staged),
        _decode_member(entry.group),
        entry.born,
        entry.sequence,
    )


def decode_report(value: bytes) -> backends.Report:
    """Decode a model engine's report.

    Raises
    ------
    BackendCut
        If the value is no valid report.
    """
    try:
        report = decoding.decode_json(value, _Report)
    except exceptions.Undecodable as error:
        raise exceptions.BackendCut(
            f"the report is not valid: {error}"
        ) from error
    return backends.Report(
        report.sequence,
        report.busy,
        report.queued,
        report.running,
        report.pace,
        frozenset(report.staged),
        _decode_member(report.group),
        report.born,
    )


class _CountedReport(msgspec.Struct):
    sequence: decoding.Count
    busy: bool


def holds_report(body: bytes) -> bool:
    """Tell whether the body of an answer is a model engine's report."""
    try:
        decoding.decode_json(body, _CountedReport)
    except exceptions.Undecodable:
        return False
    return True


def encode_order(
    order: backends.Order, fencing_number: int, expected_orders: int | None
) -> bytes:
    """Encode an order to a model engine.

    Parameters
    ----------
    fence : int
        Fencing number of the owner that sends the order.
    expected_orders : int, optional
        Number of orders that the engine must have begun before this one.
    """
    body: dict[str, t.Any] = {
        "op": order.kind.value,
        "fencing_token": fencing_number,
    }
    if expected_orders is not None:
        body["expect"] = expected_orders
    if order.group:
        body["group"] = order.group
        body["epoch"] = order.epoch
    if order.model:
        body["model"] = order.model
    if order.members:
        body["members"] = order.members
    if order.kind is backends.OrderKind.CLOSE:
        body["mode"] = "wait"
    return msgspec.json.encode(body)


ORDER_OUTCOMES: abc.Mapping[int, backends.OrderOutcome] = {
    200: backends.OrderOutcome.DONE,
    202: backends.OrderOutcome.BEGUN,
    409: backends.OrderOutcome.CONFLICT,
    412: backends.OrderOutcome.FENCED,
}
