"""Relays callers' requests unchanged to the endpoints of named services.

Owns routes, freshness of what is known, choice of endpoint, attempts, listeners and the beats that
instances exchange. May import the standard library, ``h11``, ``tornado`` and the product's modules,
never an adapter.
"""
