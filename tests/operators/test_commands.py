"""Tests of the operators' commands against real entries on loopback."""

import functools
import re

import httpcore
import msgspec
import pytest
import trio

from examples import processes
from tests.operators import conftest

UNREACHABLE = "127.0.0.1:1"


async def apply_document(fleet):
    path = fleet.write("document.json", conftest.DOCUMENT)
    return await fleet.command("patch", path, "--base-version=0")


async def call_service(fleet, request_id):
    def post():
        return httpcore.request(
            "POST",
            f"http://{fleet.callers[0]}/services/orders/charges",
            headers={
                "authorization": f"Bearer {processes.CALLER_KEY}",
                "content-type": "application/json",
                "x-request-id": request_id,
            },
            content=msgspec.json.encode({"id": request_id}),
        )

    return await trio.to_thread.run_sync(post)


class TestPatch:
    def test_verdict_decides_the_exit_code(self, run_fleet):
        async def scenario(fleet):
            code, out, _ = await apply_document(fleet)
            assert (code, out) == (
                0,
                "accepted: version 1\nin force on 2 of 2 entries\n",
            )
            code, out, _ = await apply_document(fleet)
            assert code == 3
            assert "patch is for version 0, but version 1 is in force" in out
            wrong = fleet.write("wrong.json", {"services": {"a": {"x": 1}}})
            code, out, _ = await fleet.command(
                "patch", wrong, "--base-version=1"
            )
            assert code == 4
            assert out.startswith("invalid: ")

        run_fleet(scenario)

    def test_patch_sent_twice_is_applied_once(self, run_fleet):
        async def scenario(fleet):
            path = fleet.write("document.json", conftest.DOCUMENT)
            words = ("patch", path, "--base-version=0", "--patch-id=p1")
            for _ in range(2):
                code, out, _ = await fleet.command(*words)
                assert (code, out.split("\n")[0]) == (0, "accepted: version 1")
            code, out, _ = await fleet.command("look-up", "p1")
            assert (code, out) == (0, "accepted: version 1\n")
            code, out, _ = await fleet.command("explain", "p1")
            assert out.startswith("record p1: accepted")

        run_fleet(scenario)

    def test_log_outage_refuses_and_lost_answer_is_looked_up(self, run_fleet):
        async def scenario(fleet):
            path = fleet.write("document.json", conftest.DOCUMENT)
            words = ("patch", path, "--base-version=0", "--patch-id=p2")
            fleet.platform.set_faults(b'{"log_down": true}')
            code, out, _ = await fleet.command(*words)
            assert (code, out[:8]) == (7, "refused:")
            code, out, _ = await fleet.command("look-up", "p2")
            assert code == 5
            assert "sycamorespool look-up p2" in out
            fleet.platform.set_faults(b'{"append_answer_lost": true}')
            code, out, _ = await fleet.command(*words)
            assert (code, out.split("\n")[0]) == (0, "accepted: version 1")

        run_fleet(scenario)

    def test_silent_entry_is_named(self, run_fleet):
        async def scenario(fleet):
            fleet.put_vm("entry-3", "entry", UNREACHABLE, "entries")

            async def is_listed():
                return "entry-3" in (await fleet.read("status"))["states"]

            await fleet.wait_for(is_listed)
            path = fleet.write("document.json", conftest.DOCUMENT)
            code, out, _ = await fleet.command(
                "patch", path, "--base-version=0", "--wait-s=0.5"
            )
            assert code == 6
            assert "2 of 3 entries; missing: entry-3" in out
            code, out, _ = await fleet.command("status")
            assert code == 6
            assert re.search(r"^entry-3 +- +no answer ", out, re.MULTILINE)

        run_fleet(scenario)


class TestDrain:
    def test_data_centre_and_vm_are_drained_and_restored(self, run_fleet):
        async def scenario(fleet):
            await apply_document(fleet)
            await fleet.start_service("shop-1")

            async def is_known():
                return (await fleet.read("explain", "shop-1"))["kind"] == "vm"

            await fleet.wait_for(is_known)
            for name, section in (
                ("palermo", "data_centres"),
                ("shop-1", "vms"),
            ):
                for command, expected in (("drain", False), ("restore", True)):
                    code, _, _ = await fleet.command(command, name)
                    assert code == 0
                    shown = await fleet.read("configuration")
                    place = shown["document"][section][name]
                    assert place["in_service"] is expected

        run_fleet(scenario)

    def test_unknown_name_changes_nothing(self, run_fleet):
        async def scenario(fleet):
            code, _, err = await fleet.command("drain", "palemro")
            assert code == 4
            assert err == (
                "sycamorespool: no data centre or VM is named 'palemro'\n"
            )
            assert (await fleet.read("configuration"))["version"] == 0

        run_fleet(scenario)


