"""Tests of grants while the log or an owner, as real processes, fails."""

import itertools
import signal

from examples import demo
from examples import processes
from examples import run_results

DOCUMENT = {
    "workspaces": {"w": {"key_hashes": [processes.CALLER_KEY_HASH]}},
    "services": {
        "assistant": {
            "group_size": 1,
            "replicas": 2,
            "model": "m",
            "cold_limit": 4,
        },
    },
}
ENTRIES = ("e1", "e2", "e3")


async def start(deployment, domains):
    """Start three entries and one engine in each domain."""
    for domain in domains:
        await deployment.start_engine(f"v-{domain}", "barracas", domain)
    for name in ENTRIES:
        entry = await deployment.start_entry(name, "barracas")
        await deployment.wait_for(
            lambda entry=entry: demo.is_ready(deployment, entry.address)
        )
    await demo.patch(deployment, "e1", DOCUMENT)
    for name in ENTRIES:
        await deployment.wait_for(
            lambda name=name: is_served(deployment, name)
        )


async def is_served(deployment, entry, prompt="sizes?"):
    results = run_results.RunResults()
    await demo.complete(deployment, results, entry, prompt)
    assert not results.failures
    return results.served[entry]


async def find_owner(deployment, domain):
    status = await deployment.operate("e1", "GET", "/status")
    return status["owners"].get(f"domain/{domain}")


class TestOutage:
    def test_next_entry_acts_for_an_owner_lost_while_the_log_is_down(
        self, run_deployed
    ):
        async def scenario(deployment):
            await start(deployment, ["f1"])
            owner = await find_owner(deployment, "f1")
            await deployment.set_faults("platform", log_down=True)
            deployment.kill(owner)
            others = [name for name in ENTRIES if name != owner]
            await deployment.wait_for(
                lambda: is_refused(deployment, others[0])
            )
            for name in others:
                await deployment.wait_for(
                    lambda name=name: is_served(deployment, name)
                )

        async def is_refused(deployment, name):
            return not await is_served(deployment, name)

        run_deployed(scenario, ping_period_s=0.2)


class TestPausedOwner:
    def test_replicas_of_a_paused_owner_get_no_work_until_it_continues(
        self, run_deployed
    ):
        numbers = itertools.count()

        async def scenario(deployment):
            await start(deployment, ["f1", "f2"])
            owner = await find_owner(deployment, "f1")
            process = deployment.processes[owner].popen
            process.send_signal(signal.SIGSTOP)
            other = next(name for name in ENTRIES if name != owner)
            await deployment.wait_for(lambda: is_idle(deployment, other))
            assert await is_idle(deployment, other)
            process.send_signal(signal.SIGCONT)
            await deployment.wait_for(lambda: is_busy(deployment, other))

        async def is_idle(deployment, entry):
            return not await is_busy(deployment, entry)

        async def is_busy(deployment, entry):
            """Tell whether the owner's group served any of 8 new prompts."""
            before = await count_served(deployment, "v-f1")
            for _ in range(8):
                prompt = f"restock {next(numbers)}"
                assert await is_served(deployment, entry, prompt)
            return await count_served(deployment, "v-f1") > before

        async def count_served(deployment, vm):
            address = deployment.processes[vm].address
            report = await deployment.get(f"{address}/state")
            return report["completed"]

        run_deployed(scenario, ping_period_s=0.2)
