"""In-process model of the owners of pools, the granter of quota, and their messages.

Messages may be late or lost, daemons may be frozen at any step, and superseded daemons
go on as long as the store and the protocol let them. Each start is checked against the
highest maximum that may be in force.
"""

from basilwind.scheduling.fleet import Customer, Resources
from basilwind.scheduling.quota import GrantRequest, GrantResponse, QuotaBook, Use
from basilwind.scheduling.quota_ledger import QuotaLedger

CUSTOMER = "c"
APPLY_S = 3.0
TASK_CPU = 1000
TASK = Resources(TASK_CPU, 10, 0)


class Daemon:
    """What owners and granters share: their view of the configuration."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.read_configuration()

    def read_configuration(self):
        """Reads the newest maximum."""
        self.maximum = self.fleet.versions[-1][1]
        self.confirmed_at = self.fleet.now

    def is_confirmed(self, now):
        """Returns whether the configuration is fresh."""
        return now - self.confirmed_at <= APPLY_S

    def find_customer(self, name):
        """Returns the customer with the known maximum."""
        return Customer(name, 1.0, Resources(cpu=self.maximum))


class Owner(Daemon):
    """The owner of a pool; ``active`` are the tasks that it counts as running."""

    def __init__(self, fleet, pool, token):
        super().__init__(fleet)
        self.pool, self.token = pool, token
        self.book = QuotaBook(self.find_customer, lambda: [CUSTOMER], self.is_confirmed)
        quota, active = fleet.journals[pool]
        if quota is not None:
            self.book.restore(quota)
        self.active = set(active)
        self.orders = {}
        self.waiting = 0
        self.number = 0

    @property
    def used(self):
        """What may be running."""
        return Resources(TASK_CPU * len(self.active), 10 * len(self.active), 0)

    def write(self, is_answered=True):
        """Journals everything; returns False if a successor has fenced this owner."""
        if self.fleet.owners[self.pool] is not self:
            return False
        quota = self.book.begin_record({}) or self.fleet.journals[self.pool][0]
        self.fleet.journals[self.pool] = quota, frozenset(self.active)
        if is_answered:
            self.book.finish_record()
        return True

    def call(self):
        """Returns a request; answers to earlier ones are ignored from now on."""
        self.number += 1
        need = TASK_CPU * (len(self.active) + self.waiting)
        uses = {CUSTOMER: Use(self.used, Resources(need, need // 100, 0))}
        rows = self.book.rows(uses, self.fleet.now)
        return self, GrantRequest(self.pool, self.token, self.number, rows)

    def apply(self, request, response):
        """Applies an answer, unless its call was given up."""
        if request.number == self.number:
            self.book.apply(response, self.fleet.now)

    def schedule(self):
        """Starts waiting tasks within quota; returns how many orders were given."""
        now = self.fleet.now
        self.book.begin_round(now)
        count = 0
        while self.waiting:
            if self.book.room(CUSTOMER, self.used, now).cpu < TASK_CPU:
                self.book.note_blocked(CUSTOMER, self.used, TASK, now)
                break
            self.waiting -= 1
            count += 1
            task = self.fleet.new_task()
            self.active.add(task)
            self.orders[task] = now
        if count and not self.write():
            # The orders wait for their record for ever.
            self.orders.clear()
        return count

    def send(self, task):
        """Sends an order, which the worker executes unless it knows a successor."""
        ordered_at, now = self.orders.pop(task), self.fleet.now
        book = self.book
        book.note_limits(now)
        is_covered = self.used.cpu <= book.grant(CUSTOMER).cpu
        is_lowered = book.was_lowered_since(CUSTOMER, ordered_at)
        if book.may_start(CUSTOMER, now) and (is_covered or not is_lowered):
            self.fleet.run(self.pool, task)
        else:
            self.active.discard(task)

    def learn(self):
        """Learns which runs have ended or cannot start any more."""
        for other in self.fleet.all_owners:
            if other.pool == self.pool and other is not self:
                other.orders.clear()
        running = self.fleet.runs[self.pool]
        self.active = {
            task for task in self.active if task in running or task in self.orders
        }


class Granter(Daemon):
    """The holder of the duty, with answers that wait for the journal."""

    def __init__(self, fleet, token):
        super().__init__(fleet)
        self.token = token
        self.sequence = 0
        self.ledger = QuotaLedger(self.find_customer)
        for pool, data in fleet.topic.items():
            self.ledger.restore(pool, data)
        self.pending = []

    def receive(self, owner, request):
        """Handles a report; the answer may have to wait for ``write``."""
        if not self.ledger.apply_report(request):
            return
        now = self.fleet.now
        rows, has_raise = self.ledger.answer(
            request.pool, self.fleet.pools, self.is_confirmed(now), now
        )
        if has_raise:
            self.pending.append((owner, request, rows))
        else:
            self._respond(owner, request, rows)

    def write(self):
        """Journals the ledger and sends the waiting answers, unless it is fenced."""
        if self.fleet.granter is not self:
            return
        for pool in self.ledger.dirty:
            self.fleet.topic[pool] = self.ledger.encode(pool)
        self.ledger.dirty.clear()
        for answer in self.pending:
            self._respond(*answer)
        self.pending.clear()

    def _respond(self, owner, request, rows):
        self.sequence += 1
        response = GrantResponse(self.token, self.sequence, rows)
        self.fleet.responses.append((owner, request, response))


class QuotaFleet:
    """Pools with their owners, a granter and the operator's configuration.

    Args:
        fail: Called with a message if a start exceeds what may be running.
        maximum: First maximum, millicores.
        pools: Number of pools.
    """

    def __init__(self, fail, maximum=8000, pools=3):
        self._fail = fail
        self._last_task = 0
        self.now = 1000.0
        self.versions = [(0.0, maximum)]
        self.pools = [f"p{n}" for n in range(pools)]
        self.journals = {pool: (None, frozenset()) for pool in self.pools}
        self.topic = {}
        self.runs = {pool: set() for pool in self.pools}
        self.responses, self.requests = [], []
        self.all_owners, self.all_granters = [], []
        self.owners = {}
        for pool in self.pools:
            self.take_over(pool)
        self.replace_granter()

    def new_task(self):
        """Returns the number of a new task."""
        self._last_task += 1
        return self._last_task

    def take_over(self, pool):
        """Replaces the owner of a pool; the old one does not know it."""
        owner = Owner(self, pool, len(self.all_owners) + 1)
        self.all_owners.append(owner)
        self.owners[pool] = owner

    def replace_granter(self):
        """Replaces the granter; the old one does not know it."""
        self.granter = Granter(self, len(self.all_granters) + 1)
        self.all_granters.append(self.granter)

    def publish(self, maximum):
        """Publishes a configuration with another maximum."""
        self.versions.append((self.now, maximum))

    def highest_maximum(self):
        """Returns the highest maximum that may be in force."""
        following = [published_at for published_at, _ in self.versions[1:]]
        return max(
            maximum
            for (_, maximum), replaced_at in zip(
                self.versions, [*following, self.now], strict=True
            )
            if self.now - replaced_at <= APPLY_S
        )

    def run(self, pool, task):
        """Executes a start and checks it."""
        self.runs[pool].add(task)
        total = TASK_CPU * sum(map(len, self.runs.values()))
        if total > self.highest_maximum():
            self._fail(f"{total} run within a maximum of {self.highest_maximum()}")

    # Without faults

    def exchange(self, pool):
        """Has an owner call the granter once and journal what it lowered."""
        owner, request = self.owners[pool].call()
        self.granter.receive(owner, request)
        self.granter.write()
        for other, answered, response in self.responses:
            other.apply(answered, response)
        self.responses.clear()
        owner.write()

    def settle(self, rounds=4):
        """Has all owners exchange messages with the granter."""
        for _ in range(rounds):
            for pool in self.pools:
                self.exchange(pool)

    def start(self, pool, tasks):
        """Submits tasks; returns how many of all waiting ones run at once."""
        owner = self.owners[pool]
        owner.waiting += tasks
        owner.schedule()
        orders = list(owner.orders)
        for task in orders:
            owner.send(task)
        return len(orders)

    def finish(self, pool):
        """Ends all runs of a pool; its owner learns it."""
        self.runs[pool].clear()
        self.owners[pool].learn()
