"""Tests of the grants that an asker holds."""

from sycamorespool.decisions import grant_book
from sycamorespool import models

UNIT = "domain/d"


class TestGrantBook:
    def test_grant_is_valid_from_the_ask_and_older_answer_is_refused(self):
        book = grant_book.GrantBook("e1", 1)
        grant = models.Grant("g", "a", 1, 2, 2.0, "addr", "b")
        answer = models.GrantAnswer(UNIT, 0, (grant,))
        empty = models.GrantAnswer(UNIT, 0)
        assert grant_book.take_answer(book, answer, 10.0, 11.5)
        assert grant_book.acquire_place(book, "g", 11.9)
        assert not grant_book.acquire_place(book, "g", 12.0)
        assert not grant_book.take_answer(book, empty, 9.0, 11.0)
        assert grant_book.take_answer(book, empty, 11.0, 12.0)
        request = grant_book.make_ask(book, UNIT, {}, 12.0)
        assert request.in_flight == {"g": 1}
        grant_book.release_place(book, "g")
        assert not grant_book.make_ask(book, UNIT, {}, 12.0).in_flight
