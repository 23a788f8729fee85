"""Runs an entry on a hosted platform: assembles its parts and stops them."""

from collections import abc
import functools
import pathlib
import signal
import socket
import typing as t

from absl import logging
import trio

from sycamorespool import asgi
from sycamorespool.callers import clients
from sycamorespool.callers import server
from sycamorespool import context_setup
from sycamorespool.decisions import stopping
from sycamorespool import domain_owner
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool import metrics_page
from sycamorespool import node_settings
from sycamorespool import partition_share
from sycamorespool.peers import load_exchange
from sycamorespool.peers import peer_calls
from sycamorespool.peers import peer_probes
from sycamorespool.peers import peer_reads
from sycamorespool.peers import reach_watch
from sycamorespool.peers import state_handover
from sycamorespool.platform import headers
from sycamorespool import request_limits
from sycamorespool.requests import explanations
from sycamorespool.requests import hosted_callers
from sycamorespool import stall_detection
from sycamorespool.store import config_follower
from sycamorespool.store import entry_announcements
from sycamorespool.store import registry_follower
from sycamorespool.store import server_ends

# The load balancer probes an entry once a second and removes it after two
# failed probes.
BALANCER_DELAY_S = 2.3
# Part of ``bounds.stop_s`` that is left for the last answers and exiting.
EXIT_RESERVE_S = 0.4
SETTINGS_CHECK_PERIOD_S = 1.0
# Pause before a task that failed is run again.
RESTART_PAUSE_S = 1.0
NOT_LISTENING: abc.Mapping[str, socket.socket] = {}

log = logs.make_logger("entry")


