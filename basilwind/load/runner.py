"""Sends a mix of requests and jobs at a fixed rate and records each outcome."""

import random
from dataclasses import dataclass, field

import anyio
import uuid6
from hdrh.histogram import HdrHistogram

from basilwind.client import Client, SubmitOptions
from basilwind.errors import DaemonUnreachable
from basilwind.models import OutcomeKind

MAX_LATENCY_US = 3_600_000_000
RESEND_ATTEMPTS = 6
RESEND_PAUSE_S = 0.3
JOB_WAIT_S = 30.0
NO_ANSWER = "no_answer"


@dataclass
class SentWork:
    """A request or job as its caller saw it.

    Attributes:
        tag: Tag that identifies it in the workers' ledgers.
        kind: The ``LoadKind``.
        outcome: Name of the final outcome, or ``no_answer``.
        reason: Reason of the outcome.
        is_accepted: Whether it was accepted as a job.
        resends: How often it was resent, with the same key if it has one.
        latency_s: Time until the outcome, in seconds.
    """

    tag: str
    kind: object
    outcome: str = NO_ANSWER
    reason: str = ""
    is_accepted: bool = False
    resends: int = 0
    latency_s: float = 0.0


@dataclass
class LoadResult:
    """Outcomes and latencies of a load run.

    Attributes:
        sent: Every ``SentWork``.
        latency: Histogram of the latency of work that is done, in microseconds.
        urgent: The same for urgent work only.
    """

    sent: list[SentWork] = field(default_factory=list)
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    urgent: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    def count(self, outcome):
        """Returns how many requests and jobs ended with an outcome."""
        return sum(1 for sent in self.sent if sent.outcome == outcome)


class LoadRunner:
    """Sends requests and jobs to entry hosts in round-robin order.

    Args:
        entries: HOST:PORT of each entry host.
        tokens: Bearer token by team.
        mix: ``LoadMix``.
        clock: Monotonic clock, in seconds.
        seed: Seed of the random choices.
    """

    def __init__(self, entries, tokens, mix, clock, seed=0):
        self._entries = list(entries)
        self._tokens = tokens
        self._mix = mix
        self._clock = clock
        self._random = random.Random(seed)
        self._clients = {}
        self._sent_count = 0
        self.result = LoadResult()

    async def run(self, rate, seconds):
        """Sends ``rate`` requests or jobs a second and waits for all outcomes.

        Args:
            rate: Requests and jobs a second.
            seconds: Duration of sending, in seconds.

        Returns:
            The ``LoadResult``.
        """
        start = self._clock()
        total = int(rate * seconds)
        try:
            async with anyio.create_task_group() as tasks:
                for index in range(total):
                    delay_s = start + index / rate - self._clock()
                    if delay_s > 0:
                        await anyio.sleep(delay_s)
                    tasks.start_soon(self._send_one, self._choose_kind())
        finally:
            for client in self._clients.values():
                await client.aclose()
        return self.result

    def _choose_kind(self):
        kinds = self._mix.kinds
        return self._random.choices(kinds, [kind.share for kind in kinds])[0]

    async def _send_one(self, kind):
        tag = str(uuid6.uuid7())
        sent = SentWork(tag, kind)
        self.result.sent.append(sent)
        started = self._clock()
        if kind.job:
            await self._send_job(sent)
        else:
            await self._send_until_outcome_known(sent, "submit")
        sent.latency_s = self._clock() - started
        if sent.outcome == OutcomeKind.DONE.value:
            self._record_latency(sent)

    def _record_latency(self, sent):
        microseconds = max(int(sent.latency_s * 1e6), 1)
        self.result.latency.record_value(microseconds)
        if sent.kind.urgent:
            self.result.urgent.record_value(microseconds)

    async def _send_until_outcome_known(self, sent, method):
        # Work with an idempotency key can be resent until its outcome is known.
        attempts = RESEND_ATTEMPTS if sent.kind.once else 2
        for attempt in range(attempts):
            sent.resends = attempt
            reply = await self._send(sent, method)
            if reply is not None and reply.is_accepted:
                sent.is_accepted = True
                return reply
            if reply is not None:
                sent.outcome = reply.outcome.value if reply.outcome else NO_ANSWER
                sent.reason = reply.reason
            if sent.outcome not in (NO_ANSWER, OutcomeKind.UNKNOWN.value):
                return reply
            await anyio.sleep(RESEND_PAUSE_S)
        return None

    async def _send(self, sent, method):
        kind = sent.kind
        options = SubmitOptions(
            idempotent=not kind.once,
            key=sent.tag if kind.once else "",
            urgent=kind.urgent,
            deadline_s=kind.deadline_s,
            slots=kind.slots,
        )
        body = b'{"work_s": %g, "tag": "%s"}' % (kind.work_s, sent.tag.encode())
        client = self._next_client(kind.team)
        try:
            return await getattr(client, method)(kind.team, kind.queue, body, options)
        except DaemonUnreachable:
            return None

    async def _send_job(self, sent):
        reply = await self._send_until_outcome_known(sent, "submit_job")
        if not sent.is_accepted:
            return
        job_id = reply.json()["job_id"]
        deadline = self._clock() + JOB_WAIT_S
        while self._clock() < deadline:
            client = self._next_client(sent.kind.team)
            try:
                answer = await client.job(sent.kind.team, job_id, wait_s=5.0)
            except DaemonUnreachable:
                continue
            body = answer.json()
            if answer.status == 200 and body["state"] == "finished":
                sent.outcome, sent.reason = body["outcome"], body.get("reason", "")
                return
            await anyio.sleep(RESEND_PAUSE_S)

    def _next_client(self, team):
        self._sent_count += 1
        entry = self._entries[self._sent_count % len(self._entries)]
        if (entry, team) not in self._clients:
            self._clients[entry, team] = Client(entry, self._tokens[team])
        return self._clients[entry, team]
