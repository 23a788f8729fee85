"""Streams from engines of which some hand out wrong bytes in an answer."""

import asyncio
import pathlib
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import deployment as d  # noqa: E402

STREAMS = 400
PAUSE_S = 0.05
# One in so many answers of half of the engines' groups is spoiled: 5 in 100.
SPOILED_EVERY = 20


def spoil_some(counts):
    """Return a writer of events that spoils every 20th answer."""

    async def write_events(server, attempt, after):
        counts["answers"] += 1
        if counts["answers"] % SPOILED_EVERY:
            async for part in d.write_sound_events(server, attempt, after):
                yield part
            return
        # The third pass has three good events; the bytes of the last are
        # wrong, and the answer breaks off there.
        counts["spoiled"] += 1
        server.deployment.record.write(f"the answer to {attempt} is spoiled")
        number = 0
        async for part in d.write_sound_events(server, attempt, after):
            number += 1
            if number < 3:
                yield part
                continue
            events = part.split(b"\n\n")[:-1]
            events[-1] = re.sub(rb"id: \d+", b"id: 7041", events[-1])
            yield b"".join(event + b"\n\n" for event in events)
            await asyncio.sleep(30)
            return

    return write_events


def check(record, attempt, answer):
    """Return whether a stream that ends as complete lacks a piece."""
    if answer.status != 200 or not answer.is_whole:
        return False
    ids = [int(n) for n in re.findall(rb"(?:^|\n)id: (\d+)", answer.body)]
    if ids == list(range(1, d.EVENTS + 1)):
        return False
    missing = sorted(set(range(1, d.EVENTS + 1)) - set(ids))
    record.write(f"BROKEN {attempt}: complete, but pieces {missing} are missing")
    return True


async def run(deployment, trouble):
    await deployment.start()
    counts = {"answers": 0, "spoiled": 0}
    if trouble:
        heads = [
            s
            for s in deployment.servers.values()
            if s.group and s.group["rank"] == 0
        ]
        heads[0].write_events = spoil_some(counts)
    headers = {
        "Sycamorespool-Model": d.MODEL,
        "Sycamorespool-Token-Counts": "700,120",
        "Sycamorespool-Prompt-Prefix": "5c1e07a2:40,e4402b7d:660",
    }
    tasks = []
    for number in range(STREAMS):
        entry = deployment.entries[number % 2]
        call = deployment.call(
            entry, "POST", "/draft/a", 8000, headers, b"prompt %d" % number
        )
        tasks.append(deployment.spawn(call))
        await asyncio.sleep(PAUSE_S)
    results = await asyncio.gather(*tasks)
    broken = sum(check(deployment.record, a, answer) for a, _, answer in results)
    whole = sum(r[2].is_whole and r[2].status == 200 for r in results)
    text = (
        f"{len(results)} streams, {whole} complete, {counts['spoiled']} answers"
        f" spoiled, {broken} complete streams with pieces missing"
    )
    deployment.record.write(text)
    print(text)
    if whole < len(results) // 2:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    d.main(__file__, run)
