"""Partitioned entries are asked whether a crashed replica has ended."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import trio  # noqa: E402

import engines  # noqa: E402
import world  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Entries of the zone that are partitioned; 0 shows the crashes alone.
CUT = int(os.environ.get("CUT", "2"))
ENTRIES = int(os.environ.get("ENTRIES", "3"))
CUT_S, REPAIR_S, FATAL_S, LENGTH_S = 4.0, 16.0, 5.0, 20.0
STABLE_S, CRASHES, MOST = 3.0, 5, 3
FATAL = "dead00"
FATAL_EVERY = 3


async def main():
    w = world.World(FOLDER / "record.txt")
    found = {}
    heads = [engines.Engine(w, f"i-{n}", f"d{n // 4}", found, zone="abc"[n % 3]) for n in range(16)]
    for engine in heads:
        engine.fatal_parts = {FATAL}
    w.replicas = heads + [world.Replica(w, f"p-{n}", "orders") for n in range(3)]
    routes = [world.make_route("drafts", "streaming", "drafts", timeout_ms=8000, slo_ms=500,
                               resumable=True, gap_aim_ms=300), world.make_route("stock")]
    services = [engines.make_service(), {"name": "orders"}]
    answers = []
    async with trio.open_nursery() as nursery:
        try:
            await w.start(nursery, world.make_config(routes=routes, services=services), entries=ENTRIES,
                          zones="abc", has_links=True)
            await engines.wait_for_groups(w, found, 8)
            await trio.sleep(3)

            async def ask(number, is_fatal):
                parts = f"a1:40,{FATAL if is_fatal else 'b1'}:200,{0x1000 + number:x}:400"
                more = [("sycamorespool-model", "m0"), ("sycamorespool-token-counts", "640,30"),
                        (engines.PREFIX, parts)]
                name = f"{'fatal' if is_fatal else 'sound'}-{number}"
                answers.append(await world.ask(w, w.entries[number % ENTRIES].front, name, "/drafts/1", "POST",
                                               f"{number}".encode(), deadline_s=8.0, more=more))

            async with trio.open_nursery() as asking:
                began_s, number, changes = w.now(), 0, [CUT_S, REPAIR_S] if CUT else []
                while (passed_s := w.now() - began_s) < LENGTH_S:
                    if changes and passed_s >= changes[0]:
                        is_cut = changes.pop(0) == CUT_S
                        for entry in w.entries[:CUT]:
                            if is_cut:
                                entry.cut_links(hangs=True)
                            else:
                                entry.repair_links()
                    number += 1
                    is_fatal = HAS_TROUBLE and passed_s >= FATAL_S and number % FATAL_EVERY == 0
                    asking.start_soon(ask, number + number // ENTRIES if is_fatal else number, is_fatal)
                    asking.start_soon(world.ask, w, w.entries[number % ENTRIES].front, f"plain-{number}", "/stock/1")
                    await trio.sleep(0.2)
        finally:
            w.close()
        nursery.cancel_scope.cancel()
    crashes = sorted(s for engine in heads for s in engine.crashes)
    from_s = crashes[CRASHES - 1] + STABLE_S if len(crashes) >= CRASHES else float("inf")
    late = [a for engine in heads for a, s in engine.runs if a.startswith("fatal") and s > from_s]
    sound = [a for a in answers if a.attempt.startswith("sound")]
    served = sum(a.status == 200 and a.is_whole for a in sound)
    print(f"{len(crashes)} crashes; {len(late)} requests with the part reached replicas later than "
          f"{STABLE_S} s after crash {CRASHES}; {served} of {len(sound)} sound requests were served")
    return 1 if len(late) > MOST else 0


try:
    sys.exit(trio.run(main))
except SystemExit:
    raise
except BaseException:
    import traceback
    traceback.print_exc()
    sys.exit(2)
