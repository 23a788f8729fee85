"""Chooses which weights the spare VMs of a fabric domain hold.

A group that lost a member is formed again at once if enough free VMs hold
the weights of its model; a load takes much longer than a join.  So the
spares of a domain hold the weights of the groups that they may have to
complete::

    stages = choose_stages(models, {"m0": 24}, {"i-1": frozenset()}, set())
    stages["i-1"]  # "m0"
"""

import collections
from collections import abc

from sycamorespool.decisions.groups import model_allocation
from sycamorespool import routing_table

# Free VMs that hold the weights of a model are the rest of a lost group if
# they are more than this part of one.
MIN_STAGED_FRACTION = 0.5


def choose_stages(
    models: abc.Sequence[routing_table.Model],
    grouped: abc.Mapping[str, int],
    free: abc.Mapping[str, frozenset[str]],
    lacking: abc.Container[str],
) -> dict[str, str]:
    """Return the models whose weights free VMs should load, by VM.

    Parameters
    ----------
    models : sequence of Model
        The models of the service.
    grouped : mapping
        Number of the domain's VMs that are in groups of each model.
    free : mapping
        The models whose weights each free VM holds, by VM.
    lacking : container of str
        Models of which the fleet has too few groups.
    """
    chooser = _Chooser(models, grouped, free)
    chooser.complete_group()
    if chooser.grouped:
        chooser.prepare_for_losses()
    else:
        chooser.prepare_new_groups(lacking)
    return chooser.stages


class _Chooser:
    """Chooses the weights of the free VMs, step by step."""

    def __init__(
        self,
        models: abc.Sequence[routing_table.Model],
        grouped: abc.Mapping[str, int],
        free: abc.Mapping[str, frozenset[str]],
    ) -> None:
        self.stages: dict[str, str] = {}
        self._models = models
        names = {model.name for model in models}
        self._free = {vm_id: held & names for vm_id, held in free.items()}
        self._held: collections.Counter[str] = collections.Counter()
        for held in self._free.values():
            self._held.update(held)
        # What is left of a lost group is to be a group again.
        self.grouped = {
            model.name: count
            for model in models
            if (count := grouped.get(model.name, 0) + self._count_rest(model))
        }

    def _count_rest(self, model: routing_table.Model) -> int:
        held = self._held[model.name]
        return held if held > MIN_STAGED_FRACTION * model.size else 0

    def _stage(self, vm_id: str, name: str) -> None:
        self._held.subtract(self._free.pop(vm_id))
        self._held[name] += 1
        self.stages[vm_id] = name

    def _list_useless(self, model: str = "") -> list[str]:
        """Return the VMs whose weights no group here needs, bare ones first.

        Parameters
        ----------
        model : str, optional
            A model whose weights are of use in any case.
        """
        useful = {*self.grouped, model}
        found = [i for i, held in self._free.items() if not held & useful]
        return sorted(found, key=lambda i: (len(self._free[i]), i))

    def complete_group(self) -> None:
        """Stage what the VMs of a lost group lack to be a group again."""

        def rank_model(model: routing_table.Model) -> tuple[float, str]:
            return (self._held[model.name] / model.size, model.name)

        partial = [
            model
            for model in self._models
            if self._count_rest(model)
            and self._held[model.name] < model.size <= len(self._free)
        ]
        if not partial:
            return
        model = max(partial, key=rank_model)
        missing = model.size - self._held[model.name]
        for vm_id in self._list_useless(model.name)[:missing]:
            self._stage(vm_id, model.name)

    def prepare_for_losses(self) -> None:
        """Divide the other VMs by the VMs that each model may lose here."""
        for vm_id in self._list_useless():
            name = max(
                self.grouped,
                key=lambda n: (self.grouped[n] / (self._held[n] + 1), n),
            )
            self._stage(vm_id, name)

    def prepare_new_groups(self, lacking: abc.Container[str]) -> None:
        """Stage bare VMs for the groups that may be formed here next."""
        for vm_id in [i for i, held in self._free.items() if not held]:
            model = self._choose_new(lacking)
            self._stage(vm_id, model.name)

    def _choose_new(self, lacking: abc.Container[str]) -> routing_table.Model:
        def rank_model(
            model: routing_table.Model,
        ) -> tuple[float, bool, float, str]:
            part = self._held[model.name] % model.size / model.size
            need = model_allocation.relative_need(model)
            return (part, model.name in lacking, need, model.name)

        return max(self._models, key=rank_model)
