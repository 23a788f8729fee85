"""Shares with the other entries on which requests backend servers end.

A server that closes the connection of a request which it has hardly begun to
answer is asked for a new connection.  If it refuses that, and another entry
finds so too, its process has ended, and the entry reports it with the requests
it had there.  All entries follow the reports in a topic of the store and hold
or block parts of prompts by them (see
:mod:`sycamorespool.decisions.faults.fatal_traits`).

An entry that starts reads the reports too, so that blocks outlast the
processes that made them.
"""

from collections import abc
import math
import time
import typing as t

import trio

from sycamorespool import backends
from sycamorespool.decisions.faults import fatal_traits
from sycamorespool import entry_context
from sycamorespool import exceptions
from sycamorespool import logs
from sycamorespool.peers import peer_probes
from sycamorespool.peers import peer_reads
from sycamorespool.platform import pages
from sycamorespool.platform import wire
from sycamorespool.requests import attempts
from sycamorespool.store import end_reports
from sycamorespool.store import limit_reports
from sycamorespool.store import topic_follower

# How long the store waits for a report.
WAIT_S = 2.0
PERIOD_S = 1.0
RETRY_S = 0.8
# A server that ends closes all its connections within this time.
GATHER_S = 0.03
# Entries report what several of them know at random times within this, so
# that most of them learn that another one has done so.
SPREAD_S = 0.4
# Least time between two reviews.
REVIEW_PERIOD_S = 0.1
APPEND_RETRY_S = 0.4

log = logs.make_logger("requests")


def _read_clocks() -> end_reports.Clocks:
    return end_reports.Clocks(time.time(), trio.current_time())


class _Appender:
    """Appends the reports of this entry to the store, in their order."""

    def __init__(self, context: entry_context.EntryContext) -> None:
        self._context = context
        self._unsent: list[bytes] = []
        self._has_unsent = trio.Event()

    def add(self, record: bytes) -> None:
        """Let a record be appended soon."""
        self._unsent.append(record)
        self._has_unsent.set()

    async def run(self) -> t.NoReturn:
        """Append records as they come, until cancelled."""
        while True:
            await self._has_unsent.wait()
            contents, self._unsent = self._unsent, []
            self._has_unsent = trio.Event()
            await self._append(contents)

    async def _append(self, contents: list[bytes]) -> None:
        while True:
            try:
                await self._context.platform_store.append(
                    wire.SERVER_ENDS_TOPIC, contents
                )
            except exceptions.PlatformError as error:
                log.warning("ends of servers not reported", error=error)
                await trio.sleep(APPEND_RETRY_S)
                continue
            return


