"""Routes, requests and records for the tests of the relay."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any
from unittest import mock

from guavamast.relay.catalog import (
    CallerLimits,
    CallerOrganisation,
    Catalog,
    Route,
    RouteKind,
    WeightedService,
)
from guavamast.relay.connection_pool import ConnectionPool
from guavamast.relay.direct_connector import DirectConnector
from guavamast.relay.endpoint_connection import PathLost
from guavamast.relay.endpoint_connector import EndpointConnector
from guavamast.relay.endpoint_table import EndpointRecord
from guavamast.relay.forwarding import ForwardClient
from guavamast.relay.messages import CallerRequest, PromptPart
from guavamast.relay.placement.engine_profile import EngineProfile
from guavamast.relay.reachability import ReachabilityMonitor
from guavamast.relay.staleness import StalenessBounds
from guavamast.relay.store import InstanceRecord
from guavamast.relay.stream_binding import SoftwareVersions

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.fleet_state import FleetState

LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=65_536, header_timeout_s=3.0, idle_timeout_s=15.0
)

BOUNDS = StalenessBounds(change_s=2.0, leaving_s=2.0, revocation_s=5.0)

PROFILE = EngineProfile(
    first_event_ms=72.0,
    read_tokens_per_ms=60.0,
    token_ms=4.4,
    run_ms=1_600.0,
    reading_pause_ms=90.0,
)
"""Engine performance measured on a day of heavy load, with 64 concurrent requests."""


def build_route(**changes: Any) -> Route:
    """Return a route of a plain idempotent service, with changes."""
    values: dict[str, Any] = {
        "name": "status",
        "host": "portal.example",
        "path_prefix": "/status/",
        "kind": RouteKind.IDEMPOTENT,
        "services": (WeightedService(service="portal", weight=1.0),),
        "timeout_s": 0.8,
        "objective_s": 0.3,
        "longest_pause_s": None,
        "max_endpoints": 2,
        "urgency": 2,
        "needs_key": True,
        "resumable": False,
    }
    return Route(**(values | changes))


def build_catalog(*routes: Route, row_version: int = 5) -> Catalog:
    """Return a configuration with one organisation whose key is ``good``."""
    return Catalog(
        version=row_version * 10,
        row_version=row_version,
        routes=list(routes) or [build_route()],
        services=[],
        organisations={"good": CallerOrganisation(name="bakery", urgency=None)},
        limits=LIMITS,
    )


def build_request(**changes: Any) -> CallerRequest:
    """Return a request to the route of `build_route`, with changes."""
    values: dict[str, Any] = {
        "request_id": "r1",
        "method": "GET",
        "target": "/status/7",
        "host": "portal.example",
        "headers": (),
        "body": b"",
        "has_body": False,
        "api_key": "good",
        "timeout_s": 1.5,
        "prompt_parts": (),
        "prompt_tokens": 0,
        "output_tokens": 0,
        "received_at": 100.0,
    }
    return CallerRequest(**(values | changes))


def build_instance(name: str, *, domain: str = "a", port: int = 0) -> InstanceRecord:
    """Return the record of an instance."""
    return InstanceRecord(
        name=name,
        ip="127.0.0.1",
        failure_domain=domain,
        region="r",
        callers_address=f"{name}:1",
        peer_port=port,
        link_mbps=100.0,
        processor_share=1.0,
    )


def build_endpoint(name: str, **changes: Any) -> EndpointRecord:
    """Return a ready endpoint, with changes."""
    values: dict[str, Any] = {
        "endpoint_id": name,
        "row_version": 1,
        "service": "portal",
        "host": "127.0.0.1",
        "port": 9,
        "failure_domain": "a",
        "slots": 6,
        "ready": True,
        "started_ms": 1,
        "software_version": "v1",
    }
    return EndpointRecord(**(values | changes))


def build_parts(*entries: tuple[str, int]) -> tuple[PromptPart, ...]:
    """Return prompt parts from ids and tokens."""
    return tuple(PromptPart(part_id=part_id, tokens=tokens) for part_id, tokens in entries)


def build_versions(fleet_state: FleetState) -> SoftwareVersions:
    """Return what tells the software of endpoints, of an instance that never reads the store."""
    return SoftwareVersions(
        fleet_state=fleet_state, read_endpoints=mock.AsyncMock(), read_time=lambda: 0.0
    )


def build_connector(
    fleet_state: FleetState, *, read_time: Callable[[], float]
) -> EndpointConnector:
    """Return a connector of an instance that knows no other instance."""
    monitor = ReachabilityMonitor()
    direct = DirectConnector(
        pool=ConnectionPool(),
        monitor=monitor,
        fleet_state=fleet_state,
        on_blocked=mock.Mock(),
        on_restored=mock.Mock(),
        random=Random(1),
        read_time=read_time,
    )
    forwarding = mock.create_autospec(ForwardClient, instance=True)
    forwarding.connect.side_effect = PathLost("no other instance")
    return EndpointConnector(direct=direct, forwarding=forwarding, monitor=monitor)
