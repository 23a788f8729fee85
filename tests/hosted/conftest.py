"""Fixtures that run an entry of a hosted platform against stand-ins."""

import pytest
import trio

from tests.hosted import fleet as fleets


@pytest.fixture
def run_hosted(tmp_path):
    """Return a function that runs a scenario with a fleet that serves."""

    def run(scenario, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                fleet = fleets.HostedFleet(nursery, tmp_path, **options)
                await fleet.start()
                await scenario(fleet)
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run
