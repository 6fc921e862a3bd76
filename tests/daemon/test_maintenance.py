"""Maintenance waves and host failures on a running fleet."""

import time
import unittest

import anyio
import msgspec

from basilwind.client import SubmitOptions
from basilwind.control.budget import hosts_out
from basilwind.control.publisher import Publisher
from basilwind.control.records import HostAction, WaveAction
from basilwind.control.state import HostPhase, WaveStatus
from basilwind.models import OutcomeKind
from basilwind.platform.client import ListedHost, ListedState, PlatformClient
from basilwind.standin.worker import WorkerFaults
from basilwind.workers.client import TASK_LEASE_S
from tests.utils.fleet import run_async, running_fleet


async def declare_wave(fleet, **fields):
    client = PlatformClient(f"http://127.0.0.1:{fleet._platform_port}")
    publisher = Publisher(client, "test")
    await publisher.refresh()
    hosts = [host.name for host in fleet.tree.hosts]
    fields = {"hosts": hosts, "at_once": 4} | fields
    result = await publisher.publish_wave("w", WaveAction.DECLARE, **fields)
    await client.aclose()
    assert result.entry.accepted, result.entry.reason


async def list_as_gone(fleet, name):
    fleet.platform.faults.list_lag_s = 0.0
    client = PlatformClient(f"http://127.0.0.1:{fleet._platform_port}")
    body = msgspec.json.encode([ListedHost(name, ListedState.GONE)])
    await client._fetch("PUT", "/standin/hosts", body, 2.0)
    await client.aclose()


def control_state(fleet):
    return next(iter(fleet.daemons.values())).control.state


class TestMaintenance(unittest.TestCase):
    @run_async
    async def test_wave_under_load_interrupts_no_task(self):
        async with running_fleet(hosts_per_shard=3) as fleet:
            await declare_wave(fleet)
            replies, most_out = [], 0
            options = SubmitOptions(idempotent=False, deadline_s=20.0)

            async def send():
                body = b'{"work_s": 0.3, "tag": "t"}'
                replies.append(await fleet.submit("zone-a-e1", body, options))

            async with anyio.create_task_group() as tasks:
                with anyio.fail_after(40.0):
                    while not control_state(fleet).waves["w"].is_finished:
                        tasks.start_soon(send)
                        await anyio.sleep(0.05)
                        most_out = max(
                            most_out, hosts_out(control_state(fleet), "pool-a")
                        )
            self.assertIs(control_state(fleet).waves["w"].status, WaveStatus.DONE)
            self.assertCountEqual(
                fleet.platform.reboots, [host.name for host in fleet.tree.hosts]
            )
            self.assertEqual(most_out, 1)
            self.assertFalse(any(run.is_cut for run in fleet.runs()))
            outcomes = {reply.outcome for reply in replies}
            self.assertEqual(outcomes, {OutcomeKind.DONE})

    @run_async
    async def test_wave_whose_hosts_do_not_return_stops(self):
        async with running_fleet(
            hosts_per_shard=4, reboot_patience_s=1.5, max_out=3
        ) as fleet:

            def disconnect_host(host):
                fleet.workers[host].faults = WorkerFaults(is_unreachable=True)

            fleet.platform.on_reboot = disconnect_host
            await declare_wave(fleet, at_once=2)
            await fleet.wait_for(
                lambda: control_state(fleet).waves["w"].status is WaveStatus.STOPPED,
                30.0,
            )
            self.assertEqual(len(control_state(fleet).waves["w"].failed), 2)
            reply = await fleet.submit("zone-a-e1", b"{}")
            self.assertEqual(reply.outcome, OutcomeKind.DONE)

    @run_async
    async def test_host_listed_as_gone_is_marked_failed(self):
        async with running_fleet() as fleet:
            host = fleet.tree.hosts[0].name
            await list_as_gone(fleet, host)
            await fleet.wait_for(
                lambda: control_state(fleet).hosts[host].phase is HostPhase.FAILED
            )
            other = fleet.tree.hosts[1].name
            entry = await fleet.publish_host(other, HostAction.DRAIN)
            self.assertFalse(entry.accepted)
            self.assertIn("allows 1", entry.reason)

    @run_async
    async def test_drain_completes_without_an_entry_host_that_is_gone(self):
        async with running_fleet(entry_hosts=3) as fleet:
            host = fleet.tree.hosts[0].name
            lost = fleet.others(fleet.owner())[0]
            await fleet.crash(lost)
            await fleet.publish_host(host, HostAction.DRAIN)
            await anyio.sleep(3.0)
            phase = control_state(fleet).hosts[host].phase
            self.assertIs(phase, HostPhase.DRAINING)
            listed_at = time.monotonic()
            await list_as_gone(fleet, lost)
            await fleet.wait_for(
                lambda: control_state(fleet).hosts[host].phase is HostPhase.DRAINED,
                30.0,
            )
            # Until then, leases of the lost entry host's tasks may be valid.
            self.assertGreater(time.monotonic() - listed_at, TASK_LEASE_S)
