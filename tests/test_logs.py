"""Tests of the log lines."""

import ast
import contextlib
import logging
import os
import pathlib

import pytest

from sycamorespool import exceptions
from sycamorespool import logs

SOURCE = pathlib.Path(logs.__file__).parent
LEVELS = frozenset({"debug", "info", "warning", "error"})
CALLER_TEXT = "send 40 red shirts to gate 7"


def find_loggers(tree):
    """Return the names that a module gives to its loggers."""
    return {
        target.id
        for node in tree.body
        if isinstance(node, ast.Assign)
        and ast.unparse(node.value).startswith("logs.make_logger(")
        for target in node.targets
    }


def find_log_calls():
    """Yield the file and the node of every call of a logger."""
    for path in sorted(SOURCE.rglob("*.py")):
        tree = ast.parse(path.read_text())
        loggers = find_loggers(tree)
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LEVELS
                and ast.unparse(node.func.value) in loggers
            ):
                yield path.name, node


class TestLines:
    @pytest.mark.parametrize(
        ("values", "line"),
        [
            ({}, "grants: asked"),
            ({"unit": "domain/d1"}, "grants: asked unit=domain/d1"),
            ({"age_s": 0.12345}, "grants: asked age_s=0.123"),
            ({"reason": "no reply"}, "grants: asked reason='no reply'"),
            (
                {"reason": "a\nb: forged"},
                r"grants: asked reason='a\nb: forged'",
            ),
            ({"reason": ""}, "grants: asked reason=''"),
            (
                {"error": exceptions.PeerUnavailable("gone")},
                "grants: asked error='PeerUnavailable: gone'",
            ),
        ],
    )
    def test_line_has_prefix_message_and_fields(self, values, line):
        assert logs.format_line("grants", "asked", values) == line

    def test_ids_of_the_request_are_added(self, caplog):
        log = logs.make_logger("callers")
        with caplog.at_level("INFO", logger="absl"):
            with logs.bind_ids("r1", "a1"):
                log.info("served", status=200)
            log.info("idle")
        assert [record.getMessage() for record in caplog.records] == [
            "callers: served status=200 request_id=r1 attempt_id=a1",
            "callers: idle",
        ]


class TestSecrets:
    @pytest.mark.parametrize("name", ["body", "key", "prompt", "text"])
    def test_field_outside_the_list_is_left_out(self, name):
        line = logs.format_line("callers", "served", {name: CALLER_TEXT})
        assert line == "callers: served"

    @pytest.mark.parametrize(
        "error",
        [
            exceptions.NotRun("bad_request", CALLER_TEXT),
            exceptions.OutcomeUnknown("answer_lost", CALLER_TEXT),
            exceptions.BackendRefused(503, CALLER_TEXT),
        ],
    )
    def test_error_detail_that_may_quote_a_caller_is_left_out(self, error):
        line = logs.format_line("callers", "refused", {"error": error})
        assert CALLER_TEXT not in line

    def test_every_call_has_known_fields_and_a_constant_message(self):
        calls = list(find_log_calls())
        assert calls
        for name, call in calls:
            place = f"{name}:{call.lineno}"
            message, *others = call.args
            assert isinstance(message, ast.Constant) and not others, place
            assert {k.arg for k in call.keywords} <= logs.FIELDS, place


class TestBounded:
    @pytest.fixture
    def pipe(self):
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        yield reader, writer
        os.close(reader)
        os.close(writer)

    def emit(self, handler, text="answered"):
        handler.emit(
            logging.LogRecord("absl", logging.INFO, "", 0, text, (), None)
        )

    def test_line_begins_with_the_letter_of_its_level(self, pipe):
        reader, writer = pipe
        self.emit(logs.BoundedHandler(writer))
        assert os.read(reader, 99) == b"I answered\n"

    def test_lines_are_dropped_while_the_reader_does_not_read(self, pipe):
        reader, writer = pipe
        handler = logs.BoundedHandler(writer)
        for _ in range(logs.LINES_PER_S // 2):
            self.emit(handler, "x" * 1000)
        assert handler.dropped
        with contextlib.suppress(BlockingIOError):
            while os.read(reader, 65536):
                continue
        self.emit(handler, "again")
        assert b"again dropped_before=" in os.read(reader, 99)

    def test_lines_beyond_the_rate_are_dropped(self, pipe, monkeypatch):
        # The clock stands still: any time that passes lets another line
        # through, and a line that is written resets the count of dropped
        # ones.
        monkeypatch.setattr(logs.time, "monotonic", lambda: 0.0)
        _, writer = pipe
        handler = logs.BoundedHandler(writer)
        for _ in range(2 * logs.LINES_PER_S):
            self.emit(handler, "x")
        assert handler.dropped == logs.LINES_PER_S
