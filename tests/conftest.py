"""Lets CI pass over the tests that KNOWN-RED.txt lists, and prints them.

A listed test has to fail: if it passes, or no longer exists, the run fails,
so that the list stays true.
"""

from collections import abc
import dataclasses
import pathlib
import typing as t

import pytest

from sycamorespool import invariants

LIST_NAME = "KNOWN-RED.txt"
FIELDS = ("test id", "command and seed", "what was seen", "issue")


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry of the list."""

    test_id: str
    command: str
    seen: str
    issue: str


def parse_list(text: str) -> dict[str, KnownRed]:
    """Return the entries of the list by test id.

    Raises
    ------
    pytest.UsageError
        If a line has not the four fields, or a test is listed twice.
    """
    entries: dict[str, KnownRed] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != len(FIELDS) or not all(fields):
            raise pytest.UsageError(
                f"{LIST_NAME}:{number}: wanted {' | '.join(FIELDS)}"
            )
        if fields[0] in entries:
            raise pytest.UsageError(
                f"{LIST_NAME}:{number}: {fields[0]} is listed twice"
            )
        entries[fields[0]] = KnownRed(*fields)
    return entries


ENTRIES = pytest.StashKey[dict[str, KnownRed]]()
FAILED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; violations of invariants raise."""
    invariants.set_strict(True)
    path = pathlib.Path(config.rootpath, LIST_NAME)
    text = path.read_text() if path.exists() else ""
    config.stash[ENTRIES] = parse_list(text)
    config.stash[FAILED] = []


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Refuse entries of tests that do not exist, if all were collected."""
    if config.args_source is pytest.Config.ArgsSource.ARGS:
        return
    missing = set(config.stash[ENTRIES]) - {item.nodeid for item in items}
    if missing:
        raise pytest.UsageError(f"{LIST_NAME}: no test {sorted(missing)}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[t.Any]
) -> abc.Generator[None, pytest.TestReport, pytest.TestReport]:
    """Turn the failure of a listed test into a pass over, and a pass into one.

    Only the call of the test counts: an error of a fixture fails the run.
    """
    report = yield
    entry = item.config.stash[ENTRIES].get(item.nodeid)
    if entry is None or report.when != "call":
        return report
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = f"known red: {entry.seen}"
        item.config.stash[FAILED].append(entry)
    elif report.passed:
        report.outcome = "failed"
        report.longrepr = f"passes, but {LIST_NAME} lists it"
    return report


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the listed tests that failed."""
    failed = config.stash[FAILED]
    if not failed:
        return
    terminalreporter.section(f"known red ({LIST_NAME})")
    for entry in failed:
        terminalreporter.line(f"{entry.test_id}: {entry.seen}")
        terminalreporter.line(f"    {entry.command} (issue {entry.issue})")
