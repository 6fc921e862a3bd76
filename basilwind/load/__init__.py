"""Load generation, and verification of outcomes against the workers' ledgers."""
