"""Tests of the choice of the entry that reads the store."""

import dataclasses

from sycamorespool.decisions import readers


def make_state():
    entries = {
        f"e{n}": readers.Entry(f"10.0.0.{n}:1", f"dc{n % 2}") for n in range(8)
    }
    return readers.ReaderBook(entries)


def find_readers(state, now_s=0.0):
    return {
        name: readers.choose(state, name, now_s) or name
        for name in state.entries
    }


class TestChoose:
    def test_one_entry_of_each_data_centre_reads(self):
        state = make_state()
        found = find_readers(state)
        assert len(set(found.values())) == 2
        for name, reader in found.items():
            own = state.entries[name].data_centre
            assert state.entries[reader].data_centre == own

    def test_entry_not_yet_announced_reads_the_store(self):
        assert readers.choose(make_state(), "new", 0.0) is None

    def test_reader_that_fails_is_excluded_for_a_while(self):
        state = make_state()
        reader = find_readers(state)["e0"]
        readers.pass_over(state, reader, 10.0)
        assert find_readers(state, 10.0)["e0"] != reader
        later_s = 10.0 + readers.EXCLUSION_S
        assert find_readers(state, later_s)["e0"] == reader

    def test_reader_without_records_yet_is_excluded_for_a_shorter_time(self):
        state = make_state()
        reader = find_readers(state)["e0"]
        readers.pass_over(state, reader, 10.0, does_answer=True)
        assert find_readers(state, 10.0)["e0"] != reader
        later_s = 10.0 + readers.STARTUP_EXCLUSION_S
        assert find_readers(state, later_s)["e0"] == reader

    def test_only_entries_with_wide_links_are_chosen(self):
        state = make_state()
        wide = {"e1": 200.0, "e3": 100.0, "e5": 90.0}
        for name, entry in state.entries.items():
            mbps = wide.get(name, 20.0)
            state.entries[name] = dataclasses.replace(entry, link_mbps=mbps)
        readers_found = set()
        for _ in range(3):
            reader = find_readers(state, 1.0)["e7"]
            readers_found.add(reader)
            readers.pass_over(state, reader, 1.0)
        assert readers_found == set(wide)

    def test_entry_that_others_follow_reads_the_store(self):
        state = make_state()
        reader = find_readers(state)["e0"]
        other = next(
            name
            for name, entry in state.entries.items()
            if name != reader
            and entry.data_centre == state.entries[reader].data_centre
        )
        assert readers.choose(state, other, 10.0) == reader
        state.asked_s = 10.0
        assert readers.choose(state, other, 10.1) is None
        later_s = 10.0 + readers.FOLLOWED_S
        assert readers.choose(state, other, later_s) == reader
