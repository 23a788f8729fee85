"""The only daemon: an entry, wired from its parts."""

import signal

from absl import logging
import trio

from sycamorespool import asgi
from sycamorespool.callers import app as callers_app
from sycamorespool.entries import transport
from sycamorespool import environment
from sycamorespool import fleet
from sycamorespool import gauges
from sycamorespool import grant_user
from sycamorespool import grantor
from sycamorespool import metrics
from sycamorespool.operators import api
from sycamorespool import owner
from sycamorespool import settings
from sycamorespool import survey

READINESS_NOTICE_S = 0.5


def _make_peer_handlers(
    env: environment.Environment, own: owner.Owner, granter: grantor.Grantor
) -> transport.Handlers:
    """Return the handler of each message that other entries send."""

    async def answer_ping(message: transport.Ping) -> transport.Message:
        return transport.Pong(env.name)

    async def give_grants(
        message: transport.GrantsWanted,
    ) -> transport.Message:
        answer = grantor.grant(granter, message.ask)
        if answer is None:
            return transport.Refused("not the owner")
        return transport.GrantsGiven(answer)

    return {
        transport.Ping: answer_ping,
        transport.GrantsWanted: give_grants,
        transport.StateWanted: survey.make_handler(env, own),
    }


async def _stop_on_signal(
    env: environment.Environment, stop: trio.Event
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
    logging.info("entry: stopping open=%d", env.requests_open)
    env.is_stopping = True
    env.is_ready = False
    # The balancer polls readiness: requests that it sends before it notices
    # still get an answer.
    await trio.sleep(READINESS_NOTICE_S)
    with trio.move_on_after(env.settings.limits.drain_timeout_s):
        await env.wait_until_idle()
    stop.set()


async def run(chosen: settings.Settings) -> None:
    """Run an entry until it is told to stop."""
    env = environment.make_environment(chosen)
    own = owner.Owner(env)
    granter = grantor.Grantor(own)
    stop = trio.Event()
    listen = chosen.listen
    statsd = metrics.make_client(chosen.statsd.address, chosen.statsd.prefix)
    metrics.count_violations(env.metrics)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, env, stop)
        nursery.start_soon(fleet.follow_log, env)
        nursery.start_soon(fleet.follow_membership, env)
        nursery.start_soon(fleet.claim_units, env)
        nursery.start_soon(owner.run, own)
        nursery.start_soon(grant_user.ask_for_grants, env, granter)
        nursery.start_soon(
            metrics.export, env.metrics, statsd, gauges.Gauges(env, own)
        )
        await nursery.start(
            transport.serve,
            listen.peers,
            _make_peer_handlers(env, own, granter),
        )
        operators = api.make_app(env, own)
        nursery.start_soon(asgi.serve, operators, listen.operators, stop)
        logging.info("entry: started name=%s", env.name)
        await callers_app.serve(env, stop)
        nursery.cancel_scope.cancel()
    env.transport.close()
    logging.info("entry: stopped name=%s", env.name)
