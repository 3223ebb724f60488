"""Duties that one instance at a time performs for the fleet, and reports to it."""

from guavamast.relay.duties.components import Duties
from guavamast.relay.duties.usage_counter import UsageCounter

__all__ = ["Duties", "UsageCounter"]
