"""Tests of whose answer an answer on a connection is."""

import contextlib
import errno
import math
import tracemalloc

import pytest
import trio
import trio.testing

from examples import processes
from sycamorespool.backend_servers import streaming_client
from sycamorespool import connection_pool
from sycamorespool import exceptions
from sycamorespool.platform import headers
from sycamorespool import sockets

DIALECT = streaming_client.Dialect(headers.ATTEMPT, headers.is_refusal)


def make_answer(status, attempt_id=None, is_refusal=False):
    lines = [f"HTTP/1.1 {status} Status", "content-length: 0"]
    if attempt_id is not None:
        lines.append(f"{headers.ATTEMPT}: {attempt_id}")
    if is_refusal:
        lines.append(f"{headers.NOT_RUN}: 1")
    return "\r\n".join([*lines, "", ""]).encode()


def is_complete(answer):
    """Tell whether an answer without a body has its whole head."""
    return b"content-length: 0\r\n" in answer and answer.endswith(b"\r\n\r\n")


class Server:
    """Answers the requests by the next of some texts, on any connection."""

    def __init__(self, *answers):
        self.address = processes.find_free_address()
        self.answers = list(answers)
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                answer = self.answers.pop(0)
                await stream.send_all(answer)
                if not is_complete(answer):
                    await stream.aclose()
                    return


def exchange(server, *attempt_ids, dialect=DIALECT):
    """Send requests in turn; return the outcome of each."""
    outcomes = []

    async def main():
        pool = connection_pool.ConnectionPool()
        async with trio.open_nursery() as nursery:
            host, _, port = server.address.rpartition(":")

            async def listen(task_status=trio.TASK_STATUS_IGNORED):
                await trio.serve_tcp(
                    server.serve, int(port), host=host, task_status=task_status
                )

            await nursery.start(listen)
            for attempt_id in attempt_ids:
                outcomes.append(await _send(server, pool, attempt_id, dialect))
            pool.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return outcomes


async def _send(server, pool, attempt_id, dialect):
    outgoing = streaming_client.OutgoingRequest(
        server.address, "GET", "/a", {}, b"", attempt_id, dialect=dialect
    )
    end_s = trio.current_time() + 5.0
    try:
        async with streaming_client.open_request(
            pool, outgoing, math.inf, end_s
        ) as answer:
            await answer.finish()
            return answer.status if answer.is_whole else None
    except exceptions.BackendError as error:
        return type(error)


class TestRefusal:
    # Reports (REFUSED, TWICE): an earlier refusal that a faulty server wrote
    # once more was taken for that of a request which the server ran.
    def test_refusal_of_this_attempt_says_that_nothing_was_run(self):
        server = Server(make_answer(503, "a", is_refusal=True))
        assert exchange(server, "a") == [exceptions.BackendRefused]

    @pytest.mark.parametrize("status", [400, 421, 429, 503])
    def test_refusal_of_another_attempt_says_nothing(self, status):
        server = Server(
            make_answer(200, "a"), make_answer(status, "z", is_refusal=True)
        )
        assert exchange(server, "a", "b") == [200, exceptions.BackendCut]

    @pytest.mark.parametrize("status", [400, 421, 429, 503])
    def test_refusal_without_an_id_on_a_used_connection_says_nothing(
        self, status
    ):
        server = Server(
            make_answer(200, "a"), make_answer(status, is_refusal=True)
        )
        assert exchange(server, "a", "b") == [200, exceptions.BackendCut]

    def test_refusal_without_an_id_on_a_new_connection_is_its_own(self):
        server = Server(make_answer(400, is_refusal=True))
        assert exchange(server, "a") == [exceptions.BackendRefused]

    def test_tries_with_one_id_share_no_connection(self):
        server = Server(*[make_answer(200, "a")] * 3, make_answer(200, "b"))
        assert exchange(server, "a", "a") == [200, 200]
        assert server.connections == 2

    def test_request_without_an_id_gets_a_new_connection(self):
        server = Server(
            make_answer(200, "a"), make_answer(400, is_refusal=True)
        )
        assert exchange(server, "a", "") == [200, exceptions.BackendRefused]
        assert server.connections == 2

    def test_refusal_in_the_other_dialect_needs_the_id_too(self):
        name = headers.ATTEMPT.encode()
        own_name = streaming_client.ATTEMPT_HEADER.encode()
        answers = [make_answer(200, "a"), make_answer(503, "z")]
        server = Server(*[a.replace(name, own_name) for a in answers])
        outcomes = exchange(
            server, "a", "b", dialect=streaming_client.OWN_DIALECT
        )
        assert outcomes == [200, exceptions.BackendCut]


# Status codes that no answer has (RFC 9110, section 15).
NO_STATUSES = ["000", "099", "101", "20", "2000", "-20", "600", "999"]


