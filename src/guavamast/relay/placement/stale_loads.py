"""Correction of loads that are stale because load updates are late."""

from __future__ import annotations

from typing import Final

from guavamast.relay.endpoint_load import Load

REPORTED_WEIGHT: Final = 0.5
"""Share of an engine's reported load in the blend with the mean of its length bucket when load
updates are late: queues build up and drain between two updates."""


def blend_loads(loads: dict[str, Load], buckets: dict[str, int]) -> dict[str, Load]:
    """Return the loads of engines, blended with the mean of their length buckets.

    Failure: loads reported a second ago show one engine of a bucket as full and the next as idle;
    by now it is often the other way round. Requests are rejected at engines with room and queue at
    those that seemed idle. The actual load is closer to the mean than to the stale report.
    """
    members: dict[int, list[Load]] = {}
    for endpoint_id, load in loads.items():
        members.setdefault(buckets.get(endpoint_id, 0), []).append(load)
    means = {bucket: _compute_mean(bucket_loads) for bucket, bucket_loads in members.items()}
    return {
        endpoint_id: _blend(load, means[buckets.get(endpoint_id, 0)])
        for endpoint_id, load in loads.items()
    }


def _compute_mean(loads: list[Load]) -> Load:
    number = len(loads)
    return Load(
        requests=sum(load.requests for load in loads) // number,
        prefill_tokens=sum(load.prefill_tokens for load in loads) // number,
    )


def _blend(load: Load, mean: Load) -> Load:
    """Return a load between the reported one and the mean.

    Failure: an engine is reported as full, its bucket's mean halves that, and it is sent more
    prompts until its KV cache is full: it preempts running requests, some of them more urgent than
    others that continue. KV cache use and pause-sensitive requests last longer than the delay of an
    update, so both count as reported.
    """
    mean_weight = 1.0 - REPORTED_WEIGHT
    return Load(
        requests=round(REPORTED_WEIGHT * load.requests + mean_weight * mean.requests),
        prefill_tokens=round(
            REPORTED_WEIGHT * load.prefill_tokens + mean_weight * mean.prefill_tokens
        ),
        kv_tokens=load.kv_tokens,
        pause_sensitive=load.pause_sensitive,
    )
