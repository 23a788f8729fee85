"""The grantor: leave to send work to the groups of the owned domains."""

import dataclasses

import trio

from sycamorespool import models
from sycamorespool import owner

GRANT_TTL_S = 2.0
WARM_AFTER_REQUESTS = 8


@dataclasses.dataclass(slots=True)
class Grantor:
    """The grants that this process has given.

    Parameters
    ----------
    owner : owner.Owner
        What is known of the groups.
    promised : dict
        Places and expiry of each grant, by group id and entry.
    """

    owner: owner.Owner
    promised: dict[str, dict[str, tuple[int, float]]] = dataclasses.field(
        default_factory=dict
    )


def grant(grantor: Grantor, ask: models.GrantAsk) -> models.GrantAnswer | None:
    """Answer an entry that asks for grants, or None if not the owner."""
    own, env = grantor.owner, grantor.owner.env
    if not own.owns(ask.unit):
        return None
    now_s = trio.current_time()
    grants = [
        given
        for group_id, group in env.fleet.groups.items()
        if group.unit == ask.unit
        and own.is_whole(group_id, now_s)
        and (given := _grant_group(grantor, group_id, ask, now_s))
    ]
    return models.GrantAnswer(ask.unit, env.fleet.config_offset, tuple(grants))


def _grant_group(
    grantor: Grantor, group_id: str, ask: models.GrantAsk, now_s: float
) -> models.Grant | None:
    env = grantor.owner.env
    group = env.fleet.groups[group_id]
    leader = env.vms.get(group.members[0])
    service = env.fleet.config.services.get(group.service)
    if leader is None or service is None:
        return None
    if not env.fleet.config.is_in_service(leader.data_centre, leader.vm):
        return None
    report = grantor.owner.reports[leader.vm][0]
    is_warm = report.completed >= WARM_AFTER_REQUESTS
    limit = service.warm_limit if is_warm else service.cold_limit
    promised = grantor.promised.setdefault(group_id, {})
    others = sum(
        places
        for entry, (places, expires_s) in promised.items()
        if entry != ask.entry and expires_s > now_s
    )
    share = -(-limit // max(1, len(env.entries())))
    places = max(0, min(share, limit - others))
    held, held_until_s = promised.get(ask.entry, (0, 0.0))
    counted = max(places, held) if held_until_s > now_s else places
    promised[ask.entry] = (counted, now_s + GRANT_TTL_S)
    return models.Grant(
        group_id,
        group.service,
        group.epoch,
        places,
        GRANT_TTL_S,
        leader.address,
        leader.data_centre,
        report.incarnation,
        is_warm,
    )
