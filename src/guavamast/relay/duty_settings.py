"""Settings of the duties that one instance at a time performs for the fleet.

An instance without duties imports nothing else of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.node_settings import SocketAddress

DUTY_PREFIX: Final = b"d"
"""First byte of a message about duties."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DutySettings:
    """What the provider of the platform wants to be told, and its time bounds."""

    provider: SocketAddress
    """Address of the provider's API."""
    reports_usage: bool
    """Whether usage is reported to the provider."""
    orders_engines: bool
    """Whether engines are ordered from the provider."""
    fenced: bool
    """Whether the provider rejects calls with an older fencing number."""
    lease_s: float
    """Time in which the duties must not pass to another instance and back."""
    resume_slack_s: float
    """Time after a pause of a process in which its delayed calls may arrive."""
    window_s: float
    """Length of a usage window."""
    usage_due_s: float
    """Time from the end of a window until its usage is due."""
    calls_per_s: float
    """Calls that the provider accepts per second from all instances."""
