"""How recent a read of a topic must be before a daemon denies or promises something.

Load pattern: one connection to the store goes silent while the others work, a process
is suspended for some seconds, or the store turns a daemon away and serves its peers.
What the daemon then knows of one topic says nothing of another. Each decision that
rests on the absence of a record therefore takes the read of the very topic that would
have the record, and counts from the time at which that read was *sent*.
"""

from dataclasses import dataclass

JOB_VISIBLE_S = 3.0  # an accepted job is shown by all daemons after this time
# From the check of a read until the caller has the answer, on a slow host.
ANSWER_MARGIN_S = 0.5
MAX_DENIAL_AGE_S = JOB_VISIBLE_S - ANSWER_MARGIN_S


@dataclass(frozen=True, slots=True)
class TopicRead:
    """The latest read that reached the end of a topic.

    Attributes:
        sent_at: Boot time at which it was sent, or None before the first one. All
            records that the topic had then are known.
    """

    sent_at: float | None

    def was_sent_since(self, moment):
        """Returns whether it was sent at a boot time or later."""
        return self.sent_at is not None and self.sent_at >= moment


class IntakeRead(TopicRead):
    """A read of a pool's submissions and cancellations."""

    __slots__ = ()

    def denies_jobs(self, now):
        """Returns whether a job that the pool's owner does not know may be denied."""
        return self.was_sent_since(now - MAX_DENIAL_AGE_S)


class ConfigurationRead(TopicRead):
    """A read of the operator's configuration."""

    __slots__ = ()

    def leads_to_all_pools(self, asked_at):
        """Returns whether the pools of all jobs that are accepted by then are known.

        A job is accepted by a version that the store had before.

        Args:
            asked_at: Boot time at which a caller asked to cancel a job.
        """
        return self.was_sent_since(asked_at)

    def denies_jobs(self, now):
        """Returns whether a job that is in no known pool may be denied."""
        return self.was_sent_since(now - MAX_DENIAL_AGE_S)
