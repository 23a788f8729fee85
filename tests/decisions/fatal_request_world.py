"""Simulates servers that end under whole requests, which come again.

The servers are those of a plain service, whose requests have no prompt, or
heads of groups.  A request's identity is the last element of its prompt, as
the entry makes it from path, caller and body.  Sound requests that were cut
are sent elsewhere just as the fatal ones are, and may be at several ends.
"""

import collections
import dataclasses
import math

from sycamorespool.decisions.faults import fatal_traits
from tests.decisions import fatal_trait_world

DOWN_S = 2.0
RUNS = 2
# How long after a failure a caller sends its request once more.
REPEAT_S = (0.2, 1.0)
REPEATS = 1
STABLE_S = 3.0
# An entry that restarts is away for this long.
AWAY_S = 1.0
RESTARTS_SPAN_S = 3.0
# Reports of ends that the store keeps for each entry.
KEPT_ENDS = 16
# Sound requests that come again and again, and the share that they have.
COMMON = 20
COMMON_SHARE = 0.3
SESSIONS = 200
# Parts of a play: with sound requests alone, and with fatal ones too.
SOUND_S = 5.0
FATAL_S = 40.0
OUT_OF_TOUCH_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Servers:
    """Holds how servers of one sort run requests.

    Parameters
    ----------
    count : int
        Number of servers; 0 for as many as the parent world has.
    read_s, write_s : tuple of float
        Least and longest time until a request runs, and until its end.
    fresh_s : float
        Time from its first byte on in which a request is suspected.
    """

    count: int
    slots: int
    sound_per_s: float
    read_s: tuple[float, float]
    write_s: tuple[float, float]
    fresh_s: float


