"""Handlers of queries from the platform and callers: addresses, readiness and metrics."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.caller_addresses import VALIDITY_S, CallerLocation, choose_addresses
from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.relay.query_listener import QueryHandler

if TYPE_CHECKING:
    from guavamast.relay.node import Node

_JSON = "application/json"
_TEXT = "text/plain"


class NodeQueryHandler(QueryHandler):
    """Base of the handlers of queries about one instance.

    Args:
        node: The queried instance.
    """

    def __init__(self, *, node: Node) -> None:
        self._node = node


class AddressQueryHandler(NodeQueryHandler):
    """``GET /v1/resolve``: addresses for a caller."""

    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        """Return the addresses for the caller's location."""
        if path != "/v1/resolve":
            return None
        fields = parse_qs(query)
        location = CallerLocation(
            region=fields.get("region", [""])[0],
            failure_domain=fields.get("zone", [""])[0],
        )
        addresses = choose_addresses(
            location,
            self._node.list_serving(),
            self._node.list_fallback(),
            unreaching=self._node.list_unreaching(),
        )
        body = json.dumps({"addresses": addresses, "ttl_s": VALIDITY_S})
        return 200, _JSON, body


class ReadinessQueryHandler(NodeQueryHandler):
    """``GET /v1/ready``: whether this instance accepts new requests."""

    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        """Return 200 when callers may connect, otherwise 503."""
        del query
        if path != "/v1/ready":
            return None
        state = self._node.state
        return 200 if state is InstanceState.SERVING else 503, _TEXT, f"{state}\n"


class MetricsQueryHandler(NodeQueryHandler):
    """``GET /metrics``."""

    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        """Return all metrics as text."""
        del query
        if path != "/metrics":
            return None
        now = read_boot_time()
        counters = self._node.counters
        ages = self._node.fleet_state.round_ages(now=now)
        counters.set("config_age_seconds", ages.config_s)
        counters.set("endpoints_age_seconds", ages.endpoints_s)
        counters.set("instances_live", 1 + len(self._node.peers.list_live(now=now)))
        return 200, _TEXT, counters.render()
