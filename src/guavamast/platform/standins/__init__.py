"""Stand-ins for the platform's store and engines, with injected faults, for the demo and tests."""
