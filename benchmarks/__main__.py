"""Run benchmarks by name and write their results to one JSON file.

``python -m benchmarks relay keys`` runs two of them; without a name, all
are run.  Results of benchmarks that are not run stay in the file.
"""

import importlib
import pathlib
import sys
import typing as t

import msgspec

RESULTS_PATH = pathlib.Path("build/benchmarks.json")
MODULES = {
    "claimants": "benchmarks.claimants",
    "fleet": "benchmarks.fleet",
    "grants": "benchmarks.grants",
    "group_policy": "benchmarks.group_policy",
    "keys": "benchmarks.keys",
    "membership": "benchmarks.membership",
    "peers": "benchmarks.peers",
    "relay": "benchmarks.relay",
    "replay": "benchmarks.replay",
    "retries": "benchmarks.retries",
    "shares": "benchmarks.shares",
}


def _load_results() -> dict[str, t.Any]:
    if not RESULTS_PATH.exists():
        return {}
    results: dict[str, t.Any] = msgspec.json.decode(RESULTS_PATH.read_bytes())
    return results


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all, and return the exit code."""
    unknown = sorted(set(names) - set(MODULES))
    if unknown:
        print(f"benchmarks: unknown {unknown}, known are {sorted(MODULES)}")
        return 2
    results = _load_results()
    for name in names or MODULES:
        results[name] = importlib.import_module(MODULES[name]).run()
        RESULTS_PATH.parent.mkdir(exist_ok=True)
        data = msgspec.json.format(msgspec.json.encode(results))
        RESULTS_PATH.write_bytes(data)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
