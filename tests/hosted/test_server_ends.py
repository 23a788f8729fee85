"""Tests of requests on which backend servers end."""

FATAL = "bad"
# Servers that may end before the cause is known, and requests that may reach
# servers after that.
MOST_ENDS = 5
MOST_AFTER = 3


class TestFatalPart:
    def test_servers_do_not_end_one_after_the_other_under_one_part(
        self, run_hosted
    ):
        async def scenario(fleet):
            fleet.fatal_parts.add(FATAL)
            for number in range(12):
                await fleet.wait_for(fleet.has_open_heads)
                await fleet.ask_prompt("aa", FATAL, f"{number:x}")
            assert fleet.ends <= MOST_ENDS + MOST_AFTER
            await fleet.wait_for(fleet.has_open_heads)
            for number in range(6):
                answer = await fleet.ask_prompt("aa", "cc", f"{number:x}")
                assert answer.status == 200

        run_hosted(scenario)
