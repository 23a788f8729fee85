"""Finds the traits of requests on which backend servers end.

A request may end every server that begins to answer it, and the next one
when it is repeated there (a query of death).  The cause is often a part of
its prompt that other requests share, or the request itself, which is
repeated and named by its identity (see
:mod:`sycamorespool.requests.request_identity`).  Both are traits of the
request.  Each entry combines what all entries saw: the servers that ended,
with the requests that were not yet answered there, and the traits of requests
that were served::

    note_end(state, ServerEnd("i-1", 7, frozenset({("aa", "bad", "c1")})), 9.0)
    review(state, 9.0)
    state.find_block_end_s(("aa", "bad", "c2"), 9.1)

Most requests at a server that ends have nothing to do with it.  So the trait
that is common to the most ends explains them first, of several traits with
the same ends the one that is the most special, as an identity is; the other
traits count only for the ends that are left.  A trait that was served lately
is no cause.
"""

import dataclasses
import math
import typing as t

from sycamorespool.decisions.faults import end_causes

# Ends after which a trait is blocked, unless some entry has served it.
BLOCK_ENDS = 3
# Time in which other entries can tell that they have served a trait.
CONFIRM_S = 1.5
# Time between two checks whether their reports have come by now, or whether
# this entry has served a trait that others may suspect.
RECHECK_S = 0.5
# How long a request is only held while another one was at the same ends.
AMBIGUOUS_S = 60.0
BLOCK_S = 600.0
# How long an end counts.
WINDOW_S = 120.0
MAX_SERVED = 16384
MAX_ENDS = 512
# Traits in one report of what was served.
MAX_REPORTED = 256

# The ids of a prompt's parts in order, and then the request's identity.
Traits: t.TypeAlias = tuple[str, ...]


class ServerKey(t.NamedTuple):
    """Names one process of a server by its id and start, in Unix ms."""

    backend_id: str
    started_ms: int


class Block(t.NamedTuple):
    """Names the trait for which a request is not sent, and until when."""

    trait: str
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEnd:
    """Holds a server that ended.

    Parameters
    ----------
    prompts : frozenset of tuple
        Prompts of the requests there that had no answer yet, or whose answer
        had only just begun.
    """

    backend_id: str
    started_ms: int
    prompts: frozenset[Traits]


