"""Tests that the commands of docs/operators.md work, in their order."""

import pathlib
import re
import shlex

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "operators.md"
COMMAND = re.compile(
    r"^ *\$ sycamorespool (.*?)(?: +# exit (\d))?$", re.MULTILINE
)


class TestPage:
    def test_commands_exit_as_the_page_says(self, run_fleet, monkeypatch):
        monkeypatch.chdir(ROOT)
        lines = COMMAND.findall(PAGE.read_text())
        assert len(lines) > 15

        async def scenario(fleet):
            await fleet.start_service("shop-1")

            async def is_owned():
                found = await fleet.read("explain", "domain/f1")
                return found["state"] == "owned"

            await fleet.wait_for(is_owned)
            for line, expected in lines:
                code, out, err = await fleet.command(*shlex.split(line))
                assert code == int(expected or 0), (line, out, err)
                assert max(map(len, out.splitlines())) <= 80 or "json" in line

        run_fleet(scenario)
