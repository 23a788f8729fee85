"""Tests of how conftest.py treats the tests listed in KNOWN-RED.txt."""

import pathlib

import pytest

from tests import conftest

pytest_plugins = "pytester"

PLUGINS_OFF = ("-p", "no:hypothesispytest")

SUITE = """
def test_red():
    assert False

def test_green():
    pass
"""
RED = "test_suite.py::test_red | pytest, seed 1 | nothing holds | 7"
GREEN = "test_suite.py::test_green | pytest | it failed once | 8"
UNKNOWN = "test_suite.py::test_gone | pytest | it failed once | 9"


@pytest.fixture
def run_suite(pytester):
    def run(listed: str, *args: str) -> pytest.RunResult:
        hooks = pathlib.Path(conftest.__file__).read_text()
        pytester.makeconftest(hooks)
        pytester.makepyfile(test_suite=SUITE)
        pathlib.Path(pytester.path, conftest.LIST_NAME).write_text(listed)
        return pytester.runpytest_inprocess(
            "-p", "no:cacheprovider", *PLUGINS_OFF, *args
        )

    return run


class TestIntermittent:
    @pytest.mark.parametrize(
        ("entry", "selected", "outcome", "counts"),
        [
            (RED, "red", "failed", {"xfailed": 1, "deselected": 1}),
            (GREEN, "green", "passed", {"passed": 1, "deselected": 1}),
        ],
    )
    def test_either_outcome_is_tolerated_and_printed(
        self, run_suite, entry, selected, outcome, counts
    ):
        result = run_suite(f"{entry} | intermittent\n", "-k", selected)
        result.assert_outcomes(**counts)
        assert result.ret == pytest.ExitCode.OK
        result.stdout.fnmatch_lines([f"*(intermittent, {outcome})"])

    def test_other_fifth_field_is_rejected(self, run_suite):
        result = run_suite(f"{RED} | sometimes\n")
        assert result.ret == pytest.ExitCode.USAGE_ERROR


class TestKnownRed:
    def test_unlisted_failure_fails_the_run(self, run_suite):
        result = run_suite("# nothing is listed\n")
        result.assert_outcomes(passed=1, failed=1)
        assert result.ret == pytest.ExitCode.TESTS_FAILED

    def test_listed_failure_is_tolerated_and_printed(self, run_suite):
        result = run_suite(f"# comment\n\n{RED}\n")
        result.assert_outcomes(passed=1, xfailed=1)
        assert result.ret == pytest.ExitCode.OK
        result.stdout.fnmatch_lines(
            [
                "*known red (KNOWN-RED.txt)*",
                "test_suite.py::test_red: nothing holds",
                "*pytest, seed 1 (issue 7)",
            ]
        )

    def test_listed_test_that_passes_fails_the_run(self, run_suite):
        result = run_suite(f"{RED}\n{GREEN}\n")
        result.assert_outcomes(xfailed=1, failed=1)
        assert result.ret == pytest.ExitCode.TESTS_FAILED

    @pytest.mark.parametrize("listed", [UNKNOWN, "only | two", f"{RED}\n" * 2])
    def test_outdated_or_malformed_list_is_rejected(self, run_suite, listed):
        result = run_suite(f"{RED}\n{listed}" if listed == UNKNOWN else listed)
        assert result.ret == pytest.ExitCode.USAGE_ERROR

    def test_unknown_entry_is_ignored_in_a_partial_run(self, run_suite):
        result = run_suite(UNKNOWN, "test_suite.py::test_green")
        assert result.ret == pytest.ExitCode.OK
