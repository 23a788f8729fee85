import itertools

import msgspec
import pytest

from examples import processes
from sycamorespool import asgi
from sycamorespool.decisions import rendezvous
from sycamorespool.peers import peer_reads
from tests.hosted import fleet as fleets
from tests.hosted import raw_fleet

# Records of this age, fetched every half second, would let an entry send
# requests to a server for more than the two seconds after it left.
STALE_S = 1.5


def find_runs(servers):
    return [headers for server in servers for headers in server.runs]


class TestForwarding:
    def test_whole_stream_is_forwarded_with_its_signature(self, run_hosted):
        async def scenario(fleet):
            answer = await fleet.ask_stream()
            assert answer.status == 200
            assert answer.body == fleets.STREAM
            assert "sycamorespool-replica-signature" in answer.headers
            assert answer.headers["sycamorespool-attempt-id"] == "a1"
            (headers,) = find_runs(fleet.engines)
            assert headers["sycamorespool-tenant"] == "w"
            assert headers["host"] == fleets.HOST
            assert "authorization" not in headers
            assert 0 < int(headers["sycamorespool-deadline-ms"]) <= 5000

        run_hosted(scenario)

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [
            ("/nowhere/1", fleets.KEY, 404),
            ("/orders/1", "no-such-key", 401),
            ("/orders/1", fleets.KEY, 200),
        ],
    )
    def test_route_and_key_are_checked(self, run_hosted, path, key, status):
        async def scenario(fleet):
            answer = await fleet.ask(path, key=key)
            assert answer.status == status
            assert len(find_runs(fleet.servers)) == (status == 200)

        run_hosted(scenario)


class TestFaults:
    def test_cut_stream_is_resumed_after_the_last_event(self, run_hosted):
        async def scenario(fleet):
            for engine in fleet.engines:
                engine.faults.append("cut")
            intact, cut = fleet.open_heads()
            intact.faults.clear()
            for number in itertools.count():
                answer = await fleet.ask_stream(number)
                assert answer.body == fleets.STREAM
                # Which of two equally loaded heads is chosen is random.
                if cut.runs and number >= 3:
                    break
            resumed = [
                headers["last-event-id"]
                for headers in find_runs(fleet.engines)
                if "last-event-id" in headers
            ]
            assert resumed == ["1"]

        run_hosted(scenario)

    def test_refused_request_goes_to_another_server(self, run_hosted):
        async def scenario(fleet):
            fleet.servers[0].faults.extend(["refuse"] * 9)
            for number in range(3):
                answer = await fleet.ask("/orders/1", number=number)
                assert answer.status == 200

        run_hosted(scenario)

    def test_request_that_may_have_run_is_not_sent_again(self, run_hosted):
        async def scenario(fleet):
            for server in fleet.servers:
                server.faults.append("fail")
            answer = await fleet.ask("/orders/1")
            assert answer.status == 500
            assert "sycamorespool-replica-signature" in answer.headers
            assert len(find_runs(fleet.servers)) == 1

        run_hosted(scenario)

    def test_idempotent_request_is_sent_again(self, run_hosted):
        async def scenario(fleet):
            fleet.servers[0].faults.append("fail")
            fleet.servers[1].faults.append("fail")
            answer = await fleet.ask("/stock/1", "GET")
            assert answer.status == 500
            assert len(find_runs(fleet.servers)) == 2
            assert (await fleet.ask("/stock/1", "GET")).status == 200

        run_hosted(scenario)

    def test_call_waits_briefly_for_a_server(self, run_hosted):
        async def scenario(fleet):
            for server in fleet.servers:
                server.faults.append("refuse")
            answer = await fleet.ask("/orders/1")
            assert answer.status == 200
            assert len(find_runs(fleet.servers)) == 1

        run_hosted(scenario)

    def test_refusal_says_when_to_try_again(self, run_hosted):
        async def scenario(fleet):
            for server in fleet.servers:
                server.remove_record()

            async def is_refused():
                answer = await fleet.ask("/orders/1")
                return answer.status == 503 and float(
                    answer.headers["retry-after"]
                )

            await fleet.wait_for(is_refused)

        run_hosted(scenario)

    def test_invalid_registry_entry_is_skipped(self, run_hosted):
        async def scenario(fleet):
            offset = fleet.store.put(
                "keyed.servers", "odd", {"service": "ledger", "state": 7}
            )
            assert offset
            fleet.store.put("keyed.servers", fleet.servers[0].vm_id, [1])
            for number in range(4):
                answer = await fleet.ask("/orders/1", number=number)
                assert answer.status == 200

        run_hosted(scenario)


