"""The fabric domains of an owner and what each has to form.

What other domains have is taken from the registry.
"""

import collections
from collections import abc
import dataclasses
import math

from sycamorespool import backends
from sycamorespool.decisions import allotment
from sycamorespool.decisions import group_views
from sycamorespool.decisions import registry
from sycamorespool import logs
from sycamorespool import router as routers
from sycamorespool import routing_table

# A group that needs loads waits, as another domain may form it at once.
LOAD_PATIENCE_S = 2.0
# Part of the fleet's loads that the owners may begin in a window.
LOAD_PART = 0.8

log = logs.make_logger("groups")


@dataclasses.dataclass(slots=True)
class Unit:
    """One fabric domain that this entry acts for.

    Parameters
    ----------
    fence : int
        Offset of the claim; 0 before there is one.
    claim_after_s : float
        When a claim may be tried.
    loads : deque
        When loads from the weight store began.
    wanted_since_s : dict
        Since when the unit is to form a group, by model.
    """

    service: str
    domain: str
    fence: int = 0
    claim_after_s: float = -math.inf
    memory: group_views.Memory = dataclasses.field(
        default_factory=group_views.Memory
    )
    loads: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    wanted_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    is_settled: bool = False

    @property
    def name(self) -> str:
        """Key of the unit."""
        return f"{self.service}/{self.domain}"


def count_loads_left(
    router: routers.Router,
    unit: Unit,
    engine: routing_table.Engine,
    now_s: float,
) -> int:
    """Return how many loads the unit may begin now.

    Half of the fleet's loads are shared by all domains, half by those in
    proportion to their VMs without weights, as the registry shows them.
    """
    bounds = router.settings.bounds
    while unit.loads and now_s - unit.loads[0] > bounds.load_window_s:
        unit.loads.popleft()
    limit = engine.loads_per_s * bounds.load_window_s * bounds.load_over
    limit *= LOAD_PART
    domains = registry.list_domains(router.registry, unit.service)
    bare = {
        name: sum(not server.staged for server in servers)
        for name, servers in domains.items()
    }
    part = bare.get(unit.domain, 0) / max(1, sum(bare.values()))
    allowed = limit / 2 / max(1, len(domains)) + limit / 2 * part
    return max(1, math.floor(allowed)) - len(unit.loads)


def _map_domains(
    router: routers.Router,
    unit: Unit,
    view: group_views.DomainView,
    free: list[frozenset[str]],
) -> dict[str, allotment.Domain]:
    """Return what each domain of the unit's service has."""
    listed = registry.list_domains(router.registry, unit.service)
    domains = {
        name: _guess_domain(servers, view)
        for name, servers in listed.items()
        if name != unit.domain
    }
    domains[unit.domain] = allotment.Domain(
        _find_data_centre(listed.get(unit.domain, ())),
        group_views.group_models(view),
        list(free),
    )
    return domains


def choose_models(
    router: routers.Router,
    unit: Unit,
    view: group_views.DomainView,
    free: list[frozenset[str]],
) -> list[str]:
    """Return the models that the unit is to form groups for."""
    domains = _map_domains(router, unit, view, free)
    wanted = allotment.allot(view.engine.models, domains)[unit.domain]
    return _keep_patient(router, unit, view, wanted, free)


def find_lacking(
    router: routers.Router, unit: Unit, view: group_views.DomainView
) -> set[str]:
    """Return the models of which the fleet has too few groups."""
    models = view.engine.models
    domains = _map_domains(router, unit, view, [])
    counts = allotment.count_groups(domains)
    vms = len(router.registry.servers_of(unit.service))
    targets = allotment.find_targets(models, vms)
    return {m.name for m in models if counts[m.name] < targets[m.name]}


def _keep_patient(
    router: routers.Router,
    unit: Unit,
    view: group_views.DomainView,
    wanted: list[str],
    free: list[frozenset[str]],
) -> list[str]:
    """Return the models whose groups join at once or waited long enough."""
    since_s = unit.wanted_since_s
    for name in set(since_s) - set(wanted):
        del since_s[name]
    if not is_begun(router, unit.service):
        return wanted
    chosen = []
    for name in wanted:
        model = view.engine.find_model(name)
        staged = sum(name in held for held in free)
        if name not in since_s:
            log.info(
                "group wanted",
                unit=unit.name,
                name=name,
                count=len(free),
                places=staged,
            )
        first_s = since_s.setdefault(name, view.now_s)
        is_quick = model is not None and staged >= model.size
        if is_quick or view.now_s - first_s >= LOAD_PATIENCE_S:
            chosen.append(name)
    return chosen


def _guess_domain(
    servers: list[backends.Backend], view: group_views.DomainView
) -> allotment.Domain:
    """Return what the registry says of a domain of another owner."""
    vms = {b.backend_id: group_views.VmView(b) for b in servers}
    whole = group_views.find_whole_groups(dataclasses.replace(view, vms=vms))
    grouped = collections.Counter(
        group_views.model_of_group(name) for name, _ in whole
    )
    free = [
        backend.staged
        for backend in servers
        if not backend.is_draining
        and (
            backend.membership is None
            or (backend.membership.group, backend.membership.epoch)
            not in whole
        )
    ]
    return allotment.Domain(_find_data_centre(servers), grouped, free)


def _find_data_centre(servers: abc.Sequence[backends.Backend]) -> str:
    return servers[0].data_centre if servers else ""


def is_begun(router: routers.Router, service: str) -> bool:
    """Tell whether any group of a service runs."""
    return any(
        member.state in group_views.RUNNING
        for backend in router.registry.servers_of(service)
        if (member := backend.membership)
    )
