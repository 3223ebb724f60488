"""One instance of the relay: its components and its life in one process and loop."""

from guavamast.relay.node.node import STANDARD_OUTPUT, Node

__all__ = ["STANDARD_OUTPUT", "Node"]