class TestConfiguration:
    def test_new_version_revokes_a_key(self, run_hosted):
        async def scenario(fleet):
            tenant = {"name": "w", "api_keys": [fleets.OTHER_KEY]}
            changed = {**fleets.CONFIG, "version": 5, "tenants": [tenant]}
            fleet.store.put("keyed.op", "config", changed)

            async def is_revoked():
                return (await fleet.ask("/orders/1")).status == 401

            await fleet.wait_for(is_revoked)
            answer = await fleet.ask("/orders/1", key=fleets.OTHER_KEY)
            assert answer.status == 200

        run_hosted(scenario)

    def test_older_and_invalid_versions_are_ignored(self, run_hosted):
        async def scenario(fleet):
            older = {**fleets.CONFIG, "version": 2, "routes": []}
            fleet.store.put("keyed.op", "config", older)
            fleet.store.put("keyed.op", "config", {"version": "x"})
            newer = {**fleets.CONFIG, "version": 9}
            newer["routes"] = fleets.CONFIG["routes"][1:]
            fleet.store.put("keyed.op", "config", newer)

            async def is_dropped():
                return (await fleet.ask_stream()).status == 404

            await fleet.wait_for(is_dropped)
            assert (await fleet.ask("/orders/1")).status == 200

        run_hosted(scenario)

    def test_topic_with_expired_records_is_read_again_as_a_whole(
        self, run_hosted
    ):
        async def scenario(fleet):
            changed = {**fleets.CONFIG, "version": 9, "routes": []}
            fleet.store.put("keyed.op", "config", changed)
            fleet.store.expire_records("keyed.op")
            fleet.store.expire_records("keyed.servers")

            async def is_dropped():
                return (await fleet.ask("/orders/1")).status == 404

            await fleet.wait_for(is_dropped)

        run_hosted(scenario)

    def test_entry_without_the_store_refuses_when_keys_may_be_revoked(
        self, run_hosted
    ):
        async def scenario(fleet):
            assert (await fleet.ask("/orders/1")).status == 200
            fleet.store.is_down = True

            async def is_refused():
                return (await fleet.ask("/orders/1")).status == 503

            await fleet.wait_for(is_refused)
            assert not await fleet.is_ready()
            fleet.store.is_down = False
            await fleet.wait_for(fleet.is_ready)

        run_hosted(scenario, revoke_ms=3500)


