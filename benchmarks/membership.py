"""Measures membership among entries: messages, bytes, failure detection.

The entries run in one process and call the decision modules, with a
simulated clock and a network that loses messages by a seeded random
generator.  Bytes are those of the messages encoded as MessagePack.
"""

import random
import statistics
import time
import typing as t

import msgspec

from sycamorespool.decisions import membership

SIZES = (9, 48, 190, 380)
LOSS = 0.05
SEED = 11


class Cluster:
    """A set of entries that exchange pings by calls in one process.

    Parameters
    ----------
    size : int
        Number of entries.
    loss : float
        Probability that one message is lost.
    uses_helpers : bool
        Whether helpers ping an entry before it is suspected (indirect
        pings).
    """

    def __init__(
        self,
        size: int,
        loss: float = 0.0,
        uses_helpers: bool = True,
        seed: int = SEED,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.uses_helpers = uses_helpers
        self.now_s = 0.0
        self.names = [f"e{index}" for index in range(size)]
        self.states: dict[str, membership.Membership] = {}
        self.side = dict.fromkeys(self.names, 0)
        self.stopped: set[str] = set()
        self.messages = 0
        self.sizes_bytes: list[int] = []
        self.suspicions = 0
        for name in self.names:
            self.start(name, 1)

    def start(self, name: str, incarnation: int) -> None:
        """Start an entry that knows the others from the platform's list."""
        state = membership.join(name, name, "dc", "", incarnation)
        platform_list = {other: (other, "dc") for other in self.names}
        membership.set_listed(state, platform_list, self.now_s)
        self.states[name] = state
        self.stopped.discard(name)

    def _is_delivered(
        self, sender: str, receiver: str, message: t.Any
    ) -> bool:
        self.messages += 1
        self.sizes_bytes.append(len(msgspec.msgpack.encode(message)))
        return (
            receiver not in self.stopped
            and sender not in self.stopped
            and self.side[sender] == self.side[receiver]
            and self.rng.random() >= self.loss
        )

    def ping(self, sender: str, receiver: str) -> bool:
        """Ping an entry and return whether the acknowledgement arrived."""
        sender_state = self.states[sender]
        ping = membership.make_ping(sender_state, receiver)
        if not self._is_delivered(sender, receiver, ping):
            return False
        receiver_state = self.states[receiver]
        membership.receive(receiver_state, ping, self.now_s)
        ack = membership.make_ack(receiver_state, sender)
        if not self._is_delivered(receiver, sender, ack):
            return False
        membership.receive(sender_state, ack, self.now_s)
        return True

    def _ask_helper(self, sender: str, helper: str, target: str) -> bool:
        sender_state = self.states[sender]
        request = membership.make_ping_request(sender_state, helper, target)
        if not self._is_delivered(sender, helper, request):
            return False
        receiver_state = self.states[helper]
        membership.receive(receiver_state, request, self.now_s)
        is_reached = self.ping(helper, target)
        ack = membership.make_ack(receiver_state, sender, is_reached)
        if not self._is_delivered(helper, sender, ack):
            return False
        membership.receive(sender_state, ack, self.now_s)
        return is_reached

    def _run_period(self, name: str) -> None:
        state = self.states[name]
        target = membership.begin_period(state, self.now_s, self.rng)
        if target is None or self.ping(name, target):
            return
        if self.uses_helpers:
            helpers = membership.choose_helpers(state, target, self.rng)
            reached = [self._ask_helper(name, h, target) for h in helpers]
            if any(reached):
                return
        self.suspicions += 1
        membership.suspect(state, target, self.now_s)

    def run(self, periods: int) -> None:
        """Run a number of periods of all entries."""
        for _ in range(periods):
            self.now_s += membership.PERIOD_S
            for name in self.names:
                if name not in self.stopped:
                    self._run_period(name)

    def views(self, name: str) -> set[str]:
        """Return the statuses that the other running entries give an entry."""
        return {
            self.states[other].members[name].update.status.value
            for other in self.names
            if other != name and other not in self.stopped
        }


def _measure_steady(size: int) -> dict[str, float]:
    cluster = Cluster(size)
    cluster.run(60 + size)
    cluster.messages = 0
    cluster.sizes_bytes.clear()
    cpu_start_s = time.process_time()
    cluster.run(20)
    cpu_s = time.process_time() - cpu_start_s
    entry_periods = 20 * size
    return {
        "messages_per_entry_per_s": cluster.messages / entry_periods,
        "bytes_per_entry_per_s": sum(cluster.sizes_bytes) / entry_periods,
        "max_message_bytes": max(cluster.sizes_bytes),
        "cpu_us_per_round": cpu_s / entry_periods * 1e6,
    }


def _measure_detection(size: int, seed: int) -> tuple[int, int]:
    """Return the periods until the first and until all see a failed entry.

    An entry sees it when its status is "dead".
    """
    cluster = Cluster(size, seed=seed)
    cluster.run(10)
    cluster.stopped.add("e0")
    first = 0
    for period in range(1, 90):
        cluster.run(1)
        views = cluster.views("e0")
        if not first and "dead" in views:
            first = period
        if views == {"dead"}:
            return first, period
    return first, 90


def _measure_lossy(size: int, uses_helpers: bool) -> dict[str, float]:
    cluster = Cluster(size, LOSS, uses_helpers)
    dead = 0
    for _ in range(200):
        cluster.run(1)
        dead += sum("dead" in cluster.views(n) for n in cluster.names[:9])
    entry_periods = 200 * size
    return {
        "false_suspicions_per_entry_per_hour": cluster.suspicions
        / entry_periods
        * 3600,
        "entry_periods_held_dead_of_1800": dead,
    }


def _measure_changes(size: int) -> dict[str, float]:
    """Measure the load after 5% of the entries have restarted."""
    cluster = Cluster(size)
    cluster.run(20)
    for name in cluster.names[: max(1, size // 20)]:
        cluster.start(name, 2)
    cluster.messages = 0
    cluster.sizes_bytes.clear()
    cluster.run(10)
    return {
        "bytes_per_entry_per_s": sum(cluster.sizes_bytes) / (10 * size),
        "max_message_bytes": max(cluster.sizes_bytes),
    }


def run() -> dict[str, t.Any]:
    """Return all figures by size."""
    figures: dict[str, t.Any] = {}
    for size in SIZES:
        seeds = range(3 if size > 100 else 20)
        detections = [_measure_detection(size, seed) for seed in seeds]
        figures[str(size)] = {
            "steady": _measure_steady(size),
            "changes": _measure_changes(size),
            "detection_s": {
                "first_median": statistics.median(f for f, _ in detections),
                "all_median": statistics.median(a for _, a in detections),
                "all_max": max(a for _, a in detections),
            },
        }
    for size in (9, 48):
        figures[str(size)][f"loss_{LOSS}"] = {
            "with_helpers": _measure_lossy(size, True),
            "without_helpers": _measure_lossy(size, False),
        }
    return figures


if __name__ == "__main__":
    print(msgspec.json.format(msgspec.json.encode(run())).decode())
