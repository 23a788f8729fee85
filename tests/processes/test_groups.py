"""Tests of groups whose VMs, as real processes, are killed or paused."""

import signal

import msgspec

from examples import demo
from examples import processes
from examples import run_results
from sycamorespool import models

ENTRY = "entry-1"


def make_document(replicas, fencing="checked"):
    service = {"group_size": 2, "model": "m", "fencing": fencing}
    return {
        "workspaces": {"w": {"key_hashes": [processes.CALLER_KEY_HASH]}},
        "services": {"assistant": {**service, "replicas": replicas}},
    }


async def start(deployment, domains, replicas, **options):
    """Start an entry and the VMs of each domain, one data centre each."""
    for domain, vms in domains.items():
        for vm in vms:
            await deployment.start_engine(vm, domain, domain)
    entry = await deployment.start_entry(ENTRY, "barracas")
    await deployment.wait_for(lambda: demo.is_ready(deployment, entry.address))
    await demo.patch(deployment, ENTRY, make_document(replicas, **options))
    return await wait_whole(deployment, replicas)


async def read_groups(deployment):
    groups = await deployment.operate(ENTRY, "GET", "/groups")
    return {group["group"]: group for group in groups}


async def wait_whole(deployment, count, **wanted):
    """Wait until ``count`` groups are whole and return all groups by id.

    Each group must have the ``wanted`` values too.
    """

    async def find_groups():
        groups = await read_groups(deployment)
        whole = [group for group in groups.values() if group["is_whole"]]
        is_met = all(
            group[key] == value
            for group in groups.values()
            for key, value in wanted.items()
        )
        return groups if len(whole) == count and is_met else None

    return await deployment.wait_for(find_groups)


async def check_served(deployment, prompt):
    """Wait until a completion is served and check that it is complete."""

    async def ask():
        results = run_results.RunResults()
        await demo.complete(deployment, results, ENTRY, prompt)
        return results if results.served else None

    results = await deployment.wait_for(ask)
    assert results.failures == []


async def read_state(deployment, vm):
    address = deployment.processes[vm].address
    return await deployment.get(f"{address}/state")


class TestLostMember:
    def test_spare_takes_the_place_of_a_killed_vm(self, run_deployed):
        async def scenario(deployment):
            for vm in ("v1", "v2", "v3"):
                await deployment.start_engine(vm, "barracas", "f1")
            (before,) = (await start(deployment, {}, 1)).values()
            lost, kept = before["members"]
            deployment.kill(lost)
            (spare,) = {"v1", "v2", "v3"} - {lost, kept}
            members = [spare, kept]
            (after,) = (
                await wait_whole(deployment, 1, members=members)
            ).values()
            assert after["group"] == before["group"]
            await check_served(deployment, "sizes?")

        run_deployed(scenario)


class TestSilentDomain:
    def test_groups_of_a_paused_domain_are_kept(self, run_deployed):
        async def scenario(deployment):
            vms = ["v1", "v2", "v3", "v4"]
            before = await start(deployment, {"f1": vms}, 2)
            send_all(deployment, vms, signal.SIGSTOP)
            await deployment.wait_for(lambda: is_lost(deployment, "v1"))
            send_all(deployment, vms, signal.SIGCONT)
            after = await wait_whole(deployment, 2)
            assert {g: v["members"] for g, v in after.items()} == {
                g: v["members"] for g, v in before.items()
            }
            await check_served(deployment, "stock?")

        def send_all(deployment, vms, number):
            for vm in vms:
                deployment.processes[vm].popen.send_signal(number)

        async def is_lost(deployment, vm):
            path = f"/explain?name={vm}"
            found = await deployment.operate(ENTRY, "GET", path)
            return "it is taken as lost" in found["reasons"]

        run_deployed(scenario)


class TestDrainedDataCentre:
    def test_groups_of_a_drained_data_centre_are_restored(self, run_deployed):
        async def scenario(deployment):
            domains = {"palermo": ["p1", "p2"], "avellaneda": ["a1", "a2"]}
            before = await start(deployment, domains, 2)
            address = deployment.processes["p1"].address
            out = {"data_centres": {"palermo": {"in_service": False}}}
            await demo.patch(deployment, ENTRY, out)
            await deployment.wait_for(lambda: is_draining(deployment, before))
            served = await deployment.get(f"{address}/counts")
            for prompt in ("a", "b", "c"):
                await check_served(deployment, prompt)
            assert await deployment.get(f"{address}/counts") == served
            await demo.patch(deployment, ENTRY, {"data_centres": None})
            assert (await wait_whole(deployment, 2)).keys() == before.keys()

        async def is_draining(deployment, groups):
            (name,) = [g for g in groups if "p1" in groups[g]["members"]]
            path = f"/explain?name={name}"
            found = await deployment.operate(ENTRY, "GET", path)
            reason = "it takes no new work: data centre out of service"
            is_granted = any(
                reason.startswith("this entry may have")
                for reason in found["reasons"]
            )
            return reason in found["reasons"] and not is_granted

        run_deployed(scenario)


class TestEnginesThatIgnoreFencing:
    def test_member_that_obeyed_an_older_order_joins_again(self, run_deployed):
        async def scenario(deployment):
            for vm in ("v1", "v2"):
                await deployment.start_engine(vm, "barracas", "f1")
                await deployment.wait_for(
                    lambda vm=vm: read_state(deployment, vm)
                )
                await deployment.set_faults(vm, fencing_ignored=True)
            ((name, group),) = (
                await start(deployment, {}, 1, fencing="ignored")
            ).items()
            vm = group["members"][0]
            address = deployment.processes[vm].address
            order = msgspec.to_builtins(models.LeaveOrder(0, name))
            answer = await deployment.call("POST", f"{address}/orders", order)
            assert answer["group_id"] == ""
            await deployment.wait_for(lambda: is_member(deployment, address))
            assert (await wait_whole(deployment, 1)).keys() == {name}
            await check_served(deployment, "sizes?")

        async def is_member(deployment, address):
            state = await deployment.get(f"{address}/state")
            return state["group_id"] != ""

        run_deployed(scenario)
