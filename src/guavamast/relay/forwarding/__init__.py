"""Requests that reach endpoints through another instance while the direct path is lost."""

from guavamast.relay.forwarding.choice import ForwarderChoice
from guavamast.relay.forwarding.client import ForwardClient, ForwardedConnection
from guavamast.relay.forwarding.listener import ForwardListener
from guavamast.relay.forwarding.server import ForwardServer

__all__ = [
    "ForwardClient",
    "ForwardListener",
    "ForwardServer",
    "ForwardedConnection",
    "ForwarderChoice",
]
