"""Runs the work of each duty held here until its token is lost."""

import traceback

import anyio

from basilwind.errors import ProducerFenced
from basilwind.logs import log


class DutyRunner:
    """Starts and cancels the work of this daemon's duties.

    Args:
        duties: ``DutyManager``.
        create_work: Takes a duty and its token and returns an object with ``token`` and
            a coroutine method ``run``, or None if there is nothing to do.
    """

    def __init__(self, duties, create_work):
        self._duties = duties
        self._create_work = create_work
        self._work_by_duty = {}
        self._scopes = {}

    def find(self, duty):
        """Returns the running work of a duty, or None."""
        return self._work_by_duty.get(duty)

    def find_by_prefix(self, prefix):
        """Returns the work of all duties whose names begin with a prefix."""
        return [
            work for duty, work in self._work_by_duty.items() if duty.startswith(prefix)
        ]

    def sync(self, tasks):
        """Cancels the work of lost duties and starts the work of new ones.

        Args:
            tasks: Task group in which new work runs.
        """
        held = self._duties.held_tokens()
        for duty, work in list(self._work_by_duty.items()):
            if held.get(duty) != work.token:
                self._cancel_work(duty)
        for duty, token in held.items():
            if duty in self._work_by_duty:
                continue
            work = self._create_work(duty, token)
            if work is not None:
                self._work_by_duty[duty] = work
                tasks.start_soon(self._run, duty, work)

    def handle_fenced(self, duty, token):
        """Gives up a duty after an operation with ``token`` was fenced."""
        if self._duties.held_tokens().get(duty) == token:
            self._duties.mark_lost(duty)

    def _cancel_work(self, duty):
        work = self._work_by_duty.pop(duty)
        scope = self._scopes.pop(work, None)
        if scope is not None:
            scope.cancel()

    async def _run(self, duty, work):
        with anyio.CancelScope() as scope:
            if self._work_by_duty.get(duty) is not work:
                # The duty was lost before its work started.
                return
            self._scopes[work] = scope
            try:
                await work.run()
            except* ProducerFenced as error:
                log("duty fenced", duty=duty, token=work.token, error=str(error))
                self.handle_fenced(duty, work.token)
            except* Exception as error:
                # The state of the work can't be trusted any more. Claiming the duty
                # again restores it from the store under a new token.
                log(
                    "duty failed",
                    duty=duty,
                    token=work.token,
                    error="".join(traceback.format_exception(error)),
                )
                self.handle_fenced(duty, work.token)