PLAIN = Servers(3, 6, 3.0, (0.01, 0.11), (0.05, 0.4), math.inf)
ENGINES = Servers(
    0,
    fatal_trait_world.SLOTS,
    fatal_trait_world.SOUND_PER_HEAD_S,
    fatal_trait_world.READ_S,
    fatal_trait_world.WRITE_S,
    fatal_trait_world.FRESH_S,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Holds a request as its caller sends it, the first time and again."""

    prompt: tuple[str, ...]
    is_safe: bool
    is_fatal: bool = False

    @property
    def identity(self):
        return self.prompt[-1]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt(fatal_trait_world.Run):
    """Holds a request at a server, sent by one process of an entry."""

    request: Request
    start: int
    excluded: frozenset[int]
    repeats: int


class RequestWorld(fatal_trait_world.World):
    """Runs a fleet whose servers end under whole requests.

    Attributes
    ----------
    ends : dict
        When servers ended, by the identity that ended them.
    known_ends : dict
        The same, without the ends under requests of an entry that could not
        report them.
    sent : dict
        When in-touch entries sent a fatal identity to servers.
    outcomes : Counter
        Outcomes of the attempts of sound requests to find a server.
    """

    def __init__(self, entries, seed, servers, identities):
        super().__init__(entries, seed)
        self.servers = servers
        self.heads = servers.count or self.heads
        self.down_s = DOWN_S
        self._running = {head: {} for head in range(self.heads)}
        self._births = [0] * self.heads
        self._starts = [0] * entries
        self._away = set()
        self._out_of_touch_until_s = {}
        self._touched_s = {}
        self._records = {}
        self._reported_ends = collections.Counter()
        self._common = [self._make_request() for _ in range(COMMON)]
        # Every other one is safe to run again.
        self.fatal = [
            self._make_request(is_safe=number % 2 == 0, is_fatal=True)
            for number in range(identities)
        ]
        self.ends = collections.defaultdict(list)
        self.known_ends = collections.defaultdict(list)
        self.sent = collections.defaultdict(list)
        self.outcomes = collections.Counter()

    def count_all_late(self):
        """Return how often each was sent 3 s or more after its third end."""
        return self._count_late(self.ends)

    def count_all_known_late(self):
        """Return the same for the third end that an entry could report."""
        return self._count_late(self.known_ends)

    def _count_late(self, ends):
        return [
            self._count_sent_after(request.identity, ends[request.identity])
            for request in self.fatal
        ]

    def _count_sent_after(self, identity, ends_s):
        third_s = (ends_s[2:] or [math.inf])[0]
        return sum(at_s > third_s + STABLE_S for at_s in self.sent[identity])

    def list_wrongly_blocked(self):
        """Return the blocked parts that end no server."""
        fatal = {request.identity for request in self.fatal}
        return sorted(self.list_blocked() - fatal)

    def lose_touch(self, entry, span_s):
        """Let an entry neither send nor get reports for some time."""
        self._touched_s[entry] = self._now_s
        self._out_of_touch_until_s[entry] = self._now_s + span_s

    def restart_entries(self, entries):
        """Let entries restart one after another."""
        for entry in entries:
            delay_s = self._random.uniform(0.0, RESTARTS_SPAN_S)
            self._at(delay_s, self._stop_entry, entry)

    def _stop_entry(self, entry):
        self._away.add(entry)
        self._starts[entry] += 1
        self._at(AWAY_S, self._start_entry, entry)

    def _start_entry(self, entry):
        state = self._states[entry] = fatal_traits.FatalTraits()
        for note, args in self._records.values():
            note(state, *args)
        self._unreviewed.add(entry)
        self._away.discard(entry)

    def _choose_entry(self):
        present = [e for e in range(self.entries) if e not in self._away]
        return self._random.choice(present)

    def _make_request(self, is_safe=None, is_fatal=False):
        if is_safe is None:
            is_safe = self._random.random() < 0.5
        identity = f"request:{self._random.getrandbits(64):016x}"
        if self.servers.count:
            return Request((identity,), is_safe, is_fatal)
        session = self._random.randrange(SESSIONS)
        subject = session % fatal_trait_world.SUBJECTS
        prompt = (f"s{subject}", f"c{session}", identity)
        return Request(prompt, True, is_fatal)

    def _make_sound(self):
        per_s = self.servers.sound_per_s * self.heads
        self._at(self._random.expovariate(per_s), self._make_sound)
        is_common = self._random.random() < COMMON_SHARE
        request = (
            self._random.choice(self._common)
            if is_common
            else self._make_request()
        )
        self._call(request, REPEATS)

    def _make_fatal(self):
        per_s = self.fatal_per_s or 1.0
        self._at(self._random.expovariate(per_s), self._make_fatal)
        if self.fatal_per_s:
            self._call(self._random.choice(self.fatal), REPEATS)

    def _call(self, request, repeats):
        entry = self._choose_entry()
        first = Attempt(
            request.prompt,
            entry,
            math.inf,
            RUNS if request.is_safe else 1,
            request,
            self._starts[entry],
            frozenset(),
            repeats,
        )
        self._send(first)

    def _send(self, attempt):
        outcome = self._find_outcome(attempt)
        if not attempt.request.is_fatal:
            self.outcomes[outcome] += 1
        if outcome == "unserved":
            self._repeat(attempt)

    def _find_outcome(self, attempt):
        """Send an attempt if it may be sent, and tell what became of it."""
        state = self._states[attempt.entry]
        if state.find_block_end_s(attempt.prompt, self._now_s) is not None:
            return "blocked"
        free = [
            head
            for head, held in self._running.items()
            if len(held) < self.servers.slots and head not in attempt.excluded
        ]
        if not free:
            return "unserved"
        self._start(self._random.choice(free), attempt)
        return "begun"

    def _start(self, head, attempt):
        request = attempt.request
        if request.is_fatal and not self._is_out_of_touch(attempt.entry):
            self.sent[request.identity].append(self._now_s)
        read_s = self._random.uniform(*self.servers.read_s)
        attempt.began_s = self._now_s + read_s
        attempt.runs -= 1
        self._running[head][attempt] = None
        self._at(read_s, self._begin, head, attempt)

    def _repeat(self, attempt):
        """Let the caller of a failed request send it once more."""
        if attempt.repeats:
            delay_s = self._random.uniform(*REPEAT_S)
            self._at(delay_s, self._call, attempt.request, attempt.repeats - 1)

    def _begin(self, head, sent):
        if sent not in self._running.get(head, ()):
            return
        if sent.request.is_fatal:
            self.ends[sent.request.identity].append(self._now_s)
            if self._can_report(sent):
                self.known_ends[sent.request.identity].append(self._now_s)
            self._end(head)
            return
        write_s = self._random.uniform(*self.servers.write_s)
        self._at(write_s, self._finish, head, sent)

    def _finish(self, head, sent):
        if self._is_of_this_process(sent):
            super()._finish(head, sent)
        elif sent in self._running.get(head, ()):
            del self._running[head][sent]

    def _is_of_this_process(self, sent):
        """Tell whether the process that sent it still runs."""
        return self._starts[sent.entry] == sent.start

    def _can_report(self, sent):
        is_in_touch = not self._is_out_of_touch(sent.entry)
        return is_in_touch and self._is_of_this_process(sent)

    def _is_suspect(self, sent):
        is_fresh = self._now_s - sent.began_s < self.servers.fresh_s
        return is_fresh and self._is_of_this_process(sent)

    def _retry(self, head, sent):
        if not self._is_of_this_process(sent):
            self._repeat(sent)
        elif sent.runs:
            again = dataclasses.replace(sent, excluded=sent.excluded | {head})
            self._send(again)
        elif sent.request.is_safe:
            self._repeat(sent)

    def _is_out_of_touch(self, entry):
        return self._find_touch_s(entry) > 0.0

    def _find_touch_s(self, entry):
        """Return after how long an entry is in touch with the store."""
        until_s = self._out_of_touch_until_s.get(entry, -math.inf)
        return until_s - self._now_s

    def _find_heard_s(self, entry):
        is_out = self._is_out_of_touch(entry)
        return self._touched_s[entry] if is_out else self._now_s

    def _publish(self, entry, note, args):
        if entry in self._away:
            return
        touch_s = self._find_touch_s(entry)
        if touch_s > 0.0:
            self._at(touch_s, self._publish, entry, note, args)
            return
        self._records[self._make_key(entry, note, args)] = (note, args)
        super()._publish(entry, note, args)

    def _make_key(self, entry, note, args):
        """Return the key of a record in the store; the last one counts."""
        if note is fatal_traits.note_end:
            self._reported_ends[entry] += 1
            return ("end", entry, self._reported_ends[entry] % KEPT_ENDS)
        if note is fatal_traits.note_block:
            return ("block", args[0])
        return ("served", entry)

    def _receive(self, entry, note, args):
        touch_s = self._find_touch_s(entry)
        if touch_s > 0.0:
            self._at(touch_s, self._receive, entry, note, args)
            return
        super()._receive(entry, note, args)


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """Holds what is drawn in a play besides its seed."""

    servers: Servers
    entries: int
    identities: int
    fatal_per_s: float


def run_play(play, seed):
    """Run a play and return its world.

    One entry is out of touch with the store just as the fatal requests
    begin, and every other one restarts in the middle.
    """
    world = RequestWorld(play.entries, seed, play.servers, play.identities)
    world.run(SOUND_S)
    world.fatal_per_s = play.fatal_per_s
    world.run(1.0)
    world.lose_touch(0, OUT_OF_TOUCH_S)
    world.run(FATAL_S / 2)
    world.restart_entries(range(1, play.entries, 2))
    world.run(FATAL_S / 2)
    return world
