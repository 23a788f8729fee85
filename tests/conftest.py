"""Treats the tests listed in KNOWN-RED.txt as expected failures.

Failures of listed tests are printed and do not fail the run.  A listed test
that passes or no longer exists fails the run, so that the list stays
current.  An entry with ``intermittent`` as its fifth field is of a test that
has failed only at times: it may pass, and is printed either way.
"""

from collections import abc
import dataclasses
import pathlib
import typing as t

import pytest

from sycamorespool import invariants

LIST_NAME = "KNOWN-RED.txt"
FIELDS = ("test id", "command and seed", "what was seen", "issue")
INTERMITTENT = "intermittent"


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFailure:
    """Holds one entry of the list."""

    test_id: str
    command: str
    seen: str
    issue: str
    is_intermittent: bool = False


def parse_list(text: str) -> dict[str, KnownFailure]:
    """Return the entries of the list by test id.

    Raises
    ------
    pytest.UsageError
        If a line does not have four fields, and at most ``intermittent``
        as its fifth, or a test is listed twice.
    """
    entries: dict[str, KnownFailure] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        is_intermittent = fields[-1] == INTERMITTENT
        if is_intermittent:
            fields.pop()
        if len(fields) != len(FIELDS) or not all(fields):
            raise pytest.UsageError(
                f"{LIST_NAME}:{number}: wanted {' | '.join(FIELDS)}"
            )
        if fields[0] in entries:
            raise pytest.UsageError(
                f"{LIST_NAME}:{number}: {fields[0]} is listed twice"
            )
        entries[fields[0]] = KnownFailure(*fields, is_intermittent)
    return entries


ENTRIES = pytest.StashKey[dict[str, KnownFailure]]()
# The listed tests that ran, with their outcomes.
SEEN = pytest.StashKey[list[tuple[KnownFailure, str]]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the list, and make violations of invariants raise."""
    invariants.set_strict(True)
    path = pathlib.Path(config.rootpath, LIST_NAME)
    text = path.read_text() if path.exists() else ""
    config.stash[ENTRIES] = parse_list(text)
    config.stash[SEEN] = []


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Reject entries of tests that do not exist, in a run of all tests."""
    if config.args_source is pytest.Config.ArgsSource.ARGS:
        return
    missing = set(config.stash[ENTRIES]) - {item.nodeid for item in items}
    if missing:
        raise pytest.UsageError(f"{LIST_NAME}: no test {sorted(missing)}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[t.Any]
) -> abc.Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report a listed test as expected to fail, and fail it if it passes.

    An intermittent one may pass.  This covers only the call of the test: an
    error in a fixture fails the run.
    """
    report = yield
    entry = item.config.stash[ENTRIES].get(item.nodeid)
    if entry is None or report.when != "call":
        return report
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = f"known red: {entry.seen}"
        item.config.stash[SEEN].append((entry, "failed"))
    elif report.passed and entry.is_intermittent:
        item.config.stash[SEEN].append((entry, "passed"))
    elif report.passed:
        report.outcome = "failed"
        report.longrepr = f"passes, but {LIST_NAME} lists it"
    return report


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the listed tests that ran, with how to run them."""
    seen = config.stash[SEEN]
    if not seen:
        return
    terminalreporter.section(f"known red ({LIST_NAME})")
    for entry, outcome in seen:
        how = f" ({INTERMITTENT}, {outcome})" if entry.is_intermittent else ""
        terminalreporter.line(f"{entry.test_id}: {entry.seen}{how}")
        terminalreporter.line(f"    {entry.command} (issue {entry.issue})")
