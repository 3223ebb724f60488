"""Relays callers' requests unchanged to the endpoints of named services.

Owns routes, the freshness of shared state, endpoint selection, attempts, listeners and the
heartbeats that instances exchange. May import the standard library, ``h11``, ``tornado`` and the
product's modules, never an adapter.
"""
