"""Which backend server gets a request.

Each entry decides alone, from the registry and from what it has sent
itself::

    target = choose(scene, wish, now_s)

The least loaded group goes first, one of the own data centre among
equals.  A group whose streams all stand still is suspected before its
owner has found out, and gets nothing while another can serve.
"""

import collections
from collections import abc
import dataclasses
import enum
import math
import typing as t

from sycamorespool import backends
from sycamorespool.decisions import group_views
from sycamorespool.decisions import registry

# Silence from which a server is asked for a sign of life.
LEAST_SILENCE_S = 0.25
SUSPECT_SILENCE_PER_TTFB = 1.5
# Silence from which its requests go elsewhere whatever its members say.
LEAST_STANDSTILL_S = 0.9
STALL_PER_TTFB = 4.0
TTFB_WEIGHT = 0.05
REMOTE_PENALTY = 0.05
SUSPECT_PENALTY = 1000.0
# About as long as an owner takes to end a group that lost a member.
SUSPECT_HOLD_S = 3.0


@dataclasses.dataclass(slots=True)
class Pulse:
    """What an entry sees of one backend server.

    Parameters
    ----------
    in_flight : int
        Requests of this entry at the server.
    waiting_since_s : float
        When the server last sent a byte, or when the first request went
        to it that it has not answered; infinite without requests.
    movable : set
        Handles of those requests that may go to another server.
    signs_s : float
        When its members last gave a sign of life.
    still_until_s : float
        Until when it is suspected although none of its requests waits, as
        they were moved away.
    """

    in_flight: int = 0
    waiting_since_s: float = math.inf
    signs_s: float = -math.inf
    suspect_until_s: float = -math.inf
    movable: set[t.Any] = dataclasses.field(default_factory=set)


def begin(pulse: Pulse, now_s: float) -> None:
    """Note that a request goes to a server."""
    if not pulse.in_flight:
        pulse.waiting_since_s = now_s
    pulse.in_flight += 1


def note_bytes(pulse: Pulse, now_s: float) -> None:
    """Note that bytes came from a server."""
    pulse.waiting_since_s = now_s
    pulse.suspect_until_s = -math.inf


def note_still(pulse: Pulse, now_s: float) -> None:
    """Note that requests are moved away from a server that stands still."""
    pulse.suspect_until_s = now_s + SUSPECT_HOLD_S


def end(pulse: Pulse) -> None:
    """Note that a request at a server is over."""
    pulse.in_flight -= 1
    if not pulse.in_flight:
        pulse.waiting_since_s = math.inf


def is_silent(pulse: Pulse, silence_s: float, now_s: float) -> bool:
    """Tell whether all requests at a server have been silent for long."""
    return now_s - pulse.waiting_since_s > silence_s


class Silence(enum.StrEnum):
    """What the silence of a server says."""

    USUAL = "usual"
    DOUBTFUL = "doubtful"
    STALLED = "standstill"


def judge_silence(pulse: Pulse, usual_s: float, now_s: float) -> Silence:
    """Judge the silence of a server by the usual time to a first byte.

    A fleet that is slow under load is so not taken for one that stands
    still, and one whose members gave a sign of life is given more time.
    """
    standstill_s = max(LEAST_STANDSTILL_S, STALL_PER_TTFB * usual_s)
    if is_silent(pulse, standstill_s, now_s):
        return Silence.STALLED
    doubtful_s = max(LEAST_SILENCE_S, SUSPECT_SILENCE_PER_TTFB * usual_s)
    has_sign = now_s - pulse.signs_s < doubtful_s
    if has_sign or not is_silent(pulse, doubtful_s, now_s):
        return Silence.USUAL
    return Silence.DOUBTFUL


def is_suspect(pulse: Pulse, usual_s: float, now_s: float) -> bool:
    """Tell whether a server stands still, or did so lately."""
    is_held = now_s < pulse.suspect_until_s
    verdict = judge_silence(pulse, usual_s, now_s)
    return is_held or verdict is not Silence.USUAL


