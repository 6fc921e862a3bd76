"""Decides whether a call's key is accepted, and which customer it belongs to.

The operator may withdraw a key at any time, and a daemon may be cut off from the store
or be suspended. Its configuration is therefore trusted for a limited time only, counted
from ``ConfigurationWatcher.confirmed_at``.

That time is the boot time at which the latest returned read of the operator's topic was
*sent*, so every version that the store had acknowledged by then is applied. If a key is
accepted at ``now <= confirmed_at + revoke_s``, a version that withdraws it was
acknowledged after ``confirmed_at``, hence less than ``revoke_s`` before ``now``, and
the call was sent no later than ``now``. Boot time includes suspension, and a new
process has no ``confirmed_at``, so neither trusts a read that is older than that.
"""

import enum
from dataclasses import dataclass

# Allows for clocks whose rates differ by 1% (0.05 s in 5 s), and for a store that
# acknowledges a version up to 0.2 s before all reads return it.
MARGIN_S = 0.25
KEY_HEADER = "x-key"


class KeyOutcome(enum.Enum):
    """Whether a key is accepted."""

    ALLOWED = "allowed"
    # No customer has the key.
    UNKNOWN = "unknown"
    # The configuration may be too old to tell.
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """Decision about the key of a call.

    Attributes:
        outcome: ``KeyOutcome``.
        customer: Name of the customer to whom the call belongs; empty if there is none.
    """

    outcome: KeyOutcome
    customer: str = ""


UNKNOWN = KeyDecision(KeyOutcome.UNKNOWN)
STALE = KeyDecision(KeyOutcome.STALE)
NO_CUSTOMER = KeyDecision(KeyOutcome.ALLOWED)


class KeyRing:
    """Finds the customers of keys in the operator's configuration.

    Args:
        configuration_watcher: ``ConfigurationWatcher``.
        settings: ``EntryHostSettings``.
    """

    def __init__(self, configuration_watcher, settings):
        self._configuration_watcher = configuration_watcher
        self._settings = settings

    def authenticate(self, queue, key, now):
        """Decides about a call.

        Args:
            queue: ``Queue`` that is called.
            key: Key of the call; empty if it has none.
            now: Boot time in seconds, taken after the call arrived.

        Returns:
            A ``KeyDecision``.
        """
        configuration = self._configuration_watcher.current
        if configuration is None:
            return STALE
        if configuration.customers is None or queue.is_public:
            return NO_CUSTOMER
        customer = configuration.key_owners.get(key)
        if customer is None:
            return UNKNOWN if self.is_in_force(now) else STALE
        if self._settings.has_strict_revocation and not self._is_confirmed_within(
            self._settings.revoke_s, now
        ):
            return STALE
        return KeyDecision(KeyOutcome.ALLOWED, customer)

    def is_in_force(self, now):
        """Returns whether no newer configuration can have come into force.

        Args:
            now: Boot time in seconds.
        """
        return self._is_confirmed_within(self._settings.config_apply_s, now)

    def _is_confirmed_within(self, period_s, now):
        confirmed_at = self._configuration_watcher.confirmed_at
        return confirmed_at is not None and now - confirmed_at <= period_s - MARGIN_S
