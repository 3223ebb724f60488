"""Endpoint records and placements of simulated engines and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.catalog import Route, RouteKind, WeightedService
from guavamast.relay.endpoint_table import EndpointRecord
from guavamast.relay.placement.length_buckets import find_bucket
from guavamast.relay.placement.placement import Placement
from guavamast.relay.placement.prefill_interference import is_pause_sensitive

if TYPE_CHECKING:
    from bench.relay_engines import Kind, Request, SimulatedEngine
    from guavamast.relay.placement.engine_profile import EngineProfile
    from guavamast.relay.placement.length_buckets import PromptDemand

SERVICE: Final = "pool"


def build_placement(
    request: Request,
    *,
    kinds: tuple[Kind, ...],
    demand: PromptDemand,
    profile: EngineProfile,
    kv_capacity_tokens: int,
    now: float,
    loads_stale: bool = False,
) -> Placement:
    """Record the demand of a request and return its placement.

    Args:
        request: The request.
        kinds: All kinds of requests of the simulation.
        demand: Demand for engines by length bucket.
        profile: Speed of the engines.
        kv_capacity_tokens: Tokens that fit into an engine's KV cache.
        now: The simulated time.
        loads_stale: Whether loads are too old for a comparison of all engines.
    """
    pause_sensitive = is_pause_sensitive_kind(request.kind, profile)
    bucket = find_bucket(
        request.prompt_tokens,
        objective_s=request.kind.objective_s,
        shortest_s=min(kind.objective_s for kind in kinds),
        profile=profile,
    )
    bucket = 0 if pause_sensitive else bucket
    demand.record(
        bucket,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        profile=profile,
        now=now,
    )
    return Placement(
        prompt_parts=request.parts,
        prompt_tokens=request.prompt_tokens,
        failure_domain="a",
        bucket=bucket,
        bucket_shares=demand.compute_shares(),
        output_tokens=request.output_tokens,
        kv_capacity_tokens=kv_capacity_tokens,
        profile=profile,
        objective_s=request.kind.objective_s,
        pause_sensitive=pause_sensitive,
        shortest_pause_s=min(kind.longest_pause_s for kind in kinds),
        loads_stale=loads_stale,
    )


def build_record(engine: SimulatedEngine) -> EndpointRecord:
    """Return the endpoint record of an engine."""
    return EndpointRecord(
        endpoint_id=engine.name,
        row_version=1,
        service=SERVICE,
        host="-",
        port=1,
        failure_domain="a",
        slots=engine.slots,
        ready=True,
        started_ms=1,
        software_version=None,
    )


def is_pause_sensitive_kind(kind: Kind, profile: EngineProfile) -> bool:
    """Return whether concurrent prefills of long prompts make streams of a kind late."""
    route = Route(
        name=kind.name,
        host="-",
        path_prefix="/",
        kind=RouteKind.STREAM,
        services=(WeightedService(service=SERVICE, weight=1.0),),
        timeout_s=5.0,
        objective_s=kind.objective_s,
        longest_pause_s=kind.longest_pause_s,
        max_endpoints=1,
        urgency=1,
        needs_key=False,
        resumable=False,
    )
    return is_pause_sensitive(route, profile)