@dataclasses.dataclass(frozen=True, slots=True)
class _Hold:
    """Holds since when a trait is suspected, and if this suffices.

    Parameters
    ----------
    due_s : float
        When it is decided whether the trait is blocked.
    """

    since_s: float
    is_enough: bool
    due_s: float

    @property
    def end_s(self) -> float:
        """Return when the hold ends, unless the trait is blocked by then."""
        return self.due_s + (CONFIRM_S if self.is_enough else 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Review:
    """Holds what this entry should report to the others.

    Parameters
    ----------
    blocked : list of str
        Parts that it blocks, and no report tells of.
    served : list of str
        Parts that some entry has served lately and that others may suspect;
        none while their reports tell all that this entry knows.
    """

    blocked: list[str]
    served: list[str]


@dataclasses.dataclass(slots=True)
class FatalTraits:
    """Holds the ends of servers, and the traits that are held or blocked.

    Parameters
    ----------
    ends : dict
        The recent ends by process.
    served_s : dict
        When this entry last served each trait; the latest come last.
    reported_served_s : dict
        When other entries have served a trait, by their reports.
    holds : dict
        The traits that are suspected.
    blocked_until_s : dict
        Until when a trait is blocked.
    reported_blocks : set
        The blocked traits that some entry has reported.
    lifted_s : dict
        When the block of a trait was lifted lately.
    heard_s : float
        Until when the reports of the other entries are known.
    uncleared : frozenset
        Traits that another entry may suspect, by the reports.
    served_due_s : float
        When to review that one of these has been served here since.
    """

    ends: dict[ServerKey, end_causes.SeenEnd] = dataclasses.field(
        default_factory=dict
    )
    served_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reported_served_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    holds: dict[str, _Hold] = dataclasses.field(default_factory=dict)
    blocked_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reported_blocks: set[str] = dataclasses.field(default_factory=set)
    lifted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    heard_s: float = math.inf
    uncleared: frozenset[str] = frozenset()
    served_due_s: float = math.inf

    def find_review_due_s(self) -> float:
        """Return when a review is due without any further report."""
        dues_s = [h.due_s for h in self.holds.values() if h.is_enough]
        return min([*dues_s, self.served_due_s])

    def find_block(self, traits: Traits, now_s: float) -> Block | None:
        """Return why no request with these traits is to be sent now.

        None if it may be sent.
        """
        blocks = [Block(t, self._find_trait_end_s(t)) for t in traits]
        last = max(blocks, key=lambda block: block.end_s, default=None)
        return last if last is not None and last.end_s > now_s else None

    def find_block_end_s(self, traits: Traits, now_s: float) -> float | None:
        """Return until when no request with these traits is to be sent.

        None if it may be sent now.
        """
        block = self.find_block(traits, now_s)
        return block.end_s if block else None

    def _find_trait_end_s(self, trait: str) -> float:
        hold = self.holds.get(trait)
        hold_end_s = hold.end_s if hold else -math.inf
        return max(hold_end_s, self.blocked_until_s.get(trait, -math.inf))

    def find_served_s(self, trait: str) -> float:
        """Return when any entry, as far as known, last served a trait."""
        return max(
            self.served_s.get(trait, -math.inf),
            self.reported_served_s.get(trait, -math.inf),
        )


def note_end(state: FatalTraits, end: ServerEnd, at_s: float) -> None:
    """Record that a server ended, as this or another entry saw it."""
    key = ServerKey(end.backend_id, end.started_ms)
    seen = state.ends.setdefault(key, end_causes.SeenEnd(at_s))
    for prompt in end.prompts:
        for depth, trait in enumerate(prompt):
            if at_s <= state.lifted_s.get(trait, -math.inf):
                continue
            seen.depths[trait] = max(depth, seen.depths.get(trait, 0))
    if len(state.ends) > MAX_ENDS:
        del state.ends[next(iter(state.ends))]


def note_served(state: FatalTraits, prompt: Traits, now_s: float) -> None:
    """Record that a request with this prompt got its whole answer."""
    for trait in prompt:
        state.served_s.pop(trait, None)
        state.served_s[trait] = now_s
        if trait in state.uncleared:
            state.served_due_s = min(state.served_due_s, now_s + RECHECK_S)
    while len(state.served_s) > MAX_SERVED:
        del state.served_s[next(iter(state.served_s))]


def note_reported_served(state: FatalTraits, trait: str, at_s: float) -> None:
    """Record that another entry has served a trait."""
    known_s = state.reported_served_s.get(trait, -math.inf)
    state.reported_served_s[trait] = max(known_s, at_s)


def note_block(state: FatalTraits, trait: str, until_s: float) -> None:
    """Record the report that an entry has blocked a trait.

    A report from before the block was lifted may be written late.
    """
    if until_s - BLOCK_S <= state.lifted_s.get(trait, -math.inf):
        return
    known_s = state.blocked_until_s.get(trait, -math.inf)
    state.blocked_until_s[trait] = max(known_s, until_s)
    state.reported_blocks.add(trait)


def lift_block(state: FatalTraits, trait: str, now_s: float) -> None:
    """Record that an operator has lifted the block of a trait.

    The ends that it explained then count for no other trait either.
    """
    state.lifted_s[trait] = now_s
    state.blocked_until_s.pop(trait, None)
    state.reported_blocks.discard(trait)
    state.holds.pop(trait, None)
    state.ends = {
        key: seen
        for key, seen in state.ends.items()
        if trait not in seen.depths
    }


def review(state: FatalTraits, now_s: float) -> Review:
    """Hold, release and block traits by what is known now."""
    _forget_old(state, now_s)
    ends = end_causes.find_causes(
        state.ends.values(),
        state.blocked_until_s.keys(),
        state.find_served_s,
    )
    for trait in state.blocked_until_s.keys() & ends.keys():
        del ends[trait]
    for trait in state.holds.keys() - ends.keys():
        del state.holds[trait]
    for trait, suspicion in ends.items():
        _suspect(state, trait, suspicion, now_s)
    unreported = state.blocked_until_s.keys() - state.reported_blocks
    return Review(sorted(unreported), _list_served(state))


def _suspect(
    state: FatalTraits,
    trait: str,
    suspicion: end_causes.Suspicion,
    now_s: float,
) -> None:
    """Hold a trait, or block it once nothing else can clear it."""
    is_enough = suspicion.ends >= BLOCK_ENDS
    hold = state.holds.get(trait)
    if hold is None or hold.is_enough != is_enough:
        state.holds[trait] = _Hold(now_s, is_enough, now_s + CONFIRM_S)
        return
    if not is_enough or now_s < hold.due_s:
        return
    is_clear = suspicion.is_alone or now_s >= hold.since_s + AMBIGUOUS_S
    if is_clear and state.heard_s >= hold.since_s + CONFIRM_S:
        del state.holds[trait]
        state.blocked_until_s[trait] = now_s + BLOCK_S
    else:
        state.holds[trait] = dataclasses.replace(hold, due_s=now_s + RECHECK_S)


def _forget_old(state: FatalTraits, now_s: float) -> None:
    state.ends = {
        key: seen
        for key, seen in state.ends.items()
        if now_s - seen.at_s <= WINDOW_S
    }
    state.reported_served_s = {
        trait: at_s
        for trait, at_s in state.reported_served_s.items()
        if now_s - at_s <= WINDOW_S + end_causes.SERVED_VALID_S
    }
    state.blocked_until_s = {
        trait: until_s
        for trait, until_s in state.blocked_until_s.items()
        if until_s > now_s
    }
    state.reported_blocks &= state.blocked_until_s.keys()
    state.lifted_s = {
        trait: at_s
        for trait, at_s in state.lifted_s.items()
        if now_s - at_s <= WINDOW_S
    }


def _list_served(state: FatalTraits) -> list[str]:
    """Return the served traits to report, none if others know it all.

    Others may not know the same ends, nor explain them in the same way.  So
    any trait that is common to enough ends may be suspected.
    """

    def find_reported_s(trait: str) -> float:
        return state.reported_served_s.get(trait, -math.inf)

    ends = state.ends.values()
    state.uncleared = frozenset(
        end_causes.count_unserved(ends, find_reported_s)
    )
    state.served_due_s = math.inf
    # A report replaces the one before, which an entry that starts later
    # does not see.
    suspects = end_causes.count_unserved(ends, lambda _: -math.inf)
    unserved = end_causes.count_unserved(ends, state.find_served_s)
    served = sorted(
        suspects.keys() - unserved.keys(),
        key=lambda trait: (-suspects[trait], trait),
    )
    told = served[:MAX_REPORTED]
    return told if state.uncleared.intersection(told) else []
