"""Matches a caller's request to its route, workspace and service."""

import dataclasses

from sycamorespool.decisions import fatal_traits
from sycamorespool.decisions import placement
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool.platform import headers
from sycamorespool.requests import caller_request
from sycamorespool.requests import request_identity
from sycamorespool import routing_table

NOT_READY_RETRY_AFTER_S = 0.5


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
    ) -> placement.PlacementRequest:
        """Return what the request requires of its backend server.

        ``excluded`` are the servers that it must not be sent to.
        """
        own = self.workspace.regions if self.workspace else frozenset()
        return placement.PlacementRequest(
            self.service,
            self.request.model,
            _combine_regions(self.route.regions, own),
            excluded,
        )


def _combine_regions(*homes: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all homes allow, None if there are no homes.

    Homes with nothing in common allow no region.
    """
    given = [regions for regions in homes if regions]
    return frozenset.intersection(*given) if given else None


def find_call(
    context: entry_context.EntryContext,
    request: caller_request.CallerRequest,
    now_s: float,
) -> Call:
    """Match a request to its route, workspace and service.

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
    wait_s = min(request.deadline_s, route.timeout_s)
    return Call(
        request,
        route,
        workspace,
        route.choose_service(context.random.random()),
        table.version,
        now_s,
        now_s + wait_s,
        (*request.prompt_parts, request_identity.identify(request)),
    )
