"""A part of long prompts crashes replicas: do they end one after the other?"""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import trio  # noqa: E402

import engines  # noqa: E402
import world  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Parts of each prompt, and the place of the one that crashes replicas.
PARTS, PLACE = 40, int(os.environ.get("PLACE", "35"))
RESTART_S = 4.0
STABLE_S, CRASHES, MOST = 3.0, 5, 3
# Sound requests that are needed on both sides to be compared.
LEAST = 20
FATAL = "dead00"
LENGTH_S = 50.0


def make_prompt(number, is_fatal):
    """Return the parts of a prompt; all have the same but the last."""
    ids = [f"{0xa0 + n:x}" for n in range(PARTS - 1)]
    if is_fatal:
        ids[PLACE] = FATAL
    ids.append(f"{0x100000 + number:x}")
    return ",".join(f"{part}:30" for part in ids)


async def main():
    w = world.World(FOLDER / "record.txt")
    found = {}
    w.replicas = [engines.Engine(w, f"i-{n}", f"d{n // 4}", found, zone="abc"[n // 4]) for n in range(12)]
    for engine in w.replicas:
        engine.fatal_parts, engine.restart_s = {FATAL}, RESTART_S
    route = world.make_route("drafts", "streaming", "drafts", timeout_ms=8000, slo_ms=500,
                             resumable=True, gap_aim_ms=300)
    answers = []
    async with trio.open_nursery() as nursery:
        try:
            await w.start(nursery, world.make_config(routes=[route], services=[engines.make_service()]), entries=3, zones="abc")
            await engines.wait_for_groups(w, found, 6)

            async def ask(number, is_fatal):
                more = [("sycamorespool-model", "m0"), ("sycamorespool-token-counts", f"{PARTS * 30},30"),
                        (engines.PREFIX, make_prompt(number, is_fatal))]
                name = f"{'fatal' if is_fatal else 'sound'}-{number}"
                answers.append(await world.ask(w, w.entries[number % 3].front, name, "/drafts/1", "POST",
                                               f"{number}".encode(), deadline_s=8.0, more=more))

            async with trio.open_nursery() as asking:
                began_s, number = w.now(), 0
                while w.now() - began_s < LENGTH_S:
                    number += 1
                    is_fatal = number % 4 == 0 and HAS_TROUBLE and number > 25
                    asking.start_soon(ask, number, is_fatal)
                    await trio.sleep(0.2)
        finally:
            w.close()
        nursery.cancel_scope.cancel()
    crashes = sorted(s for engine in w.replicas for s in engine.crashes)
    from_s = crashes[CRASHES - 1] + STABLE_S if len(crashes) >= CRASHES else float("inf")
    late = [a for engine in w.replicas for a, s in engine.runs if a.startswith("fatal") and s > from_s]
    sound = [a for a in answers if a.attempt.startswith("sound")]
    served = sum(a.status == 200 and a.is_whole for a in sound)
    ran = {a for engine in w.replicas for a, _ in engine.runs}
    lost = sum(a.attempt in ran and not (a.status == 200 and a.is_whole) for a in sound)
    print(f"{len(crashes)} crashes; BUDGET: {len(late)} requests with the part reached replicas later than "
          f"{STABLE_S} s after crash {CRASHES}; {served} of {len(sound)} sound requests were served, "
          f"{lost} had begun and were cut or answered 502")
    is_broken = is_lost(crashes, sound, ran)
    return 1 if is_broken or len(late) > MOST else 0


def is_lost(crashes, sound, ran):
    """Tell whether sound requests begin less than half as often as before."""
    if len(crashes) < CRASHES:
        return False
    before = [a for a in sound if a.sent_s < crashes[0] - 0.5]
    after = [a for a in sound if a.sent_s >= crashes[CRASHES - 1] + 2 * STABLE_S]
    begun = [sum(a.attempt in ran for a in some) for some in (before, after)]
    print(f"LOST: {begun[0]} of {len(before)} sound requests began before the crashes, "
          f"{begun[1]} of {len(after)} from {2 * STABLE_S} s after crash {CRASHES}")
    if min(len(before), len(after)) < LEAST:
        return False
    return begun[1] / len(after) < begun[0] / len(before) / 2


try:
    sys.exit(trio.run(main))
except SystemExit:
    raise
except BaseException:
    import traceback
    traceback.print_exc()
    sys.exit(2)
