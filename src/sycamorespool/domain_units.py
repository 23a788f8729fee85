"""Chooses the models for which a fabric domain forms groups.

The owner of a domain knows its own VMs from their reports.  What the other
domains of the service have is estimated from the registry.
"""

import collections
from collections import abc
import dataclasses
import math

import trio

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.groups import model_allocation
from sycamorespool.decisions.groups import model_demand
from sycamorespool.decisions.placing import fleet_load
from sycamorespool.decisions import registry
from sycamorespool import entry_context
from sycamorespool import logs
from sycamorespool import routing_table

# A group whose VMs have to load weights first is formed only after this time,
# as another domain that has the weights may form it at once.
LOAD_DELAY_S = 2.0
# Fraction of the fleet's limit of loads that the owners together may begin in
# a window.
LOAD_FRACTION = 0.8

log = logs.make_logger("groups")


@dataclasses.dataclass(slots=True)
class Unit:
    """Holds one fabric domain of a service that this entry owns.

    Parameters
    ----------
    fencing_number : int
        Number of the claim to the domain; 0 before there is a claim.
    claim_after_s : float
        Earliest time of the next attempt to claim the domain.
    memory : PlannerMemory
        The state that the planner keeps between two plans.
    loads : deque
        When loads from the weight store began.
    wanted_since_s : dict
        Since when the unit is to form a group, by model.
    is_settled : bool
        Whether the last plan found no change under way.
    """

    service: str
    domain: str
    fencing_number: int = 0
    claim_after_s: float = -math.inf
    memory: domain_view.PlannerMemory = dataclasses.field(
        default_factory=domain_view.PlannerMemory
    )
    loads: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    wanted_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    is_settled: bool = False

    @property
    def name(self) -> str:
        """Return the name of the unit, which is the key of its claims."""
        return f"{self.service}/{self.domain}"


def find_engine(
    context: entry_context.EntryContext, service: routing_table.Service
) -> routing_table.Engine | None:
    """Return a service's engine, whose models have the shares to allocate.

    Where the settings say so, these follow what callers ask for.
    """
    engine = service.engine
    if engine is None or not context.settings.balancing.follow_demand:
        return engine
    own = fleet_load.read_demand(context.load.meter, trio.current_time())
    demand = {}
    for model in engine.models:
        name = f"{service.name}/{model.name}"
        others = context.load.demand.get(name, 0.0)
        demand[model.name] = own.get(name, 0.0) + others
        context.metrics.set("model_demand", demand[model.name], name)
    models = model_demand.follow_demand(engine.models, demand)
    return dataclasses.replace(engine, models=models)


def count_loads_left(
    context: entry_context.EntryContext,
    unit: Unit,
    engine: routing_table.Engine,
    now_s: float,
) -> int:
    """Return how many loads from the weight store the unit may begin now.

    Half of the fleet's limit is shared equally by all domains, the other
    half in proportion to the VMs without weights that the registry shows.
    """
    bounds = context.settings.bounds
    while unit.loads and now_s - unit.loads[0] > bounds.load_window_s:
        unit.loads.popleft()
    limit = engine.loads_per_s * bounds.load_window_s * bounds.load_over
    limit *= LOAD_FRACTION
    domains = registry.group_by_domain(context.registry, unit.service)
    unstaged = {
        name: sum(not server.staged for server in servers)
        for name, servers in domains.items()
    }
    unstaged_share = unstaged.get(unit.domain, 0) / max(
        1, sum(unstaged.values())
    )
    allowed = limit / 2 / max(1, len(domains)) + limit / 2 * unstaged_share
    return max(1, math.floor(allowed)) - len(unit.loads)


def _map_domains(
    context: entry_context.EntryContext,
    unit: Unit,
    view: domain_view.DomainView,
    free: list[frozenset[str]],
) -> dict[str, model_allocation.DomainCapacity]:
    """Return the groups and free VMs of each domain of the service."""
    listed = registry.group_by_domain(context.registry, unit.service)
    domains = {
        name: _estimate_domain(servers, view)
        for name, servers in listed.items()
        if name != unit.domain
    }
    domains[unit.domain] = model_allocation.DomainCapacity(
        _find_data_centre(listed.get(unit.domain, ())),
        domain_view.count_whole_groups(view),
        list(free),
    )
    return domains


def choose_models(
    context: entry_context.EntryContext,
    unit: Unit,
    view: domain_view.DomainView,
    free: list[frozenset[str]],
) -> list[str]:
    """Return the models that the unit is to form groups for."""
    domains = _map_domains(context, unit, view, free)
    wanted = model_allocation.allocate_groups(view.engine.models, domains)[
        unit.domain
    ]
    return _filter_due_models(context, unit, view, wanted, free)


def find_underserved_models(
    context: entry_context.EntryContext,
    unit: Unit,
    view: domain_view.DomainView,
) -> set[str]:
    """Return the models that have fewer groups in the fleet than targeted."""
    models = view.engine.models
    domains = _map_domains(context, unit, view, [])
    counts = model_allocation.count_groups(domains)
    vms = len(context.registry.servers_of(unit.service))
    targets = model_allocation.find_targets(models, vms)
    return {m.name for m in models if counts[m.name] < targets[m.name]}


def _filter_due_models(
    context: entry_context.EntryContext,
    unit: Unit,
    view: domain_view.DomainView,
    wanted: list[str],
    free: list[frozenset[str]],
) -> list[str]:
    """Return the models for which groups are to be formed now.

    These are the models whose weights enough free VMs hold already, and
    those that have been wanted for ``LOAD_DELAY_S``.  While no group of the
    service runs, all wanted models are due.
    """
    since_s = unit.wanted_since_s
    for name in set(since_s) - set(wanted):
        del since_s[name]
    if not has_running_group(context, unit.service):
        return wanted
    chosen = []
    for name in wanted:
        model = view.engine.find_model(name)
        staged = sum(name in held for held in free)
        if name not in since_s:
            log.info(
                "domain is to form a group",
                unit=unit.name,
                name=name,
                count=len(free),
                places=staged,
            )
        first_s = since_s.setdefault(name, view.now_s)
        is_quick = model is not None and staged >= model.size
        if is_quick or view.now_s - first_s >= LOAD_DELAY_S:
            chosen.append(name)
    return chosen


def _estimate_domain(
    servers: list[backends.Backend], view: domain_view.DomainView
) -> model_allocation.DomainCapacity:
    """Return the groups and free VMs of a domain that another entry owns."""
    vms = {b.backend_id: domain_view.VmView(b) for b in servers}
    whole = domain_view.find_whole_groups(dataclasses.replace(view, vms=vms))
    grouped = collections.Counter(
        domain_view.model_of_group(name) for name, _ in whole
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
    return model_allocation.DomainCapacity(
        _find_data_centre(servers), grouped, free
    )


def _find_data_centre(servers: abc.Sequence[backends.Backend]) -> str:
    return servers[0].data_centre if servers else ""


def has_running_group(
    context: entry_context.EntryContext, service: str
) -> bool:
    """Tell whether the registry shows any running group of a service."""
    return any(
        member.state in domain_view.RUNNING_STATES
        for backend in context.registry.servers_of(service)
        if (member := backend.membership)
    )