class _Watch:
    """Reports what this entry sees, and reviews what all entries report."""

    def __init__(self, context: entry_context.EntryContext) -> None:
        self.appender = _Appender(context)
        self._context = context
        self._state = context.trait_blocks
        self._ends = 0
        self._noted = trio.Event()
        self._report_due_s: float | None = None
        self._blocked: set[str] = set()
        self._state.heard_s = -math.inf

    async def collect_ends(self, nursery: trio.Nursery) -> t.NoReturn:
        """Check servers that closed connections, until cancelled."""
        while True:
            await self._context.cut_requests.added.wait()
            await trio.sleep(GATHER_S)
            for backend, prompts in self._context.cut_requests.take().items():
                nursery.start_soon(self._check, backend, frozenset(prompts))

    async def _check(
        self,
        backend: backends.Backend,
        prompts: frozenset[fatal_traits.Traits],
    ) -> None:
        now_s = trio.current_time()
        if not await peer_probes.has_ended(self._context, backend):
            return
        end = fatal_traits.ServerEnd(
            backend.backend_id, backend.started_ms, prompts
        )
        log.warning(
            "backend server ended with requests of this entry",
            vm=backend.backend_id,
            count=len(prompts),
            parts=" ".join(",".join(prompt) for prompt in sorted(prompts)),
        )
        self._context.metrics.count("server_ends")
        fatal_traits.note_end(self._state, end, now_s)
        self._noted.set()
        self._ends += 1
        self.appender.add(
            end_reports.encode_end(
                self._context.name, self._ends, end, now_s, _read_clocks()
            )
        )

    async def review(self) -> t.NoReturn:
        """Review the parts when something was noted, until cancelled."""
        while True:
            # A request that is served meanwhile may let a review be due.
            with trio.move_on_after(fatal_traits.RECHECK_S):
                with trio.move_on_at(self._find_due_s()):
                    await self._noted.wait()
            now_s = trio.current_time()
            if self._noted.is_set() or now_s >= self._find_due_s():
                self._noted = trio.Event()
                self._review_now(now_s)
                await trio.sleep(REVIEW_PERIOD_S)

    def _find_due_s(self) -> float:
        due_s = self._state.find_review_due_s()
        if self._report_due_s is None:
            return due_s
        return min(due_s, self._report_due_s)

    def _review_now(self, now_s: float) -> None:
        held_before = set(self._state.holds)
        found = fatal_traits.review(self._state, now_s)
        for part in self._state.holds.keys() - held_before:
            log.warning(
                "part of prompts is held, servers ended on it", name=part
            )
        newly_blocked = self._state.blocked_until_s.keys() - self._blocked
        self._blocked = set(self._state.blocked_until_s)
        given_up = attempts.give_up_blocked(self._context, newly_blocked)
        for part in newly_blocked:
            log.warning(
                "part of prompts is blocked", name=part, count=given_up
            )
        self._context.metrics.set("parts_blocked", len(self._blocked))
        self._plan_report(found, now_s)

    def _plan_report(self, found: fatal_traits.Review, now_s: float) -> None:
        """Report at a random time, unless others have done so by then."""
        if not found.blocked and not found.served:
            self._report_due_s = None
        elif self._report_due_s is None:
            delay_s = self._context.random.uniform(0.0, SPREAD_S)
            self._report_due_s = now_s + delay_s
        elif now_s >= self._report_due_s:
            self._report_due_s = None
            self._report(found)

    def _report(self, found: fatal_traits.Review) -> None:
        clocks = _read_clocks()
        for part in found.blocked:
            until_s = self._state.blocked_until_s[part]
            record = end_reports.encode_block(part, until_s, clocks)
            self.appender.add(record)
            fatal_traits.note_block(self._state, part, until_s)
        if found.served:
            served_s = {p: self._state.find_served_s(p) for p in found.served}
            self.appender.add(
                end_reports.encode_served(self._context.name, served_s, clocks)
            )
            for part, at_s in served_s.items():
                fatal_traits.note_reported_served(self._state, part, at_s)

    def _apply(self, records: abc.Iterable[pages.KeyedRecord]) -> None:
        """Apply reports of all entries; skip those that are not valid."""
        for record in records:
            try:
                end_reports.apply(self._state, record, _read_clocks())
                limit_reports.apply(
                    self._context.limits, record, entry_context.boot_time_s()
                )
            except exceptions.Undecodable as error:
                log.warning(
                    "report of servers is not valid, record skipped",
                    offset=record.offset,
                    error=error,
                )
            self._noted.set()

    async def read_all(
        self, cause: topic_follower.ReadCause
    ) -> pages.Position:
        """Read and apply the newest reports of all entries."""
        began_s = trio.current_time()
        store = self._context.platform_store
        newest = await store.read_newest(wire.SERVER_ENDS_TOPIC)
        self._apply(newest.records)
        self._state.heard_s = began_s
        return newest.end

    async def read_on(
        self, position: pages.Position
    ) -> topic_follower.Progress:
        """Read and apply the reports from a position on."""
        found = await peer_reads.read(
            self._context,
            wire.SERVER_ENDS_TOPIC,
            position,
            WAIT_S,
            WAIT_S + peer_reads.MAX_READ_AGE_S,
        )
        self._apply(pages.decode_keyed(found.page))
        age_s = entry_context.boot_time_s() - found.as_of_s
        self._state.heard_s = max(
            self._state.heard_s, trio.current_time() - age_s
        )
        return topic_follower.measure(found.page)


async def run(context: entry_context.EntryContext) -> None:
    """Report servers that ended, and follow the reports, until cancelled."""
    watch = _Watch(context)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.collect_ends, nursery)
        nursery.start_soon(watch.review)
        nursery.start_soon(watch.appender.run)
        nursery.start_soon(limit_reports.report, context, watch.appender.add)
        nursery.start_soon(
            topic_follower.follow,
            topic_follower.Topic(
                wire.SERVER_ENDS_TOPIC,
                watch.read_all,
                watch.read_on,
                PERIOD_S,
                RETRY_S,
            ),
        )
