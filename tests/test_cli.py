"""Tests of command-line parsing; tests/operators has those of commands."""

import pathlib

import pytest

from sycamorespool import cli
from sycamorespool.operators import client
from sycamorespool.operators import commands
from sycamorespool.operators import tables

EXAMPLE = str(pathlib.Path(__file__).parent.parent / "examples/ferreyra.ini")
ADDRESS = "--address=127.0.0.1:1"

BAD_USAGE = [
    ([], "no command; see sycamorespool --help"),
    (["keys"], "no command"),
    (["statsu"], "Could not consume arg: statsu"),
    (["drain"], "required argument: name"),
    (["drain", "palermo", "now"], "Could not consume arg: now"),
    (["drain", "palermo", "_run"], "Could not consume arg: _run"),
    (["drain", "palermo", "--wait-s=soon"], "wait_s: 'soon' is not accepted"),
    (["patch", "f", "--base-version=a"], "base_version: 'a' is not accepted"),
    (["patch", "f"], "base_version"),
    (["status", "--nope"], "Could not consume arg: --nope"),
    (["status"], "--address: wanted IP:port"),
    (["status", "--address=entry:80"], "'entry:80' is not an IP number"),
    (["status", ADDRESS], "key: wanted --key-file FILE"),
    (["status", ADDRESS, "--key-file=/nowhere"], "--key-file: cannot be"),
    (["status", ADDRESS, "--timeout-s=x"], "options: Expected `float`"),
    (["check-settings", "/nowhere"], "[file] /nowhere: "),
    (["entry", "--settings=/nowhere"], "[file] /nowhere: "),
    (["keys", "settle", "w", "k", "a", "perhaps"], "wanted ran or not_run"),
]


@pytest.fixture(autouse=True)
def clear_environment(monkeypatch):
    monkeypatch.delenv(client.KEY_VARIABLE, raising=False)
    monkeypatch.delenv(client.ADDRESS_VARIABLE, raising=False)


class TestUsage:
    @pytest.mark.parametrize(("words", "problem"), BAD_USAGE)
    def test_bad_usage_prints_one_line_and_exits_2(
        self, words, problem, capsys
    ):
        assert cli.run(words) == commands.EXIT_USAGE
        out, err = capsys.readouterr()
        assert out == ""
        assert err.startswith("sycamorespool: ")
        assert err.count("\n") == 1
        assert problem in err

    @pytest.mark.parametrize(
        ("words", "shown"),
        [
            (["--version"], "sycamorespool 0."),
            (["--help"], "COMMAND is one of the following"),
            (["drain", "--help"], "sycamorespool drain NAME <flags>"),
            (["keys", "--help"], "List the keyed calls that have no outcome."),
            (["check-settings", EXAMPLE], ": ok"),
            (
                ["check-settings", "--settings", EXAMPLE, "--json"],
                '"ok": true',
            ),
        ],
    )
    def test_help_and_checks_print_and_exit_with_0(self, words, shown, capsys):
        assert cli.run(words) == commands.EXIT_OK
        assert shown in capsys.readouterr().out

    def test_help_lists_every_exit_code(self, capsys):
        cli.run(["--help"])
        text = " ".join(capsys.readouterr().out.split())
        codes = {
            name: value
            for name, value in vars(commands).items()
            if name.startswith("EXIT_") and isinstance(value, int)
        }
        assert len(codes) == 8
        for code in codes.values():
            assert f" {code} " in text


class TestTables:
    def test_last_column_is_wrapped_at_80_columns(self):
        members = " ".join(f"barracas-{i:03}" for i in range(8))
        text = tables.format_table(
            ["GROUP", "STATE", "MEMBERS"],
            [["assistant-3fa9c1d2", "whole", members], ["b", "whole", ""]],
        )
        lines = text.splitlines()
        assert max(map(len, lines)) <= 80
        assert lines[2].startswith(" " * 27 + "barracas-004")
        assert lines[-1] == "b                   whole"
