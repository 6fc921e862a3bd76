"""Whether previous owners of a pool may have started tasks without a record.

Load pattern: the store turns a pool's owner away, along with the duty holders that the
owner asks, and serves all others. One of these takes the pool over, while runs of which
the journal knows nothing execute on workers that have not reported to it yet.
"""

import anyio

from basilwind.logs import log


class OutageWitnesses:
    """Asks the daemons that can have confirmed an outage to a previous holder.

    Args:
        duties: ``DutyManager``.
        store_monitor: ``StoreMonitor``.
        announce_takeover: Coroutine function that tells a duty holder, given by its
            ``Claim``, of a takeover and returns its ``DaemonResponse``, or None.
    """

    def __init__(self, duties, store_monitor, announce_takeover):
        self._duties = duties
        self._store_monitor = store_monitor
        self._announce_takeover = announce_takeover

    async def rule_out_outage(self, duty):
        """Returns whether no daemon can have confirmed an outage to previous holders.

        From then on, those that were asked confirm none to them either.

        Args:
            duty: Name of the duty, which this daemon has claimed.
        """
        silent, unanswered = [], []

        async def ask(claim):
            answer = await self._announce_takeover(claim)
            if answer is None:
                unanswered.append(claim.holder)
            elif answer.was_store_silent:
                silent.append(claim.holder)

        witnesses = self._duties.outage_witnesses(duty)
        async with anyio.create_task_group() as tasks:
            for claim in witnesses:
                tasks.start_soon(ask, claim)
        if self._store_monitor.was_silent_recently:
            silent.append("this daemon")
        log(
            "outage witnesses asked",
            duty=duty,
            asked=len(witnesses),
            silent=silent,
            unanswered=unanswered,
        )
        return not silent and not unanswered
