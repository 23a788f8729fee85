"""Parses the words of a command line into a task, using Fire.

A command is a method decorated with :func:`command` that returns a
:class:`Task`.  The task runs only after all words have been parsed.
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
    """Holds a command that is ready to run."""

    run: abc.Callable[[], commands.Result | None]

    def __dir__(self) -> list[str]:
        # Fire looks up further words as members of the task, which has none.
        return []


def command(method: abc.Callable[P, Task]) -> abc.Callable[P, Task]:
    """Pass words to a command as text, converted to its annotated types.

    Fire on its own would read the name 1e3 as a number.
    """
    signature = inspect.signature(method)
    types_by_name = t.get_type_hints(method)

    @functools.wraps(method)
    def convert(*args: P.args, **kwargs: P.kwargs) -> Task:
        bound = signature.bind(*args, **kwargs)
        for name, value in bound.arguments.items():
            if name not in types_by_name:
                continue
            try:
                bound.arguments[name] = msgspec.convert(
                    value, types_by_name[name], strict=False
                )
            except msgspec.ValidationError as error:
                raise exceptions.SettingsError(
                    "command", name, f"{value!r} is not accepted; {error}"
                ) from error
        return method(*bound.args, **bound.kwargs)

    return decorators.SetParseFn(str)(convert)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Holds the options that any command accepts, at any position."""

    address: str = ""
    key_file: str = ""
    timeout_s: float = client.CALL_TIMEOUT_S
    json: bool = False

    def connect(self) -> client.Client:
        """Return a client for the options and the environment variables."""
        addresses = client.read_addresses(self.address)
        key = client.read_key(self.key_file)
        return client.Client(addresses, key, self.timeout_s)


def split_options(words: list[str]) -> tuple[Options, list[str]]:
    """Separate the options of :class:`Options` from the other words.

    Raises
    ------
    SettingsError
        If an option has no value or a value of the wrong type.
    """
    types_by_name = t.get_type_hints(Options)
    values: dict[str, str] = {}
    other_words: list[str] = []
    remaining = list(words)
    while remaining:
        word = remaining.pop(0)
        option, has_value, value = word.partition("=")
        name = option.removeprefix("--").replace("-", "_")
        if not word.startswith("--") or name not in types_by_name:
            other_words.append(word)
            continue
        if not has_value:
            is_flag = types_by_name[name] is bool
            value = (
                "true" if is_flag else remaining.pop(0) if remaining else ""
            )
        values[name] = value
    try:
        return msgspec.convert(values, Options, strict=False), other_words
    except msgspec.ValidationError as error:
        raise exceptions.SettingsError(
            "command", "options", str(error)
        ) from error


def _clean_help(text: str) -> str:
    # Fire's help begins with the name of the command, and it lists the
    # attribute FIRE_METADATA, which Fire sets on each command, as a group.
    text = text.partition(".\n\n")[2]
    marker = (
        "GROUPS\n    GROUP is one of the following:\n\n     FIRE_METADATA\n\n"
    )
    return text.replace(marker, "").replace("GROUP | NAME", "NAME")


def parse(
    make_commands: abc.Callable[[Options], object],
    words: list[str],
    options: Options,
) -> Task | None:
    """Parse words into a task, or return None if they asked for help.

    Raises
    ------
    SettingsError
        If a word cannot be parsed.
    """
    fire_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(fire_output):
            task = fire.Fire(
                make_commands(options),
                words,
                PROGRAM,
                serialize=lambda _: None,
            )
    except core.FireExit as fire_exit:
        if fire_exit.code == 0:
            print(_clean_help(fire_output.getvalue()), end="")
            return None
        problem = fire_output.getvalue().partition("\n")[0]
        raise exceptions.SettingsError(
            "command", " ".join(words), problem.removeprefix("ERROR: ")
        ) from None
    if not isinstance(task, Task):
        raise exceptions.SettingsError(
            "command", " ".join(words), f"no command; see {PROGRAM} --help"
        )
    return task
