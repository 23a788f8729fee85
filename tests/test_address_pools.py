"""Tests of the connection pools by address."""

import trio

from examples import processes
from sycamorespool import address_pools
from sycamorespool import asgi
from sycamorespool import asgi_server
from sycamorespool import http_client

SERVERS = 5
NOW_S = 100.0


async def answer(request):
    return asgi.Response(200, request.path.encode())


async def start_servers(nursery, count=SERVERS):
    addresses = [processes.find_free_address() for _ in range(count)]
    for address in addresses:
        await nursery.start(
            asgi_server.serve, asgi.make_app(answer), address, trio.Event(), 0
        )
    return addresses


async def ask(pools, address, now_s):
    pool = await pools.find(address, now_s)
    response = await http_client.exchange(pool, "GET", f"http://{address}/x")
    assert response.body == b"/x"
    return pool


def run(scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            with trio.fail_after(10):
                await scenario(await start_servers(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main)


class TestAddressPools:
    def test_each_address_has_one_connection_that_is_reused(self):
        async def scenario(addresses):
            pools = address_pools.AddressPools()
            used = set()
            for second in range(3):
                for address in addresses:
                    pool = await ask(pools, address, NOW_S + second)
                    assert len(pool.connections) == 1
                    used.update(pool.connections)
            assert len(used) == len(pools) == SERVERS

        run(scenario)

    def test_unused_pools_are_closed_and_used_ones_stay(self):
        async def scenario(addresses):
            pools = address_pools.AddressPools()
            found = [await ask(pools, a, NOW_S) for a in addresses]
            connections = [pool.connections[0] for pool in found]
            half_s = NOW_S + address_pools.UNUSED_KEEP_S / 2
            await ask(pools, addresses[0], half_s)
            late_s = NOW_S + address_pools.UNUSED_KEEP_S + 0.1
            assert await pools.find(addresses[1], late_s) is found[1]
            assert len(pools) == 2
            assert [c.is_closed() for c in connections] == [
                False,
                False,
                True,
                True,
                True,
            ]
            assert await ask(pools, addresses[2], late_s) is not found[2]

        run(scenario)
