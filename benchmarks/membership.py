"""Membership between entries: messages, bytes, detection, suspicions.

The entries run in one process over the pure decisions, with a clock of
their own and a network that loses messages by a seeded generator.  Bytes
are those of the messages' MessagePack form.
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
    """Entries that exchange pings by calls in one process.

    Parameters
    ----------
    size : int
        Number of entries.
    loss : float
        Probability that one message is lost.
    helps : bool
        Whether helpers are asked before a suspicion.
    """

    def __init__(
        self,
        size: int,
        loss: float = 0.0,
        helps: bool = True,
        seed: int = SEED,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.helps = helps
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
        """Start the process of an entry, which knows the platform's list."""
        state = membership.join(name, name, "dc", "", incarnation)
        listed = {other: (other, "dc") for other in self.names}
        membership.set_listed(state, listed, self.now_s)
        self.states[name] = state
        self.stopped.discard(name)

    def _passes(self, sender: str, receiver: str, message: t.Any) -> bool:
        self.messages += 1
        self.sizes_bytes.append(len(msgspec.msgpack.encode(message)))
        return (
            receiver not in self.stopped
            and sender not in self.stopped
            and self.side[sender] == self.side[receiver]
            and self.rng.random() >= self.loss
        )

    def ping(self, sender: str, receiver: str) -> bool:
        """Ping; return whether the acknowledgement came."""
        ours = self.states[sender]
        ping = membership.make_ping(ours, receiver)
        if not self._passes(sender, receiver, ping):
            return False
        theirs = self.states[receiver]
        membership.receive(theirs, ping, self.now_s)
        ack = membership.make_ack(theirs, sender)
        if not self._passes(receiver, sender, ack):
            return False
        membership.receive(ours, ack, self.now_s)
        return True

    def _ask_helper(self, sender: str, helper: str, target: str) -> bool:
        ours = self.states[sender]
        request = membership.make_ping_request(ours, helper, target)
        if not self._passes(sender, helper, request):
            return False
        theirs = self.states[helper]
        membership.receive(theirs, request, self.now_s)
        is_reached = self.ping(helper, target)
        ack = membership.make_ack(theirs, sender, is_reached)
        if not self._passes(helper, sender, ack):
            return False
        membership.receive(ours, ack, self.now_s)
        return is_reached

    def _run_period(self, name: str) -> None:
        state = self.states[name]
        target = membership.begin_period(state, self.now_s, self.rng)
        if target is None or self.ping(name, target):
            return
        if self.helps:
            helpers = membership.choose_helpers(state, target, self.rng)
            reached = [self._ask_helper(name, h, target) for h in helpers]
            if any(reached):
                return
        self.suspicions += 1
        membership.suspect(state, target, self.now_s)

    def run(self, periods: int) -> None:
        """Let a number of periods pass."""
        for _ in range(periods):
            self.now_s += membership.PERIOD_S
            for name in self.names:
                if name not in self.stopped:
                    self._run_period(name)

    def views(self, name: str) -> set[str]:
        """Return the statuses in which the running others hold an entry."""
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
    began = time.process_time()
    cluster.run(20)
    spent_s = time.process_time() - began
    rounds = 20 * size
    return {
        "messages_per_entry_per_s": cluster.messages / rounds,
        "bytes_per_entry_per_s": sum(cluster.sizes_bytes) / rounds,
        "max_message_bytes": max(cluster.sizes_bytes),
        "cpu_us_per_round": spent_s / rounds * 1e6,
    }


def _measure_detection(size: int, seed: int) -> tuple[int, int]:
    """Return the periods until the first and until all hold it dead."""
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


def _measure_lossy(size: int, helps: bool) -> dict[str, float]:
    cluster = Cluster(size, LOSS, helps)
    dead = 0
    for _ in range(200):
        cluster.run(1)
        dead += sum("dead" in cluster.views(n) for n in cluster.names[:9])
    rounds = 200 * size
    return {
        "false_suspicions_per_entry_per_hour": cluster.suspicions
        / rounds
        * 3600,
        "entry_periods_held_dead_of_1800": dead,
    }


def _measure_changes(size: int) -> dict[str, float]:
    """Load while 5% of the entries have just restarted."""
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
        found = [_measure_detection(size, seed) for seed in seeds]
        figures[str(size)] = {
            "steady": _measure_steady(size),
            "changes": _measure_changes(size),
            "detection_s": {
                "first_median": statistics.median(f for f, _ in found),
                "all_median": statistics.median(a for _, a in found),
                "all_max": max(a for _, a in found),
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