class TestGroups:
    def test_group_with_a_lost_member_is_replaced_by_a_new_one(
        self, run_hosted
    ):
        async def scenario(fleet):
            head = fleet.open_heads()[0]
            name = head.group["name"]
            member = fleet.find_member(head)
            member.remove_record()
            member.is_silent = True
            fleet.engines.remove(member)
            await fleet.add("i-9", "assistant", "d")

            async def is_replaced():
                names = {e.group["name"] for e in fleet.open_heads()}
                return len(names) == 2 and name not in names

            await fleet.wait_for(is_replaced)

        run_hosted(scenario)

    @pytest.mark.parametrize("does_leave", [False, True])
    def test_unlisted_member_keeps_its_group_unless_it_shuts_down(
        self, run_hosted, does_leave
    ):
        async def scenario(fleet):
            head = fleet.open_heads()[0]
            member = fleet.find_member(head)
            member.is_healthy = not does_leave
            member.remove_record()

            async def was_asked():
                return member.health_checks

            await fleet.wait_for(was_asked)
            if does_leave:
                await fleet.wait_for(fleet.count_open_is(1))
            await fleet.ask_stream()
            is_open = head.group and head.group["state"] == "open"
            assert bool(is_open) != does_leave

        run_hosted(scenario)

    def test_evacuated_data_centre_gets_no_requests(self, run_hosted):
        async def scenario(fleet):
            fleet.store.put("keyed.op", "evacuate/dc", {})

            async def is_refused():
                return (await fleet.ask("/orders/1")).status == 503

            await fleet.wait_for(is_refused)
            fleet.store.put("keyed.op", "evacuate/dc", None)

            async def is_served():
                return (await fleet.ask("/orders/1")).status == 200

            await fleet.wait_for(is_served)

        run_hosted(scenario)


class TestPeers:
    def test_records_are_served_with_their_age(self, run_hosted):
        async def scenario(fleet):
            newest = fleet.store.put("keyed.op", "evacuate/x", {})

            async def is_known():
                answer = await fleet.ask_peer("keyed.op", newest)
                relayed = fleet.decode_peer_records(answer)
                return len(relayed.records) == 1 and relayed.age_s < 3.0

            await fleet.wait_for(is_known)
            ahead = await fleet.ask_peer("keyed.op", newest + 7)
            assert fleet.decode_peer_records(ahead).records == []
            assert (await fleet.ask_peer("other", 0)).status == 404

        run_hosted(scenario)

    def test_peer_that_lost_the_store_is_not_read_from(self, run_hosted):
        async def scenario(fleet):
            relayed = peer_reads.PeerRecords(STALE_S, [])
            body = msgspec.msgpack.encode(relayed)

            async def serve_stale(request):
                return asgi.Response(200, body)

            address = processes.find_free_address()
            await fleet.serve(asgi.make_app(serve_stale), address)
            name = find_name_before("entry-1", "dc")
            entry = {"address": address, "data_centre": "dc"}
            fleet.store.put("keyed.entries", name, entry)
            for server in fleet.servers:
                server.remove_record()

            async def is_refused():
                return (await fleet.ask("/orders/1")).status == 503

            await fleet.wait_for(is_refused)

        run_hosted(scenario)


def find_name_before(name, data_centre):
    """Return the name of an entry that is preferred to ``name`` as reader."""
    names = (f"reader-{number}" for number in range(99))
    return next(
        other
        for other in names
        if rendezvous.choose(data_centre, [name, other]) == other
    )


class TestHeadersThatComeTwice:
    # Only the last line reached the other side.
    def test_all_lines_reach_the_server_and_the_caller(self, run_hosted):
        requests = []

        async def act(server, stream, request):
            requests.append(request.lower())
            whole = raw_fleet.make_whole(request)
            cookies = b"\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n"
            await stream.send_all(whole.replace(b"\r\n", cookies, 1))

        async def scenario(fleet):
            servers = raw_fleet.Servers(fleet)
            await servers.start(["a"])
            servers.acts = [act]
            answer = await fleet.pool.request(
                "GET",
                f"http://{fleet.callers}/stock/1",
                headers=[
                    ("host", fleets.HOST),
                    ("authorization", f"Bearer {fleets.KEY}"),
                    ("sycamorespool-attempt-id", "a1"),
                    ("via", "one"),
                    ("via", "two"),
                ],
            )
            assert answer.status == 200
            cookies = [v for n, v in answer.headers if n == b"set-cookie"]
            assert cookies == [b"a=1", b"b=2"]
            (request,) = requests
            assert b"via: one\r\nvia: two\r\n" in request

        run_hosted(scenario)
