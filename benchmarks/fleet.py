"""Measure the control traffic and resources of idle entry processes.

One series varies the number of entries with a fixed number of VMs each,
the other the VMs per entry with a fixed number of entries.  The slopes are
used in ``docs/CAPACITY.md``.
"""

import os
import typing as t

import trio

from examples import demo
from examples import processes

WINDOW_S = 8.0
SETTLE_S = 3.0
GROUP_SIZE = 8
BY_ENTRIES = ((3, 24), (9, 24), (18, 24))
BY_VMS = ((3, 0), (3, 8), (3, 48))
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def make_document(groups: int) -> dict[str, t.Any]:
    """Return a configuration with ``groups`` replicas of one model."""
    return {
        "services": {
            "assistant": {
                "group_size": GROUP_SIZE,
                "replicas": groups,
                "model": "m",
            }
        }
    }


async def _start(
    deployment: processes.Deployment, entries: int, vms: int
) -> list[str]:
    names = [f"entry-{number}" for number in range(entries)]
    for number, name in enumerate(names):
        data_centre = f"dc-{number % 3}"
        if vms:
            await deployment.start_engines(
                f"engines-{number}",
                [f"vm-{number}-{i}" for i in range(vms)],
                data_centre,
                f"domain-{number}",
            )
        await deployment.start_entry(name, data_centre)
    for name in names:
        address = deployment.processes[name].address
        await deployment.wait_for(
            lambda address=address: demo.is_ready(deployment, address), 60.0
        )
    return names


async def _count_whole(
    deployment: processes.Deployment, names: list[str]
) -> int:
    whole: set[str] = set()
    for name in names:
        groups = await deployment.operate(name, "GET", "/groups")
        whole |= {g["group"] for g in groups if g["is_whole"]}
    return len(whole)


async def measure(entries: int, vms: int) -> dict[str, float]:
    """Return the resources that each entry of an idle fleet uses.

    Parameters
    ----------
    entries : int
        Entry processes.
    vms : int
        Backend VMs for each entry; those of an entry form one fabric
        domain.

    Returns
    -------
    dict
        Means per entry of the processor share (fraction of a core), the
        resident memory (MB), and the bytes and messages per second between
        entries if the entry counts them; and the log appends of all entries
        in the window.
    """
    groups = entries * (vms // GROUP_SIZE)
    async with processes.Deployment(load_s=0.02) as deployment:
        names = await _start(deployment, entries, vms)
        await demo.patch(deployment, names[0], make_document(groups))

        async def are_whole() -> bool:
            return await _count_whole(deployment, names) >= groups

        if groups:
            await deployment.wait_for(are_whole, 120.0)
        await trio.sleep(SETTLE_S)
        pids = [deployment.processes[name].popen.pid for name in names]
        platform = deployment.processes["platform"].address
        counts = await deployment.get(f"{platform}/counts")
        before = [read_cpu_s(pid) for pid in pids]
        traffic = await _read_traffic(deployment, names)
        await trio.sleep(WINDOW_S)
        used = [read_cpu_s(pid) for pid in pids]
        traffic_after = await _read_traffic(deployment, names)
        counts_after = await deployment.get(f"{platform}/counts")
        rss = [read_resident_mb(pid) for pid in pids]
    cpu = [b - a for a, b in zip(before, used, strict=True)]
    return {
        "entries": entries,
        "vms_per_entry": vms,
        "cpu_share": sum(cpu) / len(cpu) / WINDOW_S,
        "resident_mb": sum(rss) / len(rss),
        "appends": counts_after["appends"] - counts["appends"],
        "peer_bytes_per_s": (traffic_after[0] - traffic[0])
        / entries
        / WINDOW_S,
        "peer_messages_per_s": (traffic_after[1] - traffic[1])
        / entries
        / WINDOW_S,
    }


async def _read_traffic(
    deployment: processes.Deployment, names: list[str]
) -> tuple[int, int]:
    size_bytes = 0
    messages = 0
    for name in names:
        status = await deployment.operate(name, "GET", "/status")
        counted = status.get("peers", {})
        size_bytes += counted.get("size_bytes", 0)
        messages += counted.get("messages", 0)
    return size_bytes, messages


def _print_row(row: dict[str, float]) -> None:
    print(
        f"{row['entries']:>4} entries {row['vms_per_entry']:>3} VMs each: "
        f"cpu {row['cpu_share']:.4f} of a core, "
        f"{row['resident_mb']:.1f} MB, "
        f"{row['peer_messages_per_s']:.1f} messages/s, "
        f"{row['peer_bytes_per_s']:.0f} bytes/s, "
        f"{row['appends']} appends",
        flush=True,
    )


def run() -> dict[str, t.Any]:
    """Measure both series and return their rows."""
    results: dict[str, t.Any] = {}
    for name, sizes in (("by_entries", BY_ENTRIES), ("by_vms", BY_VMS)):
        rows = []
        for entries, vms in sizes:
            rows.append(trio.run(measure, entries, vms))
            _print_row(rows[-1])
        results[name] = rows
    return results


if __name__ == "__main__":
    run()
