"""Stand-ins of the platform's store and engines, with faults, for the demo and tests."""
