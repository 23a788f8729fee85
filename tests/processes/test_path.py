"""Tests of completions through an entry and engines as real processes."""

from examples import demo
from examples import processes
from examples import run_results

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
            results = run_results.RunResults()
            await deployment.wait_for(lambda: serves(deployment))
            await demo.complete(deployment, results, "entry-1", "sizes?")
            assert results.failures == []
            assert results.served["entry-1"] == 1

        async def serves(deployment):
            groups = await deployment.operate("entry-1", "GET", "/groups")
            return [group for group in groups if group["is_whole"]]

        run_deployed(scenario)

    def test_streams_that_engines_cut_are_whole(self, run_deployed):
        service = {"group_size": 1, "replicas": 2, "model": "m"}
        document = {**DOCUMENT, "services": {"assistant": service}}

        async def scenario(deployment):
            for vm in ("v1", "v2"):
                await deployment.start_engine(vm, "barracas", "f1")
            entry = await deployment.start_entry("entry-1", "barracas")
            await deployment.wait_for(
                lambda: demo.is_ready(deployment, entry.address)
            )
            await demo.patch(deployment, "entry-1", document)
            await deployment.wait_for(lambda: both_serve(deployment))
            await deployment.set_faults("v1", cut_after_tokens=5)
            results = run_results.RunResults()
            for index in range(6):
                prompt = f"sizes {index}?"
                await demo.complete(deployment, results, "entry-1", prompt)
            assert results.failures == []
            assert results.served["entry-1"] == 6
            status = await deployment.operate("entry-1", "GET", "/status")
            assert retries(status) > 0

        async def both_serve(deployment):
            groups = await deployment.operate("entry-1", "GET", "/groups")
            return len([g for g in groups if g["is_whole"]]) == 2

        def retries(status):
            counters = status["metrics"]["counters"]
            return counters.get("attempts_retried.w", 0)

        run_deployed(scenario)
