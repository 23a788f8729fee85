"""Sets the gauges of an entry from its state."""

import dataclasses

from sycamorespool.decisions.faults import degradation
from sycamorespool import environment
from sycamorespool import models
from sycamorespool import owner


@dataclasses.dataclass(slots=True)
class Gauges:
    """Sets the gauges of one entry when called.

    The argument of the call is the monotonic time, in s.
    """

    env: environment.Environment
    own: owner.Owner
    state: degradation.DegradationTimers = dataclasses.field(
        default_factory=degradation.DegradationTimers
    )

    def __call__(self, now_s: float) -> None:
        """Set all gauges to their values at ``now_s``."""
        self._set_entry(now_s)
        self._set_ownership()
        self._set_degradation(now_s)
        self._set_quarantine(now_s)
        self._set_shares()

    def _set_entry(self, now_s: float) -> None:
        env = self.env
        values = {
            "requests_open": env.requests_open,
            "requests_queued": sum(env.held.waiting.values()),
            "config_version": env.fleet.version,
            "entries_live": len(env.entries()),
        }
        for name, value in values.items():
            env.metrics.set(name, value)
        if env.log_read_s > float("-inf"):
            env.metrics.set("log_lag_s", now_s - env.log_read_s)

    def _set_ownership(self) -> None:
        env = self.env
        live = env.entries()
        records = {
            unit: env.fleet.owners.get(unit)
            for unit in (f"domain/{domain}" for domain in env.domains())
        }
        unowned = [
            unit
            for unit, record in records.items()
            if record is None or record.entry not in live
        ]
        owned = [unit for unit in env.fleet.owners if self.own.owns(unit)]
        env.metrics.set("units_owned", len(owned))
        env.metrics.set("units_unowned", len(unowned))

    def _list_vms(self) -> dict[str, models.Vm]:
        env = self.env
        return {
            name: vm
            for domain in env.domains()
            if self.own.owns(f"domain/{domain}")
            for name, vm in env.backends(domain).items()
        }

    def _set_degradation(self, now_s: float) -> None:
        env = self.env
        groups = {
            group.group_id
            for group in env.fleet.groups.values()
            if self.own.owns(group.unit)
        }
        degraded = degradation.measure_degradation(
            self.state,
            env.fleet,
            self._list_vms(),
            groups,
            {g for g in groups if self.own.is_whole(g, now_s)},
            env.held.list_cold(),
            now_s,
        )
        env.metrics.set("vms_stranded", degraded.vms_stranded)
        env.metrics.set(
            "vm_stranded_age_max_s", degraded.vm_stranded_age_max_s
        )
        env.metrics.set("ramp_stuck_age_max_s", degraded.ramp_stuck_age_max_s)
        for name, service in env.fleet.config.services.items():
            serving = degraded.groups_serving.get(name, 0)
            age_s = degraded.below_capacity_age_s.get(name, 0.0)
            env.metrics.set("groups_wanted", service.replicas, name)
            env.metrics.set("groups_serving", serving, name)
            env.metrics.set("below_capacity_age_s", age_s, name)

    def _set_quarantine(self, now_s: float) -> None:
        until_s = {
            vm: health.quarantined_until_s
            for unit, memory in self.own.memories.items()
            if self.own.owns(unit)
            for vm, health in memory.health.items()
        }
        count, age_s = degradation.find_quarantine_age(
            self.state, until_s, now_s
        )
        self.env.metrics.set("vms_quarantined", count)
        self.env.metrics.set("quarantine_age_max_s", age_s)

    def _set_shares(self) -> None:
        env = self.env
        for service, due in env.admission.local_weights.items():
            places_in_use = env.admission.places_in_use[service]
            errors = degradation.find_share_errors(places_in_use, due)
            for workspace, error in errors.items():
                env.metrics.set("share_error", error, service, workspace)
