"""Tests of an entry that lacks more of a log than one read returns."""

import functools

from tests.hosted import fleet as fleets

# So short that the entry trusts no configuration after a short outage.
REVOKE_MS = 1500
RECORDS_PER_PAGE = 2.5
VERSIONS = 20


def put_versions(fleet, versions):
    """Change the configuration often; the last one takes a key away."""
    kept = {**fleets.CONFIG["tenants"][0], "api_keys": [fleets.KEY]}
    for version in versions:
        changed = {**fleets.CONFIG, "version": version}
        if version == versions[-1]:
            changed["tenants"] = [kept]
        fleet.store.put("keyed.op", "config", changed)


async def is_answered(fleet, status):
    answer = await fleet.ask("/orders/1", key=fleets.OTHER_KEY)
    return answer.status == status


# Entries that had been without the store took the first page of the log for
# its newest state, and accepted a key that a later record had taken away.
def test_revoked_key_is_not_accepted_before_the_whole_log_is_read(run_hosted):
    async def scenario(fleet):
        newest = fleet.store.topics["keyed.op", 0].records[-1]
        fleet.store.page_bytes = round(RECORDS_PER_PAGE * len(newest))
        fleet.store.is_down = True
        await fleet.wait_for(functools.partial(is_answered, fleet, 503))
        put_versions(fleet, range(10, 10 + VERSIONS))
        fleet.store.is_down = False
        answers = []

        async def is_revoked():
            answer = await fleet.ask("/orders/1", key=fleets.OTHER_KEY)
            answers.append(answer.status)
            return answer.status == 401

        await fleet.wait_for(is_revoked)
        assert set(answers) <= {503, 401}

    run_hosted(scenario, revoke_ms=REVOKE_MS)


# Records were applied one page a period, seconds after they were written.
def test_servers_of_a_long_log_are_known_soon(run_hosted):
    async def scenario(fleet):
        fleet.store.page_bytes = 1
        fleet.store.is_down = True
        refused = fleet.store.refused

        async def has_noticed():
            return fleet.store.refused > refused + 4

        await fleet.wait_for(has_noticed)
        for _ in range(200):
            for server in fleet.servers:
                server.write_record()
        added = await fleet.add("p-9", "ledger")
        fleet.store.is_down = False

        async def is_used():
            await fleet.ask("/stock/1", method="GET")
            return added.runs

        await fleet.wait_for(is_used)

    run_hosted(scenario)
