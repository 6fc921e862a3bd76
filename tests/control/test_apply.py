import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.control.apply import apply_bytes
from basilwind.control.budget import hosts_out, tightest_budget
from basilwind.control.records import HostAction, encode_record
from basilwind.control.state import ControlState, HostPhase
from tests.utils.records import apply, host_record, loaded_state, settings_record
from tests.utils.settings import POOLS, ZONES, make_fleet, make_team, make_tree

HOSTS = [host.name for host in make_fleet().hosts]
HOST = HOSTS[0]


def entry_hosts(host):
    zone = next(zone for zone in ZONES if host.startswith(zone))
    return [f"{zone}-e1", f"{zone}-e2"]


class TestSettingsRecords(unittest.TestCase):
    def test_first_of_two_concurrent_changes_of_a_subtree_wins(self):
        state = loaded_state()
        version = state.versions["teams/team-pool-a"]
        first = settings_record("teams/team-pool-a", make_team(max_out=2), version)
        second = settings_record("teams/team-pool-a", make_team(max_out=3), version)
        self.assertTrue(apply(state, first).accepted)
        entry = apply(state, second)
        self.assertFalse(entry.accepted)
        self.assertIn("plan again", entry.reason)

    def test_changes_of_two_teams_do_not_conflict(self):
        state = loaded_state()
        for pool in POOLS:
            subtree = f"teams/team-{pool}"
            change = make_team(pool, max_out=2)
            entry = apply(
                state, settings_record(subtree, change, state.versions[subtree])
            )
            self.assertTrue(entry.accepted)

    def test_retry_after_lost_answer_is_rejected_as_duplicate(self):
        state = loaded_state()
        version = state.versions["teams/team-pool-a"]
        record = settings_record("teams/team-pool-a", make_team(max_out=2), version)
        self.assertTrue(apply(state, record).accepted)
        before = state.versions["teams/team-pool-a"]
        self.assertFalse(apply(state, record).accepted)
        self.assertEqual(state.versions["teams/team-pool-a"], before)

    def test_queue_keeps_its_pool_even_after_removal(self):
        state = loaded_state()
        subtree = "teams/team-pool-a"
        moved = make_team("pool-b")
        entry = apply(state, settings_record(subtree, moved, state.versions[subtree]))
        self.assertFalse(entry.accepted)
        self.assertIn("for its life", entry.reason)

    def test_active_host_cannot_be_removed(self):
        state = loaded_state()
        fleet = make_fleet()
        fleet.hosts = fleet.hosts[1:]
        entry = apply(state, settings_record("fleet", fleet, state.versions["fleet"]))
        self.assertFalse(entry.accepted)

    def test_unparsable_record_is_rejected_and_audited(self):
        state = loaded_state()
        for data in (b"\xff\x00", b"[]", b'{"type": "nope"}', b"{" * 5000):
            entry = apply_bytes(state, state.next_offset, data)
            self.assertFalse(entry.accepted)
            self.assertIs(state.audit[-1], entry)

    def test_oversized_record_is_rejected(self):
        state = loaded_state()
        entry = apply_bytes(state, state.next_offset, b" " * 300_000)
        self.assertIn("exceeds", entry.reason)


class TestHostRecords(unittest.TestCase):
    def drain(self, state, host):
        version = state.hosts[host].version
        return apply(state, host_record(host, HostAction.DRAIN, version))

    def acknowledge(self, state, host, entry_host):
        version = state.hosts[host].version
        record = host_record(
            host, HostAction.ACKNOWLEDGE, version, entry_host=entry_host
        )
        return apply(state, record)

    def test_drained_only_when_all_entry_hosts_acknowledge(self):
        state = loaded_state()
        self.assertTrue(self.drain(state, HOST).accepted)
        first, second = entry_hosts(HOST)
        self.acknowledge(state, HOST, first)
        self.assertIs(state.hosts[HOST].phase, HostPhase.DRAINING)
        self.acknowledge(state, HOST, second)
        self.assertIs(state.hosts[HOST].phase, HostPhase.DRAINED)

    def test_acknowledgement_of_another_zones_entry_host_is_rejected(self):
        state = loaded_state()
        self.drain(state, HOST)
        self.assertFalse(self.acknowledge(state, HOST, "zone-b-e1").accepted)

    def test_rejection_of_a_drain_beyond_the_budget_names_the_team(self):
        state = loaded_state(max_out=1)
        self.assertTrue(self.drain(state, HOSTS[0]).accepted)
        entry = self.drain(state, HOSTS[1])
        self.assertFalse(entry.accepted)
        self.assertIn("team-pool-a", entry.reason)

    def test_reboot_needs_a_drained_host(self):
        state = loaded_state()
        version = state.hosts[HOST].version
        entry = apply(state, host_record(HOST, HostAction.REBOOT, version))
        self.assertFalse(entry.accepted)

    def test_first_of_reboot_and_undrain_based_on_one_version_wins(self):
        state = loaded_state()
        self.drain(state, HOST)
        for name in entry_hosts(HOST):
            self.acknowledge(state, HOST, name)
        version = state.hosts[HOST].version
        reboot = host_record(HOST, HostAction.REBOOT, version)
        undrain = host_record(HOST, HostAction.UNDRAIN, version)
        self.assertTrue(apply(state, reboot).accepted)
        self.assertFalse(apply(state, undrain).accepted)
        self.assertIs(state.hosts[HOST].phase, HostPhase.REBOOTING)

    def test_moved_host_belongs_to_its_new_pool_only(self):
        state = loaded_state()
        self.drain(state, HOST)
        for name in entry_hosts(HOST):
            self.acknowledge(state, HOST, name)
        version = state.hosts[HOST].version
        move = host_record(HOST, HostAction.MOVE, version, to_pool="pool-b")
        self.assertTrue(apply(state, move).accepted)
        self.assertEqual(state.hosts[HOST].pool, "pool-b")
        self.assertNotIn(HOST, [host.name for host in state.hosts_of("pool-a")])

    def test_last_host_of_a_pool_in_its_zone_cannot_be_moved(self):
        state = loaded_state(max_out=2)
        for host in HOSTS[:2]:
            self.drain(state, host)
            for name in entry_hosts(host):
                self.acknowledge(state, host, name)
        versions = [state.hosts[host].version for host in HOSTS[:2]]
        results = [
            apply(
                state, host_record(host, HostAction.MOVE, version, to_pool="pool-b")
            ).accepted
            for host, version in zip(HOSTS[:2], versions, strict=True)
        ]
        self.assertEqual(results, [True, False])


