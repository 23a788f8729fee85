"""Defines the commands of the command line and runs them."""

from collections import abc
import os
import pathlib
import signal
import sys
import time
import typing as t

import msgspec
import trio

import sycamorespool
from sycamorespool import command_parsing
from sycamorespool import daemon
from sycamorespool import decoding
from sycamorespool import environment
from sycamorespool import exceptions
from sycamorespool import hosted
from sycamorespool import logs
from sycamorespool import node_settings
from sycamorespool.operators import client
from sycamorespool.operators import commands
from sycamorespool.operators import placement_query
from sycamorespool import report as report_pages
from sycamorespool import settings as settings_files
from sycamorespool.standins import engine
from sycamorespool.standins import platform
from sycamorespool.standins import service

EXIT_OF_ERROR: dict[type[exceptions.SycamorespoolError], int] = {
    exceptions.SettingsError: commands.EXIT_USAGE,
    exceptions.ConfigurationError: commands.EXIT_INVALID,
    exceptions.OperatorAnswerLost: commands.EXIT_UNKNOWN,
    exceptions.OperatorRefused: commands.EXIT_REFUSED,
}


async def _run_until_signal(
    serve: abc.Callable[..., abc.Awaitable[None]], *args: t.Any
) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, *args, stop)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                stop.set()
                break


class Standin:
    """Run small stand-ins for the systems around an entry."""

    @command_parsing.command
    def platform(
        self, *, listen: str, load_s: float = 0.5, parallel_loads: int = 8
    ) -> command_parsing.Task:
        """Run a stand-in for the platform."""
        return command_parsing.Task(
            lambda: trio.run(
                _run_until_signal,
                platform.serve,
                listen,
                load_s,
                parallel_loads,
            )
        )

    @command_parsing.command
    def engine(
        self,
        *,
        vm: str,
        listen: str,
        platform_address: str,
        token_s: float = 0.01,
    ) -> command_parsing.Task:
        """Run a stand-in for a model engine."""

        def run() -> None:
            started = int(time.time() * 1000)
            standin = engine.Engine(vm, started, platform_address, token_s)
            trio.run(_run_until_signal, engine.serve, standin, listen)

        return command_parsing.Task(run)

    @command_parsing.command
    def engines(
        self, *, vms: str, listen: str, platform_address: str
    ) -> command_parsing.Task:
        """Run stand-ins for several model engines in one process.

        ``vms`` and ``listen`` are comma-separated lists of equal length.
        """

        def run() -> None:
            started = int(time.time() * 1000)
            engines_by_address = {
                address: engine.Engine(vm, started, platform_address)
                for vm, address in zip(
                    vms.split(","), listen.split(","), strict=True
                )
            }
            trio.run(_run_until_signal, engine.serve_many, engines_by_address)

        return command_parsing.Task(run)

    @command_parsing.command
    def service(self, *, vm: str, listen: str) -> command_parsing.Task:
        """Run a stand-in for a plain service."""

        def run() -> None:
            standin = service.PlainService(vm, int(time.time() * 1000))
            trio.run(_run_until_signal, service.serve, standin, listen)

        return command_parsing.Task(run)


class Keys:
    """List and settle keyed calls whose outcome is not known."""

    def __init__(self, options: command_parsing.Options) -> None:
        self._options = options

    @command_parsing.command
    def list(self) -> command_parsing.Task:
        """List the keyed calls that have no outcome."""
        return command_parsing.Task(
            lambda: commands.list_keys(self._options.connect())
        )

    @command_parsing.command
    def settle(
        self,
        workspace: str,
        key: str,
        attempt_id: str,
        resolution: str,
        *,
        author: str = "",
    ) -> command_parsing.Task:
        """Record whether a call was run: RESOLUTION is ran or not_run."""

        def run() -> commands.Result:
            if resolution not in ("ran", "not_run"):
                raise exceptions.SettingsError(
                    "command", "RESOLUTION", "wanted ran or not_run"
                )
            operator = self._options.connect()
            return commands.resolve_key(
                operator, workspace, key, attempt_id, resolution, author
            )

        return command_parsing.Task(run)


def _read_patch(file: str) -> dict[str, t.Any]:
    try:
        is_stdin = file == "-"
        data = (
            sys.stdin.buffer.read()
            if is_stdin
            else pathlib.Path(file).read_bytes()
        )
        return decoding.decode_json(data, dict[str, t.Any])
    except (OSError, exceptions.Undecodable) as error:
        raise exceptions.ConfigurationError(f"{file}: {error}") from error


