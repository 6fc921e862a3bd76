"""A randomized soak test of daemon processes under injected faults."""
