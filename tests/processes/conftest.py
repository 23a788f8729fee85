"""A small deployment of real processes for the tests of faults.

A test is a plain function that gives a coroutine to :func:`run_deployed`;
waits are for events, through ``Deployment.wait_for``.
"""

import pytest
import trio

from examples import processes


@pytest.fixture
def run_deployed():
    """Return a function that runs a coroutine function on a deployment."""

    def run(scenario, **options):
        async def main():
            async with processes.Deployment(**options) as deployment:
                try:
                    await scenario(deployment)
                except BaseException:
                    for name in deployment.processes:
                        print(f"--- {name}\n{deployment.read_log(name)}")
                    raise

        trio.run(main)

    return run