class TestReading:
    def test_groups_are_listed_and_explained(self, run_fleet):
        async def scenario(fleet):
            await apply_document(fleet)
            await fleet.start_service("shop-1")
            fleet.put_vm("gpu-1", "engine", UNREACHABLE)

            async def is_whole():
                _, out, _ = await fleet.command("groups")
                return "orders: 1 of 1 groups whole" in out

            await fleet.wait_for(is_whole)
            (group,) = await fleet.read("groups", "--service=orders")
            assert group["members"] == ["shop-1"]
            name = group["group"]
            _, out, _ = await fleet.command("explain", name)
            assert out.startswith(f"group {name}: whole\n")
            _, out, _ = await fleet.command("explain", "shop-1")
            assert out.startswith("vm shop-1: member\n")
            assert f"rank 0 of {name}, a group of orders" in out
            _, out, _ = await fleet.command("explain", "gpu-1")
            assert "assistant needs 2 VMs of a domain; f1 has 1" in out
            _, out, _ = await fleet.command("explain", "domain/f1")
            assert out.startswith("unit domain/f1: owned\n")
            code, out, _ = await fleet.command("explain", "nothing")
            assert (code, out[:24]) == (5, "unknown nothing: unknown")

        run_fleet(scenario)

    def test_request_and_its_metrics_are_shown(self, run_fleet):
        async def scenario(fleet):
            await apply_document(fleet)
            await fleet.start_service("shop-1")

            async def is_served():
                return (await call_service(fleet, "r1")).status == 200

            await fleet.wait_for(is_served)
            _, out, _ = await fleet.command("explain", "r1")
            assert out.startswith("request r1: served\n")
            first = fleet.operators[:1]
            _, out, _ = await fleet.command(
                "status", "--metrics", addresses=first
            )
            assert re.search(r"^queue_wait\.w\.normal +1 ", out, re.MULTILINE)
            assert re.search(
                r"^requests_served\.w\.normal +1$", out, re.MULTILINE
            )
            assert max(map(len, out.splitlines())) <= 80

        run_fleet(scenario)


class TestClient:
    def test_next_address_is_tried(self, run_fleet):
        async def scenario(fleet):
            addresses = [UNREACHABLE, fleet.operators[1]]
            code, _, _ = await fleet.command("status", addresses=addresses)
            assert code == 0
            code, _, err = await fleet.command(
                "status", addresses=[UNREACHABLE]
            )
            assert code == 1
            assert re.fullmatch(r"sycamorespool: .* does not answer.*\n", err)

        run_fleet(scenario)

    def test_wrong_key_is_refused(self, run_fleet):
        async def scenario(fleet):
            code, out, err = await fleet.command("status", key="wrong")
            assert (code, out) == (7, "")
            assert "wrong operator key" in err
            assert err.count("\n") == 1

        run_fleet(scenario)


@pytest.mark.parametrize(
    "answer", [b"", b"[", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"]
)
def test_lost_answer_leaves_the_patch_unknown(answer, run_fleet, tmp_path):
    async def scenario(fleet):
        async def cut_answer(stream):
            await stream.receive_some()
            await stream.send_all(answer)
            await stream.aclose()

        listeners = await fleet.nursery.start(
            functools.partial(trio.serve_tcp, cut_answer, 0, host="127.0.0.1")
        )
        port = listeners[0].socket.getsockname()[1]
        path = fleet.write("document.json", conftest.DOCUMENT)
        code, out, _ = await fleet.command(
            "patch",
            path,
            "--base-version=0",
            "--patch-id=p3",
            addresses=[f"127.0.0.1:{port}"],
        )
        assert code == 5
        assert "sycamorespool look-up p3" in out

    run_fleet(scenario)
