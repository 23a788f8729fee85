"""Tests of the headers of requests and answers."""

from sycamorespool import http_client
from sycamorespool.platform import headers


def decode_request(*pairs):
    return headers.decode_request("GET", "/a", pairs, b"")


class TestHeadersThatComeTwice:
    # Only the last line reached the other side, as of two cookies.
    def test_all_lines_of_a_request_are_passed_on(self):
        pairs = [(b"via", b"a"), (b"accept", b"x"), (b"via", b"b")]
        request = decode_request(*pairs)
        lines = http_client.encode_headers(request.headers)
        assert sorted(lines) == sorted(pairs)

    def test_all_lines_of_an_answer_are_returned(self):
        pairs = [(b"set-cookie", b"a=1"), (b"set-cookie", b"b=2")]
        joined = http_client.join_headers(pairs)
        for select in (
            headers.select_answer_headers,
            headers.select_peer_headers,
        ):
            assert http_client.encode_headers(select(joined)) == pairs

    def test_server_reads_the_same_line_as_the_entry(self):
        name = headers.MODEL.encode()
        request = decode_request((name, b"a"), (name, b"b"))
        assert request.model == "b"
        assert request.headers[headers.MODEL] == "b"

    def test_caller_reads_the_same_id_as_the_entry(self):
        name = headers.ATTEMPT.encode()
        joined = http_client.join_headers([(name, b"a1"), (name, b"a2")])
        selected = headers.select_answer_headers(joined)
        assert selected == {headers.ATTEMPT: "a2"}
