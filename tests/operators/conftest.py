"""Runs two entries, a platform and a plain service in the test process.

They listen on loopback.  Commands run in a thread, as the client blocks
until it has its answers.
"""

import contextlib
import io

import msgspec
import pytest
import trio

from examples import processes
from sycamorespool import asgi
from sycamorespool import asgi_server
from sycamorespool import cli
from sycamorespool import daemon
from sycamorespool import settings
from sycamorespool.standins import platform
from sycamorespool.standins import service

KEY = "test-operator-key"
CALLER_KEY_HASH = processes.CALLER_KEY_HASH
DOCUMENT = {
    "data_centres": {"palermo": {}},
    "services": {
        "orders": {"kind": "plain", "replicas": 1, "cold_limit": 4},
        "assistant": {"group_size": 2, "replicas": 1, "model": "m"},
    },
    "workspaces": {"w": {"key_hashes": [CALLER_KEY_HASH]}},
}


class Fleet:
    """Gives a scenario access to the entries and their surroundings."""

    def __init__(self, nursery, tmp_path):
        self.nursery = nursery
        self.folder = tmp_path
        self.platform = platform.Platform()
        self.platform_address = processes.find_free_address()
        self.operators = []
        self.callers = []
        self.stop = trio.Event()

    async def serve(self, app, address):
        await self.nursery.start(
            asgi_server.serve, app, address, self.stop, 0.1
        )

    def put_vm(self, name, role, address, domain="f1", state="live"):
        vm = {
            "vm": name,
            "role": role,
            "address": address,
            "data_centre": "palermo",
            "domain": domain,
            "state": state,
        }
        self.platform.put_vm(name, msgspec.json.encode(vm))

    async def start_service(self, name):
        address = processes.find_free_address()
        standin = service.PlainService(name, 1)
        await self.serve(standin.app, address)
        self.put_vm(name, "service/orders", address)

    async def start_entry(self, name):
        listen = {
            part: processes.find_free_address()
            for part in ("callers", "operators", "peers")
        }
        text = processes.SETTINGS_TEMPLATE.format(
            name=name,
            data_centre="palermo",
            platform=self.platform_address,
            **listen,
        ).replace("demo-operator-key", KEY)
        self.put_vm(name, "entry", listen["peers"], "entries")
        self.operators.append(listen["operators"])
        self.callers.append(listen["callers"])
        self.nursery.start_soon(daemon.run, settings.parse(text))

    def write(self, name, value):
        path = self.folder / name
        path.write_bytes(msgspec.json.encode(value))
        return str(path)

    async def command(self, *words, addresses=None, key=KEY):
        """Run a command; return its exit code, output and error output."""
        key_file = self.folder / "key"
        key_file.write_text(key)
        chosen = ",".join(addresses or self.operators)
        options = [f"--address={chosen}", f"--key-file={key_file}"]
        out, err = io.StringIO(), io.StringIO()

        def run():
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                return cli.run([*words, *options])

        code = await trio.to_thread.run_sync(run)
        return code, out.getvalue(), err.getvalue()

    async def read(self, *words):
        """Run a command with ``--json`` and return its data, or None."""
        _, out, _ = await self.command(*words, "--json")
        return msgspec.json.decode(out) if out else None

    async def wait_for(self, condition):
        """Repeat a check until it holds, for at most 30 s."""
        with trio.fail_after(30):
            while not await condition():
                await trio.lowlevel.checkpoint()


@pytest.fixture
def run_fleet(tmp_path):
    """Return a function that runs a scenario on two ready entries."""

    def run(scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery, tmp_path)
                app = asgi.make_app(fleet.platform.handle)
                await fleet.serve(app, fleet.platform_address)
                for name in ("entry-1", "entry-2"):
                    await fleet.start_entry(name)
                await fleet.wait_for(lambda: are_entries_ready(fleet))
                await scenario(fleet)
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


async def are_entries_ready(fleet):
    for address in fleet.operators:
        code, out, _ = await fleet.command("status", addresses=[address])
        if code != 0 or out.count(" ready ") != 2:
            return False
    return True
