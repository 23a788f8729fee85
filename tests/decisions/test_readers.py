import dataclasses

from sycamorespool.decisions import readers


def make_book():
    entries = {
        f"e{n}": readers.Entry(f"10.0.0.{n}:1", f"dc{n % 2}") for n in range(8)
    }
    return readers.ReaderBook(entries)


def find_readers(book, now_s=0.0):
    return {
        name: readers.choose(book, name, now_s) or name
        for name in book.entries
    }


class TestChoose:
    def test_one_entry_of_each_data_centre_reads(self):
        book = make_book()
        found = find_readers(book)
        assert len(set(found.values())) == 2
        for name, reader in found.items():
            own = book.entries[name].data_centre
            assert book.entries[reader].data_centre == own

    def test_unknown_entry_reads_for_itself(self):
        assert readers.choose(make_book(), "new", 0.0) is None

    def test_reader_that_fails_is_passed_over_for_a_while(self):
        book = make_book()
        reader = find_readers(book)["e0"]
        readers.pass_over(book, reader, 10.0)
        assert find_readers(book, 10.0)["e0"] != reader
        later_s = 10.0 + readers.EXCLUSION_S
        assert find_readers(book, later_s)["e0"] == reader

    def test_reader_without_records_yet_is_asked_again_soon(self):
        book = make_book()
        reader = find_readers(book)["e0"]
        readers.pass_over(book, reader, 10.0, does_answer=True)
        assert find_readers(book, 10.0)["e0"] != reader
        later_s = 10.0 + readers.STARTUP_EXCLUSION_S
        assert find_readers(book, later_s)["e0"] == reader

    def test_entries_with_wide_links_read(self):
        book = make_book()
        wide = {"e1": 200.0, "e3": 100.0, "e5": 90.0}
        for name, entry in book.entries.items():
            mbps = wide.get(name, 20.0)
            book.entries[name] = dataclasses.replace(entry, link_mbps=mbps)
        readers_found = set()
        for _ in range(3):
            reader = find_readers(book, 1.0)["e7"]
            readers_found.add(reader)
            readers.pass_over(book, reader, 1.0)
        assert readers_found == set(wide)

    def test_entry_that_others_follow_reads_for_itself(self):
        book = make_book()
        reader = find_readers(book)["e0"]
        other = next(
            name
            for name, entry in book.entries.items()
            if name != reader
            and entry.data_centre == book.entries[reader].data_centre
        )
        assert readers.choose(book, other, 10.0) == reader
        book.asked_s = 10.0
        assert readers.choose(book, other, 10.1) is None
        later_s = 10.0 + readers.FOLLOWED_S
        assert readers.choose(book, other, later_s) == reader
