"""Tests that test runs in parallel are offered different ports."""

import importlib.util
import os
import sys

from examples import processes

PORTS = 50


def load_run():
    """Return the driver as another test run with the same offset loads it."""
    spec = importlib.util.spec_from_file_location("run", processes.__file__)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_runs_in_parallel_never_get_the_same_port(monkeypatch):
    monkeypatch.setattr(os, "getpid", lambda: 4711)
    # A data class looks its module up by name.
    monkeypatch.setitem(sys.modules, "run", processes)
    runs = [load_run() for _ in range(3)]
    offered = [run.find_free_address() for _ in range(PORTS) for run in runs]
    for run in runs:
        for holder in run._RANGE_HOLDERS:
            holder.close()
    assert len(set(offered)) == len(offered)
