import unittest

from basilwind.scheduling.pacing import pace_worker
from tests.scheduling.model import PoolModel, make_job


class TestPacing(unittest.TestCase):
    """Fillers beside serving tasks whose tail latency changes within seconds."""

    def _worker(self, load):
        model = PoolModel(self.fail, workers=1)
        model.submit("serving", make_job(1, is_lasting=True, tail_target_ms=100.0))
        model.submit("filler", make_job(1, is_lasting=True, is_filler=True))
        model.hold()
        model.schedule()
        model.reported_progress["serving.0.0.0"] = (100, load)
        model.hold()
        return model, model.state.workers["w0"]

    def test_tail_latency_over_its_target_cuts_fillers_sharply(self):
        model, worker = self._worker(load=150)
        percents = []
        for _ in range(4):
            (order, *_) = pace_worker(worker, model.now) or [None]
            if order is None:
                break
            percents.append(order.pace_percent)
            model.state.apply_pace(order, model.now)
            model.advance(1.0)
        self.assertEqual(percents, [40, 16, 0])

    def test_low_tail_latency_raises_fillers_slowly(self):
        model, worker = self._worker(load=20)
        filler = next(task for task in model.all_tasks() if task.spec.is_filler)
        filler.pace_percent = 40
        (order,) = pace_worker(worker, model.now)
        self.assertEqual(order.pace_percent, 55)

    def test_pace_stays_until_the_last_change_takes_effect(self):
        model, worker = self._worker(load=150)
        (order,) = pace_worker(worker, model.now)
        model.state.apply_pace(order, model.now)
        self.assertEqual(pace_worker(worker, model.now + 0.3), [])
