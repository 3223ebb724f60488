"""Adapter to the users' platform: its settings, wire formats and store client. It decides nothing.

It may import the relay's types; only the command that starts it imports this package.
"""
