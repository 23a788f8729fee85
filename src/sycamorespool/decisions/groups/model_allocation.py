"""Allocates the free VMs of each fabric domain to models.

Every owner computes the allocation of the whole fleet from the registry and
carries out the part for its own domains, so that owners need not
communicate::

    wanted = allocate_groups(engine.models, domains)
    wanted["d1"]  # names of the models to form a group for

No VM is kept spare that could be in a group: the more groups there are, the
fewer requests the loss of one affects, and the remaining members of a lost
group are the spares of the next one, with its weights on their hosts.  The
VMs that are too few for a group are the spares of their domain
(:mod:`sycamorespool.decisions.groups.spares`).
"""

import collections
from collections import abc
import dataclasses

from sycamorespool import routing_table

# Groups that each model may lose before its requests queue.
TOLERATED_LOSSES = 1
# Keeps the need of a model without a share positive.
MIN_NEED = 1e-6


@dataclasses.dataclass(slots=True)
class DomainCapacity:
    """Holds the groups and the free VMs of one fabric domain.

    Parameters
    ----------
    data_centre : str
        The data centre of the domain.
    grouped : Counter
        Whole groups by model, including those still joining.
    free : list
        For each free VM the models whose weights are on its host.
    """

    data_centre: str = ""
    grouped: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    free: list[frozenset[str]] = dataclasses.field(default_factory=list)

    def copy(self) -> "DomainCapacity":
        """Return a copy that can be changed by itself."""
        return DomainCapacity(
            self.data_centre, self.grouped.copy(), list(self.free)
        )

    def count_staged(self, model: str) -> int:
        """Return how many free VMs have the weights of a model."""
        return sum(model in staged for staged in self.free)

    def form_group(self, model: routing_table.Model) -> None:
        """Use free VMs for a group, preferably those that have its weights."""
        self.free.sort(key=lambda staged: model.name not in staged)
        del self.free[: model.size]
        self.grouped[model.name] += 1


def relative_need(model: routing_table.Model) -> float:
    """Return how many groups a model needs in proportion to other models.

    A model's share of the work is counted in single VMs.
    """
    return max(model.share / model.size, MIN_NEED)


def _rate_supply(
    model: routing_table.Model, groups: int
) -> tuple[bool, float, float]:
    """Return a key that ranks the model with the greatest need first."""
    spare = (groups - TOLERATED_LOSSES) / relative_need(model)
    return (groups > 0, spare, -relative_need(model))


def find_targets(
    models: abc.Sequence[routing_table.Model], vms: int
) -> collections.Counter[str]:
    """Return how many groups of each model a number of VMs should form.

    Groups are assigned one by one, each to the model that would have the
    fewest groups relative to its need after the loss of one.
    """
    targets: collections.Counter[str] = collections.Counter()
    while True:
        fitting = [model for model in models if model.size <= vms]
        if not fitting:
            return targets
        model = min(fitting, key=lambda m: _rate_supply(m, targets[m.name]))
        targets[model.name] += 1
        vms -= model.size


def _choose_domain(
    domains: abc.Mapping[str, DomainCapacity],
    fitting: abc.Iterable[str],
    model: routing_table.Model,
) -> str:
    """Return the domain for one more group of a model.

    A domain that can form it at once is preferred.  Otherwise a domain
    keeps to one model, whose groups then share their spare VMs, and the
    groups of a model are spread over the data centres, domain by domain.
    """
    nearby: collections.Counter[str] = collections.Counter()
    for domain in domains.values():
        nearby[domain.data_centre] += domain.grouped[model.name]

    def rank_domain(name: str) -> tuple[bool, int, int, int, int, str]:
        domain = domains[name]
        staged = min(domain.count_staged(model.name), model.size)
        own = domain.grouped[model.name]
        others = domain.grouped.total() - own
        room = own + len(domain.free) // model.size
        return (
            staged < model.size,
            others,
            nearby[domain.data_centre] // room,
            -own,
            -staged,
            name,
        )

    return min(fitting, key=rank_domain)


def allocate_groups(
    models: abc.Sequence[routing_table.Model],
    domains: abc.Mapping[str, DomainCapacity],
) -> dict[str, list[str]]:
    """Return the models to form groups for, by domain.

    Parameters
    ----------
    models : sequence of Model
        The models of one service.
    domains : mapping
        The groups and free VMs of each domain.
    """
    is_empty = not count_groups(domains).total()
    drafts = [_draft(models, domains, does_alternate=False)]
    if is_empty and drafts[0].find_least_fraction() < 1.0:
        # A model that took all its groups first may have left remainders of
        # domains in which no group of another fits.
        drafts.append(_draft(models, domains, does_alternate=True))
    return max(drafts, key=_Allocator.find_least_fraction).wanted


