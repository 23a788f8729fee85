"""Matches a caller's request to its route, workspace and service."""

from collections import abc
import dataclasses
import functools

from sycamorespool.decisions.faults import fatal_traits
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import engine_load
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool.platform import headers
from sycamorespool.requests import caller_request
from sycamorespool.requests import request_identity
from sycamorespool import routing_table

NOT_READY_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWork:
    """Holds what a call asks of the engines of its model.

    Parameters
    ----------
    slots : int
        Requests that a server of the model runs at once.
    """

    times: routing_table.EngineTimes
    model: routing_table.Model
    slots: int
    work: engine_load.Work


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Holds a caller's request with its route, workspace and service.

    Parameters
    ----------
    version : int
        Version of the configuration that they are from.
    arrived_s : float
        When the request arrived.
    end_s : float
        Deadline of the final answer.
    traits : tuple of str
        What ends of servers under requests may have in common: the parts of
        the prompt in order, and the request's identity.
    passed_on : PassedOn, optional
        What another entry told that passed it on; None from a caller.
    engine_work : EngineWork, optional
        What it asks of model engines; None if their times are not used.
    """

    request: caller_request.CallerRequest
    route: routing_table.Route
    workspace: routing_table.Workspace | None
    service: str
    version: int
    arrived_s: float
    end_s: float
    traits: fatal_traits.Traits = ()
    passed_on: headers.PassedOn | None = None
    engine_work: EngineWork | None = None

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt, 0 if it is of no use."""
        return self.engine_work.work.prompt_tokens if self.engine_work else 0

    def choose_rank(self, load: engine_load.ServerLoad, now_s: float) -> int:
        """Return the rank of the request at a server, 0 for the first."""
        if self.engine_work is None:
            return self.priority
        found = self.engine_work
        expected_s = now_s - self.arrived_s
        expected_s += engine_load.predict_first_token_s(
            found.times, found.model, found.slots, load, found.work
        )
        return engine_load.choose_rank(
            self.priority, expected_s, self.route.objective_s
        )

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return self.route.kind is routing_table.RequestKind.STREAM

    @property
    def priority(self) -> int:
        """Return the rank of the request, 0 for the most important.

        A priority of the workspace overrides that of the route.
        """
        workspace = self.workspace
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return self.route.priority

    def make_placement_request(
        self, excluded: frozenset[str]
    ) -> candidates.PlacementRequest:
        """Return what the request requires of its backend server.

        ``excluded`` are the servers that it must not be sent to.
        """
        own = self.workspace.regions if self.workspace else frozenset()
        return candidates.PlacementRequest(
            self.service,
            self.request.model,
            _combine_regions(self.route.regions, own),
            excluded,
            self._make_cost(),
        )

    def _make_cost(
        self,
    ) -> abc.Callable[[engine_load.ServerLoad], float] | None:
        found = self.engine_work
        if found is None:
            return None
        return functools.partial(
            engine_load.predict_cost_s,
            found.times,
            found.model,
            found.slots,
            found.work,
        )


def _combine_regions(*homes: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all homes allow, None if there are no homes.

    Homes with nothing in common allow no region.
    """
    given = [regions for regions in homes if regions]
    return frozenset.intersection(*given) if given else None


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """Holds what one version of the configuration says of a request."""

    table: routing_table.RoutingTable
    route: routing_table.Route
    workspace: routing_table.Workspace | None


def make_stopping_refusal() -> exceptions.NotRun:
    """Return the refusal of a request that may not end before the entry."""
    return exceptions.NotRun(
        "entry_stopping",
        "the entry stops too soon for this request",
        retry_after_s=0.0,
    )


def match(
    context: entry_context.EntryContext, request: caller_request.CallerRequest
) -> Match:
    """Match a request, whose body need not be read, to route and workspace.

    Raises
    ------
    NotRun
        If no route or API key matches, or the entry has no configuration or
        one that is too old to decide.
    """
    table = context.table
    if table is None or not context.has_registry:
        raise exceptions.NotRun(
            "not_ready",
            "the entry has no configuration yet",
            retry_after_s=NOT_READY_RETRY_AFTER_S,
        )
    if not context.is_config_trusted():
        raise exceptions.NotRun(
            "config_too_old",
            "the entry cannot read the configuration",
            retry_after_s=NOT_READY_RETRY_AFTER_S,
        )
    route = table.find_route(request.host, request.path)
    if route is None:
        raise exceptions.NotRun("no_route", "no route matches", 404)
    workspace = None
    if table.has_workspaces and not route.is_public:
        workspace = table.find_workspace(request.key)
        if workspace is None:
            raise exceptions.NotRun("unknown_key", "unknown API key", 401)
    return Match(table, route, workspace)


def find_call(
    context: entry_context.EntryContext,
    request: caller_request.CallerRequest,
    now_s: float,
) -> Call:
    """Match a request to its route, workspace and service.

    Raises
    ------
    NotRun
        Under the conditions of :func:`match`.
    """
    found = match(context, request)
    route = found.route
    service = route.choose_service(context.random.random())
    wait_s = min(request.deadline_s, route.timeout_s)
    engine_work = None
    if context.settings.balancing.by_engine_times:
        engine_work = _find_engine_work(found.table, service, request)
    return Call(
        request,
        route,
        found.workspace,
        service,
        found.table.version,
        now_s,
        now_s + wait_s,
        (*request.prompt_parts, request_identity.identify(request)),
        engine_work=engine_work,
    )


def _find_engine_work(
    table: routing_table.RoutingTable,
    service_name: str,
    request: caller_request.CallerRequest,
) -> EngineWork | None:
    """Return what a request asks of model engines, None if unknown."""
    service = table.services.get(service_name)
    engine = service.engine if service else None
    model = engine.find_model(request.model) if engine else None
    if model is None or engine.times is None:
        return None
    work = engine_load.complete_work(
        engine.times, request.prompt_tokens, request.answer_tokens
    )
    return EngineWork(engine.times, model, engine.slots, work)
