"""Keeps the operator's current configuration and maintenance waves."""

from basilwind.entry.follower import KeyedFollower
from basilwind.errors import RecordInvalid
from basilwind.logs import log
from basilwind.platform.documents import (
    CONFIGURATION_KEY,
    OPERATOR_TOPIC,
    WAVE_KEY_PREFIX,
    decode_configuration,
    decode_wave,
)
from basilwind.scheduling.evidence import ConfigurationRead
from basilwind.scheduling.fleet import Customer, Resources

# With customers, calls and starts depend on a proof that the configuration is the
# newest. With reads of this length an idle proof is at most a second old, less than
# the time in which a key or a maximum must be in force.
FRESH_WAIT_S = 0.5


class ConfigurationWatcher:
    """Follows the topic to which the operator publishes configuration and waves.

    Args:
        store: ``StoreClient``.
        clock: Returns boot time.
        on_change: Called after each change.
        on_version: Called with the ``Configuration`` that is replaced, or None, with
            the one that replaces it, whether versions between them may have been
            missed, and the boot time.
    """

    def __init__(self, store, clock, on_change, on_version=lambda *arguments: None):
        self._current = None
        self._waves = {}
        self._known_queues = {}
        self._known_customers = {}
        self._clock = clock
        self._on_change = on_change
        self._on_version = on_version
        self._follower = KeyedFollower(
            store, OPERATOR_TOPIC, self._apply_records, self._apply_latest, clock
        )

    @property
    def current(self):
        """The current ``Configuration``, or None if none has been read yet."""
        return self._current

    @property
    def confirmed_at(self):
        """Boot time at which the latest complete read was sent, or None.

        Each version that the store had accepted by then has been applied.
        """
        return self._follower.confirmed_at

    @property
    def latest_read(self):
        """The latest ``ConfigurationRead``."""
        return ConfigurationRead(self._follower.confirmed_at)

    async def confirm(self, since):
        """Returns whether each version that the store had at a time is applied.

        Reads the newer ones if needed.

        Args:
            since: Boot time in seconds.
        """
        return await self._follower.confirm(since)

    @property
    def waves(self):
        """Tuples of ``Wave`` and the boot time at which it was received, by number."""
        return self._waves

    def find_queue(self, name):
        """Returns a ``Queue`` by name, or None.

        Queues that were removed from the configuration are still found, since jobs
        may refer to them.
        """
        return self._known_queues.get(name)

    def remember_queue(self, queue):
        """Adds a ``Queue`` of an earlier configuration, unless a later one is known."""
        self._known_queues.setdefault(queue.name, queue)

    def pool_names(self):
        """Returns the names of all pools that run jobs."""
        if self._current is None:
            return []
        return [pool.name for pool in self._current.pools.values() if not pool.is_spare]

    def find_customer(self, name):
        """Returns a ``Customer`` by name, or None if it is unknown.

        Customers that were removed from the configuration are still found, with their
        last maximum. If there are no customers at all, nothing is limited.
        """
        if self._current is not None and self._current.customers is None:
            return Customer(name, 1.0, Resources())
        return self._known_customers.get(name)

    def customer_names(self):
        """Returns the names of all customers that this daemon knows."""
        if self._current is None or self._current.customers is None:
            return []
        return list(self._known_customers)

    async def run(self):
        """Follows the operator's topic."""
        await self._follower.run()

    def _apply_latest(self, records):
        """Applies the newest record of each key, without the versions before."""
        self._apply_records(records, is_gap=True)

    def _apply_records(self, records, is_gap=False):
        for record in records:
            try:
                if record.key == CONFIGURATION_KEY:
                    configuration = decode_configuration(record.value)
                    self._apply_configuration(configuration, is_gap)
                elif record.key.startswith(WAVE_KEY_PREFIX) and record.value:
                    self._add_wave(decode_wave(record.value))
            except RecordInvalid as error:
                log("invalid record ignored", topic=OPERATOR_TOPIC, error=str(error))
        self._on_change()

    def _apply_configuration(self, configuration, is_gap):
        if self._current and configuration.version <= self._current.version:
            return
        log("configuration applied", version=configuration.version)
        self._on_version(self._current, configuration, is_gap, self._clock())
        self._current = configuration
        self._known_queues.update(configuration.queues)
        self._known_customers.update(configuration.customers or {})
        if configuration.customers is not None:
            self._follower.limit_wait(FRESH_WAIT_S)
        # Owners must see each version: a maximum may be raised and lowered in one page.
        self._on_change()

    def _add_wave(self, wave):
        if wave.number not in self._waves:
            log("wave received", wave=wave.number, machines=len(wave.hosts))
            self._waves[wave.number] = (wave, self._clock())
