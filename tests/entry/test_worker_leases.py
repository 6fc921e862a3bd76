import types
import unittest

import anyio

from basilwind.entry.auto_reset_event import AutoResetEvent
from basilwind.entry.worker_leases import WorkerLeaseRenewer
from basilwind.errors import CallRefused, NoListener
from basilwind.scheduling.jobs import TaskState
from tests.scheduling.model import LEASE_S, PoolModel, make_entry, make_job
from tests.utils.entry_fakes import Clock, make_services

RUN_S = 0.05  # several hold calls


class TestWorkerLeaseRenewer(unittest.TestCase):
    """A worker drains and has left the registry while a task runs there."""

    def setUp(self):
        model = PoolModel(self.fail, workers=1)
        model.submit("job", make_job(count=1))
        model.hold()
        model.schedule()
        model.hold()
        model.workers["w0"].entry = make_entry("w0", is_draining=True)
        model.refresh()
        model.refresh([])
        self.state = model.state
        (self.task,) = model.all_tasks()

    def _hold(self, error):
        """Sends hold calls that end with an error."""

        async def hold(*arguments):
            raise error

        async def main():
            services = make_services(Clock())
            services.worker_control = types.SimpleNamespace(hold=hold)
            renewer = WorkerLeaseRenewer(
                services,
                self.state,
                None,
                LEASE_S,
                AutoResetEvent(),
                lambda worker: None,
                lambda worker, now: None,
            )
            with anyio.move_on_after(RUN_S):
                await renewer.run(self.state.workers["w0"])

        anyio.run(main)

    def test_draining_worker_to_which_no_path_led_was_taken_for_gone(self):
        self._hold(CallRefused("no route to host"))
        self.assertIs(self.task.state, TaskState.RUNNING)

    def test_tasks_of_a_draining_worker_that_has_exited_are_requeued(self):
        self._hold(NoListener("connection refused"))
        self.assertIs(self.task.state, TaskState.WAITING)
        self.assertEqual(self.state.workers, {})


if __name__ == "__main__":
    unittest.main()
