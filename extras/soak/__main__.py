"""Runs the soak test: ``python -m extras.soak --seeds 1-50``."""

import random
import sys
from collections import Counter
from pathlib import Path

import anyio
import click

from basilwind.standin.entry_worker import UNTIL_STOPPED
from extras.entry_fleet import EntryFleet
from extras.soak.checks import Service, find_interruptions, find_violations
from extras.soak.customers import BOUNDS, SETTLE_S, TASK_CPU, Customers
from extras.soak.faults import CUSTOMER_KINDS, KINDS, inject_fault, make_schedule
from extras.soak.worker_log import write_worker_log

JOB_INTERVAL_S = 0.25  # short enough that some jobs are running at every fault
COMPLETION_TIMEOUT_S = 60.0  # much longer than any lease or silence of a worker
ACCEPTED = (200, 201, 202)
REFUSED = (401, 429, 503)
SERVICE_TASKS = 3
WAVE_DEADLINE_S = 60.0
CRASHING_JOB_INTERVAL_S = 3.0  # a third of the time until such a job is given up


class SoakRun:
    """Runs one seed: submits jobs, injects faults and checks the results.

    Args:
        seed: Seed of the schedules of faults and jobs.
        faults: Number of faults.
        daemons: Number of daemons.
        log_folder: Directory in which the logs of daemons and workers are kept; not
            kept if None.
        crashing_jobs: Number of jobs with a task that crashes its workers.
        services: Number of long-running jobs, of which one task may be interrupted at
            a time while their workers' hosts go into maintenance one by one.
        has_customers: Whether there are customers, whose keys and maxima change.
    """

    def __init__(
        self,
        seed,
        faults,
        daemons,
        log_folder=None,
        crashing_jobs=0,
        services=0,
        has_customers=False,
    ):
        self._customers = Customers(seed + 2) if has_customers else None
        kinds = KINDS + CUSTOMER_KINDS if has_customers else KINDS
        self._schedule = make_schedule(seed, faults, kinds)
        self._random = random.Random(seed + 1)
        tenants = self._customers.tenants if has_customers else None
        bounds = BOUNDS if has_customers else None
        self._fleet = EntryFleet(daemons, log_folder, tenants, bounds)
        self._queues = "abp" if has_customers else "ab"
        # Crashing and long-running jobs belong to no customer.
        self._open_queue = "p" if has_customers else "a"
        self._log_folder = log_folder
        self._seed = seed
        self._outcomes = {}
        self._crashing_jobs = crashing_jobs
        self._services = [
            Service(f"5{seed:07x}{number:08x}", SERVICE_TASKS, 1)
            for number in range(services)
        ]
        self._are_faults_over = False

    async def run(self):
        """Runs the seed.

        Returns:
            Descriptions of violated guarantees.
        """
        fleet = self._fleet
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(fleet.platform.run)
                for index in range(len(fleet.ports)):
                    await fleet.start(index)
                await fleet.wait_until_serving(0, self._open_queue)
                await self._start_services()
                async with anyio.create_task_group() as activities:
                    activities.start_soon(self._submit_jobs)
                    activities.start_soon(self._submit_crashing_jobs)
                    activities.start_soon(self._read_jobs)
                    await self._inject_faults(activities)
                violations = await self._wait_for_jobs()
                violations += await self._wait_for_services()
                tasks.cancel_scope.cancel()
            for service in self._services:
                violations += find_interruptions(fleet.platform, service)
            if self._customers:
                violations += self._customers.find_violations(
                    fleet.platform, fleet.outages
                )
            return violations + find_violations(fleet.platform, self._outcomes)
        finally:
            if self._log_folder:
                write_worker_log(fleet.platform, self._log_folder / "workers.log")
            await fleet.stop()

    async def _start_services(self):
        for service in self._services:
            await self._fleet.submit(
                service.job_id,
                0,
                self._open_queue,
                work_s=UNTIL_STOPPED,
                count=service.tasks,
                longRunning=True,
                mayMiss=service.may_miss,
            )
        await self._wait_for_services()
        if self._services:
            self._fleet.platform.announce_wave("pool-a", WAVE_DEADLINE_S)

    async def _wait_for_services(self):
        """Waits until all tasks of the services run; returns violations."""

        async def check():
            workers = self._fleet.platform.workers.values()
            counts = Counter(
                name.split(".")[0] for worker in workers for name in worker.runs
            )
            return all(
                counts[service.job_id] == service.tasks for service in self._services
            )

        if not self._services:
            return []
        try:
            await self._fleet.wait_until(check)
        except TimeoutError:
            return ["a long-running task was not restarted"]
        return []

    async def _inject_faults(self, activities):
        for fault in self._schedule:
            await anyio.sleep(fault.after_s)
            activities.start_soon(inject_fault, self._fleet, fault, self._customers)
        if self._customers:
            await anyio.sleep(SETTLE_S)
        self._are_faults_over = True

    async def _submit_jobs(self):
        number = 0
        while not self._are_faults_over:
            number += 1
            job_id = f"{self._seed:08x}{number:08x}"
            await self._submit(job_id, self._queue_of(job_id))
            await anyio.sleep(JOB_INTERVAL_S)

    def _queue_of(self, job_id):
        return self._queues[int(job_id[8:], 16) % len(self._queues)]

    async def _read_jobs(self):
        if self._customers:
            await self._customers.read_jobs(
                self._fleet,
                lambda job_id: f"/{self._queue_of(job_id)}/{job_id}",
                lambda: self._are_faults_over,
            )

    async def _submit_crashing_jobs(self):
        for number in range(self._crashing_jobs):
            await anyio.sleep(CRASHING_JOB_INTERVAL_S)
            job_id = f"c{self._seed:07x}{number:08x}"
            step = {"count": 3, "cpu": 1000, "memMb": 100, "estimateMs": 200}
            body = {"spec": '{"work_s": 0.3, "crashes": [1]}', "steps": [step]}
            index = (self._seed + number) % len(self._fleet.ports)
            path = f"/{self._open_queue}/{job_id}"
            answer = await self._fleet.call("POST", index, path, body)
            if answer and answer[0] in ACCEPTED:
                self._outcomes[job_id] = "crashing"

    async def _submit(self, job_id, queue):
        step = {"count": 2, "cpu": TASK_CPU, "memMb": 100, "estimateMs": 200}
        work_s = self._random.choice((0.05, 0.2, 0.8))
        body = {
            "spec": f'{{"work_s": {work_s}}}',
            "steps": [step, step | {"after": [0]}],
        }
        index = self._random.randrange(len(self._fleet.ports))
        answer = await self._call_submit(index, queue, job_id, body)
        status = answer[0] if answer else 0
        if status in ACCEPTED:
            self._outcomes[job_id] = "accepted"
        else:
            self._outcomes[job_id] = "refused" if status in REFUSED else "unknown"

    async def _call_submit(self, index, queue, job_id, body):
        path = f"/{queue}/{job_id}"
        if not self._customers:
            return await self._fleet.call("POST", index, path, body)
        name = "" if queue == self._open_queue else self._customers.choose_customer()
        self._customers.job_customers[job_id] = name
        key = self._customers.choose_key(name)
        return await self._customers.call(
            self._fleet, "POST", index, path, key, name, body
        )

    def _key_of(self, job_id):
        """Returns a key that reads a job; empty for a job of no customer."""
        name = self._customers and self._customers.job_customers.get(job_id)
        return self._customers.keys_of(name)[0] if name else ""

    async def _wait_for_jobs(self):
        """Waits until every accepted job is completed.

        Returns:
            Descriptions of jobs that were not.
        """
        accepted = [
            (job_id, "completed", self._queue_of(job_id))
            for job_id, outcome in self._outcomes.items()
            if outcome == "accepted"
        ]
        accepted += [
            (job_id, "failed", self._open_queue)
            for job_id, outcome in self._outcomes.items()
            if outcome == "crashing"
        ]
        violations = []
        with anyio.move_on_after(COMPLETION_TIMEOUT_S) as scope:
            for job_id, state, queue in accepted:
                try:
                    await self._fleet.wait_until_state(
                        job_id, state, queue, self._key_of(job_id)
                    )
                except (AssertionError, TimeoutError) as error:
                    violations.append(
                        f"accepted job {job_id}: {error or f'never {state}'}"
                    )
        if scope.cancelled_caught:
            violations.append(
                f"accepted jobs were not completed within {COMPLETION_TIMEOUT_S:g} s"
            )
        return violations


def parse_seeds(text):
    """Returns the range of seeds for a text such as ``3`` or ``1-50``."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


@click.command()
@click.option("--seeds", default="1-3", show_default=True, help="A seed or a range.")
@click.option("--faults", default=10, show_default=True, help="Faults per seed.")
@click.option("--daemons", default=3, show_default=True, help="Number of daemons.")
@click.option(
    "--crashing", default=0, show_default=True, help="Jobs that crash their workers."
)
@click.option(
    "--services", default=0, show_default=True, help="Long-running jobs, and a wave."
)
@click.option("--customers", is_flag=True, help="Customers with keys and maxima.")
@click.option("--logs", type=click.Path(file_okay=False), help="Directory for logs.")
def main(seeds, faults, daemons, crashing, services, customers, logs):
    """Run the soak test with each seed and report violated guarantees."""
    failed = 0
    for seed in parse_seeds(seeds):
        folder = Path(logs) / str(seed) if logs else None
        if folder:
            folder.mkdir(parents=True, exist_ok=True)
        run = SoakRun(seed, faults, daemons, folder, crashing, services, customers)
        violations = anyio.run(run.run)
        failed += bool(violations)
        click.echo(f"seed {seed}: {'; '.join(violations) or 'no violations'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
