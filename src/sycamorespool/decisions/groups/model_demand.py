"""Divides the VMs of a service among its models by what callers ask for.

The configuration expects a share of the work for each model.  Once callers
ask for other shares, groups that are formed anew follow them; running groups
stay as they are::

    models = follow_demand(engine.models, {"m0": 3.5, "m1": 11.0})

All owners of fabric domains measure the same demand, apart from some hundred
ms, so that they allocate alike.  The load it answers is one model that is
short of servers while another one idles.
"""

from collections import abc
import dataclasses

from sycamorespool import routing_table

# Without as much work in the fleet, in busy groups, the shares of the
# configuration hold, as what callers ask for next cannot be told from it.
LEAST_DEMAND = 2.0
# Part of its configured share that a model keeps without any demand.
FLOOR_FRACTION = 0.4
# Shares change in steps, so that owners with slightly different measurements
# come to the same allocation.
SHARE_STEP = 0.02


def follow_demand(
    models: abc.Sequence[routing_table.Model],
    demand: abc.Mapping[str, float],
) -> tuple[routing_table.Model, ...]:
    """Return the models with shares by the work that is asked of each.

    Parameters
    ----------
    models : sequence of Model
        The models of a service.
    demand : mapping
        Work by model, in busy groups.
    """
    total = sum(demand.get(model.name, 0.0) for model in models)
    if total < LEAST_DEMAND:
        return tuple(models)
    # A share counts single VMs, and groups of all models are to be equally
    # busy.
    vms = {m.name: demand.get(m.name, 0.0) * m.size for m in models}
    configured = sum(model.share for model in models) or 1.0
    shares = {
        model.name: max(
            vms[model.name] / sum(vms.values()),
            FLOOR_FRACTION * model.share / configured,
        )
        for model in models
    }
    scale = sum(shares.values())
    return tuple(
        dataclasses.replace(
            model, share=_round_share(shares[model.name] / scale)
        )
        for model in models
    )


def _round_share(share: float) -> float:
    return max(SHARE_STEP, round(share / SHARE_STEP) * SHARE_STEP)
