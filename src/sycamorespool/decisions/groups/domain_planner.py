"""Plans the orders that keep the groups of a fabric domain whole.

Model engines store their own group membership and report it, so the owner
needs no other agreed state: it reads the reports, compares them with what
is wanted, and sends orders.  An engine rejects the orders of a former owner
by their fencing number, and outdated ones by the number of orders that they
expect it to have begun::

    made = plan(view, memory, lambda staged: ["m0"])
    made.orders

Two invariants hold: a group opens only after every member was ready in it,
and a VM joins another group only once the head of its former group can no
longer run requests.
"""

from collections import abc
import dataclasses

from sycamorespool import backends
from sycamorespool.decisions.groups import domain_view
from sycamorespool.decisions.groups import plan_builder
from sycamorespool import routing_table


@dataclasses.dataclass(slots=True)
class _Group:
    """Holds a group as its members report it.

    Parameters
    ----------
    model : Model or None
        Its model, None if the engine has no such model.
    members : dict
        Ids of the VMs by rank.
    """

    name: str
    epoch: int
    model: routing_table.Model | None
    members: dict[int, str] = dataclasses.field(default_factory=dict)


def plan(
    view: domain_view.DomainView,
    memory: domain_view.PlannerMemory,
    choose_models: abc.Callable[[list[frozenset[str]]], abc.Sequence[str]],
    lacking: abc.Container[str] = frozenset(),
) -> plan_builder.Plan:
    """Return the next orders and update the memory in place.

    Parameters
    ----------
    choose_models : callable
        Called with the models staged at each free VM; returns the models
        to form groups for.
    lacking : container of str
        Models of which the fleet has too few groups.
    """
    planner = _Planner(view, memory)
    planner.review_groups()
    planner.review_losses()
    wanted = choose_models([vm.staged for vm in planner.free.values()])
    planner.form_groups(wanted)
    planner.stage_free(lacking)
    return planner.finish()


