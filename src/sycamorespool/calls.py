"""A caller's request, matched to its route, workspace and service."""

import dataclasses

from sycamorespool.decisions import placing
from sycamorespool import exceptions
from sycamorespool import inbound
from sycamorespool import router as routers
from sycamorespool import routing_table

UNREADY_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request with what the configuration says of it.

    Parameters
    ----------
    version : int
        Configuration that decided.
    end_s : float
        When the final answer is due.
    """

    request: inbound.Inbound
    route: routing_table.Route
    workspace: routing_table.Workspace | None
    service: str
    version: int
    arrived_s: float
    end_s: float

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is routing_table.RequestKind.STREAM

    @property
    def priority(self) -> int:
        """Rank, 0 first; that of a workspace goes before the route's."""
        workspace = self.workspace
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return self.route.priority

    def find_wish(self, excluded: frozenset[str]) -> placing.Wish:
        """Return what the request asks of a placement."""
        homes = self.route.homes
        if self.workspace and self.workspace.homes:
            other = self.workspace.homes
            homes = homes & other if homes else other
        return placing.Wish(self.service, self.request.model, homes, excluded)


def find_call(
    router: routers.Router, request: inbound.Inbound, now_s: float
) -> Call:
    """Match a request to its route, workspace and service.

    Raises
    ------
    NotRun
        If there is no such route or key, or this entry cannot know.
    """
    table = router.table
    if table is None or not router.has_registry:
        raise exceptions.NotRun(
            "not_ready",
            "the entry has no configuration yet",
            retry_after_s=UNREADY_RETRY_S,
        )
    if not router.is_config_trusted():
        raise exceptions.NotRun(
            "config_too_old",
            "the entry cannot read the configuration",
            retry_after_s=UNREADY_RETRY_S,
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
        route.choose_service(router.random.random()),
        table.version,
        now_s,
        now_s + wait_s,
    )
