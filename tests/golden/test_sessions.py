"""Sessions of callers on a running fleet, compared with stored transcripts.

Run with ``GOLDEN=write`` to write the transcripts again, then review the difference.
"""

import os
import unittest
from pathlib import Path

import anyio
import uuid6

from basilwind.client import SubmitOptions
from basilwind.control.records import HostAction
from basilwind.membership.rendezvous import choose_by_hash
from basilwind.standin.platform import PlatformFaults
from tests.utils.fleet import run_async, running_fleet

DIRECTORY = Path(__file__).resolve().parent
TEAM = "team-pool-a"


class Session:
    """Transcript of what callers receive and of what the workers ran."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.lines = []

    def add_line(self, text):
        self.lines.append(text)

    async def request(self, name, tag, work_s=0.05, **options):
        body = b'{"work_s": %g, "tag": "%s"}' % (work_s, tag.encode())
        options = SubmitOptions(**options)
        reply = await self._fleet.submit(name, body, options)
        self._add_reply("request", name, tag, reply, options)
        return reply

    async def job(self, name, tag, work_s=0.05):
        body = b'{"work_s": %g, "tag": "%s"}' % (work_s, tag.encode())
        options = SubmitOptions(idempotent=False, deadline_s=20.0)
        client = self._fleet.client(name)
        reply = await client.submit_job(TEAM, "work", body, options)
        self._add_reply("job", name, tag, reply, options)
        if not reply.is_accepted:
            return
        end = (await client.job(TEAM, reply.json()["job_id"], 15.0)).json()
        self.add_line(f"  job {tag}: {end['state']} {end.get('outcome', '')}")

    def runs(self, *tags):
        for tag in tags:
            self.add_line(f"  workers ran {tag} {len(self._fleet.runs(tag))} times")

    def _add_reply(self, what, name, tag, reply, options):
        kind = "idempotent" if options.idempotent else "once"
        outcome = reply.headers.get("basilwind-outcome", "")
        words = [what, tag, f"({kind})", "at", name, "->", str(reply.status), outcome]
        if reply.reason:
            words.append(reply.reason)
        if "retry-after" in reply.headers:
            words.append("retry-after")
        if "basilwind-replayed" in reply.headers:
            words.append("replayed")
        self.add_line(" ".join(words))


def key_with_home_zone(zone, zones):
    """Returns an idempotency key whose home zone is ``zone``."""
    while True:
        key = str(uuid6.uuid7())
        if choose_by_hash(f"{TEAM}/work/{key}", zones) == zone:
            return key


class TestSessions(unittest.TestCase):
    def compare(self, name, session):
        file = DIRECTORY / f"{name}.txt"
        text = "\n".join(session.lines) + "\n"
        if os.environ.get("GOLDEN") == "write":
            file.write_text(text, encoding="utf-8")
        self.assertEqual(text, file.read_text(encoding="utf-8"))

    @run_async
    async def test_normal(self):
        async with running_fleet(zones=("zone-a", "zone-b")) as fleet:
            session = Session(fleet)
            await session.request("zone-a-e1", "plain")
            await session.request("zone-b-e2", "urgent", urgent=True)
            key = str(uuid6.uuid7())
            for name in ("zone-a-e1", "zone-b-e1"):
                await session.request(name, "booking", idempotent=False, key=key)
            await session.job("zone-b-e1", "sweep")
            await session.request("zone-a-e2", "wide", slots=99)
            host = fleet.tree.hosts[0].name
            entry = await fleet.publish_host(host, HostAction.DRAIN)
            session.add_line(f"drain {host}: accepted={entry.accepted}")
            other = fleet.tree.hosts[1].name
            entry = await fleet.publish_host(other, HostAction.DRAIN)
            session.add_line(
                f"drain {other}: accepted={entry.accepted}, {entry.reason}"
            )
            await session.request("zone-a-e1", "after")
            session.runs("plain", "urgent", "booking", "sweep", "wide", "after")
            self.compare("normal", session)

    @run_async
    async def test_log_outage(self):
        async with running_fleet() as fleet:
            session = Session(fleet)
            await session.request("zone-a-e1", "before")
            fleet.platform.faults = PlatformFaults(is_down=True)
            session.add_line("the platform goes down")
            await anyio.sleep(1.5)
            await session.request("zone-a-e2", "plain")
            key = str(uuid6.uuid7())
            for name in ("zone-a-e1", "zone-a-e2"):
                await session.request(name, "booking", idempotent=False, key=key)
            await session.job("zone-a-e1", "sweep")
            fleet.platform.faults = PlatformFaults()
            session.add_line("the platform is back")
            await anyio.sleep(1.5)
            await session.request("zone-a-e2", "booking", idempotent=False, key=key)
            await session.job("zone-a-e2", "later sweep")
            session.runs("before", "plain", "booking", "sweep", "later sweep")
            self.compare("log_outage", session)

    @run_async
    async def test_zone_cut_off(self):
        zones = ("zone-a", "zone-b")
        async with running_fleet(zones=zones, entry_hosts=2, lease_s=2.0) as fleet:
            session = Session(fleet)
            for pair, relay in fleet.relays.items():
                is_within_zone = "platform" not in pair and pair[0][:6] == pair[1][:6]
                if not is_within_zone and any(name[:6] == "zone-b" for name in pair):
                    await relay.cut()
            session.add_line("zone-b is cut off from zone-a and from the platform")
            await anyio.sleep(5.0)
            for name in ("zone-a-e1", "zone-b-e1", "zone-b-e2"):
                await session.request(name, f"plain at {name}")
            key = key_with_home_zone("zone-b", zones)
            keyed_options = {"idempotent": False, "key": key, "deadline_s": 3.0}
            for name in ("zone-b-e1", "zone-b-e2", "zone-a-e1"):
                await session.request(name, "booking", **keyed_options)
            fleet.heal("zone-b-e1")
            fleet.heal("zone-b-e2")
            session.add_line("the cut heals")
            await anyio.sleep(3.0)
            await session.request("zone-a-e1", "booking", **keyed_options)
            digests = {d.control.state.digest for d in fleet.daemons.values()}
            session.add_line(f"different control states: {len(digests)}")
            session.runs("booking")
            self.compare("zone_cut_off", session)

    @run_async
    async def test_owner_lost_while_a_request_runs(self):
        async with running_fleet(entry_hosts=3) as fleet:
            session = Session(fleet)
            owner = fleet.owner()
            first, second = fleet.others(owner)
            names = {owner: "owner", first: "second", second: "third"}
            key = str(uuid6.uuid7())
            keyed_options = {"idempotent": False, "key": key, "deadline_s": 20.0}
            async with anyio.create_task_group() as tasks:

                async def book():
                    await session.request(first, "booking", 1.0, **keyed_options)

                tasks.start_soon(book)
                await fleet.wait_for(lambda: fleet.runs("booking"))
                await fleet.crash(owner)
                session.add_line("the owner is lost while the booking runs")
            await session.request(second, "booking", 1.0, **keyed_options)
            await session.job(second, "sweep")
            session.runs("booking", "sweep")
            for name, role in names.items():
                session.lines = [line.replace(name, role) for line in session.lines]
            self.compare("owner_lost", session)
