"""The daemon of an entry host: callers, pool owners and the fleet planner."""
