"""What a pool knows about its customers: shares, rates of jobs, and waiting work."""

import copy
from dataclasses import asdict, replace

from basilwind.scheduling.admission import CustomerWork, admit
from basilwind.scheduling.fair_shares import MIN_WEIGHT, FairShares, JobRates
from basilwind.scheduling.quota_demand import QuotaRoom

# Of jobs on public queues, which share one weight, and of customers whose
# configuration this daemon has not read.
DEFAULT_WEIGHT = 1.0


class CustomerQueues:
    """Orders and admits the jobs of a pool's customers.

    Args:
        find_customer: Returns the ``Customer`` of a name, or None.

    Attributes:
        excess_waiting: Waiting work of excess jobs at the last ranking, core-seconds.
    """

    def __init__(self, find_customer):
        self._find_customer = find_customer
        # ``FairShares`` by priority class. What a customer uses in a higher class takes
        # nothing from its share in a lower one; otherwise its jobs there would starve.
        self._shares = {}
        self._rates = JobRates()
        # ``CustomerWork`` by name at the last measurement.
        self._work = {}
        self.excess_waiting = 0.0

    def copy(self):
        """Returns a copy, to try decisions without effects."""
        duplicate = CustomerQueues(self._find_customer)
        duplicate._shares = copy.deepcopy(self._shares)
        duplicate._rates = copy.deepcopy(self._rates)
        duplicate._work = copy.deepcopy(self._work)
        duplicate.excess_waiting = self.excess_waiting
        return duplicate

    @property
    def has_work(self):
        """Whether any customer had work in the pool at the last measurement."""
        return any(self._work)

    def count_job(self, name, now):
        """Counts a submitted job of a customer; returns whether it is excess."""
        customer = self._find_customer(name) if name else None
        return customer is not None and self._rates.take(customer, now)

    def charge(self, step, work):
        """Charges the customer of a ranked step for started work, core-seconds."""
        name = step.job.customer
        self._shares_of(step.rank).charge(name, self._weight(name), work)

    def refund(self, step, work):
        """Takes back a charge for work that was not started."""
        if step.rank is not None:
            name = step.job.customer
            self._shares_of(step.rank).refund(name, self._weight(name), work)

    def is_at_quota(self, name):
        """Returns whether a customer could start nothing at the last measurement."""
        return name in self._work and self._work[name].is_at_quota

    def quota_room(self, workers):
        """Returns the ``QuotaRoom`` of the customers.

        Args:
            workers: ``WorkerView`` objects of the pool.
        """
        return QuotaRoom(self._find_customer, workers)

    def add_start_tags(self, ranked, task_work, is_overloaded):
        """Adds start tags to the ranks of new steps while the pool is overloaded.

        Args:
            ranked: Pairs of ``Rank`` and ``StepRun``.
            task_work: Returns the expected work of one task of a step, core-seconds.
            is_overloaded: Whether new jobs go by shares.

        Returns:
            The pairs, with start tags if steps of several customers wait.
        """
        groups = {}
        if any(step.job.customer for _, step in ranked):
            for pair in ranked:
                if pair[0].is_new and not pair[0].is_excess:
                    group = groups.setdefault(pair[0].priority, {})
                    group.setdefault(pair[1].job.customer, []).append(pair)
        for priority in self._shares.keys() - groups.keys():
            del self._shares[priority]
        tag_of = {}
        for priority, group in groups.items():
            shares = self._shares.setdefault(priority, FairShares())
            if is_overloaded and len(group) > 1:
                tag_of |= self._tag_group(shares, group, task_work)
            else:
                # Their order needs no tags, but who waits matters to virtual time.
                shares.start_tags({name: (self._weight(name), []) for name in group})
        if not tag_of:
            return ranked
        return [
            (replace(rank, start_tag=tag_of[step]) if step in tag_of else rank, step)
            for rank, step in ranked
        ]

    def _tag_group(self, shares, group, task_work):
        """Returns the start tags of a priority class by step.

        Args:
            shares: Its ``FairShares``.
            group: Pairs of ``Rank`` and ``StepRun`` of its new steps by customer.
            task_work: As for ``add_start_tags``.
        """
        for pairs in group.values():
            pairs.sort(key=lambda pair: pair[0])
        waiting = {
            name: (
                self._weight(name),
                [len(step.waiting()) * task_work(step) for _, step in pairs],
            )
            for name, pairs in group.items()
        }
        tags = shares.start_tags(waiting)
        return {
            step: tag
            for name, pairs in group.items()
            for (_, step), tag in zip(pairs, tags[name], strict=True)
        }

    def start_measuring(self, workers):
        """Starts a new measurement of the customers' work.

        Args:
            workers: ``WorkerView`` objects of the pool.
        """
        self._work = {}
        for worker in workers:
            for task in worker.tasks.values():
                work = self._work_of(task.job.customer)
                work.running_cores += task.spec.cpu / 1000

    def add_work(self, job, ahead, running):
        """Adds a job to the measurement.

        Args:
            job: ``Job``.
            ahead: Its work that goes before a new job, core-seconds.
            running: Work of its running tasks, core-seconds.
        """
        work = self._work_of(job.customer)
        if job.is_excess:
            # What else it has to do goes behind new jobs.
            work.started += min(ahead, running)
        elif job.has_started:
            work.started += ahead
        else:
            work.waiting += ahead

    def admit(self, name, cores, horizon_s, is_overloaded, now):
        """Returns the ``Admission`` of a customer's new job; see ``admission.admit``.

        Args:
            name: Name of the customer; empty for a job without one.
            cores: Cores of the pool's usable workers.
            horizon_s: Time for which a result is of use, seconds.
            is_overloaded: Whether the backlog exceeds what the pool can start in time.
            now: Boot time in seconds.
        """
        customer = self._find_customer(name) if name else None
        refill_s = self._rates.refill_s(customer, now) if customer else 0.0
        own = self._work_of(name)
        works = self._work.values()
        return admit(own, works, cores, horizon_s, refill_s, is_overloaded)

    def _shares_of(self, rank):
        return self._shares.setdefault(rank.priority, FairShares())

    def _work_of(self, name):
        if name not in self._work:
            customer = self._find_customer(name) if name else None
            maximum = customer.maximum.cpu / 1000 if customer else 0.0
            self._work[name] = CustomerWork(self._weight(name), maximum)
        return self._work[name]

    def _weight(self, name):
        customer = self._find_customer(name) if name else None
        return max(customer.weight, MIN_WEIGHT) if customer else DEFAULT_WEIGHT


def describe_rank(step):
    """Returns log fields that tell a customer's step's place; none without customer.

    Args:
        step: A ranked ``StepRun``.
    """
    if not step.job.customer or step.rank is None:
        return {}
    return {"customer": step.job.customer, "rank": asdict(step.rank)}