def _make_readiness_app(context: entry_context.EntryContext) -> asgi.App:
    async def app(
        scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        is_known = scope["path"] == headers.READY_PATH
        ready_status = 200 if context.is_ready() else 503
        status = ready_status if is_known else 404
        await asgi.send_response(send, asgi.Response(status))

    return app


def _make_operators_app(context: entry_context.EntryContext) -> asgi.App:
    explain = explanations.make_app(context)
    return metrics_page.make_app(context, {explanations.PATH: explain})


async def _stop_on_signal(
    context: entry_context.EntryContext, stop: trio.Event
) -> None:
    """Stop the entry at the first signal; those that follow change nothing."""
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                if not context.is_stopping:
                    now_s = trio.current_time()
                    end_s = now_s + _find_grace_s(context)
                    context.stop = stopping.Stop(now_s, end_s)
                    nursery.start_soon(
                        _keep_running, partition_share.release, context
                    )
                    nursery.start_soon(_drain, context, stop)


async def _drain(
    context: entry_context.EntryContext, stop: trio.Event
) -> None:
    log.info(
        "stopping, open requests are finished",
        open=context.requests_open,
    )
    with trio.move_on_after(_find_grace_s(context)):
        await trio.sleep(BALANCER_DELAY_S)
    stop.set()


def _find_grace_s(context: entry_context.EntryContext) -> float:
    """Return the time from a stop signal in which requests may end."""
    return max(0.0, context.settings.bounds.stop_s - EXIT_RESERVE_S)


def _reload(context: entry_context.EntryContext, path: str) -> None:
    try:
        loaded = node_settings.load(path)
    except exceptions.SettingsError as error:
        log.error(
            "settings not reloaded, the former ones stay",
            file=path,
            error=error,
        )
        return
    changes = node_settings.find_changed_sections(context.settings, loaded)
    context.settings = loaded
    log.info("settings reloaded", file=path, name=",".join(changes))


async def _reload_on_signal(
    context: entry_context.EntryContext, path: str
) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            _reload(context, path)


async def _reload_on_change(
    context: entry_context.EntryContext, path: str, changed_ns: int
) -> None:
    """Reload the settings when their file changes, also without SIGHUP.

    ``changed_ns`` is when the file had changed before it was loaded.
    """
    while True:
        await trio.sleep(SETTINGS_CHECK_PERIOD_S)
        found_ns = _read_mtime_ns(path)
        if found_ns not in (0, changed_ns):
            changed_ns = found_ns
            _reload(context, path)


def _read_mtime_ns(path: str) -> int:
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError:
        # The file is being replaced; the next check finds it again.
        return 0


async def _keep_running(
    run_task: abc.Callable[..., abc.Awaitable[t.Any]],
    context: entry_context.EntryContext,
    *args: t.Any,
) -> None:
    """Run a task of the entry; run it again if it fails.

    An error in one task does not end the process, which would close the
    connections of all callers.
    """
    name = f"{run_task.__module__.rpartition('.')[2]}.{run_task.__name__}"
    while True:
        try:
            await run_task(context, *args)
            return
        except Exception:
            context.metrics.count("tasks_failed", name)
            logging.exception("entry: a task failed, it is run again")
        await trio.sleep(RESTART_PAUSE_S)


async def _serve_requests(
    context: entry_context.EntryContext,
    stop: trio.Event,
    shared: clients.Clients,
    listening: abc.Mapping[str, socket.socket],
) -> None:
    """Serve callers and other entries until a stop, and its grace, end."""
    listen = context.settings.listen
    peers_app = peer_calls.make_app(
        hosted_callers.CallersApp(context, serves_peers=True),
        {
            peer_reads.PATH: peer_reads.make_app(context),
            peer_probes.PATH: peer_probes.make_app(context),
            load_exchange.PATH: load_exchange.make_app(context),
            state_handover.PATH: state_handover.make_app(context),
        },
    )
    serve = functools.partial(
        server.serve,
        limits=context.settings.limits,
        stop=stop,
        grace_s=max(0.0, _find_grace_s(context) - BALANCER_DELAY_S),
        is_leaving=lambda: context.is_stopping,
        find_limits=functools.partial(request_limits.find, context),
        shared=shared,
        listening=listening,
    )
    async with trio.open_nursery() as nursery:
        for app, address in (
            (hosted_callers.CallersApp(context), listen.callers),
            (peers_app, listen.peers),
        ):
            nursery.start_soon(serve, app, address)


async def run(
    path: str, listening: abc.Mapping[str, socket.socket] = NOT_LISTENING
) -> None:
    """Run an entry with the settings of a file until a signal stops it.

    Parameters
    ----------
    listening : mapping
        Sockets that listen already, by address.

    Raises
    ------
    SettingsError
        If the file cannot be read or has invalid settings.
    """
    changed_ns = _read_mtime_ns(path)
    loaded = node_settings.load(path)
    context = context_setup.make_context(loaded)
    stop = trio.Event()
    shared = clients.Clients(
        loaded.limits,
        lambda reason: context.metrics.count("clients_closed", reason),
    )
    async with trio.open_nursery() as nursery:
        start = nursery.start_soon
        start_kept = functools.partial(start, _keep_running)
        start_kept(_reload_on_signal, context, path)
        start_kept(_reload_on_change, context, path, changed_ns)
        start_kept(config_follower.run, context)
        start_kept(registry_follower.run, context)
        start_kept(entry_announcements.run, context)
        start_kept(partition_share.hold, context)
        start_kept(domain_owner.run, context)
        start_kept(stall_detection.watch, context)
        start_kept(server_ends.run, context)
        start_kept(reach_watch.run, context)
        start_kept(load_exchange.run, context)
        for app, address in (
            (_make_readiness_app(context), loaded.listen.readiness),
            (_make_operators_app(context), loaded.listen.metrics),
        ):
            serve = functools.partial(server.serve, shared=shared)
            start(serve, app, address, loaded.limits, trio.Event())
        start(_stop_on_signal, context, stop)
        log.info(
            "started",
            name=context.name,
            incarnation=context.incarnation,
            count=loaded.platform.partitions,
        )
        await _serve_requests(context, stop, shared, listening)
        log.info("stopped", open=context.requests_open)
        nursery.cancel_scope.cancel()
    log.info("ended", name=context.name)
