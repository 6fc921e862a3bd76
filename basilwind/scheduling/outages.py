"""Whether the store is away for everybody, or for this daemon only.

Load pattern: the store falls silent in a turn, with seconds of accepted work waiting.
Nobody can take a pool over while nobody reaches the store, so its owner may start
tasks that its journal doesn't have yet. A daemon that is cut off with its zone must
not: a successor elsewhere would not know of them.
"""

SUSPECT_AFTER_S = 0.6  # heartbeats bring an answer each half second
CONFIRMATION_VALID_S = 0.4  # two rounds of questions
UNRECORDED_RUN_MAX_S = (
    10.0  # leases of unrecorded runs last 8.2 s beyond the last answer
)


def is_unavailable_in_all_zones(zone, answers):
    """Tells whether the store is away for other zones as well.

    Args:
        zone: This daemon's availability zone.
        answers: Pairs of zone and time since the store last answered there, seconds,
            of all daemons that could be asked.
    """
    return any(other != zone for other, _ in answers) and all(
        silence_s > SUSPECT_AFTER_S for _, silence_s in answers
    )
