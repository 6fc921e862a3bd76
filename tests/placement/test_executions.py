import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.models import Outcome, OutcomeKind
from basilwind.peers.messages import RecallState
from basilwind.placement.executions import KEEP_S, ExecutionRegistry

DONE = Outcome(OutcomeKind.DONE, status=200)
actions = st.lists(
    st.tuples(
        st.sampled_from(("open", "recall", "start", "not_run", "finish")),
        st.sampled_from(("h1", "h2")),
    ),
    max_size=30,
)


class TestCustodyBook(unittest.TestCase):
    def test_recall_of_an_unknown_hand_off_leaves_a_tombstone(self):
        book = ExecutionRegistry()
        self.assertIs(book.recall("h1", 0.0).state, RecallState.NOT_RUN)
        self.assertIsNone(book.open("h1"))

    def test_recall_of_a_finished_hand_off_tells_its_outcome(self):
        book = ExecutionRegistry()
        custody = book.open("h1")
        custody.start()
        book.finish(custody, DONE, 0.0)
        reply = book.recall("h1", 1.0)
        self.assertEqual((reply.state, reply.outcome), (RecallState.FINISHED, DONE))

    def test_closed_hand_offs_are_forgotten_in_time(self):
        book = ExecutionRegistry()
        book.finish(book.open("h1"), DONE, 0.0)
        book.expire(KEEP_S + 1.0)
        self.assertIsNotNone(book.open("h1"))

    @given(actions)
    def test_a_hand_off_that_was_given_back_never_starts(self, history):
        book, custodies, given_back, started = ExecutionRegistry(), {}, set(), set()
        for action, name in history:
            custody = custodies.get(name)
            if action == "open":
                opened = book.open(name)
                if name in given_back or custody is not None:
                    self.assertIsNone(opened)
                custodies[name] = opened or custody
            elif action == "recall":
                if book.recall(name, 0.0).state is RecallState.NOT_RUN:
                    given_back.add(name)
                    self.assertNotIn(name, started)
            elif custody is None:
                continue
            elif action == "start" and custody.start():
                self.assertNotIn(name, given_back)
                started.add(name)
            elif action == "not_run":
                custody.return_to_waiting()
                started.discard(name)
            elif action == "finish":
                book.finish(custody, DONE, 0.0)
                if name not in given_back:
                    started.add(name)
