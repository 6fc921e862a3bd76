"""The daemon of an entry host: caller API, pool owners and fleet planner."""
