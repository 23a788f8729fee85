"""Decides which domain forms a missing replica, and from which VMs.

Every owner plans for its own domain.  The log accepts records only up to the
number of replicas that a service wants, so owners that race do no harm.  All
owners rank the domains in the same way, from the log and the membership
list, so they seldom race.
"""

import collections
import dataclasses

from sycamorespool import configuration
from sycamorespool.decisions.groups import domain_state
from sycamorespool.decisions.groups import plan_draft
from sycamorespool.decisions import rendezvous
from sycamorespool import models
from sycamorespool import records

# An opening is a missing replica or a group to replace.  One that its domain
# leaves unfilled falls to the Nth domain of a ranking after N times this
# delay.
FALLBACK_DELAY_S = 3.0


def form_groups(draft: plan_draft.Draft) -> None:
    """Form the groups that are assigned to this domain."""
    view = draft.view
    if not view.state.config.is_in_service(view.data_centre):
        return
    services = view.state.config.services
    for name in sorted(services, key=lambda n: (_fill_ratio(view, n), n)):
        _form_service(draft, name, services[name])


def _fill_ratio(view: domain_state.DomainView, name: str) -> float:
    replicas = view.state.config.services[name].replicas
    return view.state.replica_counts[name] / replicas if replicas else 1.0


def _form_service(
    draft: plan_draft.Draft, name: str, service: configuration.Service
) -> None:
    possible_groups = len(draft.list_free(service, name)) // service.group_size
    openings = _list_openings(draft.view, name, service)
    since_s = draft.memory.shortage_since_s
    if not openings or not possible_groups:
        since_s.pop(f"service/{name}", None)
        return
    now_s = draft.view.now_s
    first_s = since_s.setdefault(f"service/{name}", now_s)
    for assignment in _list_own_assignments(
        draft.view, name, service, openings
    ):
        if possible_groups and now_s - first_s >= assignment.wait_s:
            form_group(draft, name, service, assignment.replaces)
            possible_groups -= 1


def form_group(
    draft: plan_draft.Draft,
    name: str,
    service: configuration.Service,
    replaces: str = "",
) -> str:
    """Form one group of free VMs and return the id of its record.

    A VM that holds the weights of a rank takes that rank.  The caller makes
    sure that there are enough free VMs.
    """
    ranks = range(service.group_size)
    chosen = dict.fromkeys(ranks)
    # Ranks whose weights a free VM holds go first, else that VM could be
    # taken for another rank.
    warm_first = sorted(ranks, key=lambda r: not draft.has_warm_vm(service, r))
    for rank in warm_first:
        chosen[rank] = draft.take_vm(service, name, rank)
    number = f"{draft.view.epoch}.{draft.memory.sequence + 1}"
    return draft.append(
        records.GroupFormed,
        group_id=f"{name}-{number}",
        service=name,
        members=tuple(chosen.values()),
        replaces=replaces,
    )


def _list_openings(
    view: domain_state.DomainView, name: str, service: configuration.Service
) -> list[str]:
    """Return the groups to replace, and "" for each missing replica."""
    missing = max(0, service.replicas - view.state.replica_counts[name])
    out_of_service = (
        _list_out_of_service(view, name) if service.replicas else []
    )
    return [""] * missing + out_of_service


def _list_out_of_service(
    view: domain_state.DomainView, name: str
) -> list[str]:
    config = view.state.config
    if all(place.in_service for place in config.data_centres.values()):
        return []
    data_centre_of = map_data_centres(view)
    return sorted(
        group.group_id
        for group in view.state.groups.values()
        if group.service == name
        and group.group_id not in view.state.successor_of
        and not config.is_in_service(data_centre_of.get(group.unit, ""))
    )


def map_data_centres(view: domain_state.DomainView) -> dict[str, str]:
    """Return the data centre of each fabric domain, by its unit."""
    return {f"domain/{vm.domain}": vm.data_centre for vm in view.fleet_vms}


@dataclasses.dataclass(frozen=True, slots=True)
class _Assignment:
    """Holds a group that this domain may form once the wait is over.

    ``replaces`` is the group that it replaces, empty for a missing replica.
    ``wait_s`` counts from when the service first lacked a group while this
    domain had free VMs for one.
    """

    replaces: str
    wait_s: float


@dataclasses.dataclass(slots=True)
class _DomainSupply:
    """Holds the free VMs of a domain that fit a service."""

    data_centre: str
    free_vms: int = 0


def _list_own_assignments(
    view: domain_state.DomainView,
    name: str,
    service: configuration.Service,
    openings: list[str],
) -> list[_Assignment]:
    own = view.unit.removeprefix("domain/")
    domains = _count_free_vms(view, name, service)
    counts = _count_groups(view, name)
    assignments = []
    for opening in openings:
        domain = _choose_domain(domains, counts, name, service)
        if domain is None:
            break
        domains[domain].free_vms -= service.group_size
        counts[domain] += 1
        counts[domains[domain].data_centre, ""] += 1
        if domain == own:
            assignments.append(_Assignment(opening, 0.0))
    # An opening that its domain does not fill falls to the domains with free
    # VMs, one after the other.
    ranked = rendezvous.rank(name, [*domains, own])
    turn = ranked.index(own) + 1
    fallbacks = [
        _Assignment(group_id, FALLBACK_DELAY_S * turn) for group_id in openings
    ]
    return assignments + fallbacks[len(assignments) :]


def _count_free_vms(
    view: domain_state.DomainView, name: str, service: configuration.Service
) -> dict[str, _DomainSupply]:
    """Count each domain's free VMs by the log and the membership list."""
    role = f"service/{name}" if service.kind == "plain" else "engine"
    config = view.state.config
    taken = view.state.group_of_vm
    domains: dict[str, _DomainSupply] = {}
    for vm in view.fleet_vms:
        if vm.role != role or vm.vm in taken:
            continue
        if vm.state == models.VmState.LEAVING:
            continue
        if config.is_in_service(vm.data_centre, vm.vm):
            domain = domains.setdefault(
                vm.domain, _DomainSupply(vm.data_centre)
            )
            domain.free_vms += 1
    return domains


def _count_groups(
    view: domain_state.DomainView, name: str
) -> collections.Counter:
    """Count groups by domain, and by data centre under ``(NAME, "")``."""
    data_centre_of = {vm.domain: vm.data_centre for vm in view.fleet_vms}
    counts: collections.Counter = collections.Counter()
    for group in view.state.groups.values():
        if group.service != name:
            continue
        domain = group.unit.removeprefix("domain/")
        counts[domain] += 1
        counts[data_centre_of.get(domain, ""), ""] += 1
    return counts


def _choose_domain(
    domains: dict[str, _DomainSupply],
    counts: collections.Counter,
    name: str,
    service: configuration.Service,
) -> str | None:
    fitting = [d for d in domains if domains[d].free_vms >= service.group_size]
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
