"""Formation of groups: which domain forms which replica, and of which VMs.

Every owner plans for its own domain.  The log accepts the first records up
to the replicas that a service wants, so owners that race do no harm; all
rank the domains alike from log and membership, so that they seldom race.
"""

import collections
import dataclasses

from sycamorespool import configuration
from sycamorespool.decisions import group_plans
from sycamorespool.decisions import group_states
from sycamorespool.decisions import rendezvous
from sycamorespool import models
from sycamorespool import records

GRACE_S = 3.0


def form(draft: group_plans.Draft) -> None:
    """Form the replicas that fall to this domain."""
    view = draft.view
    if not view.state.config.is_in_service(view.data_centre):
        return
    services = view.state.config.services
    for name in sorted(services, key=lambda n: (_fill_ratio(view, n), n)):
        _form_service(draft, name, services[name])


def _fill_ratio(view: group_states.DomainView, name: str) -> float:
    replicas = view.state.config.services[name].replicas
    return view.state.replica_counts[name] / replicas if replicas else 1.0


def _form_service(
    draft: group_plans.Draft, name: str, service: configuration.Service
) -> None:
    free_sets = len(draft.list_free(service, name)) // service.group_size
    openings = _list_openings(draft.view, name, service)
    since_s = draft.memory.lacking_since_s
    if not openings or not free_sets:
        since_s.pop(f"service/{name}", None)
        return
    now_s = draft.view.now_s
    first_s = since_s.setdefault(f"service/{name}", now_s)
    for position in _list_own_positions(draft.view, name, service, openings):
        if free_sets and now_s - first_s >= position.wait_s:
            form_one(draft, name, service, position.replaces)
            free_sets -= 1


def form_one(
    draft: group_plans.Draft,
    name: str,
    service: configuration.Service,
    replaces: str = "",
) -> str:
    """Form one group of free VMs, each at the rank that it holds.

    The caller makes sure that the free VMs suffice.
    """
    ranks = range(service.group_size)
    chosen = dict.fromkeys(ranks)
    # Ranks that a free VM holds go first, else a VM could be taken for a
    # rank that it does not hold.
    by_warmth = sorted(ranks, key=lambda r: not draft.has_warm(service, r))
    for rank in by_warmth:
        chosen[rank] = draft.take(service, name, rank)
    number = f"{draft.view.epoch}.{draft.memory.sequence + 1}"
    return draft.append(
        records.GroupFormed,
        group_id=f"{name}-{number}",
        service=name,
        members=tuple(chosen.values()),
        replaces=replaces,
    )


def _list_openings(
    view: group_states.DomainView, name: str, service: configuration.Service
) -> list[str]:
    """List the groups to replace, "" for each replica that is lacking."""
    lacking = max(0, service.replicas - view.state.replica_counts[name])
    out = _list_out_of_service(view, name) if service.replicas else []
    return [""] * lacking + out


def _list_out_of_service(
    view: group_states.DomainView, name: str
) -> list[str]:
    config = view.state.config
    if all(place.in_service for place in config.data_centres.values()):
        return []
    places = map_places(view)
    return sorted(
        group.group_id
        for group in view.state.groups.values()
        if group.service == name
        and group.group_id not in view.state.successor_of
        and not config.is_in_service(places.get(group.unit, ""))
    )


def map_places(view: group_states.DomainView) -> dict[str, str]:
    """Return the data centre of each fabric domain, by unit."""
    return {f"domain/{vm.domain}": vm.data_centre for vm in view.fleet}


@dataclasses.dataclass(frozen=True, slots=True)
class _Position:
    """An opening for this domain, and how long it leaves it to others."""

    replaces: str
    wait_s: float


@dataclasses.dataclass(slots=True)
class _Domain:
    data_centre: str
    free: int = 0


def _list_own_positions(
    view: group_states.DomainView,
    name: str,
    service: configuration.Service,
    openings: list[str],
) -> list[_Position]:
    own = view.unit.removeprefix("domain/")
    domains = _survey(view, name, service)
    counts = _count_by_place(view, name)
    positions = []
    for opening in openings:
        domain = _choose_domain(domains, counts, name, service)
        if domain is None:
            break
        domains[domain].free -= service.group_size
        counts[domain] += 1
        counts[domains[domain].data_centre, ""] += 1
        if domain == own:
            positions.append(_Position(opening, 0.0))
    # Openings that stay unfilled fall to any domain with free VMs, one
    # domain after the other.
    ranked = rendezvous.rank(name, [*domains, own])
    place = ranked.index(own) + 1
    late = [_Position(o, GRACE_S * place) for o in openings]
    return positions + late[len(positions) :]


def _survey(
    view: group_states.DomainView, name: str, service: configuration.Service
) -> dict[str, _Domain]:
    """Count the free VMs of each domain as log and membership show them."""
    role = f"service/{name}" if service.kind == "plain" else "engine"
    config = view.state.config
    taken = view.state.group_of_vm
    domains: dict[str, _Domain] = {}
    for vm in view.fleet:
        if vm.role != role or vm.vm in taken:
            continue
        if vm.state == models.VmState.LEAVING:
            continue
        if config.is_in_service(vm.data_centre, vm.vm):
            domain = domains.setdefault(vm.domain, _Domain(vm.data_centre))
            domain.free += 1
    return domains


def _count_by_place(
    view: group_states.DomainView, name: str
) -> collections.Counter:
    """Count groups by domain, and by data centre under ``(NAME, "")``."""
    places = {vm.domain: vm.data_centre for vm in view.fleet}
    counts: collections.Counter = collections.Counter()
    for group in view.state.groups.values():
        if group.service != name:
            continue
        domain = group.unit.removeprefix("domain/")
        counts[domain] += 1
        counts[places.get(domain, ""), ""] += 1
    return counts


def _choose_domain(
    domains: dict[str, _Domain],
    counts: collections.Counter,
    name: str,
    service: configuration.Service,
) -> str | None:
    fitting = [d for d in domains if domains[d].free >= service.group_size]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda d: (
            counts[domains[d].data_centre, ""],
            counts[d],
            rendezvous.weigh(name, d),
        ),
    )
