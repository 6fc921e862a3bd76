"""A randomized soak of real daemons under faults."""
