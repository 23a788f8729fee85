"""Tests of the whole path through real processes."""

from examples import demo
from examples import processes

DOCUMENT = {
    "workspaces": {"w": {"key_hashes": [processes.CALLER_KEY_HASH]}},
    "services": {
        "assistant": {"group_size": 2, "replicas": 1, "model": "m"},
    },
}


class TestPath:
    def test_completion_through_an_entry_is_whole(self, run_deployed):
        async def scenario(deployment):
            for vm in ("v1", "v2"):
                await deployment.start_engine(vm, "barracas", "f1")
            entry = await deployment.start_entry("entry-1", "barracas")
            await deployment.wait_for(
                lambda: demo.is_ready(deployment, entry.address)
            )
            await demo.patch(deployment, "entry-1", DOCUMENT)
            tally = demo.Tally()
            await deployment.wait_for(lambda: serves(deployment))
            await demo.complete(deployment, tally, "entry-1", "sizes?")
            assert tally.faults == []
            assert tally.served["entry-1"] == 1

        async def serves(deployment):
            groups = await deployment.operate("entry-1", "GET", "/groups")
            return [group for group in groups if group["is_whole"]]

        run_deployed(scenario)
