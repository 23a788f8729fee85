"""Tests of real entries whose owner, log or link to the log fails."""

import signal

import trio

from examples import demo
from examples import links
from examples import processes
from examples import run_results
from sycamorespool import http_client

UNIT = "domain/f1"
DOCUMENT = {
    "workspaces": {"w": {"key_hashes": [processes.CALLER_KEY_HASH]}},
    "services": {
        "assistant": {
            "group_size": 2,
            "replicas": 1,
            "model": "m",
            "cold_limit": 4,
        },
    },
}


class Watcher:
    """A client of the operators' API that waits for states of entries."""

    def __init__(self, deployment):
        self.deployment = deployment

    async def status(self, entry):
        return await self.deployment.operate(entry, "GET", "/status")

    async def patch(self, entry, base_version, patch):
        body = {"base_version": base_version, "patch": patch}
        return await self.deployment.operate(entry, "POST", "/patch", body)

    async def until(self, entry, condition):
        async def check():
            try:
                status = await self.status(entry)
            except (http_client.ExchangeFailed, http_client.NotReached):
                return None
            return status if condition(status) else None

        return await self.deployment.wait_for(check)

    async def until_owned(self, entry, by):
        return await self.until(entry, lambda s: s["owners"].get(UNIT) in by)

    async def serves(self, entry):
        results = run_results.RunResults()
        await demo.complete(self.deployment, results, entry, "sizes?")
        assert results.failures == []
        return results.served[entry] == 1


async def start(deployment, *names, platforms=()):
    for vm in ("v1", "v2"):
        await deployment.start_engine(vm, "barracas", "f1")
    for name in names:
        platform = dict(platforms).get(name, "")
        entry = await deployment.start_entry(name, "barracas", platform)
        await deployment.wait_for(
            lambda entry=entry: demo.is_ready(deployment, entry.address)
        )
    await demo.patch(deployment, names[0], DOCUMENT)
    watcher = Watcher(deployment)
    await deployment.wait_for(lambda: watcher.serves(names[0]))
    return watcher


class TestOwner:
    def test_paused_owner_gives_up_its_units_when_it_continues(
        self, run_deployed
    ):
        async def scenario(deployment):
            watcher = await start(deployment, "entry-1", "entry-2")
            names = {"entry-1", "entry-2"}
            status = await watcher.until_owned("entry-1", names)
            owner = status["owners"][UNIT]
            (other,) = names - {owner}
            popen = deployment.processes[owner].popen
            popen.send_signal(signal.SIGSTOP)
            await watcher.until_owned(other, {other})
            popen.send_signal(signal.SIGCONT)
            continued = await watcher.until_owned(owner, {other})
            assert continued["units_owned"] == 0
            await deployment.wait_for(lambda: watcher.serves(owner))

        run_deployed(scenario)

    def test_stopping_owner_releases_its_units(self, run_deployed):
        async def scenario(deployment):
            watcher = await start(deployment, "entry-1", "entry-2")
            names = {"entry-1", "entry-2"}
            status = await watcher.until_owned("entry-1", names)
            owner = status["owners"][UNIT]
            (other,) = names - {owner}
            assert await deployment.stop(owner) == 0
            await watcher.until_owned(other, {other})
            assert f"release/{UNIT}" in deployment.read_log(owner)
            await deployment.wait_for(lambda: watcher.serves(other))

        run_deployed(scenario)


class TestLog:
    def test_entries_serve_and_start_during_a_log_outage(self, run_deployed):
        async def scenario(deployment):
            watcher = await start(deployment, "entry-1", "entry-2")
            await watcher.until("entry-2", lambda s: s["version"] == 1)
            await deployment.set_faults("platform", log_down=True)
            for name in ("entry-1", "entry-2"):
                await deployment.wait_for(
                    lambda name=name: says(deployment, name, "log_outage")
                )
            assert (await watcher.patch("entry-1", 1, {}))["status"] in (
                "refused",
                "unknown",
            )
            await deployment.start_entry("entry-3", "barracas")
            await watcher.until(
                "entry-3", lambda s: s["is_ready"] and s["version"] == 1
            )
            await deployment.wait_for(lambda: watcher.serves("entry-1"))
            await deployment.set_faults("platform")
            answer = await watcher.patch("entry-1", 1, {})
            assert answer["status"] == "accepted"
            for name in ("entry-2", "entry-3"):
                await watcher.until(name, lambda s: s["version"] == 2)
            await patch_concurrently(watcher, ("entry-2", "entry-3"))

        run_deployed(scenario)

    def test_entry_without_the_log_follows_or_is_isolated(self, run_deployed):
        async def scenario(deployment):
            link = links.Link(deployment.platform)
            async with trio.open_nursery() as nursery:
                await nursery.start(link.serve)
                watcher = await start(
                    deployment,
                    "entry-1",
                    "entry-2",
                    platforms={"entry-1": link.address},
                )
                await follow_without_log(deployment, watcher, link)
                await isolate(deployment, watcher, link)
                nursery.cancel_scope.cancel()

        run_deployed(scenario)


async def follow_without_log(deployment, watcher, link):
    link.cut()
    await deployment.wait_for(lambda: says(deployment, "entry-1", "following"))
    patch = {"data_centres": {"palermo": {"in_service": False}}}
    answer = await watcher.patch("entry-2", 1, patch)
    assert answer["status"] == "accepted"
    followed = await watcher.until("entry-1", lambda s: s["version"] == 2)
    assert followed["is_ready"]


async def isolate(deployment, watcher, link):
    deployment.processes["entry-2"].popen.send_signal(signal.SIGSTOP)
    await watcher.until("entry-1", lambda s: not s["is_ready"])
    assert says_now(deployment, "entry-1", "isolated")
    results = run_results.RunResults()
    await demo.complete(deployment, results, "entry-1", "sizes?")
    assert results.refused
    assert not results.failures
    link.repair()
    await watcher.until("entry-1", lambda s: s["is_ready"])


async def patch_concurrently(watcher, names):
    """Submit patches of one version to two entries at the same time."""
    statuses = []

    async def patch(name):
        answer = await watcher.patch(name, 2, {"vms": {name: {}}})
        statuses.append(answer["status"])

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(patch, name)
    assert sorted(statuses) == ["accepted", "conflict"]


def says_now(deployment, name, mode):
    return f"mode changed state={mode}" in deployment.read_log(name)


async def says(deployment, name, mode):
    return says_now(deployment, name, mode)
