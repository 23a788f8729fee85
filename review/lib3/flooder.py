"""A replica as a process of its own that may get into trouble.

    flooder.py PORT ID SHARE

It answers requests as a sound replica does.  Between SIGUSR1 and SIGUSR2 it
is in trouble: it answers that share of the requests with a head of its own
and a body that has no end, in chunks of one byte, until the caller closes.
"""

import random
import signal
import sys

import h11
import trio

import world

BLOCK = b"1\r\nx\r\n" * 2000


async def main():
    port, replica_id, share = int(sys.argv[1]), sys.argv[2], float(sys.argv[3])
    rng = random.Random(7)
    state = {"trouble": False}

    async def watch(task_status=trio.TASK_STATUS_IGNORED):
        with trio.open_signal_receiver(signal.SIGUSR1, signal.SIGUSR2) as found:
            task_status.started()
            async for number in found:
                state["trouble"] = number == signal.SIGUSR1

    async def run(stream):
        http = h11.Connection(h11.SERVER)
        try:
            async with stream:
                while True:
                    request, _ = await world.read_request(http, stream)
                    if request is None:
                        return
                    await serve(http, stream, request)
                    http.start_next_cycle()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass

    async def serve(http, stream, request):
        headers = {k.decode(): v.decode("latin-1") for k, v in request.headers}
        attempt = headers.get(world.ATTEMPT, "")
        named = [(world.ATTEMPT, attempt)]
        signed = [*named, (world.SIGNATURE, f"{replica_id}.{attempt}")]
        if headers.get(world.EXPECT, replica_id) != replica_id:
            await answer(http, stream, 421, named, b"")
            return
        if state["trouble"] and rng.random() < share:
            print("no end to", attempt, flush=True)
            head = h11.Response(
                status_code=200, headers=[*signed, ("transfer-encoding", "chunked")]
            )
            await stream.send_all(http.send(head))
            while True:
                await stream.send_all(BLOCK)
        await trio.sleep(0.03)
        await answer(http, stream, 200, signed, f"{replica_id}/{attempt}".encode())

    async def answer(http, stream, status, pairs, content):
        head = h11.Response(
            status_code=status, headers=[*pairs, ("content-length", str(len(content)))]
        )
        data = http.send(head)
        if content:
            data += http.send(h11.Data(data=content))
        await stream.send_all(data + http.send(h11.EndOfMessage()))

    async with trio.open_nursery() as nursery:
        await nursery.start(watch)
        print("ready", flush=True)
        await trio.serve_tcp(run, port, host="127.0.0.1")


trio.run(main)
