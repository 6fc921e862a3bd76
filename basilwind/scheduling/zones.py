"""Which availability zones are out of reach.

Load pattern: a zone is cut off at the height of a burst, for some seconds. The platform
still lists its hosts as up, but a host that is moved there serves nobody, and one that
is chosen there for maintenance never becomes empty.
"""

MIN_WORKERS = 2  # a single silent worker says nothing about its zone


def silent_zones(workers):
    """Returns the availability zones of which no worker answers.

    Args:
        workers: Pairs of zone and whether the worker answers, for workers of pools
            whose owner could be asked.
    """
    answers = {}
    for zone, is_answering in workers:
        answers.setdefault(zone, []).append(is_answering)
    return {
        zone
        for zone, in_zone in answers.items()
        if len(in_zone) >= MIN_WORKERS and not any(in_zone)
    }
