"""Tests that each check sees a state in which its promise does not hold."""

import types

import pytest

from sycamorespool import checks
from sycamorespool import configuration
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions import ramps
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


def make_case(reported="g", age_s=0.5, in_service=True, leaving=False):
    """Return an owner whose only group has the member ``v``."""
    state = make_state(g="v")
    state.config = configuration.Configuration(
        state.config.services, vms={"v": configuration.Place(in_service)}
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


def give(own, ledger, places=2):
    grant = models.Grant("g", "s", 1, places, 2.0, "x", "dc")
    return checks.check_grant(own, ledger, grant, "e1", NOW_S)


class TestGrants:
    def test_sound_grant_passes(self):
        assert give(make_case(), make_ledger(others=2))

    @pytest.mark.parametrize(
        ("name", "case", "others"),
        [
            ("whole_group_serves", {"reported": "other"}, 0),
            ("whole_group_serves", {"age_s": 3.0}, 0),
            ("out_of_service_idle", {"in_service": False}, 0),
            ("leaving_vm_idle", {"leaving": True}, 0),
            ("load_within_limit", {}, 3),
        ],
    )
    def test_unsound_grant_is_seen(self, name, case, others):
        with pytest.raises(exceptions.InvariantViolation) as caught:
            give(make_case(**case), make_ledger(others))
        assert caught.value.name == name


class TestReplay:
    def test_vm_in_two_groups_is_seen(self):
        assert checks.check_members(make_state(g="v w", h="x"))
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_members(make_state(g="v w", h="w x"))

    def test_older_configuration_is_seen(self):
        older, newer = make_state(), make_state()
        newer.version, newer.offset = 2, 9
        assert checks.check_newer(older, newer)
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_newer(newer, older)

    def test_falling_epoch_is_seen(self):
        claim = records.OwnershipClaim("c", "domain/d", "e", 1)
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_record(make_state(), claim, 0, 5)


class TestAnswers:
    def test_false_not_run_is_seen(self):
        unrun = [retries.Cut.NOT_REACHED, retries.Cut.REFUSED]
        assert checks.check_not_run(unrun, "r")
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_not_run([*unrun, retries.Cut.SENT], "r")

    def test_order_of_another_owner_is_seen(self):
        env = make_case().env
        env.name, env.incarnation = "e", 1
        with pytest.raises(exceptions.InvariantViolation):
            checks.check_order(env, "domain/d", 5)
