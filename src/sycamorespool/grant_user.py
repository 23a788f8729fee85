"""The loop that asks owners for grants."""

from absl import logging
import trio

from sycamorespool.entries import transport
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import grantor
from sycamorespool import models

ASK_PERIOD_S = 0.5


async def ask_for_grants(
    env: environment.Environment, granter: grantor.Grantor
) -> None:
    """Ask the owner of every domain for grants, for ever."""
    while True:
        async with trio.open_nursery() as nursery:
            for domain in env.domains():
                nursery.start_soon(
                    _ask_owner, env, granter, f"domain/{domain}"
                )
        await trio.sleep(ASK_PERIOD_S)


async def _ask_owner(
    env: environment.Environment, granter: grantor.Grantor, unit: str
) -> None:
    ask = models.GrantAsk(
        env.name, unit, dict(env.held.in_flight), dict(env.held.waiting)
    )
    asked_s = trio.current_time()
    answer = grantor.grant(granter, ask)
    if answer is None:
        answer = await _call_owner(env, ask)
    if answer is not None:
        env.held.put(answer, asked_s)


async def _call_owner(
    env: environment.Environment, ask: models.GrantAsk
) -> models.GrantAnswer | None:
    record = env.fleet.owners.get(ask.unit)
    peer = env.entries().get(record.entry) if record else None
    if peer is None or peer.vm == env.name:
        return None
    try:
        reply = await env.transport.call(
            peer.address, transport.GrantsWanted(ask)
        )
    except exceptions.PeerError as error:
        logging.warning("grants: ask failed unit=%s %s", ask.unit, error)
        return None
    if isinstance(reply, transport.GrantsGiven):
        return reply.answer
    return None
