"""Follows a topic of the platform's store as long as the entry runs.

The whole topic is read first, and from then on the records that are new.
A reader that has fallen behind reads on at once until it has caught up.  The
topic is read whole again when records that are needed have expired, and when
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
    BEHIND = "reader fell behind"
    RESTORED = "store restored"


# Reads of a timeline that this process has not read before, of which other
# entries may know more than the store.
FIRST_READS = frozenset((ReadCause.STARTED, ReadCause.RESTORED))


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Holds how far a topic was read.

    Parameters
    ----------
    position : Position
        Position to read on from.
    is_behind : bool
        Whether the topic had more records than one read returns.
    """

    position: pages.Position
    is_behind: bool = False


def measure(page: pages.Page) -> Progress:
    """Return how far a page brings its reader."""
    # A page without records would bring no progress if read again at once.
    is_behind = bool(page.records) and not page.reaches_end
    return Progress(page.next, is_behind)


@dataclasses.dataclass(frozen=True, slots=True)
class Topic:
    """Describes how a topic is read and how often.

    Parameters
    ----------
    read_all : callable
        Reads and applies the newest record of each key.
    read_on : callable
        Reads and applies the records from a position on.
    period_s : float
        Time from the start of one read to the start of the next.
    retry_s : float
        Pause after a failed read.
    note_outage : callable
        Called after each failed read, and after the reads that follow until
        the reader has caught up.
    """

    name: str
    read_all: abc.Callable[[ReadCause], abc.Awaitable[pages.Position]]
    read_on: abc.Callable[[pages.Position], abc.Awaitable[Progress]]
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

    def note_success(self) -> None:
        """Record a call that worked."""
        failed, self._failed = self._failed, 0
        if failed:
            log.info("calls work again", name=self._name, count=failed)


async def follow(topic: Topic) -> t.NoReturn:
    """Follow a topic until cancelled."""
    position: pages.Position | None = None
    cause = ReadCause.STARTED
    failures = FailureLog(topic.name)
    has_outage = was_behind = False
    while True:
        began_s = trio.current_time()
        try:
            if position is None:
                progress = Progress(await topic.read_all(cause))
            else:
                progress = await topic.read_on(position)
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
            has_outage = True
            await trio.sleep(topic.retry_s)
            continue
        position = progress.position
        failures.note_success()
        if has_outage:
            topic.note_outage()
        if progress.is_behind != was_behind:
            was_behind = progress.is_behind
            _log_behind(topic, progress)
        if progress.is_behind:
            continue
        has_outage = False
        # A read that waited in the store for records took that long already.
        await trio.sleep_until(began_s + topic.period_s)


def _log_behind(topic: Topic, progress: Progress) -> None:
    offset = progress.position.offset
    if progress.is_behind:
        log.info(
            "reads of a topic fell behind", name=topic.name, offset=offset
        )
    else:
        log.info(
            "reads of a topic have caught up", name=topic.name, offset=offset
        )


def _log_new_start(topic: Topic, cause: ReadCause, timeline: int = 0) -> None:
    log.info(
        "topic is read anew",
        name=topic.name,
        reason=cause.value,
        version=timeline,
    )
