"""Distinguishes an outage of the store from a partition of this daemon's zone.

Load pattern: the store stops answering during a burst, with seconds of accepted work
waiting. While no daemon reaches the store, no pool can be taken over, so an owner may
start tasks before its journal has recorded them. A daemon that is cut off together with
its zone must not do so: a successor in another zone would not know of these runs.

The store may also turn some daemons away and serve the others. Those that were asked
may all be among the former, so a confirmed outage proves nothing to a successor: it
expects unrecorded runs unless none of the daemons that can have confirmed an outage to
its predecessor was without the store.
"""

from dataclasses import dataclass

SUSPECT_AFTER_S = 0.6  # heartbeats bring an answer every half second
CONFIRMATION_VALID_S = 0.4  # two rounds of questions to other daemons
# Unrecorded runs execute for up to 9.2 s after the store's last answer.
UNRECORDED_RUN_MAX_S = 10.0
# An owner without the store stops starting tasks 3.5 s after its last answer.
TAKEOVER_VALID_S = 4.0


@dataclass(frozen=True, slots=True)
class StoreSilence:
    """A daemon's answer to the question whether the store serves it.

    Attributes:
        zone: The daemon's availability zone.
        silence_s: Seconds since the store last answered it.
        takeover_age_s: Seconds since it heard of a takeover, or None.
        is_holder: Whether it holds a duty.
    """

    zone: str
    silence_s: float
    takeover_age_s: float | None = None
    is_holder: bool = True

    @property
    def rules_out_outage(self):
        """Whether the store serves it, or has just served a daemon that it knows of."""
        if self.silence_s <= SUSPECT_AFTER_S:
            return True
        return self.takeover_age_s is not None and (
            self.takeover_age_s < TAKEOVER_VALID_S
        )


def is_unavailable_in_all_zones(zone, answers):
    """Returns whether the store is unavailable in other zones as well.

    Args:
        zone: This daemon's availability zone.
        answers: ``StoreSilence`` of each daemon that answered.

    Returns:
        Whether a duty holder of another zone answered, and no daemon ruled out an
        outage. Only duty holders confirm one, as a successor knows them all.
    """
    return any(
        answer.zone != zone and answer.is_holder for answer in answers
    ) and not any(answer.rules_out_outage for answer in answers)