@dataclasses.dataclass(slots=True)
class Scene:
    """What a choice looks at.

    Parameters
    ----------
    evacuated : set of str
        Data centres that are to get nothing.
    pulses : dict
        What this entry sees of each server, by id.
    blocked_until_s : dict
        Servers that refused or failed lately, by id.
    first_s : dict
        Mean time to the first bytes of an answer, by service and model.
    data_centre : str
        That of this entry.
    regions : mapping
        Region by data centre.
    """

    registry: registry.Registry
    data_centre: str
    regions: abc.Mapping[str, str]
    evacuated: set[str] = dataclasses.field(default_factory=set)
    pulses: collections.defaultdict[str, Pulse] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(Pulse)
    )
    blocked_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    ttfb_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def note_first(self, backend: backends.Backend, ttfb_s: float) -> None:
        """Take the time to the first bytes of an answer into the mean."""
        key = _ttfb_key(backend)
        mean = self.ttfb_s.get(key, ttfb_s)
        self.ttfb_s[key] = mean + TTFB_WEIGHT * (ttfb_s - mean)

    def note_entry(
        self, before: backends.Backend | None, after: backends.Backend
    ) -> None:
        """Trust a server again that has another group, or lives anew."""
        if before is None or _incarnation_key(before) == _incarnation_key(
            after
        ):
            return
        pulse = self.pulses.get(after.backend_id)
        if pulse is not None:
            pulse.suspect_until_s = -math.inf

    def find_usual_s(self, backend: backends.Backend | None) -> float:
        """Return the mean time to the first bytes of a server's answers."""
        if backend is None:
            return 0.0
        return self.ttfb_s.get(_ttfb_key(backend), 0.0)


def _ttfb_key(backend: backends.Backend) -> tuple[str, str]:
    member = backend.membership
    model = group_views.model_of_group(member.group) if member else ""
    return (backend.service, model)


def _incarnation_key(backend: backends.Backend) -> tuple[int, str, int]:
    member = backend.membership
    if member is None:
        return (backend.born_ms, "", 0)
    return (backend.born_ms, member.group, member.epoch)


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request asks of a placement.

    Parameters
    ----------
    model : str
        The model asked for, empty for a plain service.
    homes : frozenset of str
        Regions that may serve it; empty for all.
    excluded : frozenset of str
        Servers that were tried already.
    """

    service: str
    model: str = ""
    allowed_regions: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()


def _list_heads(scene: Scene, wish: Wish) -> abc.Iterator[backends.Backend]:
    known = scene.registry.servers
    for group in scene.registry.groups_of(wish.service):
        if group_views.model_of_group(group.name) != wish.model:
            continue
        head = known[group.head] if group.head else None
        if head is None or head.membership.state is not _OPEN:
            continue
        if any(known[vm_id].is_draining for vm_id in group.members.values()):
            continue
        yield head


_OPEN = backends.MemberState.OPEN


def list_usable(
    scene: Scene, wish: Wish, now_s: float
) -> list[backends.Backend]:
    """Return the servers that may get a request."""
    if wish.model:
        found = _list_heads(scene, wish)
    else:
        found = iter(scene.registry.servers_of(wish.service))
    return [
        backend
        for backend in found
        if not backend.is_draining
        and backend.backend_id not in wish.excluded
        and backend.data_centre not in scene.evacuated
        and scene.blocked_until_s.get(backend.backend_id, 0.0) <= now_s
        and (
            not wish.allowed_regions
            or scene.regions.get(backend.data_centre) in wish.allowed_regions
        )
    ]


def choose(
    scene: Scene,
    wish: Wish,
    now_s: float,
    tie_breaker: float,
    may_take: abc.Callable[[backends.Backend], bool],
) -> backends.Backend | None:
    """Return the server for a request, or None if there is none.

    Parameters
    ----------
    tie : float
        A random number in 0..1 that decides among equals.
    may_take : callable
        Whether a cold server bears one more request now.
    """
    usable = list_usable(scene, wish, now_s)
    if not usable:
        return None

    def rate(backend: backends.Backend) -> float:
        pulse = scene.pulses.get(backend.backend_id)
        load = pulse.in_flight / max(1, backend.slots) if pulse else 0.0
        if backend.data_centre != scene.data_centre:
            load += REMOTE_PENALTY
        usual_s = scene.find_usual_s(backend)
        if pulse and is_suspect(pulse, usual_s, now_s):
            load += SUSPECT_PENALTY
        return load

    start = int(tie_breaker * len(usable))
    ranked = sorted(usable[start:] + usable[:start], key=rate)
    return next((b for b in ranked if may_take(b)), None)


def forget(scene: Scene, backend_id: str) -> None:
    """Drop what is known of a server that is gone."""
    scene.blocked_until_s.pop(backend_id, None)
    pulse = scene.pulses.get(backend_id)
    if pulse is not None and not pulse.in_flight:
        del scene.pulses[backend_id]