@st.composite
def histories(draw):
    steps = []
    for _ in range(draw(st.integers(5, 40))):
        if draw(st.integers(0, 9)) == 0:
            steps.append(("garbage", draw(st.binary(max_size=20))))
        elif draw(st.integers(0, 5)) == 0:
            steps.append(
                ("budget", draw(st.sampled_from(POOLS)), draw(st.integers(0, 3)))
            )
        else:
            steps.append(
                (
                    "host",
                    draw(st.sampled_from(HOSTS)),
                    draw(st.sampled_from(list(HostAction))),
                    draw(st.integers(0, 1)),
                    draw(st.sampled_from(POOLS)),
                    draw(st.booleans()),
                )
            )
    return steps


def record_bytes_of(step, state):
    if step[0] == "garbage":
        return step[1]
    if step[0] == "budget":
        _, pool, max_out = step
        subtree = f"teams/team-{pool}"
        record = settings_record(
            subtree, make_team(pool, max_out), state.versions[subtree]
        )
        return encode_record(record)
    _, host, action, index, pool, is_stale = step
    version = state.hosts[host].version - is_stale
    return encode_record(
        host_record(
            host, action, version, entry_host=entry_hosts(host)[index], to_pool=pool
        )
    )


class TestHistories(unittest.TestCase):
    @given(histories())
    def test_invariants_hold_at_every_offset(self, history):
        state = loaded_state()
        for step in history:
            pools = {name: host.pool for name, host in state.hosts.items()}
            out = {pool: hosts_out(state, pool) for pool in POOLS}
            versions = dict(state.versions)
            entry = apply_bytes(state, state.next_offset, record_bytes_of(step, state))
            self.assertIs(state.audit[-1], entry)
            for subtree, version in versions.items():
                self.assertGreaterEqual(state.versions[subtree], version)
            if not entry.accepted:
                self.assertTrue(entry.reason)
                self.assertEqual(
                    pools, {name: host.pool for name, host in state.hosts.items()}
                )
            if entry.accepted and entry.action == "drain":
                pool = state.hosts[entry.target].pool
                limit = tightest_budget(state, pool)
                self.assertLessEqual(hosts_out(state, pool), limit.max_out)
                self.assertEqual(hosts_out(state, pool), out[pool] + 1)
            members = [h.name for pool in POOLS for h in state.hosts_of(pool)]
            self.assertCountEqual(members, HOSTS)

    @given(histories(), st.integers(0, 30))
    def test_readers_agree_at_equal_offsets(self, history, lag):
        state, log = ControlState(), []
        for subtree, settings in make_tree().subtrees().items():
            log.append(encode_record(settings_record(subtree, settings)))
            apply_bytes(state, state.next_offset, log[-1])
        for step in history:
            log.append(record_bytes_of(step, state))
            apply_bytes(state, state.next_offset, log[-1])
        reader = ControlState()
        for offset, data in enumerate(log):
            apply_bytes(reader, offset, data)
            # A record that is read again changes nothing.
            again = max(offset - lag, 0)
            self.assertIsNone(apply_bytes(reader, again, log[again]))
        self.assertEqual(reader.digest, state.digest)
        self.assertEqual(reader.hosts, state.hosts)
        self.assertEqual(reader.versions, state.versions)
