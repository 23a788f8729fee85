"""Checks invariants at a stand-in engine and records violations."""

import trio

from sycamorespool.standins import hosted_state

# A cold engine may begin, in any window, this multiple of its rate plus the
# slack.
COLD_WINDOW_S = 1.0
COLD_OVER = 1.5
COLD_SLACK = 5
# States in which the head of a group may run requests.
RUNNING_STATES = ("open", "closing")


def check_join(engine: hosted_state.EngineState, group: str) -> None:
    """Record a join while the former group's head may run requests."""
    if engine.group is None or engine.group["name"] == group:
        return
    head = engine.all_engines.get(engine.members[0])
    if head is None or head.is_silent or head.group_key != engine.group_key:
        return
    if head.group and head.group["state"] in RUNNING_STATES:
        engine.violations.append(
            f"{engine.vm_id} joins {group} while its head {head.vm_id} is"
            f" {head.group['state']}"
        )


def check_run(engine: hosted_state.EngineState) -> None:
    """Record a run in a group with a member that was never ready in it.

    Runs beyond the limit of a cold engine are recorded too.
    """
    for vm_id in engine.members if engine.all_engines else ():
        if engine.group_key not in engine.all_engines[vm_id].ready_groups:
            engine.violations.append(
                f"{engine.vm_id} runs a request though {vm_id} never was"
                f" ready in its group"
            )
    now_s = trio.current_time()
    if now_s >= engine.cold_until_s or not engine.cold_per_s:
        return
    arrivals_s = engine.cold_arrivals_s
    arrivals_s.append(now_s)
    while now_s - arrivals_s[0] >= COLD_WINDOW_S:
        arrivals_s.popleft()
    if len(arrivals_s) > engine.cold_per_s * COLD_OVER + COLD_SLACK:
        engine.violations.append(f"{engine.vm_id} is cold and overloaded")
