"""Measurements of the decisions and daemons; run with ``make bench``."""
