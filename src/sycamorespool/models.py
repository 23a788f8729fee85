"""Define data classes that several layers share.

All times that end in ``_s`` are seconds of the monotonic clock of the
process that holds the object, unless a field says ``unix``.
"""

import enum

import msgspec


class VmState(enum.StrEnum):
    """Name the states of a VM in the platform's membership list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """Describe a VM in the platform's membership list, which lags.

    Parameters
    ----------
    vm : str
        Name of the VM.
    role : str
        ``entry``; ``engine`` for a backend server that loads models; or
        ``service/NAME`` for a backend server of a plain service.
    address : str
        ``IP:port``.  For an entry, the address that its peers dial.
    data_centre, domain : str
        Data centre and fabric domain; domain names are unique.
    state : VmState
        Live or leaving.
    """

    vm: str
    role: str
    address: str
    data_centre: str
    domain: str
    state: VmState = VmState.LIVE


class EnginePhase(enum.StrEnum):
    """Name the phases that a backend server reports."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


class ProbeReport(msgspec.Struct, frozen=True):
    """Hold a backend server's answer to a probe.

    Parameters
    ----------
    vm : str
        Name of the VM.
    incarnation : int
        Number that changes with each start of the backend server; after a
        start its caches are cold.
    phase : EnginePhase
        Whether it is idle, loads weights or is ready.
    group_id : str
        Group that it was ordered to join, or empty.
    epoch : int
        Epoch of the newest order that it has accepted.
    rank : int
        Its rank in the group.
    weights : str
        ``MODEL@VERSION#RANK`` of the weights in its memory, or empty.
    in_flight : int
        Requests that it is working on.
    token_interval_s : float
        Recent mean time between tokens, 0 if none.
    completed : int
        Requests completed since it started.
    cached_blocks : int
        Blocks of its prefix cache in use, or -1 if it does not report it.
    """

    vm: str
    incarnation: int
    phase: EnginePhase
    group_id: str = ""
    epoch: int = -1
    rank: int = -1
    weights: str = ""
    in_flight: int = 0
    token_interval_s: float = 0.0
    completed: int = 0
    cached_blocks: int = -1


class JoinOrder(msgspec.Struct, frozen=True, tag="join", tag_field="order"):
    """Order a backend server to load weights and join a group."""

    epoch: int
    group_id: str
    rank: int
    members: tuple[str, ...]
    weights: str


class LeaveOrder(msgspec.Struct, frozen=True, tag="leave", tag_field="order"):
    """Order a backend server to leave its group."""

    epoch: int
    group_id: str


class LoadOrder(msgspec.Struct, frozen=True, tag="load", tag_field="order"):
    """Order a backend server in no group to load weights in advance."""

    epoch: int
    weights: str


Order = JoinOrder | LeaveOrder | LoadOrder


class EntryState(msgspec.Struct, frozen=True):
    """Hold the state that an entry reports to operators.

    Parameters
    ----------
    version : int
        Version of the configuration in force at the entry.
    offset : int
        Offset of the last record of the fleet stream that it applied.
    units_owned : int
        Number of units that it owns.
    groups : dict
        Whether each group of these units is whole, by group id.
    """

    entry: str
    data_centre: str
    is_ready: bool
    version: int
    offset: int
    requests_open: int
    units_owned: int
    groups: dict[str, bool] = {}


class GrantAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask the grantor of a unit, usually its owner, for grants.

    Parameters
    ----------
    entry : str
        The asking entry.
    unit : str
        The unit, ``domain/NAME``.
    in_flight : dict
        Requests in flight at the asker, by group id.
    wanted : dict
        Places that the asker could use, by service.
    incarnation : int
        Incarnation of the asking process.
    asked_s : float
        When the asker began to ask, on its own monotonic clock.
    taken_s : float
        ``asked_s`` of the newest answer that the asker has stored; it uses
        no grant of an older answer.
    """

    entry: str
    unit: str
    in_flight: dict[str, int] = {}
    wanted: dict[str, int] = {}
    incarnation: int = 0
    asked_s: float = 0.0
    taken_s: float = -1.0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Permit an entry to have ``places`` requests in flight at a group.

    The grant is valid for ``ttl_s``, counted from when the asker began to
    ask.  ``address`` is the ``IP:port`` of the group's leader.
    """

    group_id: str
    service: str
    epoch: int
    places: int
    ttl_s: float
    address: str
    data_centre: str
    incarnation: int = 0
    warm: bool = False


class GrantAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hold the answer to a :class:`GrantAsk`."""

    unit: str
    config_offset: int
    grants: tuple[Grant, ...] = ()


class OpenKey(msgspec.Struct, frozen=True):
    """Describe an idempotency key whose call began and has no outcome.

    Parameters
    ----------
    attempt_id, entry : str
        The only attempt that may have sent the request, and its entry.
    age_s : float
        Time since the intent of the attempt was recorded.
    """

    workspace: str
    key: str
    attempt_id: str
    entry: str
    age_s: float
