"""Runs an entry: creates its components, starts them and stops them."""

import contextlib
import functools
import signal

import trio

from sycamorespool import asgi_server
from sycamorespool.callers import app as callers_app
from sycamorespool import claims
from sycamorespool.entries import messages
from sycamorespool.entries import transport
from sycamorespool import entry_states
from sycamorespool import environment
from sycamorespool import fleet
from sycamorespool import gauges
from sycamorespool import grant_user
from sycamorespool import grantor
from sycamorespool import group_control
from sycamorespool import invariants
from sycamorespool.keys import key_owners
from sycamorespool.keys import key_resolution
from sycamorespool.keys import keyed_calls
from sycamorespool import logs
from sycamorespool import metrics
from sycamorespool.operators import api
from sycamorespool import owner
from sycamorespool import peer_log
from sycamorespool import peer_watch
from sycamorespool import settings
from sycamorespool import usage_exchange

READINESS_NOTICE_S = 0.5

log = logs.make_logger("entry")


def _make_peer_handlers(
    own: owner.Owner,
    watch: peer_watch.PeerWatch,
    user: grant_user.GrantUser,
    followed_log: peer_log.PeerLog,
    key_owner: key_owners.KeyPartitionOwner,
    exchange: usage_exchange.UsageExchange,
) -> transport.Handlers:
    """Return the handlers of the messages from other entries, by type."""

    async def give_grants(message: messages.GrantsRequest) -> messages.Message:
        return await grant_user.answer_ask(user, message)

    return {
        messages.GrantsRequest: give_grants,
        messages.StateRequest: entry_states.make_handler(watch.env, own),
        **peer_watch.make_handlers(watch),
        **peer_log.make_handlers(followed_log),
        **keyed_calls.make_handlers(key_owner),
        **key_resolution.make_handlers(key_owner),
        **usage_exchange.make_handlers(exchange),
    }


async def _stop_on_signal(
    env: environment.Environment,
    watch: peer_watch.PeerWatch,
    keyed: keyed_calls.KeyedCalls,
    stop: trio.Event,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
    log.info("stopping", open=env.requests_open)
    env.is_stopping = True
    env.is_ready = False
    # The load balancer polls readiness; the requests that it sends before it
    # notices are still served.
    await trio.sleep(READINESS_NOTICE_S)
    await claims.wait_until_released(env)
    env.is_draining = True
    await peer_watch.leave(watch)
    with trio.move_on_after(env.settings.limits.drain_timeout_s):
        await env.wait_until_idle()
        await keyed.wait_until_reported()
    invariants.check(
        "graceful_stop", not env.requests_open, f"open={env.requests_open}"
    )
    stop.set()


async def _run_components(env: environment.Environment) -> None:
    """Run the components of an entry until it is told to stop."""
    own = owner.Owner(env)
    watch = peer_watch.make_watch(env)
    local_grantor = grantor.Grantor(own, watch)
    user = grant_user.GrantUser(env, local_grantor, watch)
    followed_log = peer_log.PeerLog(env, watch.state)
    key_owner = key_owners.KeyPartitionOwner(
        env, lambda: peer_watch.list_heard(watch)
    )
    exchange = usage_exchange.UsageExchange(env)
    listen, statsd_settings = env.settings.listen, env.settings.statsd
    statsd = metrics.make_client(
        statsd_settings.address, statsd_settings.prefix
    )
    stop = trio.Event()
    metrics.count_violations(env.metrics)
    async with trio.open_nursery() as nursery:
        keyed = keyed_calls.KeyedCalls(env, key_owner, nursery)
        nursery.start_soon(_stop_on_signal, env, watch, keyed, stop)
        nursery.start_soon(fleet.follow_log, env)
        nursery.start_soon(fleet.follow_membership, env)
        nursery.start_soon(fleet.write_snapshots, env)
        nursery.start_soon(
            claims.run,
            env,
            functools.partial(claims.list_live_entries, env, watch.state),
        )
        nursery.start_soon(group_control.run, own)
        nursery.start_soon(peer_watch.run, watch)
        nursery.start_soon(peer_log.run, followed_log)
        nursery.start_soon(grantor.run, local_grantor)
        nursery.start_soon(grant_user.ask_for_grants, user)
        nursery.start_soon(key_owners.run, key_owner)
        nursery.start_soon(usage_exchange.run, exchange)
        nursery.start_soon(env.admission.run, env.held)
        nursery.start_soon(
            metrics.export, env.metrics, statsd, gauges.Gauges(env, own)
        )
        await nursery.start(
            transport.serve,
            listen.peers,
            env.transport,
            _make_peer_handlers(
                own, watch, user, followed_log, key_owner, exchange
            ),
        )
        operators = api.make_app(env, own, key_owner)
        nursery.start_soon(
            asgi_server.serve, operators, listen.operators, stop
        )
        log.info("started", name=env.name)
        await callers_app.serve(env, stop, keyed)
        nursery.cancel_scope.cancel()


async def run(chosen: settings.Settings) -> None:
    """Run an entry until it is told to stop."""
    env = environment.make_environment(chosen)
    # A socket that is left to the garbage collector may be closed on a
    # thread of the socket library, and the other sockets wait for that.
    with contextlib.closing(env.transport):
        await _run_components(env)
    log.info("stopped", name=env.name)
