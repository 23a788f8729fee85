import pytest

from sycamorespool import backends
from sycamorespool import vm_watch

SETTLED = ("open", 0), ("ready", 1)
CHANGING = ("ready", 0), ("joining", 1), ("closing", 0), ("broken", 0)


def make_watch(state, rank, **probe):
    member = backends.Membership("m@1", 1, rank, backends.MemberState(state))
    report = backends.Report(0, False, 0, 0, membership=member)
    found = vm_watch.Probe(report, 10.0, **probe)
    return vm_watch.VmWatch(None, None, probes={"a": found})


def is_report_due(watch, now_s):
    backend = backends.Backend("a", "s", "10.0.0.1:1", "dc", 1, False)
    return vm_watch.is_report_due(watch, backend, now_s)


class TestIsReportDue:
    @pytest.mark.parametrize(("state", "rank"), SETTLED)
    def test_settled_vm_is_probed_at_the_settled_period(self, state, rank):
        watch = make_watch(state, rank)
        assert not is_report_due(watch, 10.15)
        assert is_report_due(watch, 10.01 + vm_watch.SETTLED_PROBE_PERIOD_S)

    @pytest.mark.parametrize(("state", "rank"), CHANGING)
    def test_changing_vm_is_probed_in_each_round(self, state, rank):
        assert is_report_due(make_watch(state, rank), 10.15)

    def test_silent_and_unknown_vms_are_probed_in_each_round(self):
        assert is_report_due(make_watch("open", 0, misses=1), 10.15)
        assert is_report_due(vm_watch.VmWatch(None, None), 10.15)
