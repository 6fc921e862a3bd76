"""System clocks."""

import time


def boot_time():
    """Returns seconds since boot, counting time in suspension.

    Leases and ages use this clock because the monotonic clock stops while the
    system is suspended and wall-clock time may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time():
    """Returns Unix time in seconds; it may jump when the clock is adjusted."""
    return time.time()
