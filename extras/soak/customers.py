"""Customers of the soak test: their keys and maxima, and checks of what they got."""

import random
import time
from collections import Counter
from dataclasses import dataclass

import anyio

REVOKE_S = 5.0
SETTLE_S = REVOKE_S + 2.0  # calls go on for as long after the last fault
CONFIG_APPLY_S = 3.0
OVERAGE = 0.1
TASK_CPU = 1000  # millicores of every task
MAXIMUM_CPU = 3000  # fewer tasks than the callers of LIMITED ask for
LIMITED, OTHERS = "limited", ("north", "south")
WEIGHTS = {LIMITED: 4.0, "north": 2.0, "south": 1.0}
CALL_INTERVAL_S = 0.05
STORE_POLL_S = 0.02
BOUNDS = {
    "strictRevoke": True,
    "revokeMs": int(1000 * REVOKE_S),
    "configApplyMs": int(1000 * CONFIG_APPLY_S),
    "quotaOverage": OVERAGE,
}


@dataclass
class Key:
    """A key of a customer.

    Attributes:
        customer: Name of the customer.
        added_at: When the store had acknowledged the version with the key, in seconds
            on the monotonic clock.
        withdrawn_at: When it had acknowledged a version without the key, or None.
    """

    customer: str
    added_at: float
    withdrawn_at: float | None = None


@dataclass(frozen=True)
class KeyCall:
    """A call with a key, and its answer.

    Attributes:
        sent_at: Monotonic time before the call, in seconds.
        answered_at: Monotonic time after the answer, in seconds.
        daemon: Index of the daemon.
        method: Method of the call.
        key: Key of the call; empty if it has none.
        status: Status of the answer, or 0 without one.
        job_customer: Customer of the job; empty if it is on the public route.
    """

    sent_at: float
    answered_at: float
    daemon: int
    method: str
    key: str
    status: int
    job_customer: str


