"""Measures the cost of relaying streams, compared with a direct connection.

The process of an entry relays streams with one chunk every 30 ms from
backend processes to load processes.  In the same run the load processes also
connect directly to the backends, and through a minimal relay of hypercorn
and httpcore.  The entry's control loops do not run here.
"""

import collections.abc
import contextlib
import os
import subprocess
import sys
import time

import msgspec

from examples import processes

STREAMS = (10, 50, 150, 400)
PATHS = ("direct", "bare", "entry")
BACKENDS = 4
LOADS = 4
WARM_UP_S = 2.0
WINDOW_S = 3.0
# Time that a started process gets before it is used.
SETTLE_S = 1.0
# Streams that are open at once in the run of requests with one token each.
REQUEST_STREAMS = 16
QUANTILES = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
Result = dict[str, float]


@contextlib.contextmanager
def _run_process(
    role: str, *args: str
) -> collections.abc.Iterator[subprocess.Popen[bytes]]:
    popen = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.relay_processes", role, *args],
        stdout=subprocess.PIPE,
    )
    try:
        yield popen
    finally:
        popen.kill()
        popen.wait()


def _read_cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _read_resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


def _measure(
    targets: list[str], pid: int | None, streams: int, tokens: int
) -> Result:
    start_ns = time.monotonic_ns() + int(WARM_UP_S * 1e9)
    end_ns = start_ns + int(WINDOW_S * 1e9)
    loads = min(LOADS, streams)
    with contextlib.ExitStack() as stack:
        popens = []
        for index in range(loads):
            share = streams // loads + (index < streams % loads)
            args = (share, tokens, start_ns, end_ns)
            target = targets[index % len(targets)]
            popens.append(
                stack.enter_context(
                    _run_process("load", target, *(str(arg) for arg in args))
                )
            )
        time.sleep(max(0.0, (start_ns - time.monotonic_ns()) / 1e9))
        cpu_before_s = _read_cpu_s(pid) if pid else 0.0
        time.sleep(max(0.0, (end_ns - time.monotonic_ns()) / 1e9))
        cpu_s = _read_cpu_s(pid) - cpu_before_s if pid else 0.0
        resident_mb = _read_resident_mb(pid) if pid else 0.0
        latencies_us: list[int] = []
        for popen in popens:
            out, _ = popen.communicate(timeout=30)
            latencies_us += msgspec.json.decode(out)
    latencies_us.sort()
    result = {
        "tokens_per_s": len(latencies_us) / WINDOW_S,
        "core_share": cpu_s / WINDOW_S,
        "tokens_per_cpu_s": len(latencies_us) / cpu_s if cpu_s else 0.0,
        "resident_mb": resident_mb,
    }
    for name, share in QUANTILES.items():
        result[f"latency_{name}_ms"] = (
            latencies_us[int(len(latencies_us) * share)] / 1000
        )
    return result


def _add_ratios(rows: dict[str, Result]) -> None:
    direct, bare = rows["direct"], rows["bare"]
    for row in rows.values():
        for name in QUANTILES:
            key = f"latency_{name}_ms"
            row[f"added_{name}_ms"] = row[key] - direct[key]
            row[f"{name}_to_direct"] = row[key] / direct[key]
            row[f"{name}_to_bare"] = row[key] / bare[key]
        if bare["tokens_per_cpu_s"]:
            row["tokens_per_cpu_s_to_bare"] = (
                row["tokens_per_cpu_s"] / bare["tokens_per_cpu_s"]
            )


def _print_rows(title: str, rows: dict[str, Result]) -> None:
    for path, row in rows.items():
        print(
            f"{title:>14} {path:>7} {row['tokens_per_s']:>9.0f}"
            f" {row['core_share']:>6.2f} {row['tokens_per_cpu_s']:>9.0f}"
            f" {row['tokens_per_cpu_s_to_bare']:>7.2f}"
            f" {row['added_p50_ms']:>8.2f} {row['added_p95_ms']:>8.2f}"
            f" {row['added_p99_ms']:>8.2f}",
            flush=True,
        )


def _measure_paths(
    backends: list[str], streams: int, tokens: int, paths: tuple[str, ...]
) -> dict[str, Result]:
    rows = {}
    for path in paths:
        if path == "direct":
            rows[path] = _measure(backends, None, streams, tokens)
            continue
        address = processes.find_free_address()
        with _run_process(path, address, *backends) as popen:
            time.sleep(SETTLE_S)
            rows[path] = _measure([address], popen.pid, streams, tokens)
    return rows


def run(
    streams: tuple[int, ...] = STREAMS, paths: tuple[str, ...] = PATHS
) -> dict[str, dict[str, Result]]:
    """Measure each path under each load and print a table.

    Returns
    -------
    dict
        By load and path: tokens per second, share of a core, tokens per
        CPU second, latencies in ms, and ratios.
    """
    print(
        f"{'load':>14} {'path':>7} {'per s':>9} {'cores':>6}"
        f" {'per CPU s':>9} {'to bare':>7} {'+p50 ms':>8} {'+p95 ms':>8}"
        f" {'+p99 ms':>8}"
    )
    results = {}
    backends = [processes.find_free_address() for _ in range(BACKENDS)]
    with contextlib.ExitStack() as stack:
        for address in backends:
            stack.enter_context(_run_process("backend", address))
        time.sleep(SETTLE_S)
        loads = [(f"{count} streams", count, 10**6) for count in streams]
        loads.append(("requests", REQUEST_STREAMS, 1))
        for title, count, tokens in loads:
            rows = _measure_paths(backends, count, tokens, paths)
            _add_ratios(rows)
            _print_rows(title, rows)
            results[title] = rows
    return results
