"""Tests of admission: the order of places, and the refusals."""

import pytest
import trio
import trio.testing

from sycamorespool import admission
from sycamorespool import configuration
from sycamorespool import exceptions
from sycamorespool import grants_held
from sycamorespool import models

WEIGHTS = {"a": 3.0, "b": 1.0}


def make_config():
    return configuration.Configuration(
        workspaces={
            name: configuration.Workspace(weight=weight)
            for name, weight in WEIGHTS.items()
        }
    )


class Entry:
    """Admission of an entry with grants of ``places`` at each group."""

    def __init__(self, places=1, groups=("g1",)):
        self.admissions = admission.Admission(make_config())
        self.held = grants_held.GrantsHeld()
        for name in groups:
            self.grant(name, places)
        self.placed = []
        self.refusals = []

    def grant(self, name, places, ttl_s=1e9):
        given = models.Grant(name, "s", 1, places, ttl_s, "x", "dc")
        answer = models.GrantAnswer(f"unit/{name}", 1, (given,))
        self.held.store_answer(answer, trio.current_time())

    async def request(
        self, workspace, priority="normal", work_s=1.0, timeout_s=50.0, **more
    ):
        place_request = admission.PlaceRequest(
            "r", workspace, priority, "s", timeout_s, **more
        )
        try:
            async with self.admissions.hold_place(
                self.held, place_request
            ) as grant:
                self.placed.append((workspace, priority, grant.group_id))
                await trio.sleep(work_s)
        except exceptions.NotRun as error:
            self.refusals.append((trio.current_time(), error))

    def count_used(self):
        return sum(self.held.count_used(name) for name in ("g1", "g2"))


def run(scenario, **options):
    async def main():
        entry = Entry(**options)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.admissions.run, entry.held)
            await scenario(entry)
            nursery.cancel_scope.cancel()
        assert entry.count_used() == 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class TestPlaces:
    def test_places_follow_weights_within_the_grant(self):
        async def scenario(entry):
            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(entry.request, "a")
                    nursery.start_soon(entry.request, "b")
                await trio.sleep(9.5)
                assert entry.count_used() == 2
                served = [workspace for workspace, *_ in entry.placed]
                # The first two places go to the requests that come first,
                # as none waits yet.  Of the 18 after them, 3 in 4 are 13.5.
                assert served[2:].count("a") in (13, 14)
                nursery.cancel_scope.cancel()

        run(scenario, places=2)

    def test_high_priority_overtakes_a_flood_of_low_priority(self):
        async def scenario(entry):
            async with trio.open_nursery() as nursery:
                for _ in range(30):
                    nursery.start_soon(entry.request, "a", "low")
                await trio.sleep(5.5)
                await entry.request("a", "high", 0.0)
                assert trio.current_time() <= 7.1
                nursery.cancel_scope.cancel()

        run(scenario)

    def test_failed_group_is_not_chosen(self):
        async def scenario(entry):
            await entry.request("a", excluded={"g1"})
            for _ in range(3):
                entry.admissions.note_result("g2", False)
            await entry.request("a", timeout_s=0.5, excluded={"g1"})
            await trio.sleep(1.0)
            await entry.request("a", excluded={"g1"})
            assert [group for *_, group in entry.placed] == ["g2", "g2"]
            assert len(entry.refusals) == 1

        run(scenario, groups=("g1", "g2"))

    def test_waiting_request_uses_a_new_grant(self):
        async def scenario(entry):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.request, "a")
                await trio.sleep(3)
                entry.grant("g1", 1)
            assert trio.current_time() < 4.2

        run(scenario, groups=())

    def test_cancelled_request_releases_its_place(self):
        async def scenario(entry):
            for _ in range(3):
                with trio.move_on_after(0.5):
                    async with trio.open_nursery() as nursery:
                        for _ in range(5):
                            nursery.start_soon(entry.request, "a")
            assert entry.held.waiting["s"] == 0

        run(scenario)


class TestRefusals:
    def test_shed_request_is_refused_at_once(self, monkeypatch):
        async def scenario(entry):
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(entry.request, "b", "low")
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(entry.request, "a", "high")
                await trio.testing.wait_all_tasks_blocked()
                [(refused_s, error)] = entry.refusals
                assert (refused_s, error.code) == (0.0, "queue_full")
                assert error.retry_after_s >= 1.0

        monkeypatch.setattr(admission, "MAX_QUEUED", 3)
        run(scenario)

    def test_too_long_wait_is_refused_with_its_estimate(self):
        async def scenario(entry):
            async with trio.open_nursery() as nursery:
                for _ in range(60):
                    nursery.start_soon(entry.request, "a", "low")
                await trio.sleep(11.5)
                began_s = trio.current_time()
                await entry.request("a", "low", timeout_s=5.0)
                assert trio.current_time() == began_s
                error = entry.refusals[-1][1]
                assert error.code == "queue_too_long"
                assert 47 <= error.retry_after_s <= 60
                nursery.cancel_scope.cancel()

        run(scenario)

    def test_wait_ends_with_no_capacity(self):
        async def scenario(entry):
            await entry.request("a", timeout_s=2.0)
            [(refused_s, error)] = entry.refusals
            assert error.code == "no_capacity"
            assert refused_s == pytest.approx(2.0, abs=0.11)

        run(scenario, groups=())