class Customers:
    """The customers in the operator's configuration, and the calls of their callers.

    Args:
        seed: Seed of the choice of customers and keys.

    Attributes:
        keys: ``Key`` by its text.
        job_customers: Customer by id of each job that was submitted.
        calls: A ``KeyCall`` for each call.
        maxima: Time and maximum of ``LIMITED``, in millicores, for each change.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        now = time.monotonic()
        self.keys = {
            f"{name}-{number}": Key(name, now)
            for name in (LIMITED, *OTHERS)
            for number in range(2)
        }
        self.job_customers = {}
        self.calls = []
        self.maxima = [(now, MAXIMUM_CPU)]
        self._cuts = 0

    @property
    def tenants(self):
        """The rows of the configuration that describe the customers."""
        return [
            {
                "name": name,
                "apiKeys": self.keys_of(name),
                "weight": weight,
                "maximum": {"cpu": self.maxima[-1][1] if name == LIMITED else 0},
            }
            for name, weight in WEIGHTS.items()
        ]

    def keys_of(self, name):
        """Returns the keys of a customer that are not withdrawn, oldest first."""
        return [
            text
            for text, key in self.keys.items()
            if key.customer == name and key.withdrawn_at is None
        ]

    def choose_customer(self):
        """Returns the customer that submits the next job."""
        return self._random.choice((LIMITED, LIMITED, *OTHERS))

    def choose_key(self, name):
        """Returns a key for a new job: a valid one, or the last that was withdrawn."""
        keys = [text for text, key in self.keys.items() if key.customer == name]
        return self._random.choice(keys[-3:] or [""])

    async def call(self, fleet, method, index, path, key, job_customer, body=None):
        """Calls a daemon and keeps the answer; see ``EntryFleet.call``."""
        sent_at = time.monotonic()
        answer = await fleet.call(method, index, path, body, key)
        status = answer[0] if answer else 0
        now = time.monotonic()
        self.calls.append(
            KeyCall(sent_at, now, index, method, key, status, job_customer)
        )
        return answer

    async def read_jobs(self, fleet, path_of, is_over):
        """Reads jobs with valid, withdrawn, foreign and missing keys until it is over.

        Args:
            fleet: ``EntryFleet``.
            path_of: Returns the path of a job by its id.
            is_over: Returns whether to stop.
        """
        async with anyio.create_task_group() as tasks:
            while not is_over():
                await anyio.sleep(CALL_INTERVAL_S)
                job_ids = list(self.job_customers)[-20:]
                if not job_ids:
                    continue
                job_id = self._random.choice(job_ids)
                owner = self.job_customers[job_id]
                own = [text for text, key in self.keys.items() if key.customer == owner]
                # Half of the calls have a key, valid or not, of the job's customer.
                keys = self._random.choice((own or [""], [*self.keys, ""]))
                key = self._random.choice(keys)
                index = self._random.randrange(len(fleet.ports))
                path = path_of(job_id)
                tasks.start_soon(self.call, fleet, "GET", index, path, key, owner)

    def replace_key(self, fleet, number):
        """Withdraws the older key of a customer and adds a new one.

        In an outage the store acknowledges the version although no daemon reads it.
        """
        name = (LIMITED, *OTHERS)[number % len(WEIGHTS)]
        old, _ = self.keys_of(name)
        now = time.monotonic()
        self.keys[old].withdrawn_at = now
        self.keys[f"{name}-{len(self.keys)}"] = Key(name, now)
        self._publish(fleet)

    async def halve_maximum(self, fleet, duration_s):
        """Halves the maximum of ``LIMITED`` and raises it again after a time."""
        for change in (1, -1):
            # In an outage of the store, daemons rely on the last acknowledged maximum.
            while fleet.platform.store.is_down:
                await anyio.sleep(STORE_POLL_S)
            self._cuts += change
            maximum = MAXIMUM_CPU // 2 if self._cuts else MAXIMUM_CPU
            self.maxima.append((time.monotonic(), maximum))
            self._publish(fleet)
            await anyio.sleep(CONFIG_APPLY_S + duration_s)

    def _publish(self, fleet):
        fleet.platform.tenants = self.tenants
        fleet.platform.configure()

    def find_violations(self, platform, outages):
        """Returns descriptions of violated guarantees.

        Args:
            platform: ``EntryPlatformStandIn``.
            outages: Start and end of each outage of the store.
        """
        found = [(self._check(call), call) for call in self.calls]
        violations = [f"{text}: {call}" for text, call in found if text]
        return violations + self._find_overruns(platform, outages)

    def _check(self, call):
        """Returns what is wrong with the answer to a call, or an empty text."""
        if not call.job_customer:
            return "call on a public route was refused" * (call.status in (401, 403))
        key = self.keys.get(call.key)
        if call.status in range(200, 300):
            if key is None:
                return "call without a key succeeded"
            if key.customer != call.job_customer:
                return "another customer's job was read"
            withdrawn_at = key.withdrawn_at
            if withdrawn_at is not None and call.sent_at > withdrawn_at + REVOKE_S:
                return "call with a withdrawn key succeeded"
        if key is None or call.sent_at <= key.added_at + CONFIG_APPLY_S:
            return ""
        if key.withdrawn_at is not None and key.withdrawn_at <= call.answered_at:
            return ""
        is_own = key.customer == call.job_customer
        if call.status in (401, 404) or (call.status == 403 and is_own):
            return "call with a valid key was refused"
        return ""

    def _find_overruns(self, platform, outages):
        """Finds starts with which ``LIMITED`` exceeds every maximum in force."""
        events = [(end.at, 0, end) for end in platform.run_ends]
        events += [(start.at, 1, start) for start in platform.run_starts]
        events.sort(key=lambda event: event[:2])
        running, violations = Counter(), []
        for at, is_start, event in events:
            run = (event.task, event.run)
            if self.job_customers.get(event.task.split(".")[0]) != LIMITED:
                continue
            if not is_start:
                running.pop(run, None)
                continue
            running[run] += 1
            used = running.total() * TASK_CPU
            limit = self._highest_maximum(at, outages) * (1 + OVERAGE) + TASK_CPU
            if used > limit:
                violations.append(
                    f"{event} brings {LIMITED} to {used} of {limit:g} millicores"
                )
        return violations

    def _highest_maximum(self, at, outages):
        """Returns the highest maximum that may be in force at a time.

        A maximum may be used for ``CONFIG_APPLY_S`` after it was replaced, and while
        the store is unavailable to all daemons.
        """
        maxima = []
        for index, (changed_at, maximum) in enumerate(self.maxima):
            replaced_at = (
                self.maxima[index + 1][0] if index + 1 < len(self.maxima) else at
            )
            outage_s = sum(
                max(0.0, min(at, ended_at) - max(replaced_at, began_at))
                for began_at, ended_at in outages
            )
            if changed_at <= at <= replaced_at + CONFIG_APPLY_S + outage_s:
                maxima.append(maximum)
        return max(maxima)
