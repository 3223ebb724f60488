"""Randomized soak: real instances as processes, faults from outside, promises checked meanwhile."""
