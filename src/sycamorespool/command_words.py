"""From the words of a command line to a task, by Fire.

A command is a method under :func:`command` that returns a :class:`Task`;
it is run only once every word is understood.
"""

from collections import abc
import contextlib
import dataclasses
import functools
import inspect
import io
import typing as t

import fire
from fire import core
from fire import decorators
import msgspec

from sycamorespool import exceptions
from sycamorespool.operators import client
from sycamorespool.operators import commands

PROGRAM = "sycamorespool"
P = t.ParamSpec("P")


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A command that is ready to run once the whole line is understood."""

    run: abc.Callable[[], commands.Result | None]

    def __dir__(self) -> list[str]:
        # Fire takes further words for members: there are none.
        return []


def command(method: abc.Callable[P, Task]) -> abc.Callable[P, Task]:
    """Take the words of a command as text and turn them into its types.

    Left to itself, Fire would read the name 1e3 as a number.
    """
    signature = inspect.signature(method)
    kinds = t.get_type_hints(method)

    @functools.wraps(method)
    def convert(*args: P.args, **kwargs: P.kwargs) -> Task:
        given = signature.bind(*args, **kwargs)
        for name, value in given.arguments.items():
            if name not in kinds:
                continue
            try:
                given.arguments[name] = msgspec.convert(
                    value, kinds[name], strict=False
                )
            except msgspec.ValidationError as error:
                raise exceptions.SettingsError(
                    "command", name, f"{value!r} is not accepted; {error}"
                ) from error
        return method(*given.args, **given.kwargs)

    return decorators.SetParseFn(str)(convert)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options that any command may have, anywhere among its words."""

    address: str = ""
    key_file: str = ""
    timeout_s: float = client.CALL_TIMEOUT_S
    json: bool = False

    def connect(self) -> client.Client:
        """Return a client as the options and the environment say."""
        addresses = client.read_addresses(self.address)
        key = client.read_key(self.key_file)
        return client.Client(addresses, key, self.timeout_s)


def take_options(words: list[str]) -> tuple[Options, list[str]]:
    """Split the options of :class:`Options` from the other words.

    Raises
    ------
    SettingsError
        If an option has no value or one of another type.
    """
    kinds = t.get_type_hints(Options)
    values: dict[str, str] = {}
    others: list[str] = []
    waiting = list(words)
    while waiting:
        word = waiting.pop(0)
        head, has_value, value = word.partition("=")
        name = head.removeprefix("--").replace("-", "_")
        if not word.startswith("--") or name not in kinds:
            others.append(word)
            continue
        if not has_value:
            is_flag = kinds[name] is bool
            value = "true" if is_flag else waiting.pop(0) if waiting else ""
        values[name] = value
    try:
        return msgspec.convert(values, Options, strict=False), others
    except msgspec.ValidationError as error:
        raise exceptions.SettingsError(
            "command", "options", str(error)
        ) from error


def _clean_help(text: str) -> str:
    # Fire begins by naming the command, and lists its own mark of a method.
    text = text.partition(".\n\n")[2]
    mark = (
        "GROUPS\n    GROUP is one of the following:\n\n     FIRE_METADATA\n\n"
    )
    return text.replace(mark, "").replace("GROUP | NAME", "NAME")


def parse(
    make_commands: abc.Callable[[Options], object],
    words: list[str],
    options: Options,
) -> Task | None:
    """Turn words into a task, or None if they asked for help.

    Raises
    ------
    SettingsError
        If a word is not understood.
    """
    printed = io.StringIO()
    try:
        with contextlib.redirect_stderr(printed):
            task = fire.Fire(
                make_commands(options),
                words,
                PROGRAM,
                serialize=lambda _: None,
            )
    except core.FireExit as stopped:
        if stopped.code == 0:
            print(_clean_help(printed.getvalue()), end="")
            return None
        problem = printed.getvalue().partition("\n")[0]
        raise exceptions.SettingsError(
            "command", " ".join(words), problem.removeprefix("ERROR: ")
        ) from None
    if not isinstance(task, Task):
        raise exceptions.SettingsError(
            "command", " ".join(words), f"no command; see {PROGRAM} --help"
        )
    return task
