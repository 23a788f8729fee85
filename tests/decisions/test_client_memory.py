"""Tests of who may hold memory of an entry, and who gives way."""

import random

import pytest

from sycamorespool.decisions import client_memory

MIB = 1024 * 1024
GRANTED = client_memory.Verdict.GRANTED
WAIT = client_memory.Verdict.WAIT
REFUSED = client_memory.Verdict.REFUSED
Phase = client_memory.Phase


def make_memory(limit_mib=8, connections=100):
    return client_memory.ClientMemory(limit_mib * MIB, connections)


def add(memory, size_bytes=0, now_s=0.0, phase=Phase.READING):
    holding = client_memory.add(memory, now_s)
    holding.phase = phase
    if size_bytes:
        found = client_memory.reserve(memory, holding, size_bytes, now_s)
        assert found.verdict is GRANTED
    return holding


class TestMemory:
    def test_stalled_upload_gives_way_to_one_that_goes_on(self):
        memory = make_memory()
        stalled = add(memory, 5 * MIB)
        new = add(memory, now_s=3.0)
        found = client_memory.reserve(memory, new, 4 * MIB, 3.0)
        assert found.verdict is WAIT
        assert found.ended == (stalled,)

    def test_room_is_there_only_once_the_other_is_closed(self):
        # Its task may hold its memory for a moment longer.
        memory = make_memory()
        stalled = add(memory, 5 * MIB)
        new = add(memory, now_s=3.0)
        client_memory.reserve(memory, new, 4 * MIB, 3.0)
        again = client_memory.reserve(memory, new, 4 * MIB, 3.0)
        assert (again.verdict, again.ended) == (WAIT, ())
        client_memory.remove(memory, stalled)
        found = client_memory.reserve(memory, new, 4 * MIB, 3.0)
        assert found.verdict is GRANTED
        assert memory.used_bytes == 4 * MIB

    def test_request_at_a_server_is_never_ended(self):
        memory = make_memory()
        add(memory, 5 * MIB, phase=Phase.RUNNING)
        new = add(memory, now_s=60.0)
        found = client_memory.reserve(memory, new, 4 * MIB, 60.0)
        assert found == client_memory.Reservation(REFUSED)

    def test_small_request_finds_room_beside_large_ones(self):
        memory = make_memory()
        while True:
            large = client_memory.add(memory, 0.0)
            large.phase = Phase.RUNNING
            if (
                client_memory.reserve(memory, large, MIB, 0.0).verdict
                is REFUSED
            ):
                break
        small = client_memory.add(memory, 0.0)
        found = client_memory.reserve(memory, small, 20_000, 0.0)
        assert found.verdict is GRANTED

    @pytest.mark.parametrize("seed", range(20))
    def test_sum_stays_under_the_limit(self, seed):
        rng = random.Random(seed)
        memory = make_memory(connections=30)
        now_s = 0.0
        held = []
        for _ in range(2000):
            now_s += rng.random() * 0.1
            if not held or rng.random() < 0.2:
                held.append(client_memory.add(memory, now_s))
                client_memory.end_surplus(memory, now_s)
            holding = rng.choice(held)
            holding.phase = rng.choice(list(Phase))
            size = rng.randrange(2 * MIB)
            client_memory.reserve(memory, holding, size, now_s)
            for ended in [h for h in held if h.is_ended]:
                client_memory.remove(memory, ended)
                held.remove(ended)
            assert memory.used_bytes == sum(h.size_bytes for h in held)
            assert memory.used_bytes <= memory.limit_bytes


class TestConnections:
    def test_longest_without_progress_is_closed_first(self):
        memory = make_memory(connections=2)
        old = add(memory, now_s=0.0)
        add(memory, now_s=1.0)
        add(memory, now_s=2.0)
        assert client_memory.end_surplus(memory, 2.0) is old
        assert client_memory.end_surplus(memory, 2.0) is None

    def test_request_at_a_server_keeps_its_connection(self):
        memory = make_memory(connections=1)
        add(memory, phase=Phase.RUNNING)
        new = add(memory, now_s=9.0)
        assert client_memory.end_surplus(memory, 9.0) is new

    def test_new_caller_is_closed_after_those_that_send_ahead(self):
        # Callers that send many requests at once always have progress.
        memory = make_memory(connections=1)
        new = add(memory, now_s=1.0)
        busy = add(memory, now_s=1.0)
        busy.is_answered = True
        busy.progressed_s = 1.1
        assert client_memory.end_surplus(memory, 1.1) is busy
        assert not new.is_ended
