"""Tests of the soak's check that entries heed what servers say."""

import pytest

from benchmarks import hosted_notices
from sycamorespool import http_client
from sycamorespool.standins import hosted_engine
from sycamorespool.standins import hosted_state

ONE, OTHER = (hosted_notices.Process(name, 1) for name in ("e-1", "e-2"))
LATE_S = hosted_notices.DRAIN_S + 0.1


def make_server():
    return hosted_engine.HostedEngine(None, "i-1", "s", "10.0.0.1:1")


def note(notices, attempt, process, sent_s, is_leaving=False):
    headers = {hosted_engine.SIGNATURE: "i-1.1.1"}
    if is_leaving:
        headers[hosted_engine.LEAVING] = "1"
    answer = http_client.Response(200, headers, b"")
    notices.note_answer(attempt, process, sent_s, sent_s, answer)


class TestLeaving:
    @pytest.mark.parametrize(
        ("process", "born_ms", "sent_s", "count"),
        [
            (ONE, 1, LATE_S, 1),
            (ONE, 1, LATE_S - 0.2, 0),
            (OTHER, 1, LATE_S, 0),
            (ONE, 2, LATE_S, 0),
        ],
    )
    def test_late_request_of_the_same_process_is_a_failure(
        self, process, born_ms, sent_s, count
    ):
        notices, server = hosted_notices.Notices(), make_server()
        note(notices, "a", ONE, 0.0, is_leaving=True)
        note(notices, "b", process, sent_s)
        server.arrivals.append(hosted_state.Arrival("b", born_ms, sent_s))
        assert len(notices.find_failures([server])) == count


class TestPauses:
    @pytest.mark.parametrize(
        ("process", "first_s", "count"),
        [(ONE, 1.0, 1), (OTHER, 1.0, 0), (ONE, 0.0, 0), (ONE, 9.0, 0)],
    )
    def test_requests_during_a_pause_are_a_failure(
        self, process, first_s, count
    ):
        notices, server = hosted_notices.Notices(), make_server()
        note(notices, "a", ONE, 0.0)
        server.pauses.append(hosted_state.Pause("a", 1, 0.0, 4.0))
        for number in range(hosted_notices.PAUSE_SLACK + 1):
            at_s = first_s + number / 10
            note(notices, f"b-{number}", process, at_s)
            server.arrivals.append(
                hosted_state.Arrival(f"b-{number}", 1, at_s)
            )
        assert len(notices.find_failures([server])) == count
