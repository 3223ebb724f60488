"""Randomized fault soak: instances as processes under injected faults, guarantees checked."""
