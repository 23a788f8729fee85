"""Asks the other entries for their state on behalf of operators.

Entries ask each other only when an operator asks one of them.
"""

import collections.abc

import trio

from sycamorespool.entries import messages
from sycamorespool.entries import transport
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import models
from sycamorespool import owner

PARALLEL_CALLS = 32
Survey = dict[str, models.EntryState | None]


def describe_entry(
    env: environment.Environment, own: owner.Owner, now_s: float
) -> models.EntryState:
    """Return the state that this entry tells the others."""
    groups = env.fleet.groups.values()
    return models.EntryState(
        env.name,
        env.settings.entry.data_centre,
        env.is_ready,
        env.fleet.version,
        env.fleet.offset,
        env.requests_open,
        sum(own.owns(unit) for unit in env.fleet.owners),
        {
            group.group_id: own.is_whole(group.group_id, now_s)
            for group in groups
            if own.owns(group.unit)
        },
    )


def make_handler(
    env: environment.Environment, own: owner.Owner
) -> transport.Handler:
    """Return the handler of the other entries' question."""

    async def tell_state(message: messages.StateWanted) -> messages.Message:
        state = describe_entry(env, own, trio.current_time())
        return messages.StateGiven(state)

    return tell_state


async def _ask(
    env: environment.Environment,
    peer: models.Vm,
    limiter: trio.CapacityLimiter,
    found: Survey,
) -> None:
    async with limiter:
        try:
            reply = await env.transport.call(
                peer.address, messages.StateWanted(env.name)
            )
        except exceptions.PeerError:
            return
    if isinstance(reply, messages.StateGiven):
        found[peer.vm] = reply.state


async def ask_entries(
    env: environment.Environment, own: owner.Owner
) -> collections.abc.Mapping[str, models.EntryState | None]:
    """Return the state of every entry, or None for one that is silent."""
    peers = env.entries()
    found: Survey = dict.fromkeys(sorted(peers.keys() | {env.name}))
    found[env.name] = describe_entry(env, own, trio.current_time())
    limiter = trio.CapacityLimiter(PARALLEL_CALLS)
    async with trio.open_nursery() as nursery:
        for name, peer in peers.items():
            if name != env.name:
                nursery.start_soon(_ask, env, peer, limiter, found)
    return found
