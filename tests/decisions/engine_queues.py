"""Plays requests at model engines that read prompts between the answers.

Each of some entries places its own requests by the real decisions, and learns
what the others had there half a second to a second ago.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random

from sycamorespool import backends
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import engine_load
from sycamorespool.decisions.placing import fleet_load
from sycamorespool.decisions.placing import placement
from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions.placing import server_activity
from sycamorespool.decisions import registry
from sycamorespool import routing_table

TIMES = routing_table.EngineTimes(
    0.006, 0.0005, 46000.0, 0.7e-9, 2048, 5, 850, 110
)
MODEL = routing_table.Model("m", 1, 1.0, 1.0, 12.0, 1.0)
SLOTS = 16
REPORT_PERIOD_S = 0.5
OBJECTIVE_S = 0.4


@dataclasses.dataclass(eq=False)
class Job:
    """A request, as the engine and as its entry see it."""

    arrived_s: float
    work: engine_load.Work
    entry: int
    priority: int = 0
    workspace: str = "w"
    server: str = ""
    rank: int = 0
    is_postponed: bool = False
    has_begun: bool = False
    unread_tokens: int = 0
    left_tokens: int = 0
    first_s: float = float("inf")

    def __post_init__(self):
        self.unread_tokens = self.prompt_tokens = self.work.prompt_tokens
        self.left_tokens = self.work.answer_tokens


@dataclasses.dataclass
class Engine:
    """One engine: its queue by rank, and the requests in its slots."""

    waiting: list = dataclasses.field(default_factory=list)
    slots: list = dataclasses.field(default_factory=list)
    is_busy: bool = False

    def run_pass(self):
        """Run one pass; return its length, and who got a token or ended."""
        while self.waiting and len(self.slots) < SLOTS:
            self.slots.append(heapq.heappop(self.waiting)[-1])
        writers = [job for job in self.slots if not job.unread_tokens]
        budget, read_s = TIMES.chunk_tokens, 0.0
        for job in self.slots:
            piece = min(job.unread_tokens, budget)
            job.unread_tokens -= piece
            budget -= piece
            read_s += piece / TIMES.read_tokens_per_s
        step_s = TIMES.step_s + TIMES.per_request_s * len(writers)
        steps = TIMES.stride_steps if writers else 0
        for job in writers:
            job.left_tokens -= steps
        begun = [j for j in self.slots if not j.unread_tokens]
        ended = [j for j in writers if j.left_tokens <= 0]
        self.slots = [j for j in self.slots if j not in ended]
        return read_s + steps * step_s, begun, ended


class Fleet:
    """Some engines, and entries that place requests on them."""

    def __init__(self, servers, entries, seed, is_by_times, shares_load=True):
        self.rng = random.Random(seed)
        self.engines = {f"i-{n}": Engine() for n in range(servers)}
        self.states = [self._make_state() for _ in range(entries)]
        self.is_by_times = is_by_times
        self.shares_load = shares_load
        self.counts = collections.Counter()
        self._numbers = itertools.count()
        self._reports = [fleet_load.LoadReport()] * entries

    def _make_state(self):
        known = registry.Registry()
        for name in self.engines:
            member = backends.Membership(
                f"m@{name[2:]}", 1, 0, backends.MemberState.OPEN
            )
            server = backends.Backend(
                name,
                "s",
                "10.0.0.1:80",
                "dc",
                SLOTS,
                False,
                domain="d",
                membership=member,
            )
            registry.apply_entry(known, name, server, 0.0)
        return placement_state.PlacementState(known, {"dc": "r"})

    def play(self, jobs):
        """Play jobs to their end; return them with their first tokens."""
        events = [(job.arrived_s, next(self._numbers), job) for job in jobs]
        heapq.heapify(events)
        report_s = 0.0
        while events:
            now_s, _, event = heapq.heappop(events)
            if now_s >= report_s and self.shares_load:
                self._exchange()
                report_s = now_s + REPORT_PERIOD_S
            if isinstance(event, Job):
                self._place(event, now_s)
                engine = self.engines[event.server]
            else:
                engine, begun, ended = event
                self._note_pass(begun, ended, now_s)
                engine.is_busy = False
            if not engine.is_busy and (engine.waiting or engine.slots):
                length_s, begun, ended = engine.run_pass()
                engine.is_busy = True
                end = (engine, begun, ended)
                number = next(self._numbers)
                heapq.heappush(events, (now_s + length_s, number, end))
        return jobs

    def _place(self, job, now_s):
        state = self.states[job.entry]
        cost = functools.partial(
            engine_load.predict_cost_s, TIMES, MODEL, SLOTS, job.work
        )
        request = candidates.PlacementRequest(
            "s", "m", predict_cost_s=cost if self.is_by_times else None
        )
        found = placement.choose(
            state, request, now_s, self.rng.random(), lambda server: True
        )
        job.server = found.backend_id
        job.rank = job.priority
        if self.is_by_times:
            load = state.find_load(job.server)
            wait_s = engine_load.predict_first_token_s(
                TIMES, MODEL, SLOTS, load, job.work
            )
            expected_s = now_s - job.arrived_s + wait_s
            job.rank = engine_load.choose_rank(
                job.priority, expected_s, OBJECTIVE_S
            )
        job.is_postponed = job.rank > job.priority
        activity = state.activities[job.server]
        server_activity.begin(activity, now_s)
        activity.silent_since_s = float("inf")
        activity.running.add(job)
        self.counts[job.server] += 1
        item = (job.rank, next(self._numbers), job)
        heapq.heappush(self.engines[job.server].waiting, item)

    def _note_pass(self, begun, ended, now_s):
        for job in begun:
            if not job.has_begun:
                job.has_begun = True
                job.first_s = now_s
        for job in ended:
            activity = self.states[job.entry].activities[job.server]
            activity.running.discard(job)
            server_activity.end(activity)

    def _exchange(self):
        reports, self._reports = (
            self._reports,
            [self._make_report(state) for state in self.states],
        )
        for own, state in enumerate(self.states):
            others = fleet_load.FleetLoad()
            for number, report in enumerate(reports):
                if number != own:
                    others.reports[str(number)] = (report, 0.0)
            state.others = fleet_load.sum_reports(others, 0.0).requests

    def _make_report(self, state):
        return fleet_load.LoadReport(
            {
                name: fleet_load.Requests(
                    activity.in_flight,
                    sum(
                        j.is_postponed and not j.has_begun
                        for j in activity.running
                    ),
                )
                for name, activity in state.activities.items()
                if activity.in_flight
            }
        )


def find_room_per_s(servers, prompt_tokens, answer_tokens):
    """Return how many requests a second full engines complete."""
    work = engine_load.Work(prompt_tokens, answer_tokens)
    return servers / engine_load.find_busy_s(TIMES, MODEL, SLOTS, work)


def make_jobs(rng, per_s, length_s, entries, draw, start_s=0.0):
    """Return jobs that arrive at random, of the work that ``draw`` returns."""
    jobs, now_s = [], start_s
    while now_s < start_s + length_s:
        now_s += rng.expovariate(per_s)
        work, priority = draw(rng)
        jobs.append(Job(now_s, work, rng.randrange(entries), priority))
    return jobs


def find_quantile_s(jobs, fraction):
    """Return a quantile of the times to the first token."""
    times_s = sorted(job.first_s - job.arrived_s for job in jobs)
    return times_s[int(fraction * (len(times_s) - 1))]


def count_in_time(jobs):
    """Return how many jobs met the objective."""
    return sum(job.first_s - job.arrived_s <= OBJECTIVE_S for job in jobs)
