"""An entry that runs as a process with low limits, and what it uses."""

import os
import pathlib
import resource
import subprocess
import sys

import trio

from examples import processes
from sycamorespool import http_client
from tests.hosted import fleet

# Memory of the entry's machine, and the descriptors that it may open.
MEMORY_MB = 96
MAX_DESCRIPTORS = 200
# The kernel's limit, which is higher, so that exceeding the other one shows.
KERNEL_DESCRIPTORS = 256
LIMITS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
"""
ANSWER_TIMEOUT_S = 30.0


def _limit_descriptors() -> None:
    limits = (KERNEL_DESCRIPTORS, KERNEL_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class EntryProcess(fleet.HostedFleet):
    """Holds the stand-ins of a hosted fleet, and an entry's process.

    Its servers are those of a plain service only, so that it starts fast.
    """

    def __init__(self, nursery, tmp_path):
        super().__init__(nursery, tmp_path)
        self.popen = None

    async def start(self):
        """Start everything, and wait until the entry is ready."""
        app = fleet.asgi_server.asgi.make_app(self.store.handle)
        await self.serve(app, self.store_address)
        self.store.put("keyed.op", "config", fleet.CONFIG)
        for number in range(2):
            await self.add(f"p-{number}", "ledger")
        with self.path.open("a") as settings_file:
            settings_file.write(LIMITS)
        self.run_process()
        await self.wait_for(self.is_ready)

    def run_process(self):
        variables = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with (self.folder / "entry.log").open("wb") as log_file:
            self.popen = subprocess.Popen(
                [*processes.RUN_FROM_SOURCE, "hosted", str(self.path)],
                stdout=log_file,
                stderr=log_file,
                env=variables,
                preexec_fn=_limit_descriptors,
            )

    def is_running(self):
        return self.popen.poll() is None

    def read_peak_memory_mb(self):
        """Return the most memory that the process has held at any time."""
        status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))

    async def ask_ordinary(self, number):
        """Send one request on a connection of its own; return its status."""
        headers = {
            "host": fleet.HOST,
            "authorization": f"Bearer {fleet.KEY}",
            "sycamorespool-attempt-id": f"ordinary-{number}",
            "connection": "close",
        }
        answer = await http_client.exchange(
            http_client.make_pool(),
            "POST",
            f"http://{self.callers}/stock/1",
            b"{}",
            ANSWER_TIMEOUT_S,
            headers,
        )
        return answer.status

    async def keep_asking(self):
        """Be an ordinary caller, whatever becomes of its requests."""
        number = 0
        while True:
            number += 1
            try:
                await self.ask_ordinary(f"mixed-{number}")
            except (http_client.NotReached, http_client.ExchangeFailed):
                await trio.sleep(0.1)

    def close(self):
        self.popen.kill()
        self.popen.wait()
