"""Stand-ins for the platform and the workers, for demos and tests."""
