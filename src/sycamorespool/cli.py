"""The command line."""

import os
import signal
import sys
import time

from absl import logging
import fire
import trio

from sycamorespool import daemon
from sycamorespool import exceptions
from sycamorespool import settings
from sycamorespool.standins import engine
from sycamorespool.standins import platform
from sycamorespool.standins import service


async def _run_until_signal(serve, *args) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, *args, stop)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as got:
            async for _ in got:
                stop.set()
                break


def _split(words: str | tuple[str, ...]) -> list[str]:
    # Fire turns a list with commas into a tuple.
    names = words if isinstance(words, tuple) else words.split(",")
    return [name for name in names if name]


class Standin:
    """Small stand-ins of the outside systems."""

    def platform(
        self, listen: str, load_s: float = 0.5, parallel_loads: int = 8
    ) -> None:
        """Serve a stand-in platform."""
        trio.run(
            _run_until_signal, platform.serve, listen, load_s, parallel_loads
        )

    def engine(
        self,
        vm: str,
        listen: str,
        platform_address: str,
        token_s: float = 0.01,
    ) -> None:
        """Serve a stand-in model engine."""
        started = int(time.time() * 1000)
        standin = engine.Engine(vm, started, platform_address, token_s)
        trio.run(_run_until_signal, engine.serve, standin, listen)

    def engines(
        self,
        vms: str,
        listen: str,
        platform_address: str,
        token_s: float = 0.01,
    ) -> None:
        """Serve several stand-in model engines in one process.

        ``vms`` and ``listen`` are lists separated by commas.
        """
        started = int(time.time() * 1000)
        standins = {
            address: engine.Engine(vm, started, platform_address, token_s)
            for vm, address in zip(_split(vms), _split(listen), strict=True)
        }
        trio.run(_run_until_signal, engine.serve_many, standins)

    def service(self, vm: str, listen: str) -> None:
        """Serve a stand-in plain service."""
        standin = service.PlainService(vm, int(time.time() * 1000))
        trio.run(_run_until_signal, service.serve, standin, listen)


class Commands:
    """The commands of sycamorespool."""

    def __init__(self) -> None:
        self.standin = Standin()

    def entry(self, settings_file: str) -> None:
        """Run an entry."""
        trio.run(daemon.run, settings.load(settings_file))

    def check_settings(self, settings_file: str) -> str:
        """Check a settings file."""
        settings.load(settings_file)
        return f"{settings_file}: ok"


def main() -> None:
    """Run one command."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    os.environ.setdefault("PAGER", "cat")
    try:
        fire.Fire(Commands, name="sycamorespool")
    except exceptions.SycamorespoolError as error:
        print(f"sycamorespool: {error}", file=sys.stderr)
        sys.exit(2)
