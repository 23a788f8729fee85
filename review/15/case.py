"""Calls that an entry passes on run on more replicas than max_attempts."""

import collections
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import trio  # noqa: E402

import world  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_ATTEMPTS = 2
# When the entry is partitioned, and when the replicas fall silent.
CUT_S = 3.0
SILENCES_S = (5.0, 7.0, 9.0, 11.0, 13.0)
PERIOD_S = 1 / 60
SILENCE_S = float(os.environ.get("SILENCE", "1.3"))


async def main():
    w = world.World(FOLDER / "record.txt")
    w.replicas = [world.Replica(w, f"i-{n}", "orders", zone="abc"[n]) for n in range(3)]
    routes = [world.make_route("stock", timeout_ms=1500, slo_ms=200, max_attempts=MAX_ATTEMPTS)]
    async with trio.open_nursery() as nursery:
        try:
            await w.start(nursery, world.make_config(routes=routes, services=[{"name": "orders"}]), entries=3, zones="abc", has_links=True)
            await trio.sleep(3)
            async with trio.open_nursery() as asking:
                began_s = w.now()
                is_cut, silences, number = False, list(SILENCES_S), 0
                while (passed_s := w.now() - began_s) < CUT_S + 12.0:
                    if HAS_TROUBLE and passed_s >= CUT_S and not is_cut:
                        w.entries[0].cut_links()
                        is_cut = True
                    if silences and passed_s >= silences[0]:
                        silences.pop(0)
                        for replica in w.replicas:
                            replica.silent_until_s = w.now() + SILENCE_S
                        w.record("the replicas are silent for", SILENCE_S, "s")
                    number += 1
                    asking.start_soon(world.ask, w, w.entries[0].front, f"a-{number}", "/stock/1")
                    await trio.sleep(PERIOD_S)
        finally:
            w.close()
        nursery.cancel_scope.cancel()
    ran = collections.defaultdict(set)
    for replica in w.replicas:
        for attempt in replica.runs:
            ran[attempt].add(replica.id)
    broken = [a for a, ids in ran.items() if len(ids) > MAX_ATTEMPTS]
    print(len(ran), "requests ran,", len(broken), "of them on more than", MAX_ATTEMPTS, "replicas", broken[:10])
    return 1 if len(broken) > 3 else 0


try:
    sys.exit(trio.run(main))
except SystemExit:
    raise
except BaseException as error:
    import traceback
    traceback.print_exc()
    sys.exit(2)
