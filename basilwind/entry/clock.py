"""Clocks of the machine."""

import time


def boot_time():
    """Returns seconds since boot, counting time in suspension.

    Leases and ages are measured with it: the steady clock stands still while a
    machine is suspended, and the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time():
    """Returns Unix time in seconds; it may jump."""
    return time.time()
