"""Collect the states of all entries on behalf of operators.

Entries ask each other for their state only when an operator asks one of
them.
"""

import collections.abc

import trio

from sycamorespool.entries import messages
from sycamorespool.entries import transport
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import models
from sycamorespool import owner

# Less than the transport's limit of open sockets (MAX_PEER_SOCKETS), so
# that these calls do not close a socket that is in use.
PARALLEL_CALLS = 32
CALL_TIMEOUT_S = 0.75
EntryStates = dict[str, models.EntryState | None]


def describe_entry(
    env: environment.Environment, own: owner.Owner, now_s: float
) -> models.EntryState:
    """Return the state of this entry, as reported to operators."""
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
    """Return the handler of other entries' requests for the state."""

    async def send_state(message: messages.StateRequest) -> messages.Message:
        state = describe_entry(env, own, trio.current_time())
        return messages.StateReply(state)

    return send_state


async def _fetch_state(
    env: environment.Environment,
    peer: models.Vm,
    limiter: trio.CapacityLimiter,
    states: EntryStates,
) -> None:
    async with limiter:
        try:
            reply = await env.transport.call(
                peer.address, messages.StateRequest(env.name), CALL_TIMEOUT_S
            )
        except exceptions.PeerError:
            return
    if isinstance(reply, messages.StateReply):
        states[peer.vm] = reply.state


async def collect_states(
    env: environment.Environment, own: owner.Owner
) -> collections.abc.Mapping[str, models.EntryState | None]:
    """Return the state of every entry, None for those without an answer."""
    peers = env.entries()
    states: EntryStates = dict.fromkeys(sorted(peers.keys() | {env.name}))
    states[env.name] = describe_entry(env, own, trio.current_time())
    limiter = trio.CapacityLimiter(PARALLEL_CALLS)
    async with trio.open_nursery() as nursery:
        for name, peer in peers.items():
            if name != env.name:
                nursery.start_soon(_fetch_state, env, peer, limiter, states)
    return states