class Commands:
    """Serve models whose replicas span several VMs, and operate the fleet.

    Commands of operators take --address IP:port[,IP:port...] (or
    SYCAMORESPOOL_ADDRESS) and --key-file FILE (or
    SYCAMORESPOOL_OPERATOR_KEY); those that print data take --json.

    Exit codes: 0 done, 1 failed, 2 bad usage or settings, 3 conflict,
    4 invalid, 5 outcome unknown, 6 not in force everywhere, 7 refused.
    """

    def __init__(self, options: command_parsing.Options) -> None:
        self._options = options
        self.keys = Keys(options)
        self.standin = Standin()

    def _call_operator(
        self, command: abc.Callable[..., commands.Result], *args: t.Any
    ) -> command_parsing.Task:
        return command_parsing.Task(
            lambda: command(self._options.connect(), *args)
        )

    @command_parsing.command
    def entry(self, settings: str) -> command_parsing.Task:
        """Run an entry with the settings of an INI file."""
        return command_parsing.Task(
            lambda: trio.run(daemon.run, settings_files.load(settings))
        )

    @command_parsing.command
    def hosted(self, settings: str) -> command_parsing.Task:
        """Run an entry on a hosted platform."""

        def run() -> None:
            logs.set_up_stdout()
            trio.run(hosted.run, settings)

        return command_parsing.Task(run)

    @command_parsing.command
    def check_settings(
        self, settings: str, *, is_hosted: bool = False
    ) -> command_parsing.Task:
        """Check a settings file and report all its faults."""

        def run() -> commands.Result:
            load = node_settings.load if is_hosted else settings_files.load
            load(settings)
            return commands.Result({"ok": True}, f"{settings}: ok")

        return command_parsing.Task(run)

    @command_parsing.command
    def report(self, results: str, page: str) -> command_parsing.Task:
        """Write an HTML page from a results file of the benchmarks."""

        def run() -> commands.Result:
            report_pages.write(results, page)
            return commands.Result({"page": page}, f"{page}: written")

        return command_parsing.Task(run)

    @command_parsing.command
    def patch(
        self,
        file: str,
        *,
        base_version: int,
        patch_id: str = "",
        author: str = "",
        wait_s: float = commands.IN_FORCE_WAIT_S,
    ) -> command_parsing.Task:
        """Submit a JSON merge patch (FILE, or - for standard input)."""

        def run() -> commands.Result:
            return commands.submit_patch(
                self._options.connect(),
                base_version,
                _read_patch(file),
                patch_id or environment.make_id(),
                author,
                wait_s,
            )

        return command_parsing.Task(run)

    @command_parsing.command
    def look_up(self, patch_id: str) -> command_parsing.Task:
        """Look up the verdict on a patch whose answer was lost."""
        return self._call_operator(commands.look_up_patch, patch_id)

    @command_parsing.command
    def drain(
        self, name: str, *, wait_s: float = commands.IN_FORCE_WAIT_S
    ) -> command_parsing.Task:
        """Take a data centre or a VM out of service."""
        patch_id = environment.make_id()
        return self._call_operator(
            commands.set_in_service, name, False, patch_id, wait_s
        )

    @command_parsing.command
    def restore(
        self, name: str, *, wait_s: float = commands.IN_FORCE_WAIT_S
    ) -> command_parsing.Task:
        """Bring a data centre or a VM back into service."""
        patch_id = environment.make_id()
        return self._call_operator(
            commands.set_in_service, name, True, patch_id, wait_s
        )

    @command_parsing.command
    def configuration(self) -> command_parsing.Task:
        """Show the configuration in force; --json gives the document."""
        return self._call_operator(commands.show_configuration)

    @command_parsing.command
    def status(self, *, metrics: bool = False) -> command_parsing.Task:
        """Show every entry, or with --metrics the metrics of one."""
        if metrics:
            return self._call_operator(commands.show_metrics)
        return self._call_operator(commands.show_status)

    @command_parsing.command
    def groups(self, *, service: str = "") -> command_parsing.Task:
        """List the groups and their state, of one service if given."""
        return self._call_operator(commands.list_groups, service)

    @command_parsing.command
    def explain(self, name: str) -> command_parsing.Task:
        """Explain the state of a VM, group, unit, patch or request."""
        return self._call_operator(commands.explain, name)

    @command_parsing.command
    def explain_request(
        self,
        host: str,
        path: str,
        *,
        method: str = "POST",
        caller_key: str = "",
        model: str = "",
        prompt_tokens: int = 0,
        answer_tokens: int = 0,
        prompt_parts: str = "",
    ) -> command_parsing.Task:
        """Explain where a request would go on a hosted platform, unsent.

        ``--address`` is the metrics address of an entry, and ``prompt_parts``
        a comma-separated list of ids.
        """
        question = {
            "host": host,
            "path": path,
            "method": method,
            "key": caller_key,
            "model": model,
            "prompt_tokens": prompt_tokens,
            "answer_tokens": answer_tokens,
            "prompt_parts": [p for p in prompt_parts.split(",") if p],
        }
        options = self._options
        return command_parsing.Task(
            lambda: placement_query.ask(
                client.read_addresses(options.address),
                question,
                options.timeout_s,
            )
        )


def _print_result(result: commands.Result, as_json: bool) -> None:
    if as_json:
        data = msgspec.json.format(msgspec.json.encode(result.data), indent=2)
        print(data.decode())
    else:
        print(result.text)


def run(words: list[str]) -> int:
    """Run the command that the words give and return its exit code."""
    if words == ["--version"]:
        print(f"{command_parsing.PROGRAM} {sycamorespool.__version__}")
        return commands.EXIT_OK
    try:
        options, others = command_parsing.split_options(words)
        task = command_parsing.parse(Commands, others, options)
        result = task.run() if task else None
    except exceptions.SycamorespoolError as error:
        print(f"{command_parsing.PROGRAM}: {error}", file=sys.stderr)
        codes = (c for k, c in EXIT_OF_ERROR.items() if isinstance(error, k))
        return next(codes, commands.EXIT_FAILED)
    if result is None:
        return commands.EXIT_OK
    _print_result(result, options.json)
    return result.exit_code


def main() -> None:
    """Run the command of the process's arguments and exit with its code."""
    logs.set_up()
    os.environ.setdefault("PAGER", "cat")
    sys.exit(run(sys.argv[1:]))
