"""Tests that each check detects a state that violates its invariant."""

import types

import pytest

from sycamorespool import checks
from sycamorespool import configuration
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions.groups import ramps
from sycamorespool.decisions import replay
from sycamorespool.decisions import retries
from sycamorespool import exceptions
from sycamorespool import models
from sycamorespool import records

NOW_S = 100.0


def make_state(**groups):
    state = replay.FleetState()
    state.config = configuration.Configuration({"s": configuration.Service()})
    for name, members in groups.items():
        state.groups[name] = replay.Group(
            name, "s", "domain/d", 1, tuple(members.split())
        )
    return state


def make_owner(reported="g", age_s=0.5, in_service=True, leaving=False):
    """Return an owner whose only group has the member ``v``."""
    state = make_state(g="v")
    state.config = configuration.Configuration(
        state.config.services,
        vms={"v": configuration.Availability(in_service)},
    )
    vm_state = models.VmState.LEAVING if leaving else models.VmState.LIVE
    vm = models.Vm("v", "engine", "x", "dc", "d", vm_state)
    report = models.ProbeReport("v", 1, models.EnginePhase.READY, reported)
    env = types.SimpleNamespace(fleet=state, vms={"v": vm})
    return types.SimpleNamespace(
        env=env, reports={"v": (report, NOW_S - age_s)}
    )


def make_ledger(others=0, limit=4):
    ledger = grant_ledger.open_ledger("domain/d", 0.0)
    load = ramps.Load((1,), True, 0, 0, 0.0)
    ledger.accounts["g"] = grant_ledger.Account(
        None, 16, ramps.Ramp(limit, load, 0)
    )
    ledger.accounts["g"].usage_by_asker["e2"] = grant_ledger.AskerUsage(others)
    return ledger


def check_grant(own, ledger, places=2):
    grant = models.Grant("g", "s", 1, places, 2.0, "x", "dc")
    return checks.check_grant(own, ledger, grant, "e1", NOW_S)


class TestGrants:
    def test_valid_grant_passes(self):
        assert check_grant(make_owner(), make_ledger(others=2))

    @pytest.mark.parametrize(
        ("name", "owner_arguments", "others"),
        [
            ("whole_group_serves", {"reported": "other"}, 0),
            ("whole_group_serves", {"age_s": 3.0}, 0),
            ("out_of_service_idle", {"in_service": False}, 0),
            ("leaving_vm_idle", {"leaving": True}, 0),
            ("load_within_limit", {}, 3),
        ],
    )
    def test_invalid_grant_is_detected(self, name, owner_arguments, others):
        with pytest.raises(exceptions.InvariantViolation) as raised:
            check_grant(make_owner(**owner_arguments), make_ledger(others))
        assert raised.value.name == name


class TestReplay:
    def test_vm_in_two_groups_is_detected(self):
        assert checks.check_disjoint_groups(make_state(g="v w", h="x"))
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_disjoint_groups(make_state(g="v w", h="w x"))

    def test_older_configuration_is_detected(self):
        older, newer = make_state(), make_state()
        newer.version, newer.offset = 2, 9
        assert checks.check_not_older(older, newer)
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_not_older(newer, older)

    def test_decreasing_epoch_is_detected(self):
        claim = records.OwnershipClaim("c", "domain/d", "e", 1)
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_record(make_state(), claim, 0, 5)


class TestAnswersAndOrders:
    def test_false_not_run_is_detected(self):
        not_run = [
            retries.FailurePoint.NOT_REACHED,
            retries.FailurePoint.REFUSED,
        ]
        assert checks.check_not_run(not_run, "r")
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_not_run([*not_run, retries.FailurePoint.SENT], "r")

    def test_order_for_unit_of_another_owner_is_detected(self):
        env = make_owner().env
        env.name, env.incarnation = "e", 1
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_order(env, "domain/d", 5)
