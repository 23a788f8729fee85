"""Simulates model engines that execute orders as the platform's do.

With each order the simulation asserts the invariants of groups: no VM joins
another group while the head of its group may run requests, and no group
opens before each of its members was ready in it.
"""

from collections import abc
import dataclasses
import random

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_planner
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.groups import plan_builder
from sycamorespool import routing_table

STALL_S = 4.0
HEARTBEAT_S = 1.2
BIG = routing_table.Model("big", 4, 1.0, 0.6, 3.0, 1.0)
SMALL = routing_table.Model("small", 2, 0.6, 0.4, 2.0, 0.8)
ENGINE = routing_table.Engine(13, (BIG, SMALL), 4.0, 0.3)
STATES = backends.MemberState


@dataclasses.dataclass
class SimulatedVm:
    """One engine, and its newest report to the owner."""

    vm_id: str
    born_ms: int = 1
    orders: int = 0
    fence: int = 0
    epoch: int = 0
    member: backends.Membership | None = None
    model: str = ""
    ready_s: float = 0.0
    staged: str = ""
    staging_s: float = 0.0
    is_alive: bool = True
    is_draining: bool = False
    last_heartbeat_s: float = 0.0
    missing_s: float = float("inf")
    misses: int = 0
    report: backends.Report | None = None
    report_s: float = float("-inf")
    hung_until_s: float = float("-inf")
    is_accepting: bool = False


