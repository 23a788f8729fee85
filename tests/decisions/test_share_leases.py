"""Tests of the part of a common limit that an entry may use."""

from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions.placing import share_leases

TTL_S = 2.4
PARTITIONS = tuple((f"t-{n}", part) for n in range(16) for part in range(12))


class TestUsableShare:
    # Review 4 (FAILBACK): an entry that got its share back used it while the
    # other entry still used the whole.
    def test_it_waits_for_the_former_holder(self):
        state = server_limits.ServerLimits(PARTITIONS)
        held = set(PARTITIONS[: len(PARTITIONS) // 2])
        server_limits.renew(state, held, 50.0, TTL_S, 50.1)
        assert server_limits.find_usable_share(state, 50.2) == 0.0
        later_s = 50.1 + share_leases.HANDOVER_S
        server_limits.renew(state, held, 52.0, TTL_S, 52.1)
        assert server_limits.find_usable_share(state, later_s) == 0.5

    def test_it_ends_with_the_lease(self):
        state = server_limits.ServerLimits(PARTITIONS)
        server_limits.renew(state, set(PARTITIONS), 50.0, 9.0, 50.1)
        assert server_limits.find_usable_share(state, 59.0) == 1.0
        assert server_limits.find_usable_share(state, 59.1) == 0.0
        server_limits.renew(state, set(PARTITIONS), 60.0, 9.0, 60.1)
        assert server_limits.find_usable_share(state, 60.2) == 0.0

    # Half of a cold server's limit was unused for as long after an entry had
    # left as after one had come.
    def test_member_uses_at_once_what_others_have_left(self):
        state = self._join(len(PARTITIONS) // 2)
        server_limits.renew(state, set(PARTITIONS), 55.0, TTL_S, 55.1)
        assert server_limits.find_usable_share(state, 55.1) == 1.0

    # A restored store may have forgotten a member that holds its share.
    def test_member_waits_with_what_a_restored_store_gives(self):
        state = self._join(len(PARTITIONS) // 2)
        server_limits.renew(state, set(PARTITIONS), 55.0, 9.0, 55.1, True)
        grown_s = 55.1 + share_leases.HANDOVER_S
        assert server_limits.find_usable_share(state, grown_s - 0.1) == 0.5
        assert server_limits.find_usable_share(state, grown_s) == 1.0

    def test_released_share_is_not_used(self):
        state = self._join(len(PARTITIONS))
        server_limits.release(state)
        assert server_limits.find_usable_share(state, 55.0) == 0.0

    def _join(self, count):
        """Return the state of a member that may use all that it holds."""
        state = server_limits.ServerLimits(PARTITIONS)
        held = set(PARTITIONS[:count])
        server_limits.renew(state, held, 50.0, 6.0, 50.1)
        server_limits.renew(state, held, 54.0, 6.0, 54.1)
        assert server_limits.find_usable_share(state, 54.1) == count / len(
            PARTITIONS
        )
        return state
