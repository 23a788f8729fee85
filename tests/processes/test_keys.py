"""Tests of keyed calls and of replacing all entries, with real processes."""

import collections

import trio

from examples import demo
from examples import processes
from sycamorespool import http_client

DOCUMENT = {
    "workspaces": {"w": {"key_hashes": [processes.CALLER_KEY_HASH]}},
    "services": {
        "orders": {"kind": "plain", "cold_limit": 16, "warm_limit": 32},
    },
}


async def start(deployment, count=2):
    await deployment.start_service("shop", "orders", "dakar-a", "f1")
    names = [f"entry-{number}" for number in range(count)]
    for name in names:
        await start_entry(deployment, name)
    await demo.patch(deployment, names[0], DOCUMENT)

    async def serves():
        answers = [await charge(deployment, name, "warm") for name in names]
        return all(status == 200 for status, _ in answers)

    await deployment.wait_for(serves)
    return names


async def start_entry(deployment, name):
    entry = await deployment.start_entry(name, "dakar-a")
    await deployment.wait_for(lambda: demo.is_ready(deployment, entry.address))


async def charge(deployment, entry, key, body="x"):
    answer = await demo.post(
        deployment,
        entry,
        "/services/orders/charges",
        {"id": key, "for": body},
        {"idempotency-key": key},
    )
    return answer.status, answer.body


async def count_runs(deployment):
    address = deployment.processes["shop"].address
    return (await deployment.get(f"{address}/counts"))["runs"]


class TestKeys:
    def test_charge_runs_once_or_is_refused_as_not_run(self, run_deployed):
        async def scenario(deployment):
            first_entry, second_entry = await start(deployment)
            first = await charge(deployment, first_entry, "k")
            assert first[0] == 200
            assert await charge(deployment, second_entry, "k") == first
            status, body = await charge(deployment, second_entry, "k", "y")
            assert (status, b"key_mismatch" in body) == (422, True)
            await deployment.set_faults("platform", log_down=True)
            status, body = await charge(deployment, first_entry, "down")
            assert (status, b"log_unavailable" in body) == (503, True)
            assert b'"outcome":"not run"' in body
            assert "down" not in await count_runs(deployment)
            await deployment.set_faults("platform")
            deployment.kill(first_entry)
            await deployment.remove(first_entry)

            async def is_restored():
                repeated = await charge(deployment, second_entry, "k")
                late = await charge(deployment, second_entry, "down")
                return repeated == first and late[0] == 200

            await deployment.wait_for(is_restored)
            runs = await count_runs(deployment)
            assert (runs["k"], runs["down"]) == (1, 1)

        run_deployed(scenario)

    def test_call_of_a_killed_entry_is_never_run_again(self, run_deployed):
        async def scenario(deployment):
            first_entry, second_entry = await start(deployment)
            await deployment.set_faults("shop", slow_s=600)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_until_cut, deployment, first_entry)
                await deployment.wait_for(lambda: has_run(deployment))
                deployment.kill(first_entry)
                await deployment.remove(first_entry)
                nursery.cancel_scope.cancel()
            await deployment.set_faults("shop")

            async def outcome_is_unknown():
                _, body = await charge(deployment, second_entry, "k")
                return b"key_without_outcome" in body

            await deployment.wait_for(outcome_is_unknown)
            (row,) = (await deployment.operate(second_entry, "GET", "/keys"))[
                "keys"
            ]
            assert (row["key"], row["entry"]) == ("k", first_entry)
            open_key = {k: row[k] for k in ("workspace", "key", "attempt_id")}
            answer = await deployment.operate(
                second_entry,
                "POST",
                "/keys/settle",
                {**open_key, "resolution": "ran"},
            )
            assert answer["status"] == "conflict"
            assert (await count_runs(deployment))["k"] == 1

        async def send_until_cut(deployment, entry):
            try:
                await charge(deployment, entry, "k")
            except http_client.ExchangeFailed:
                return

        async def has_run(deployment):
            return (await count_runs(deployment)).get("k")

        run_deployed(scenario)


class TestReplacement:
    def test_no_request_fails_while_all_entries_are_replaced(
        self, run_deployed
    ):
        async def scenario(deployment):
            names = await start(deployment)
            answers = collections.Counter()
            async with trio.open_nursery() as nursery:
                for worker in range(4):
                    nursery.start_soon(
                        keep_charging, deployment, names, answers, worker
                    )
                for number, name in enumerate(list(names)):
                    await start_entry(deployment, f"new-{number}")
                    names.append(f"new-{number}")
                    names.remove(name)
                    assert await deployment.stop(name) == 0
                    await deployment.remove(name)
                    await wait_for_answers(deployment, answers)
                nursery.cancel_scope.cancel()
            runs = await count_runs(deployment)
            assert set(answers) == {200}
            assert set(runs.values()) == {1}
            assert answers[200] > 20

        async def wait_for_answers(deployment, answers):
            """Wait for more answers; at first old grants serve some."""
            wanted = answers.total() + 40

            async def has_wanted():
                return answers.total() >= wanted

            await deployment.wait_for(has_wanted)

        async def keep_charging(deployment, names, answers, worker):
            count = 0
            while True:
                count += 1
                entry = names[count % len(names)]
                status, body = await charge(
                    deployment, entry, f"k{worker}-{count}"
                )
                answers[status if status == 200 else body] += 1

        run_deployed(scenario)
