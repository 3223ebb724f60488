"""Adapter to the users' platform: its names, formats and calls. Decides nothing.

May import the relay's types; nothing but the command that starts it imports this package.
"""
