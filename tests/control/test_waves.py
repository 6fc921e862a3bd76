import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.control.budget import hosts_out, tightest_budget
from basilwind.control.records import HostAction, WaveAction, WaveRecord
from basilwind.control.state import HostPhase, WaveStatus
from basilwind.control.waves import hosts_out_in_wave
from basilwind.daemon.planner import due_drains, due_undrains
from tests.control.test_apply import HOSTS, entry_hosts
from tests.utils.records import apply, host_record, loaded_state
from tests.utils.settings import POOLS, ZONES


def wave_record(action, version=0, **fields):
    identity = f"wave-{action}-{version}-{len(fields)}-{fields.get('id', '')}"
    fields = {"id": identity, "author": "test", "at": 1.0} | fields
    return WaveRecord(wave="w", action=action, version=version, **fields)


def declare(state, at_once=8, stop_share=0.2, hosts=HOSTS):
    record = wave_record(
        WaveAction.DECLARE, hosts=list(hosts), at_once=at_once, stop_share=stop_share
    )
    return apply(state, record)


def change(state, host, action, **fields):
    version = state.hosts[host].version
    return apply(state, host_record(host, action, version, **fields))


def finish_drain(state, host):
    for name in entry_hosts(host):
        change(state, host, HostAction.ACKNOWLEDGE, entry_host=name)


def drain_due(state):
    drained = []
    for zone in ZONES:
        for proposal in due_drains(state, zone):
            fields = {"wave": proposal.wave, "reason": proposal.reason}
            entry = change(state, proposal.host.name, proposal.action, **fields)
            if entry.accepted:
                drained.append(proposal.host.name)
    return drained


class TestWaves(unittest.TestCase):
    def test_wave_maintains_every_host_within_the_budget(self):
        state = loaded_state(max_out=1)
        self.assertTrue(declare(state).accepted)
        rounds = 0
        while not state.waves["w"].is_finished:
            rounds += 1
            self.assertLess(rounds, 20)
            for host in drain_due(state):
                finish_drain(state, host)
                self.assertTrue(change(state, host, HostAction.REBOOT).accepted)
            for pool in POOLS:
                self.assertLessEqual(hosts_out(state, pool), 1)
            for host in [h.name for h in state.hosts.values() if h.is_out]:
                self.assertTrue(change(state, host, HostAction.RETURN).accepted)
        self.assertEqual(state.waves["w"].done, frozenset(HOSTS))
        # Eight hosts in two pools, one of each at once.
        self.assertEqual(rounds, 4)

    def test_wave_that_comes_back_broken_stops_by_itself(self):
        state = loaded_state(max_out=4)
        declare(state, at_once=4)
        hosts = drain_due(state)
        self.assertGreaterEqual(len(hosts), 4)
        for host in hosts[:2]:
            finish_drain(state, host)
            change(state, host, HostAction.REBOOT)
            self.assertTrue(change(state, host, HostAction.FAIL).accepted)
        self.assertIs(state.waves["w"].status, WaveStatus.STOPPED)
        self.assertEqual(drain_due(state), [])
        stopped = state.waves["w"].version
        self.assertTrue(apply(state, wave_record(WaveAction.RESUME, stopped)).accepted)

    def test_drain_of_a_paused_wave_is_refused(self):
        state = loaded_state(max_out=4)
        declare(state)
        (proposal, *_) = due_drains(state, ZONES[0])
        apply(state, wave_record(WaveAction.PAUSE, state.waves["w"].version))
        name = proposal.host.name
        entry = change(state, name, HostAction.DRAIN, wave="w")
        self.assertFalse(entry.accepted)
        self.assertIn("not running", entry.reason)

    def test_racing_planners_never_exceed_the_wave(self):
        state = loaded_state(max_out=4)
        declare(state, at_once=1)
        verdicts = [
            change(state, host, HostAction.DRAIN, wave="w").accepted for host in HOSTS
        ]
        self.assertEqual(sum(verdicts), 1)

    def test_failures_return_what_has_not_begun_to_reboot(self):
        state = loaded_state(max_out=1)
        declare(state)
        (host, *_) = drain_due(state)
        pool = state.hosts[host].pool
        other = next(h for h in state.hosts_of(pool) if h.name != host)
        self.assertTrue(change(state, other.name, HostAction.FAIL).accepted)
        zone = state.hosts[host].settings.zone
        (proposal,) = due_undrains(state, zone)
        self.assertEqual(proposal.host.name, host)
        self.assertTrue(change(state, host, HostAction.UNDRAIN).accepted)
        self.assertLessEqual(hosts_out(state, pool), 1)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("plan", "ack", "reboot", "return", "fail", "undrain")),
                st.sampled_from(HOSTS),
            ),
            max_size=60,
        ),
        st.integers(1, 3),
        st.integers(1, 5),
    )
    def test_generated_waves_hold_budgets_at_every_offset(
        self, history, max_out, at_once
    ):
        state = loaded_state(max_out=max_out)
        declare(state, at_once=at_once)
        for action, host in history:
            if action == "plan":
                for name in drain_due(state):
                    pool = state.hosts[name].pool
                    limit = tightest_budget(state, pool).max_out
                    failed = [
                        h for h in state.hosts_of(pool) if h.phase is HostPhase.FAILED
                    ]
                    self.assertLessEqual(
                        hosts_out(state, pool), max(limit, len(failed))
                    )
            elif action == "ack":
                finish_drain(state, host)
            else:
                change(state, host, HostAction(action))
            wave = state.waves["w"]
            self.assertLessEqual(hosts_out_in_wave(state, wave), at_once)
            self.assertFalse(wave.done & wave.failed)