class TestStatus:
    # Report (MIXED): a caller got an answer whose status was 000; here those
    # from 600 on reached callers.
    @pytest.mark.parametrize("status", NO_STATUSES)
    def test_bytes_with_a_status_of_no_answer_are_a_cut_answer(self, status):
        server = Server(make_answer(status, "a"))
        assert exchange(server, "a") == [exceptions.BackendCut]

    @pytest.mark.parametrize("status", [200, 204, 304, 404, 500, 599])
    def test_any_status_of_an_answer_is_taken(self, status):
        server = Server(make_answer(status, "a"))
        assert exchange(server, "a") == [status]


SIGNED = streaming_client.Dialect(
    headers.ATTEMPT, headers.is_refusal, headers.is_genuine
)


def sign(answer, signature):
    field = f"{headers.SIGNATURE}: {signature}\r\n".encode()
    return answer.replace(b"content-length", field + b"content-length")


class TestSignature:
    # Review 7 (MIXED): a success whose signature was spoiled reached the
    # caller, though another server could answer.
    @pytest.mark.parametrize("status", [200, 204, 206])
    @pytest.mark.parametrize("signature", [None, "", " "])
    def test_success_without_a_signature_is_a_cut_answer(
        self, status, signature
    ):
        answer = make_answer(status, "a")
        if signature is not None:
            answer = sign(answer, signature)
        server = Server(answer)
        assert exchange(server, "a", dialect=SIGNED) == [exceptions.BackendCut]

    @pytest.mark.parametrize("status", [200, 204, 404, 500])
    def test_signed_answer_is_taken(self, status):
        server = Server(sign(make_answer(status, "a"), "s"))
        assert exchange(server, "a", dialect=SIGNED) == [status]

    @pytest.mark.parametrize("status", [304, 404, 500])
    def test_failure_needs_no_signature(self, status):
        server = Server(make_answer(status, "a"))
        assert exchange(server, "a", dialect=SIGNED) == [status]


HEAD = b"HTTP/1.1 200 OK\r\n%b: a\r\n" % headers.ATTEMPT.encode()
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


class TestAnswerThatStops:
    # Report (MIXED, ORDER): a server stopped in the head of its answer, and
    # callers got a 200 with an empty or short body that was framed as whole.
    @pytest.mark.parametrize(
        "sent",
        [
            b"HTTP/1.1 200",
            b"HTTP/1.1 200 OK",
            b"HTTP/1.1 200 OK\r\n",
            HEAD,
            HEAD + b"content-le",
            HEAD + b"content-length: 1",
            HEAD + b"content-length: 5\r\n",
            HEAD + b"content-length: 0\r\n\r",
            HEAD + b"content-length: 5\r\n\r\nhel",
            CHUNKED,
            CHUNKED + b"5\r\nhel",
            CHUNKED + b"3\r\nhel\r\n",
            CHUNKED + b"3\r\nhel\r\n0\r\n",
        ],
    )
    def test_it_is_not_whole(self, sent):
        server = Server(sent)
        assert exchange(server, "a")[0] in (exceptions.BackendClosed, None)


class TestMemory:
    BODY = bytes(4 * 1024 * 1024)
    ATTEMPTS = 4

    # Review 9: each attempt beside others held a copy of the body until its
    # server had read it, beyond the memory of the machine.
    def test_attempts_beside_each_other_hold_no_copies_of_the_body(self):
        address = processes.find_free_address()

        async def never_read(stream):
            await trio.sleep_forever()

        async def send(pool, number):
            outgoing = streaming_client.OutgoingRequest(
                address, "POST", "/a", {}, self.BODY, f"a{number}"
            )
            end_s = trio.current_time() + 30.0
            async with streaming_client.open_request(
                pool, outgoing, math.inf, end_s
            ):
                pass

        async def main():
            pool = connection_pool.ConnectionPool()
            host, _, port = address.rpartition(":")
            async with trio.open_nursery() as nursery:

                async def listen(task_status=trio.TASK_STATUS_IGNORED):
                    await trio.serve_tcp(
                        never_read,
                        int(port),
                        host=host,
                        task_status=task_status,
                    )

                await nursery.start(listen)
                tracemalloc.start()
                for number in range(self.ATTEMPTS):
                    nursery.start_soon(send, pool, number)
                await trio.testing.wait_all_tasks_blocked(0.3)
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                nursery.cancel_scope.cancel()
            return peak_bytes

        assert trio.run(main) < len(self.BODY)


class TestDescriptors:
    @pytest.fixture(autouse=True)
    def no_descriptors(self, monkeypatch):
        async def connect(address):
            raise OSError(errno.EMFILE, "too many open files")

        monkeypatch.setattr(sockets, "connect", connect)

    def test_want_of_descriptors_does_not_tell_that_a_server_is_gone(self):
        # It counted as a refused connection, so that an entry that was full
        # took sound servers for lost ones.
        outcomes = exchange(Server(), "a1")
        assert outcomes == [exceptions.BackendNotReached]

    def test_vm_is_not_lost_for_want_of_descriptors(self):
        assert trio.run(sockets.is_accepting, "127.0.0.1:9", 1.0)
        assert not trio.run(sockets.is_refused, "127.0.0.1:9", 1.0)
