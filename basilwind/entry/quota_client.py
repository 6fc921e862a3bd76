"""Reports a pool's use of quota to the granter and applies its grants."""

import anyio

from basilwind.entry.auto_reset_event import AutoResetEvent
from basilwind.errors import NotOwner
from basilwind.scheduling.quota import GrantRequest
from basilwind.scheduling.quota_use import measure_uses

CALL_INTERVAL_S = 1.0
# Another pool may need the surplus, and a customer that uses less than half of its
# maximum must not wait for longer than a second.
SURPLUS_INTERVAL_S = 0.4
MIN_PAUSE_S = 0.05  # between calls while quota blocks starts
# While calls bring no grants, as when a customer is at its maximum, further calls only
# take processor time.
MAX_PAUSE_S = 0.4
# The granter may have dropped a row for a configuration that this daemon never saw.
FULL_REPORT_CALLS = 20
# A lowered grant is journalled within 0.1 s unless the store is away.
WRITE_WAIT_S = 1.0


class QuotaClient:
    """Calls the granter for one pool, one call at a time.

    One call at a time matters: a report tells the granter that no answer to an earlier
    call will be applied.

    Args:
        state: ``PoolState``.
        journal: ``JobJournal``.
        request_grants: Coroutine function that takes a ``GrantRequest`` and returns a
            ``GrantResponse``; raises ``NotOwner`` if there is none.
        clock: Returns boot time.
        on_grants: Called after grants have changed.
        count_pools: Returns the number of pools that share the maximums.
    """

    def __init__(
        self, state, journal, request_grants, clock, on_grants, count_pools=lambda: 1
    ):
        self._count_pools = count_pools
        self._is_requested = False
        self._interval_s = CALL_INTERVAL_S
        self._state = state
        self._journal = journal
        self._request_grants = request_grants
        self._clock = clock
        self._on_grants = on_grants
        self._call_event = AutoResetEvent()
        self._pause_s = MIN_PAUSE_S
        self._number = 0
        self._granter_token = None
        # ``UseRow`` by customer that the granter has.
        self._known = {}

    def request_call(self):
        """Requests a call soon, because quota holds up a start."""
        self._is_requested = True
        self._call_event.set()

    async def run(self):
        """Calls the granter until cancelled."""
        while True:
            await self.call()
            await anyio.sleep(self._pause_s)
            await self._call_event.wait(max(0.0, self._interval_s - self._pause_s))
            if not self._is_requested:
                self._pause_s = MIN_PAUSE_S
            self._is_requested = False

    async def call(self):
        """Calls the granter once, if any customer has a limit."""
        book, now = self._state.quota, self._clock()
        rows = book.rows(measure_uses(self._state, now), now)
        if not rows:
            return
        has_surplus = book.has_surplus(rows, self._count_pools())
        self._interval_s = SURPLUS_INTERVAL_S if has_surplus else CALL_INTERVAL_S
        if self._number % FULL_REPORT_CALLS == 0:
            self._known.clear()
        changed = [row for row in rows if self._known.get(row.customer) != row]
        self._number += 1
        request = GrantRequest(
            self._state.name, self._state.token, self._number, changed
        )
        try:
            response = await self._request_grants(request)
        except NotOwner:
            response = None
        if response is None or not book.apply(response, self._clock()):
            # The granter may lack the rows, or have raised what was not applied here.
            self._known.clear()
            self._pause_s = MAX_PAUSE_S
            await self._record_lowered()
            return
        if self._granter_token not in (None, response.token):
            # A new granter knows only what the old one journalled.
            self._known.clear()
            self._call_event.set()
        else:
            # A grant may have been changed by an older configuration here, so that its
            # row stays the same. The granter answers only what it is sent anew.
            answered = {row.customer for row in response.rows}
            self._known = {
                row.customer: row for row in rows if row.customer not in answered
            }
        self._granter_token = response.token
        if response.rows:
            self._pause_s = MIN_PAUSE_S
            self._on_grants()
        else:
            self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)
        await self._record_lowered()

    async def _record_lowered(self):
        """Journals lowered grants and has the granter called again after that."""
        if not self._state.quota.is_record_due:
            return
        with anyio.move_on_after(WRITE_WAIT_S):
            await self._journal.flush()
            self._call_event.set()
