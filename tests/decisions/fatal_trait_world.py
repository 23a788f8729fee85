"""Simulates a fleet of entries whose servers end under requests.

Each entry knows at once what it saw itself, and after a delay what another
one reported.  Times are in seconds.
"""

import dataclasses
import heapq
import itertools
import random

from sycamorespool.decisions.faults import fatal_traits

FATAL = "bad"
SUBJECTS = 60
SLOTS = 13
SOUND_PER_HEAD_S = 4.0
# From the arrival at a server to the first event, and to the last one.
READ_S = (0.05, 0.5)
WRITE_S = (0.3, 2.0)
FRESH_S = 0.5
DOWN_S = 5.0
REPORT_DELAY_S = (0.1, 1.2)
REVIEW_S = 0.2
# Entries tell the others at random times within this, so that most of them
# learn that another one has done so.
SPREAD_S = 0.5
RUNS = 2


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """Holds a request at a server."""

    prompt: tuple[str, ...]
    entry: int
    began_s: float
    runs: int


class World:
    """Runs the events of a fleet in the order of their times.

    Parameters
    ----------
    entries : int
        Number of entries; there is a head of a group for each three of
        them, and at least 16.
    seed : int
        Seed of all random draws.

    Attributes
    ----------
    fatal_per_s : float
        Requests a second with the fatal part.
    down_s : float
        Time until a server that ended is back.
    ended_s : list
        When servers ended under the fatal part.
    fatal_sent_s : list
        When requests with the fatal part were sent to servers.
    sound : list
        When each sound request came, and ``begun``, ``blocked`` or
        ``unserved`` as the outcome of its first attempt.
    """

    def __init__(self, entries, seed):
        self.entries = entries
        self.heads = max(16, entries // 3)
        self.fatal_per_s = 0.0
        self.down_s = DOWN_S
        self.ended_s = []
        self.fatal_sent_s = []
        self.sound = []
        self._states = [fatal_traits.FatalTraits() for _ in range(entries)]
        self._random = random.Random(seed)
        self._now_s = 0.0
        self._serial = itertools.count()
        self._due = []
        # The requests at each live server, in the order of their arrival.
        self._running = {head: {} for head in range(self.heads)}
        self._births = [0] * self.heads
        self._unreviewed = set()
        self._telling = set()
        self._at(0.0, self._make_sound)
        self._at(0.0, self._make_fatal)
        for entry in range(entries):
            self._at(self._random.uniform(0, REVIEW_S), self._review, entry)

    def list_blocked(self):
        """Return the parts that any entry blocks."""
        return {
            part for state in self._states for part in state.blocked_until_s
        }

    def run(self, span_s):
        """Run all events of the next seconds."""
        until_s = self._now_s + span_s
        while self._due and self._due[0][0] <= until_s:
            self._now_s, _, action, args = heapq.heappop(self._due)
            action(*args)
        self._now_s = until_s

    def end_servers(self, count):
        """End servers at once, whatever they run."""
        live = sorted(self._running)
        for head in self._random.sample(live, min(count, len(live))):
            self._end(head)

    def _at(self, delay_s, action, *args):
        due_s = self._now_s + delay_s
        heapq.heappush(self._due, (due_s, next(self._serial), action, args))

    def _make_prompt(self, *middle):
        subject = int(SUBJECTS * self._random.random() ** 1.5)
        return (f"s{subject}", *middle, f"own{next(self._serial)}")

    def _make_sound(self):
        per_s = SOUND_PER_HEAD_S * self.heads
        self._at(self._random.expovariate(per_s), self._make_sound)
        entry = self._random.randrange(self.entries)
        outcome = self._send(self._make_prompt(), entry, RUNS)
        self.sound.append((self._now_s, outcome))

    def _make_fatal(self):
        per_s = self.fatal_per_s or 1.0
        self._at(self._random.expovariate(per_s), self._make_fatal)
        if self.fatal_per_s:
            entry = self._random.randrange(self.entries)
            self._send(self._make_prompt(FATAL), entry, RUNS)

    def _send(self, prompt, entry, runs):
        state = self._states[entry]
        if state.find_block_end_s(prompt, self._now_s) is not None:
            return "blocked"
        free = [h for h, held in self._running.items() if len(held) < SLOTS]
        if not free or not runs:
            return "unserved"
        if FATAL in prompt:
            self.fatal_sent_s.append(self._now_s)
        head = self._random.choice(free)
        read_s = self._random.uniform(*READ_S)
        sent = Run(prompt, entry, self._now_s + read_s, runs - 1)
        self._running[head][sent] = None
        self._at(read_s, self._begin, head, sent)
        return "begun"

    def _begin(self, head, sent):
        if sent not in self._running.get(head, ()):
            return
        if FATAL in sent.prompt:
            self.ended_s.append(self._now_s)
            self._end(head)
            return
        write_s = self._random.uniform(*WRITE_S)
        self._at(write_s, self._finish, head, sent)

    def _finish(self, head, sent):
        if sent in self._running.get(head, ()):
            del self._running[head][sent]
            state = self._states[sent.entry]
            fatal_traits.note_served(state, sent.prompt, self._now_s)

    def _end(self, head):
        cut = self._running.pop(head)
        self._births[head] += 1
        prompts = {}
        for sent in cut:
            if self._is_suspect(sent):
                prompts.setdefault(sent.entry, set()).add(sent.prompt)
        for entry, found in prompts.items():
            end = fatal_traits.ServerEnd(
                f"i-{head}", self._births[head], frozenset(found)
            )
            self._report(entry, fatal_traits.note_end, end, self._now_s)
        for sent in cut:
            self._retry(head, sent)
        self._at(self.down_s, self._restart, head)

    def _is_suspect(self, sent):
        return self._now_s - sent.began_s < FRESH_S

    def _retry(self, head, sent):
        self._send(sent.prompt, sent.entry, sent.runs)

    def _restart(self, head):
        self._running[head] = {}

    def _report(self, entry, note, *args):
        """Let an entry note something now, and the others later."""
        self._note(entry, note, args)
        self._publish(entry, note, args)

    def _publish(self, entry, note, args):
        for other in range(self.entries):
            if other != entry:
                delay_s = self._random.uniform(*REPORT_DELAY_S)
                self._at(delay_s, self._receive, other, note, args)

    def _receive(self, entry, note, args):
        self._note(entry, note, args)

    def _note(self, entry, note, args):
        note(self._states[entry], *args)
        self._unreviewed.add(entry)

    def _review(self, entry):
        self._at(REVIEW_S, self._review, entry)
        state = self._states[entry]
        is_due = state.find_review_due_s() <= self._now_s
        if entry not in self._unreviewed and not is_due:
            return
        self._unreviewed.discard(entry)
        state.heard_s = self._find_heard_s(entry)
        found = fatal_traits.review(state, self._now_s)
        has_news = found.blocked or found.served
        if has_news and entry not in self._telling:
            self._telling.add(entry)
            delay_s = self._random.uniform(0.0, SPREAD_S)
            self._at(delay_s, self._tell, entry)

    def _find_heard_s(self, entry):
        """Return until when an entry knows the reports of the others."""
        return self._now_s

    def _tell(self, entry):
        self._telling.discard(entry)
        state = self._states[entry]
        state.heard_s = self._find_heard_s(entry)
        found = fatal_traits.review(state, self._now_s)
        for part in found.blocked:
            until_s = state.blocked_until_s[part]
            self._report(entry, fatal_traits.note_block, part, until_s)
        if found.served:
            served = [(p, state.find_served_s(p)) for p in found.served]
            self._report(entry, note_all_served, served)


def note_all_served(state, served):
    for part, at_s in served:
        fatal_traits.note_reported_served(state, part, at_s)
