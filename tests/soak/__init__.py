"""Randomized soak: real processes, faults from outside, promises checked meanwhile."""
