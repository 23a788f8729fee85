"""Tests of groups whose VMs fall silent and go on, and of lost VMs."""

import pytest
import trio

from sycamorespool.standins import hosted_store

SILENCE_S = 1.5
# Time in which an order that was sent during the silence shows its effect.
SETTLE_S = 1.0
# Time from the end of a process to the end of its group.
LOSS_LIMIT_S = 1.0


def find_group(fleet):
    """Return a group, its head and another member."""
    head = fleet.open_heads()[0]
    return (
        (head.group["name"], head.group["epoch"]),
        head,
        fleet.find_member(head),
    )


def is_open(fleet, key):
    groups = [head.group for head in fleet.open_heads()]
    return key in [(group["name"], group["epoch"]) for group in groups]


class TestSilence:
    @pytest.mark.parametrize("is_head", [True, False])
    def test_group_is_not_ended_while_its_vm_is_silent(
        self, run_hosted, is_head
    ):
        async def scenario(fleet):
            key, head, member = find_group(fleet)
            silent = head if is_head else member
            silent.paused_until_s = trio.current_time() + SILENCE_S
            await trio.sleep(SILENCE_S + SETTLE_S)
            assert is_open(fleet, key)
            assert member.group["name"] == key[0]

        run_hosted(scenario)


class TestLoss:
    @pytest.mark.parametrize("is_head", [True, False])
    @pytest.mark.parametrize("is_listed", [True, False])
    def test_group_of_an_ended_process_is_ended_in_time(
        self, run_hosted, is_listed, is_head
    ):
        async def scenario(fleet):
            key, head, member = find_group(fleet)
            lost, other = (head, member) if is_head else (member, head)
            if is_listed:
                # Its end does not take it out of the fleet's registry.
                lost.store = hosted_store.HostedStore()
            lost.crash()
            lost.ended.set()
            lost_s = trio.current_time()

            async def has_left():
                return other.group is None or other.group["name"] != key[0]

            await fleet.wait_for(has_left)
            assert trio.current_time() - lost_s < LOSS_LIMIT_S

        run_hosted(scenario)
