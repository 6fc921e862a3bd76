import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.models import Outcome, OutcomeKind
from basilwind.peers.messages import RecallState
from basilwind.placement.executions import CLOSED_RETENTION_S, ExecutionRegistry

DONE = Outcome(OutcomeKind.DONE, status=200)
actions = st.lists(
    st.tuples(
        st.sampled_from(("open", "recall", "start", "not_run", "finish")),
        st.sampled_from(("h1", "h2")),
    ),
    max_size=30,
)


class TestExecutionRegistry(unittest.TestCase):
    def test_recall_of_an_unknown_hand_off_refuses_its_late_copy(self):
        registry = ExecutionRegistry()
        self.assertIs(registry.recall("h1", 0.0).state, RecallState.NOT_RUN)
        self.assertIsNone(registry.open("h1"))

    def test_recall_of_a_finished_hand_off_returns_its_outcome(self):
        registry = ExecutionRegistry()
        execution = registry.open("h1")
        execution.start()
        registry.finish(execution, DONE, 0.0)
        reply = registry.recall("h1", 1.0)
        self.assertEqual((reply.state, reply.outcome), (RecallState.FINISHED, DONE))

    def test_closed_hand_offs_are_dropped_after_their_retention(self):
        registry = ExecutionRegistry()
        registry.finish(registry.open("h1"), DONE, 0.0)
        registry.expire(CLOSED_RETENTION_S + 1.0)
        self.assertIsNotNone(registry.open("h1"))

    @given(actions)
    def test_recalled_hand_off_never_starts(self, history):
        registry, executions, recalled, started = ExecutionRegistry(), {}, set(), set()
        for action, name in history:
            execution = executions.get(name)
            if action == "open":
                opened = registry.open(name)
                if name in recalled or execution is not None:
                    self.assertIsNone(opened)
                executions[name] = opened or execution
            elif action == "recall":
                if registry.recall(name, 0.0).state is RecallState.NOT_RUN:
                    recalled.add(name)
                    self.assertNotIn(name, started)
            elif execution is None:
                continue
            elif action == "start" and execution.start():
                self.assertNotIn(name, recalled)
                started.add(name)
            elif action == "not_run":
                execution.return_to_waiting()
                started.discard(name)
            elif action == "finish":
                registry.finish(execution, DONE, 0.0)
                if name not in recalled:
                    started.add(name)
