"""Runs what the duties held here ask for, each until its token is lost."""

import anyio

from basilwind.errors import ProducerFenced
from basilwind.logs import log


class Holdings:
    """The work of this daemon's duties.

    Args:
        duties: ``Duties``.
        make: Returns the work for a duty and its token, an object with ``token``
            and a coroutine method ``run``; or None if there is nothing to do.
    """

    def __init__(self, duties, make):
        self._duties = duties
        self._make = make
        self._works = {}
        self._scopes = {}

    def find(self, duty):
        """Returns the work of a duty, or None."""
        return self._works.get(duty)

    def with_prefix(self, prefix):
        """Returns the works of all duties whose names begin with a prefix."""
        return [work for duty, work in self._works.items() if duty.startswith(prefix)]

    def follow(self, tasks):
        """Ends the work of lost duties and begins that of new ones.

        Args:
            tasks: Task group for what begins.
        """
        mine = self._duties.mine()
        for duty, work in list(self._works.items()):
            if mine.get(duty) != work.token:
                self._drop(duty)
        for duty, token in mine.items():
            if duty in self._works:
                continue
            work = self._make(duty, token)
            if work is not None:
                self._works[duty] = work
                tasks.start_soon(self._run, duty, work)

    def note_fenced(self, duty, token):
        """Gives a duty up after a refusal for a lower token."""
        if self._duties.mine().get(duty) == token:
            self._duties.abandon(duty)

    def _drop(self, duty):
        work = self._works.pop(duty)
        scope = self._scopes.pop(work, None)
        if scope is not None:
            scope.cancel()

    async def _run(self, duty, work):
        with anyio.CancelScope() as scope:
            if self._works.get(duty) is not work:
                # Lost before it began.
                return
            self._scopes[work] = scope
            try:
                await work.run()
            except* ProducerFenced as error:
                log("duty fenced", duty=duty, token=work.token, error=str(error))
                self.note_fenced(duty, work.token)