def _draft(
    models: abc.Sequence[routing_table.Model],
    domains: abc.Mapping[str, DomainCapacity],
    does_alternate: bool,
) -> "_Allocator":
    # Models below their target first get the groups that need no load.  Then
    # come models below half of their target, then groups of the staged VMs
    # that are left, and last the models that are still below their target.
    draft = _Allocator(
        models, {name: d.copy() for name, d in domains.items()}, does_alternate
    )
    draft.form_lacking(_can_form_at_once, lambda count, target: count < target)
    draft.form_lacking(_can_form, lambda count, target: 2 * count < target)
    draft.use_staged()
    draft.form_lacking(_can_form, lambda count, target: count < target)
    return draft


def _can_form_at_once(
    domain: DomainCapacity, model: routing_table.Model
) -> bool:
    return domain.count_staged(model.name) >= model.size


def _can_form(domain: DomainCapacity, model: routing_table.Model) -> bool:
    return len(domain.free) >= model.size


class _Allocator:
    """Allocates the free VMs of all domains to the models, step by step."""

    def __init__(
        self,
        models: abc.Sequence[routing_table.Model],
        domains: abc.Mapping[str, DomainCapacity],
        does_alternate: bool,
    ) -> None:
        self.wanted: dict[str, list[str]] = {name: [] for name in domains}
        self._domains = domains
        self._counts = count_groups(domains)
        self._does_alternate = does_alternate
        self._targets = find_targets(models, count_vms(models, domains))
        self._models = sorted(
            models, key=lambda m: (-relative_need(m), m.name)
        )

    def form_lacking(
        self,
        may_form: abc.Callable[[DomainCapacity, routing_table.Model], bool],
        is_lacking: abc.Callable[[int, int], bool],
    ) -> None:
        """Form groups of models that are below their targets.

        The model with the greatest need takes all its groups first, or the
        models alternate by what they have.

        Parameters
        ----------
        may_form : callable
            Tells whether a domain may form a group of a model.
        is_lacking : callable
            Tells whether a model's number of groups is too far below its
            target.
        """
        while True:
            fitting = {
                model.name: names
                for model in self._models
                if is_lacking(self._counts[model.name], self._target(model))
                and (names := self._list_fitting(may_form, model))
            }
            if not fitting:
                return
            lacking = [m for m in self._models if m.name in fitting]
            model = lacking[0]
            if self._does_alternate:
                model = min(
                    lacking,
                    key=lambda m: _rate_supply(m, self._counts[m.name]),
                )
            name = _choose_domain(self._domains, fitting[model.name], model)
            self._form_group(name, model)

    def find_least_fraction(self) -> float:
        """Return the least part of its target that any model reaches."""
        return min(
            (
                self._counts[model.name] / self._targets[model.name]
                for model in self._models
                if self._targets[model.name]
            ),
            default=1.0,
        )

    def _target(self, model: routing_table.Model) -> int:
        return max(1, self._targets[model.name])

    def _list_fitting(
        self,
        may_form: abc.Callable[[DomainCapacity, routing_table.Model], bool],
        model: routing_table.Model,
    ) -> list[str]:
        return [
            name
            for name, domain in self._domains.items()
            if may_form(domain, model)
        ]

    def use_staged(self) -> None:
        """Form groups of staged VMs above the targets, so none stays idle."""
        for model in sorted(self._models, key=lambda m: (-m.size, m.name)):
            for name, domain in self._domains.items():
                while _can_form_at_once(domain, model):
                    self._form_group(name, model)

    def _form_group(self, name: str, model: routing_table.Model) -> None:
        self._domains[name].form_group(model)
        self._counts[model.name] += 1
        self.wanted[name].append(model.name)


def count_groups(
    domains: abc.Mapping[str, DomainCapacity],
) -> collections.Counter[str]:
    """Return the number of groups of each model in all domains."""
    counts: collections.Counter[str] = collections.Counter()
    for domain in domains.values():
        counts.update(domain.grouped)
    return counts


def count_vms(
    models: abc.Sequence[routing_table.Model],
    domains: abc.Mapping[str, DomainCapacity],
) -> int:
    """Return the number of VMs of all domains, including those in groups."""
    counts = count_groups(domains)
    free = sum(len(domain.free) for domain in domains.values())
    return free + sum(model.size * counts[model.name] for model in models)
