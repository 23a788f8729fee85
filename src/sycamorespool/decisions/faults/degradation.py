"""Measures gradual degradation: what is below target, and for how long.

A crash is noticed at once; these ages grow while nothing crashes::

    found = measure_degradation(state, fleet, vms, groups, whole, cold, now_s)
    found.vm_stranded_age_max_s
"""

import collections
from collections import abc
import dataclasses

from sycamorespool.decisions import replay
from sycamorespool import models


@dataclasses.dataclass(slots=True)
class DegradationTimers:
    """Holds when each bad state began, in s of monotonic time.

    ``stranded_since_s`` and ``quarantined_since_s`` are by VM,
    ``incomplete_since_s`` by service and ``cold_since_s`` by group.
    """

    stranded_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    incomplete_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    cold_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    quarantined_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DegradationMetrics:
    """Holds the degradation in the domains that an entry owns.

    Parameters
    ----------
    vms_stranded : int
        Number of live VMs in service that belong to no whole group.
    vm_stranded_age_max_s : float
        The longest time that such a VM has been stranded.
    groups_serving : dict
        Number of whole groups, by service.
    below_capacity_age_s : dict
        How long some group has not been whole, by service; 0 if all are.
    ramp_stuck_age_max_s : float
        The longest time that a whole group has been cold.
    """

    vms_stranded: int
    vm_stranded_age_max_s: float
    groups_serving: dict[str, int]
    below_capacity_age_s: dict[str, float]
    ramp_stuck_age_max_s: float


def _update_ages(
    since_s: dict[str, float], current: abc.Set[str], now_s: float
) -> float:
    """Record when each name entered the set; return the greatest age, in s.

    ``since_s`` is updated in place to hold exactly the ``current`` names.
    """
    for gone in since_s.keys() - current:
        del since_s[gone]
    for name in current:
        since_s.setdefault(name, now_s)
    return max((now_s - first_s for first_s in since_s.values()), default=0.0)


def _find_stranded(
    fleet: replay.FleetState,
    vms: abc.Mapping[str, models.Vm],
    whole: abc.Set[str],
) -> set[str]:
    return {
        name
        for name, vm in vms.items()
        if vm.state is models.VmState.LIVE
        and fleet.config.is_in_service(vm.data_centre, name)
        and fleet.group_of_vm.get(name) not in whole
    }


def measure_degradation(
    state: DegradationTimers,
    fleet: replay.FleetState,
    vms: abc.Mapping[str, models.Vm],
    groups: abc.Iterable[str],
    whole: abc.Set[str],
    cold: abc.Set[str],
    now_s: float,
) -> DegradationMetrics:
    """Return the degradation now and update its start times in ``state``.

    Parameters
    ----------
    state : DegradationTimers
        Start times from the calls before, updated in place.
    fleet : FleetState
        The replayed state of the log.
    vms : mapping
        The backend servers of the domains that the entry owns, by VM.
    groups : iterable of str
        Ids of all groups of these domains.
    whole : set of str
        Ids of the groups of which every member recently confirmed that it
        is ready.
    cold : set of str
        Ids of the groups that have not reached their warm limit yet.
    now_s : float
        Monotonic time, in s.
    """
    stranded = _find_stranded(fleet, vms, whole)
    stranded_age_s = _update_ages(state.stranded_since_s, stranded, now_s)
    serving: collections.Counter[str] = collections.Counter()
    incomplete: set[str] = set()
    for group_id in groups:
        service = fleet.groups[group_id].service
        serving[service] += group_id in whole
        if group_id not in whole:
            incomplete.add(service)
    _update_ages(state.incomplete_since_s, incomplete, now_s)
    return DegradationMetrics(
        len(stranded),
        stranded_age_s,
        dict(serving),
        {
            name: now_s - state.incomplete_since_s.get(name, now_s)
            for name in serving
        },
        _update_ages(state.cold_since_s, whole & cold, now_s),
    )


def find_quarantine_age(
    state: DegradationTimers, until_s: abc.Mapping[str, float], now_s: float
) -> tuple[int, float]:
    """Return how many VMs are in quarantine and the longest stay, in s.

    Parameters
    ----------
    state : DegradationTimers
        Start times from the calls before, updated in place.
    until_s : mapping
        Monotonic time at which the quarantine of each VM ends.
    """
    current = {name for name, end_s in until_s.items() if now_s < end_s}
    return len(current), _update_ages(
        state.quarantined_since_s, current, now_s
    )


def find_share_errors(
    using: abc.Mapping[str, float], due: abc.Mapping[str, float]
) -> dict[str, float]:
    """Return each workspace's share of the places in use minus its due share.

    Parameters
    ----------
    using : mapping
        Places in use, by workspace.
    due : mapping
        Places due, by workspace; one that wants fewer places than its fair
        share is due only those.

    Example
    -------
    >>> find_share_errors({"a": 3, "b": 1}, {"a": 5, "b": 5})
    {'a': 0.25, 'b': -0.25}
    """
    used = sum(using.get(name, 0.0) for name in due)
    total = sum(due.values())
    if not used or not total:
        return dict.fromkeys(due, 0.0)
    return {
        name: using.get(name, 0.0) / used - due[name] / total for name in due
    }
