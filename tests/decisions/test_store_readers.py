"""Tests of the choice of the entry that reads the store."""

import dataclasses

from sycamorespool.decisions import store_readers


def make_directory():
    entries = {
        f"e{n}": store_readers.Entry(f"10.0.0.{n}:1", f"dc{n % 2}")
        for n in range(8)
    }
    return store_readers.EntryDirectory(entries)


def find_readers(directory, now_s=0.0):
    return {
        name: store_readers.choose(directory, name, now_s) or name
        for name in directory.entries
    }


class TestChoose:
    def test_one_entry_of_each_data_centre_reads(self):
        directory = make_directory()
        found = find_readers(directory)
        assert len(set(found.values())) == 2
        for name, reader in found.items():
            own = directory.entries[name].data_centre
            assert directory.entries[reader].data_centre == own

    def test_entry_not_yet_announced_reads_the_store(self):
        assert store_readers.choose(make_directory(), "new", 0.0) is None

    def test_reader_that_fails_is_excluded_for_a_while(self):
        directory = make_directory()
        reader = find_readers(directory)["e0"]
        store_readers.exclude(directory, reader, 10.0)
        assert find_readers(directory, 10.0)["e0"] != reader
        later_s = 10.0 + store_readers.EXCLUSION_S
        assert find_readers(directory, later_s)["e0"] == reader

    def test_reader_without_records_yet_is_excluded_for_a_shorter_time(self):
        directory = make_directory()
        reader = find_readers(directory)["e0"]
        store_readers.exclude(directory, reader, 10.0, does_answer=True)
        assert find_readers(directory, 10.0)["e0"] != reader
        later_s = 10.0 + store_readers.STARTUP_EXCLUSION_S
        assert find_readers(directory, later_s)["e0"] == reader

    def test_only_entries_with_wide_links_are_chosen(self):
        directory = make_directory()
        wide = {"e1": 200.0, "e3": 100.0, "e5": 90.0}
        for name, entry in directory.entries.items():
            mbps = wide.get(name, 20.0)
            directory.entries[name] = dataclasses.replace(
                entry, link_mbps=mbps
            )
        readers_found = set()
        for _ in range(3):
            reader = find_readers(directory, 1.0)["e7"]
            readers_found.add(reader)
            store_readers.exclude(directory, reader, 1.0)
        assert readers_found == set(wide)

    def test_entry_that_others_follow_reads_the_store(self):
        directory = make_directory()
        reader = find_readers(directory)["e0"]
        other = next(
            name
            for name, entry in directory.entries.items()
            if name != reader
            and entry.data_centre == directory.entries[reader].data_centre
        )
        assert store_readers.choose(directory, other, 10.0) == reader
        directory.last_followed_s = 10.0
        assert store_readers.choose(directory, other, 10.1) is None
        later_s = 10.0 + store_readers.FOLLOWED_S
        assert store_readers.choose(directory, other, later_s) == reader
