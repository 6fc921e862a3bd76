"""Distinguishes an outage of the store from a partition of this daemon's zone.

Load pattern: the store stops answering during a burst, with seconds of accepted work
waiting. While no daemon reaches the store, no pool can be taken over, so an owner may
start tasks before its journal has recorded them. A daemon that is cut off together with
its zone must not do so: a successor in another zone would not know of these runs.
"""

SUSPECT_AFTER_S = 0.6  # heartbeats bring an answer every half second
CONFIRMATION_VALID_S = 0.4  # two rounds of questions to other daemons
# Leases of unrecorded runs last up to 8.2 s after the store's last answer.
UNRECORDED_RUN_MAX_S = 10.0


def is_unavailable_in_all_zones(zone, answers):
    """Returns whether the store is unavailable in other zones as well.

    Args:
        zone: This daemon's availability zone.
        answers: Pairs of zone and seconds since the store last answered a daemon there,
            for all daemons that could be asked.

    Returns:
        Whether a daemon of another zone answered, and the store has answered none
        of those that did for more than ``SUSPECT_AFTER_S``.
    """
    return any(other != zone for other, _ in answers) and all(
        silence_s > SUSPECT_AFTER_S for _, silence_s in answers
    )
