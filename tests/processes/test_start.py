"""Tests of a SIGHUP that reaches a process while it starts."""

import signal
import subprocess
import sys

import pytest

# The process sends itself SIGHUP at its first import of trio or cli.
HOOK = """
import os, signal, sys
class Hook:
    def find_spec(self, name, path=None, target=None):
        if name in ("trio", "sycamorespool.cli"):
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)
            print("alive", flush=True)
sys.meta_path.insert(0, Hook())
import runpy
runpy.run_module({module!r}, run_name="not main")
"""


@pytest.mark.parametrize(
    "module", ["sycamorespool.__main__", "sycamorespool.platform.start"]
)
def test_sighup_during_startup_does_not_end_the_process(module):
    run = subprocess.run(
        [sys.executable, "-c", HOOK.format(module=module)],
        capture_output=True,
        text=True,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    assert run.returncode != -signal.SIGHUP
    assert "alive" in run.stdout
