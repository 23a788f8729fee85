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

import collections
from collections import abc
import dataclasses
import math
import typing as t

# Ends in a row after which a trait is not sent for a moment, and after which
# it is blocked unless some entry has served it.
HOLD_ENDS = 2
BLOCK_ENDS = 3
# Time in which other entries can tell that they have served a trait.
CONFIRM_S = 1.5
BLOCK_S = 600.0
# How long an end counts.
WINDOW_S = 120.0
# A trait that was served this shortly before an end did not cause it.
SERVED_VALID_S = 30.0
MAX_SERVED = 16384
MAX_ENDS = 512

# What begins the identity of a request, and no id of a part.
IDENTITY_PREFIX = "request:"
# The ids of a prompt's parts in order, and then the request's identity.
Traits: t.TypeAlias = tuple[str, ...]
# The position of each trait in its request.
_Depths: t.TypeAlias = dict[str, int]


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


@dataclasses.dataclass(slots=True)
class _SeenEnd:
    """Holds an end as several entries reported it."""

    at_s: float
    depths: _Depths = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Hold:
    """Holds since when a trait is suspected, and if this suffices."""

    since_s: float
    is_enough: bool

    @property
    def end_s(self) -> float:
        """Return when the hold ends, unless the trait is blocked by then."""
        return self.since_s + (2 if self.is_enough else 1) * CONFIRM_S


@dataclasses.dataclass(frozen=True, slots=True)
class Review:
    """Holds what this entry should report to the others.

    Parameters
    ----------
    blocked : list of str
        Parts that it blocks, and no report tells of.
    served : list of str
        Parts that it has served lately, and that others may suspect.
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
    """

    ends: dict[ServerKey, _SeenEnd] = dataclasses.field(default_factory=dict)
    served_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reported_served_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    holds: dict[str, _Hold] = dataclasses.field(default_factory=dict)
    blocked_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reported_blocks: set[str] = dataclasses.field(default_factory=set)
    lifted_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def find_review_due_s(self) -> float:
        """Return when a trait is to be blocked without any further report."""
        return min(
            (
                hold.since_s + CONFIRM_S
                for hold in self.holds.values()
                if hold.is_enough
            ),
            default=math.inf,
        )

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


def is_identity(trait: str) -> bool:
    """Tell whether a trait is the identity of a request."""
    return trait.startswith(IDENTITY_PREFIX)


def note_end(state: FatalTraits, end: ServerEnd, at_s: float) -> None:
    """Record that a server ended, as this or another entry saw it."""
    key = ServerKey(end.backend_id, end.started_ms)
    seen = state.ends.setdefault(key, _SeenEnd(at_s))
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
    ends = _count_ends(state, state.find_served_s)
    for trait in state.blocked_until_s.keys() & ends.keys():
        del ends[trait]
    for trait in state.holds.keys() - ends.keys():
        del state.holds[trait]
    for trait, count in ends.items():
        is_enough = count >= BLOCK_ENDS
        hold = state.holds.get(trait)
        if hold is None or hold.is_enough != is_enough:
            state.holds[trait] = _Hold(now_s, is_enough)
        elif is_enough and now_s - hold.since_s >= CONFIRM_S:
            del state.holds[trait]
            state.blocked_until_s[trait] = now_s + BLOCK_S
    unreported = state.blocked_until_s.keys() - state.reported_blocks
    return Review(sorted(unreported), _list_disputed(state))


def _forget_old(state: FatalTraits, now_s: float) -> None:
    state.ends = {
        key: seen
        for key, seen in state.ends.items()
        if now_s - seen.at_s <= WINDOW_S
    }
    state.reported_served_s = {
        trait: at_s
        for trait, at_s in state.reported_served_s.items()
        if now_s - at_s <= WINDOW_S + SERVED_VALID_S
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


def _count_ends(
    state: FatalTraits, find_served_s: abc.Callable[[str], float]
) -> dict[str, int]:
    """Return the traits that explain enough ends to be held, with these."""
    ends_by_trait: dict[str, list[_Depths]] = collections.defaultdict(list)
    depths: _Depths = {}
    for end in _list_unexplained(state, find_served_s):
        depths |= end
        for trait in end:
            ends_by_trait[trait].append(end)
    counts = {trait: len(ends) for trait, ends in ends_by_trait.items()}

    def rank(trait: str) -> tuple[int, bool, bool, int, str]:
        # Among equals, one that is blocked already leaves the least to others.
        is_blocked = trait in state.blocked_until_s
        is_special = is_identity(trait)
        return counts[trait], is_blocked, is_special, depths[trait], trait

    found: dict[str, int] = {}
    while counts:
        trait = max(counts, key=rank)
        if counts[trait] < HOLD_ENDS:
            break
        found[trait] = counts[trait]
        _remove_ends(ends_by_trait[trait], counts)
    return found


def _list_unexplained(
    state: FatalTraits, find_served_s: abc.Callable[[str], float]
) -> list[_Depths]:
    """Return the suspected traits of each end that no block explains.

    An end that a blocked identity explains still accuses other identities:
    of two requests that were at the same servers, the wrong one may be
    blocked, and the next end of the other one has to tell.
    """
    unexplained = []
    for seen in state.ends.values():
        blocked = state.blocked_until_s.keys() & seen.depths.keys()
        suspects = _select_unserved(seen, find_served_s)
        if blocked:
            suspects = {p: d for p, d in suspects.items() if is_identity(p)}
        if all(is_identity(trait) for trait in blocked):
            unexplained.append(suspects)
    return unexplained


def _remove_ends(ends: list[_Depths], counts: dict[str, int]) -> None:
    """Let ends that a trait explains count for no other trait."""
    for end in ends:
        for trait in end:
            counts[trait] -= 1
        end.clear()


def _select_unserved(
    seen: _SeenEnd, find_served_s: abc.Callable[[str], float]
) -> _Depths:
    """Return the traits that may have caused an end, with their depths."""
    return {
        trait: depth
        for trait, depth in seen.depths.items()
        if find_served_s(trait) < seen.at_s - SERVED_VALID_S
    }


def _list_disputed(state: FatalTraits) -> list[str]:
    """Return the traits that others suspect for lack of this entry's word."""

    def find_reported_s(trait: str) -> float:
        return state.reported_served_s.get(trait, -math.inf)

    return [
        trait
        for trait in _count_ends(state, find_reported_s)
        if _has_served(state, trait)
    ]


def _has_served(state: FatalTraits, trait: str) -> bool:
    served_s = state.served_s.get(trait, -math.inf)
    return any(
        trait in seen.depths and served_s >= seen.at_s - SERVED_VALID_S
        for seen in state.ends.values()
    )
