"""Serves ASGI applications of operators and stand-ins with hypercorn."""

import typing as t

import hypercorn.config
import hypercorn.trio
import trio

from sycamorespool import asgi


async def serve(
    app: asgi.App,
    address: str,
    stop: trio.Event,
    grace_s: float = 3.0,
    task_status: trio.TaskStatus[t.Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application at ``IP:port`` until ``stop`` is set.

    Requests that are open then have ``grace_s`` seconds to complete.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.graceful_timeout = grace_s
    config.shutdown_timeout = grace_s
    config.keep_alive_timeout = 60
    config.h11_max_incomplete_size = asgi.MAX_HEAD_BYTES
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    await hypercorn.trio.serve(
        app,  # type: ignore[arg-type]
        config,
        shutdown_trigger=stop.wait,
        mode="asgi",
        task_status=task_status,
    )
