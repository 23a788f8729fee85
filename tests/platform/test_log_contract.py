"""Tests of the log's contract, run on the stand-in and on the fake.

The client of the log talks to the stand-in over HTTP; the fake is in memory.
The read lease and the replay rely on each of these properties.  A log that
replaces the stand-in has to pass the same tests.
"""

import contextlib

import pytest
import trio

from examples import processes
from sycamorespool import asgi
from sycamorespool import asgi_server
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool.platform import log
from sycamorespool import records
from sycamorespool.standins import platform
from tests.platform import memory_log

KEEP = 5
STREAM = records.FLEET_STREAM


def release(number):
    return records.OwnershipRelease(f"r{number}", "domain/d", number)


@contextlib.asynccontextmanager
async def open_memory():
    fake = memory_log.MemoryLog(KEEP)

    def set_faults(is_down=False, loses_answers=False):
        fake.is_down = is_down
        fake.loses_answers = loses_answers

    yield fake, set_faults


@contextlib.asynccontextmanager
async def open_standin():
    standin = platform.Platform(max_records=KEEP)
    address = processes.find_free_address()
    pool = http_client.make_pool()
    stop = trio.Event()

    def set_faults(is_down=False, loses_answers=False):
        standin.faults = platform.Faults(
            log_down=is_down, append_answer_lost=loses_answers
        )

    async with trio.open_nursery() as nursery:
        app = asgi.make_app(standin.handle)
        await nursery.start(asgi_server.serve, app, address, stop, 0.1)
        yield log.LogClient(pool, address), set_faults
        await pool.aclose()
        stop.set()


@pytest.fixture(params=[open_memory, open_standin], ids=["fake", "standin"])
def run_log(request):
    """Return a function that runs a scenario with a log and its faults."""

    def run(scenario):
        async def main():
            async with request.param() as (client, set_faults):
                await scenario(client, set_faults)

        trio.run(main)

    return run


async def read_ids(client, start=0, **options):
    page = await client.read(STREAM, start, **options)
    return [(e.offset, e.record.record_id) for e in page.entries]


class TestOrder:
    def test_batches_get_ascending_offsets_and_keep_their_order(self, run_log):
        async def scenario(client, _):
            assert await client.append(STREAM, [release(0)]) == [0]
            batch = [release(1), release(2)]
            assert await client.append(STREAM, batch) == [1, 2]
            assert await read_ids(client) == [(0, "r0"), (1, "r1"), (2, "r2")]
            assert await read_ids(client, 1, limit=1) == [(1, "r1")]
            page = await client.read(STREAM, 1)
            assert (page.first, page.head) == (0, 3)
            assert page.entries[0].record == release(1)

        run_log(scenario)

    def test_read_begun_after_an_acknowledged_append_returns_it(self, run_log):
        async def scenario(client, _):
            for number in range(KEEP):
                (offset,) = await client.append(STREAM, [release(number)])
                found = await read_ids(client, offset)
                assert found == [(offset, f"r{number}")]

        run_log(scenario)

    def test_streams_are_independent(self, run_log):
        async def scenario(client, _):
            await client.append("keys-1", [release(0)])
            assert await read_ids(client) == []
            assert await client.append(STREAM, [release(1)]) == [0]

        run_log(scenario)

    def test_waiting_read_returns_the_next_append(self, run_log):
        async def scenario(client, _):
            found = []

            async def wait():
                found.extend(await read_ids(client, 0, wait_s=20.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await client.append(STREAM, [release(0)])
            assert found == [(0, "r0")]

        run_log(scenario)


class TestFaults:
    def test_read_of_expired_records_names_the_first_kept(self, run_log):
        async def scenario(client, _):
            for number in range(KEEP + 3):
                await client.append(STREAM, [release(number)])
            with pytest.raises(exceptions.RecordsExpired) as caught:
                await client.read(STREAM, 2)
            assert caught.value.first_offset == 3
            assert (await read_ids(client, 3))[0] == (3, "r3")
            assert await read_ids(client, KEEP + 3) == []

        run_log(scenario)

    def test_append_whose_answer_is_lost_can_be_read_by_its_id(self, run_log):
        async def scenario(client, set_faults):
            set_faults(loses_answers=True)
            with pytest.raises(exceptions.OutcomeLost):
                await client.append(STREAM, [release(0)])
            set_faults()
            assert await read_ids(client) == [(0, "r0")]

        run_log(scenario)

    def test_refused_append_has_no_effect(self, run_log):
        async def scenario(client, set_faults):
            set_faults(is_down=True)
            with pytest.raises(exceptions.PlatformUnavailable):
                await client.append(STREAM, [release(0)])
            with pytest.raises(exceptions.PlatformUnavailable):
                await client.read(STREAM, 0)
            set_faults()
            assert await read_ids(client) == []

        run_log(scenario)

    def test_unreachable_log_is_unavailable(self):
        async def main():
            address = processes.find_free_address()
            client = log.LogClient(http_client.make_pool(), address)
            with pytest.raises(exceptions.PlatformUnavailable):
                await client.append(STREAM, [release(0)])

        trio.run(main)
