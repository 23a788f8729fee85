"""Tests of the invariants that the program asserts."""

import pytest

from sycamorespool import exceptions
from sycamorespool import invariants

NAME = "vm_in_one_group"


class TestCheck:
    def test_invariant_that_holds_logs_nothing(self, caplog):
        assert invariants.check(NAME, True)
        assert not caplog.records

    def test_violation_raises_in_strict_mode(self):
        with (
            invariants.strict(),
            pytest.raises(exceptions.InvariantViolation) as raised,
        ):
            invariants.check(NAME, False, "vm=v1")
        assert (raised.value.name, raised.value.detail) == (NAME, "vm=v1")

    def test_violation_is_counted_logged_and_exported_in_production(
        self, caplog, monkeypatch
    ):
        exported = []
        monkeypatch.setattr(invariants, "_listeners", [])
        monkeypatch.setattr(
            invariants, "violations", type(invariants.violations)()
        )
        invariants.add_listener(lambda name, detail: exported.append(name))
        with invariants.strict(False):
            assert not invariants.check(NAME, False, "vm=v1")
        assert invariants.violations[NAME] == 1
        assert exported == [NAME]
        assert "name=vm_in_one_group vm=v1" in caplog.text

    @pytest.mark.parametrize("holds", [True, False])
    def test_unknown_invariant_raises(self, holds):
        with pytest.raises(KeyError):
            invariants.check("no_such_invariant", holds)

    def test_strict_mode_is_on_in_tests(self):
        with pytest.raises(exceptions.InvariantViolation):
            invariants.check(NAME, False)
