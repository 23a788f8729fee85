"""A fixture that runs a scenario on a small deployment of real processes.

A test passes a coroutine function to :func:`run_deployed`.  Scenarios wait
for conditions by ``Deployment.wait_for`` instead of fixed times.
"""

import pytest
import trio

from examples import processes


@pytest.fixture
def run_deployed():
    """Return a function that runs a coroutine function on a deployment.

    It prints the logs of all processes if that fails.
    """

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
