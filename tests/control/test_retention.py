"""Daemons recover from a snapshot when the log has dropped control records."""

import unittest

import anyio

from basilwind.control.records import CONTROL_STREAM, HostAction
from basilwind.control.state import HostPhase
from basilwind.models import OutcomeKind
from tests.utils.fleet import run_async, running_fleet


class TestRetention(unittest.TestCase):
    @run_async
    async def test_restarted_daemon_starts_from_a_snapshot(self):
        async with running_fleet(entry_hosts=2, log_retention_s=2.0) as fleet:
            host = fleet.tree.hosts[0].name
            await fleet.publish_host(host, HostAction.DRAIN)
            stream = fleet.platform.stream(CONTROL_STREAM)
            before = stream.head
            await fleet.wait_for(lambda: stream.head > before + 4)
            stream.drop_to(2)
            name = "zone-a-e2"
            await fleet.crash(name)
            daemon = await fleet.restart(name)
            await fleet.wait_for(lambda: not daemon.not_ready_reason())
            state = daemon.control.state
            self.assertIsNot(state.hosts[host].phase, HostPhase.ACTIVE)
            other = fleet.daemons["zone-a-e1"].control
            await fleet.wait_for(
                lambda: other.next_offset == daemon.control.next_offset
            )
            self.assertEqual(other.state.digest, daemon.control.state.digest)
            reply = await fleet.submit(name, b"{}")
            self.assertEqual(reply.outcome, OutcomeKind.DONE, reply.reason)

    @run_async
    async def test_isolated_daemon_catches_up_after_records_were_dropped(self):
        async with running_fleet(entry_hosts=2, log_retention_s=2.0) as fleet:
            name = "zone-a-e2"
            await fleet.isolate(name)
            await anyio.sleep(0.5)
            host = fleet.tree.hosts[0].name
            entry = await fleet.publish_host(host, HostAction.DRAIN)
            self.assertTrue(entry.accepted)
            stream = fleet.platform.stream(CONTROL_STREAM)
            before = stream.head
            await fleet.wait_for(lambda: stream.head > before + 2)
            stream.drop_to(1)
            fleet.heal(name)
            daemon = fleet.daemons[name]
            await fleet.wait_for(
                lambda: daemon.control.state.hosts[host].phase is HostPhase.DRAINED
            )
