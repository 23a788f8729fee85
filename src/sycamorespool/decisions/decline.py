"""Signs of a slow decline: what has been below its due, and for how long.

A sudden crash is seen at once; these ages grow while nothing crashes::

    signs = find_signs(state, fleet, vms, serving, now_s)
    signs.vm_stranded_age_max_s
"""

import collections
from collections import abc
import dataclasses

from sycamorespool.decisions import replay
from sycamorespool import models


@dataclasses.dataclass(slots=True)
class DeclineState:
    """Since when each VM, group and replica has been below its due, in s."""

    stranded_s: dict[str, float] = dataclasses.field(default_factory=dict)
    below_s: dict[str, float] = dataclasses.field(default_factory=dict)
    cold_s: dict[str, float] = dataclasses.field(default_factory=dict)
    quarantined_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Signs:
    """What an entry sees of the domains that it owns.

    Parameters
    ----------
    vms_stranded : int
        Live VMs in service that serve in no working group.
    vm_stranded_age_max_s : float
        How long the oldest of them has been so.
    groups_serving : dict
        Whole groups, by service.
    below_capacity_age_s : dict
        How long a group has not been whole, by service; 0 if all are.
    ramp_stuck_age_max_s : float
        How long the slowest whole group has been cold.
    """

    vms_stranded: int
    vm_stranded_age_max_s: float
    groups_serving: dict[str, int]
    below_capacity_age_s: dict[str, float]
    ramp_stuck_age_max_s: float


def _follow(
    since_s: dict[str, float], now: abc.Set[str], now_s: float
) -> float:
    """Keep when each member joined the set; return the longest stay, in s."""
    for gone in since_s.keys() - now:
        del since_s[gone]
    for name in now:
        since_s.setdefault(name, now_s)
    return max((now_s - then_s for then_s in since_s.values()), default=0.0)


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


def find_signs(
    state: DeclineState,
    fleet: replay.FleetState,
    vms: abc.Mapping[str, models.Vm],
    groups: abc.Iterable[str],
    whole: abc.Set[str],
    cold: abc.Set[str],
    now_s: float,
) -> Signs:
    """Return the signs of decline now and keep their ages in ``state``.

    Parameters
    ----------
    vms : mapping
        The backend servers' VMs of the domains that the entry owns.
    groups, whole, cold : collections of str
        Ids of the groups of these domains; of those of which every member
        lately affirmed that it serves; of those that are still cold.
    now_s : float
        Monotonic time, in s.
    """
    stranded = _find_stranded(fleet, vms, whole)
    stranded_age_s = _follow(state.stranded_s, stranded, now_s)
    serving: collections.Counter[str] = collections.Counter()
    below: set[str] = set()
    for group_id in groups:
        service = fleet.groups[group_id].service
        serving[service] += group_id in whole
        if group_id not in whole:
            below.add(service)
    _follow(state.below_s, below, now_s)
    return Signs(
        len(stranded),
        stranded_age_s,
        dict(serving),
        {name: now_s - state.below_s.get(name, now_s) for name in serving},
        _follow(state.cold_s, whole & cold, now_s),
    )


def find_quarantine_age(
    state: DeclineState, until_s: abc.Mapping[str, float], now_s: float
) -> tuple[int, float]:
    """Return how many VMs are in quarantine, and the longest stay, in s.

    Parameters
    ----------
    until_s : mapping
        Monotonic time at which the quarantine of each VM ends.
    """
    now = {name for name, end_s in until_s.items() if now_s < end_s}
    return len(now), _follow(state.quarantined_s, now, now_s)


def find_share_errors(
    using: abc.Mapping[str, float], due: abc.Mapping[str, float]
) -> dict[str, float]:
    """Return the share received less the share due, by workspace.

    Parameters
    ----------
    using, due : mapping
        Places in use and places due, of which a workspace that wants less
        is due no more than that.

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
