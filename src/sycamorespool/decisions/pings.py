"""Defines the messages of the membership protocol between entries."""

import enum

import msgspec


class Status(enum.StrEnum):
    """Names the state of an entry in the membership."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# Of two updates with the same incarnation and refutation, the one whose
# status comes later in this order replaces the other.
_PRECEDENCE = {status: rank for rank, status in enumerate(Status)}


class Update(msgspec.Struct, frozen=True, array_like=True):
    """States the status of an entry.

    Parameters
    ----------
    entry, address, data_centre : str
        The entry, its address and its data centre.
    incarnation : int
        Start number of its process.
    refutation : int
        How often the process has refuted a suspicion.
    status : Status
        The status of the entry.
    region : str
        Region of the data centre, empty if it is not known yet.
    """

    entry: str
    address: str
    data_centre: str
    incarnation: int
    refutation: int
    status: Status
    region: str = ""

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key: a greater update replaces a smaller one."""
        rank = _PRECEDENCE[self.status]
        return (self.incarnation, self.refutation, rank)


class LogView(msgspec.Struct, frozen=True, array_like=True):
    """States how far an entry has read the log.

    ``offset`` is -1 before the first read; ``version`` is that of the
    configuration read.
    """

    offset: int = -1
    version: int = 0
    is_readable: bool = True


UNREAD = LogView()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Asks whether an entry is alive."""

    sender: str
    updates: tuple[Update, ...]
    log: LogView = UNREAD


class PingRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="ping_request"
):
    """Asks a helper to ping ``target`` and to acknowledge if it answers."""

    sender: str
    target: str
    updates: tuple[Update, ...]
    log: LogView = UNREAD


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Acknowledges a ping.

    ``is_reached`` is False if a helper did not reach the target.
    """

    sender: str
    updates: tuple[Update, ...]
    log: LogView = UNREAD
    is_reached: bool = True
