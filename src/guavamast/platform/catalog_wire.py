"""Decoder of the operators' configuration as the platform's store holds it."""

from __future__ import annotations

from typing import Any

from guavamast.decoding import Decoding
from guavamast.relay.catalog import (
    URGENCY_DEFAULT,
    CallerLimits,
    CallerOrganisation,
    Catalog,
    Route,
    RouteKind,
    ScalingSettings,
    ServiceSettings,
    WeightedService,
)

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


def decode_catalog(fields: Any, *, row_version: int) -> Catalog:
    """Decode the configuration of a row.

    Args:
        fields: The row's decoded value.
        row_version: The row's version in the store.

    Raises:
        MalformedData: The value is not a valid configuration.
    """
    with Decoding("configuration"):
        return _decode_fields(fields, row_version=row_version)


def _decode_fields(fields: dict[str, Any], *, row_version: int) -> Catalog:
    tenants = fields.get("tenants")
    return Catalog(
        version=int(fields["version"]),
        row_version=row_version,
        routes=[_decode_route(entry) for entry in fields["routes"]],
        services=[_decode_service(entry) for entry in fields["services"]],
        organisations=None if tenants is None else _decode_tenants(tenants),
        limits=_decode_limits(fields.get("limits") or {}),
    )


def _decode_route(entry: dict[str, Any]) -> Route:
    split = entry.get("split")
    if split:
        services = tuple(
            WeightedService(service=part["service"], weight=float(part["weight"])) for part in split
        )
    else:
        services = (WeightedService(service=entry["service"], weight=1.0),)
    pause_ms = entry.get("target_gap_ms")
    timeout_s = float(entry.get("timeout_ms") or 60_000) / 1000.0
    objective_ms = entry.get("target_latency_ms")
    return Route(
        name=str(entry.get("name", "")),
        host=entry["host"],
        path_prefix=entry["path_prefix"],
        # An unknown kind is treated as non-idempotent, which must not run twice.
        kind=_ROUTE_KINDS.get(entry.get("kind", ""), RouteKind.NON_IDEMPOTENT),
        services=services,
        timeout_s=timeout_s,
        objective_s=float(objective_ms) / 1000.0 if objective_ms else timeout_s,
        longest_pause_s=float(pause_ms) / 1000.0 if pause_ms else None,
        max_endpoints=max(1, int(entry.get("max_attempts") or 1)),
        urgency=_decode_urgency(entry.get("priority"), URGENCY_DEFAULT),
        needs_key=not entry.get("auth_exempt", False),
        resumable=bool(entry.get("resumable", False)),
    )


def _decode_urgency(value: object, default: int | None) -> Any:
    """Return an urgency of 0 to 9; the platform calls it priority, and 0 is the highest."""
    if value is None:
        return default
    return min(9, max(0, int(value)))  # type: ignore[call-overload]


def _decode_service(entry: dict[str, Any]) -> ServiceSettings:
    engine = entry.get("engine")
    return ServiceSettings(
        name=entry["name"],
        health_path=entry.get("health_path") or "/",
        max_connections=int(entry.get("max_connections") or 64),
        kv_capacity_tokens=int(engine.get("kv_capacity_tokens") or 0) if engine else None,
        scaling=_decode_scaling(entry.get("scaling")),
    )


def _decode_scaling(entry: dict[str, Any] | None) -> ScalingSettings | None:
    """Return the bounds of a service's engines; None if none can be ordered."""
    if not entry:
        return None
    spot_price = entry.get("spot_price")
    return ScalingSettings(
        min_engines=int(entry.get("min") or 0),
        max_engines=int(entry["max"]),
        start_s=float(entry.get("boot_s") or 0.0),
        reclaimable_price=None if spot_price is None else float(spot_price),
        domain_prices={
            str(zone): float(price) for zone, price in (entry.get("zone_prices") or {}).items()
        },
    )


def _decode_tenants(tenants: list[dict[str, Any]]) -> dict[str, CallerOrganisation]:
    by_key = {}
    for tenant in tenants:
        organisation = CallerOrganisation(
            name=tenant["name"], urgency=_decode_urgency(tenant.get("priority"), None)
        )
        for key in tenant.get("api_keys") or ():
            by_key[key] = organisation
    return by_key


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(entry.get("max_header_bytes") or 65_536),
        body_bytes=int(entry.get("max_body_bytes") or 16_777_216),
        header_timeout_s=float(entry.get("header_timeout_ms") or 10_000) / 1000.0,
        idle_timeout_s=float(entry.get("idle_timeout_ms") or 60_000) / 1000.0,
    )
