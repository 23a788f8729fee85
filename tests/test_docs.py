"""Tests that the documentation agrees with the code."""

import pathlib
import re
import shlex

import pytest

from sycamorespool import cli
from sycamorespool import command_parsing
from sycamorespool.operators import commands

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
COMMAND = re.compile(r"^ *\$ sycamorespool (.*?)(?: +#.*)?$", re.MULTILINE)
LINK = re.compile(r"\]\((?!http)([^)#]+)[^)]*\)")
CODE = re.compile(r"(?:NotRun|OutcomeUnknown)\(\s*\"(\w+)\"")
MAX_COLUMNS = 79


def find_codes():
    texts = [path.read_text() for path in (ROOT / "src").rglob("*.py")]
    return {code for text in texts for code in CODE.findall(text)}


class TestPages:
    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_linked_files_exist(self, page):
        for link in LINK.findall(page.read_text()):
            assert (page.parent / link).exists(), link

    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_commands_can_be_parsed(self, page):
        for line in COMMAND.findall(page.read_text()):
            options, words = command_parsing.split_options(shlex.split(line))
            assert command_parsing.parse(cli.Commands, words, options), line

    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_lines_outside_tables_are_short(self, page):
        lines = page.read_text().splitlines()
        long = [line for line in lines if len(line) > MAX_COLUMNS]
        assert [line for line in long if not line.startswith("|")] == []

    def test_every_error_code_is_listed(self):
        page = (ROOT / "docs" / "callers.md").read_text()
        assert {c for c in find_codes() if f"| `{c}` |" not in page} == set()

    def test_every_exit_code_is_listed(self):
        page = (ROOT / "docs" / "operators.md").read_text()
        codes = {
            value
            for name, value in vars(commands).items()
            if name.startswith("EXIT_") and isinstance(value, int)
        }
        table = page.partition("## Exit codes")[2]
        listed = re.findall(r"^\| (\d) \|", table, re.MULTILINE)
        assert sorted(map(int, listed)) == sorted(codes)
