"""Randomized soak test of the daemons under injected faults."""
