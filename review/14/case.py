"""Clients leave streams that cannot be resumed: do replicas go on with them?"""

import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import trio  # noqa: E402

import engines  # noqa: E402
import world  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IS_RESUMABLE = os.environ.get("RESUMABLE", "0") == "1"
SLACK_S, LEAVE_SHARE, LEAVE_S = 0.5, 0.3, 1.5
SLOW_FIRST_S, SLOW_EVENT_S = 2.4, 0.1


async def main():
    w = world.World(FOLDER / "record.txt")
    rng = random.Random(3)
    found = {}
    w.replicas = [engines.Engine(w, f"i-{n}", f"d{n // 4}", found, zone="abc"[n // 4]) for n in range(12)]
    route = world.make_route("drafts", "streaming", "drafts", timeout_ms=8000, slo_ms=500,
                             resumable=IS_RESUMABLE, gap_aim_ms=300)
    left = {}
    async with trio.open_nursery() as nursery:
        try:
            await w.start(nursery, world.make_config(routes=[route], services=[engines.make_service()]), entries=3, zones="abc")
            await engines.wait_for_groups(w, found, 6)
            await trio.sleep(2)
            for engine in w.replicas:
                # Twelve times slower than usual.
                engine.first_s, engine.event_s = SLOW_FIRST_S, SLOW_EVENT_S

            async def ask(number):
                more = [("sycamorespool-model", "m0"), ("sycamorespool-token-counts", "700,30"),
                        (engines.PREFIX, f"a1:40,{0x1000 + number:x}:660")]
                leave_s = None
                if HAS_TROUBLE and rng.random() < LEAVE_SHARE:
                    leave_s = rng.uniform(0.2, 1.0) * LEAVE_S
                answer = await world.ask(w, w.entries[number % 3].front, f"a-{number}", "/drafts/1", "POST",
                                         b"x", deadline_s=8.0, more=more, leave_s=leave_s)
                if answer.error == "client left":
                    left[answer.attempt] = answer.end_s

            async with trio.open_nursery() as asking:
                for number in range(180):
                    asking.start_soon(ask, number)
                    await trio.sleep(0.05)
        finally:
            w.close()
        nursery.cancel_scope.cancel()
    times = {a: t for engine in w.replicas for a, t in engine.ended.items() if a in left}
    # Those at which the replica would have worked for longer than the slack.
    whole_s = SLOW_FIRST_S + 5 * SLOW_EVENT_S
    lasting = [a for a, (began_s, _) in times.items() if began_s + whole_s > left[a] + SLACK_S]
    working = [a for a in lasting if times[a][1] > left[a] + SLACK_S]
    print(len(left), "clients left;", len(lasting), "of their streams would have lasted longer;",
          len(working), "were still worked on", SLACK_S, "s later")
    return 1 if len(working) > len(lasting) / 4 else 0


try:
    sys.exit(trio.run(main))
except SystemExit:
    raise
except BaseException:
    import traceback
    traceback.print_exc()
    sys.exit(2)
