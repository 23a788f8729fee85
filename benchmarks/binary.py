"""Measure the processes, sizes and start times of the built executable.

``make binary-check`` builds ``build/sycamorespool`` and runs this; it fails
if the entry has a child process or does not exit cleanly when stopped.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing as t

import trio

from examples import demo
from examples import processes

BINARY = pathlib.Path("build/sycamorespool").resolve()
REPEATS = 5
TMPFS = pathlib.Path("/run")


def find_children(pid: int) -> list[int]:
    """Return the child processes of a process, from /proc."""
    return [
        int(child)
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir()
        for child in (task / "children").read_text().split()
    ]


def read_status(pid: int) -> dict[str, str]:
    """Return the lines of /proc/PID/status by name."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return dict(line.split(":\t", 1) for line in text.splitlines())


def count_bytes(folder: pathlib.Path) -> int:
    """Return the size of all files under a folder."""
    return sum(p.stat().st_size for p in folder.rglob("*") if p.is_file())


def time_version(command: tuple[str, ...], env: dict[str, str]) -> float:
    """Return how long the command with ``--version`` takes, in s."""
    started_s = time.monotonic()
    subprocess.run(
        [*command, "--version"], env=env, check=True, capture_output=True
    )
    return time.monotonic() - started_s


async def _watch_entry(
    program: tuple[str, ...], variables: dict[str, str]
) -> dict[str, t.Any]:
    async with processes.Deployment(
        program=program, variables=variables
    ) as deployment:
        entry = await deployment.start_entry("entry-1", "palermo")
        await deployment.wait_for(
            lambda: demo.is_ready(deployment, entry.address)
        )
        status = read_status(entry.popen.pid)
        children = find_children(entry.popen.pid)
        return {
            "processes": 1 + len(children),
            "threads": int(status["Threads"]),
            "resident_kb": int(status["VmRSS"].split()[0]),
            "exit_code": await deployment.stop("entry-1"),
        }


def run() -> dict[str, t.Any]:
    """Measure the built executable and the same code run from source."""
    with tempfile.TemporaryDirectory(dir=TMPFS) as name:
        folder = pathlib.Path(name)
        env = {**os.environ, "SHIV_ROOT": str(folder / "shiv")}
        for variable in ("PYTHONPATH", "PYTHONDONTWRITEBYTECODE"):
            env.pop(variable, None)
        built = (str(BINARY),)
        first_s = time_version(built, env)
        unpacked = count_bytes(folder / "shiv")
        again_s = [time_version(built, env) for _ in range(REPEATS)]
        source = processes.RUN_FROM_SOURCE
        source_env = dict(os.environ)
        source_s = [time_version(source, source_env) for _ in range(REPEATS)]
        return {
            "file_bytes": BINARY.stat().st_size,
            "unpacked_bytes": unpacked,
            "first_start_s": first_s,
            "start_s": sorted(again_s)[REPEATS // 2],
            "source_start_s": sorted(source_s)[REPEATS // 2],
            "entry": trio.run(_watch_entry, built, env),
            "source_entry": trio.run(_watch_entry, source, source_env),
        }


def main() -> int:
    """Print the figures and return the exit code.

    It is 1 if the entry has a child process or does not stop cleanly.
    """
    figures = run()
    for name, value in figures.items():
        print(f"binary: {name} {value}")
    is_single = figures["entry"]["processes"] == 1
    is_clean = figures["entry"]["exit_code"] == 0
    return 0 if is_single and is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