@dataclasses.dataclass
class EngineSimulation:
    """The engines of one domain; orders may be delivered late."""

    random: random.Random
    now_s: float = 0.0
    vms: dict[str, SimulatedVm] = dataclasses.field(default_factory=dict)
    rosters: dict[tuple[str, int], tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    reached_ready: set[tuple[str, int, str]] = dataclasses.field(
        default_factory=set
    )
    incomplete_since_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    # A delayed order reaches only the process it was sent to: its connection
    # ends when the engine restarts.
    delayed_orders: list[tuple[float, int, int, backends.Order, int]] = (
        dataclasses.field(default_factory=list)
    )
    loss_rate: float = 0.0
    outcomes: list[str] = dataclasses.field(default_factory=list)

    def add(self, count: int, staged: str = "") -> None:
        for _ in range(count):
            vm_id = f"i-{len(self.vms)}"
            self.vms[vm_id] = SimulatedVm(
                vm_id, staged=staged, last_heartbeat_s=self.now_s
            )

    def kill(self, vm_id: str) -> None:
        self.vms[vm_id].is_alive = False

    def hang(self, vm_id: str, silence_s: float) -> None:
        """Let a VM accept connections for a while, and do nothing else."""
        self.vms[vm_id].hung_until_s = self.now_s + silence_s

    def is_hung(self, vm: SimulatedVm) -> bool:
        return vm.is_alive and self.now_s < vm.hung_until_s

    def restart(self, vm_id: str) -> None:
        old = self.vms[vm_id]
        self.vms[vm_id] = SimulatedVm(
            vm_id,
            old.born_ms + 1,
            staged=old.staged,
            last_heartbeat_s=self.now_s,
        )

    def step(self, dt_s: float) -> None:
        """Advance time: finish loads, break heads, deliver delayed orders."""
        self.now_s += dt_s
        for vm in self.vms.values():
            if vm.is_alive and not self.is_hung(vm):
                vm.last_heartbeat_s = self.now_s - self.now_s % HEARTBEAT_S
                self._finish_join(vm)
            if vm.staging_s and self.now_s >= vm.staging_s:
                vm.staging_s = 0.0
        self._break_heads()
        due = [
            delayed
            for delayed in self.delayed_orders
            if delayed[0] <= self.now_s
        ]
        self.delayed_orders = [
            delayed
            for delayed in self.delayed_orders
            if delayed[0] > self.now_s
        ]
        for _, born_ms, fence, order, expected in due:
            if self.vms[order.backend_id].born_ms == born_ms:
                self._execute(order, fence, expected)

    def _finish_join(self, vm: SimulatedVm) -> None:
        member = vm.member
        is_due = member and member.state is STATES.JOINING
        if is_due and self.now_s >= vm.ready_s:
            self._set_state(vm, STATES.READY)
            vm.staged = vm.model
            self.reached_ready.add((member.group, member.epoch, vm.vm_id))

    @staticmethod
    def _set_state(vm: SimulatedVm, state: backends.MemberState) -> None:
        vm.member = dataclasses.replace(vm.member, state=state)

    def _is_whole(self, key: tuple[str, int]) -> bool:
        return all(
            (vm := self.vms[vm_id]).is_alive
            and vm.member
            and (vm.member.group, vm.member.epoch) == key
            for vm_id in self.rosters[key]
        )

    def _break_heads(self) -> None:
        for vm in self.vms.values():
            member = vm.member
            if not vm.is_alive or member is None or member.rank:
                continue
            key = (member.group, member.epoch)
            if (
                member.state not in domain_view.RUNNING_STATES
                or self._is_whole(key)
            ):
                self.incomplete_since_s.pop(key, None)
                continue
            since_s = self.incomplete_since_s.setdefault(key, self.now_s)
            if self.now_s - since_s >= STALL_S:
                self._set_state(vm, STATES.BROKEN)

    def send(self, order: backends.Order, fence: int, expected: int) -> None:
        """Execute an order at once, or later at the given loss rate.

        A hung VM executes it as soon as it goes on.
        """
        vm = self.vms[order.backend_id]
        is_delayed = self.random.random() < self.loss_rate
        if is_delayed or self.is_hung(vm):
            due_s = vm.hung_until_s
            if is_delayed:
                due_s = self.now_s + self.random.uniform(1.0, 6.0)
            due_s = max(due_s, vm.hung_until_s)
            born_ms = vm.born_ms
            self.delayed_orders.append(
                (due_s, born_ms, fence, order, expected)
            )
            return
        self._execute(order, fence, expected)

    def _execute(
        self, order: backends.Order, fence: int, expected: int
    ) -> None:
        vm = self.vms[order.backend_id]
        if not vm.is_alive or vm.orders != expected:
            self.outcomes.append("unfit")
            return
        if fence < vm.fence:
            self.outcomes.append("fenced")
            return
        vm.fence = fence
        vm.orders += self._HANDLERS[order.kind](self, vm, order)

    def _join(self, vm: SimulatedVm, order: backends.Order) -> bool:
        if order.epoch < vm.epoch:
            return False
        self._check_join(vm, order)
        vm.epoch = order.epoch
        rank = order.members.index(vm.vm_id)
        key = (order.group, order.epoch)
        self.rosters[key] = order.members
        vm.member = backends.Membership(*key, rank, STATES.JOINING)
        model = ENGINE.find_model(order.model)
        is_staged = vm.staged == order.model
        vm.ready_s = self.now_s + (model.warm_s if is_staged else model.load_s)
        vm.model = order.model
        return True

    def _check_join(self, vm: SimulatedVm, order: backends.Order) -> None:
        member = vm.member
        if member is None or member.group == order.group:
            return
        head = self.vms[self.rosters[member.group, member.epoch][0]]
        is_head_of_it = (
            head.is_alive
            and head.member
            and head.member.group == member.group
            and head.member.epoch == member.epoch
        )
        assert not (
            is_head_of_it and head.member.state in domain_view.RUNNING_STATES
        ), f"{vm.vm_id} joins {order.group} while {member.group} runs"

    def _open(self, vm: SimulatedVm, order: backends.Order) -> bool:
        key = (order.group, order.epoch)
        member = vm.member
        if member is None or (member.group, member.epoch) != key:
            return False
        if member.rank or member.state is not STATES.READY:
            return False
        for vm_id in self.rosters[key]:
            assert (*key, vm_id) in self.reached_ready, f"{vm_id} never ready"
        self._set_state(vm, STATES.OPEN)
        return True

    def _close(self, vm: SimulatedVm, order: backends.Order) -> bool:
        if vm.member and vm.member.group == order.group:
            self._set_state(vm, STATES.READY)
            return True
        return False

    def _leave(self, vm: SimulatedVm, order: backends.Order) -> bool:
        if vm.member and vm.member.group == order.group:
            vm.member = None
            return True
        return False

    def _stage(self, vm: SimulatedVm, order: backends.Order) -> bool:
        vm.staged = order.model
        vm.staging_s = self.now_s + ENGINE.find_model(order.model).load_s
        return True

    _HANDLERS = {
        backends.OrderKind.JOIN: _join,
        backends.OrderKind.OPEN: _open,
        backends.OrderKind.CLOSE: _close,
        backends.OrderKind.LEAVE: _leave,
        backends.OrderKind.STAGE: _stage,
    }

    def probe(self, cut: frozenset[str] = frozenset()) -> None:
        """Request the report of every engine that is not cut off."""
        for vm in self.vms.values():
            vm.is_accepting = self.is_hung(vm) and vm.vm_id not in cut
            if not vm.is_alive or vm.vm_id in cut or self.is_hung(vm):
                vm.misses += 1
                vm.missing_s = min(vm.missing_s, self.now_s)
                continue
            vm.misses = 0
            vm.missing_s = float("inf")
            vm.report_s = self.now_s
            vm.report = backends.Report(
                vm.orders,
                bool(vm.staging_s),
                0,
                0,
                staged=frozenset({vm.staged} - {""}),
                membership=vm.member,
                started_ms=vm.born_ms,
            )

    def view(self, fence: int) -> domain_view.DomainView:
        """Return the view of an owner that has just read all reports."""
        views = {}
        for vm in self.vms.values():
            backend = backends.Backend(
                vm.vm_id,
                "s",
                f"10.0.0.1:{len(views) + 1}",
                "dc",
                13,
                vm.is_draining,
                domain="d",
                staged=frozenset({vm.staged} - {""}),
                membership=vm.member,
                started_ms=vm.born_ms,
            )
            views[vm.vm_id] = domain_view.VmView(
                backend,
                True,
                False,
                vm.report,
                vm.report_s,
                vm.misses,
                vm.missing_s,
                vm.last_heartbeat_s,
                is_accepting=vm.is_accepting,
            )
        return domain_view.DomainView(
            fence, self.now_s, views, ENGINE, STALL_S, HEARTBEAT_S
        )

    def run_owner(
        self,
        fence: int,
        memory: domain_view.PlannerMemory,
        wanted: list[str],
        lacking: abc.Container[str] = frozenset(),
    ) -> plan_builder.Plan:
        """Make one plan as an owner and send its orders."""
        view = self.view(fence)
        made = domain_planner.plan(view, memory, lambda free: wanted, lacking)
        for order in made.orders:
            report = self.vms[order.backend_id].report
            self.send(order, fence, report.orders if report else 0)
        return made

    def open_groups(self) -> list[str]:
        """Return the names of the open groups."""
        return [
            vm.member.group
            for vm in self.vms.values()
            if vm.is_alive and vm.member and vm.member.state is STATES.OPEN
        ]
