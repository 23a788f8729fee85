"""Holds the operators' configuration of a hosted platform to route requests.

A :class:`RoutingTable` holds one version of it::

    route = table.find_route("shop.example", "/orders/17")
    workspace = table.find_workspace(key)
"""

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """Names how the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Describes a model that groups of VMs serve.

    Parameters
    ----------
    size : int
        Number of VMs of one group.
    pace : float
        Factor on all times of the engine.
    share : float
        Fraction of the service's work that is expected for the model.
    load_s, warm_s : float
        Time to load the weights into a VM, from the weight store and from
        its own host.
    """

    name: str
    size: int
    pace: float
    share: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTimes:
    """Holds the published times of a model engine.

    Parameters
    ----------
    step_s, per_request_s : float
        Time of one token of all answers, and what each request adds to it.
    read_tokens_per_s : float
        Tokens of prompts that are read in a second.
    per_pair_s : float
        Further time to read, for each pair of a token and one before it.
    chunk_tokens : int
        Tokens of prompts that are read at once, before answers go on.
    stride_steps : int
        Tokens of each answer between two of these pieces.
    usual_prompt_tokens, usual_answer_tokens : int
        Mean lengths.
    """

    step_s: float
    per_request_s: float
    read_tokens_per_s: float
    per_pair_s: float
    chunk_tokens: int
    stride_steps: int
    usual_prompt_tokens: int
    usual_answer_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Holds the published figures of a service's model engines.

    Parameters
    ----------
    slots : int
        Requests that a group runs at once.
    loads_per_s : float
        Loads from the weight store that the fleet may begin in a second.
    form_s : float
        Time from the order to open until a group serves.
    times : EngineTimes or None
        Times of the engines; None if they are not published.
    """

    slots: int
    models: tuple[Model, ...]
    loads_per_s: float
    form_s: float
    times: EngineTimes | None = None

    def find_model(self, name: str) -> Model | None:
        """Return a model by its name, None if there is none."""
        return next((m for m in self.models if m.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Holds a service and the limits of its backend servers.

    Parameters
    ----------
    cold_s : float
        How long a backend server is cold after its start.
    cold_per_s : float
        Requests a second that a cold server can handle, 0 for no limit.
    engine : Engine or None
        Figures of its model engines; None for a plain service.
    health_path : str
        Path at which its backend servers say whether they are healthy and
        not about to leave.
    """

    name: str
    cold_s: float
    cold_per_s: float
    engine: Engine | None = None
    health_path: str = "/health"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Holds the services for requests of a host and path, and their limits.

    Parameters
    ----------
    prefix : str
        Prefix of the paths, with a slash at both ends.
    timeout_s : float
        Longest time until the final answer.
    objective_s : float
        Objective for the time to the answer or, of a stream, to its first
        event.
    gap_objective_s : float
        Objective for the longest pause between the events of a stream.
    priority : int
        Rank, 0 first.
    max_runs : int
        Number of backend servers at which one request may run.
    targets : tuple
        Names of services with their weights.
    regions : frozenset of str
        Regions that may serve the route; empty if all may.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    max_runs: int
    is_public: bool
    is_resumable: bool
    targets: tuple[tuple[str, float], ...]
    regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Tell whether another server may repeat or resume a request."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, fraction: float) -> str:
        """Choose the service of a request by the weights.

        Parameters
        ----------
        fraction : float
            A random number in 0..1.
        """
        left = fraction * sum(weight for _, weight in self.targets)
        for service, weight in self.targets:
            left -= weight
            if left < 0:
                return service
        return self.targets[-1][0]


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """Describes a workspace.

    Parameters
    ----------
    priority : int or None
        Rank that overrides the route's; None to use the route's.
    regions : frozenset of str
        Regions that may serve the workspace; empty if all may.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Holds the operators' limits of requests; 0 for one that is not given."""

    max_head_bytes: int = 0
    max_body_bytes: int = 0
    head_timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """Holds one version of the configuration.

    Parameters
    ----------
    routes : dict
        Routes by host, the longest prefix first.
    workspaces : dict
        Workspaces by API key.
    has_workspaces : bool
        Whether the configuration has workspaces at all; if not, no request
        needs an API key.
    limits : RequestLimits
        Limits of callers' requests.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    has_workspaces: bool = True
    limits: RequestLimits = RequestLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace of an API key, None if it is unknown."""
        return self.workspaces.get(key)
