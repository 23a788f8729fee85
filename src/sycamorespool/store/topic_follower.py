"""Follows a topic of the platform's store as long as the entry runs.

The whole topic is read first, and from then on the records that are new.
It is read whole again when records that are needed have expired, and when
the store was restored from a copy, which makes the known offsets invalid::

    topic = Topic(wire.CONFIG_TOPIC, read_all, read_on, 0.4, 0.8)
    nursery.start_soon(follow, topic)
"""

from collections import abc
import dataclasses
import enum
import typing as t

import trio

from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.platform import pages

log = logs.make_logger("store")


class ReadCause(enum.StrEnum):
    """Names why a whole topic is read."""

    STARTED = "started"
    EXPIRED = "records expired"
    RESTORED = "store restored"


@dataclasses.dataclass(frozen=True, slots=True)
class Topic:
    """Describes how a topic is read and how often.

    Parameters
    ----------
    read_all : callable
        Reads and applies the newest record of each key.
    read_on : callable
        Reads and applies the records from a position on.  Both return the
        position to read on from.
    period_s : float
        Time from the start of one read to the start of the next.
    retry_s : float
        Pause after a failed read.
    note_outage : callable
        Called after each failed read, and when reads work again.
    """

    name: str
    read_all: abc.Callable[[ReadCause], abc.Awaitable[pages.Position]]
    read_on: abc.Callable[[pages.Position], abc.Awaitable[pages.Position]]
    period_s: float
    retry_s: float
    note_outage: abc.Callable[[], None] = lambda: None


class FailureLog:
    """Logs when calls for a topic or group begin to fail and work again."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._failed = 0

    def note_failure(self, error: exceptions.PlatformError) -> None:
        """Record a failed call."""
        self._failed += 1
        if self._failed == 1:
            log.warning("calls fail", name=self._name, error=error)

    def note_success(self) -> bool:
        """Record a call that worked; return whether the ones before failed."""
        failed, self._failed = self._failed, 0
        if failed:
            log.info("calls work again", name=self._name, count=failed)
        return failed > 0


async def follow(topic: Topic) -> t.NoReturn:
    """Follow a topic until cancelled."""
    position: pages.Position | None = None
    cause = ReadCause.STARTED
    failures = FailureLog(topic.name)
    while True:
        began_s = trio.current_time()
        try:
            if position is None:
                position = await topic.read_all(cause)
            else:
                position = await topic.read_on(position)
        except exceptions.RecordsExpired:
            position, cause = None, ReadCause.EXPIRED
            _log_new_start(topic, cause)
            continue
        except exceptions.TimelineChanged as error:
            position, cause = None, ReadCause.RESTORED
            _log_new_start(topic, cause, error.current)
            continue
        except exceptions.PlatformError as error:
            failures.note_failure(error)
            topic.note_outage()
            await trio.sleep(topic.retry_s)
            continue
        if failures.note_success():
            topic.note_outage()
        # A read that waited in the store for records took that long already.
        await trio.sleep_until(began_s + topic.period_s)


def _log_new_start(topic: Topic, cause: ReadCause, timeline: int = 0) -> None:
    log.info(
        "topic is read anew",
        name=topic.name,
        reason=cause.value,
        version=timeline,
    )