class _Planner(plan_builder.PlanBuilder):
    """Decides within one plan what becomes of each group."""

    def _list_groups(self) -> list[_Group]:
        groups: dict[tuple[str, int], _Group] = {}
        engine = self.view.engine
        for vm_id, vm in self.view.vms.items():
            member = vm.membership
            if member is None:
                continue
            key = (member.group, member.epoch)
            if key not in groups:
                model = engine.find_model(
                    domain_view.model_of_group(member.group)
                )
                groups[key] = _Group(*key, model)
            groups[key].members[member.rank] = vm_id
        return list(groups.values())

    def review_groups(self) -> None:
        """Keep, open or end each group and each group in formation."""
        reported = set()
        groups = self._list_groups()
        names = {group.name for group in groups}
        self.memory.whole &= names
        for name in self.memory.short_since_s.keys() - names:
            del self.memory.short_since_s[name]
        for group in groups:
            reported.add(group.name)
            self._review_group(group)
        self._review_formations(reported)

    def review_losses(self) -> None:
        """Plan again soon if a VM may be lost that does not count as lost."""
        for vm in self.view.vms.values():
            if vm.misses and not domain_view.is_lost(vm, self.view):
                self.is_settled = False

    def _review_group(self, group: _Group) -> None:
        head_id = group.members.get(0)
        if head_id is not None:
            self.memory.heads[group.name] = head_id
        head = self.view.vms.get(head_id) if head_id else None
        if head is None and self._is_forming(group):
            self._continue_forming(group)
            return
        if head is None and self._has_head_left(group):
            self._drop_formation(group)
            return
        if head is None or domain_view.is_lost(head, self.view):
            self._end_headless(group)
            return
        state = head.membership.state if head.membership else None
        if state is backends.MemberState.BROKEN:
            self._drop_formation(group)
            return
        if self._is_whole(group):
            self.memory.whole.add(group.name)
            self._keep_or_open(group, head, state)
        elif state in domain_view.RUNNING_STATES:
            # It was opened, so it is never formed again: a join that is
            # repeated could bring its head back once that has left.
            self.memory.formations.pop(group.name, None)
            self._end_running(group, head, state)
        elif self._is_forming(group):
            self._continue_forming(group)
        else:
            self._end_unopened(group, head)

    def _has_head_left(self, group: _Group) -> bool:
        """Tell whether the last known head reports that it left the group."""
        head = self.view.vms.get(self.memory.heads.get(group.name, ""))
        if head is None or head.misses or head.report is None:
            return False
        return self.view.now_s - head.report_s <= domain_view.REPORT_MAX_AGE_S

    def _end_unopened(self, group: _Group, head: domain_view.VmView) -> None:
        """End a group that is not open.

        Its head leaves first: an order to open it, from a former owner or
        delivered late, may still be on its way, and the members must not
        join another group while the head runs requests.
        """
        self._hold_members(group)
        self.is_settled = False
        self.send(
            backends.Order(
                head.backend.backend_id,
                backends.OrderKind.LEAVE,
                group.name,
                group.epoch,
            )
        )

    def _is_whole(self, group: _Group) -> bool:
        if group.model is None or len(group.members) != group.model.size:
            return False
        vms = [self.view.vms[vm_id] for vm_id in group.members.values()]
        return all(domain_view.is_healthy(vm, self.view) for vm in vms)

    def _is_forming(self, group: _Group) -> bool:
        """Tell whether a group is in formation and may still become whole."""
        formation = self.memory.formations.get(group.name)
        if formation is None or group.model is None:
            return False
        if any(self._has_failed(vm_id) for vm_id in formation.members):
            return False
        return self.view.now_s - formation.began_s < domain_view.JOIN_TIMEOUT_S

    def _continue_forming(self, group: _Group) -> None:
        self._hold_members(group)
        self.is_settled = False
        formation = self.memory.formations[group.name]
        for vm_id in set(formation.members) - set(group.members.values()):
            # A VM that reports a group got its order from another owner.
            if self.view.vms[vm_id].membership is None:
                join = plan_builder.make_join_order(
                    vm_id, group.name, group.epoch, formation
                )
                self.send(join)

    def _has_failed(self, vm_id: str) -> bool:
        vm = self.view.vms.get(vm_id)
        return (
            vm is None
            or domain_view.is_lost(vm, self.view)
            or domain_view.is_leaving(vm)
            or not vm.is_listed
        )

    def _keep_or_open(
        self,
        group: _Group,
        head: domain_view.VmView,
        state: backends.MemberState | None,
    ) -> None:
        self._hold_members(group)
        if state in domain_view.RUNNING_STATES:
            self.memory.formations.pop(group.name, None)
            return
        self.is_settled = False
        ready = all(
            self._is_confirmed_ready(vm_id) for vm_id in group.members.values()
        )
        if ready:
            self.send(
                backends.Order(
                    head.backend.backend_id,
                    backends.OrderKind.OPEN,
                    group.name,
                    group.epoch,
                )
            )

    def _is_confirmed_ready(self, vm_id: str) -> bool:
        vm = self.view.vms[vm_id]
        member = vm.report.membership if vm.report else None
        is_fresh = (
            self.view.now_s - vm.report_s <= domain_view.REPORT_MAX_AGE_S
        )
        return (
            member is not None
            and is_fresh
            and not vm.misses
            and member.state is backends.MemberState.READY
        )

    def _end_running(
        self,
        group: _Group,
        head: domain_view.VmView,
        state: backends.MemberState | None,
    ) -> None:
        """End an open group that lost a member or has one that leaves.

        A group with all members reachable is closed, so that its requests
        end first; from any other the head leaves at once.  That the
        configuration dropped its model, or made its groups smaller, does not
        show that a member is missing.
        """
        self._hold_members(group)
        self.is_settled = False
        vms = [self.view.vms[vm_id] for vm_id in group.members.values()]
        is_short = group.model is not None and len(vms) < group.model.size
        if is_short and self._may_be_unlisted(group):
            return
        lacks_member = is_short or any(
            domain_view.is_lost(vm, self.view) for vm in vms
        )
        kind = (
            backends.OrderKind.LEAVE
            if lacks_member
            else backends.OrderKind.CLOSE
        )
        is_closing = state is backends.MemberState.CLOSING
        if kind is backends.OrderKind.CLOSE and is_closing:
            return
        self.send(
            backends.Order(
                head.backend.backend_id, kind, group.name, group.epoch
            )
        )

    def _may_be_unlisted(self, group: _Group) -> bool:
        """Tell whether the registry may only lack a member for a while.

        An owner that has seen the group whole would still know the member.
        """
        if group.name in self.memory.whole:
            return False
        since_s = self.memory.short_since_s.setdefault(
            group.name, self.view.now_s
        )
        waited_s = self.view.now_s - since_s
        return waited_s < domain_view.UNLISTED_BEFORE_LOST_S

    def _end_headless(self, group: _Group) -> None:
        """End a group whose head cannot be reached.

        The head may only be cut off and still run requests, so its members
        leave and may join no group until its stall time has passed.
        """
        until_s = (
            self.view.now_s + self.view.stall_s + domain_view.STALL_MARGIN_S
        )
        for rank, vm_id in group.members.items():
            if rank == 0:
                self.free.pop(vm_id, None)
                continue
            vm = self.view.vms[vm_id]
            member = vm.membership
            self.free.pop(vm_id, None)
            if member and member.state in domain_view.JOINED_STATES:
                self.memory.held_until_s[vm_id] = until_s
            order = backends.Order(
                vm_id, backends.OrderKind.LEAVE, group.name, group.epoch
            )
            if self.send(order):
                self.is_settled = False

    def _review_formations(self, reported: set[str]) -> None:
        for name, formation in list(self.memory.formations.items()):
            age_s = self.view.now_s - formation.began_s
            if name in reported and age_s < domain_view.JOIN_TIMEOUT_S:
                continue
            failed = any(self._has_failed(i) for i in formation.members)
            if failed or age_s >= domain_view.JOIN_TIMEOUT_S:
                del self.memory.formations[name]
                continue
            # No member has reported the group yet.
            epoch = int(name.rpartition(domain_view.GROUP_NAME_SEPARATOR)[2])
            self._continue_forming(_Group(name, epoch, None))

    def _hold_members(self, group: _Group) -> None:
        for vm_id in group.members.values():
            self.free.pop(vm_id, None)
        formation = self.memory.formations.get(group.name)
        for vm_id in formation.members if formation else ():
            self.free.pop(vm_id, None)

    def _drop_formation(self, group: _Group) -> None:
        if self.memory.formations.pop(group.name, None) is not None:
            self.is_settled = False
